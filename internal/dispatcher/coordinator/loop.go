package coordinator

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"ospreypond/policy"
)

// Run drives the decision module until ctx ends; attempts and probes get contexts derived from ctx. If the module
// panics, its open requests end with InternalFault and a new module starts with the same list.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			c.failAll()
			return
		case f := <-c.inbox:
			f()
		case <-wake.C:
		}
		for more := true; more; {
			select {
			case f := <-c.inbox:
				f()
			default:
				more = false
			}
		}
		now := c.clock.now()
		if c.due() <= now {
			c.step(ctx, now)
		}
		wake.Reset(min(c.due()-c.clock.now(), time.Hour))
	}
}

// due returns when the modules are to step next: no sooner than the settings' period after the last step.
func (c *Coordinator) due() time.Duration {
	first := c.stepAt + c.set.Period
	next := first + time.Hour
	for _, m := range c.modules {
		switch {
		case len(m.events) > 0:
			return first
		case len(m.timers) > 0:
			next = min(next, max(first, m.timers[0].at))
		}
	}
	return next
}

// step steps each module that has events or due timers and applies its actions. A module of former settings is
// dropped once its requests have ended.
func (c *Coordinator) step(ctx context.Context, now time.Duration) {
	c.stepAt = now
	for _, m := range c.modules {
		if !m.ready(now) {
			continue
		}
		events := m.take(now)
		for i := range events {
			if e := &events[i]; e.Kind == policy.Request { // the client's time elapsed while the event was queued
				if j := c.jobs[e.ID]; j != nil {
					e.Left = j.deadline - now
				}
			}
		}
		if !c.decide(m, now, events) {
			return // every module was replaced
		}
		for i := range c.actions {
			c.apply(ctx, m, &c.actions[i])
		}
		m.done(events)
	}
	current := c.modules[len(c.modules)-1]
	c.modules = slices.DeleteFunc(c.modules, func(m *module) bool { return m != current && m.openJobs == 0 })
}

// decide steps a module into c.actions; ok is false if it panicked and every module was replaced.
func (c *Coordinator) decide(m *module, now time.Duration, events []policy.Event) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithField("panic", p).WithField("stack", string(debug.Stack())).
				Error("decision module panicked; what it held is answered as failed and it starts over")
			c.restart()
		}
	}()
	c.actions = m.d.Step(now, events, c.actions[:0])
	return true
}

package coordinator

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"ospreypond/policy"
)

// Run drives the decision module until ctx ends. Attempts and probes get contexts derived from ctx. If the module
// panics, all open requests end with InternalFault, and a new module starts with the same list.
//
// Each iteration waits for a queued call or a due step, makes all queued calls, and steps the modules if a step is due.
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
		if c.nextStepAt() <= now {
			c.step(ctx, now)
		}
		wake.Reset(min(c.nextStepAt()-c.clock.now(), time.Hour))
	}
}

// nextStepAt returns the time of the next step: at least Settings.MinStepInterval after the last one, as soon as a
// module has an event or a due timer. Without either it is an hour later.
func (c *Coordinator) nextStepAt() time.Duration {
	first := c.lastStepAt + c.settings.MinStepInterval
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

// step steps each module that has events or due timers, and carries out its actions. A module with former settings is
// dropped once all its requests have ended.
func (c *Coordinator) step(ctx context.Context, now time.Duration) {
	c.lastStepAt = now
	for _, m := range c.modules {
		if !m.ready(now) {
			continue
		}
		events := m.takeEvents(now)
		for i := range events {
			if e := &events[i]; e.Kind == policy.Request { // some of the client's time passed while the event was queued
				if j := c.jobs[e.ID]; j != nil {
					e.TimeLeft = j.deadline - now
				}
			}
		}
		if !c.decide(m, now, events) {
			return // every module was replaced
		}
		for i := range c.actions {
			c.apply(ctx, m, &c.actions[i])
		}
		m.recycleEvents(events)
	}
	current := c.modules[len(c.modules)-1]
	c.modules = slices.DeleteFunc(c.modules, func(m *module) bool { return m != current && m.openJobs == 0 })
}

// decide steps a module and sets c.actions to the actions that it returns. ok is false if the module panicked; all
// modules were replaced then.
func (c *Coordinator) decide(m *module, now time.Duration, events []policy.Event) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithField("panic", p).WithField("stack", string(debug.Stack())).
				Error("decision module panicked; what it held is answered as failed and it starts over")
			c.restart()
		}
	}()
	c.actions = m.dispatcher.Step(now, events, c.actions[:0])
	return true
}

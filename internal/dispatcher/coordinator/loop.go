package coordinator

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"ospreypond/policy"
)

// Run drives the module until ctx ends. A panic in the module costs the requests it held, which are answered
// as broken, and the module starts over with the list that it had.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	c.ctx = ctx
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			c.breakAll()
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
			c.step(now)
		}
		wake.Reset(min(c.due()-c.clock.now(), time.Hour))
	}
}

// due tells when the modules are to step next: no sooner than the settings' period after the last time.
func (c *Coordinator) due() time.Duration {
	first := c.stepAt + c.set.Period
	next := first + time.Hour
	for _, m := range c.mods {
		switch {
		case len(m.events) > 0:
			return first
		case len(m.timers) > 0:
			next = min(next, max(first, m.timers[0].at))
		}
	}
	return next
}

// step has each module decide on what has come in for it and does as it says. A module that took no new
// requests since the settings changed is let go once its requests have ended.
func (c *Coordinator) step(now time.Duration) {
	c.stepAt = now
	for _, m := range c.mods {
		if !m.ready(now) {
			continue
		}
		events := m.take(now)
		for i := range events {
			if e := &events[i]; e.Kind == policy.Request { // the client's time ran on while it waited here
				if j := c.jobs[e.ID]; j != nil {
					e.Left = j.due - now
				}
			}
		}
		if !c.decide(m, now, events) {
			return // every module was replaced
		}
		for i := range c.actions {
			c.act(m, &c.actions[i])
		}
		m.done(events)
	}
	current := c.mods[len(c.mods)-1]
	c.mods = slices.DeleteFunc(c.mods, func(m *module) bool { return m != current && m.open == 0 })
}

// decide runs a module; ok is false if it panicked and every module was replaced.
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

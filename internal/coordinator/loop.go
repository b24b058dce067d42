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
func (x *Exchange) Run(ctx context.Context) {
	defer close(x.done)
	x.ctx = ctx
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			x.breakAll()
			return
		case f := <-x.inbox:
			f()
		case <-wake.C:
		}
		for more := true; more; {
			select {
			case f := <-x.inbox:
				f()
			default:
				more = false
			}
		}
		now := x.clock.now()
		if x.due() <= now {
			x.step(now)
		}
		wake.Reset(min(x.due()-x.clock.now(), time.Hour))
	}
}

// due tells when the modules are to step next: no sooner than the settings' period after the last time.
func (x *Exchange) due() time.Duration {
	first := x.stepAt + x.set.Period
	next := first + time.Hour
	for _, m := range x.mods {
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
func (x *Exchange) step(now time.Duration) {
	x.stepAt = now
	for _, m := range x.mods {
		if !m.ready(now) {
			continue
		}
		events := m.take(now)
		for i := range events {
			if e := &events[i]; e.Kind == policy.Request { // the client's time ran on while it waited here
				if j := x.jobs[e.ID]; j != nil {
					e.Left = j.due - now
				}
			}
		}
		if !x.decide(m, now, events) {
			return // every module was replaced
		}
		for i := range x.actions {
			x.act(m, &x.actions[i])
		}
		m.done(events)
	}
	current := x.mods[len(x.mods)-1]
	x.mods = slices.DeleteFunc(x.mods, func(m *module) bool { return m != current && m.open == 0 })
}

// decide runs a module; ok is false if it panicked and every module was replaced.
func (x *Exchange) decide(m *module, now time.Duration, events []policy.Event) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			x.log.WithField("panic", p).WithField("stack", string(debug.Stack())).
				Error("decision module panicked; what it held is answered as failed and it starts over")
			x.restart()
		}
	}()
	x.actions = m.d.Step(now, events, x.actions[:0])
	return true
}

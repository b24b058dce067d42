package coordinator

// What the module's actions bring about.

import (
	"container/heap"
	"context"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/policy"
)

// act carries out one action of module m.
func (c *Coordinator) act(m *module, a *policy.Action) {
	switch a.Kind {
	case policy.Send, policy.Cancel, policy.Refuse, policy.Fail:
		j := c.jobs[a.ID]
		if j != nil && j.mod != m {
			j = nil // a number that another module gave out
		}
		if j == nil {
			if a.Kind == policy.Send {
				c.log.WithField("target", a.Worker).Error("decision module sent a request that it does not have")
			}
			return
		}
		switch {
		case a.Kind == policy.Send:
			c.send(j, a)
		case a.Kind == policy.Cancel && a.Attempt < len(j.attempts):
			j.attempts[a.Attempt].cancel()
		case a.Kind == policy.Refuse:
			c.reply(j, Answer{Kind: Refused, RetryAfter: a.RetryAfter})
		case a.Kind == policy.Fail:
			c.reply(j, Answer{Kind: Failed})
		}
	case policy.Arm:
		heap.Push(&m.timers, timer{a.At, a.Token})
	case policy.Probe:
		c.probe(a.Worker)
	case policy.Subscribe:
		c.list.Subscribe()
	case policy.CloseIdle:
		c.egress.CloseIdle(a.Worker)
	case policy.Log:
		c.log.WithField("from", "policy").Info(a.Text)
	}
}

// send starts an attempt. Its goroutine brings exactly one end.
func (c *Coordinator) send(j *job, a *policy.Action) {
	n, target := len(j.attempts), a.Worker // a is overwritten by the next step
	limit := j.r.Deadline
	if a.Timeout != 0 {
		if t := time.Now().Add(a.Timeout); t.Before(limit) {
			limit = t
		}
	}
	ctx, cancel := context.WithDeadline(c.ctx, limit)
	by := limit
	if a.By != 0 {
		if t := c.clock.time(a.By); t.Before(by) {
			by = t
		}
	}
	state := &attempt{cancel: cancel, start: &start{by: by}, target: target, sent: time.Now()}
	j.attempts = append(j.attempts, state)
	j.out++
	if j.answered || j.mod.set.MaxAttempts > 0 && n >= j.mod.set.MaxAttempts {
		c.attemptEnded(j, n, target, AttemptEnd{Outcome: policy.Moot, Report: policy.NoReport})
		return
	}
	news := func(k policy.EventKind) {
		c.do(func() {
			if j.out > 0 && c.jobs[j.id] == j {
				j.mod.events = append(j.mod.events, policy.Event{Kind: k, ID: j.id, Attempt: n, Worker: target})
			}
		})
	}
	order := &Attempt{Target: target, Request: j.r, Deadline: limit, News: news, Begin: state.start.begin}
	go func() {
		end := c.guard(func() AttemptEnd { return c.egress.Attempt(ctx, order) })
		c.do(func() { c.attemptEnded(j, n, target, end) })
	}()
}

// guard turns a panic in egress into an end that proves nothing, so that the request is still answered.
func (c *Coordinator) guard(f func() AttemptEnd) (end AttemptEnd) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithField("panic", p).WithField("stack", string(debug.Stack())).Error("hop panicked")
			end = AttemptEnd{Outcome: policy.Failed, Report: policy.NoReport}
		}
	}()
	return f()
}

// attemptEnded takes in the one end of an attempt. The first result goes to the client at once.
func (c *Coordinator) attemptEnded(j *job, n int, target string, end AttemptEnd) {
	state := j.attempts[n]
	state.cancel()
	state.took, state.over, state.outcome = time.Since(state.sent), true, end.Outcome
	j.out--
	if c.jobs[j.id] != j { // the module was replaced meanwhile
		return
	}
	c.log.WithFields(logrus.Fields{"request": j.r.ID, "target": target, "outcome": end.Outcome,
		"took": time.Since(state.sent)}).Debug("hop ended")
	if end.Rejected {
		c.reply(j, Answer{Kind: Rejected})
	}
	if end.Outcome == policy.OK {
		c.reply(j, Answer{Kind: Served, Result: end.Result})
	}
	j.mod.events = append(j.mod.events, policy.Event{Kind: policy.AttemptEnded, ID: j.id, Attempt: n, Worker: target,
		Outcome: end.Outcome, Indeterminate: end.Doubtful, Elapsed: time.Since(state.sent), Complete: j.answered, Report: end.Report})
	c.forget(j)
}

// probe asks a target for its load.
func (c *Coordinator) probe(target string) {
	ctx, cancel := context.WithTimeout(c.ctx, probeLimit)
	sent := time.Now()
	go func() {
		defer cancel()
		end := c.guard(func() AttemptEnd { return c.egress.Probe(ctx, target) })
		elapsed := time.Since(sent)
		c.log.WithFields(logrus.Fields{"target": target, "outcome": end.Outcome, "took": elapsed,
			"free": end.Report.FreeSlots}).Debug("probe ended")
		c.do(func() {
			c.toAll(policy.Event{Kind: policy.ProbeEnded, Worker: target, Outcome: end.Outcome, Elapsed: elapsed,
				Report: end.Report})
		})
	}()
}

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
func (x *Exchange) act(m *module, a *policy.Action) {
	switch a.Kind {
	case policy.Send, policy.Cancel, policy.Refuse, policy.Fail:
		j := x.jobs[a.ID]
		if j != nil && j.mod != m {
			j = nil // a number that another module gave out
		}
		if j == nil {
			if a.Kind == policy.Send {
				x.log.WithField("target", a.Worker).Error("decision module sent a request that it does not have")
			}
			return
		}
		switch {
		case a.Kind == policy.Send:
			x.send(j, a)
		case a.Kind == policy.Cancel && a.Attempt < len(j.attempts):
			j.attempts[a.Attempt].cancel()
		case a.Kind == policy.Refuse:
			x.reply(j, Answer{Kind: Shed, RetryAfter: a.RetryAfter})
		case a.Kind == policy.Fail:
			x.reply(j, Answer{Kind: Failed})
		}
	case policy.Arm:
		heap.Push(&m.timers, timer{a.At, a.Token})
	case policy.Probe:
		x.probe(a.Worker)
	case policy.Subscribe:
		x.list.Subscribe()
	case policy.CloseIdle:
		x.egress.CloseIdle(a.Worker)
	case policy.Log:
		x.log.WithField("from", "policy").Info(a.Text)
	}
}

// send starts an attempt. Its goroutine brings exactly one end.
func (x *Exchange) send(j *job, a *policy.Action) {
	n, target := len(j.attempts), a.Worker // a is overwritten by the next step
	limit := j.r.Deadline
	if a.Timeout != 0 {
		if t := time.Now().Add(a.Timeout); t.Before(limit) {
			limit = t
		}
	}
	ctx, cancel := context.WithDeadline(x.ctx, limit)
	by := limit
	if a.By != 0 {
		if t := x.clock.time(a.By); t.Before(by) {
			by = t
		}
	}
	state := &attempt{cancel: cancel, start: &start{by: by}, target: target, sent: time.Now()}
	j.attempts = append(j.attempts, state)
	j.out++
	if j.answered || j.mod.set.MaxAttempts > 0 && n >= j.mod.set.MaxAttempts {
		x.attemptEnded(j, n, target, AttemptEnd{Outcome: policy.Moot, Report: policy.NoReport})
		return
	}
	news := func(k policy.EventKind) {
		x.do(func() {
			if j.out > 0 && x.jobs[j.id] == j {
				j.mod.events = append(j.mod.events, policy.Event{Kind: k, ID: j.id, Attempt: n, Worker: target})
			}
		})
	}
	order := &Attempt{Target: target, Request: j.r, Deadline: limit, News: news, Begin: state.start.begin}
	go func() {
		end := x.guard(func() AttemptEnd { return x.egress.Attempt(ctx, order) })
		x.do(func() { x.attemptEnded(j, n, target, end) })
	}()
}

// guard turns a panic on the way out into an end that proves nothing, so that the request is still answered.
func (x *Exchange) guard(f func() AttemptEnd) (end AttemptEnd) {
	defer func() {
		if p := recover(); p != nil {
			x.log.WithField("panic", p).WithField("stack", string(debug.Stack())).Error("hop panicked")
			end = AttemptEnd{Outcome: policy.Failed, Report: policy.NoReport}
		}
	}()
	return f()
}

// attemptEnded takes in the one end of an attempt. The first result goes to the client at once.
func (x *Exchange) attemptEnded(j *job, n int, target string, end AttemptEnd) {
	state := j.attempts[n]
	state.cancel()
	state.took, state.over, state.outcome = time.Since(state.sent), true, end.Outcome
	j.out--
	if x.jobs[j.id] != j { // the module was replaced meanwhile
		return
	}
	x.log.WithFields(logrus.Fields{"request": j.r.ID, "target": target, "outcome": end.Outcome,
		"took": time.Since(state.sent)}).Debug("hop ended")
	if end.Rejected {
		x.reply(j, Answer{Kind: Rejected})
	}
	if end.Outcome == policy.OK {
		x.reply(j, Answer{Kind: Served, Result: end.Result})
	}
	j.mod.events = append(j.mod.events, policy.Event{Kind: policy.AttemptEnded, ID: j.id, Attempt: n, Worker: target,
		Outcome: end.Outcome, Doubtful: end.Doubtful, Elapsed: time.Since(state.sent), Complete: j.answered, Report: end.Report})
	x.forget(j)
}

// probe asks a target for its load.
func (x *Exchange) probe(target string) {
	ctx, cancel := context.WithTimeout(x.ctx, probeLimit)
	sent := time.Now()
	go func() {
		defer cancel()
		end := x.guard(func() AttemptEnd { return x.egress.Probe(ctx, target) })
		elapsed := time.Since(sent)
		x.log.WithFields(logrus.Fields{"target": target, "outcome": end.Outcome, "took": elapsed,
			"free": end.Report.FreeSlots}).Debug("probe ended")
		x.do(func() {
			x.toAll(policy.Event{Kind: policy.ProbeEnded, Worker: target, Outcome: end.Outcome, Elapsed: elapsed,
				Report: end.Report})
		})
	}()
}

package coordinator

// This file carries out the decision module's actions.

import (
	"container/heap"
	"context"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/policy"
)

// apply carries out an action that module m returned. A final response or cancellation of a request that m doesn't have
// is ignored: the request may have ended in this step. A send of one is a fault of the module.
func (c *Coordinator) apply(ctx context.Context, m *module, a *policy.Action) {
	switch a.Kind {
	case policy.Send, policy.Cancel, policy.Refuse, policy.Fail:
		j := c.jobs[a.ID]
		if j != nil && j.module != m {
			j = nil // the job of another module that uses the same id
		}
		if j == nil {
			if a.Kind == policy.Send {
				c.log.WithField("target", a.Worker).Error("decision module sent a request that it does not have")
			}
			return
		}
		switch {
		case a.Kind == policy.Send:
			c.send(ctx, j, a)
		case a.Kind == policy.Cancel && a.Attempt < len(j.attempts):
			j.attempts[a.Attempt].cancel()
		case a.Kind == policy.Refuse:
			c.respond(j, Response{Kind: Shed, RetryAfter: a.RetryAfter})
		case a.Kind == policy.Fail:
			c.respond(j, Response{Kind: Failed})
		}
	case policy.ArmTimer:
		heap.Push(&m.timers, timer{a.At, a.Token})
	case policy.Probe:
		c.probe(ctx, a.Worker)
	case policy.Subscribe:
		c.directory.Subscribe()
	case policy.CloseIdle:
		c.egress.CloseIdle(a.Worker)
	case policy.Log:
		c.log.WithField("from", "policy").Info(a.Text)
	}
}

// send starts an attempt in a goroutine, which ends when Egress.Attempt returns. An attempt of a request that has its
// response, or beyond the limit of attempts, isn't started: the module gets the outcome Moot for it.
func (c *Coordinator) send(ctx context.Context, j *job, a *policy.Action) {
	n, target := len(j.attempts), a.Worker // copied, as the next step overwrites a
	limit := j.request.Deadline
	if a.Timeout != 0 {
		if t := time.Now().Add(a.Timeout); t.Before(limit) {
			limit = t
		}
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	by := limit
	if a.FirstByteBy != 0 {
		if t := c.clock.time(a.FirstByteBy); t.Before(by) {
			by = t
		}
	}
	state := &attempt{cancel: cancel, gate: &firstByteGate{deadline: by}, target: target, sent: time.Now()}
	j.attempts = append(j.attempts, state)
	j.openAttempts++
	if j.responded || j.module.settings.MaxAttempts > 0 && n >= j.module.settings.MaxAttempts {
		c.attemptEnded(j, n, target, AttemptEnd{Outcome: policy.Moot, Report: policy.NoReport})
		return
	}
	onProgress := func(k policy.EventKind) {
		c.enqueue(func() {
			if j.openAttempts > 0 && c.jobs[j.id] == j {
				j.module.events = append(j.module.events, policy.Event{Kind: k, ID: j.id, Attempt: n, Worker: target})
			}
		})
	}
	request := &Attempt{Target: target, Request: j.request, Deadline: limit, OnProgress: onProgress, Begin: state.gate.begin}
	go func() {
		end := c.recoverPanic(func() AttemptEnd { return c.egress.Attempt(ctx, request) })
		c.enqueue(func() { c.attemptEnded(j, n, target, end) })
	}()
}

// recoverPanic returns the result of f, or the outcome Failed if f panics: the module waits for an end of each attempt.
func (c *Coordinator) recoverPanic(f func() AttemptEnd) (end AttemptEnd) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithField("panic", p).WithField("stack", string(debug.Stack())).Error("hop panicked")
			end = AttemptEnd{Outcome: policy.Failed, Report: policy.NoReport}
		}
	}()
	return f()
}

// attemptEnded passes the end of an attempt to the job's module. Before that it responds to the job, if the attempt
// brought a result or found the request itself invalid and the job has no response yet.
func (c *Coordinator) attemptEnded(j *job, n int, target string, end AttemptEnd) {
	state := j.attempts[n]
	state.cancel()
	state.took, state.ended, state.outcome = time.Since(state.sent), true, end.Outcome
	j.openAttempts--
	if c.jobs[j.id] != j { // the module has been replaced
		return
	}
	c.log.WithFields(logrus.Fields{"request": j.request.ID, "target": target, "outcome": end.Outcome,
		"took": time.Since(state.sent)}).Debug("hop ended")
	if end.InvalidRequest {
		c.respond(j, Response{Kind: InvalidRequest})
	}
	if end.Outcome == policy.OK {
		c.respond(j, Response{Kind: Served, Result: end.Result})
	}
	j.module.events = append(j.module.events, policy.Event{Kind: policy.AttemptEnded, ID: j.id, Attempt: n, Worker: target,
		Outcome: end.Outcome, Indeterminate: end.Indeterminate, Elapsed: time.Since(state.sent), Responded: j.responded, Report: end.Report})
	c.forget(j)
}

// probe asks a target for its load report in a goroutine, and passes the end to all modules. The context ends after
// probeTimeout.
func (c *Coordinator) probe(ctx context.Context, target string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	sent := time.Now()
	go func() {
		defer cancel()
		end := c.recoverPanic(func() AttemptEnd { return c.egress.Probe(ctx, target) })
		elapsed := time.Since(sent)
		c.log.WithFields(logrus.Fields{"target": target, "outcome": end.Outcome, "took": elapsed,
			"free": end.Report.FreeSlots}).Debug("probe ended")
		c.enqueue(func() {
			c.broadcast(policy.Event{Kind: policy.ProbeEnded, Worker: target, Outcome: end.Outcome, Elapsed: elapsed,
				Report: end.Report})
		})
	}()
}

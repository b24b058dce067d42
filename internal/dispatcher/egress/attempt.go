package egress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/policy"
)

const (
	// drainLimit is how long the rest of an answer is read for after its result, so that its connection
	// can be used again.
	drainLimit = time.Second
	// settleLimit is the same after any other end, which is told only then: another attempt may follow it. The rest
	// usually came with the last line.
	settleLimit = 20 * time.Millisecond
)

// Attempt makes one attempt at a request. It returns as soon as there is a result for the client; a goroutine then reads
// the rest of the answer. Any other end is told once the attempt can have no effect any more on an open connection:
// its answer was read to the end, or the connection is closed.
func (e *Egress) Attempt(outer context.Context, attempt *coordinator.Attempt) coordinator.AttemptEnd {
	// The caller ends its context when the attempt has ended, but the connection is good for another attempt only once
	// the answer was read to its end. So the call has a context of its own.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(outer))
	detach := context.AfterFunc(outer, func() { cancel(context.Cause(outer)) })
	end := coordinator.AttemptEnd{Report: policy.NoReport}

	c := call{e: e, job: true, until: attempt.Deadline}
	gate := func() error {
		if !e.table.Open(attempt.Target) {
			return errNotOpen
		}
		return attempt.Begin(time.Now())
	}
	resp, err := c.do(ctx, attempt.Target, gate, func(base string) (*http.Request, error) {
		return attemptRequest(base, attempt)
	})
	if err != nil {
		if end.Outcome = c.broken(ctx); errors.Is(err, errNoSockets) {
			end.Outcome = policy.Moot // not the target's fault
		}
		detach()
		cancel(nil)
		e.log.WithError(err).WithFields(logrus.Fields{"target": attempt.Target, "request": attempt.Request.ID,
			"outcome": end.Outcome}).Debug("hop brought no answer")
		return end
	}
	if report, ok := headerReport(e.tuned.Load().settings, resp.Header); ok {
		end.Report = report
	}
	lines := newLines(resp.Body)
	if resp.StatusCode == http.StatusOK {
		e.follow(ctx, attempt, lines, &c, &end)
	} else {
		end.Outcome = refused(resp)
		end.Unusable = end.Outcome == policy.Cancelled
		end.Indeterminate = end.Outcome == policy.Full && c.own().hadJob()
		if resp.StatusCode != http.StatusInternalServerError && end.Outcome != policy.Full && e.warned.due(time.Now()) {
			e.log.WithFields(logrus.Fields{"target": attempt.Target, "request": attempt.Request.ID, "status": resp.StatusCode}).
				Warn("target answered with an unexpected status")
		}
	}
	if detach(); end.Outcome == policy.OK {
		go drain(lines, resp.Body, &c, drainLimit, cancel)
	} else {
		drain(lines, resp.Body, &c, settleLimit, cancel)
	}
	return end
}

// attemptRequest builds what the target gets: the client's request, unchanged. How long we wait is told at the last moment.
func attemptRequest(base string, attempt *coordinator.Attempt) (*http.Request, error) {
	r := attempt.Request
	req, err := http.NewRequest(r.Method, base+r.Target, once(r.Body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	req.Header["User-Agent"] = nil
	req.Header.Set("X-Request-ID", r.ID)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	return req, nil
}

// refused tells the outcome that a status other than 200 stands for.
func refused(resp *http.Response) policy.Outcome {
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case busy && resp.Header.Get("X-Not-Processed") == "1":
		return policy.Full
	case resp.StatusCode == http.StatusBadRequest:
		// Guards against one client's faulty requests making runners look sick, which every client would pay for.
		return policy.Cancelled
	}
	return policy.Failed
}

// follow reads an answer's lines up to the one that ends the attempt. A line that names another request or none, or a
// result that is not there, is no runner's word on this one: its connection is closed, and it may have run.
func (e *Egress) follow(ctx context.Context, attempt *coordinator.Attempt, lines *lines, c *call, end *coordinator.AttemptEnd) {
	for {
		l, err := lines.next()
		if err != nil {
			if end.Outcome = c.broken(ctx); policy.NeverRan(end.Outcome) {
				end.Outcome = policy.Reset // it answered, so it has the request
			}
			return
		}
		if l.ID != attempt.Request.ID || l.State == "done" && !l.hasResult() {
			if e.warned.due(time.Now()) {
				e.log.WithFields(logrus.Fields{"target": attempt.Target, "request": attempt.Request.ID, "got": l.ID, "state": l.State}).
					Error("target's answer is spoilt")
			}
			end.Outcome = policy.Failed
			_ = c.broken(ctx)
			return
		}
		if l.Load != nil {
			end.Report = lineReport(e.tuned.Load().settings, l.Load)
		}
		switch l.State {
		case "started":
			attempt.OnProgress(policy.JobStarted)
		case "running":
			attempt.OnProgress(policy.JobProgress)
		case "done":
			end.Outcome, end.Result = policy.OK, l.result()
			return
		case "failed":
			end.Outcome = policy.Failed
			return
		case "returned":
			end.Outcome = policy.Full
			return
		case "lost":
			end.Outcome = policy.Reset
			return
		}
	}
}

// drain reads an answer to its end within so much time, so that its connection goes back to the pool, or closes it.
func drain(lines *lines, body io.ReadCloser, c *call, within time.Duration, cancel context.CancelCauseFunc) {
	stop := time.AfterFunc(within, func() { c.abandon() })
	if lines.discard() {
		c.answerEnded()
	} else {
		c.abandon()
	}
	stop.Stop()
	_ = body.Close()
	cancel(nil)
}

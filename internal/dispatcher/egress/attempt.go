package egress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/policy"
)

const (
	// drainTimeout bounds how long the rest of a response is read after a result. Only a response that was read to its
	// end leaves its connection reusable.
	drainTimeout = time.Second
	// endDrainTimeout is the same bound for an attempt that ended without a result. Attempt returns such an end only
	// after this reading, so the bound delays the request's next attempt. It can be short: the rest of the response
	// usually arrives together with the line that ended the attempt.
	endDrainTimeout = 20 * time.Millisecond
)

// Attempt sends a request to the attempt's target once and returns how the attempt ended. With a result it returns at
// once, and a goroutine reads the rest of the response for at most drainTimeout. Without a result it first reads the
// response to its end or closes the connection. So when the next attempt of the request begins, no connection that is
// still open carries anything of this one.
func (e *Egress) Attempt(outer context.Context, attempt *coordinator.Attempt) coordinator.AttemptEnd {
	// The caller cancels outer as soon as Attempt returns. That would break off the reading of the rest of the response,
	// and the connection could not be reused. So the call has its own context, which follows outer until detach.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(outer))
	detach := context.AfterFunc(outer, func() { cancel(context.Cause(outer)) })
	end := coordinator.AttemptEnd{Report: policy.NoReport}

	c := call{e: e, isJob: true, deadline: attempt.Deadline}
	gate := func() error {
		if !e.table.Open(attempt.Target) {
			return errNotOpen
		}
		return attempt.Begin(time.Now())
	}
	resp, err := c.do(ctx, attempt.Target, gate, func(ctx context.Context, base string) (*http.Request, error) {
		return attemptRequest(ctx, base, attempt)
	})
	if err != nil {
		if end.Outcome = c.abort(ctx); errors.Is(err, errNoSockets) {
			end.Outcome = policy.Moot // the dispatcher lacks sockets, which is not the target's fault
		}
		detach()
		cancel(nil)
		e.log.WithError(err).WithFields(logrus.Fields{"target": attempt.Target, "request": attempt.Request.ID,
			"outcome": end.Outcome}).Debug("hop brought no answer")
		return end
	}
	if report, ok := headerReport(e.active.Load().settings, resp.Header); ok {
		end.Report = report
	}
	lines := newLineReader(resp.Body)
	if resp.StatusCode == http.StatusOK {
		e.readProgress(ctx, attempt, lines, &c, &end)
	} else {
		end.Outcome = statusOutcome(resp)
		end.InvalidRequest = end.Outcome == policy.Cancelled
		end.Indeterminate = end.Outcome == policy.Full && c.connection().hadEarlierJob()
		if resp.StatusCode != http.StatusInternalServerError && end.Outcome != policy.Full && e.warnings.allow(time.Now()) {
			e.log.WithFields(logrus.Fields{"target": attempt.Target, "request": attempt.Request.ID, "status": resp.StatusCode}).
				Warn("target answered with an unexpected status")
		}
	}
	if detach(); end.Outcome == policy.OK {
		go drain(resp, lines, &c, drainTimeout, cancel)
	} else {
		drain(resp, lines, &c, endDrainTimeout, cancel)
	}
	return end
}

// attemptRequest returns the HTTP request for the target: the client's method, path, query and body, and the headers
// that runners read. setTimeoutHeader adds X-Timeout later.
func attemptRequest(ctx context.Context, base string, attempt *coordinator.Attempt) (*http.Request, error) {
	r := attempt.Request
	req, err := http.NewRequestWithContext(ctx, r.Method, base+r.Target, unrepeatableBody(r.Body))
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

// statusOutcome returns the outcome of an attempt after a response with a status other than 200. Only the header
// X-Not-Processed: 1 on a 503 or 504 says that the request never ran.
func statusOutcome(resp *http.Response) policy.Outcome {
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case busy && resp.Header.Get("X-Not-Processed") == "1":
		return policy.Full
	case resp.StatusCode == http.StatusBadRequest:
		// Failed would count against the runner. A client that sends invalid requests could then make every runner look
		// unhealthy, at the expense of all clients.
		return policy.Cancelled
	}
	return policy.Failed
}

// readProgress reads the lines of a response up to the line that ends the attempt, and sets end. A line is invalid if
// its id is missing or is another request's, or if its state is "done" and it has no result. On an invalid line the
// connection is closed and the attempt ends as failed, which means that it may have run.
func (e *Egress) readProgress(ctx context.Context, attempt *coordinator.Attempt, lines *lineReader, c *call, end *coordinator.AttemptEnd) {
	for {
		l, err := lines.next()
		if err != nil {
			if end.Outcome = c.abort(ctx); policy.NeverRan(end.Outcome) {
				end.Outcome = policy.Reset // the target has responded, so it has the request and may have run it
			}
			return
		}
		if l.ID != attempt.Request.ID || l.State == "done" && !l.hasResult() {
			if e.warnings.allow(time.Now()) {
				e.log.WithFields(logrus.Fields{"target": attempt.Target, "request": attempt.Request.ID, "got": l.ID, "state": l.State}).
					Error("target's answer is spoilt")
			}
			end.Outcome = policy.Failed
			_ = c.abort(ctx)
			return
		}
		if l.Load != nil {
			end.Report = lineReport(e.active.Load().settings, l.Load)
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

// drain reads a response to its end, so that its connection returns to the transport's pool. If the end isn't reached
// in the given time, or the response breaks off, drain closes the connection.
func drain(resp *http.Response, lines *lineReader, c *call, within time.Duration, cancel context.CancelCauseFunc) {
	stop := time.AfterFunc(within, func() { c.abandon() })
	if lines.discard() {
		c.responseEnded()
	} else {
		c.abandon()
	}
	stop.Stop()
	_ = resp.Body.Close()
	cancel(nil)
}

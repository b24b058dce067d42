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
	// drainTimeout bounds the reading of the rest of a response after its result, so that its connection can be
	// reused.
	drainTimeout = time.Second
	// endDrainTimeout is the same after any other end, which is returned only afterwards, as another attempt may
	// follow it. The rest usually arrived with the last line.
	endDrainTimeout = 20 * time.Millisecond
)

// Attempt makes one attempt of a request. It returns as soon as there is a result for the client; a goroutine then
// reads the rest of the response, for drainTimeout at most. Any other end is returned once the attempt can have no
// further effect on an open connection: its response was read to the end, or the connection is closed.
func (e *Egress) Attempt(outer context.Context, attempt *coordinator.Attempt) coordinator.AttemptEnd {
	// The caller ends its context when the attempt has ended, but the connection can be reused only once the response
	// was read to its end. So the call has a context of its own.
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

// attemptRequest builds what the target gets: the client's request, unchanged. setTimeoutHeader adds X-Timeout.
func attemptRequest(ctx context.Context, base string, attempt *coordinator.Attempt) (*http.Request, error) {
	r := attempt.Request
	req, err := http.NewRequestWithContext(ctx, r.Method, base+r.Target, unrepeatable(r.Body))
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

// statusOutcome returns the outcome for a status other than 200.
func statusOutcome(resp *http.Response) policy.Outcome {
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case busy && resp.Header.Get("X-Not-Processed") == "1":
		return policy.Full
	case resp.StatusCode == http.StatusBadRequest:
		// Guards against one client's invalid requests making runners look unhealthy, which would cost every client.
		return policy.Cancelled
	}
	return policy.Failed
}

// readProgress reads a response's lines up to the one that ends the attempt. A line with another request's id or
// none, or one without its result, does not count as the runner's: its connection is closed, and the attempt may have
// run.
func (e *Egress) readProgress(ctx context.Context, attempt *coordinator.Attempt, lines *lineReader, c *call, end *coordinator.AttemptEnd) {
	for {
		l, err := lines.next()
		if err != nil {
			if end.Outcome = c.abort(ctx); policy.NeverRan(end.Outcome) {
				end.Outcome = policy.Reset // it responded, so it has the request
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

// drain reads a response to its end within the given time, so that its connection returns to the pool, or closes the
// connection.
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

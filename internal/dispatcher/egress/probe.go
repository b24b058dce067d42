package egress

import (
	"context"
	"errors"
	"io"
	"net/http"

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/policy"
)

// Probe requests a target's load report by GET /stats and returns it. It uses the same connections as attempts.
func (e *Egress) Probe(ctx context.Context, target string) coordinator.AttemptEnd {
	end := coordinator.AttemptEnd{Report: policy.NoReport}
	c := call{e: e}
	resp, err := c.do(ctx, target, func() error { return nil }, func(ctx context.Context, base string) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/stats", unrepeatableBody(nil))
		if err == nil {
			req.ContentLength = 0
			req.Header["User-Agent"] = nil
		}
		return req, err
	})
	if err != nil {
		if end.Outcome = c.abort(ctx); errors.Is(err, errNoSockets) {
			end.Outcome = policy.Moot
		}
		return end
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLine))
	switch {
	case err != nil:
		end.Outcome = c.abort(ctx)
	case resp.StatusCode == http.StatusOK:
		c.responseEnded()
		end.Outcome, end.Report = policy.OK, textReport(e.active.Load().settings, string(body))
	case resp.StatusCode == http.StatusServiceUnavailable:
		end.Outcome = policy.Full
	default:
		end.Outcome = policy.Failed
	}
	return end
}

package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

const (
	responseTimeout  = time.Second             // a request without a response within this time has failed
	retryBackoff     = 200 * time.Millisecond  // from a failed heartbeat to the next one
	drainTimeout     = 1500 * time.Millisecond // for the last heartbeat and deregistering together
	maxResponseBytes = 4 << 20                 // of a response's body
	contentJSON      = "application/json"
)

// Runner sends the heartbeats of a Core to its agent, and applies the responses.
type Runner struct {
	core      *Core
	agent     string // URL of the agent, without a trailing slash
	clock     clockwork.Clock
	http      *http.Client
	startedAt time.Time
	id        string // Options.Instance
}

// New returns a runner for the agent at the given host:port. A nil clock stands for the real one.
func New(options Options, agent string, clock clockwork.Clock) *Runner {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &Runner{
		core:      NewCore(options),
		agent:     "http://" + agent,
		clock:     clock,
		http:      &http.Client{},
		startedAt: clock.Now(),
		id:        options.Instance,
	}
}

// Run sends heartbeats until ctx ends. Then it reports that it drains, deregisters, and returns.
func (r *Runner) Run(ctx context.Context) {
	serving := context.WithoutCancel(ctx) // the end of ctx does not abort a heartbeat
	for ctx.Err() == nil {
		r.heartbeat(serving)
		r.wait(ctx)
	}
	r.leave(serving)
	r.http.CloseIdleConnections()
}

// now returns the time since the runner was created, which is the clock of its Core.
func (r *Runner) now() time.Duration { return r.clock.Since(r.startedAt) }

// heartbeat sends one heartbeat and applies the response. After an error the next heartbeat is due after retryBackoff.
func (r *Runner) heartbeat(ctx context.Context) {
	sentAt := r.now()
	orders := &protocol.Orders{}
	err := r.post(ctx, "heartbeat", r.core.Report(sentAt), orders)
	if err != nil {
		r.core.HeartbeatFailed(r.now(), retryBackoff)
		return
	}
	r.core.Apply(r.now(), sentAt, orders)
}

// wait waits until the next heartbeat is due or ctx ends. It ends the runs that are due in that time.
func (r *Runner) wait(ctx context.Context) {
	for {
		now := r.now()
		r.core.Advance(now)
		next := r.core.NextHeartbeat()
		if now >= next {
			return
		}
		if end, ok := r.core.NextEnd(); ok {
			next = min(next, max(end, now))
		}
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(next - now):
		}
	}
}

// leave sends a heartbeat that says that the runner drains, then deregisters it. It does not wait for active runs.
func (r *Runner) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	r.core.Drain()
	r.heartbeat(ctx)
	_ = r.post(ctx, "deregister", struct{}{}, nil)
}

// post sends a request about this runner to the agent, and decodes a JSON response into result unless result is nil.
func (r *Runner) post(ctx context.Context, verb string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.agent+"/v1/instances/"+r.id+"/"+verb, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", contentJSON)
	response, err := r.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("the agent responds with status %s", response.Status)
	}
	if result == nil || len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, result)
}

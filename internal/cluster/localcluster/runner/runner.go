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
	answerTime  = time.Second            // an answer that comes later is dropped
	retryPause  = 200 * time.Millisecond // after a heartbeat that was not answered
	drainTime   = 1500 * time.Millisecond
	mostAnswer  = 4 << 20
	contentJSON = "application/json"
)

// Runner sends a Core's heartbeats to its agent.
type Runner struct {
	core  *Core
	agent string // URL of the agent, without a last slash
	clock clockwork.Clock
	http  *http.Client
	began time.Time
	id    string
}

// Start returns a runner whose agent listens at host:port; Run runs it. A nil clock is the real one.
func Start(options Options, agent string, clock clockwork.Clock) *Runner {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &Runner{
		core:  New(options),
		agent: "http://" + agent,
		clock: clock,
		http:  &http.Client{},
		began: clock.Now(),
		id:    options.Instance,
	}
}

// Run sends heartbeats until ctx ends; then it says that it leaves, stops what runs, and returns.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.beat(context.Background())
		r.wait(ctx)
	}
	r.leave()
	r.http.CloseIdleConnections()
}

func (r *Runner) now() time.Duration { return r.clock.Since(r.began) }

// beat sends one heartbeat and carries out the answer.
func (r *Runner) beat(ctx context.Context) {
	sent := r.now()
	orders := &protocol.Orders{}
	err := r.post(ctx, "heartbeat", r.core.Report(sent), orders)
	if err != nil {
		r.core.Missed(r.now(), retryPause)
		return
	}
	r.core.Obey(r.now(), sent, orders)
}

// wait waits for the next heartbeat, ending on the way what ends.
func (r *Runner) wait(ctx context.Context) {
	for {
		now := r.now()
		r.core.Advance(now)
		next := r.core.NextBeat()
		if now >= next {
			return
		}
		if end, any := r.core.NextEnd(); any {
			next = min(next, max(end, now))
		}
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(next - now):
		}
	}
}

// leave says that the runner drains, and then that it ends.
func (r *Runner) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	r.core.Drain()
	r.beat(ctx)
	_ = r.post(ctx, "deregister", struct{}{}, nil)
}

func (r *Runner) post(ctx context.Context, verb string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
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
	defer response.Body.Close()
	data, err = io.ReadAll(io.LimitReader(response.Body, mostAnswer))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("the agent answers %s", response.Status)
	}
	if answer == nil || len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, answer)
}

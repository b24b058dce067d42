package simulation

import (
	"encoding/json"
	"net/http"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Paths of the calls to a runner.
const (
	pathStart       = "/v1/run-start"
	pathStop        = "/v1/run-stop"
	pathExtendLease = "/v1/hold"
)

// Why a runner refuses a call.
const (
	rejectedFence    = "fence"
	rejectedOld      = "old"
	rejectedCapacity = "room"
)

// call is the body of a call to a runner.
type call struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"runId"`
	Spec         string `json:"spec"`
	Checkpointed string `json:"checkpointed"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FenceToken   uint64 `json:"fenceToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"wait_ms"`
}

// callResponse is what a runner answers.
type callResponse struct {
	ClockMs  int64                  `json:"clockMs"`
	Why      string                 `json:"why,omitempty"`
	Active   []protocol.ActiveRun   `json:"active,omitempty"`
	Finished []protocol.FinishedRun `json:"finished,omitempty"`
}

// InvocationConn is a connection to one incarnation of a runner that is called.
type InvocationConn struct {
	runner      *Runner
	incarnation *RunnerIncarnation
}

// Connect connects to the present incarnation; reset is called when it ends. It returns nil if the runner is down.
func (r *Runner) Connect(reset func()) *InvocationConn {
	if r.incarnation == nil {
		return nil
	}
	r.resets = append(r.resets, reset)
	return &InvocationConn{runner: r, incarnation: r.incarnation}
}

// Call hands a call over. reply is called at most once, and not if the incarnation ends before.
func (c *InvocationConn) Call(path string, body []byte, reply func(status int, body []byte)) {
	r := c.runner
	if r.incarnation != c.incarnation {
		return
	}
	var asked call
	if err := json.Unmarshal(body, &asked); err != nil {
		reply(http.StatusBadRequest, nil)
		return
	}
	answer := func(told callResponse) {
		if r.incarnation != c.incarnation {
			return
		}
		told.ClockMs = r.clockMs()
		status := http.StatusOK
		if told.Why != "" {
			status = http.StatusConflict
		}
		reply(status, []byte(mustJSON(told)))
	}
	if asked.FenceToken < r.fenceToken {
		answer(callResponse{Why: rejectedFence})
		return
	}
	r.fenceToken = asked.FenceToken
	switch path {
	case pathStart:
		r.extendLeaseUntil(asked.DeadlineMs)
		order := &protocol.StartOrder{Task: asked.Task, Run: asked.RunID, Spec: asked.Spec, Saved: asked.Checkpointed}
		answer(callResponse{Why: r.startRun(order, r.world.now)})
	case pathStop:
		r.stopOrdered(protocol.StopOrder{Task: asked.Task, Run: asked.RunID})
		answer(callResponse{})
	case pathExtendLease:
		r.extendLeaseUntil(asked.DeadlineMs)
		r.acknowledgeEnds(asked.LastSeen)
		r.awaitEnd(time.Duration(asked.WaitMs)*time.Millisecond, func() { answer(r.snapshot()) })
	default:
		reply(http.StatusNotFound, nil)
	}
}

// clockMs is the runner's own clock.
func (r *Runner) clockMs() int64 {
	return time.Duration(float64(r.world.now-r.incarnation.Started) * r.ClockRate).Milliseconds()
}

// extendLeaseUntil holds everything until a time of the runner's own clock.
func (r *Runner) extendLeaseUntil(deadlineMs int64) {
	if left := deadlineMs - r.clockMs(); left > 0 {
		r.extendLease(r.world.now, time.Duration(left)*time.Millisecond)
	}
}

// snapshot is what the runner shows.
func (r *Runner) snapshot() callResponse {
	active, finished := r.lists()
	return callResponse{Active: active, Finished: finished}
}

// awaitEnd calls f at the next end, or once the wait is over.
func (r *Runner) awaitEnd(wait time.Duration, f func()) {
	if wait <= 0 {
		f()
		return
	}
	called := false
	once := func() {
		if !called {
			called = true
			f()
		}
	}
	r.onNextEnd = append(r.onNextEnd, once)
	r.world.After(wait, once)
}

// reportEnd makes an end known: by the next heartbeat, or to the looks that wait for one.
func (r *Runner) reportEnd() {
	if !r.Invoked {
		r.heartbeatSoon()
		return
	}
	awaiting := r.onNextEnd
	r.onNextEnd = nil
	for _, f := range awaiting {
		r.world.After(0, f)
	}
}

// resetConnections lets all who are connected hear that this incarnation has ended.
func (r *Runner) resetConnections() {
	for _, reset := range r.resets {
		r.world.After(LoopbackDelay, reset)
	}
	r.resets, r.onNextEnd = nil, nil
}

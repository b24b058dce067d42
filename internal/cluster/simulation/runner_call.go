package simulation

import (
	"encoding/json"
	"net/http"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Paths of the calls to a runner.
const (
	callStart = "/v1/run-start"
	callStop  = "/v1/run-stop"
	callHold  = "/v1/hold"
)

// Why a runner refuses a call.
const (
	whyFence = "fence"
	whyOld   = "old"
	whyRoom  = "room"
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

// callAnswer is what a runner answers.
type callAnswer struct {
	ClockMs  int64                  `json:"clockMs"`
	Why      string                 `json:"why,omitempty"`
	Active   []protocol.ActiveRun   `json:"active,omitempty"`
	Finished []protocol.FinishedRun `json:"finished,omitempty"`
}

// RunnerConnection is a connection to one incarnation of a runner that is called.
type RunnerConnection struct {
	runner *Runner
	life   *RunnerLife
}

// Connect connects to the present incarnation; reset is called when it ends. It returns nil if the runner is down.
func (r *Runner) Connect(reset func()) *RunnerConnection {
	if r.instance == nil {
		return nil
	}
	r.resets = append(r.resets, reset)
	return &RunnerConnection{runner: r, life: r.instance}
}

// Call hands a call over. reply is called at most once, and not if the incarnation ends before.
func (c *RunnerConnection) Call(path string, body []byte, reply func(status int, body []byte)) {
	r := c.runner
	if r.instance != c.life {
		return
	}
	var asked call
	if err := json.Unmarshal(body, &asked); err != nil {
		reply(http.StatusBadRequest, nil)
		return
	}
	answer := func(told callAnswer) {
		if r.instance != c.life {
			return
		}
		told.ClockMs = r.clockMs()
		status := http.StatusOK
		if told.Why != "" {
			status = http.StatusConflict
		}
		reply(status, []byte(mustJSON(told)))
	}
	if asked.FenceToken < r.fence {
		answer(callAnswer{Why: whyFence})
		return
	}
	r.fence = asked.FenceToken
	switch path {
	case callStart:
		r.holdUntil(asked.DeadlineMs)
		order := &protocol.StartOrder{Task: asked.Task, Run: asked.RunID, Spec: asked.Spec, Saved: asked.Checkpointed}
		answer(callAnswer{Why: r.begin(order, r.world.now)})
	case callStop:
		r.stop(protocol.StopOrder{Task: asked.Task, Run: asked.RunID})
		answer(callAnswer{})
	case callHold:
		r.holdUntil(asked.DeadlineMs)
		r.note(asked.LastSeen)
		r.awaitEnd(time.Duration(asked.WaitMs)*time.Millisecond, func() { answer(r.look()) })
	default:
		reply(http.StatusNotFound, nil)
	}
}

// clockMs is the runner's own clock.
func (r *Runner) clockMs() int64 {
	return time.Duration(float64(r.world.now-r.instance.Up) * r.ClockRate).Milliseconds()
}

// holdUntil holds everything until a time of the runner's own clock.
func (r *Runner) holdUntil(deadlineMs int64) {
	if left := deadlineMs - r.clockMs(); left > 0 {
		r.hold(r.world.now, time.Duration(left)*time.Millisecond)
	}
}

// look is what the runner shows.
func (r *Runner) look() callAnswer {
	active, finished := r.lists()
	return callAnswer{Active: active, Finished: finished}
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
	r.awaiting = append(r.awaiting, once)
	r.world.After(wait, once)
}

// tell makes an end known: by the next heartbeat, or to the looks that wait for one.
func (r *Runner) tell() {
	if !r.Called {
		r.beatSoon()
		return
	}
	awaiting := r.awaiting
	r.awaiting = nil
	for _, f := range awaiting {
		r.world.After(0, f)
	}
}

// resetConnections lets all who are connected hear that this incarnation has ended.
func (r *Runner) resetConnections() {
	for _, reset := range r.resets {
		r.world.After(LoopbackDelay, reset)
	}
	r.resets, r.awaiting = nil, nil
}

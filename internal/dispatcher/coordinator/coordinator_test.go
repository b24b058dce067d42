package coordinator

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/policy"
)

const testTimeout = 20 * time.Second

// fakeEgress is an Egress that passes its attempts to the test, and ends them with the ends that the test sends.
type fakeEgress struct {
	attempts chan *Attempt
	ends     chan AttemptEnd
}

func (e *fakeEgress) Attempt(ctx context.Context, h *Attempt) AttemptEnd {
	h.OnProgress(policy.JobStarted)
	e.attempts <- h
	select {
	case end := <-e.ends:
		return end
	case <-ctx.Done():
		return AttemptEnd{Outcome: policy.Cancelled, Report: policy.NoReport}
	}
}
func (e *fakeEgress) Probe(context.Context, string) AttemptEnd {
	return AttemptEnd{Report: policy.NoReport}
}
func (e *fakeEgress) CloseIdle(string) {}
func (e *fakeEgress) Prune()           {}
func (e *fakeEgress) Subscribe()       {}

func testSettings() policy.Settings {
	return policy.Settings{Schedulers: 1, MinStepInterval: time.Millisecond, ReportsStarts: true, MayCancel: true, MaxAttempts: 4,
		ResponseGrace: 8 * time.Millisecond, ConnectTimeout: 200 * time.Millisecond,
		Classes: []policy.Class{{Name: "c", Semantics: policy.Unsafe, LatencyTarget: 80 * time.Millisecond, LateValue: 1,
			Deadline: time.Minute}}}
}

// run runs a coordinator with a fakeEgress.
func run(t *testing.T, set policy.Settings) (*Coordinator, *fakeEgress) {
	t.Helper()
	return runWith(t, set, func(e *fakeEgress) Egress { return e })
}

// runWith runs a coordinator with one runner, "w", and an Egress that wrap makes of a fakeEgress.
func runWith(t *testing.T, set policy.Settings, wrap func(*fakeEgress) Egress) (*Coordinator, *fakeEgress) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	coordinator, err := New(set, 1, log)
	require.NoError(t, err)
	e := &fakeEgress{attempts: make(chan *Attempt, 16), ends: make(chan AttemptEnd, 16)}
	coordinator.Attach(wrap(e), e)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	coordinator.UpdateList(policy.Event{Kind: policy.ListRestored, Members: []policy.Member{{Worker: "w", Kind: "k"}}})
	go coordinator.Run(ctx)
	return coordinator, e
}

func request(wait time.Duration) *Request {
	now := time.Now()
	return &Request{ID: "r", Class: "c", Arrived: now, Deadline: now.Add(wait), Slots: 1, Work: time.Millisecond}
}

func submit(ctx context.Context, coordinator *Coordinator, r *Request) <-chan Response {
	c := make(chan Response, 1)
	go func() { c <- coordinator.Submit(ctx, r) }()
	return c
}

func receiveResponse(t *testing.T, c <-chan Response) Response {
	t.Helper()
	select {
	case a := <-c:
		return a
	case <-time.After(testTimeout):
		t.Fatal("no response")
		return Response{}
	}
}

func TestServes(t *testing.T) {
	coordinator, e := run(t, testSettings())
	c := submit(context.Background(), coordinator, request(time.Minute))
	assert.Equal(t, "w", (<-e.attempts).Target)
	e.ends <- AttemptEnd{Outcome: policy.OK, Result: []byte("made"), Report: policy.NoReport}
	assert.Equal(t, Response{Kind: Served, Result: []byte("made")}, receiveResponse(t, c))
}

// If the decision module panics, the open requests get a response and the next request is served.
func TestModulePanic(t *testing.T) {
	coordinator, e := run(t, testSettings())
	c := submit(context.Background(), coordinator, request(time.Minute))
	<-e.attempts
	coordinator.enqueue(func() { // a module without a Dispatcher panics at its next event
		m := coordinator.modules[len(coordinator.modules)-1]
		m.events = append(m.events, policy.Event{Kind: policy.AttemptEnded, ID: 1, Report: policy.NoReport,
			Worker: "w", Outcome: policy.Failed})
		m.dispatcher = nil
	})
	assert.Equal(t, InternalFault, receiveResponse(t, c).Kind)
	next := request(time.Minute)
	next.ID = "next"
	c = submit(context.Background(), coordinator, next)
	<-e.attempts
	e.ends <- AttemptEnd{Outcome: policy.OK, Report: policy.NoReport}
	assert.Equal(t, Served, receiveResponse(t, c).Kind)
}

// If the decision module loses a request, the coordinator itself responds.
func TestOverdueRequestIsFailed(t *testing.T) {
	set := testSettings()
	set.ResponseGrace = 0
	coordinator, e := run(t, set)
	c := submit(context.Background(), coordinator, request(100*time.Millisecond))
	<-e.attempts
	coordinator.enqueue(func() {
		coordinator.modules[len(coordinator.modules)-1].dispatcher, _ = policy.New(coordinator.settings, 2)
	}) // the new one doesn't have the request
	assert.Equal(t, InternalFault, receiveResponse(t, c).Kind)
}

// If a request has the id of another request that is open or has its response, it is neither served nor sent to a
// runner, because the runner would take it for a duplicate. The first request isn't affected.
func TestDuplicateID(t *testing.T) {
	coordinator, e := run(t, testSettings())
	c := submit(context.Background(), coordinator, request(time.Minute))
	<-e.attempts
	assert.Equal(t, DuplicateID, receiveResponse(t, submit(context.Background(), coordinator, request(time.Minute))).Kind)
	e.ends <- AttemptEnd{Outcome: policy.OK, Report: policy.NoReport}
	assert.Equal(t, Served, receiveResponse(t, c).Kind)
	assert.Equal(t, DuplicateID, receiveResponse(t, submit(context.Background(), coordinator, request(time.Minute))).Kind)
	assert.Empty(t, e.attempts)
}

// The number of remembered ids of requests with a response is bounded: the oldest one is forgotten first.
func TestRespondedIDsAreBounded(t *testing.T) {
	coordinator, _ := run(t, testSettings())
	left := make(chan bool, 2)
	coordinator.enqueue(func() {
		for n := range maxRespondedIDs + 1 {
			coordinator.ids[fmt.Sprint(n)] = true
			coordinator.rememberID(fmt.Sprint(n))
		}
		left <- coordinator.ids["0"]
		left <- len(coordinator.ids) == maxRespondedIDs && coordinator.ids["1"]
	})
	assert.False(t, <-left)
	assert.True(t, <-left)
}

// Invalid requests of one client don't make a runner look unhealthy: it still gets the next request at once.
func TestInvalidRequestIsNotTheTargetsFault(t *testing.T) {
	coordinator, e := run(t, testSettings())
	for n := range 3 {
		r := request(time.Minute)
		r.ID = fmt.Sprint(n)
		c := submit(context.Background(), coordinator, r)
		<-e.attempts
		e.ends <- AttemptEnd{Outcome: policy.Cancelled, InvalidRequest: true, Report: policy.NoReport}
		assert.Equal(t, InvalidRequest, receiveResponse(t, c).Kind)
	}
	assert.Empty(t, e.attempts, "an invalid request must not be retried")
}

// When a client disconnects, its attempt is cancelled, and after the attempt's end no state of the request is left.
func TestClientDisconnects(t *testing.T) {
	coordinator, e := run(t, testSettings())
	ctx, disconnect := context.WithCancel(context.Background())
	c := submit(ctx, coordinator, request(time.Minute))
	<-e.attempts
	disconnect()
	assert.Equal(t, ClientDisconnected, receiveResponse(t, c).Kind)
	require.Eventually(t, func() bool {
		left := make(chan int, 1)
		coordinator.enqueue(func() { left <- len(coordinator.jobs) })
		return <-left == 0
	}, testTimeout, time.Millisecond, "the request is still known")
}

// After Close, an open request that may have run fails, and later requests are shed at once.
func TestClose(t *testing.T) {
	coordinator, e := run(t, testSettings())
	out := submit(context.Background(), coordinator, request(time.Minute))
	<-e.attempts
	coordinator.Close()
	assert.Equal(t, Failed, receiveResponse(t, out).Kind)
	next := request(time.Minute)
	next.ID = "next"
	assert.Equal(t, Shed, receiveResponse(t, submit(context.Background(), coordinator, next)).Kind)
}

// Only the first response counts: a second one is ignored, and an attempt that the module sends after it ends as moot.
func TestSendAfterTheResponseIsMoot(t *testing.T) {
	coordinator, _ := run(t, testSettings())
	got := make(chan policy.Event, 1)
	coordinator.enqueue(func() {
		m := coordinator.modules[0]
		j := &job{id: 7, request: request(time.Minute), response: make(chan Response, 1), overdueTimer: time.NewTimer(time.Hour), openAttempts: 1,
			module: m}
		coordinator.jobs[7] = j
		coordinator.respond(j, Response{Kind: Failed})
		coordinator.respond(j, Response{Kind: Served})
		coordinator.apply(t.Context(), m, &policy.Action{Kind: policy.Send, ID: 7, Worker: "w"})
		got <- m.events[len(m.events)-1]
		assert.Equal(t, Failed, (<-j.response).Kind)
	})
	e := <-got
	assert.Equal(t, policy.Moot, e.Outcome)
	assert.True(t, e.Responded)
}

func TestClockIsUnixTimeAndMonotonic(t *testing.T) {
	c := newClock()
	assert.InDelta(t, float64(time.Now().UnixNano()), float64(c.now()), float64(time.Minute))
	at := time.Now().Add(time.Second)
	assert.Equal(t, time.Second, c.at(at)-c.at(at.Add(-time.Second)))
}

// Steps are at least Settings.MinStepInterval apart, however many events arrive.
func TestStepsKeepThePeriod(t *testing.T) {
	set := testSettings()
	set.MinStepInterval = 20 * time.Millisecond
	coordinator, _ := run(t, set)
	var steps []time.Duration
	for range 40 {
		c := make(chan time.Duration, 1)
		coordinator.enqueue(func() {
			coordinator.broadcast(policy.Event{Kind: policy.TimerFired})
			c <- coordinator.lastStepAt
		})
		if at := <-c; len(steps) == 0 || steps[len(steps)-1] != at {
			steps = append(steps, at)
		}
		time.Sleep(3 * time.Millisecond)
	}
	require.Greater(t, len(steps), 2)
	for i := 2; i < len(steps); i++ {
		assert.GreaterOrEqual(t, steps[i]-steps[i-1], set.MinStepInterval)
	}
}

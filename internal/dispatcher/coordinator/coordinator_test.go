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

const patience = 20 * time.Second

// targets is an Egress whose attempts end as the test says.
type targets struct {
	attempts chan *Attempt
	ends     chan AttemptEnd
}

func (e *targets) Attempt(ctx context.Context, h *Attempt) AttemptEnd {
	h.News(policy.JobStarted)
	e.attempts <- h
	select {
	case end := <-e.ends:
		return end
	case <-ctx.Done():
		return AttemptEnd{Outcome: policy.Cancelled, Report: policy.NoReport}
	}
}
func (e *targets) Probe(context.Context, string) AttemptEnd {
	return AttemptEnd{Report: policy.NoReport}
}
func (e *targets) CloseIdle(string) {}
func (e *targets) Prune()           {}
func (e *targets) Subscribe()       {}

func testSettings() policy.Settings {
	return policy.Settings{Schedulers: 1, Period: time.Millisecond, ReportsStarts: true, Cancel: true, MaxAttempts: 4,
		ResponseGrace: 8 * time.Millisecond, ConnectTimeout: 200 * time.Millisecond,
		Classes: []policy.Class{{Name: "c", Semantics: policy.Unsafe, LatencyTarget: 80 * time.Millisecond, LateValue: 1,
			Deadline: time.Minute}}}
}

func run(t *testing.T, set policy.Settings) (*Coordinator, *targets) {
	t.Helper()
	return runWith(t, set, func(e *targets) Egress { return e })
}

// runWith has an Egress of the test's own before the targets.
func runWith(t *testing.T, set policy.Settings, before func(*targets) Egress) (*Coordinator, *targets) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	coordinator, err := New(set, 1, log)
	require.NoError(t, err)
	e := &targets{attempts: make(chan *Attempt, 16), ends: make(chan AttemptEnd, 16)}
	coordinator.Attach(before(e), e)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	coordinator.News(policy.Event{Kind: policy.ListRestored, Members: []policy.Member{{Worker: "w", Kind: "k"}}})
	go coordinator.Run(ctx)
	return coordinator, e
}

func request(wait time.Duration) *Request {
	now := time.Now()
	return &Request{ID: "r", Class: "c", Arrived: now, Deadline: now.Add(wait), Slots: 1, Work: time.Millisecond}
}

func submit(ctx context.Context, coordinator *Coordinator, r *Request) <-chan Answer {
	c := make(chan Answer, 1)
	go func() { c <- coordinator.Submit(ctx, r) }()
	return c
}

func answerOf(t *testing.T, c <-chan Answer) Answer {
	t.Helper()
	select {
	case a := <-c:
		return a
	case <-time.After(patience):
		t.Fatal("no answer")
		return Answer{}
	}
}

func TestServes(t *testing.T) {
	coordinator, e := run(t, testSettings())
	c := submit(context.Background(), coordinator, request(time.Minute))
	assert.Equal(t, "w", (<-e.attempts).Target)
	e.ends <- AttemptEnd{Outcome: policy.OK, Result: []byte("made"), Report: policy.NoReport}
	assert.Equal(t, Answer{Kind: Served, Result: []byte("made")}, answerOf(t, c))
}

// Guards against a module that panics: what is open is answered, and the next request is served.
func TestPanicInTheModule(t *testing.T) {
	coordinator, e := run(t, testSettings())
	c := submit(context.Background(), coordinator, request(time.Minute))
	<-e.attempts
	coordinator.do(func() { // the module has no kind for this worker, and trips over it
		m := coordinator.mods[len(coordinator.mods)-1]
		m.events = append(m.events, policy.Event{Kind: policy.AttemptEnded, ID: 1, Report: policy.NoReport,
			Worker: "w", Outcome: policy.Failed})
		m.d = nil
	})
	assert.Equal(t, Broken, answerOf(t, c).Kind)
	next := request(time.Minute)
	next.ID = "next"
	c = submit(context.Background(), coordinator, next)
	<-e.attempts
	e.ends <- AttemptEnd{Outcome: policy.OK, Report: policy.NoReport}
	assert.Equal(t, Served, answerOf(t, c).Kind)
}

// Guards against a module that forgets a request: the net under it answers.
func TestOverdueRequestIsAnswered(t *testing.T) {
	set := testSettings()
	set.ResponseGrace = 0
	coordinator, e := run(t, set)
	c := submit(context.Background(), coordinator, request(100*time.Millisecond))
	<-e.attempts
	coordinator.do(func() { coordinator.mods[len(coordinator.mods)-1].d, _ = policy.New(coordinator.set, 2) }) // it knows of nothing
	assert.Equal(t, Broken, answerOf(t, c).Kind)
}

// Guards against a client that uses the id of another's request, while that one is open or after it: the first
// goes on, and the second is neither served nor sent to a runner, which would take it for a second copy.
func TestRepeatedID(t *testing.T) {
	coordinator, e := run(t, testSettings())
	c := submit(context.Background(), coordinator, request(time.Minute))
	<-e.attempts
	assert.Equal(t, Repeated, answerOf(t, submit(context.Background(), coordinator, request(time.Minute))).Kind)
	e.ends <- AttemptEnd{Outcome: policy.OK, Report: policy.NoReport}
	assert.Equal(t, Served, answerOf(t, c).Kind)
	assert.Equal(t, Repeated, answerOf(t, submit(context.Background(), coordinator, request(time.Minute))).Kind)
	assert.Empty(t, e.attempts)
}

// The ids of answered requests are forgotten in order, so that memory stays bounded.
func TestIDsAreForgotten(t *testing.T) {
	coordinator, _ := run(t, testSettings())
	left := make(chan bool, 2)
	coordinator.do(func() {
		for n := range idMemory + 1 {
			coordinator.ids[fmt.Sprint(n)] = true
			coordinator.retire(fmt.Sprint(n))
		}
		left <- coordinator.ids["0"]
		left <- len(coordinator.ids) == idMemory && coordinator.ids["1"]
	})
	assert.False(t, <-left)
	assert.True(t, <-left)
}

// Guards against one client's faulty requests making a runner look sick: it gets the next request at once.
func TestRejectedRequestIsNotTheTargetsFault(t *testing.T) {
	coordinator, e := run(t, testSettings())
	for n := range 3 {
		r := request(time.Minute)
		r.ID = fmt.Sprint(n)
		c := submit(context.Background(), coordinator, r)
		<-e.attempts
		e.ends <- AttemptEnd{Outcome: policy.Cancelled, Rejected: true, Report: policy.NoReport}
		assert.Equal(t, Rejected, answerOf(t, c).Kind)
	}
	assert.Empty(t, e.attempts, "sent again")
}

// A client that leaves ends its attempt, whose one end still comes; nothing stays behind.
func TestClientLeaves(t *testing.T) {
	coordinator, e := run(t, testSettings())
	ctx, leave := context.WithCancel(context.Background())
	c := submit(ctx, coordinator, request(time.Minute))
	<-e.attempts
	leave()
	assert.Equal(t, Left, answerOf(t, c).Kind)
	require.Eventually(t, func() bool {
		left := make(chan int, 1)
		coordinator.do(func() { left <- len(coordinator.jobs) })
		return <-left == 0
	}, patience, time.Millisecond, "the attempt was not called off")
}

// At a stop what may have run is failed, what never ran is refused, and what still comes is refused at once.
func TestClose(t *testing.T) {
	coordinator, e := run(t, testSettings())
	out := submit(context.Background(), coordinator, request(time.Minute))
	<-e.attempts
	coordinator.Close()
	assert.Equal(t, Failed, answerOf(t, out).Kind)
	next := request(time.Minute)
	next.ID = "next"
	assert.Equal(t, Refused, answerOf(t, submit(context.Background(), coordinator, next)).Kind)
}

// The first end counts: an attempt that is sent after its request was answered is moot, and one that ends again
// changes nothing.
func TestSendAfterTheAnswerIsMoot(t *testing.T) {
	coordinator, _ := run(t, testSettings())
	got := make(chan policy.Event, 1)
	coordinator.do(func() {
		m := coordinator.mods[0]
		j := &job{id: 7, r: request(time.Minute), answer: make(chan Answer, 1), overdue: time.NewTimer(time.Hour), out: 1,
			mod: m}
		coordinator.jobs[7] = j
		coordinator.reply(j, Answer{Kind: Failed})
		coordinator.reply(j, Answer{Kind: Served})
		coordinator.act(m, &policy.Action{Kind: policy.Send, ID: 7, Worker: "w"})
		got <- m.events[len(m.events)-1]
		assert.Equal(t, Failed, (<-j.answer).Kind)
	})
	e := <-got
	assert.Equal(t, policy.Moot, e.Outcome)
	assert.True(t, e.Complete)
}

func TestClockIsUnixTimeAndMonotonic(t *testing.T) {
	c := newClock()
	assert.InDelta(t, float64(time.Now().UnixNano()), float64(c.now()), float64(time.Minute))
	at := time.Now().Add(time.Second)
	assert.Equal(t, time.Second, c.at(at)-c.at(at.Add(-time.Second)))
}

// Steps keep the settings' distance, however much comes in.
func TestStepsKeepTheirDistance(t *testing.T) {
	set := testSettings()
	set.Period = 20 * time.Millisecond
	coordinator, _ := run(t, set)
	var steps []time.Duration
	for range 40 {
		c := make(chan time.Duration, 1)
		coordinator.do(func() {
			coordinator.toAll(policy.Event{Kind: policy.TimerFired})
			c <- coordinator.stepAt
		})
		if at := <-c; len(steps) == 0 || steps[len(steps)-1] != at {
			steps = append(steps, at)
		}
		time.Sleep(3 * time.Millisecond)
	}
	require.Greater(t, len(steps), 2)
	for i := 2; i < len(steps); i++ {
		assert.GreaterOrEqual(t, steps[i]-steps[i-1], set.Period)
	}
}

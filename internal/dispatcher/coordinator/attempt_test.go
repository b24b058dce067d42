package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ospreypond/policy"
)

// dialling is an Egress whose attempts have no byte on the wire until the test lets them begin.
type dialling struct {
	*targets
	began chan error // what Begin said
	let   chan bool
	ended chan error // how the attempt's context ended, if it did
}

func (e *dialling) Attempt(ctx context.Context, h *Attempt) AttemptEnd {
	e.attempts <- h
	if <-e.let {
		e.began <- h.Begin(time.Now())
	}
	select {
	case end := <-e.ends:
		return end
	case <-ctx.Done():
		e.ended <- context.Cause(ctx)
		return AttemptEnd{Outcome: policy.Moot, Report: policy.NoReport}
	}
}

func runDialling(t *testing.T, set policy.Settings) (*Coordinator, *dialling) {
	d := &dialling{began: make(chan error, 9), let: make(chan bool, 9), ended: make(chan error, 9)}
	coordinator, _ := runWith(t, set, func(e *targets) Egress { d.targets = e; return d })
	return coordinator, d
}

// An attempt that is still being dialled when its client leaves is given up, also where what was sent can't be called off:
// its first byte is refused. One that began before goes on there.
func TestLeavingGivesUpWhatHasNotBegun(t *testing.T) {
	set := testSettings()
	set.Cancel = false
	for name, begunFirst := range map[string]bool{"in the dial": false, "on the wire": true} {
		t.Run(name, func(t *testing.T) {
			coordinator, e := runDialling(t, set)
			ctx, leave := context.WithCancel(context.Background())
			c := submit(ctx, coordinator, request(time.Minute))
			h := <-e.attempts
			e.let <- begunFirst
			if begunFirst {
				require.NoError(t, <-e.began)
			}
			leave()
			assert.Equal(t, Left, answerOf(t, c).Kind)
			if !begunFirst {
				assert.ErrorIs(t, <-e.ended, context.Canceled)
			} else {
				require.Eventually(t, func() bool { return h.Begin(time.Now()) == ErrRevoked }, patience, time.Millisecond,
					"not again on another connection")
				assert.Empty(t, e.ended, "it can't be called off")
				e.ends <- AttemptEnd{Outcome: policy.OK, Report: policy.NoReport}
			}
			assert.ErrorIs(t, h.Begin(time.Now()), ErrRevoked)
		})
	}
}

// A repeat goes out within the window of its key, counted as its first byte goes out: not as it was decided, before a
// dial that took long.
func TestRepeatBeginsWithinItsWindow(t *testing.T) {
	set := testSettings()
	set.Classes[0].Semantics, set.Classes[0].Scope, set.Classes[0].Window = policy.Keyed, policy.ScopeAll, 30*time.Second
	coordinator, e := runDialling(t, set)
	c := submit(context.Background(), coordinator, request(time.Minute))
	sent := time.Now()
	first := <-e.attempts
	decided := time.Now() // the module sent it between the two, however busy the machine is
	e.let <- true
	require.NoError(t, <-e.began)
	assert.NoError(t, first.Begin(sent.Add(40*time.Second)), "the first attempt has the client's time")
	assert.ErrorIs(t, first.Begin(sent.Add(61*time.Second)), ErrTooLate)
	e.ends <- AttemptEnd{Outcome: policy.Reset, Report: policy.NoReport}
	again := <-e.attempts
	assert.NoError(t, again.Begin(sent.Add(29*time.Second)))
	assert.ErrorIs(t, again.Begin(decided.Add(30*time.Second)), ErrTooLate)
	e.let <- true
	require.NoError(t, <-e.began)
	e.ends <- AttemptEnd{Outcome: policy.OK, Report: policy.NoReport}
	assert.Equal(t, Served, answerOf(t, c).Kind)
}

// A client that leaves while the coordinator is busy is not waited for, and its request is never taken.
func TestLeavingIsNoticedInTheInbox(t *testing.T) {
	coordinator, e := run(t, testSettings())
	busy, over := make(chan bool), make(chan bool)
	coordinator.do(func() { busy <- true; <-over })
	<-busy
	for range inboxSize {
		coordinator.do(func() {})
	}
	ctx, leave := context.WithCancel(context.Background())
	c := submit(ctx, coordinator, request(time.Minute))
	time.Sleep(10 * time.Millisecond)
	leave()
	assert.Equal(t, Left, answerOf(t, c).Kind)
	close(over)
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, e.attempts)
}

// All orders of an attempt's tries, the end of its request and the time that passes: what was revoked or is late never begins,
// and exactly what never began is called off.
func TestAllOrdersOfAnAttemptsBeginning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		s := &start{by: now.Add(time.Second)}
		begun, revoked := false, false
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"begin": func(t *rapid.T) {
				err := s.begin(now)
				if want := !revoked && now.Before(s.by); (err == nil) != want {
					t.Fatalf("begin: %v, revoked %v", err, revoked)
				}
				begun = begun || err == nil
			},
			"revoke": func(t *rapid.T) {
				if s.revoke() == begun {
					t.Fatal("called off though it began, or not though it did not")
				}
				revoked = true
			},
		})
	})
}

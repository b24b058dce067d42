package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ospreypond/policy"
)

// dialingEgress is an Egress that simulates slow dialing: its attempts call Begin only when the test allows it.
type dialingEgress struct {
	*fakeEgress
	began chan error // the result of Begin
	allow chan bool  // false: the attempt continues without a call of Begin
	ended chan error // the cause of the end of the attempt's context
}

func (e *dialingEgress) Attempt(ctx context.Context, h *Attempt) AttemptEnd {
	e.attempts <- h
	if <-e.allow {
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

func runDialing(t *testing.T, set policy.Settings) (*Coordinator, *dialingEgress) {
	t.Helper()
	d := &dialingEgress{began: make(chan error, 9), allow: make(chan bool, 9), ended: make(chan error, 9)}
	coordinator, _ := runWith(t, set, func(e *fakeEgress) Egress { d.fakeEgress = e; return d })
	return coordinator, d
}

// If a client disconnects while its attempt is still being dialed, the attempt is cancelled and its first byte refused,
// also where the settings forbid cancelling attempts that were sent. An attempt that has begun isn't cancelled.
func TestDisconnectCancelsUnbegunAttempt(t *testing.T) {
	set := testSettings()
	set.MayCancel = false
	for name, begunFirst := range map[string]bool{"while dialing": false, "on the wire": true} {
		t.Run(name, func(t *testing.T) {
			coordinator, e := runDialing(t, set)
			ctx, disconnect := context.WithCancel(context.Background())
			c := submit(ctx, coordinator, request(time.Minute))
			h := <-e.attempts
			e.allow <- begunFirst
			if begunFirst {
				require.NoError(t, <-e.began)
			}
			disconnect()
			assert.Equal(t, ClientDisconnected, receiveResponse(t, c).Kind)
			if !begunFirst {
				assert.ErrorIs(t, <-e.ended, context.Canceled)
			} else {
				require.Eventually(t, func() bool { return errors.Is(h.Begin(time.Now()), ErrRevoked) }, testTimeout, time.Millisecond,
					"it must not begin on another connection")
				assert.Empty(t, e.ended, "it must not be cancelled")
				e.ends <- AttemptEnd{Outcome: policy.OK, Report: policy.NoReport}
			}
			assert.ErrorIs(t, h.Begin(time.Now()), ErrRevoked)
		})
	}
}

// A second attempt of a keyed request must write its first byte within the class's window for duplicates. The time of
// the decision doesn't count, as dialing may take long.
func TestRetryBeginsWithinItsKeysWindow(t *testing.T) {
	set := testSettings()
	set.Classes[0].Semantics, set.Classes[0].DedupScope, set.Classes[0].DedupWindow = policy.Keyed, policy.ScopeAll, 30*time.Second
	coordinator, e := runDialing(t, set)
	c := submit(context.Background(), coordinator, request(time.Minute))
	sent := time.Now()
	first := <-e.attempts
	decided := time.Now() // the module sent the attempt between sent and decided, also on a busy machine
	e.allow <- true
	require.NoError(t, <-e.began)
	assert.NoError(t, first.Begin(sent.Add(40*time.Second)), "the first attempt may begin until the client's deadline")
	assert.ErrorIs(t, first.Begin(sent.Add(61*time.Second)), ErrTooLate)
	e.ends <- AttemptEnd{Outcome: policy.Reset, Report: policy.NoReport}
	retry := <-e.attempts
	assert.NoError(t, retry.Begin(sent.Add(29*time.Second)))
	assert.ErrorIs(t, retry.Begin(decided.Add(30*time.Second)), ErrTooLate)
	e.allow <- true
	require.NoError(t, <-e.began)
	e.ends <- AttemptEnd{Outcome: policy.OK, Report: policy.NoReport}
	assert.Equal(t, Served, receiveResponse(t, c).Kind)
}

// If a client disconnects while the inbox is full, Submit returns at once, and its request is never sent.
func TestDisconnectIsNoticedWhileQueued(t *testing.T) {
	coordinator, e := run(t, testSettings())
	busy, over := make(chan bool), make(chan bool)
	coordinator.enqueue(func() { busy <- true; <-over })
	<-busy
	for range inboxSize {
		coordinator.enqueue(func() {})
	}
	ctx, disconnect := context.WithCancel(context.Background())
	c := submit(ctx, coordinator, request(time.Minute))
	time.Sleep(10 * time.Millisecond)
	disconnect()
	assert.Equal(t, ClientDisconnected, receiveResponse(t, c).Kind)
	close(over)
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, e.attempts)
}

// In any order of calls of begin and revoke and of the passing of time, begin fails after a revocation or the deadline
// and only then, and revoke reports whether no begin has succeeded.
func TestFirstByteGateInAllOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		s := &firstByteGate{deadline: now.Add(time.Second)}
		begun, revoked := false, false
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"begin": func(t *rapid.T) {
				err := s.begin(now)
				if want := !revoked && now.Before(s.deadline); (err == nil) != want {
					t.Fatalf("begin returned %v after revoked = %v", err, revoked)
				}
				begun = begun || err == nil
			},
			"revoke": func(t *rapid.T) {
				if unbegun := s.revoke(); unbegun == begun {
					t.Fatalf("begun = %v, but revoke reports that it never began: %v", begun, unbegun)
				}
				revoked = true
			},
		})
	})
}

package agent

import (
	"context"
	"time"
)

// session is a pair of connections to one incarnation of a runner: one for polls, which mostly wait for an end, and one
// for orders meanwhile. After an error of either both are closed.
type session struct {
	polls  *link
	orders *link

	confirmed   bool      // it is certain which incarnation answers
	linkedAt    time.Time // when the runner's clock was asked for on the newer connection
	linkClockMs int64     // the runner's clock then

	polling     bool // a poll is in flight
	polledAt    time.Time
	pollResults chan pollResult // buffered, so that the one poll in flight never blocks
}

// pollResult is the outcome of a poll.
type pollResult struct {
	response *pollResponse
	err      error
}

// openSession connects to the runner. The session must be closed.
func openSession(ctx context.Context, dial Dial, address string) (*session, error) {
	s := &session{pollResults: make(chan pollResult, 1)}
	var err error
	if s.orders, err = dialLink(ctx, dial, address); err != nil {
		return nil, err
	}
	if s.polls, err = dialLink(ctx, dial, address); err != nil {
		s.orders.close()
		return nil, err
	}
	return s, nil
}

// queryClock asks for the runner's clock. It grants no lease. A *rejectedError means that the fencing token is too low.
func (s *session) queryClock(ctx context.Context, fenceToken uint64, now func() time.Time) error {
	response, err := s.polls.poll(ctx, orderTerms{fenceToken: fenceToken}, 0)
	if err != nil {
		return err
	}
	s.linkedAt = now()
	s.linkClockMs = response.clockMs
	return nil
}

// startPoll begins a poll, whose result comes on s.pollResults. Closing the session ends it early.
func (s *session) startPoll(ctx context.Context, terms orderTerms, wait time.Duration, now time.Time) {
	s.polling = true
	s.polledAt = now
	go func() {
		response, err := s.polls.poll(ctx, terms, wait)
		s.pollResults <- pollResult{response, err}
	}()
}

func (s *session) close() {
	s.polls.close()
	s.orders.close()
}

// Bounds within which a heartbeat proves that its runner is the one that answers in a session.
const (
	// clockTolerance bounds the difference between the runner's clock in a heartbeat and the same clock in the session.
	clockTolerance = 150 * time.Millisecond
	// maxClockDrift bounds how far the runner's clock drifts from ours, as a fraction of the time between.
	maxClockDrift = 0.03
	// minRestartTime is less than the time that a runner takes to end and return as another incarnation.
	minRestartTime = 300 * time.Millisecond
)

// confirm reports whether it is certain that the incarnation that sent a heartbeat, which arrived at that time with that
// clock, is the one that answers in the session, and not a later one at the same address: calls don't name the
// incarnation. The proof is that the clock that answers in the session has sent the heartbeat, not long before the session
// began.
func (s *session) confirm(clockMs int64, arrived time.Time) bool {
	if s.confirmed {
		return true
	}
	elapsed := arrived.Sub(s.linkedAt)
	if elapsed < -minRestartTime {
		return false
	}
	elapsedByRunner := time.Duration(clockMs-s.linkClockMs) * time.Millisecond
	tolerance := clockTolerance + time.Duration(maxClockDrift*float64(elapsed.Abs()))
	s.confirmed = (elapsedByRunner - elapsed).Abs() <= tolerance
	return s.confirmed
}

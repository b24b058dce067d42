package agent

import (
	"context"
	"time"
)

// session is a pair of connections to one incarnation of a runner. Polls have a connection of their own, as their responses
// may be delayed until a run ends, and starts and stops must not wait for that. An error on one connection closes both.
type session struct {
	polls  *link
	orders *link // for starts and stops

	confirmed   bool      // it is certain that the expected incarnation answers; see confirm
	clockReadAt time.Time // agent's clock when the response with clockReadMs arrived
	clockReadMs int64     // runner's clock in ms, read on the connection that was opened last

	polling     bool            // a poll is in flight
	polledAt    time.Time       // when the newest poll began
	pollResults chan pollResult // buffered, so that the goroutine of the one poll in flight never blocks
}

// pollResult is the outcome of a poll: a response or an error.
type pollResult struct {
	response *pollResponse
	err      error
}

// openSession opens both connections to the runner. The caller must close the session.
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

// queryClock reads the runner's clock by a poll that grants no lease. A *rejectedError means that the fencing token is lower
// than the highest token that the runner has seen.
func (s *session) queryClock(ctx context.Context, fenceToken uint64, now func() time.Time) error {
	response, err := s.polls.poll(ctx, callParameters{fenceToken: fenceToken}, 0)
	if err != nil {
		return err
	}
	s.clockReadAt = now()
	s.clockReadMs = response.clockMs
	return nil
}

// startPoll starts a poll in a goroutine that sends the result to s.pollResults. The poll fails when the session is closed.
func (s *session) startPoll(ctx context.Context, parameters callParameters, wait time.Duration, now time.Time) {
	s.polling = true
	s.polledAt = now
	go func() {
		response, err := s.polls.poll(ctx, parameters, wait)
		s.pollResults <- pollResult{response, err}
	}()
}

// close closes both connections.
func (s *session) close() {
	s.polls.close()
	s.orders.close()
}

// Bounds of session.confirm.
const (
	// clockTolerance bounds by how much delays on the network make two readings of one clock, one in a heartbeat and one in
	// the session, appear to differ.
	clockTolerance = 150 * time.Millisecond
	// maxClockDrift bounds how far the runner's clock drifts from the agent's, as a fraction of the time between the
	// readings.
	maxClockDrift = 0.03
	// minRestartTime is less than the time that a runner takes to end and to start again as another incarnation.
	minRestartTime = 300 * time.Millisecond
)

// confirm reports whether it is certain that the process that answers in the session is the incarnation that has sent a
// heartbeat. clockMs is the runner's clock in that heartbeat, arrived the agent's clock when it arrived. A later incarnation
// at the same address must not get calls that are meant for this one, and calls don't name the incarnation.
//
// Each incarnation has its own clock. The heartbeat proves the identity if
//
//   - it arrived at most minRestartTime before the clock was read in the session, so that no other incarnation can have
//     started between the two; and
//   - both readings are of one clock: (clockMs - clockReadMs) and (arrived - clockReadAt) differ by at most
//     clockTolerance + maxClockDrift * |arrived - clockReadAt|.
//
// A confirmed session stays confirmed, because its links never reconnect.
func (s *session) confirm(clockMs int64, arrived time.Time) bool {
	if s.confirmed {
		return true
	}
	elapsed := arrived.Sub(s.clockReadAt)
	if elapsed < -minRestartTime {
		return false
	}
	elapsedByRunner := time.Duration(clockMs-s.clockReadMs) * time.Millisecond
	tolerance := clockTolerance + time.Duration(maxClockDrift*float64(elapsed.Abs()))
	s.confirmed = (elapsedByRunner - elapsed).Abs() <= tolerance
	return s.confirmed
}

package agent

import (
	"context"
	"time"
)

// session is two connections to one incarnation of a runner: one on which it is looked at, mostly waiting for an end, and
// one for orders meanwhile. After an error of either both are given up.
type session struct {
	looks  *link
	orders *link

	confirmed bool      // it is certain which incarnation answers
	linkedAt  time.Time // when the runner's clock was asked on the newer connection
	linkClock int64     // the runner's clock then, ms

	looking  bool // a look is out
	lookedAt time.Time
	result   chan lookResult
}

type lookResult struct {
	seen *look
	err  error
}

// openSession connects to the runner.
func openSession(ctx context.Context, dial Dial, address string) (*session, error) {
	s := &session{result: make(chan lookResult, 1)}
	var err error
	if s.orders, err = dialLink(ctx, dial, address); err != nil {
		return nil, err
	}
	if s.looks, err = dialLink(ctx, dial, address); err != nil {
		s.orders.close()
		return nil, err
	}
	return s, nil
}

// question asks the runner's clock. It grants nothing. A *refusal says that the fence token is too low.
func (s *session) question(ctx context.Context, fenceToken uint64, now func() time.Time) error {
	seen, err := s.looks.hold(ctx, terms{fenceToken: fenceToken}, 0)
	if err != nil {
		return err
	}
	s.linkedAt = now()
	s.linkClock = seen.clockMs
	return nil
}

// look begins a look, whose result comes on s.result.
func (s *session) look(ctx context.Context, given terms, wait time.Duration, now time.Time) {
	s.looking = true
	s.lookedAt = now
	go func() {
		seen, err := s.looks.hold(ctx, given, wait)
		s.result <- lookResult{seen, err}
	}()
}

func (s *session) close() {
	s.looks.close()
	s.orders.close()
}

// Bounds within which a heartbeat proves that its runner is what answers in a session.
const (
	// clockTolerance is how far the runner's clock in a heartbeat may be from the same clock in the session.
	clockTolerance = 150 * time.Millisecond
	// clockDrift is how far the runner's clock may drift from ours, as a share of the time between.
	clockDrift = 0.03
	// restartTime is less than a runner takes to end and come back as another incarnation.
	restartTime = 300 * time.Millisecond
)

// confirm takes the newest heartbeat of an incarnation and tells whether it is certain that this incarnation answers in
// the session, and not one that followed it at the same address: calls don't name the incarnation. What proves it is a
// heartbeat that was sent by the clock which answers in the session, and not long before the session began.
func (s *session) confirm(clockMs int64, arrived time.Time) bool {
	if s.confirmed {
		return true
	}
	between := arrived.Sub(s.linkedAt)
	if between < -restartTime {
		return false
	}
	byRunner := time.Duration(clockMs-s.linkClock) * time.Millisecond
	tolerance := clockTolerance + time.Duration(clockDrift*float64(between.Abs()))
	s.confirmed = (byRunner - between).Abs() <= tolerance
	return s.confirmed
}

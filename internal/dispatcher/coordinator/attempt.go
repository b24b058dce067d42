package coordinator

import (
	"context"
	"sync"
	"time"

	"ospreypond/policy"
)

// attempt is the state of an attempt that the goroutine of Run owns, and the gate that the goroutine of the
// attempt's connection passes.
type attempt struct {
	cancel  context.CancelFunc
	gate    *firstByteGate
	target  string
	sent    time.Time
	took    time.Duration
	ended   bool
	outcome policy.Outcome
}

// firstByteGate decides, under its lock, which comes first: an attempt's first byte or the end of its request. So an
// attempt that is still being dialed when its client disconnects can always be cancelled, also where an attempt that
// was sent must not be.
type firstByteGate struct {
	mu       sync.Mutex
	deadline time.Time // the first byte must be written before it
	begun    bool
	revoked  bool
}

// activate is Attempt.Begin.
func (s *firstByteGate) begin(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.revoked:
		return ErrRevoked
	case !now.Before(s.deadline):
		return ErrTooLate
	}
	s.begun = true
	return nil
}

// revoke keeps the attempt from beginning, also on a further connection, and reports whether it never began.
func (s *firstByteGate) revoke() (unbegun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = true
	return !s.begun
}

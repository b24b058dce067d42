package coordinator

import (
	"context"
	"sync"
	"time"

	"ospreypond/policy"
)

// attempt is the state of an attempt. Run's goroutine owns it, except for the gate, which the goroutines of the
// attempt's connections share.
type attempt struct {
	cancel  context.CancelFunc
	gate    *firstByteGate
	target  string
	sent    time.Time
	took    time.Duration
	ended   bool
	outcome policy.Outcome
}

// firstByteGate orders two events of an attempt under a lock: the write of its first byte, and its revocation when its
// request ends. Whichever comes first wins. So an attempt that is still being dialed when its client disconnects can
// always be cancelled safely, also where the settings forbid cancelling attempts that were sent.
type firstByteGate struct {
	mu       sync.Mutex
	deadline time.Time // the first byte must be written before this time
	begun    bool      // a first byte may have been written
	revoked  bool      // no first byte may be written from now on
}

// begin implements Attempt.Begin.
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

// revoke makes all later calls of begin fail, including calls for a further connection. It reports whether no call of
// begin has succeeded.
func (s *firstByteGate) revoke() (unbegun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = true
	return !s.begun
}

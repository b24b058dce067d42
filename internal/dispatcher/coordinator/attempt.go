package coordinator

import (
	"context"
	"sync"
	"time"

	"ospreypond/policy"
)

// attempt is an attempt as the coordinator's goroutine sees it. What a connection's goroutine asks as it is about to write
// the first byte stands in start.
type attempt struct {
	cancel  context.CancelFunc
	start   *start
	target  string
	sent    time.Time
	took    time.Duration
	over    bool
	outcome policy.Outcome
}

// start decides, under its lock, between an attempt's first byte and the end of its request: whichever comes first. So an
// attempt that is still being dialled when its client leaves can always be given up, also where what was sent can't be.
type start struct {
	mu      sync.Mutex
	by      time.Time // the first byte goes out before that
	begun   bool
	revoked bool
}

// begin is Attempt.Begin.
func (s *start) begin(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.revoked:
		return ErrRevoked
	case !now.Before(s.by):
		return ErrTooLate
	}
	s.begun = true
	return nil
}

// revoke keeps the attempt from beginning, and from beginning again on another connection. It tells whether it never began.
func (s *start) revoke() (unbegun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = true
	return !s.begun
}

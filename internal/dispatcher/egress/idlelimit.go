package egress

import (
	"errors"
	"math"
	"sync"
	"time"
)

// errIdleTooLong keeps a request from a connection that was idle for too long.
var errIdleTooLong = errors.New("the connection was idle for too long")

const (
	// idleSafetyFraction is the fraction of the idle time after which a reused connection broke that others may be
	// idle for.
	idleSafetyFraction = 0.7
	// idleDoubling is the time over which the learned limit doubles again.
	idleDoubling = 5 * time.Second
)

// idleLimit learns for how long a connection may be idle and still be reused. Guards against runners, and machines on
// the way to them, that drop idle connections sooner than the settings say, without notice: the next request on one
// is lost, and may have run. If they break at any age, nearly every request dials, which costs a handshake and is the
// lesser harm.
type idleLimit struct {
	mu         sync.Mutex
	configured time.Duration
	learned    time.Duration // from the last break, at learnedAt
	learnedAt  time.Time
}

// reset sets the settings' own limit, and drops what was learned under another.
func (k *idleLimit) reset(configured time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.configured, k.learned = configured, configured
}

// at returns the limit at a time.
func (k *idleLimit) at(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.atLocked(now)
}

// atLocked is at, with k.mu held.
func (k *idleLimit) atLocked(now time.Time) time.Duration {
	if k.learned >= k.configured {
		return k.configured
	}
	return time.Duration(min(float64(k.configured), float64(k.learned)*math.Exp2(now.Sub(k.learnedAt).Seconds()/idleDoubling.Seconds())))
}

// broke notes that a reused connection broke under its request, after it was idle for so long.
func (k *idleLimit) broke(now time.Time, idle time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learned, k.learnedAt = min(k.atLocked(now), max(time.Millisecond, time.Duration(idleSafetyFraction*float64(idle)))), now
}

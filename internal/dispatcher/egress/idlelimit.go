package egress

import (
	"errors"
	"math"
	"sync"
	"time"
)

// errIdleTooLong is the gate's error for a reused connection that was idle for longer than idleLimit allows.
var errIdleTooLong = errors.New("the connection was idle for too long")

const (
	// idleSafetyFraction is the ratio of the learned limit to the idle time after which a reused connection broke.
	idleSafetyFraction = 0.7
	// idleDoubling is the time in which the learned limit doubles, up to the configured one, if no further connection
	// breaks.
	idleDoubling = 5 * time.Second
)

// idleLimit learns how long a connection may be idle and still be reused. Some runners, and some machines on the way to
// them, drop idle connections earlier than the settings say, without notice. A request that is then written to such a
// connection is lost, and it isn't known whether it ran.
//
// The limit at time t after the last break is min(configured, learned * 2^(t/idleDoubling)). If connections break after
// any idle time, the limit becomes so short that nearly every request dials. The handshakes cost less than lost requests.
type idleLimit struct {
	mu         sync.Mutex    // guards the fields below
	configured time.Duration // the limit by the settings
	learned    time.Duration // the limit as of the last break; configured if there was none
	learnedAt  time.Time     // the time of the last break
}

// reset sets the limit of the settings, and discards the learned limit.
func (k *idleLimit) reset(configured time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.configured, k.learned = configured, configured
}

// at returns the limit at the time now.
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

// recordBreak lowers the learned limit after a reused connection broke while a request was sent on it or was waiting for
// its response. idle is how long the connection was idle before that request.
func (k *idleLimit) recordBreak(now time.Time, idle time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learned, k.learnedAt = min(k.atLocked(now), max(time.Millisecond, time.Duration(idleSafetyFraction*float64(idle)))), now
}

package egress

import (
	"errors"
	"math"
	"sync"
	"time"
)

// errTooOld keeps a request from a connection that was idle for too long.
var errTooOld = errors.New("the kept connection is too old")

const (
	// keptShare is the part of the idle time at which a kept connection broke for which others are used.
	keptShare = 0.7
	// keptDoubles is the time over which that limit doubles again.
	keptDoubles = 5 * time.Second
)

// keep learns for how long an idle connection can be kept. Guards against runners, and machines on the way to
// them, that drop idle connections sooner than the settings say and tell nobody: the next request on one is
// lost, and may have run. Where they break at any age a new one is dialled for nearly every request, which
// costs a handshake and is the lesser harm.
type keep struct {
	mu    sync.Mutex
	most  time.Duration // by the settings
	least time.Duration // by what broke last
	at    time.Time
}

// allow takes the settings' own limit, and forgets what was learnt under another.
func (k *keep) allow(most time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.most, k.least = most, most
}

// limit returns the longest idle time after which a connection is used.
func (k *keep) limit(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.present(now)
}

func (k *keep) present(now time.Time) time.Duration {
	if k.least >= k.most {
		return k.most
	}
	return time.Duration(min(float64(k.most), float64(k.least)*math.Exp2(now.Sub(k.at).Seconds()/keptDoubles.Seconds())))
}

// broke notes that a kept connection broke under its next request.
func (k *keep) broke(now time.Time, idle time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.least, k.at = min(k.present(now), max(time.Millisecond, time.Duration(keptShare*float64(idle)))), now
}

package control

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	tickLeast = 5 * time.Millisecond
	tickMost  = 250 * time.Millisecond
)

// ticker calls the shards' ticks on the engine's loop when the next of them is due.
type ticker struct {
	clock clockwork.Clock
	do    func(f func())       // runs f on the loop
	tick  func() time.Duration // returns after what time it is due again
	mutex sync.Mutex
	timer clockwork.Timer
	at    time.Time
}

func newTicker(clock clockwork.Clock, do func(f func()), tick func() time.Duration) *ticker {
	return &ticker{clock: clock, do: do, tick: tick}
}

// wake makes the next tick come soon. It may be called from any goroutine.
func (t *ticker) wake() { t.schedule(tickLeast) }

func (t *ticker) schedule(wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	at := t.clock.Now().Add(wait)
	if t.timer == nil {
		t.at = at
		t.timer = t.clock.AfterFunc(wait, t.fire)
		return
	}
	if !t.at.IsZero() && t.at.Before(at) {
		return
	}
	t.at = at
	t.timer.Reset(wait)
}

func (t *ticker) fire() {
	t.mutex.Lock()
	t.at = time.Time{}
	t.mutex.Unlock()
	t.do(func() { t.schedule(max(t.tick(), tickLeast)) })
}

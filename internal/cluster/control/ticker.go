package control

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bounds of the time from the end of a tick to the start of the next one.
const (
	minTickInterval = 5 * time.Millisecond
	maxTickInterval = 250 * time.Millisecond
)

// ticker calls tick on the engine's loop when it is due.
type ticker struct {
	clock clockwork.Clock
	do    func(f func())       // runs f on the engine's loop
	tick  func() time.Duration // returns the time after which it must be called again

	mutex sync.Mutex // guards the fields below
	timer clockwork.Timer
	dueAt time.Time // when timer fires; zero from then until the tick has returned
}

func newTicker(clock clockwork.Clock, do func(f func()), tick func() time.Duration) *ticker {
	return &ticker{clock: clock, do: do, tick: tick}
}

// wake schedules a tick in minTickInterval, unless one is due before. Any goroutine may call it.
func (t *ticker) wake() { t.schedule(minTickInterval) }

// schedule schedules a tick after wait, unless one is due before.
func (t *ticker) schedule(wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	at := t.clock.Now().Add(wait)
	if t.timer == nil {
		t.dueAt = at
		t.timer = t.clock.AfterFunc(wait, t.fire)
		return
	}
	if !t.dueAt.IsZero() && t.dueAt.Before(at) {
		return
	}
	t.dueAt = at
	t.timer.Reset(wait)
}

// fire runs a tick on the engine's loop and schedules the next one.
func (t *ticker) fire() {
	t.mutex.Lock()
	t.dueAt = time.Time{}
	t.mutex.Unlock()
	t.do(func() { t.schedule(max(t.tick(), minTickInterval)) })
}

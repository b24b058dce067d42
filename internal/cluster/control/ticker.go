package control

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	minTickInterval = 5 * time.Millisecond
	maxTickInterval = 250 * time.Millisecond
)

// ticker calls tick on the engine's loop when it is due.
type ticker struct {
	clock clockwork.Clock
	do    func(f func())       // runs f on the loop
	tick  func() time.Duration // returns the time until it is due again

	mutex sync.Mutex // guards what follows
	timer clockwork.Timer
	dueAt time.Time // when timer fires; zero while a tick runs
}

func newTicker(clock clockwork.Clock, do func(f func()), tick func() time.Duration) *ticker {
	return &ticker{clock: clock, do: do, tick: tick}
}

// wake has the next tick run after minTickInterval. Any goroutine may call it.
func (t *ticker) wake() { t.schedule(minTickInterval) }

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

func (t *ticker) fire() {
	t.mutex.Lock()
	t.dueAt = time.Time{}
	t.mutex.Unlock()
	t.do(func() { t.schedule(max(t.tick(), minTickInterval)) })
}

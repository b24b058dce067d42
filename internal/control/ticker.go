package control

import (
	"sync"
	"time"
)

const (
	tickLeast = 5 * time.Millisecond
	tickMost  = 250 * time.Millisecond
)

// ticker calls the shards' ticks on the engine's loop when the next of them is due.
type ticker struct {
	control *Control
	mutex   sync.Mutex
	timer   *time.Timer
	at      time.Time
}

func newTicker(c *Control) *ticker { return &ticker{control: c} }

// wake makes the next tick come soon. It may be called from any goroutine.
func (t *ticker) wake() { t.schedule(tickLeast) }

func (t *ticker) schedule(wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	at := time.Now().Add(wait)
	if t.timer == nil {
		t.at = at
		t.timer = time.AfterFunc(wait, t.fire)
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
	t.control.engine.Do(t.tick)
}

func (t *ticker) tick() {
	now := t.control.engine.Now()
	next := now + tickMost
	for _, shard := range t.control.shards {
		shard.tick()
		next = min(next, shard.deadline(now))
	}
	t.control.configuration.tick(t.control)
	next = min(next, t.control.configuration.deadline(now))
	t.schedule(max(next-now, tickLeast))
}

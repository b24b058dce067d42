package routetable

import (
	"context"
	"sync"
)

// teller tells what the watcher learned, in order, on a goroutine of its own. Guards against a busy reader that holds up
// the watch: what is learned stands in the table before it is told, and the next call must be out meanwhile.
type teller struct {
	mu      sync.Mutex
	waiting []func()
	wake    chan struct{}
}

func newTeller() *teller { return &teller{wake: make(chan struct{}, 1)} }

// tell has f called after all that was to be told before. It does not block.
func (t *teller) tell(f func()) {
	t.mu.Lock()
	t.waiting = append(t.waiting, f)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run tells until ctx ends.
func (t *teller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		for _, f := range t.take() {
			if ctx.Err() != nil {
				return
			}
			f()
		}
	}
}

func (t *teller) take() []func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := t.waiting
	t.waiting = nil
	return waiting
}

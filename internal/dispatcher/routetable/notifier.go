package routetable

import (
	"context"
	"sync"
)

// notifier tells what the watcher learned, in order, on a goroutine of its own. Guards against a busy reader that holds up
// the watch: what is learned stands in the table before it is told, and the next call must be out meanwhile.
type notifier struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

// enqueue has f called after all that was to be told before. It does not block.
func (t *notifier) enqueue(f func()) {
	t.mu.Lock()
	t.queue = append(t.queue, f)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run tells until ctx ends.
func (t *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		for _, f := range t.takeAll() {
			if ctx.Err() != nil {
				return
			}
			f()
		}
	}
}

func (t *notifier) takeAll() []func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := t.queue
	t.queue = nil
	return waiting
}

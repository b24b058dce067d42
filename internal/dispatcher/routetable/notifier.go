package routetable

import (
	"context"
	"sync"
)

// notifier passes on what the watcher learned, in order, on a goroutine of its own. Guards against a busy receiver
// that delays the watch: a change is in the table before it is passed on, and the next call must start meanwhile.
type notifier struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

// enqueue has run call f after all functions that were enqueued before. It does not block.
func (n *notifier) enqueue(f func()) {
	n.mu.Lock()
	n.queue = append(n.queue, f)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run calls the enqueued functions until ctx ends.
func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		for _, f := range n.takeAll() {
			if ctx.Err() != nil {
				return
			}
			f()
		}
	}
}

// takeAll empties the queue and returns what was in it.
func (n *notifier) takeAll() []func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.queue
	n.queue = nil
	return queue
}

package routetable

import (
	"context"
	"sync"
)

// notifier calls functions in order on its own goroutine. The watcher uses it to pass on changes, so that a busy receiver
// doesn't delay the next call to discovery or the changes to the table.
type notifier struct {
	mu    sync.Mutex
	queue []func()      // without a bound
	wake  chan struct{} // has an element if functions may be queued
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

// enqueue queues f, which run calls after all functions that were queued before. It does not block.
func (n *notifier) enqueue(f func()) {
	n.mu.Lock()
	n.queue = append(n.queue, f)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run calls the queued functions until ctx ends.
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

// takeAll empties the queue and returns the functions that it held.
func (n *notifier) takeAll() []func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.queue
	n.queue = nil
	return queue
}

package agent

import (
	"context"
	"sync"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// registration has the newest heartbeat of a runner that is called, and which of its heartbeats the owner has. Several
// goroutines may use it at once.
type registration struct {
	mutex        sync.Mutex
	request      *protocol.HeartbeatRequest
	arrived      time.Time
	acknowledged uint64        // sequence of the newest heartbeat that the owner has
	lastErr      error         // of the newest exchange with the owner
	progress     chan struct{} // closed, and replaced, when acknowledged changes
	updated      chan struct{} // has an element when a newer heartbeat has arrived
}

func newRegistration() *registration {
	return &registration{progress: make(chan struct{}), updated: make(chan struct{}, 1)}
}

// put stores a heartbeat and reports whether it did: one that is older than the stored one is ignored.
func (r *registration) put(request *protocol.HeartbeatRequest, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.request != nil && request.Heartbeat.Sequence < r.request.Heartbeat.Sequence {
		return false
	}
	r.request = request
	r.arrived = now
	select {
	case r.updated <- struct{}{}:
	default:
	}
	return true
}

// get returns the newest heartbeat and when it arrived.
func (r *registration) get() (*protocol.HeartbeatRequest, time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.request, r.arrived
}

// recordExchange records the outcome of an exchange with the owner that built on the heartbeat of that sequence.
func (r *registration) recordExchange(sequence uint64, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastErr = err
	if err == nil && sequence > r.acknowledged {
		r.acknowledged = sequence
		close(r.progress)
		r.progress = make(chan struct{})
	}
}

// await returns nil once the owner has the heartbeat of that sequence or a newer one. When ctx ends before, it returns the
// error of the newest exchange.
func (r *registration) await(ctx context.Context, sequence uint64) error {
	for {
		r.mutex.Lock()
		acknowledged, progress, lastErr := r.acknowledged, r.progress, r.lastErr
		r.mutex.Unlock()
		if acknowledged >= sequence {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			if lastErr == nil {
				lastErr = failure.New(failure.Unavailable, "the owner has not acknowledged this heartbeat yet")
			}
			return lastErr
		}
	}
}

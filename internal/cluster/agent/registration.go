package agent

import (
	"context"
	"sync"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// registration stores the newest heartbeat of a runner that is called, and records which of the runner's heartbeats the
// owner has received. Several goroutines may use it at once.
type registration struct {
	mutex        sync.Mutex
	request      *protocol.HeartbeatRequest // the newest heartbeat
	arrived      time.Time                  // when request arrived
	acknowledged uint64                     // Heartbeat.Sequence of the newest heartbeat that the owner has received
	lastErr      error                      // error of the newest exchange with the owner; nil: it succeeded
	progress     chan struct{}              // closed and replaced when acknowledged changes
	updated      chan struct{}              // has an element when a heartbeat has arrived since the last wait for one
}

func newRegistration() *registration {
	return &registration{progress: make(chan struct{}), updated: make(chan struct{}, 1)}
}

// put stores a heartbeat that arrived at now, and reports whether it did. It ignores a heartbeat that is older than the
// stored one, by its sequence.
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

// get returns the newest heartbeat and the time of its arrival.
func (r *registration) get() (*protocol.HeartbeatRequest, time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.request, r.arrived
}

// recordExchange records the outcome of an exchange with the owner. sequence is the sequence of the runner's own heartbeat
// that the report to the owner was composed from.
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

// await returns nil once the owner has received the heartbeat of that sequence or a newer one. If ctx ends before that, it
// returns the error of the newest exchange.
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

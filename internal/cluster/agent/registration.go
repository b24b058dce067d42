package agent

import (
	"context"
	"sync"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// registration is the newest heartbeat of a runner that is called, and what the owner knows of it.
type registration struct {
	mutex    sync.Mutex
	request  *protocol.HeartbeatRequest
	arrived  time.Time
	carried  uint64        // sequence of the newest heartbeat that the owner has
	fault    error         // of the newest exchange with the owner
	progress chan struct{} // closed at the next change of carried
	news     chan struct{} // has an element when a newer heartbeat has come
}

func newRegistration() *registration {
	return &registration{progress: make(chan struct{}), news: make(chan struct{}, 1)}
}

// put takes a heartbeat, unless it is older than the one that is there.
func (r *registration) put(request *protocol.HeartbeatRequest, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.request != nil && request.Heartbeat.Sequence < r.request.Heartbeat.Sequence {
		return false
	}
	r.request = request
	r.arrived = now
	select {
	case r.news <- struct{}{}:
	default:
	}
	return true
}

// get returns the newest heartbeat and when it came.
func (r *registration) get() (*protocol.HeartbeatRequest, time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.request, r.arrived
}

// done notes the outcome of an exchange with the owner that carried the heartbeat of that sequence.
func (r *registration) done(sequence uint64, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fault = err
	if err == nil && sequence > r.carried {
		r.carried = sequence
		close(r.progress)
		r.progress = make(chan struct{})
	}
}

// await returns once the owner has the heartbeat of that sequence, or a newer one, or ctx ends.
func (r *registration) await(ctx context.Context, sequence uint64) error {
	for {
		r.mutex.Lock()
		carried, progress, fault := r.carried, r.progress, r.fault
		r.mutex.Unlock()
		if carried >= sequence {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			if fault == nil {
				fault = failure.New(failure.Unavailable, "the owner has not got this heartbeat yet")
			}
			return fault
		}
	}
}

package agent

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// errSuperseded is the error of a heartbeat after a newer one of the same instance has arrived.
var errSuperseded = errors.New("a newer heartbeat of the instance has arrived")

// inFlightHeartbeat is a heartbeat that waits for the owner's response.
type inFlightHeartbeat struct {
	cancel context.CancelCauseFunc
}

// heartbeatTracker ensures that only the newest heartbeat of each instance is answered with orders. It stores the newest
// heartbeat in flight of each instance, and a record of each instance, up to maxTrackedInstances. An instance
// is an incarnation of a runner. Several goroutines may use a heartbeatTracker at once.
type heartbeatTracker struct {
	mutex     sync.Mutex
	inFlight  map[string]*inFlightHeartbeat // by instance
	instances []instanceRecord              // in the order of their first requests, the earliest first
}

// instanceRecord is the tracker's state of one instance.
type instanceRecord struct {
	name         string
	sequence     uint64 // highest Heartbeat.Sequence that has arrived
	deregistered bool   // the instance has deregistered: it is about to end
}

// maxTrackedInstances bounds the number of records; a new record replaces the earliest. At most one instance runs on this
// machine at a time, so a replaced record is of an instance that ended long ago.
const maxTrackedInstances = 64

// record returns the record of an instance. It adds one if there is none. The mutex must be locked.
func (t *heartbeatTracker) record(instance string) *instanceRecord {
	for i := range t.instances {
		if t.instances[i].name == instance {
			return &t.instances[i]
		}
	}
	if len(t.instances) >= maxTrackedInstances {
		t.instances = slices.Delete(t.instances, 0, 1)
	}
	t.instances = append(t.instances, instanceRecord{name: instance})
	return &t.instances[len(t.instances)-1]
}

// markDeregistered records that an instance has deregistered.
func (t *heartbeatTracker) markDeregistered(instance string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.record(instance).deregistered = true
}

// isDeregistered reports whether an instance has deregistered. Such an instance may still send heartbeats for some seconds.
func (t *heartbeatTracker) isDeregistered(instance string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.record(instance).deregistered
}

// begin makes a heartbeat the newest of its instance, and cancels the previous one if it is in flight. The returned context
// ends when the heartbeat is cancelled. The caller must call finish when the owner has responded or failed.
//
// ok is false if a newer heartbeat has arrived before. The caller must then not send this one to an owner: after a change of
// owners, an owner that has received neither heartbeat would take the older one for the newest.
func (t *heartbeatTracker) begin(parent context.Context, instance string, sequence uint64) (ctx context.Context, heartbeat *inFlightHeartbeat, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record := t.record(instance)
	if sequence < record.sequence {
		return nil, nil, false
	}
	record.sequence = sequence
	if previous := t.inFlight[instance]; previous != nil {
		previous.cancel(errSuperseded)
	}
	ctx, cancel := context.WithCancelCause(parent)
	heartbeat = &inFlightHeartbeat{cancel: cancel}
	t.inFlight[instance] = heartbeat
	return ctx, heartbeat, true
}

// finish ends a heartbeat and reports whether it is still the newest of its instance. Only then may it be answered with
// orders.
func (t *heartbeatTracker) finish(instance string, heartbeat *inFlightHeartbeat) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	heartbeat.cancel(nil)
	if t.inFlight[instance] != heartbeat {
		return false
	}
	delete(t.inFlight, instance)
	return true
}

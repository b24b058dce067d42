package agent

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// errSuperseded ends a heartbeat when a newer one of the same instance has arrived.
var errSuperseded = errors.New("a newer heartbeat of the instance has arrived")

// inFlightHeartbeat is a heartbeat that waits for the owner's response.
type inFlightHeartbeat struct {
	cancel context.CancelCauseFunc
}

// heartbeatTracker has the newest heartbeat in flight of each instance, so that only the newest one is answered with
// orders, and remembers the instances that sent their first heartbeat most recently.
type heartbeatTracker struct {
	mutex     sync.Mutex
	inFlight  map[string]*inFlightHeartbeat
	instances []instanceRecord // in the order of their first heartbeats
}

// instanceRecord is what is remembered of an instance.
type instanceRecord struct {
	name         string
	sequence     uint64 // highest of its heartbeats
	deregistered bool   // it has reported that it is about to end
}

// maxTrackedInstances bounds the instances that are remembered. At most one runs on this machine at a time.
const maxTrackedInstances = 64

// record returns the record of an instance, a new one if there is none. The mutex must be locked.
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

// markDeregistered records that an instance has reported that it is about to end.
func (t *heartbeatTracker) markDeregistered(instance string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.record(instance).deregistered = true
}

// isDeregistered reports whether an instance has reported that it is about to end. It may serve for seconds from then on.
func (t *heartbeatTracker) isDeregistered(instance string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.record(instance).deregistered
}

// begin makes a heartbeat the newest of its instance and cancels the previous one. It returns false for a heartbeat older
// than one that has arrived before: no owner may get it, not even one that has received neither. Otherwise finish must be
// called at the end of the heartbeat.
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

// finish ends a heartbeat and reports whether it was still the newest of its instance: only then may it be answered with
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

package agent

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// errAbandoned ends a heartbeat that a newer one of the same instance has overtaken.
var errAbandoned = errors.New("a newer heartbeat of the instance has come")

// beat is one heartbeat that is out.
type beat struct {
	abandon context.CancelCauseFunc
}

// beats holds the newest heartbeat that is out of each instance, and what is to be remembered of the instances that were
// heard last.
type beats struct {
	mutex      sync.Mutex
	byInstance map[string]*beat
	heard      []heardInstance // the one heard for the first time last at the end
}

// heardInstance is what is remembered of an instance.
type heardInstance struct {
	name     string
	sequence uint64 // the highest of its heartbeats
	ending   bool   // it has said that it ends
}

// mostHeard is how many instances are remembered. One stands on this machine at a time.
const mostHeard = 64

// record returns what is remembered of an instance, of which nothing may be yet. The mutex is held.
func (b *beats) record(instance string) *heardInstance {
	for i := range b.heard {
		if b.heard[i].name == instance {
			return &b.heard[i]
		}
	}
	if len(b.heard) >= mostHeard {
		b.heard = slices.Delete(b.heard, 0, 1)
	}
	b.heard = append(b.heard, heardInstance{name: instance})
	return &b.heard[len(b.heard)-1]
}

// end notes that an instance has said that it ends.
func (b *beats) end(instance string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.record(instance).ending = true
}

// isEnding tells whether an instance has said that it ends. It may serve on for seconds.
func (b *beats) isEnding(instance string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.record(instance).ending
}

// enter makes a heartbeat the newest of its instance and abandons the one that was. It returns false for a heartbeat
// that is older than one that came before: no owner gets it, also not one that has heard of neither. leave must be called
// at the end.
func (b *beats) enter(parent context.Context, instance string, sequence uint64) (ctx context.Context, entered *beat, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	record := b.record(instance)
	if sequence < record.sequence {
		return nil, nil, false
	}
	record.sequence = sequence
	if out := b.byInstance[instance]; out != nil {
		out.abandon(errAbandoned)
	}
	ctx, cancel := context.WithCancelCause(parent)
	entered = &beat{abandon: cancel}
	b.byInstance[instance] = entered
	return ctx, entered, true
}

// leave ends a heartbeat and reports whether it was still the newest of its instance: only then may it be answered
// with orders.
func (b *beats) leave(instance string, left *beat) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	left.abandon(nil)
	if b.byInstance[instance] != left {
		return false
	}
	delete(b.byInstance, instance)
	return true
}

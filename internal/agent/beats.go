package agent

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errAbandoned ends a heartbeat that a newer one of the same instance has overtaken.
var errAbandoned = errors.New("a newer heartbeat of the instance has come")

// beat is one heartbeat that is out.
type beat struct {
	sequence uint64
	abandon  context.CancelCauseFunc
}

// beats holds the newest heartbeat that is out of each instance.
type beats struct {
	mutex      sync.Mutex
	byInstance map[string]*beat
}

// enter makes a heartbeat the newest of its instance and abandons the one that was. It returns false for a heartbeat
// that is older than the one that is out. leave must be called at the end.
func (b *beats) enter(parent context.Context, instance string, sequence uint64) (ctx context.Context, entered *beat, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if out := b.byInstance[instance]; out != nil {
		if sequence < out.sequence {
			return nil, nil, false
		}
		out.abandon(errAbandoned)
	}
	ctx, cancel := context.WithCancelCause(parent)
	entered = &beat{sequence: sequence, abandon: cancel}
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

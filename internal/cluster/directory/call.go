package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// attemptTimeout bounds each attempt of a call, so that a silent owner does not use up the whole time.
const attemptTimeout = 600 * time.Millisecond

// Call asks the owner of a shard and returns its answer. It follows processes' hints to the owner and asks the others
// in turn until ctx ends. An attempt whose outcome is unknown is repeated only if mayRepeat. If any attempt had an
// unknown outcome, the error is of kind UnknownOutcome. Else it is the owner's; or Unavailable or NotLeader if none was
// found in time, and then certainly nothing was done.
func Call[Req, Resp any](
	ctx context.Context, d *Directory, shard protocol.ShardID, request *Req, mayRepeat bool,
) (*Resp, error) {
	state := attempts{mayRepeat: mayRepeat}
	target := d.first(shard)
	for {
		if isOver(ctx) {
			return nil, state.end(nil)
		}
		response := new(Resp)
		err := d.attempt(ctx, target, request, response)
		next := state.after(target, err)
		if next.done && next.err == nil {
			d.noteOwner(shard, target)
			return response, nil
		}
		if wasGivenUp(ctx) {
			d.Refresh()
			return nil, state.end(next.err)
		}
		d.note(shard, target, next)
		if next.done {
			return nil, next.err
		}
		target = d.move(ctx, shard, target, next)
	}
}

// attempt asks one process.
func (d *Directory) attempt(ctx context.Context, target string, request, response any) error {
	if target == "" {
		return failure.New(failure.Unavailable, "no control process is known")
	}
	bounded, cancel := d.bound(ctx, attemptTimeout)
	defer cancel()
	return d.options.Client.Do(bounded, target, request, response)
}

// note takes note of what an attempt has shown.
func (d *Directory) note(shard protocol.ShardID, target string, next step) {
	if next.target != "" {
		d.noteOwner(shard, next.target)
	} else if next.doubt || !next.done {
		d.passOver(shard, target)
	}
	if next.doubt {
		d.Refresh()
	}
}

// move waits, and returns whom to ask next.
func (d *Directory) move(ctx context.Context, shard protocol.ShardID, target string, next step) string {
	changed := d.changes()
	if next.pause > 0 && d.wait(ctx, next.pause, changed) {
		if owner := d.Owner(shard); owner != "" {
			return owner
		}
	}
	if next.target != "" {
		return next.target
	}
	return d.next(target)
}

func (d *Directory) changes() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

// wait waits for a time and tells whether owners changed meanwhile, which ends it early.
func (d *Directory) wait(ctx context.Context, pause time.Duration, changed <-chan struct{}) bool {
	timer := deadline.In(ctx, d.options.Clock).NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return false
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	}
}

// wasGivenUp tells whether who asks has left before the time was over: of the process that was asked this says nothing,
// so that others go on asking it. A context of a clockwork.FakeClock tells its error only once it has ended.
func wasGivenUp(ctx context.Context) bool {
	return isOver(ctx) && !errors.Is(ctx.Err(), context.DeadlineExceeded) &&
		!errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

func isOver(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// attemptTimeout limits each attempt of a call, so that an unresponsive owner doesn't use up all the time of the call.
const attemptTimeout = 600 * time.Millisecond

// Call calls the owner of a shard and returns its response. Until ctx ends it tries one address after the other and
// follows hints, which are the owners that other processes name in their NotLeader errors. After an attempt with an
// unknown outcome it makes another attempt only if mayRepeat is true; the request must then be idempotent. The error is
// of one of these kinds:
//
//   - UnknownOutcome, if any attempt had an unknown outcome;
//   - else the kind of the owner's error, if the owner answered;
//   - else NotLeader or Unavailable, if no owner was found until ctx ended; the request was certainly not executed.
func Call[Req, Resp any](
	ctx context.Context, d *Directory, shard protocol.ShardID, request *Req, mayRepeat bool,
) (*Resp, error) {
	state := attempts{mayRepeat: mayRepeat}
	target := d.firstTarget(shard)
	for {
		if isDone(ctx) {
			return nil, state.endError(nil)
		}
		response := new(Resp)
		err := d.attempt(ctx, target, request, response)
		next := state.next(target, err)
		if next.done && next.err == nil {
			d.recordOwner(shard, target)
			return response, nil
		}
		if wasCanceled(ctx) {
			d.Refresh()
			return nil, state.endError(next.err)
		}
		d.recordAttempt(shard, target, next)
		if next.done {
			return nil, next.err
		}
		target = d.nextTarget(ctx, shard, target, next)
	}
}

// attempt calls the process at target, for at most attemptTimeout.
func (d *Directory) attempt(ctx context.Context, target string, request, response any) error {
	if target == "" {
		return failure.New(failure.Unavailable, "no control process is known")
	}
	bounded, cancel := d.withTimeout(ctx, attemptTimeout)
	defer cancel()
	return d.options.Client.Do(bounded, target, request, response)
}

// recordAttempt updates the known owner of the shard after a failed attempt: target named another owner, or target is not
// the owner or may have failed.
func (d *Directory) recordAttempt(shard protocol.ShardID, target string, next nextStep) {
	if next.target != "" {
		d.recordOwner(shard, next.target)
	} else if next.refresh || !next.done {
		d.avoid(shard, target)
	}
	if next.refresh {
		d.Refresh()
	}
}

// nextTarget waits for the backoff and returns the address to call next. A change of owners ends the wait, and then the
// shard's owner is called if it is known.
func (d *Directory) nextTarget(ctx context.Context, shard protocol.ShardID, target string, next nextStep) string {
	changed := d.ownersChanged()
	if next.backoff > 0 && d.waitForOwners(ctx, next.backoff, changed) {
		if owner := d.Owner(shard); owner != "" {
			return owner
		}
	}
	if next.target != "" {
		return next.target
	}
	return d.targetAfter(target)
}

// ownersChanged returns a channel that is closed at the next change of owners.
func (d *Directory) ownersChanged() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

// waitForOwners waits for the given time, but ends earlier if changed is closed or ctx ends. It reports whether changed was
// closed.
func (d *Directory) waitForOwners(ctx context.Context, wait time.Duration, changed <-chan struct{}) bool {
	timer := deadline.ClockFor(ctx, d.options.Clock).NewTimer(wait)
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

// wasCanceled reports whether the caller canceled ctx before its deadline. Then a missing response doesn't show that the
// process is unresponsive, so Call doesn't avoid it. The check starts with isDone because a context of a clockwork.FakeClock
// has an error only once it has ended.
func wasCanceled(ctx context.Context) bool {
	return isDone(ctx) && !errors.Is(ctx.Err(), context.DeadlineExceeded) &&
		!errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// isDone reports whether ctx has ended.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

const (
	// maxOrderAge bounds the age of start orders. Once the exchange that brought them is this old, the agent sends no more
	// of them to the runner. The owner repeats a start until a heartbeat lists the run, so a skipped start is not lost.
	maxOrderAge = time.Second
	// stopRetryInterval is the time after which the agent sends a stop again that the owner still orders.
	stopRetryInterval = 500 * time.Millisecond
)

// apply calls the runner for each order of an exchange that began at began. Stops come before starts, so that a start finds
// the capacity that a stop frees.
func (l *loop) apply(ctx context.Context, orders *protocol.Orders, began time.Time) error {
	for i := range orders.Stop {
		run := runName{orders.Stop[i].Task, orders.Stop[i].Run}
		if sent, ok := l.stopSentAt[run]; ok && l.now().Sub(sent) < stopRetryInterval {
			continue
		}
		if err := l.stop(ctx, run); err != nil {
			return err
		}
	}
	if len(orders.Stop) == 0 {
		clear(l.stopSentAt)
	}
	if orders.HoldMs <= 0 {
		return nil // a run without a lease would have no time at which it certainly ends
	}
	for i := range orders.Start {
		if l.now().Sub(began) >= maxOrderAge {
			return nil
		}
		if err := l.start(ctx, &orders.Start[i]); err != nil {
			return err
		}
	}
	return nil
}

// stop calls the runner to stop a run. If this agent doesn't know the run, an earlier agent may have sent its start, and the
// start may still be on the network. stop then adds the run to the unconfirmed starts. It stays there until a poll
// shows the run, or until a poll that was answered after the stop doesn't show it.
func (l *loop) stop(ctx context.Context, run runName) error {
	if !l.snapshot.has(run) {
		l.unconfirmed.addIfUnknown(run)
	}
	clockMs, err := l.session.orders.stop(ctx, l.parameters, run)
	if err != nil {
		l.closeSession()
		return err
	}
	l.stopSentAt[run] = l.now()
	l.unconfirmed.markStopped(run, clockMs)
	return nil
}

// start calls the runner to start a run. A run that the runner rejects is stopped at once: after the stop, no earlier call
// that is still on the network can start it. There is one exception: a rejection for the fencing token.
func (l *loop) start(ctx context.Context, order *protocol.StartOrder) error {
	run := runName{order.Task, order.Run}
	clockMs, err := l.session.orders.start(ctx, l.parameters, order)
	if err == nil {
		l.snapshot.addStarted(run, clockMs, l.now())
		return nil
	}
	var rejected *rejectedError
	isRejected := errors.As(err, &rejected)
	if isRejected && rejected.reason == reasonFence {
		return err // a newer owner has sent orders, and that owner decides whether the run may start
	}
	l.unconfirmed.add(run)
	if isRejected {
		return l.stop(ctx, run)
	}
	l.closeSession()
	return err
}

// stopUnconfirmed stops each run that has an unconfirmed start and that a later poll has not shown. The stop makes sure that
// the run never starts, so that its capacity can be released.
func (l *loop) stopUnconfirmed(ctx context.Context) error {
	for _, run := range l.unconfirmed.toStop() {
		if err := l.stop(ctx, run); err != nil {
			return err
		}
	}
	return nil
}

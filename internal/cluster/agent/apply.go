package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

const (
	// maxOrderAge is the age of an exchange from which its starts are no longer sent to the runner: the owner repeats them.
	maxOrderAge = time.Second
	// stopRetryInterval is the time after which a stop that is still ordered is sent again.
	stopRetryInterval = 500 * time.Millisecond
)

// apply has the runner carry out the orders of the exchange that began at that time, stops first.
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
		return nil // without a lease nothing may start
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

// stop has the runner stop a run. The start of a run that is unknown here may still be on its way, sent by an agent before
// this one: it is unconfirmed until a poll after the stop doesn't show it.
func (l *loop) stop(ctx context.Context, run runName) error {
	if !l.snapshot.has(run) {
		l.unconfirmed.addIfUnknown(run)
	}
	clockMs, err := l.session.orders.stop(ctx, l.terms, run)
	if err != nil {
		l.closeSession()
		return err
	}
	l.stopSentAt[run] = l.now()
	l.unconfirmed.markStopped(run, clockMs)
	return nil
}

// start has the runner start a run. One that the runner rejects is stopped at once, so that no earlier order can start it
// later.
func (l *loop) start(ctx context.Context, order *protocol.StartOrder) error {
	run := runName{order.Task, order.Run}
	clockMs, err := l.session.orders.start(ctx, l.terms, order)
	if err == nil {
		l.snapshot.addStarted(run, clockMs, l.now())
		return nil
	}
	var rejected *rejectedError
	isRejected := errors.As(err, &rejected)
	if isRejected && rejected.reason == reasonFence {
		return err // a newer owner has sent orders: whether the run may start is its decision
	}
	l.unconfirmed.add(run)
	if isRejected {
		return l.stop(ctx, run)
	}
	l.closeSession()
	return err
}

// stopUnconfirmed stops the runs that may or may not have been started, and that a poll since has not shown.
func (l *loop) stopUnconfirmed(ctx context.Context) error {
	for _, run := range l.unconfirmed.notSeen() {
		if err := l.stop(ctx, run); err != nil {
			return err
		}
	}
	return nil
}

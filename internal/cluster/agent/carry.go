package agent

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// carryOut has the runner do what the owner has ordered in the exchange that began then, stops first.
func (l *loop) carryOut(orders *protocol.Orders, began time.Time) error {
	for i := range orders.Stop {
		run := runName{orders.Stop[i].Task, orders.Stop[i].Run}
		if sent, ok := l.stopSent[run]; ok && l.now().Sub(sent) < stopAgain {
			continue
		}
		if err := l.stop(run); err != nil {
			return err
		}
	}
	if len(orders.Stop) == 0 {
		clear(l.stopSent)
	}
	if orders.HoldMs <= 0 {
		return nil
	}
	for i := range orders.Start {
		if l.now().Sub(began) >= orderTime {
			return nil // the owner sends it again
		}
		if err := l.start(&orders.Start[i]); err != nil {
			return err
		}
	}
	return nil
}

// stop has a run stopped. One that is not known here may be on its way, sent by an agent before this one: it is in doubt
// until the runner has refused it.
func (l *loop) stop(run runName) error {
	if !l.picture.has(run) {
		l.doubts.suspect(run)
	}
	clockMs, err := l.session.orders.stop(l.ctx, l.given, run)
	if err != nil {
		l.leave()
		return err
	}
	l.stopSent[run] = l.now()
	l.doubts.stop(run, clockMs)
	return nil
}

// start has a run started. What the runner refuses is stopped at once, so that it can't come later.
func (l *loop) start(order *protocol.StartOrder) error {
	run := runName{order.Task, order.Run}
	clockMs, err := l.session.orders.start(l.ctx, l.given, order)
	if err == nil {
		l.picture.start(run, clockMs, l.now())
		return nil
	}
	refused, definite := err.(*refusal)
	if definite && refused.why == whyFence {
		return err // a newer owner has been here
	}
	l.doubts.add(run)
	if definite {
		return l.stop(run)
	}
	l.leave()
	return err
}

// settle stops what may or may not have been started, and has not been seen since.
func (l *loop) settle() error {
	for _, run := range l.doubts.unseen() {
		if err := l.stop(run); err != nil {
			return err
		}
	}
	return nil
}

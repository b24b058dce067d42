package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// Times of polls.
const (
	// maxPollWait bounds the delay that a poll requests. The runner delays its response to a poll until a run ends, or until
	// the requested delay has passed.
	maxPollWait = 300 * time.Millisecond
	// pollWaitDivisor gives the other bound of that delay: the lease divided by pollWaitDivisor. The next poll renews the
	// lease, so the current poll may take only a small part of the lease.
	pollWaitDivisor = 8
	// minPollInterval is the least time between the beginnings of two polls. The bound doesn't apply while a start
	// is unconfirmed.
	minPollInterval = 60 * time.Millisecond
	// drainingPollWait replaces both bounds for a draining runner. The owner's decisions depend on the runner's
	// remaining time, so the owner needs reports at short intervals.
	drainingPollWait = 60 * time.Millisecond
	// minUnacknowledgedPollInterval replaces minPollInterval while the owner has not acknowledged all ends. The runner lists
	// an end until then, and answers a poll without delay while it lists one, so that polls would follow each other closely.
	minUnacknowledgedPollInterval = 100 * time.Millisecond
)

// ensureSession makes the loop ready for an exchange:
//
//   - It opens a session if there is none.
//   - It confirms that the process that answers in the session is this loop's incarnation. If the newest heartbeat doesn't
//     prove that, it waits for another heartbeat and returns false.
//   - It makes the first poll of a new session and waits for the response, or applies the result of a later poll.
func (l *loop) ensureSession(ctx context.Context) (ready bool, err error) {
	if l.session == nil {
		if err := l.openSession(ctx); err != nil {
			l.closeSession()
			return false, err
		}
	}
	newest, arrived := l.registration.get()
	if !l.session.confirm(newest.Heartbeat.ClockMs, arrived) {
		l.awaitHeartbeat(ctx)
		return false, nil
	}
	if l.snapshot == nil {
		l.snapshot = newRunnerSnapshot()
		l.session.startPoll(ctx, l.parameters, 0, l.now())
		return true, l.applyPollResult(<-l.session.pollResults)
	}
	return true, l.takePollResult()
}

// openSession connects to the runner and reads the runner's clock. A runner refuses a call whose fencing token is lower
// than the highest token that it has seen. An agent that restarted has no token yet, so its first call may be refused. The
// agent then gets the current token from the owner, and makes no further call with the refused token.
func (l *loop) openSession(ctx context.Context) (err error) {
	if l.session, err = openSession(ctx, l.dial, l.address); err != nil {
		return err
	}
	if !l.fenceRefused {
		if err = l.queryClock(ctx); !l.fenceRefused {
			return err
		}
	}
	if err = l.renewFencingToken(ctx); err != nil {
		return err
	}
	return l.queryClock(ctx)
}

// queryClock reads the runner's clock, and records whether the runner has refused the fencing token.
func (l *loop) queryClock(ctx context.Context) error {
	err := l.session.queryClock(ctx, l.parameters.fenceToken, l.now)
	var rejected *rejectedError
	l.fenceRefused = errors.As(err, &rejected)
	return err
}

// renewFencingToken gets the owner's fencing token, after the runner has refused the agent's token. A token that isn't
// higher than the refused one is an error: it comes from a former owner.
func (l *loop) renewFencingToken(ctx context.Context) error {
	newest, _ := l.registration.get()
	request := &protocol.HeartbeatRequest{Shard: newest.Shard,
		Heartbeat: protocol.Heartbeat{Instance: l.instance, Service: newest.Heartbeat.Service, FenceOnly: true}}
	orders, err := l.sendHeartbeat(ctx, request)
	if err != nil {
		return err
	}
	if orders.FenceToken <= l.parameters.fenceToken {
		return errors.Errorf("the owner's fencing token is %d, expected one above %d, which the runner has refused", orders.FenceToken, l.parameters.fenceToken)
	}
	l.parameters.fenceToken, l.fenceRefused = orders.FenceToken, false
	return nil
}

// startPollIfDue starts a poll unless one is in flight or the newest one began too recently. A poll also renews the runner's
// lease.
func (l *loop) startPollIfDue(ctx context.Context) {
	if l.session.polling {
		return
	}
	interval, wait := minPollInterval, min(l.lease/pollWaitDivisor, maxPollWait)
	if newest, _ := l.registration.get(); newest.Heartbeat.State == protocol.RunnerDraining {
		wait = drainingPollWait
	}
	switch {
	case l.unconfirmed.any():
		interval, wait = 0, 0
	case !l.snapshot.allAcknowledged(l.parameters.lastSeen):
		interval = minUnacknowledgedPollInterval
	}
	if now := l.now(); now.Sub(l.session.polledAt) >= interval {
		l.session.startPoll(ctx, l.parameters, wait, now)
	}
}

// takePollResult applies the result of the poll in flight if it has arrived. It doesn't wait.
func (l *loop) takePollResult() error {
	select {
	case result := <-l.session.pollResults:
		return l.applyPollResult(result)
	default:
		return nil
	}
}

// applyPollResult updates the snapshot and the unconfirmed starts by the result of a poll. After a failed poll it closes the
// session and returns the poll's error.
func (l *loop) applyPollResult(result pollResult) error {
	l.session.polling = false
	if result.err != nil {
		l.closeSession()
		return result.err
	}
	l.snapshot.update(result.response, l.now())
	l.unconfirmed.observe(result.response)
	return nil
}

package agent

import (
	"context"
	"time"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Times of a loop.
const (
	// minStepInterval and maxStepInterval bound the pause between two steps. The owner requests its length
	// (Orders.RetryDelayMs). The result of a poll ends the pause early, but at least minStepInterval lies between the
	// beginnings of two exchanges with the owner.
	minStepInterval = 20 * time.Millisecond
	maxStepInterval = 500 * time.Millisecond
	// minStepBackoff is the pause after a step that failed. The pause is n * minStepBackoff after n failures in a row,
	// but at most maxStepBackoff.
	minStepBackoff = 100 * time.Millisecond
	maxStepBackoff = 500 * time.Millisecond
	// dormantTimeout is the time after a runner's newest heartbeat from which the agent no longer tries to connect to the
	// runner. It tries again when the runner sends a heartbeat.
	dormantTimeout = 6 * time.Second
)

// loop calls one incarnation of a runner. Each step
//
//  1. stops the runs that have an unconfirmed start and were missing from a poll;
//  2. sends the owner a heartbeat with the known state of the runner, and gets orders;
//  3. calls the runner for each order;
//  4. starts a poll of the runner if one is due.
//
// Responses to polls have a cost, so the agent polls less often than it exchanges heartbeats for orders; runnerSnapshot has
// the known state of the runner between two polls.
//
// Only the goroutine of run may use a loop, except for cancel, ended, instance, register and hasHeartbeatWithin.
type loop struct {
	service  *Service
	instance string
	address  string
	dial     Dial
	cancel   context.CancelFunc // ends run
	ended    chan struct{}      // closed when run returns

	registration *registration

	session  *session        // nil: not connected to the runner
	snapshot *runnerSnapshot // nil: no poll has been made in this session

	parameters     callParameters
	fenceRefused   bool          // the runner has refused parameters.fenceToken; no call may use that token again
	lease          time.Duration // length of the newest lease that the owner granted
	requestedDelay time.Duration // time between two exchanges that the owner requested in its newest orders
	sequenceBase   uint64        // Heartbeat.Sequence of the runner's own heartbeat since which exchangeCount counts
	exchangeCount  uint64        // exchanges since that heartbeat
	unconfirmed    unconfirmedStarts
	stopSentAt     map[runName]time.Time // when the newest stop of a run was acknowledged; empty once no stop is ordered
	failures       int                   // steps that failed since the last step that succeeded
}

// newLoop returns a loop. Its run must be called with a context that cancel ends.
func newLoop(service *Service, dial Dial, instance, address string, cancel context.CancelFunc) *loop {
	return &loop{
		service:      service,
		instance:     instance,
		address:      address,
		dial:         dial,
		cancel:       cancel,
		ended:        make(chan struct{}),
		registration: newRegistration(),
		unconfirmed:  newUnconfirmedStarts(),
		stopSentAt:   make(map[runName]time.Time),
	}
}

// register stores a heartbeat of the runner and returns nil once the owner has received the heartbeat's content. If ctx
// ends earlier, it returns an error.
func (l *loop) register(ctx context.Context, request *protocol.HeartbeatRequest) error {
	if !l.registration.put(request, l.now()) {
		return failure.New(failure.Unavailable, errSuperseded.Error())
	}
	return l.registration.await(ctx, request.Heartbeat.Sequence)
}

// hasHeartbeatWithin reports whether the runner's newest heartbeat arrived less than span ago.
func (l *loop) hasHeartbeatWithin(span time.Duration) bool {
	_, arrived := l.registration.get()
	return l.now().Sub(arrived) < span
}

// now returns the time by the service's clock.
func (l *loop) now() time.Time { return l.service.clock.Now() }

// run makes one step after the other until ctx ends. previous is the ended channel of the loop that this one replaces. run
// waits for it, so that the two don't call the runner at the same time; nil: there is none to wait for.
func (l *loop) run(ctx context.Context, previous <-chan struct{}) {
	defer close(l.ended)
	defer l.closeSession()
	if previous != nil {
		<-previous
	}
	for ctx.Err() == nil {
		if err := l.step(ctx); err != nil {
			l.failures++
			l.backOff(ctx)
			continue
		}
		l.failures = 0
	}
}

// backOff waits after a step that failed. Without a connection, and without a heartbeat for dormantTimeout, it waits for the
// runner's next heartbeat. Otherwise it waits for a time that grows with the number of failures.
func (l *loop) backOff(ctx context.Context) {
	if _, arrived := l.registration.get(); l.session == nil && l.now().Sub(arrived) > dormantTimeout {
		l.awaitHeartbeat(ctx)
		return
	}
	l.sleep(ctx, min(minStepBackoff*time.Duration(l.failures), maxStepBackoff))
}

// awaitHeartbeat waits until the runner sends another heartbeat or ctx ends.
func (l *loop) awaitHeartbeat(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.registration.updated:
	}
}

// sleep waits for pause, or until ctx ends.
func (l *loop) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-deadline.ClockFor(ctx, l.service.clock).After(pause):
	}
}

// closeSession closes the connections to the runner and discards the state that was learned on them. Another incarnation may
// answer on the next connections.
func (l *loop) closeSession() {
	if l.session != nil {
		l.session.close()
	}
	l.session = nil
	l.snapshot = nil
	clear(l.stopSentAt)
}

// step makes one exchange with the owner, carries out the orders, and starts a poll of the runner if one is due. After an
// error the caller must back off.
func (l *loop) step(ctx context.Context) error {
	ready, err := l.ensureSession(ctx)
	if err != nil || !ready {
		return err
	}
	if err := l.stopUnconfirmed(ctx); err != nil {
		return err
	}
	began := l.now()
	orders, err := l.exchange(ctx, began)
	if err != nil {
		l.startPollIfDue(ctx)
		_ = l.takePollResult() // the error of the exchange is reported; after a failed poll the session is closed
		return err
	}
	if err := l.apply(ctx, orders, began); err != nil {
		return err
	}
	l.startPollIfDue(ctx)
	return l.awaitNextStep(ctx, began)
}

// awaitNextStep waits until the next exchange is due. The result of a poll ends the wait early, because the owner
// should get it soon, but not before minStepInterval has passed since began, the start of the last exchange.
func (l *loop) awaitNextStep(ctx context.Context, began time.Time) error {
	interval := max(min(l.requestedDelay, maxStepInterval), minStepInterval)
	select {
	case <-ctx.Done():
		return nil
	case <-deadline.ClockFor(ctx, l.service.clock).After(interval):
		return nil
	case result := <-l.session.pollResults:
		if err := l.applyPollResult(result); err != nil {
			return err
		}
	}
	l.sleep(ctx, minStepInterval-l.now().Sub(began))
	return nil
}

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
	// minStepInterval and maxStepInterval bound the time between two exchanges with the owner.
	minStepInterval = 20 * time.Millisecond
	maxStepInterval = 500 * time.Millisecond
	// minStepBackoff is waited after a step that failed. It grows by as much with each further one, up to maxStepBackoff.
	minStepBackoff = 100 * time.Millisecond
	maxStepBackoff = 500 * time.Millisecond
	// dormantTimeout is for how long after its newest heartbeat the agent tries to connect to a runner.
	dormantTimeout = 6 * time.Second
)

// loop calls one incarnation of a runner. In each step it exchanges a report for orders with the owner, carries the orders
// out, and polls the runner if a poll is due. The runner's answers to polls are priced, so there are fewer polls than
// exchanges; runnerSnapshot has what is known between two polls.
//
// Only the goroutine of run may use a loop, except for cancel, ended, instance, register and hasHeartbeatWithin.
type loop struct {
	service  *Service
	instance string
	address  string
	dial     Dial
	cancel   context.CancelFunc // ends run
	ended    chan struct{}      // closed once run has returned

	registration *registration

	session  *session        // nil: the runner isn't connected
	snapshot *runnerSnapshot // nil: the runner was not polled in this session

	terms          orderTerms
	fenceRefused   bool          // the runner has refused terms.fenceToken, so that no call is made with it again
	lease          time.Duration // length of the newest lease that the owner granted
	requestedDelay time.Duration // between two exchanges, as the owner requested
	counterBase    uint64        // sequence of the runner's own heartbeat that counter belongs to
	counter        uint64        // exchanges since that heartbeat
	unconfirmed    unconfirmedStarts
	stopSentAt     map[runName]time.Time
	failures       int // steps that failed since the last one that succeeded
}

// newLoop returns a loop for run, whose context cancel must end.
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

// register takes a heartbeat of the runner and returns nil once the owner has it. It returns an error when ctx ends before.
func (l *loop) register(ctx context.Context, request *protocol.HeartbeatRequest) error {
	if !l.registration.put(request, l.now()) {
		return failure.New(failure.Unavailable, errSuperseded.Error())
	}
	return l.registration.await(ctx, request.Heartbeat.Sequence)
}

// hasHeartbeatWithin reports whether the runner's newest heartbeat has arrived less than span ago.
func (l *loop) hasHeartbeatWithin(span time.Duration) bool {
	_, arrived := l.registration.get()
	return l.now().Sub(arrived) < span
}

func (l *loop) now() time.Time { return l.service.clock.Now() }

// run makes one step after the other until ctx ends. It begins when previous is closed, the end of the loop before it; nil:
// at once.
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

// backOff waits after a step that failed: for the runner's next heartbeat if the runner can't be connected and has sent
// none for long, otherwise for a time that grows with the failures.
func (l *loop) backOff(ctx context.Context) {
	if _, arrived := l.registration.get(); l.session == nil && l.now().Sub(arrived) > dormantTimeout {
		l.awaitHeartbeat(ctx)
		return
	}
	l.sleep(ctx, min(minStepBackoff*time.Duration(l.failures), maxStepBackoff))
}

func (l *loop) awaitHeartbeat(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.registration.updated:
	}
}

func (l *loop) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-deadline.ClockFor(ctx, l.service.clock).After(pause):
	}
}

// closeSession disconnects from the runner. What was learned in the session is no longer relied on.
func (l *loop) closeSession() {
	if l.session != nil {
		l.session.close()
	}
	l.session = nil
	l.snapshot = nil
	clear(l.stopSentAt)
}

// step makes one exchange with the owner, and begins a poll of the runner if one is due. An error calls for a back-off.
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
		_ = l.takePollResult() // the exchange's error comes first; a failed poll has closed the session
		return err
	}
	if err := l.apply(ctx, orders, began); err != nil {
		return err
	}
	l.startPollIfDue(ctx)
	return l.awaitNextStep(ctx, began)
}

// awaitNextStep waits until the next exchange is due, or a poll has a result.
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

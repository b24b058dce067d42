package agent

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"ospreypond/internal/failure"
	"ospreypond/internal/protocol"
)

// Times of a loop.
const (
	// orderTime is the oldest look at the runner on which a start is still sent.
	orderTime = time.Second
	// shortestTurn is the least time between two exchanges with the owner.
	shortestTurn = 20 * time.Millisecond
	// mostWait is the longest that a runner is asked to wait for an end.
	mostWait = 500 * time.Millisecond
	// firstPause and longestPause are waited after a turn that failed, the latter after several.
	firstPause   = 100 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// dormantAfter is how long a runner that can't be called is tried after its newest heartbeat.
	dormantAfter = 6 * time.Second
)

// sequenceBits are the low bits of a sequence, which count the exchanges since the runner's own heartbeat. An agent that
// starts again goes on from the runner's next one, and so never goes back.
const sequenceBits = 20

// loop calls one incarnation of a runner: it looks, tells the owner, and carries out the owner's orders, one turn after
// the other. Apart from its registration it is used by one goroutine.
type loop struct {
	service  *Service
	instance string
	address  string
	ctx      context.Context
	cancel   context.CancelFunc
	ended    chan struct{}

	registration *registration

	link      *link
	confirmed bool      // this incarnation answers on the link
	linkedAt  time.Time // when the runner's clock was asked on it
	linkClock int64     // the runner's clock then, ms

	given    terms
	wait     time.Duration // that the runner is asked to wait with its next answer to a hold
	base     uint64        // sequence of the heartbeat that counter belongs to
	counter  uint64
	doubts   doubts
	failures int // turns that failed, in a row
}

func newLoop(service *Service, instance, address string) *loop {
	ctx, cancel := context.WithCancel(context.Background())
	return &loop{service: service, instance: instance, address: address, ctx: ctx, cancel: cancel,
		ended: make(chan struct{}), registration: newRegistration(), doubts: newDoubts()}
}

// register takes a heartbeat of the runner and returns once the owner has it, or ctx ends.
func (l *loop) register(ctx context.Context, request *protocol.HeartbeatRequest) error {
	if !l.registration.put(request, l.service.clock.Now()) {
		return failure.New(failure.Unavailable, errAbandoned.Error())
	}
	return l.registration.await(ctx, request.Heartbeat.Sequence)
}

// run makes turns until the loop is ended. before is closed when the loop before it is over; nil: there was none.
func (l *loop) run(before <-chan struct{}) {
	defer close(l.ended)
	defer l.unlink()
	if before != nil {
		<-before
	}
	for l.ctx.Err() == nil {
		if err := l.turn(); err != nil {
			l.failures++
			l.rest()
			continue
		}
		l.failures = 0
	}
}

// rest waits after a turn that failed, longer after several, and for the runner's next heartbeat if it has not come for
// long.
func (l *loop) rest() {
	if _, arrived := l.registration.get(); l.link == nil && l.service.clock.Since(arrived) > dormantAfter {
		l.awaitNews()
		return
	}
	l.sleep(min(firstPause*time.Duration(l.failures), longestPause))
}

func (l *loop) awaitNews() {
	select {
	case <-l.ctx.Done():
	case <-l.registration.news:
	}
}

func (l *loop) sleep(pause time.Duration) {
	if pause <= 0 {
		return
	}
	select {
	case <-l.ctx.Done():
	case <-l.service.clock.After(pause):
	}
}

func (l *loop) unlink() {
	if l.link != nil {
		l.link.close()
	}
	l.link = nil
	l.confirmed = false
}

// turn is one look at the runner and one exchange with the owner.
func (l *loop) turn() error {
	if err := l.connect(); err != nil {
		return err
	}
	if !l.confirm() {
		l.awaitNews()
		return nil
	}
	if err := l.settle(); err != nil {
		return err
	}
	seen, err := l.link.hold(l.ctx, l.given, l.wait)
	if err != nil {
		l.unlink()
		return err
	}
	lookedAt := l.service.clock.Now()
	l.doubts.see(seen)
	orders, err := l.exchange(seen)
	if err != nil {
		l.wait = 0
		return err
	}
	if err := l.carryOut(orders, seen, lookedAt); err != nil {
		return err
	}
	l.sleep(shortestTurn - l.service.clock.Since(lookedAt))
	return nil
}

// exchange tells the owner what was seen and returns its orders.
func (l *loop) exchange(seen *look) (*protocol.Orders, error) {
	newest, _ := l.registration.get()
	own := newest.Heartbeat.Sequence
	request := &protocol.HeartbeatRequest{Shard: newest.Shard, Heartbeat: newest.Heartbeat}
	beat := &request.Heartbeat
	beat.Sequence = l.nextSequence(own)
	beat.ClockMs = seen.clockMs
	beat.Active = l.doubts.addTo(seen.active)
	beat.Finished = seen.finished
	beat.Rejected = l.doubts.rejections()

	ctx, cancel := clockwork.WithTimeout(l.ctx, l.service.clock, exchangeTime)
	defer cancel()
	var response *protocol.HeartbeatResponse
	err := l.service.attempt(ctx, request.Shard, func(ctx context.Context) (err error) {
		response, err = l.service.owners.Heartbeat(ctx, request)
		return err
	})
	if err == nil && response.Orders.FenceToken < l.given.fenceToken {
		err = failure.New(failure.NotLeader, "an owner of the past has answered")
	}
	l.registration.done(own, err)
	if err != nil {
		return nil, err
	}
	l.doubts.reported()
	return &response.Orders, nil
}

func (l *loop) nextSequence(own uint64) uint64 {
	if own != l.base {
		l.base, l.counter = own, 0
	}
	l.counter++
	return own<<sequenceBits | l.counter
}

// carryOut has the runner do what the owner has ordered, stops first.
func (l *loop) carryOut(orders *protocol.Orders, seen *look, lookedAt time.Time) error {
	l.takeTerms(orders, seen)
	for i := range orders.Stop {
		if err := l.stop(runName{orders.Stop[i].Task, orders.Stop[i].Run}); err != nil {
			return err
		}
	}
	if orders.HoldMs <= 0 {
		return nil
	}
	for i := range orders.Start {
		if l.service.clock.Since(lookedAt) >= orderTime {
			return nil // the owner sends it again
		}
		if err := l.start(&orders.Start[i]); err != nil {
			return err
		}
	}
	return nil
}

// takeTerms notes what the next calls carry. A hold counts from the look that the owner was told of, which was before
// that was sent.
func (l *loop) takeTerms(orders *protocol.Orders, seen *look) {
	if orders.HoldMs > 0 {
		l.given.deadlineMs = max(l.given.deadlineMs, seen.clockMs+orders.HoldMs)
	}
	l.given.fenceToken = orders.FenceToken
	l.given.lastSeen = max(l.given.lastSeen, orders.LastSeen)
	l.wait = min(time.Duration(orders.RetryDelayMs)*time.Millisecond, mostWait)
}

// stop has a run stopped.
func (l *loop) stop(run runName) error {
	if err := l.link.stop(l.ctx, l.given, run.task, run.run); err != nil {
		l.unlink()
		return err
	}
	l.doubts.stopped(run)
	return nil
}

// start has a run started. What the runner refuses is stopped at once, so that it can't come later.
func (l *loop) start(order *protocol.StartOrder) error {
	run := runName{order.Task, order.Run}
	err := l.link.start(l.ctx, l.given, order)
	refused, definite := err.(*refusal)
	switch {
	case err == nil:
		return nil
	case definite && refused.why == whyFence:
		return err // a newer owner has been here
	}
	l.doubts.doubt(run)
	if definite {
		return l.stop(run)
	}
	l.unlink()
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

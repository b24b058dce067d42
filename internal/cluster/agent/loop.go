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
	// orderTime is the oldest exchange whose starts are still sent.
	orderTime = time.Second
	// shortestTurn is the least time between two exchanges with the owner.
	shortestTurn = 20 * time.Millisecond
	// longestTurn is the longest time between them.
	longestTurn = 500 * time.Millisecond
	// mostWait is the longest that a runner is asked to wait for an end.
	mostWait = 300 * time.Millisecond
	// waitShare is the same as a part of a hold, which is renewed by the next look.
	waitShare = 8
	// lookGap is the least time between two looks, unless a run is in doubt.
	lookGap = 60 * time.Millisecond
	// leavingWait is what a runner that is leaving is asked to wait: what it can still do is decided from moment to moment.
	leavingWait = 60 * time.Millisecond
	// unseenGap is the same while the owner has not acknowledged all ends, which end a look at once.
	unseenGap = 100 * time.Millisecond
	// stopAgain is the time after which a stop is sent again.
	stopAgain = 500 * time.Millisecond
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
	dial     Dial
	ctx      context.Context
	cancel   context.CancelFunc
	ended    chan struct{}

	registration *registration

	session *session // nil: there is none
	picture *picture // nil: nothing was looked at in this session

	given    terms
	hold     time.Duration // newest that the owner gave
	pause    time.Duration // that the owner wants between two exchanges
	base     uint64        // sequence of the heartbeat that counter belongs to
	counter  uint64
	doubts   doubts
	stopSent map[runName]time.Time
	failures int // turns that failed, in a row
}

// newLoop returns a loop that is begun by the work of ctx, and goes on after it.
func newLoop(ctx context.Context, service *Service, dial Dial, instance, address string) *loop {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &loop{service: service, dial: dial, instance: instance, address: address, ctx: ctx, cancel: cancel,
		ended: make(chan struct{}), registration: newRegistration(), doubts: newDoubts(), stopSent: make(map[runName]time.Time)}
}

// register takes a heartbeat of the runner and returns once the owner has it, or ctx ends.
func (l *loop) register(ctx context.Context, request *protocol.HeartbeatRequest) error {
	if !l.registration.put(request, l.now()) {
		return failure.New(failure.Unavailable, errAbandoned.Error())
	}
	return l.registration.await(ctx, request.Heartbeat.Sequence)
}

// heardWithin tells whether a heartbeat of the runner has come within the last span.
func (l *loop) heardWithin(span time.Duration) bool {
	_, arrived := l.registration.get()
	return l.now().Sub(arrived) < span
}

func (l *loop) now() time.Time { return l.service.clock.Now() }

// run makes turns until the loop is ended. before is closed when the loop before it is over; nil: there was none.
func (l *loop) run(before <-chan struct{}) {
	defer close(l.ended)
	defer l.leave()
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
	if _, arrived := l.registration.get(); l.session == nil && l.now().Sub(arrived) > dormantAfter {
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
	case <-deadline.In(l.ctx, l.service.clock).After(pause):
	}
}

// leave gives up the session.
func (l *loop) leave() {
	if l.session != nil {
		l.session.close()
	}
	l.session = nil
	l.picture = nil
	clear(l.stopSent)
}

// turn is one exchange with the owner, and a look at the runner if it is time for one.
func (l *loop) turn() error {
	ready, err := l.open()
	if err != nil || !ready {
		return err
	}
	if err := l.settle(); err != nil {
		return err
	}
	began := l.now()
	orders, err := l.exchange(began)
	if err != nil {
		l.look()
		l.takeLook()
		return err
	}
	if err := l.carryOut(orders, began); err != nil {
		return err
	}
	l.look()
	return l.await(began)
}

// open sees to a session in which this incarnation is certain to answer, and to a first look. It returns false if a
// newer heartbeat may make it certain.
func (l *loop) open() (ready bool, err error) {
	if l.session == nil {
		if err := l.meet(); err != nil {
			l.leave()
			return false, err
		}
	}
	newest, arrived := l.registration.get()
	if !l.session.confirm(newest.Heartbeat.ClockMs, arrived) {
		l.awaitNews()
		return false, nil
	}
	if l.picture == nil {
		l.picture = newPicture()
		l.session.look(l.ctx, l.given, 0, l.now())
		return true, l.take(<-l.session.result)
	}
	return true, l.takeLook()
}

// meet opens a session and asks the runner's clock. A runner answers nothing to a fence token lower than one that it has
// seen; one that is not known here any more is asked from the owner.
func (l *loop) meet() (err error) {
	if l.session, err = openSession(l.ctx, l.dial, l.address); err != nil {
		return err
	}
	err = l.session.question(l.ctx, l.given.fenceToken, l.now)
	if _, refused := err.(*refusal); !refused {
		return err
	}
	newest, _ := l.registration.get()
	request := &protocol.HeartbeatRequest{Shard: newest.Shard,
		Heartbeat: protocol.Heartbeat{Instance: l.instance, Service: newest.Heartbeat.Service, FenceOnly: true}}
	orders, err := l.ask(request)
	if err != nil {
		return err
	}
	l.given.fenceToken = orders.FenceToken
	return l.session.question(l.ctx, l.given.fenceToken, l.now)
}

// takeLook takes the result of a look if there is one.
func (l *loop) takeLook() error {
	select {
	case result := <-l.session.result:
		return l.take(result)
	default:
		return nil
	}
}

func (l *loop) take(result lookResult) error {
	l.session.looking = false
	if result.err != nil {
		l.leave()
		return result.err
	}
	l.picture.look(result.seen, l.now())
	l.doubts.see(result.seen)
	return nil
}

// look begins a look if none is out and it is time for one. It renews the hold.
func (l *loop) look() {
	if l.session.looking {
		return
	}
	gap, wait := lookGap, min(l.hold/waitShare, mostWait)
	if newest, _ := l.registration.get(); newest.Heartbeat.State == protocol.RunnerDraining {
		wait = leavingWait
	}
	switch {
	case l.doubts.any():
		gap, wait = 0, 0
	case !l.picture.acknowledged(l.given.lastSeen):
		gap = unseenGap
	}
	if now := l.now(); now.Sub(l.session.lookedAt) >= gap {
		l.session.look(l.ctx, l.given, wait, now)
	}
}

// await waits until it is time for the next exchange, or for news of the runner.
func (l *loop) await(began time.Time) error {
	pause := max(min(l.pause, longestTurn), shortestTurn)
	select {
	case <-l.ctx.Done():
		return nil
	case <-deadline.In(l.ctx, l.service.clock).After(pause):
		return nil
	case result := <-l.session.result:
		if err := l.take(result); err != nil {
			return err
		}
	}
	l.sleep(shortestTurn - l.now().Sub(began))
	return nil
}

// exchange tells the owner what is known of the runner and returns its orders.
func (l *loop) exchange(now time.Time) (*protocol.Orders, error) {
	request, own := l.report(now)
	orders, err := l.ask(request)
	l.registration.done(own, err)
	if err != nil {
		return nil, err
	}
	l.doubts.reported()
	l.takeTerms(orders, request.Heartbeat.ClockMs)
	return orders, nil
}

// ask carries a heartbeat to the owner.
func (l *loop) ask(request *protocol.HeartbeatRequest) (*protocol.Orders, error) {
	ctx, cancel := deadline.WithTimeout(l.ctx, l.service.clock, exchangeTime)
	defer cancel()
	var response *protocol.HeartbeatResponse
	err := l.service.attempt(ctx, request.Shard, func(ctx context.Context) (err error) {
		response, err = l.service.owners.Heartbeat(ctx, request)
		return err
	})
	if err != nil {
		return nil, err
	}
	if response.Orders.FenceToken < l.given.fenceToken {
		return nil, failure.New(failure.NotLeader, "an owner of the past has answered")
	}
	return &response.Orders, nil
}

// report is the heartbeat that the runner would send if it were one that is answered. own is the sequence of the
// heartbeat of its own that this one follows.
func (l *loop) report(now time.Time) (request *protocol.HeartbeatRequest, own uint64) {
	newest, _ := l.registration.get()
	own = newest.Heartbeat.Sequence
	request = &protocol.HeartbeatRequest{Shard: newest.Shard, Heartbeat: newest.Heartbeat}
	beat := &request.Heartbeat
	beat.Sequence = l.nextSequence(own)
	beat.ClockMs = l.picture.clock(now)
	beat.Active = l.doubts.addTo(l.picture.active())
	beat.Finished = l.picture.news(l.given.lastSeen)
	beat.Rejected = l.doubts.rejections()
	beat.Called = true
	return request, own
}

func (l *loop) nextSequence(own uint64) uint64 {
	if own != l.base {
		l.base, l.counter = own, 0
	}
	l.counter++
	return own<<sequenceBits | l.counter
}

// takeTerms notes what the next calls carry. A hold counts from the runner's clock before the heartbeat was sent.
func (l *loop) takeTerms(orders *protocol.Orders, clockMs int64) {
	if orders.HoldMs > 0 {
		l.given.deadlineMs = max(l.given.deadlineMs, clockMs+orders.HoldMs)
		l.hold = time.Duration(orders.HoldMs) * time.Millisecond
	}
	l.given.fenceToken = orders.FenceToken
	l.given.lastSeen = max(l.given.lastSeen, orders.LastSeen)
	l.pause = time.Duration(orders.RetryDelayMs) * time.Millisecond
}

package agent

import (
	"context"
	"time"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// sequenceBits are the low bits of a report's sequence, which count the exchanges since the runner's own heartbeat. The high
// bits are that heartbeat's sequence. A restarted agent continues from the runner's next heartbeat, so a sequence never
// goes back.
const sequenceBits = 20

// exchange reports to the owner what is known of the runner, and returns the owner's orders.
func (l *loop) exchange(ctx context.Context, now time.Time) (*protocol.Orders, error) {
	request, ownSequence := l.composeHeartbeat(now)
	orders, err := l.sendHeartbeat(ctx, request)
	l.registration.recordExchange(ownSequence, err)
	if err != nil {
		return nil, err
	}
	l.unconfirmed.acknowledgeRejections()
	l.updateTerms(orders, request.Heartbeat.ClockMs)
	return orders, nil
}

// sendHeartbeat carries a heartbeat to the owner. Orders of an owner that has been replaced are an error.
func (l *loop) sendHeartbeat(ctx context.Context, request *protocol.HeartbeatRequest) (*protocol.Orders, error) {
	ctx, cancel := deadline.WithTimeout(ctx, l.service.clock, exchangeTimeout)
	defer cancel()
	response, err := l.service.callOwnerWithHeartbeat(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.Orders.FenceToken < l.terms.fenceToken {
		return nil, failure.New(failure.NotLeader, "a former owner has responded")
	}
	return &response.Orders, nil
}

// composeHeartbeat returns the heartbeat that the runner would send if it got its orders in the response. ownSequence is
// the sequence of the runner's own heartbeat on which it builds.
func (l *loop) composeHeartbeat(now time.Time) (request *protocol.HeartbeatRequest, ownSequence uint64) {
	newest, _ := l.registration.get()
	ownSequence = newest.Heartbeat.Sequence
	request = &protocol.HeartbeatRequest{Shard: newest.Shard, Heartbeat: newest.Heartbeat}
	heartbeat := &request.Heartbeat
	heartbeat.Sequence = l.nextSequence(ownSequence)
	heartbeat.ClockMs = l.snapshot.clock(now)
	heartbeat.Active = l.unconfirmed.appendTo(l.snapshot.active())
	heartbeat.Finished = l.snapshot.endsAfter(l.terms.lastSeen)
	heartbeat.Rejected = l.unconfirmed.rejections()
	heartbeat.Called = true
	return request, ownSequence
}

func (l *loop) nextSequence(ownSequence uint64) uint64 {
	if ownSequence != l.counterBase {
		l.counterBase, l.counter = ownSequence, 0
	}
	l.counter++
	return ownSequence<<sequenceBits | l.counter
}

// updateTerms sets what the next calls to the runner carry. A lease begins at clockMs, a time that the runner's clock had
// reached before the heartbeat was sent.
func (l *loop) updateTerms(orders *protocol.Orders, clockMs int64) {
	if orders.HoldMs > 0 {
		l.terms.deadlineMs = max(l.terms.deadlineMs, clockMs+orders.HoldMs)
		l.lease = time.Duration(orders.HoldMs) * time.Millisecond
	}
	l.terms.fenceToken = orders.FenceToken
	l.terms.lastSeen = max(l.terms.lastSeen, orders.LastSeen)
	l.requestedDelay = time.Duration(orders.RetryDelayMs) * time.Millisecond
}

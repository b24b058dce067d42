package agent

import (
	"context"
	"time"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// sequenceBits is the number of low bits of a report's sequence that count the exchanges since the runner's own heartbeat:
//
//	report's sequence = heartbeat's sequence << sequenceBits | exchanges since that heartbeat
//
// The sequences that the owner sees therefore rise even if the agent restarts and its count begins again: a restarted agent
// composes no report before the runner's next heartbeat, which has a higher sequence.
const sequenceBits = 20

// exchange sends the owner a heartbeat with the known state of the runner, and returns the owner's orders.
func (l *loop) exchange(ctx context.Context, now time.Time) (*protocol.Orders, error) {
	request, ownSequence := l.composeHeartbeat(now)
	orders, err := l.sendHeartbeat(ctx, request)
	l.registration.recordExchange(ownSequence, err)
	if err != nil {
		return nil, err
	}
	l.unconfirmed.acknowledgeRejections()
	l.updateParameters(orders, request.Heartbeat.ClockMs)
	return orders, nil
}

// sendHeartbeat sends a heartbeat to the owner and returns its orders. Orders with a lower fencing token than earlier
// orders are an error: they come from a former owner, and the shard has a later one.
func (l *loop) sendHeartbeat(ctx context.Context, request *protocol.HeartbeatRequest) (*protocol.Orders, error) {
	ctx, cancel := deadline.WithTimeout(ctx, l.service.clock, exchangeTimeout)
	defer cancel()
	response, err := l.service.callOwnerWithHeartbeat(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.Orders.FenceToken < l.parameters.fenceToken {
		return nil, failure.New(failure.NotLeader, "the orders have a lower fencing token than earlier ones: a former owner has responded")
	}
	return &response.Orders, nil
}

// composeHeartbeat returns the heartbeat that the runner would send if it read its orders from the response. It begins
// with a copy of the runner's newest own heartbeat, which has the sequence ownSequence, and replaces the lists of
// runs, the clock and the sequence by the agent's values.
func (l *loop) composeHeartbeat(now time.Time) (request *protocol.HeartbeatRequest, ownSequence uint64) {
	newest, _ := l.registration.get()
	ownSequence = newest.Heartbeat.Sequence
	request = &protocol.HeartbeatRequest{Shard: newest.Shard, Heartbeat: newest.Heartbeat}
	heartbeat := &request.Heartbeat
	heartbeat.Sequence = l.nextSequence(ownSequence)
	heartbeat.ClockMs = l.snapshot.clock(now)
	heartbeat.Active = l.unconfirmed.appendTo(l.snapshot.active())
	heartbeat.Finished = l.snapshot.endsAfter(l.parameters.lastSeen)
	heartbeat.Rejected = l.unconfirmed.rejections()
	heartbeat.Called = true
	return request, ownSequence
}

// nextSequence returns the sequence of the next report; see sequenceBits.
func (l *loop) nextSequence(ownSequence uint64) uint64 {
	if ownSequence != l.sequenceBase {
		l.sequenceBase, l.exchangeCount = ownSequence, 0
	}
	l.exchangeCount++
	return ownSequence<<sequenceBits | l.exchangeCount
}

// updateParameters sets the parameters of the next calls to the runner. When the heartbeat was sent, the runner's clock had
// certainly reached clockMs. A lease of HoldMs begins at that reading:
//
//	deadlineMs = clockMs + HoldMs, on the runner's clock
//
// The owner counts the lease from a later time, the time of its response. The runner's lease therefore ends before the
// owner treats it as expired.
func (l *loop) updateParameters(orders *protocol.Orders, clockMs int64) {
	if orders.HoldMs > 0 {
		l.parameters.deadlineMs = max(l.parameters.deadlineMs, clockMs+orders.HoldMs)
		l.lease = time.Duration(orders.HoldMs) * time.Millisecond
	}
	l.parameters.fenceToken = orders.FenceToken
	l.parameters.lastSeen = max(l.parameters.lastSeen, orders.LastSeen)
	l.requestedDelay = time.Duration(orders.RetryDelayMs) * time.Millisecond
}

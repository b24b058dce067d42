package consensus

import "time"

// The timing of the rounds of heartbeats that a requested confirmation adds between two periodic rounds.
const (
	minConfirmationInterval = 2 * time.Millisecond  // between a round that a quorum has acknowledged and the next
	confirmationTimeout     = 10 * time.Millisecond // a round without a quorum's acknowledgement is then treated as lost
)

// ConfirmLeadership requests a confirmation that this member still led at or after now. The confirmation has arrived once
// Status().ConfirmedAt is at least now. This is the read index protocol of section 6.4, except that the leader's time
// instead of a counter identifies a round of heartbeats. Requests within a short time share a round. A member that does not
// lead ignores the request.
func (n *Node) ConfirmLeadership(now time.Duration) {
	n.advanceClock(now)
	if n.role != roleLeader {
		return
	}
	n.leadership.confirmationRequested = true
	n.sendRequestedConfirmation()
	n.updateConfirmedAt()
}

// sendRequestedConfirmation sends a round of heartbeats if a confirmation was requested since the last round, and the time
// that nextConfirmationAt returns has come.
func (n *Node) sendRequestedConfirmation() {
	if n.leadership.confirmationRequested && n.now >= n.nextConfirmationAt() {
		n.broadcastHeartbeat(confirmationHeartbeat)
	}
}

// nextConfirmationAt returns when the next round of heartbeats may be sent for a requested confirmation: after
// minConfirmationInterval if a quorum has acknowledged the last round, and otherwise after confirmationTimeout.
func (n *Node) nextConfirmationAt() time.Duration {
	if n.leadership.confirmedAt >= n.leadership.lastHeartbeatAt {
		return n.leadership.lastHeartbeatAt + minConfirmationInterval
	}
	return n.leadership.lastHeartbeatAt + confirmationTimeout
}

// updateConfirmedAt advances confirmedAt to the newest time at which a quorum is known to have followed this leader.
func (n *Node) updateConfirmedAt() {
	confirmed := n.quorumTime(func(peer *progress) time.Duration { return peer.confirmedAt })
	n.leadership.confirmedAt = max(n.leadership.confirmedAt, confirmed)
}

// quorumTime returns the newest time t such that timeOf is at least t for a quorum of voters. For this leader it uses the
// current time instead of timeOf.
func (n *Node) quorumTime(timeOf func(*progress) time.Duration) time.Duration {
	return reachedByQuorum(n, n.now, timeOf)
}

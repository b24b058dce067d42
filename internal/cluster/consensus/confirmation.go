package consensus

import "time"

// The timing of heartbeats that are sent between two periodic ones because a confirmation was requested.
const (
	minConfirmationInterval = 2 * time.Millisecond  // between two rounds of heartbeats
	confirmationTimeout     = 10 * time.Millisecond // after which a round counts as lost and the next may be sent
)

// ConfirmLeadership requests a confirmation that this member still led at or after now: it is there once
// Status().ConfirmedAt is at least now. This is the read index of section 6.4, by time in place of a counter. Requests that
// come close together share a round of heartbeats. A member that does not lead ignores the request.
func (n *Node) ConfirmLeadership(now time.Duration) {
	n.advanceClock(now)
	if n.role != roleLeader {
		return
	}
	n.leadership.confirmationRequested = true
	n.sendRequestedConfirmation()
	n.updateConfirmedAt()
}

// sendRequestedConfirmation sends a round of heartbeats if a confirmation was requested since the last round, and that round
// is either acknowledged by a quorum or presumably lost.
func (n *Node) sendRequestedConfirmation() {
	if n.leadership.confirmationRequested && n.now >= n.nextConfirmationAt() {
		n.broadcastHeartbeat(confirmationHeartbeat)
	}
}

// nextConfirmationAt returns when the next round of heartbeats may be sent for a requested confirmation.
func (n *Node) nextConfirmationAt() time.Duration {
	if n.leadership.confirmedAt >= n.leadership.lastHeartbeatAt {
		return n.leadership.lastHeartbeatAt + minConfirmationInterval
	}
	return n.leadership.lastHeartbeatAt + confirmationTimeout
}

// updateConfirmedAt advances the confirmed time to the newest one at which a quorum is known to have followed this leader.
func (n *Node) updateConfirmedAt() {
	confirmed := n.quorumTime(func(peer *progress) time.Duration { return peer.confirmedAt })
	n.leadership.confirmedAt = max(n.leadership.confirmedAt, confirmed)
}

// quorumTime returns the newest time that a quorum of voters has reached, where this leader has reached the present.
func (n *Node) quorumTime(timeOf func(*progress) time.Duration) time.Duration {
	return reachedByQuorum(n, n.now, timeOf)
}

package consensus

import "time"

// quorumTime is the newest time that a quorum of voters has reached; this member is at the present.
func (n *Node) quorumTime(of func(*progress) time.Duration) time.Duration {
	return reachedByQuorum(n, n.now, of)
}

// ConfirmLeadership asks for a confirmation of the leadership at or after now: Status().ConfirmedAt tells when it is there. Calls
// that come together share a round.
func (n *Node) ConfirmLeadership(now time.Duration) {
	n.advance(now)
	if n.role != roleLeader {
		return
	}
	n.leadership.roundWanted = true
	n.sendWantedRound()
	n.updateConfirmed()
}

// updateConfirmed moves the confirmed time to the newest one that a quorum has answered.
func (n *Node) updateConfirmed() {
	confirmed := n.quorumTime(func(peer *progress) time.Duration { return peer.confirmedAt })
	n.leadership.confirmedAt = max(n.leadership.confirmedAt, confirmed)
}

// sendWantedRound sends the round that Confirm asked for, as soon as the one before is answered or seems lost.
func (n *Node) sendWantedRound() {
	if n.leadership.roundWanted && n.now >= n.nextRoundAt() {
		n.sendRound(false)
	}
}

// nextRoundAt is when the next round may leave.
func (n *Node) nextRoundAt() time.Duration {
	if n.leadership.confirmedAt >= n.leadership.roundAt {
		return n.leadership.roundAt + minRoundGap
	}
	return n.leadership.roundAt + lostRound
}

// sendRound sends a heartbeat to every voter, and in regular ones to every learner as well.
func (n *Node) sendRound(regular bool) {
	leadership := &n.leadership
	leadership.roundAt = n.now
	leadership.roundWanted = false
	if regular {
		leadership.heartbeatAt = n.now + n.config.HeartbeatInterval
	}
	for _, peer := range leadership.peers {
		if peer.votes() || regular {
			n.send(Message{Kind: MessageHeartbeat, To: peer.id, Commit: n.commit, SentAt: n.now})
		}
	}
	n.updateConfirmed()
}

// takeHeartbeat answers a leader's heartbeat with how far the log agrees with it, on disk or not.
func (n *Node) takeHeartbeat(message *Message) {
	if !n.followLeader(message.From) {
		return
	}
	n.commitUpTo(message.Commit)
	n.send(Message{Kind: MessageHeartbeatResponse, To: message.From, Index: n.verified, SentAt: message.SentAt})
}

// takeHeartbeatResponse counts a confirmation, and finds out what was lost on the way.
func (n *Node) takeHeartbeatResponse(message *Message) {
	peer := n.peer(message.From)
	if n.role != roleLeader || peer == nil {
		return
	}
	n.heardFrom(peer, message)
	switch {
	case peer.state == progressSnapshot:
		n.repeatPiece(peer)
	case message.Index < peer.sent && peer.appendSentAt < message.SentAt:
		n.resumeAfterLoss(peer, message.Index)
	case n.ackOverdue(peer):
		n.askForAck(peer)
	default:
		n.sendAppends(peer)
	}
	n.handOver()
}

// ackOverdue tells whether a member has long owed an acknowledgement of something.
func (n *Node) ackOverdue(peer *progress) bool {
	owed := peer.waiting || peer.match < peer.sent
	return owed && n.now-peer.ackAskedAt >= 2*n.config.HeartbeatInterval
}

// heardFrom notes an answer and what it confirms.
func (n *Node) heardFrom(peer *progress, message *Message) {
	peer.heard(n.now, message.SentAt)
	n.updateConfirmed()
}

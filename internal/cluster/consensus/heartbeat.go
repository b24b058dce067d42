package consensus

// heartbeatKind is why a round of heartbeats is sent.
type heartbeatKind uint8

const (
	periodicHeartbeat     heartbeatKind = iota // to all members; the interval begins anew
	confirmationHeartbeat                      // to voters only, whose responses confirm the leadership
)

// broadcastHeartbeat sends a round of heartbeats.
func (n *Node) broadcastHeartbeat(kind heartbeatKind) {
	leadership := &n.leadership
	leadership.lastHeartbeatAt = n.now
	leadership.confirmationRequested = false
	if kind == periodicHeartbeat {
		leadership.nextHeartbeatAt = n.now + n.config.HeartbeatInterval
	}
	for _, peer := range leadership.peers {
		if peer.isVoter() || kind == periodicHeartbeat {
			n.send(Message{Kind: MessageHeartbeat, To: peer.id, Commit: n.commit, SentAt: n.now})
		}
	}
	n.updateConfirmedAt()
}

// handleHeartbeat responds to the leader with the last index at which the logs agree, whether or not it is on disk.
func (n *Node) handleHeartbeat(message *Message) {
	if !n.acceptLeader(message.From) {
		return
	}
	n.commitUpTo(message.Commit)
	n.send(Message{Kind: MessageHeartbeatResponse, To: message.From, Index: n.verified, SentAt: message.SentAt})
}

// handleHeartbeatResponse records a confirmation, and sends again what was probably lost on the way to the member.
func (n *Node) handleHeartbeatResponse(message *Message) {
	peer := n.peer(message.From)
	if n.role != roleLeader || peer == nil {
		return
	}
	n.recordResponse(peer, message)
	switch {
	case peer.state == progressSnapshot:
		n.resendChunk(peer)
	case message.Index < peer.lastSent && peer.appendSentAt < message.SentAt:
		// The newest append was sent before this heartbeat, and the member still lacks it: it was probably lost.
		n.resendLost(peer, message.Index)
	case n.isAckOverdue(peer):
		n.requestAck(peer)
	default:
		n.sendAppends(peer)
	}
	n.maybeFinishTransfer()
}

// isAckOverdue reports whether a member has owed an acknowledgement for two heartbeat intervals.
func (n *Node) isAckOverdue(peer *progress) bool {
	owed := peer.probeSent || peer.match < peer.lastSent
	return owed && n.now-peer.ackRequestedAt >= 2*n.config.HeartbeatInterval
}

// recordResponse records the contact with a member, and what its response confirms.
func (n *Node) recordResponse(peer *progress, message *Message) {
	peer.recordContact(n.now, message.SentAt)
	n.updateConfirmedAt()
}

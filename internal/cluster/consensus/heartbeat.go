package consensus

// heartbeatKind is the reason why a round of heartbeats is sent.
type heartbeatKind uint8

const (
	periodicHeartbeat     heartbeatKind = iota // to all members; restarts the heartbeat interval
	confirmationHeartbeat                      // to voters only, because their responses confirm the leadership
)

// broadcastHeartbeat sends one round of heartbeats, to all other members or to the voters among them.
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

// handleHeartbeat responds to the leader with the last index up to which the logs are known to agree. The entries need not
// be on disk.
func (n *Node) handleHeartbeat(message *Message) {
	if !n.acceptLeader(message.From) {
		return
	}
	n.commitUpTo(message.Commit)
	n.send(Message{Kind: MessageHeartbeatResponse, To: message.From, Index: n.verified, SentAt: message.SentAt})
}

// handleHeartbeatResponse records that the member followed this leader when the heartbeat was sent. If messages were
// probably lost, the leader then sends the snapshot chunk or the entries again, or requests another acknowledgement.
// Otherwise it sends the entries that the member lacks.
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
		// The newest append was sent before this heartbeat and the member still lacks its entries, so it was probably lost.
		n.resendLost(peer, message.Index)
	case n.isAckOverdue(peer):
		n.requestAck(peer)
	default:
		n.sendAppends(peer)
	}
	n.maybeFinishTransfer()
}

// isAckOverdue reports whether an acknowledgement of a member has been outstanding for two heartbeat intervals.
func (n *Node) isAckOverdue(peer *progress) bool {
	outstanding := peer.probeSent || peer.match < peer.lastSent
	return outstanding && n.now-peer.ackRequestedAt >= 2*n.config.HeartbeatInterval
}

// recordResponse records the contact with a member, and updates the time up to which the leadership is confirmed.
func (n *Node) recordResponse(peer *progress, message *Message) {
	peer.recordContact(n.now, message.SentAt)
	n.updateConfirmedAt()
}

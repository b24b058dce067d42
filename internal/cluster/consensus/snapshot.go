package consensus

import "time"

// silentTransfer is after how many election timeouts of silence a snapshot on its way is given up.
const silentTransfer = 4

// maxRoomAtOnce bounds what is set aside for a snapshot on the word of its first piece, in bytes.
const maxRoomAtOnce = 64 << 20

// Bounds of a snapshot's pieces, besides Config.SnapshotChunkBytes. A piece keeps all later messages on its link waiting,
// heartbeats among them: where it takes as long as a member's silence may last, the snapshot never arrives.
const (
	firstPieceBytes = 32 << 10
	leastPieceBytes = 4 << 10
)

// outgoingSnapshot is a snapshot on its way to a member, one unanswered piece at a time.
type outgoingSnapshot struct {
	number   uint64 // among all of this leader's in its term
	snapshot Snapshot
	offset   uint64        // bytes that are over there
	firstAt  time.Duration // when the present piece was first sent
	sentAt   time.Duration // when it was last sent
}

// incomingSnapshot is a snapshot that is being received from one leader.
type incomingSnapshot struct {
	from     MemberID
	index    uint64
	term     uint64
	transfer uint64
	data     []byte
}

// NeedSnapshot tells a leader which members can go on only from a snapshot, and have none on the way.
func (n *Node) NeedSnapshot() []MemberID {
	var needing []MemberID
	for _, peer := range n.leadership.peers {
		alive := peer.active && n.now-peer.heardAt < n.config.ElectionTimeout
		if peer.state == progressSnapshot && peer.transfer == nil && alive {
			needing = append(needing, peer.id)
		}
	}
	return needing
}

// SendSnapshot begins to send a snapshot to a member that needs one. Members may be left out: they are filled in.
func (n *Node) SendSnapshot(now time.Duration, to MemberID, snapshot Snapshot) {
	n.advance(now)
	peer := n.peer(to)
	if peer == nil || peer.state != progressSnapshot || peer.transfer != nil || snapshot.Index < n.log.base {
		return
	}
	if snapshot.Members == nil {
		snapshot.Members = n.MembersAt(snapshot.Index)
	}
	n.leadership.transfers++
	peer.transfer = &outgoingSnapshot{number: n.leadership.transfers, snapshot: snapshot, firstAt: n.now}
	n.sendPiece(peer)
}

// sendPiece sends the next piece.
func (n *Node) sendPiece(peer *progress) {
	transfer := peer.transfer
	whole := transfer.snapshot.Data
	start := min(transfer.offset, uint64(len(whole)))
	if peer.pieceBytes == 0 {
		peer.pieceBytes = min(firstPieceBytes, n.config.SnapshotChunkBytes)
	}
	end := min(start+uint64(peer.pieceBytes), uint64(len(whole)))
	piece := transfer.snapshot
	piece.Data = whole[start:end:end]
	transfer.sentAt = n.now
	n.send(Message{Kind: MessageSnapshot, To: peer.id, Index: piece.Index, LogTerm: piece.Term, Commit: n.commit,
		SentAt: n.now, Snapshot: &piece, Offset: start, Transfer: transfer.number,
		Total: uint64(len(whole)), Last: end == uint64(len(whole))})
}

// repeatPiece sends a piece again that has had no answer.
func (n *Node) repeatPiece(peer *progress) {
	if peer.transfer != nil && n.now-peer.transfer.sentAt >= 2*n.config.HeartbeatInterval {
		n.sendPiece(peer)
	}
}

// dropSilentTransfers lets go of snapshots for members that have long been silent.
func (n *Node) dropSilentTransfers() {
	for _, peer := range n.leadership.peers {
		if peer.transfer != nil && n.now-peer.heardAt >= silentTransfer*n.config.ElectionTimeout {
			peer.transfer = nil
			n.shrinkPieces(peer)
		}
	}
}

// takeSnapshotResponse sends the next piece from where the member is. The answer may be to any sending of the present
// piece: where answers take longer than the time after which a piece is repeated, none comes to the newest.
func (n *Node) takeSnapshotResponse(message *Message) {
	peer := n.peer(message.From)
	if n.role != roleLeader || peer == nil {
		return
	}
	n.heardFrom(peer, message)
	transfer := peer.transfer
	if transfer == nil || message.Index != transfer.snapshot.Index || message.SentAt < transfer.firstAt {
		return
	}
	transfer.offset = message.Offset
	transfer.firstAt = n.now
	switch took := n.now - message.SentAt; {
	case took > n.config.ElectionTimeout:
		n.shrinkPieces(peer)
	case took < n.config.ElectionTimeout/2:
		peer.pieceBytes = min(2*peer.pieceBytes, n.config.SnapshotChunkBytes)
	}
	n.sendPiece(peer)
}

// shrinkPieces makes the next pieces to a member smaller, since its link needs long for them.
func (n *Node) shrinkPieces(peer *progress) {
	peer.pieceBytes = max(peer.pieceBytes/2, min(leastPieceBytes, n.config.SnapshotChunkBytes))
}

// takeSnapshotPiece gathers a snapshot, and installs it with its last piece.
func (n *Node) takeSnapshotPiece(message *Message) {
	if message.Snapshot == nil || !n.followLeader(message.From) {
		return
	}
	snapshot := message.Snapshot
	if n.log.matches(snapshot.Index, snapshot.Term) {
		n.verified = max(n.verified, snapshot.Index)
		n.commitUpTo(snapshot.Index)
	}
	if snapshot.Index <= n.commit {
		n.incoming = nil
		n.sendDeferred(Message{Kind: MessageAppendResponse, To: message.From, Index: n.commit, SentAt: message.SentAt})
		return
	}
	if n.gather(message) && message.Last {
		n.install(message)
		return
	}
	have := uint64(0)
	if n.incoming != nil {
		have = uint64(len(n.incoming.data))
	}
	n.send(Message{Kind: MessageSnapshotResponse, To: message.From, Index: snapshot.Index, Offset: have,
		SentAt: message.SentAt})
}

// gather adds a piece to what is there, and tells whether everything up to the piece's end is there now. Pieces of
// different sendings don't go together even where the index is the same: a state may be written in more than one way. What
// is there is forgotten with the leader's term.
func (n *Node) gather(message *Message) bool {
	snapshot := message.Snapshot
	incoming := n.incoming
	if incoming != nil && message.Transfer < incoming.transfer {
		return false // a late piece of an earlier one
	}
	fits := incoming != nil && incoming.from == message.From && incoming.index == snapshot.Index &&
		incoming.term == snapshot.Term && incoming.transfer == message.Transfer
	if !fits {
		n.incoming = nil
		if message.Offset != 0 {
			return false
		}
		incoming = &incomingSnapshot{from: message.From, index: snapshot.Index, term: snapshot.Term, transfer: message.Transfer}
		incoming.data = make([]byte, 0, min(message.Total, maxRoomAtOnce))
		n.incoming = incoming
	}
	have := uint64(len(incoming.data))
	end := message.Offset + uint64(len(snapshot.Data))
	if message.Offset > have {
		return false
	}
	if end > have {
		incoming.data = append(incoming.data, snapshot.Data[have-message.Offset:]...)
	}
	return end >= have
}

// install puts the snapshot in the place of the log and the state machine.
func (n *Node) install(message *Message) {
	snapshot := *message.Snapshot
	snapshot.Data = n.incoming.data
	n.incoming = nil
	n.log.reset(snapshot.Index, snapshot.Term)
	n.memberships = membershipHistory{{index: snapshot.Index, members: snapshot.Members}}
	n.commit, n.applied, n.verified = snapshot.Index, snapshot.Index, snapshot.Index
	n.pending.snapshot = &snapshot
	n.sendDeferred(Message{Kind: MessageAppendResponse, To: message.From, Index: snapshot.Index, SentAt: message.SentAt})
}

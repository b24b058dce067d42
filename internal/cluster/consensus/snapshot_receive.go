package consensus

// maxSnapshotPrealloc limits, in bytes, how much memory is allocated for a snapshot because its first chunk announces it.
const maxSnapshotPrealloc = 64 << 20

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	from     MemberID
	index    uint64
	term     uint64 // of the entry at index
	transfer uint64 // its number among the transfers of the leader in its term
	data     []byte // what has arrived, from the beginning on
}

// handleSnapshotChunk adds a chunk to the snapshot that is being received, and installs it with its last chunk. The response
// reports how much has arrived, from where the leader goes on.
func (n *Node) handleSnapshotChunk(message *Message) {
	if message.Snapshot == nil || !n.acceptLeader(message.From) {
		return
	}
	snapshot := message.Snapshot
	if n.log.matches(snapshot.Index, snapshot.Term) {
		n.verified = max(n.verified, snapshot.Index)
		n.commitUpTo(snapshot.Index)
	}
	if snapshot.Index <= n.commit {
		n.receiving = nil
		n.sendDeferred(Message{Kind: MessageAppendResponse, To: message.From, Index: n.commit, SentAt: message.SentAt})
		return
	}
	if n.appendChunk(message) && message.Last {
		n.installSnapshot(message)
		return
	}
	n.send(Message{Kind: MessageSnapshotResponse, To: message.From, Index: snapshot.Index, Offset: n.receivedBytes(),
		SentAt: message.SentAt})
}

// receivedBytes returns how many bytes have arrived of the snapshot that is being received.
func (n *Node) receivedBytes() uint64 {
	if n.receiving == nil {
		return 0
	}
	return uint64(len(n.receiving.data))
}

// appendChunk adds a chunk to what has arrived, and reports whether everything up to the end of the chunk has. Chunks of
// different transfers don't fit together even if they are of the same index: a state may be encoded in more than one way.
// What has arrived is dropped when a new term begins.
func (n *Node) appendChunk(message *Message) bool {
	if n.receiving != nil && message.Transfer < n.receiving.transfer {
		return false // a late chunk of an earlier transfer
	}
	if !n.receiving.continues(message) {
		n.receiving = nil
		if message.Offset != 0 {
			return false
		}
		n.receiving = newIncomingSnapshot(message)
	}
	received := n.receivedBytes()
	data := message.Snapshot.Data
	end := message.Offset + uint64(len(data))
	if message.Offset > received {
		return false
	}
	if end > received {
		n.receiving.data = append(n.receiving.data, data[received-message.Offset:]...)
	}
	return end >= received
}

// newIncomingSnapshot begins to receive the snapshot of a chunk.
func newIncomingSnapshot(message *Message) *incomingSnapshot {
	return &incomingSnapshot{
		from:     message.From,
		index:    message.Snapshot.Index,
		term:     message.Snapshot.Term,
		transfer: message.Transfer,
		data:     make([]byte, 0, min(message.Total, maxSnapshotPrealloc)),
	}
}

// continues reports whether a chunk belongs to the transfer that is being received. The receiver may be nil.
func (s *incomingSnapshot) continues(message *Message) bool {
	return s != nil && s.from == message.From && s.index == message.Snapshot.Index && s.term == message.Snapshot.Term &&
		s.transfer == message.Transfer
}

// installSnapshot replaces the log, and with the next Output the state machine, by the complete snapshot.
func (n *Node) installSnapshot(message *Message) {
	snapshot := *message.Snapshot
	snapshot.Data = n.receiving.data
	n.receiving = nil
	n.log.reset(snapshot.Index, snapshot.Term)
	n.memberships = membershipHistory{{index: snapshot.Index, members: snapshot.Members}}
	n.commit, n.applied, n.verified = snapshot.Index, snapshot.Index, snapshot.Index
	n.pending.snapshot = &snapshot
	n.sendDeferred(Message{Kind: MessageAppendResponse, To: message.From, Index: snapshot.Index, SentAt: message.SentAt})
}

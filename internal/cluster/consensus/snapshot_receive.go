package consensus

// maxSnapshotPrealloc limits, in bytes, the memory that is allocated for a snapshot when its first chunk announces its size.
const maxSnapshotPrealloc = 64 << 20

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	from     MemberID
	index    uint64
	term     uint64 // of the entry at index
	transfer uint64 // number of the transfer, counted by the leader in its term
	data     []byte // the part of the snapshot's data that has arrived, from its beginning
}

// handleSnapshotChunk adds a chunk to the snapshot that is being received, and installs the snapshot with its last chunk. The
// response reports how many bytes have arrived, from where the leader continues. If the snapshot is not needed, because this
// member has committed its index, the response acknowledges the commit index.
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

// receivedBytes returns how many bytes of the snapshot that is being received have arrived, or 0 if there is none.
func (n *Node) receivedBytes() uint64 {
	if n.receiving == nil {
		return 0
	}
	return uint64(len(n.receiving.data))
}

// appendChunk adds a chunk to the data that has arrived. It reports whether the data then ends with this chunk. It never mixes
// chunks of different transfers, even of the same index: the same state may be encoded in more than one way. When a new term
// begins, becomeFollower drops the data that has arrived.
func (n *Node) appendChunk(message *Message) bool {
	if n.receiving != nil && message.Transfer < n.receiving.transfer {
		return false // this is a late chunk of an earlier transfer
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

// newIncomingSnapshot returns a snapshot that is being received, without data, for the transfer that a chunk belongs to.
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

// installSnapshot replaces the log by the complete snapshot. The next Output contains the snapshot, for the state machine and
// the disk.
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

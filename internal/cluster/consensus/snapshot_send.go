package consensus

import "time"

// snapshotTimeoutFactor is the number of election timeouts without a response after which a snapshot transfer is abandoned.
const snapshotTimeoutFactor = 4

// The size of a snapshot's chunks adapts to the link, from minChunkBytes up to Config.SnapshotChunkBytes. A chunk delays all
// later messages on its link, including heartbeats. If a chunk took as long as an election timeout, the member would campaign
// and the snapshot would never arrive.
const (
	initialChunkBytes = 32 << 10 // size in bytes of the first chunk that a leader sends to a member
	minChunkBytes     = 4 << 10  // size in bytes below which chunks are not shrunk
)

// outgoingSnapshot is a snapshot that is being sent to a member, with one unacknowledged chunk at a time.
type outgoingSnapshot struct {
	transfer    uint64 // number of this transfer, counted by the leader in its term
	snapshot    Snapshot
	offset      uint64        // number of bytes that the member has received
	firstSentAt time.Duration // when the current chunk was first sent
	sentAt      time.Duration // when the current chunk was last sent
}

// MembersNeedingSnapshot returns the responsive members that need a snapshot, because the log no longer has their next entry,
// and to which no snapshot is being sent. It returns none if this member does not lead. The caller should pass a snapshot
// for each returned member to SendSnapshot.
func (n *Node) MembersNeedingSnapshot() []MemberID {
	var needing []MemberID
	for _, peer := range n.leadership.peers {
		if peer.state == progressSnapshot && peer.outgoing == nil && n.isResponsive(peer) {
			needing = append(needing, peer.id)
		}
	}
	return needing
}

// SendSnapshot begins to send a snapshot of the state machine to a member that MembersNeedingSnapshot returned. If
// snapshot.Members is nil, SendSnapshot uses the membership as of snapshot.Index. The caller must not modify snapshot.Data
// afterwards. SendSnapshot ignores the call if the member does not need a snapshot, if a snapshot is being sent to it
// already, or if the log is compacted beyond snapshot.Index.
func (n *Node) SendSnapshot(now time.Duration, to MemberID, snapshot Snapshot) {
	n.advanceClock(now)
	peer := n.peer(to)
	if peer == nil || peer.state != progressSnapshot || peer.outgoing != nil || snapshot.Index < n.log.base {
		return
	}
	if snapshot.Members == nil {
		snapshot.Members = n.MembersAt(snapshot.Index)
	}
	n.leadership.snapshotsStarted++
	peer.outgoing = &outgoingSnapshot{transfer: n.leadership.snapshotsStarted, snapshot: snapshot, firstSentAt: n.now}
	n.sendChunk(peer)
}

// sendChunk sends the chunk after the bytes that the member has received.
func (n *Node) sendChunk(peer *progress) {
	outgoing := peer.outgoing
	data := outgoing.snapshot.Data
	total := uint64(len(data))
	start := min(outgoing.offset, total)
	if peer.chunkBytes == 0 {
		peer.chunkBytes = min(initialChunkBytes, n.config.SnapshotChunkBytes)
	}
	end := min(start+uint64(peer.chunkBytes), total)
	chunk := outgoing.snapshot
	chunk.Data = data[start:end:end]
	outgoing.sentAt = n.now
	n.send(Message{Kind: MessageSnapshot, To: peer.id, Index: chunk.Index, LogTerm: chunk.Term, Commit: n.commit,
		SentAt: n.now, Snapshot: &chunk, Offset: start, Transfer: outgoing.transfer, Total: total, Last: end == total})
}

// resendChunk sends the current chunk again if it was not acknowledged within two heartbeat intervals.
func (n *Node) resendChunk(peer *progress) {
	if peer.outgoing != nil && n.now-peer.outgoing.sentAt >= 2*n.config.HeartbeatInterval {
		n.sendChunk(peer)
	}
}

// abandonStalledSnapshots abandons snapshot transfers to members that have not responded for snapshotTimeoutFactor election
// timeouts, so that the memory of their snapshots can be freed.
func (n *Node) abandonStalledSnapshots() {
	for _, peer := range n.leadership.peers {
		if peer.outgoing != nil && n.now-peer.lastContact >= snapshotTimeoutFactor*n.config.ElectionTimeout {
			peer.outgoing = nil
			n.shrinkChunks(peer)
		}
	}
}

// handleSnapshotResponse sends the next chunk. It accepts a response to any transmission of the current chunk, not only to the
// newest: if the round trip of a link is longer than the interval at which chunks are sent again, a response to the newest
// transmission never arrives before the next transmission.
func (n *Node) handleSnapshotResponse(message *Message) {
	peer := n.peer(message.From)
	if n.role != roleLeader || peer == nil {
		return
	}
	n.recordResponse(peer, message)
	outgoing := peer.outgoing
	if outgoing == nil || message.Index != outgoing.snapshot.Index || message.SentAt < outgoing.firstSentAt {
		return
	}
	outgoing.offset = message.Offset
	outgoing.firstSentAt = n.now
	switch roundTrip := n.now - message.SentAt; {
	case roundTrip > n.config.ElectionTimeout:
		n.shrinkChunks(peer)
	case roundTrip < n.config.ElectionTimeout/2:
		peer.chunkBytes = min(2*peer.chunkBytes, n.config.SnapshotChunkBytes)
	}
	n.sendChunk(peer)
}

// shrinkChunks halves the size of the next chunks to a member with a slow link, but not below minChunkBytes.
func (n *Node) shrinkChunks(peer *progress) {
	peer.chunkBytes = max(peer.chunkBytes/2, min(minChunkBytes, n.config.SnapshotChunkBytes))
}

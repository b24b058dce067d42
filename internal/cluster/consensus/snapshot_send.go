package consensus

import "time"

// snapshotTimeoutFactor is after how many election timeouts without a response the transfer of a snapshot is abandoned.
const snapshotTimeoutFactor = 4

// The sizes of a snapshot's chunks adapt to the link between these and Config.SnapshotChunkBytes. A chunk delays all later
// messages on its link, heartbeats among them: if it took as long as an election timeout, the member would campaign, and
// the snapshot would never arrive.
const (
	initialChunkBytes = 32 << 10
	minChunkBytes     = 4 << 10
)

// outgoingSnapshot is a snapshot that is being sent to a member, with one unacknowledged chunk at a time.
type outgoingSnapshot struct {
	transfer    uint64 // number of this transfer among all of this leader's in its term
	snapshot    Snapshot
	offset      uint64        // how many bytes the member has
	firstSentAt time.Duration // when the present chunk was first sent
	sentAt      time.Duration // when it was last sent
}

// MembersNeedingSnapshot returns the responsive members that can go on only from a snapshot and to which none is being
// sent. At a member that does not lead there are none.
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
// snapshot.Members is nil it is filled in; snapshot.Data must not be modified afterwards. The call is ignored if the member
// needs no snapshot (any more), or one newer than this.
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

// sendChunk sends the chunk that begins where the member is.
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

// resendChunk sends a chunk again that was not acknowledged within two heartbeat intervals.
func (n *Node) resendChunk(peer *progress) {
	if peer.outgoing != nil && n.now-peer.outgoing.sentAt >= 2*n.config.HeartbeatInterval {
		n.sendChunk(peer)
	}
}

// abandonStalledSnapshots abandons transfers to members that have not responded for long, so that their snapshots can be
// freed.
func (n *Node) abandonStalledSnapshots() {
	for _, peer := range n.leadership.peers {
		if peer.outgoing != nil && n.now-peer.lastContact >= snapshotTimeoutFactor*n.config.ElectionTimeout {
			peer.outgoing = nil
			n.shrinkChunks(peer)
		}
	}
}

// handleSnapshotResponse sends the next chunk from where the member is. The response may be to any transmission of the
// present chunk: on a link whose round trip takes longer than the interval at which a chunk is sent again, none to the
// newest transmission would arrive in time.
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

// shrinkChunks halves the size of the next chunks to a member whose link is slow.
func (n *Node) shrinkChunks(peer *progress) {
	peer.chunkBytes = max(peer.chunkBytes/2, min(minChunkBytes, n.config.SnapshotChunkBytes))
}

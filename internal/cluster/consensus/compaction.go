package consensus

// RetainedBytes returns the approximate size in bytes of the entries in memory.
func (n *Node) RetainedBytes() int {
	return n.log.bytesAfter(n.log.base)
}

// RetainAfter returns the index after which a leader should keep the entries of its log in memory, for members that lack
// them. It is the lowest of the indexes after which the members need the log: the last index on the member's disk, or the
// index of the snapshot that is being sent to it.
//
// A member does not count if it has not responded for an election timeout, if the log no longer has the entries that it lacks,
// or if more than about maxBytes would have to be kept for it. Such a member needs a newer snapshot later. At a member that
// does not lead, the result is the last index.
func (n *Node) RetainAfter(maxBytes int) uint64 {
	retain := n.log.last()
	for _, peer := range n.leadership.peers {
		after, known := peer.requiredAfter()
		if known && n.isResponsive(peer) && after < retain && after >= n.log.base && n.log.bytesAfter(after) <= maxBytes {
			retain = after
		}
	}
	return retain
}

// isResponsive reports whether a member has responded in this term and within the last election timeout.
func (n *Node) isResponsive(peer *progress) bool {
	return peer.hasResponded && n.now-peer.lastContact < n.config.ElectionTimeout
}

// requiredAfter returns the index after which a member will need the log. known is false if it needs a new snapshot first.
func (p *progress) requiredAfter() (index uint64, known bool) {
	if p.state != progressSnapshot {
		return p.match, true
	}
	if p.outgoing == nil {
		return 0, false
	}
	return p.outgoing.snapshot.Index, true
}

// Compact drops the entries up to an index from memory. It keeps entries that Output has not yet returned both in Entries,
// to be written, and in Committed. The caller must have a snapshot of that index or a higher one on disk.
func (n *Node) Compact(index uint64) {
	index = min(index, n.applied, n.log.lastOutput)
	if index <= n.log.base {
		return
	}
	n.log.compact(index)
	n.memberships = n.memberships.compacted(index)
}

// MembersAt returns the membership as of an index, which a snapshot of that index must contain, or nil if the index was
// compacted. The caller must not modify it.
func (n *Node) MembersAt(index uint64) []Member {
	return n.memberships.at(index)
}

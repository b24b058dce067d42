package consensus

// RetainedBytes returns the approximate size of the entries in memory.
func (n *Node) RetainedBytes() int {
	return n.log.bytesAfter(n.log.base)
}

// RetainFrom returns the index after which a leader should keep the log for its followers: from what a member has, or from
// the snapshot that is being sent to it. It does not wait for members that have not responded for an election timeout, or
// for which more than about maxBytes would have to be kept: they need a newer snapshot then. At other members it is the
// last index.
func (n *Node) RetainFrom(maxBytes int) uint64 {
	retain := n.log.last()
	for _, peer := range n.leadership.peers {
		after, known := peer.requiredAfter()
		if known && n.isResponsive(peer) && after < retain && after >= n.log.base && n.log.bytesAfter(after) <= maxBytes {
			retain = after
		}
	}
	return retain
}

// isResponsive reports whether a member has responded within an election timeout, and in this term.
func (n *Node) isResponsive(peer *progress) bool {
	return peer.active && n.now-peer.lastContact < n.config.ElectionTimeout
}

// requiredAfter returns the index after which a member will need the log; false if it needs a new snapshot first.
func (p *progress) requiredAfter() (index uint64, known bool) {
	if p.state != progressSnapshot {
		return p.match, true
	}
	if p.outgoing == nil {
		return 0, false
	}
	return p.outgoing.snapshot.Index, true
}

// Compact drops the entries up to an index from memory, but none that was not output both to be written and as committed.
// The caller must have a snapshot of that index or a later one on disk.
func (n *Node) Compact(index uint64) {
	index = min(index, n.applied, n.log.lastOutput)
	if index <= n.log.base {
		return
	}
	n.log.compact(index)
	n.memberships = n.memberships.compacted(index)
}

// MembersAt returns the membership as of an index, which belongs into a snapshot of that index; nil if the index was
// compacted. It must not be modified.
func (n *Node) MembersAt(index uint64) []Member {
	return n.memberships.at(index)
}

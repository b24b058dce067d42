package consensus

// RetainedBytes is about how many bytes the entries take that are held in memory.
func (n *Node) RetainedBytes() int {
	return n.log.bytesAfter(n.log.base)
}

// bytesAfter is about how many bytes the entries after an index take, which is not before the log's base.
func (l *entryLog) bytesAfter(index uint64) int {
	size := 0
	for _, entry := range l.between(index, l.last()) {
		size += len(entry.Data) + entryBytes
	}
	return size
}

// RetainFrom is the index after which the log should be kept for the members that a leader feeds: from what a member has, or
// from the snapshot that is on its way to it. A member that is silent, or for which more than most bytes would have to be
// kept, is not waited for: it goes on from a newer snapshot.
func (n *Node) RetainFrom(most int) uint64 {
	wanted := n.log.last()
	for _, peer := range n.leadership.peers {
		from, fed := peer.fedFrom()
		alive := peer.active && n.now-peer.heardAt < n.config.ElectionTimeout
		if fed && alive && from < wanted && from >= n.log.base && n.log.bytesAfter(from) <= most {
			wanted = from
		}
	}
	return wanted
}

// fedFrom is the index after which a member will need the log; false where it needs a new snapshot first.
func (p *progress) fedFrom() (index uint64, fed bool) {
	if p.state != progressSnapshot {
		return p.match, true
	}
	if p.transfer == nil {
		return 0, false
	}
	return p.transfer.snapshot.Index, true
}

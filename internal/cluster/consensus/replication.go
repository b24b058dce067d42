package consensus

// sendDueAppends sends the entries that were added since, together.
func (n *Node) sendDueAppends() {
	if !n.leadership.appendsDue {
		return
	}
	n.leadership.appendsDue = false
	for _, peer := range n.leadership.peers {
		n.sendAppends(peer)
	}
}

// sendAppends sends a member what it lacks, as far as its window allows, or looks for where the logs agree.
func (n *Node) sendAppends(peer *progress) {
	if n.leadership.holdAppends {
		return
	}
	for n.lacks(peer) && peer.mayAppend(n.config.MaxInflight) {
		if !n.sendAppend(peer) {
			return
		}
	}
}

// lacks tells whether there is anything to send to a member.
func (n *Node) lacks(peer *progress) bool {
	return peer.state == progressProbe || peer.next <= n.lastFor(peer)
}

// lastFor is the last index that a member may get. A learner gets what is committed only: it does not stand for election,
// so if it had the newest log, with an entry that may be lost, and counted as a voter in a membership that another has in
// its log, it could keep that other from being elected for ever.
func (n *Node) lastFor(peer *progress) uint64 {
	if peer.votes() {
		return n.log.last()
	}
	return n.commit
}

// sendAppend sends one append, an empty one if nothing is lacking.
func (n *Node) sendAppend(peer *progress) bool {
	before := peer.next - 1
	beforeTerm, known := n.log.term(before)
	if !known {
		peer.needSnapshot()
		return false
	}
	entries := n.log.batch(before, n.lastFor(peer), n.config.MaxAppendBytes)
	n.send(Message{Kind: MessageAppend, To: peer.id, Index: before, LogTerm: beforeTerm, Commit: n.commit,
		Entries: entries, SentAt: n.now})
	peer.appendSentAt = n.now
	peer.ackAskedAt = n.now
	peer.sent = before + uint64(len(entries))
	if peer.state == progressProbe {
		peer.waiting = true
		return true
	}
	peer.next = peer.sent + 1
	peer.inflight = append(peer.inflight, peer.sent)
	return true
}

// resumeAfterLoss sends again what a member has certainly not got. `agreed` is how far its log agrees in memory.
func (n *Node) resumeAfterLoss(peer *progress, agreed uint64) {
	next := peer.next
	if peer.state == progressReplicate {
		next = max(peer.match, agreed) + 1
	}
	peer.probe(next)
	n.sendAppend(peer)
}

// askForAck asks with an empty append for an acknowledgement that may have been lost.
func (n *Node) askForAck(peer *progress) {
	before := peer.next - 1
	beforeTerm, known := n.log.term(before)
	if !known {
		peer.needSnapshot()
		return
	}
	peer.ackAskedAt = n.now
	n.send(Message{Kind: MessageAppend, To: peer.id, Index: before, LogTerm: beforeTerm, Commit: n.commit, SentAt: n.now})
}

// takeAppend adds a leader's entries to the log.
func (n *Node) takeAppend(message *Message) {
	if !consecutive(message) || !n.followLeader(message.From) {
		return
	}
	before, entries := message.Index, message.Entries
	if before < n.commit {
		// What is committed agrees with every later leader.
		skip := min(n.commit-before, uint64(len(entries)))
		entries = entries[skip:]
		before = n.commit
	} else if !n.log.matches(before, message.LogTerm) {
		n.rejectAppend(message)
		return
	}
	n.addEntries(entries)
	n.verified = max(n.verified, before+uint64(len(entries)))
	n.commitUpTo(message.Commit)
	n.sendDeferred(Message{Kind: MessageAppendResponse, To: message.From, Index: before + uint64(len(entries)),
		SentAt: message.SentAt})
}

// consecutive tells whether an append's entries follow each other.
func consecutive(message *Message) bool {
	for position := range message.Entries {
		if message.Entries[position].Index != message.Index+1+uint64(position) {
			return false
		}
	}
	return true
}

// rejectAppend says that the log has something else before the entries, and where it may still agree.
func (n *Node) rejectAppend(message *Message) {
	hint := n.log.backTo(message.Index-1, message.LogTerm)
	hintTerm, _ := n.log.term(hint)
	n.send(Message{Kind: MessageAppendResponse, To: message.From, Reject: true, Index: message.Index,
		Hint: hint, LogTerm: hintTerm, SentAt: message.SentAt})
}

// addEntries appends the entries that the log lacks, in place of others it may have from their first on.
func (n *Node) addEntries(entries []Entry) {
	for position, entry := range entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		fresh := entries[position:]
		n.memberships = n.memberships.truncated(entry.Index).withEntries(fresh)
		n.log.replaceFrom(fresh)
		return
	}
}

// commitUpTo commits what the leader has committed, as far as the log is known to agree.
func (n *Node) commitUpTo(index uint64) {
	n.commit = max(n.commit, min(index, n.verified))
}

// takeAppendResponse moves a member's progress on, or back after a rejection.
func (n *Node) takeAppendResponse(message *Message) {
	peer := n.peer(message.From)
	if n.role != roleLeader || peer == nil {
		return
	}
	n.heardFrom(peer, message)
	if message.Reject {
		n.stepBack(peer, message)
		return
	}
	if message.Index > n.log.last() {
		return
	}
	peer.matched(message.Index, n.now)
	n.resume(peer)
	n.advanceCommit()
	if n.role == roleLeader {
		n.sendAppends(peer)
		n.handOver()
	}
}

// resume goes over to steady replication once the logs are known to agree.
func (n *Node) resume(peer *progress) {
	switch peer.state {
	case progressProbe:
		peer.replicate()
	case progressSnapshot:
		if peer.match >= n.log.base {
			peer.replicate()
		} else if peer.transfer != nil && peer.match >= peer.transfer.snapshot.Index {
			peer.transfer = nil // compacted further meanwhile: a newer snapshot is needed
		}
	}
}

// stepBack looks for agreement earlier in the log.
func (n *Node) stepBack(peer *progress, message *Message) {
	if peer.state == progressSnapshot || message.Index <= peer.match {
		return
	}
	if peer.state == progressProbe && message.Index != peer.next-1 {
		return // an answer to an earlier probe
	}
	agreed := n.log.backTo(min(message.Hint, message.Index-1), message.LogTerm)
	if message.Hint < n.log.base {
		agreed = message.Hint
	}
	peer.probe(max(agreed, peer.match) + 1)
	n.sendAppend(peer)
}

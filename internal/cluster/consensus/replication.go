package consensus

// sendDueAppends sends all members the entries that they lack, if any were appended or committed since the last call. Entries
// that were proposed since then share messages.
func (n *Node) sendDueAppends() {
	if !n.leadership.appendsDue {
		return
	}
	n.leadership.appendsDue = false
	for _, peer := range n.leadership.peers {
		n.sendAppends(peer)
	}
}

// sendAppends sends a member the entries that it lacks, within the limit of its window. To a member in progressProbe it
// sends a probe, even if there are no new entries.
func (n *Node) sendAppends(peer *progress) {
	if n.leadership.appendsSuspended {
		return
	}
	for n.needsAppend(peer) && peer.canSendAppend(n.config.MaxInflight) {
		if !n.sendAppend(peer) {
			return
		}
	}
}

// needsAppend reports whether a member needs a probe, or lacks entries that may be sent to it.
func (n *Node) needsAppend(peer *progress) bool {
	return peer.state == progressProbe || peer.next <= n.lastIndexFor(peer)
}

// lastIndexFor returns the last index that may be sent to a member. A learner receives only committed entries. Otherwise the
// group could be left without a leader. Suppose that a learner had the newest log, ending with an uncommitted entry, and
// that the learner is a voter according to the log of another member. The learner does not campaign, and it would deny its
// vote to that member forever.
func (n *Node) lastIndexFor(peer *progress) uint64 {
	if peer.isVoter() {
		return n.log.last()
	}
	return n.commit
}

// sendAppend sends one append, which is empty if the member lacks no entries. It reports whether it sent the append. If the
// entries are compacted, it sends no append and records that the member needs a snapshot.
func (n *Node) sendAppend(peer *progress) bool {
	before := peer.next - 1
	beforeTerm, known := n.log.term(before)
	if !known {
		peer.becomeSnapshot()
		return false
	}
	entries := n.log.batch(before, n.lastIndexFor(peer), n.config.MaxAppendBytes)
	n.send(Message{Kind: MessageAppend, To: peer.id, Index: before, LogTerm: beforeTerm, Commit: n.commit,
		Entries: entries, SentAt: n.now})
	peer.appendSentAt = n.now
	peer.ackRequestedAt = n.now
	peer.lastSent = before + uint64(len(entries))
	if peer.state == progressProbe {
		peer.probeSent = true
		return true
	}
	peer.next = peer.lastSent + 1
	peer.inflight = append(peer.inflight, peer.lastSent)
	return true
}

// resendLost probes with the first entries that a member has probably not received. agreed is the last index up to which the
// member's log, on disk or not, agrees with this one.
func (n *Node) resendLost(peer *progress, agreed uint64) {
	next := peer.next
	if peer.state == progressReplicate {
		next = max(peer.match, agreed) + 1
	}
	peer.becomeProbe(next)
	n.sendAppend(peer)
}

// requestAck sends an empty append. The response to it replaces an acknowledgement that may have been lost.
func (n *Node) requestAck(peer *progress) {
	before := peer.next - 1
	beforeTerm, known := n.log.term(before)
	if !known {
		peer.becomeSnapshot()
		return
	}
	peer.ackRequestedAt = n.now
	n.send(Message{Kind: MessageAppend, To: peer.id, Index: before, LogTerm: beforeTerm, Commit: n.commit, SentAt: n.now})
}

// handleAppend appends the leader's entries to the log (section 3.5). The acknowledgement is sent once they are on disk.
func (n *Node) handleAppend(message *Message) {
	if !hasConsecutiveEntries(message) || !n.acceptLeader(message.From) {
		return
	}
	before, entries := message.Index, message.Entries
	if before < n.commit {
		// Skip the committed entries: they agree with the log of every later leader.
		skip := min(n.commit-before, uint64(len(entries)))
		entries = entries[skip:]
		before = n.commit
	} else if !n.log.matches(before, message.LogTerm) {
		n.rejectAppend(message)
		return
	}
	n.appendEntries(entries)
	n.verified = max(n.verified, before+uint64(len(entries)))
	n.commitUpTo(message.Commit)
	n.sendDeferred(Message{Kind: MessageAppendResponse, To: message.From, Index: before + uint64(len(entries)),
		SentAt: message.SentAt})
}

// hasConsecutiveEntries reports whether the entries of an append follow its Index without a gap.
func hasConsecutiveEntries(message *Message) bool {
	for position := range message.Entries {
		if message.Entries[position].Index != message.Index+1+uint64(position) {
			return false
		}
	}
	return true
}

// rejectAppend responds that the logs differ at the index before the entries. The response contains the newest index at which
// they may agree, as a hint.
func (n *Node) rejectAppend(message *Message) {
	hint := n.log.findAgreement(message.Index-1, message.LogTerm)
	hintTerm, _ := n.log.term(hint)
	n.send(Message{Kind: MessageAppendResponse, To: message.From, Reject: true, Index: message.Index,
		Hint: hint, LogTerm: hintTerm, SentAt: message.SentAt})
}

// appendEntries appends the entries that the log lacks. At the first entry that conflicts with the log, it truncates the log
// and appends the remaining entries.
func (n *Node) appendEntries(entries []Entry) {
	for position, entry := range entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		missing := entries[position:]
		n.memberships = n.memberships.truncated(entry.Index).withEntries(missing)
		n.log.truncateAndAppend(missing)
		return
	}
}

// commitUpTo advances the commit index to index, which the leader has committed, but not beyond the last index at which the
// logs are known to agree.
func (n *Node) commitUpTo(index uint64) {
	n.commit = max(n.commit, min(index, n.verified))
}

// handleAppendResponse records which entries are on a member's disk, and sends it more. After a rejection it probes for an
// earlier index.
func (n *Node) handleAppendResponse(message *Message) {
	peer := n.peer(message.From)
	if n.role != roleLeader || peer == nil {
		return
	}
	n.recordResponse(peer, message)
	if message.Reject {
		n.handleRejection(peer, message)
		return
	}
	if message.Index > n.log.last() {
		return
	}
	peer.advanceMatch(message.Index, n.now)
	n.resumeReplication(peer)
	n.advanceCommit()
	if n.role == roleLeader {
		n.sendAppends(peer)
		n.maybeFinishTransfer()
	}
}

// resumeReplication ends a probe after an acknowledgement, which shows where the logs agree. It ends a snapshot transfer once
// the member no longer needs the snapshot.
func (n *Node) resumeReplication(peer *progress) {
	switch peer.state {
	case progressProbe:
		peer.becomeReplicate()
	case progressSnapshot:
		if peer.match >= n.log.base {
			peer.becomeReplicate()
		} else if peer.outgoing != nil && peer.match >= peer.outgoing.snapshot.Index {
			peer.outgoing = nil // the log was compacted beyond that snapshot: the member needs a newer one
		}
	}
}

// handleRejection probes at the newest earlier index at which the logs may agree, but not before match.
func (n *Node) handleRejection(peer *progress, message *Message) {
	if peer.state == progressSnapshot || message.Index <= peer.match {
		return
	}
	if peer.state == progressProbe && message.Index != peer.next-1 {
		return // a late response to an earlier probe
	}
	agreed := n.log.findAgreement(min(message.Hint, message.Index-1), message.LogTerm)
	if message.Hint < n.log.base {
		agreed = message.Hint
	}
	peer.becomeProbe(max(agreed, peer.match) + 1)
	n.sendAppend(peer)
}

package consensus

// sendDueAppends sends the entries that were appended since the last call, in as few messages as possible.
func (n *Node) sendDueAppends() {
	if !n.leadership.appendsDue {
		return
	}
	n.leadership.appendsDue = false
	for _, peer := range n.leadership.peers {
		n.sendAppends(peer)
	}
}

// sendAppends sends a member the entries it lacks, as far as its window allows, or a probe for where the logs agree.
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

// needsAppend reports whether there is anything to send to a member.
func (n *Node) needsAppend(peer *progress) bool {
	return peer.state == progressProbe || peer.next <= n.lastIndexFor(peer)
}

// lastIndexFor returns the last index that may be sent to a member. A learner receives only what is committed: it does not
// campaign, so if it had the newest log, with an entry that may be lost, and counted as a voter in a membership that another
// member has in its log, it could prevent that member from being elected forever.
func (n *Node) lastIndexFor(peer *progress) uint64 {
	if peer.isVoter() {
		return n.log.last()
	}
	return n.commit
}

// sendAppend sends one append, an empty one if the member lacks nothing. It reports false if the entries are compacted, so
// that the member needs a snapshot.
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

// resendLost sends again what a member has probably not received. agreed is the last index at which its log, in memory,
// agrees with this one.
func (n *Node) resendLost(peer *progress, agreed uint64) {
	next := peer.next
	if peer.state == progressReplicate {
		next = max(peer.match, agreed) + 1
	}
	peer.becomeProbe(next)
	n.sendAppend(peer)
}

// requestAck requests, with an empty append, an acknowledgement that may have been lost.
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

// handleAppend appends a leader's entries to the log (section 3.5). The acknowledgement waits until they are on disk.
func (n *Node) handleAppend(message *Message) {
	if !hasConsecutiveEntries(message) || !n.acceptLeader(message.From) {
		return
	}
	before, entries := message.Index, message.Entries
	if before < n.commit {
		// What is committed agrees with the log of every later leader.
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

// hasConsecutiveEntries reports whether the entries of an append follow each other and the index before them.
func hasConsecutiveEntries(message *Message) bool {
	for position := range message.Entries {
		if message.Entries[position].Index != message.Index+1+uint64(position) {
			return false
		}
	}
	return true
}

// rejectAppend responds that the logs differ before the entries, with a hint at where they may still agree.
func (n *Node) rejectAppend(message *Message) {
	hint := n.log.findAgreement(message.Index-1, message.LogTerm)
	hintTerm, _ := n.log.term(hint)
	n.send(Message{Kind: MessageAppendResponse, To: message.From, Reject: true, Index: message.Index,
		Hint: hint, LogTerm: hintTerm, SentAt: message.SentAt})
}

// appendEntries appends the entries that the log lacks. From the first one on that differs they replace what the log has.
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

// commitUpTo commits what the leader has committed, as far as the logs are known to agree.
func (n *Node) commitUpTo(index uint64) {
	n.commit = max(n.commit, min(index, n.verified))
}

// handleAppendResponse advances a member's progress, or moves it back after a rejection.
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

// resumeReplication ends a probe or the transfer of a snapshot once the logs are known to agree.
func (n *Node) resumeReplication(peer *progress) {
	switch peer.state {
	case progressProbe:
		peer.becomeReplicate()
	case progressSnapshot:
		if peer.match >= n.log.base {
			peer.becomeReplicate()
		} else if peer.outgoing != nil && peer.match >= peer.outgoing.snapshot.Index {
			peer.outgoing = nil // the log was compacted further meanwhile: a newer snapshot is needed
		}
	}
}

// handleRejection probes for agreement earlier in the log.
func (n *Node) handleRejection(peer *progress, message *Message) {
	if peer.state == progressSnapshot || message.Index <= peer.match {
		return
	}
	if peer.state == progressProbe && message.Index != peer.next-1 {
		return // the response to an earlier probe
	}
	agreed := n.log.findAgreement(min(message.Hint, message.Index-1), message.LogTerm)
	if message.Hint < n.log.base {
		agreed = message.Hint
	}
	peer.becomeProbe(max(agreed, peer.match) + 1)
	n.sendAppend(peer)
}

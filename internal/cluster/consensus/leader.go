package consensus

import "time"

// leadership is the volatile state of a leader. Members that do not lead have the zero value.
type leadership struct {
	peers          []*progress // of all other members of the current membership
	termStartIndex uint64      // index of the first entry of this leader's term
	ownMatch       uint64      // last index on this member's own disk
	appendsDue     bool        // entries were appended or committed since appends were last sent
	// appendsSuspended is true while a sole leader sends no appends: the first entry of its term is not on disk yet.
	appendsSuspended bool

	stallGraceAt    time.Duration // when members were last given time to respond after a stall of this process
	stallGraceUntil time.Duration // until when missing responses do not end the leadership

	lastHeartbeatAt       time.Duration // when the newest round of heartbeats was sent, to all voters at least
	nextHeartbeatAt       time.Duration // when the next periodic round of heartbeats is due
	confirmationRequested bool          // a confirmation was requested since the newest round of heartbeats
	confirmedAt           time.Duration // newest time at which a quorum is known to have followed this leader

	snapshotsStarted uint64 // number of snapshot transfers begun in this term

	transferee       MemberID      // target of the leadership transfer under way; None: no transfer
	transferDeadline time.Duration // when to give up that transfer
}

// becomeLeader makes this member the leader of its term after a quorum has granted its votes. It appends an empty entry: the
// commit of that entry also commits all entries of earlier terms (section 3.6.2).
func (n *Node) becomeLeader() {
	n.role = roleLeader
	n.leader = n.config.ID
	n.votes = voteTally{}
	n.receiving = nil
	// ownMatch is the end of the log, because the complete log is on disk: requests for votes are sent only once everything
	// output before them is on disk, and no entry was appended since. A sole leader requests no votes, so its log may not
	// be on disk yet. But it commits no entry until the first entry of this term is on disk, and that entry is written
	// after all earlier ones.
	n.leadership = leadership{ownMatch: n.log.last(), termStartIndex: n.log.last() + 1}
	n.updatePeers()
	n.appendEntry(EntryEmpty, nil)
	n.broadcastHeartbeat(periodicHeartbeat)
}

// updatePeers makes peers the other members of the current membership. Members that were in peers keep their progress.
func (n *Node) updatePeers() {
	members := n.memberships.current()
	peers := make([]*progress, 0, len(members))
	for _, member := range members {
		if member.ID == n.config.ID {
			continue
		}
		peer := n.peer(member.ID)
		if peer == nil {
			peer = &progress{id: member.ID, next: n.log.last() + 1, lastContact: n.now, ackRequestedAt: n.now}
		}
		peer.votesIn = member.votesIn()
		peers = append(peers, peer)
	}
	n.leadership.peers = peers
}

// peer returns the progress of a member, or nil if this member does not lead or the other is not in the membership.
func (n *Node) peer(id MemberID) *progress {
	for _, peer := range n.leadership.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// appendEntry appends an entry of this leader's term to its log.
func (n *Node) appendEntry(kind EntryKind, data []byte) Entry {
	entry := Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(entry)
	n.leadership.appendsDue = true
	return entry
}

// isReady reports whether this member leads and Output has returned an entry of its term in Committed.
func (n *Node) isReady() bool {
	return n.role == roleLeader && n.applied >= n.leadership.termStartIndex
}

// Propose appends a command to the leader's log. The command is committed once Committed contains an entry with the returned
// index and term. If Committed contains an entry of another term at that index, the command is lost. The caller must not
// modify data afterwards. Propose returns ErrNotLeader if this member does not lead or is transferring its leadership.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != roleLeader || n.leadership.transferee != None {
		return 0, 0, ErrNotLeader
	}
	entry := n.appendEntry(EntryCommand, data)
	return entry.Index, entry.Term, nil
}

// advanceCommit advances the commit index to the last index that a quorum has on disk, if the entry there is of this term.
// It commits all entries before it too. Entries of earlier terms are never committed by counting (section 3.6.2).
func (n *Node) advanceCommit() {
	index := n.quorumIndex()
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	n.leadership.appendsDue = true // learners receive only committed entries, so there are new ones to send
	changed := n.memberships.newestIndex() > n.commit && n.memberships.newestIndex() <= index
	n.commit = index
	n.verified = max(n.verified, index)
	if changed {
		n.notifyRemoved()
	}
	if !isVoter(n.memberships.current(), n.config.ID) && n.memberships.newestIndex() <= n.commit {
		n.stepDownAfterRemoval()
	}
}

// quorumIndex returns the last index that a quorum has on disk.
func (n *Node) quorumIndex() uint64 {
	return reachedByQuorum(n, n.leadership.ownMatch, func(peer *progress) uint64 { return peer.match })
}

// notifyRemoved sends the entry of the membership that was just committed to the members that it removes. It sends it only
// once. A removed member that does not receive it starts elections, but the pre-vote keeps them from interrupting the group.
func (n *Node) notifyRemoved() {
	index := n.memberships.newestIndex()
	beforeTerm, known := n.log.term(index - 1)
	if !known {
		return
	}
	for _, member := range n.memberships.at(index - 1) {
		if _, stays := findMember(n.memberships.current(), member.ID); stays || member.ID == n.config.ID {
			continue
		}
		n.send(Message{Kind: MessageAppend, To: member.ID, Index: index - 1, LogTerm: beforeTerm, Commit: n.commit,
			Entries: n.log.between(index-1, index), SentAt: n.now})
	}
}

// stepDownAfterRemoval ends the leadership of a member that is no voter of the committed membership. It first asks the voter
// that has the most entries on disk to campaign.
func (n *Node) stepDownAfterRemoval() {
	n.broadcastHeartbeat(periodicHeartbeat)
	var successor *progress
	for _, peer := range n.leadership.peers {
		if peer.mayLead() && (successor == nil || peer.match > successor.match) {
			successor = peer
		}
	}
	if successor != nil {
		n.send(Message{Kind: MessageTimeoutNow, To: successor.id})
	}
	n.becomeFollower(n.term, None)
}

// tickLeader gives up a leadership transfer at its deadline, steps down without a quorum, and sends the heartbeats that are
// due.
func (n *Node) tickLeader() {
	leadership := &n.leadership
	if leadership.transferee != None && n.now >= leadership.transferDeadline {
		leadership.transferee = None
	}
	if n.lostQuorum() {
		n.becomeFollower(n.term, None)
		return
	}
	if n.now >= leadership.nextHeartbeatAt {
		n.broadcastHeartbeat(periodicHeartbeat)
		n.abandonStalledSnapshots()
		return
	}
	n.sendRequestedConfirmation()
}

// lostQuorum reports whether no quorum has responded for an election timeout. A leader steps down then (section 6.2).
func (n *Node) lostQuorum() bool {
	if n.now < n.leadership.stallGraceUntil {
		return false
	}
	return n.now-n.quorumTime(func(peer *progress) time.Duration { return peer.lastContact }) >= n.config.ElectionTimeout
}

// startStallGrace gives members time to respond to new heartbeats after this process has stalled, because it may not have
// read their responses to earlier heartbeats yet. It gives this time only once until a quorum has responded: otherwise a
// process that stalls repeatedly would remain leader forever while it is partitioned.
func (n *Node) startStallGrace() {
	n.leadership.nextHeartbeatAt = n.now
	if n.quorumTime(func(peer *progress) time.Duration { return peer.lastContact }) < n.leadership.stallGraceAt {
		return
	}
	n.leadership.stallGraceAt = n.now
	n.leadership.stallGraceUntil = n.now + 2*n.config.HeartbeatInterval
}

// leaderDeadline returns when Tick is due at a leader.
func (n *Node) leaderDeadline() time.Duration {
	deadline := n.leadership.nextHeartbeatAt
	if n.leadership.confirmationRequested {
		deadline = min(deadline, n.nextConfirmationAt())
	}
	return deadline
}

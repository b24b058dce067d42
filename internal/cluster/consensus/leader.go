package consensus

import "time"

// leadership is the state that only a leader has. At all other members it is the zero value.
type leadership struct {
	peers          []*progress // all other members of the membership in force
	termStartIndex uint64      // index of the first entry of this leader's term
	ownMatch       uint64      // last index on this member's own disk
	appendsDue     bool        // entries or commits were added since appends were last sent
	// appendsSuspended: nothing is sent before the first entry of this term is on disk (of a sole leader).
	appendsSuspended bool

	stallGraceAt    time.Duration // when a stall was last noticed for which members got time to respond
	stallGraceUntil time.Duration // until then the lack of responses does not end the leadership

	lastHeartbeatAt       time.Duration // newest round of heartbeats, to voters at least
	nextHeartbeatAt       time.Duration // when the next periodic heartbeats are due
	confirmationRequested bool          // since the newest round of heartbeats
	confirmedAt           time.Duration

	snapshotsStarted uint64 // transfers of snapshots begun in this term

	transferee       MemberID
	transferDeadline time.Duration
}

// becomeLeader takes the leadership of the term, which a quorum has granted. An empty entry is appended, with which entries
// of earlier terms are committed (section 3.6.2).
func (n *Node) becomeLeader() {
	n.role = roleLeader
	n.leader = n.config.ID
	n.votes = voteTally{}
	n.receiving = nil
	// The complete log is on disk: requests for votes are sent only after everything output before them, and nothing was
	// appended since. A sole leader requested no votes, but it commits nothing before the first entry of this term, which
	// is written after all others.
	n.leadership = leadership{ownMatch: n.log.last(), termStartIndex: n.log.last() + 1}
	n.updatePeers()
	n.appendEntry(EntryEmpty, nil)
	n.broadcastHeartbeat(periodicHeartbeat)
}

// updatePeers tracks the members of the membership in force, with the progress of those that were tracked before.
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

// peer returns the progress of a member, nil if there is none.
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

// isReady reports whether this member leads and an entry of its own term was output as committed.
func (n *Node) isReady() bool {
	return n.role == roleLeader && n.applied >= n.leadership.termStartIndex
}

// Propose appends a command to the leader's log. It is committed once an entry with the returned index and term comes out in
// Committed; an entry of another term at that index means that this one is lost. The data must not be modified afterwards.
// It returns ErrNotLeader if this member does not lead or is transferring its leadership.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != roleLeader || n.leadership.transferee != None {
		return 0, 0, ErrNotLeader
	}
	entry := n.appendEntry(EntryCommand, data)
	return entry.Index, entry.Term, nil
}

// advanceCommit commits what a quorum has on disk. Only an entry of this term is committed by counting, and all before it
// with it (section 3.6.2).
func (n *Node) advanceCommit() {
	index := n.quorumIndex()
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	n.leadership.appendsDue = true // learners receive what is committed
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

// notifyRemoved sends the entry of the membership that was just committed to the members it removed, once. As long as they
// do not have it they campaign, which the pre-vote makes harmless.
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

// stepDownAfterRemoval ends the leadership of a member that does not vote in the committed membership, and has the voter with
// the longest log campaign.
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

// tickLeader does what is due at a leader.
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

// lostQuorum reports whether no quorum has responded for an election timeout, after which a leader steps down (section
// 6.2).
func (n *Node) lostQuorum() bool {
	if n.now < n.leadership.stallGraceUntil {
		return false
	}
	return n.now-n.quorumTime(func(peer *progress) time.Duration { return peer.lastContact }) >= n.config.ElectionTimeout
}

// startStallGrace gives members time to respond to new heartbeats after this process has stalled: their responses to earlier
// ones may not be read yet. It does so only once until a quorum has responded: otherwise a process that stalls repeatedly
// would lead forever while it is partitioned.
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

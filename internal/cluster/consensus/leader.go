package consensus

import "time"

// leadership is what only a leader has.
type leadership struct {
	peers      []*progress // all other members
	firstIndex uint64      // the first entry of this term
	ownMatch   uint64      // last index on this member's own disk
	appendsDue bool        // entries were added since appends were last sent
	// holdAppends: nothing leaves before the first entry of this term is on disk
	holdAppends bool
	graceAt     time.Duration // when the newest stall was noticed that gave time for answers
	graceUntil  time.Duration

	roundAt     time.Duration // newest round of heartbeats to voters
	heartbeatAt time.Duration // when the next regular heartbeats are due
	roundWanted bool          // a confirmation was asked for after the newest round
	confirmedAt time.Duration

	transfers uint64 // snapshots whose sending has begun in this term

	transferee    MemberID
	transferUntil time.Duration
}

// becomeLeader takes the leadership that a quorum has given.
func (n *Node) becomeLeader() {
	n.role = roleLeader
	n.leader = n.config.ID
	n.ballot = ballot{}
	n.incoming = nil
	// The requests for votes left after everything handed out before them was on disk, and nothing was added since.
	// (A member that leads alone asked nobody, but commits by its first entry of this term, which comes after all that.)
	n.leadership = leadership{ownMatch: n.log.last(), firstIndex: n.log.last() + 1}
	n.adoptMembers()
	n.appendOwn(EntryEmpty, nil)
	n.sendRound(true)
}

// adoptMembers makes the tracked members those of the membership in force.
func (n *Node) adoptMembers() {
	members := n.memberships.current()
	peers := make([]*progress, 0, len(members))
	for _, member := range members {
		if member.ID == n.config.ID {
			continue
		}
		peer := n.peer(member.ID)
		if peer == nil {
			peer = &progress{id: member.ID, next: n.log.last() + 1, heardAt: n.now, ackAskedAt: n.now}
		}
		peer.votesIn = member.votesIn()
		peers = append(peers, peer)
	}
	n.leadership.peers = peers
}

// peer finds the progress of a member.
func (n *Node) peer(id MemberID) *progress {
	for _, peer := range n.leadership.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// appendOwn adds an entry to the leader's log.
func (n *Node) appendOwn(kind EntryKind, data []byte) Entry {
	entry := Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.add(entry)
	n.leadership.appendsDue = true
	return entry
}

// ready tells whether this member leads and an entry of its term was handed out to be applied.
func (n *Node) ready() bool {
	return n.role == roleLeader && n.applied >= n.leadership.firstIndex
}

// Propose adds a command to the log. It is done only once it comes out in Committed with this index and term.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advance(now)
	if n.role != roleLeader || n.leadership.transferee != None {
		return 0, 0, ErrNotLeader
	}
	entry := n.appendOwn(EntryCommand, data)
	return entry.Index, entry.Term, nil
}

// advanceCommit commits what a quorum holds, of this term.
func (n *Node) advanceCommit() {
	index := n.quorumIndex()
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	n.leadership.appendsDue = true // to learners
	changed := n.memberships.newest() > n.commit && n.memberships.newest() <= index
	n.commit = index
	n.verified = max(n.verified, index)
	if changed {
		n.dismissRemoved()
	}
	if !isVoter(n.memberships.current(), n.config.ID) && n.memberships.newest() <= n.commit {
		n.retire()
	}
}

// dismissRemoved tells the members that the membership just committed has removed, once: until they know that it is
// committed they stand for election.
func (n *Node) dismissRemoved() {
	index := n.memberships.newest()
	before, known := n.log.term(index - 1)
	if !known {
		return
	}
	for _, member := range n.memberships.at(index - 1) {
		if _, stays := findMember(n.memberships.current(), member.ID); stays || member.ID == n.config.ID {
			continue
		}
		n.send(Message{Kind: MessageAppend, To: member.ID, Index: index - 1, LogTerm: before, Commit: n.commit,
			Entries: n.log.between(index-1, index), SentAt: n.now})
	}
}

// quorumIndex is the last index that a quorum has on disk.
func (n *Node) quorumIndex() uint64 {
	return reachedByQuorum(n, n.leadership.ownMatch, func(peer *progress) uint64 { return peer.match })
}

// retire ends the leadership of a member that the group no longer counts, and asks the furthest other to stand.
func (n *Node) retire() {
	n.sendRound(true)
	var successor *progress
	for _, peer := range n.leadership.peers {
		if peer.votes() && (successor == nil || peer.match > successor.match) {
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
	if leadership.transferee != None && n.now >= leadership.transferUntil {
		leadership.transferee = None
	}
	if n.lostQuorum() {
		n.becomeFollower(n.term, None)
		return
	}
	if n.now >= leadership.heartbeatAt {
		n.sendRound(true)
		n.dropSilentTransfers()
		return
	}
	n.sendWantedRound()
}

// lostQuorum tells whether a quorum has been silent for an election timeout.
func (n *Node) lostQuorum() bool {
	if n.now < n.leadership.graceUntil {
		return false
	}
	return n.now-n.quorumTime(func(peer *progress) time.Duration { return peer.heardAt }) >= n.config.ElectionTimeout
}

// graceAfterStall asks anew who is there and waits for answers, since those to earlier heartbeats may be unread. It gives
// time only once until a quorum has answered: else a process that stalls again and again would lead for ever while it is
// cut off.
func (n *Node) graceAfterStall() {
	n.leadership.heartbeatAt = n.now
	if n.quorumTime(func(peer *progress) time.Duration { return peer.heardAt }) < n.leadership.graceAt {
		return
	}
	n.leadership.graceAt = n.now
	n.leadership.graceUntil = n.now + 2*n.config.HeartbeatInterval
}

// leaderDeadline is when the leader has something to do next.
func (n *Node) leaderDeadline() time.Duration {
	deadline := n.leadership.heartbeatAt
	if n.leadership.roundWanted {
		deadline = min(deadline, n.nextRoundAt())
	}
	return deadline
}

// Lag tells a leader how many entries a member lacks and when it was last heard.
func (n *Node) Lag(id MemberID) (behind uint64, lastHeard time.Duration, known bool) {
	if n.role != roleLeader {
		return 0, 0, false
	}
	if id == n.config.ID {
		return n.log.last() - n.leadership.ownMatch, n.now, true
	}
	peer := n.peer(id)
	if peer == nil {
		return 0, 0, false
	}
	return n.log.last() - peer.match, peer.heardAt, true
}

// ReachedAt tells a leader when the newest message left that a member has answered in this term; 0 if none. Unlike the time
// of an answer it doesn't depend on how late the answer came.
func (n *Node) ReachedAt(id MemberID) time.Duration {
	if n.role != roleLeader {
		return 0
	}
	if peer := n.peer(id); peer != nil {
		return peer.confirmedAt
	}
	return 0
}

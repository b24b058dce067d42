package consensus

import (
	"slices"
	"time"
)

// voteTally is the state of an election at the candidate. Members that do not campaign have the zero value.
type voteTally struct {
	granted  []MemberID    // members that granted their pre-vote or vote; this member's own vote counts once it is on disk
	forced   bool          // the leader asked this member to campaign, by MessageTimeoutNow
	resendAt time.Duration // when to request the missing votes again
	// ignorePreVotesUntil is the time when the votes for this candidate should have arrived if the voters' disks are as
	// slow as its own. Until then the candidate ignores other members' requests for pre-votes, because another election
	// would interrupt its own.
	ignorePreVotesUntil time.Duration
}

// record records that a member granted its vote.
func (t *voteTally) record(id MemberID) {
	if !t.grantedBy(id) {
		t.granted = append(t.granted, id)
	}
}

// grantedBy reports whether a member granted its vote.
func (t *voteTally) grantedBy(id MemberID) bool {
	return slices.Contains(t.granted, id)
}

// campaignKind is the reason why a member campaigns in a new term.
type campaignKind uint8

const (
	campaignElection campaignKind = iota // a quorum granted its pre-votes
	campaignTransfer                     // the leader transfers its leadership: members vote although that leader is live
)

// SetCampaignAllowed sets whether this member may campaign. It may until the caller forbids it. The caller should forbid it
// while the disk is unhealthy, because a leader needs its disk. Forbidding it ends an election that this member has begun,
// but not its leadership.
func (n *Node) SetCampaignAllowed(allowed bool) {
	n.campaignAllowed = allowed
	if !allowed && (n.role == rolePreCandidate || n.role == roleCandidate) {
		n.becomeFollower(n.term, None)
	}
}

// SetWriteTime sets how long a write to this member's disk currently takes. Elections and leadership transfers get
// maxElectionWrites times as much additional time.
func (n *Node) SetWriteTime(duration time.Duration) { n.writeTime = duration }

// mayCampaign reports whether this member may be elected: it is a voter, or was one before a membership that may still be
// uncommitted. In the latter case its own vote does not count. But if it never campaigned, the group might never have a leader
// again: it may be the only remaining member with the newest log, and then it denies its vote to all others.
func (n *Node) mayCampaign() bool {
	return n.campaignAllowed && n.memberships.mayVote(n.commit, n.config.ID)
}

// startElection begins an election with the pre-vote (section 9.6): only a member that a quorum would elect enters a new
// term. So a member that returns from a partition does not force an election on the other members. A member that must not
// campaign waits for another election timeout.
func (n *Node) startElection() {
	n.becomeFollower(n.term, None)
	n.resetElectionDeadline()
	if !n.mayCampaign() {
		return
	}
	if isOnlyVoter(n.memberships.current(), n.config.ID) {
		n.becomeSoleLeader()
		return
	}
	n.role = rolePreCandidate
	n.votes.record(n.config.ID)
	n.requestVotes()
}

// becomeSoleLeader makes the only voter of a group its leader. In other elections the arrival of a vote shows that the
// candidate's term, vote and log are on disk. A sole voter exchanges no votes. Instead it commits no entries, and sends no
// appends to learners, until the first entry of its term is on disk: that entry is written after the term, the vote and the
// log.
func (n *Node) becomeSoleLeader() {
	n.becomeFollower(n.term+1, None)
	n.vote = n.config.ID
	n.becomeLeader()
	n.leadership.appendsSuspended = true
}

// campaign becomes a candidate in a new term and requests votes.
func (n *Node) campaign(kind campaignKind) {
	n.becomeFollower(n.term+1, None)
	n.resetElectionDeadlineAfterVote()
	n.role = roleCandidate
	n.vote = n.config.ID
	n.votes.forced = kind == campaignTransfer
	n.votes.ignorePreVotesUntil = n.now + maxElectionWrites*n.writeTime
	n.requestVotes()
}

// maxElectionWrites is the number of disk writes, one after the other, that an election may have to wait for: two at the
// candidate and then two at a voter, namely the write that is under way and the write that contains the vote.
const maxElectionWrites = 4

// resetElectionDeadline sets the election deadline to a random time between one and two election timeouts from now.
func (n *Node) resetElectionDeadline() {
	extra := time.Duration(n.random.Int64N(int64(n.config.ElectionTimeout)))
	n.electionDeadline = n.now + n.config.ElectionTimeout + extra
}

// resetElectionDeadlineAfterVote sets the election deadline once this member has voted. It adds the time that the disks need
// to write the votes of the current election. Without this time, members with slow disks (writes that take longer than about
// half an election timeout) would interrupt each other's elections forever.
func (n *Node) resetElectionDeadlineAfterVote() {
	n.resetElectionDeadline()
	n.electionDeadline += maxElectionWrites * n.writeTime
}

// requestVotes requests votes, or pre-votes, from all voters that have not granted theirs. A request for a vote is sent only
// once this member's term and vote are on disk. Otherwise the member could restart, campaign in the same term again, and be
// elected twice in that term.
func (n *Node) requestVotes() {
	n.votes.resendAt = n.now + n.config.HeartbeatInterval
	request := Message{Kind: MessagePreVote, Term: n.term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm()}
	if n.role == roleCandidate {
		request.Kind = MessageVote
		request.Term = n.term
		request.Forced = n.votes.forced
	}
	for _, member := range n.memberships.current() {
		if member.votesIn() == 0 || member.ID == n.config.ID || n.votes.grantedBy(member.ID) {
			continue
		}
		request.To = member.ID
		if n.role == roleCandidate {
			n.sendDeferred(request)
		} else {
			n.send(request)
		}
	}
}

// resendVoteRequests repeats the requests for votes or pre-votes of an undecided election once resendAt is reached.
func (n *Node) resendVoteRequests() {
	if n.role == roleFollower || n.now < n.votes.resendAt {
		return
	}
	n.requestVotes()
}

// isElected reports whether a quorum granted its votes or pre-votes. Only voters of the current membership count.
func (n *Node) isElected() bool {
	return HasQuorum(n.memberships.current(), n.votes.grantedBy)
}

// isUpToDate reports whether the log of a candidate is at least as up to date as this member's (section 3.6.1).
func (n *Node) isUpToDate(request *Message) bool {
	if request.LogTerm != n.log.lastTerm() {
		return request.LogTerm > n.log.lastTerm()
	}
	return request.Index >= n.log.last()
}

// handlePreVote responds whether this member would vote for the sender in the term of the request. The response changes no
// state and does not bind the member. It does not respond while it has a live leader, or while votes for its own election
// may still arrive.
func (n *Node) handlePreVote(request *Message) {
	if n.hasLiveLeader() || n.now < n.votes.ignorePreVotesUntil {
		return
	}
	response := Message{Kind: MessagePreVoteResponse, To: request.From}
	if request.Term > n.term && n.isUpToDate(request) {
		response.Term = request.Term
	} else {
		response.Reject = true
	}
	n.send(response)
}

// handlePreVoteResponse counts a granted pre-vote, and campaigns once a quorum has granted theirs.
func (n *Node) handlePreVoteResponse(response *Message) {
	if n.role != rolePreCandidate || response.Term != n.term+1 {
		return
	}
	n.votes.record(response.From)
	if n.isElected() {
		n.campaign(campaignElection)
	}
}

// handleVote grants a candidate of this term the vote of this member, or denies it. The response waits until the vote is on
// disk.
func (n *Node) handleVote(request *Message) {
	granted := n.canVoteFor(request.From) && n.isUpToDate(request)
	if granted {
		n.grantVote(request.From)
	}
	n.sendDeferred(Message{Kind: MessageVoteResponse, To: request.From, Reject: !granted})
}

// canVoteFor reports whether this member has not voted in this term, or has voted for that candidate. It denies its vote if
// the leader of the term is known.
func (n *Node) canVoteFor(candidate MemberID) bool {
	if n.leader != None {
		return false
	}
	return n.vote == None || n.vote == candidate
}

// grantVote records the vote for a candidate, to be written with the next Output.
func (n *Node) grantVote(candidate MemberID) {
	n.becomeFollower(n.term, None)
	n.resetElectionDeadlineAfterVote()
	if n.vote == None {
		n.vote = candidate
		n.pending.hardStateChanged = true
	}
}

// handleVoteResponse counts a granted vote. The response shows that the request was sent, and so that this member's own vote
// is on disk: from then on that counts too.
func (n *Node) handleVoteResponse(response *Message) {
	if n.role != roleCandidate || response.Reject {
		return
	}
	n.votes.record(n.config.ID)
	n.votes.record(response.From)
	if n.isElected() {
		n.becomeLeader()
	}
}

// handleTimeoutNow campaigns at once, without a pre-vote, because the leader transfers its leadership to this member.
func (n *Node) handleTimeoutNow() {
	if n.role == roleLeader || !n.mayCampaign() {
		return
	}
	n.campaign(campaignTransfer)
}

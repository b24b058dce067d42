package consensus

import (
	"slices"
	"time"
)

// voteTally is the state of an election at the member that campaigns.
type voteTally struct {
	granted  []MemberID // who granted a vote or pre-vote; this member too, for a vote once its own is on disk
	forced   bool       // campaigns because the leader asked it to, by MessageTimeoutNow
	resendAt time.Duration
	// ignorePreVotesUntil is until when the votes of members whose disks are as slow as this one's may be under way. A
	// candidate ignores the pre-votes of others as long, so as not to start an election that would disturb its own.
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

// campaignKind is why a member campaigns in a new term.
type campaignKind uint8

const (
	campaignElection campaignKind = iota // a quorum granted its pre-vote
	campaignTransfer                     // the leader transfers its leadership: members vote though that leader is live
)

// SetCampaignAllowed sets whether this member may campaign. It may unless the caller forbids it, as it should while the
// disk is unhealthy: a leader needs its disk. If it is forbidden an election that this member has begun ends.
func (n *Node) SetCampaignAllowed(allowed bool) {
	n.campaignAllowed = allowed
	if !allowed && (n.role == rolePreCandidate || n.role == roleCandidate) {
		n.becomeFollower(n.term, None)
	}
}

// SetWriteTime sets how long a write to this member's disk takes at present. Elections allow for it.
func (n *Node) SetWriteTime(duration time.Duration) { n.writeTime = duration }

// mayCampaign reports whether this member may be elected: it votes, or did before a membership that may still be
// uncommitted. In the latter case it does not count its own vote, but it may be the only one left with the newest log: if
// it never campaigned, it would deny its vote to all others and the group would have no leader again.
func (n *Node) mayCampaign() bool {
	return n.campaignAllowed && n.memberships.mayVote(n.commit, n.config.ID)
}

// startElection begins an election with the pre-vote (section 9.6): only a member that a quorum would elect enters a new
// term, so a member that was partitioned does not disturb the others when it comes back. A member that may not be elected
// waits for another election timeout.
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

// becomeSoleLeader takes the leadership of a group whose only voter this is. Since no votes are exchanged nothing shows that
// the term, the vote or the log is on disk. So nothing counts as such, and nothing is sent to learners, until the first
// entry of the term is on disk, which comes after all of them.
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

// maxElectionWrites is how many writes an election may have to wait for, one after the other: at the candidate and then at
// a voter, the write that is under way and the one that contains the vote.
const maxElectionWrites = 4

// resetElectionDeadline draws the time of the next election.
func (n *Node) resetElectionDeadline() {
	extra := time.Duration(n.random.Int64N(int64(n.config.ElectionTimeout)))
	n.electionDeadline = n.now + n.config.ElectionTimeout + extra
}

// resetElectionDeadlineAfterVote draws the time of the next election once this member has voted. The election that is under
// way gets the time that the disks need for the votes: otherwise members whose disks take longer than about half an
// election timeout would disturb each other's elections forever.
func (n *Node) resetElectionDeadlineAfterVote() {
	n.resetElectionDeadline()
	n.electionDeadline += maxElectionWrites * n.writeTime
}

// requestVotes requests votes, or pre-votes, from all voters that have not granted theirs. A request for a vote is deferred
// until this member's term and vote are on disk: otherwise it could restart and be elected twice in one term.
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

// resendVoteRequests repeats the requests of an election that has not been decided, once they are due again.
func (n *Node) resendVoteRequests() {
	if n.role == roleFollower || n.now < n.votes.resendAt {
		return
	}
	n.requestVotes()
}

// isElected reports whether a quorum granted its votes. Only voters of the membership in force count.
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

// handlePreVote responds whether this member would vote for another in a later term, which promises nothing. It does not
// respond while it has a live leader, or while votes for its own election may still come.
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

// handlePreVoteResponse counts a pre-vote, and campaigns once a quorum has granted theirs.
func (n *Node) handlePreVoteResponse(response *Message) {
	if n.role != rolePreCandidate || response.Term != n.term+1 {
		return
	}
	n.votes.record(response.From)
	if n.isElected() {
		n.campaign(campaignElection)
	}
}

// handleVote grants or denies a candidate of this term its vote. The response waits until the vote is on disk.
func (n *Node) handleVote(request *Message) {
	granted := n.canVoteFor(request.From) && n.isUpToDate(request)
	if granted {
		n.grantVote(request.From)
	}
	n.sendDeferred(Message{Kind: MessageVoteResponse, To: request.From, Reject: !granted})
}

// canVoteFor reports whether the vote of this term is free, or was given to that candidate already.
func (n *Node) canVoteFor(candidate MemberID) bool {
	if n.leader != None {
		return false
	}
	return n.vote == None || n.vote == candidate
}

// grantVote votes for a candidate.
func (n *Node) grantVote(candidate MemberID) {
	n.becomeFollower(n.term, None)
	n.resetElectionDeadlineAfterVote()
	if n.vote == None {
		n.vote = candidate
		n.pending.hardStateChanged = true
	}
}

// handleVoteResponse counts a vote. Its arrival shows that the request was sent, and so that this member's own vote is on
// disk and counts too.
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

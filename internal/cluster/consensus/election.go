package consensus

import (
	"slices"
	"time"
)

// ballot is what a candidate has gathered.
type ballot struct {
	granted  []MemberID // voters that said yes, this member included once its vote is on disk
	forced   bool       // stands because the leader told it to
	repeatAt time.Duration
	// undecidedUntil is for how long the answers of voters with disks like this member's may be on their way: until then a
	// candidate encourages nobody else.
	undecidedUntil time.Duration
}

// grant notes that a member said yes.
func (b *ballot) grant(id MemberID) {
	if !b.has(id) {
		b.granted = append(b.granted, id)
	}
}

// has tells whether a member has said yes.
func (b *ballot) has(id MemberID) bool {
	return slices.Contains(b.granted, id)
}

// isElected tells whether a quorum said yes. Only voters of the membership in force count.
func (n *Node) isElected() bool {
	return HasQuorum(n.memberships.current(), n.ballot.has)
}

// mayStand tells whether this member may be elected: it votes, or did before a membership that may still be uncommitted.
// The latter counts itself no more, but may be the only one left with the newest log: were it never to stand, it would
// refuse its vote to all others and the group had no leader again.
func (n *Node) mayStand() bool {
	return n.campaignAllowed && n.memberships.mayVote(n.commit, n.config.ID)
}

// stand begins an election, or waits on where this member may not be elected.
func (n *Node) stand() {
	n.becomeFollower(n.term, None)
	n.resetElectionDeadline()
	if !n.mayStand() {
		return
	}
	if isOnlyVoter(n.memberships.current(), n.config.ID) {
		n.leadAlone()
		return
	}
	n.role = rolePreCandidate
	n.ballot.grant(n.config.ID)
	n.requestVotes()
}

// leadAlone takes the leadership of a group whose only voter this is. Nothing says yet that the vote or the log is on
// disk, so nothing counts, or is sent to learners, before the first entry of the term is.
func (n *Node) leadAlone() {
	n.becomeFollower(n.term+1, None)
	n.vote = n.config.ID
	n.becomeLeader()
	n.leadership.holdAppends = true
}

// campaign stands for election in a new term.
func (n *Node) campaign(forced bool) {
	n.becomeFollower(n.term+1, None)
	n.awaitElection()
	n.role = roleCandidate
	n.vote = n.config.ID
	n.ballot.forced = forced
	n.ballot.undecidedUntil = n.now + writesOfElection*n.writeTime
	n.requestVotes()
}

// writesOfElection is how many writes an election may have to wait for, one after the other: at the candidate and then at
// a voter the write that is under way, and the one with the vote.
const writesOfElection = 4

// awaitElection sets when to stand next, after a vote of this member's: an election that is under way gets the time that
// the disks need. Else members with disks slower than about half an election timeout would disturb each other for ever.
func (n *Node) awaitElection() {
	n.resetElectionDeadline()
	n.electionDeadline += writesOfElection * n.writeTime
}

// SetWriteTime tells how long a write to this member's disk takes of late.
func (n *Node) SetWriteTime(took time.Duration) { n.writeTime = took }

// requestVotes asks every voter that has not said yes. A request for a vote leaves only once this member's own term and
// vote are on disk: otherwise it could come back and be elected twice in one term.
func (n *Node) requestVotes() {
	n.ballot.repeatAt = n.now + n.config.HeartbeatInterval
	request := Message{Kind: MessagePreVote, Term: n.term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm()}
	if n.role == roleCandidate {
		request.Kind = MessageVote
		request.Term = n.term
		request.Forced = n.ballot.forced
	}
	for _, member := range n.memberships.current() {
		if member.votesIn() == 0 || member.ID == n.config.ID || n.ballot.has(member.ID) {
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

// repeatRequests asks again those that have not answered.
func (n *Node) repeatRequests() {
	if n.role == roleFollower || n.now < n.ballot.repeatAt {
		return
	}
	n.requestVotes()
}

// upToDate tells whether a candidate's log is at least as new as this member's.
func (n *Node) upToDate(message *Message) bool {
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.Index >= n.log.last()
}

// answerPreVote says whether this member would vote for another, without promising anything.
func (n *Node) answerPreVote(message *Message) {
	if n.hearsLeader() || n.now < n.ballot.undecidedUntil {
		return
	}
	response := Message{Kind: MessagePreVoteResponse, To: message.From}
	if message.Term > n.term && n.upToDate(message) {
		response.Term = message.Term
	} else {
		response.Reject = true
	}
	n.send(response)
}

// answerVote votes for a candidate of this term, or says no.
func (n *Node) answerVote(message *Message) {
	granted := n.mayVoteFor(message.From) && n.upToDate(message)
	if granted {
		n.giveVote(message.From)
	}
	n.sendDeferred(Message{Kind: MessageVoteResponse, To: message.From, Reject: !granted})
}

// mayVoteFor tells whether the vote of this term is free, or has gone to that candidate already.
func (n *Node) mayVoteFor(candidate MemberID) bool {
	if n.leader != None {
		return false
	}
	return n.vote == None || n.vote == candidate
}

// giveVote votes for a candidate.
func (n *Node) giveVote(candidate MemberID) {
	n.becomeFollower(n.term, None)
	n.awaitElection()
	if n.vote == None {
		n.vote = candidate
		n.pending.hardState = true
	}
}

// countPreVote counts an encouragement for the next term.
func (n *Node) countPreVote(message *Message) {
	if n.role != rolePreCandidate || message.Term != n.term+1 {
		return
	}
	n.ballot.grant(message.From)
	if n.isElected() {
		n.campaign(false)
	}
}

// countVote counts a vote. That it came shows that the request has left, and so that this member's own vote is on disk.
func (n *Node) countVote(message *Message) {
	if n.role != roleCandidate || message.Reject {
		return
	}
	n.ballot.grant(n.config.ID)
	n.ballot.grant(message.From)
	if n.isElected() {
		n.becomeLeader()
	}
}

// takeTimeoutNow stands at once, as the leader asks.
func (n *Node) takeTimeoutNow() {
	if n.role == roleLeader || !n.mayStand() {
		return
	}
	n.campaign(true)
}

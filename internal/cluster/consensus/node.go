package consensus

import (
	"math/rand/v2"
	"time"
)

// role is what a member does in its term.
type role uint8

const (
	roleFollower     role = iota
	rolePreCandidate      // asks whether it would be elected
	roleCandidate         // asks for votes
	roleLeader
)

// Node is one member of one group. It is not safe for use by several goroutines at once.
type Node struct {
	config Config
	random *rand.Rand
	now    time.Duration // newest time an input came with

	role   role
	term   uint64
	vote   MemberID
	leader MemberID

	log         entryLog
	memberships membershipHistory
	commit      uint64
	applied     uint64 // last index handed out to be applied
	verified    uint64 // last index known to agree with the leader of this term

	campaignAllowed  bool
	writeTime        time.Duration // how long a write to this member's disk takes of late
	electionDeadline time.Duration // when to stand
	leaderHeardAt    time.Duration // counts only while a leader is known
	ballot           ballot

	leadership leadership
	incoming   *incomingSnapshot
	pending    pendingOutput
}

// New makes a member from what its disk held.
func New(config Config, restored Restored, now time.Duration) *Node {
	config = config.withDefaults()
	node := &Node{
		config:          config,
		random:          rand.New(rand.NewPCG(config.Seed, uint64(config.ID)^uint64(config.Group)<<32)),
		now:             now,
		term:            restored.HardState.Term,
		vote:            restored.HardState.Vote,
		campaignAllowed: true,
	}
	node.restoreLog(restored)
	node.resetElectionDeadline()
	return node
}

// restoreLog takes over the log and its memberships.
func (n *Node) restoreLog(restored Restored) {
	if snapshot := restored.Snapshot; snapshot != nil {
		n.log.reset(snapshot.Index, snapshot.Term)
		n.memberships = membershipHistory{{index: snapshot.Index, members: snapshot.Members}}
	}
	for _, entry := range restored.Entries {
		if entry.Index == n.log.last()+1 {
			n.log.add(entry)
		}
	}
	n.log.handed = n.log.last()
	n.memberships = n.memberships.withEntries(n.log.entries)
	n.commit, n.applied, n.verified = n.log.base, n.log.base, n.log.base
	if newest := n.log.lastTerm(); newest > n.term {
		n.term, n.vote = newest, None
	}
}

// advance moves the node's time to that of an input.
func (n *Node) advance(now time.Duration) {
	if now <= n.now {
		return
	}
	stalled := now-n.now > n.config.ElectionTimeout/2
	n.now = now
	if stalled && n.role == roleLeader {
		n.graceAfterStall()
	}
}

// Tick does what has become due. It is called every 20 to 50 ms or so, or at the latest at NextDeadline.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	if n.role == roleLeader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.stand()
		return
	}
	n.repeatRequests()
}

// NextDeadline is the time at which Tick must be called at the latest.
func (n *Node) NextDeadline() time.Duration {
	switch n.role {
	case roleLeader:
		return n.leaderDeadline()
	case rolePreCandidate, roleCandidate:
		return min(n.electionDeadline, n.ballot.repeatAt)
	default:
		return n.electionDeadline
	}
}

// Step takes a message from another member in.
func (n *Node) Step(message Message, now time.Duration) {
	n.advance(now)
	if message.Group != n.config.Group || message.To != n.config.ID || message.From == n.config.ID {
		return
	}
	if message.Term > n.term && !n.enterTerm(&message) {
		return
	}
	if message.Term < n.term {
		n.answerOldTerm(&message)
		return
	}
	n.dispatch(&message)
	if n.role == roleLeader {
		n.finishChange()
		n.sendWantedRound()
	}
}

// enterTerm handles a message of a later term, and tells whether to go on with it.
func (n *Node) enterTerm(message *Message) bool {
	switch message.Kind {
	case MessagePreVote:
		n.answerPreVote(message)
		return false
	case MessagePreVoteResponse:
		if !message.Reject {
			n.countPreVote(message)
			return false
		}
	case MessageVote:
		if n.hearsLeader() && !message.Forced {
			return false
		}
	}
	n.becomeFollower(message.Term, None)
	return true
}

// answerOldTerm tells a member that is behind, so that a leader of an old term steps down and a candidate catches up.
func (n *Node) answerOldTerm(message *Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendResponse, To: message.From, Reject: true})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteResponse, To: message.From, Reject: true})
	case MessageVote:
		n.sendDeferred(Message{Kind: MessageVoteResponse, To: message.From, Reject: true})
	}
}

// dispatch handles a message of this term.
func (n *Node) dispatch(message *Message) {
	switch message.Kind {
	case MessagePreVote:
		n.answerPreVote(message)
	case MessageVote:
		n.answerVote(message)
	case MessageVoteResponse:
		n.countVote(message)
	case MessageAppend:
		n.takeAppend(message)
	case MessageHeartbeat:
		n.takeHeartbeat(message)
	case MessageSnapshot:
		n.takeSnapshotPiece(message)
	case MessageAppendResponse:
		n.takeAppendResponse(message)
	case MessageHeartbeatResponse:
		n.takeHeartbeatResponse(message)
	case MessageSnapshotResponse:
		n.takeSnapshotResponse(message)
	case MessageTimeoutNow:
		n.takeTimeoutNow()
	}
}

// becomeFollower enters a term, or goes back to following in this one.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.vote = term, None
		n.pending.hardState = true
		n.verified = n.commit
		n.incoming = nil
	}
	if n.role == roleLeader {
		n.endLeadership()
	}
	n.role = roleFollower
	n.leader = leader
	n.ballot = ballot{}
}

// endLeadership forgets what only a leader has. One that was giving its leadership away leaves its successor time for the votes.
func (n *Node) endLeadership() {
	if n.leadership.transferee != None {
		n.awaitElection()
	} else {
		n.resetElectionDeadline()
	}
	n.leadership = leadership{}
}

// followLeader notes that the leader of this term was heard. It tells false where that cannot be.
func (n *Node) followLeader(from MemberID) bool {
	if n.role == roleLeader {
		return false
	}
	n.becomeFollower(n.term, from)
	n.leaderHeardAt = n.now
	n.resetElectionDeadline()
	return true
}

// hearsLeader tells whether a leader was heard so lately that nobody needs to stand.
func (n *Node) hearsLeader() bool {
	if n.role == roleLeader {
		return true
	}
	return n.leader != None && n.now-n.leaderHeardAt < n.config.ElectionTimeout
}

// resetElectionDeadline draws the next time to stand.
func (n *Node) resetElectionDeadline() {
	extra := time.Duration(n.random.Int64N(int64(n.config.ElectionTimeout)))
	n.electionDeadline = n.now + n.config.ElectionTimeout + extra
}

// Persisted tells that the log up to an entry, and all that was handed out to be written before it, are on disk. Outputs
// handed out later may still wait to be written.
func (n *Node) Persisted(now time.Duration, index, term uint64) {
	n.advance(now)
	if n.role != roleLeader || index <= n.leadership.ownMatch || !n.log.matches(index, term) {
		return
	}
	n.leadership.ownMatch = index
	if n.leadership.holdAppends && index >= n.leadership.firstIndex {
		n.leadership.holdAppends = false
		n.leadership.appendsDue = true
	}
	n.advanceCommit()
	n.finishChange()
}

// Compact drops the entries up to an index that was handed out to be applied.
func (n *Node) Compact(index uint64) {
	index = min(index, n.applied, n.log.handed)
	if index <= n.log.base {
		return
	}
	n.log.compact(index)
	n.memberships = n.memberships.compacted(index)
}

// MembersAt is the membership as of an index that is not compacted away: what belongs into a snapshot of that index.
func (n *Node) MembersAt(index uint64) []Member {
	return n.memberships.at(index)
}

// SetCampaignAllowed sets whether this member may stand for election: not while its disk is sick.
func (n *Node) SetCampaignAllowed(allowed bool) {
	n.campaignAllowed = allowed
	if !allowed && (n.role == rolePreCandidate || n.role == roleCandidate) {
		n.becomeFollower(n.term, None)
	}
}

// Status is what this member knows.
func (n *Node) Status() Status {
	return Status{
		ID:            n.config.ID,
		Term:          n.term,
		Leader:        n.leader,
		IsLeader:      n.role == roleLeader,
		Ready:         n.ready(),
		Commit:        n.commit,
		LastIndex:     n.log.last(),
		FirstIndex:    n.log.base + 1,
		ConfirmedAt:   n.leadership.confirmedAt,
		Members:       n.memberships.current(),
		ChangePending: n.changePending(),
		Transferee:    n.leadership.transferee,
	}
}

package consensus

import (
	"math/rand/v2"
	"time"
)

// role is what a member does in its term.
type role uint8

const (
	roleFollower     role = iota
	rolePreCandidate      // requests pre-votes
	roleCandidate         // requests votes
	roleLeader
)

// Node is one member of one group. It is not safe for concurrent use: the caller must call all its methods from one
// goroutine at a time. The package comment states what the caller must do with its output.
type Node struct {
	config Config
	random *rand.Rand
	now    time.Duration // newest time of an input

	role   role
	term   uint64
	vote   MemberID
	leader MemberID

	log         entryLog
	memberships membershipHistory
	commit      uint64
	applied     uint64 // last index that was output as committed
	verified    uint64 // last index known to agree with the leader of this term

	campaignAllowed   bool
	writeTime         time.Duration // how long a write to this member's disk takes at present
	electionDeadline  time.Duration // when to start an election
	lastLeaderContact time.Duration // meaningful only while a leader is known
	votes             voteTally

	leadership leadership
	receiving  *incomingSnapshot // nil: none
	pending    pendingOutput
}

// New returns a member that goes on from what its disk has, as a follower.
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

// restoreLog restores the log and its memberships. After a torn write the newest entry or the snapshot may
// have a later term than the hard state. This member has sent no vote in that term: votes wait for the hard state.
func (n *Node) restoreLog(restored Restored) {
	if snapshot := restored.Snapshot; snapshot != nil {
		n.log.reset(snapshot.Index, snapshot.Term)
		n.memberships = membershipHistory{{index: snapshot.Index, members: snapshot.Members}}
	}
	for _, entry := range restored.Entries {
		if entry.Index == n.log.last()+1 {
			n.log.append(entry)
		}
	}
	n.log.lastOutput = n.log.last()
	n.memberships = n.memberships.withEntries(n.log.entries)
	n.commit, n.applied, n.verified = n.log.base, n.log.base, n.log.base
	if newest := n.log.lastTerm(); newest > n.term {
		n.term, n.vote = newest, None
	}
}

// advanceClock advances the node's time to that of an input. Earlier times are ignored.
func (n *Node) advanceClock(now time.Duration) {
	if now <= n.now {
		return
	}
	stalled := now-n.now > n.config.ElectionTimeout/2
	n.now = now
	if stalled && n.role == roleLeader {
		n.startStallGrace()
	}
}

// Tick does what has become due by now. It must be called at NextDeadline at the latest; earlier calls do no harm. A leader
// takes a time without inputs of more than half an election timeout for a stall of its process, so callers should tick
// several times in an election timeout.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == roleLeader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.startElection()
		return
	}
	n.resendVoteRequests()
}

// NextDeadline returns the time at which Tick must be called at the latest, of the clock whose times are passed to the
// Node. Any input may change it.
func (n *Node) NextDeadline() time.Duration {
	switch n.role {
	case roleLeader:
		return n.leaderDeadline()
	case rolePreCandidate, roleCandidate:
		return min(n.electionDeadline, n.votes.resendAt)
	default:
		return n.electionDeadline
	}
}

// Step handles a message from another member. Messages that are not addressed to this member and group are ignored.
func (n *Node) Step(message Message, now time.Duration) {
	n.advanceClock(now)
	if message.Group != n.config.Group || message.To != n.config.ID || message.From == n.config.ID {
		return
	}
	if message.Term > n.term && !n.handleHigherTerm(&message) {
		return
	}
	if message.Term < n.term {
		n.handleLowerTerm(&message)
		return
	}
	n.dispatch(&message)
	if n.role == roleLeader {
		n.finishJointChange()
		n.sendRequestedConfirmation()
	}
}

// handleHigherTerm handles a message of a later term, which this member enters except for pre-votes, and for requests for
// votes while it has a live leader (section 4.2.3). It reports whether the message is to be dispatched in the new term.
func (n *Node) handleHigherTerm(message *Message) bool {
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(message)
		return false
	case MessagePreVoteResponse:
		if !message.Reject { // its term is the one that this member would campaign in: nobody need be in it yet
			n.handlePreVoteResponse(message)
			return false
		}
	case MessageVote:
		if n.hasLiveLeader() && !message.Forced {
			return false
		}
	}
	n.becomeFollower(message.Term, None)
	return true
}

// handleLowerTerm responds to a message of an earlier term with the present one: a leader of an earlier term steps down, and
// a candidate enters the present term.
func (n *Node) handleLowerTerm(message *Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendResponse, To: message.From, Reject: true})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteResponse, To: message.From, Reject: true})
	case MessageVote:
		n.sendDeferred(Message{Kind: MessageVoteResponse, To: message.From, Reject: true})
	}
}

// dispatch handles a message of the present term.
func (n *Node) dispatch(message *Message) {
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(message)
	case MessageVote:
		n.handleVote(message)
	case MessageVoteResponse:
		n.handleVoteResponse(message)
	case MessageAppend:
		n.handleAppend(message)
	case MessageHeartbeat:
		n.handleHeartbeat(message)
	case MessageSnapshot:
		n.handleSnapshotChunk(message)
	case MessageAppendResponse:
		n.handleAppendResponse(message)
	case MessageHeartbeatResponse:
		n.handleHeartbeatResponse(message)
	case MessageSnapshotResponse:
		n.handleSnapshotResponse(message)
	case MessageTimeoutNow:
		n.handleTimeoutNow()
	}
}

// becomeFollower enters a later term, or becomes a follower in the present one. leader is None if it is not known.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.vote = term, None
		n.pending.hardStateChanged = true
		n.verified = n.commit
		n.receiving = nil
	}
	if n.role == roleLeader {
		n.endLeadership()
	}
	n.role = roleFollower
	n.leader = leader
	n.votes = voteTally{}
}

// endLeadership drops what only a leader has. One that was transferring its leadership gives the election of its successor
// the time that disks need for the votes.
func (n *Node) endLeadership() {
	if n.leadership.transferee != None {
		n.resetElectionDeadlineAfterVote()
	} else {
		n.resetElectionDeadline()
	}
	n.leadership = leadership{}
}

// acceptLeader follows the leader of the present term and records the contact. It reports false if this member leads itself,
// so that the message can't be valid.
func (n *Node) acceptLeader(from MemberID) bool {
	if n.role == roleLeader {
		return false
	}
	n.becomeFollower(n.term, from)
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
	return true
}

// hasLiveLeader reports whether this member leads, or had contact with its leader within an election timeout.
func (n *Node) hasLiveLeader() bool {
	if n.role == roleLeader {
		return true
	}
	return n.leader != None && n.now-n.lastLeaderContact < n.config.ElectionTimeout
}

// Persisted reports to the Node that the log up to the entry with this index and term is on disk, and so is everything that
// was output before it. Later Outputs may still wait to be written.
func (n *Node) Persisted(now time.Duration, index, term uint64) {
	n.advanceClock(now)
	if n.role != roleLeader || index <= n.leadership.ownMatch || !n.log.matches(index, term) {
		return
	}
	n.leadership.ownMatch = index
	if n.leadership.appendsSuspended && index >= n.leadership.termStartIndex {
		n.leadership.appendsSuspended = false
		n.leadership.appendsDue = true
	}
	n.advanceCommit()
	n.finishJointChange()
}

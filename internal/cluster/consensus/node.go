package consensus

import (
	"math/rand/v2"
	"time"
)

// role is the role of a member in its term.
type role uint8

const (
	roleFollower     role = iota
	rolePreCandidate      // requests pre-votes
	roleCandidate         // requests votes
	roleLeader
)

// Node is one member of one group. It is not safe for concurrent use: the caller must call its methods from one goroutine at
// a time. The package comment states how the caller must carry out its Outputs.
type Node struct {
	config Config
	random *rand.Rand
	now    time.Duration // newest time of an input

	role   role
	term   uint64
	vote   MemberID // candidate that this member voted for in its term; None: no vote
	leader MemberID // of this term; None: not known

	log         entryLog
	memberships membershipHistory
	commit      uint64
	applied     uint64 // last index that Output has returned in Committed, or that a snapshot covers
	verified    uint64 // last index up to which this log is known to agree with the log of this term's leader

	campaignAllowed   bool
	writeTime         time.Duration // how long a write to this member's disk currently takes
	electionDeadline  time.Duration // when to start an election
	lastLeaderContact time.Duration // time of the leader's newest message; valid only while leader is not None
	votes             voteTally

	leadership leadership
	receiving  *incomingSnapshot // nil: no snapshot is being received
	pending    pendingOutput
}

// New returns a member that starts as a follower with the state in restored, which the caller read from its disk. now is the
// time of the monotonic clock that all later inputs use.
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

// restoreLog restores the log and its memberships. After an interrupted write the newest entry or the snapshot may have a
// later term than the hard state. The member then enters that term without a vote. That is safe because it has sent no vote
// in that term: a vote is sent only once the hard state is on disk.
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

// advanceClock sets the node's time to the time of an input. It ignores earlier times. A leader treats an advance of more
// than half an election timeout as a stall of its process.
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

// Tick carries out the actions due at now, such as starting an election or sending heartbeats. The caller must call it at
// NextDeadline at the latest; earlier calls do no harm. If a leader gets no input for more than half an election timeout, it
// assumes that its process stalled. So the caller should call Tick several times in an election timeout.
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

// NextDeadline returns the latest time at which the caller must call Tick, by the clock of its inputs. Any input may change
// it.
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

// Step handles a message from another member. It ignores messages that are not addressed to this member and group.
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

// handleHigherTerm handles a message of a later term. The member enters that term, with two exceptions: pre-votes change no
// term, and a request for a vote is ignored while the member has a live leader (section 4.2.3). handleHigherTerm reports
// whether dispatch should handle the message in the new term.
func (n *Node) handleHigherTerm(message *Message) bool {
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(message)
		return false
	case MessagePreVoteResponse:
		if !message.Reject { // its term is the term of the proposed election; maybe no member has entered it yet
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

// handleLowerTerm rejects a message of an earlier term. The response has the current term, so that a leader of an earlier
// term steps down and a candidate enters the current term.
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

// dispatch handles a message of the current term.
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

// becomeFollower makes this member a follower in a later term or in the current one. leader is None if it is not known.
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

// endLeadership resets the state that only a leader has. If a leadership transfer was under way, the election deadline leaves
// the transferee the time that disks need for the votes.
func (n *Node) endLeadership() {
	if n.leadership.transferee != None {
		n.resetElectionDeadlineAfterVote()
	} else {
		n.resetElectionDeadline()
	}
	n.leadership = leadership{}
}

// acceptLeader makes this member a follower of the leader of the current term and records the contact. It reports whether the
// message that named the leader can be valid: it can't if this member leads the term.
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

// Persisted tells the Node that the log up to the entry with this index and term is on disk, and so is everything that
// Output has returned before it. Later Outputs may still wait for the disk.
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

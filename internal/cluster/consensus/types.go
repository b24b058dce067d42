// Package consensus is one replica group's log: election with pre-vote, replication in batches, confirmed
// leadership, membership changes by joint consensus, learners, and snapshots. It is pure: inputs and the steady time go in;
// messages, entries to write and committed entries come out. It has no clock, no disk, no goroutine.
package consensus

import "time"

// MemberID is a member's identity. It is drawn at random when a member's disk is empty and lasts as long as that disk.
type MemberID uint64

// None is no member.
const None MemberID = 0

// Member is a member as the membership of a group holds it.
type Member struct {
	ID         MemberID
	Node       string // machine's name
	Zone       string
	Address    string // internal address
	Learner    bool   // gets the log, neither votes nor counts
	Transition Transition
}

// Transition tells how a joint membership changes a member's vote. A membership in which it is set for any member is
// joint: it has the outgoing configuration, of the voters before the change, and the incoming one, of those after it, and
// whatever is decided needs a majority of either. Only a leader makes such memberships, on its way to one that was given
// to ProposeMembers.
type Transition uint8

// The transitions.
const (
	TransitionNone    Transition = iota // a voter, or a learner, in both configurations
	TransitionAdded                     // votes in the incoming configuration only
	TransitionRemoved                   // votes in the outgoing configuration only; afterwards no member
	TransitionDemoted                   // votes in the outgoing configuration only; afterwards a learner
)

// EntryKind tells what an entry's data is.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // for the state machine
	EntryEmpty                       // a new leader's first
	EntryMembership                  // the whole new membership, gob
)

// Entry is one entry of the log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be on disk before a message that depends on it leaves.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte // the state machine's
}

// MessageKind is what a message is for.
type MessageKind uint8

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot
	MessageSnapshotResponse
	MessageTimeoutNow // stand for election now: leadership is given away
)

// Message is what members of a group send each other.
type Message struct {
	Group    uint32
	Kind     MessageKind
	From, To MemberID
	Term     uint64
	Index    uint64 // Append: index before the entries; Vote: last index; responses: last matching index
	LogTerm  uint64 // term at Index
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64        // rejected Append: where to try next
	SentAt   time.Duration // the leader's steady time; echoed by responses, for confirmed leadership
	Snapshot *Snapshot     // one piece: Data holds Offset.. of the whole
	Offset   uint64
	Transfer uint64 // Snapshot: number of this sending of a snapshot among the leader's in its term
	Total    uint64 // bytes of the whole snapshot, so that room is made once; 0: not told
	Last     bool   // the snapshot's last piece
	Forced   bool   // a vote asked for by MessageTimeoutNow: not held off by a living leader
}

// Output is what a Node wants done, in this order: Snapshot and HardState and Entries to disk; then, once on disk,
// Persisted is called; Deferred messages, which promise something, leave only after that and after everything that earlier
// Outputs held is on disk as well, all others may leave at once; Committed is applied in order (it may be applied before it is on this disk, since a
// quorum has it).
type Output struct {
	HardState *HardState // nil: unchanged
	Snapshot  *Snapshot  // to install: replaces log and state machine
	Entries   []Entry    // to append, replacing what stands at the same or higher indexes
	Immediate []Message  // may leave at once
	Deferred  []Message  // only after what stands above is on disk
	Committed []Entry    // to apply
}

// Status is what a member knows of its group.
type Status struct {
	ID          MemberID
	Term        uint64
	Leader      MemberID // None: not known
	IsLeader    bool
	Ready       bool // leader, and an entry of its own term is committed and handed out
	Commit      uint64
	LastIndex   uint64
	FirstIndex  uint64
	ConfirmedAt time.Duration // steady time at which a quorum's confirmation was asked for, of the newest confirmed
	// Members is the membership in force: the newest in the log, committed or not. It is joint while a change of more than
	// one voter is on its way; FinalMembers tells what it leads to.
	Members []Member
	// ChangePending tells that Members is not committed as far as this member knows, or is joint: ProposeMembers refuses
	// another change until both the joint and the final membership are committed.
	ChangePending bool
	Transferee    MemberID
}

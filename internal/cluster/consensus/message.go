package consensus

import "time"

// MessageKind is the kind of a Message. The values are on the wire.
type MessageKind uint8

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota // would you vote for me in the next term?
	MessagePreVoteResponse
	MessageVote // RequestVote
	MessageVoteResponse
	MessageAppend // AppendEntries
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot // one chunk of a snapshot
	MessageSnapshotResponse
	MessageTimeoutNow // campaign now: leadership is transferred to you
)

// Message is what members of a group send each other. It is encoded by gob: the field names are the wire format.
type Message struct {
	Group    uint32
	Kind     MessageKind
	From, To MemberID
	Term     uint64
	// Index is, by kind: PreVote and Vote: the last index of the candidate's log; Append: the index before the entries, and of
	// a rejected one in its response; AppendResponse: the last index that agrees and is on disk; HeartbeatResponse: the last
	// index that agrees, in memory; Snapshot and its response: the index of the snapshot.
	Index    uint64
	LogTerm  uint64 // term of the entry at Index; in a rejection, of the entry at Hint
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64        // rejected Append: newest index at which the logs may agree
	SentAt   time.Duration // time of the leader's monotonic clock; responses echo it, which confirms the leadership at that time
	Snapshot *Snapshot     // one chunk: Data is the part of the snapshot's data that begins at Offset
	Offset   uint64        // Snapshot: where the chunk begins; SnapshotResponse: how many bytes have arrived
	Transfer uint64        // Snapshot: number of this transfer of a snapshot among those of the leader in its term
	Total    uint64        // Snapshot: size of the complete data in bytes, for allocation; 0: not known
	Last     bool          // Snapshot: this is the last chunk
	Forced   bool          // Vote: requested by MessageTimeoutNow, so it is granted even while a leader is live
}

package consensus

import "time"

// MessageKind is the kind of a Message. The values are part of the wire format.
type MessageKind uint8

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota // asks whether the receiver would vote for the sender in the next term
	MessagePreVoteResponse
	MessageVote // RequestVote in the thesis
	MessageVoteResponse
	MessageAppend // AppendEntries in the thesis, except for heartbeats
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot // one chunk of a snapshot
	MessageSnapshotResponse
	MessageTimeoutNow // asks the receiver to campaign at once: the leader transfers its leadership to it
)

// Message is a message from one member of a group to another. It is encoded by gob, so the field names are part of the wire
// format.
type Message struct {
	Group    uint32
	Kind     MessageKind
	From, To MemberID
	Term     uint64 // of the sender; in PreVote and a granted PreVoteResponse, of the election that it asks about
	// Index depends on the kind:
	//
	//   - PreVote and Vote: the last index of the candidate's log
	//   - Append: the index before the entries
	//   - AppendResponse: the last index at which the logs agree and that is on disk; in a rejection, Index of the Append
	//   - HeartbeatResponse: the last index at which the logs are known to agree, on disk or not
	//   - Snapshot and SnapshotResponse: the index of the snapshot
	Index    uint64
	LogTerm  uint64 // term of the entry at Index; in a rejected AppendResponse, of the entry at Hint
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64        // rejected AppendResponse: newest index at which the logs may agree
	SentAt   time.Duration // by the leader's clock; a response repeats it, which confirms the leadership at that time
	Snapshot *Snapshot     // Snapshot: one chunk; its Data is the part of the snapshot's data that begins at Offset
	Offset   uint64        // Snapshot: byte position of the chunk; SnapshotResponse: number of bytes that have arrived
	Transfer uint64        // Snapshot: number of the transfer that the chunk belongs to, counted by the leader in its term
	Total    uint64        // Snapshot: size of the complete data in bytes, for allocation; 0: unknown
	Last     bool          // Snapshot: the chunk is the last one
	Forced   bool          // Vote: the candidate received MessageTimeoutNow, so members vote although a leader is live
}

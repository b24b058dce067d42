package consensus

// EntryKind is the kind of an entry, which determines the meaning of its data. The values are on disk and on the wire.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // a command for the state machine
	EntryEmpty                       // the first entry of a leader's term, without data
	EntryMembership                  // the complete new membership, as EncodeMembers encodes it
)

// Entry is one entry of the log. It is encoded by gob, so the field names are part of the wire format.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that a member must keep across restarts in addition to the log. It must be on disk before the
// caller sends a message that depends on it (Output.Deferred). It is encoded by gob, so the field names are part of the
// format.
type HardState struct {
	Term   uint64
	Vote   MemberID // candidate that the member voted for in Term; None: no vote
	Commit uint64   // for information only: New does not use it
}

// Snapshot is a state of the state machine, which replaces the log up to and including Index. It is encoded by gob, so the
// field names are part of the wire format.
type Snapshot struct {
	Index   uint64
	Term    uint64   // of the entry at Index
	Members []Member // the membership as of Index, see Node.MembersAt
	Data    []byte   // the encoded state machine
}

// Restored is the state read from a member's disk at the start of the process. The zero value stands for an empty disk.
type Restored struct {
	// HardState is the newest hard state on disk. New does not use its Commit: the next leader announces the commit index.
	HardState HardState
	// Snapshot is the snapshot from which the state machine was started. New does not use its Data. Nil means that the disk
	// is empty, and the membership will arrive with the log. The initial members of a new group start from a Snapshot with
	// Index 0, Term 0 and themselves as Members.
	Snapshot *Snapshot
	// Entries are the entries after the snapshot. New ignores earlier ones.
	Entries []Entry
}

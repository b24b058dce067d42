package consensus

// EntryKind is what an entry's data means.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // a command for the state machine
	EntryEmpty                       // the first entry of a leader's term, without data
	EntryMembership                  // the complete new membership, as EncodeMembers encodes it
)

// Entry is one entry of the log. It is encoded by gob: the field names are the wire format.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what a member must not forget across restarts besides its log. It must be on disk before a message that
// depends on it is sent. It is encoded by gob: the field names are the wire format.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64 // informative: New does not rely on it
}

// Snapshot replaces the log up to and including Index. It is encoded by gob: the field names are the wire format.
type Snapshot struct {
	Index   uint64
	Term    uint64 // of the entry at Index
	Members []Member
	Data    []byte // the encoded state machine
}

// Restored is what a member's disk has at the start of the process.
type Restored struct {
	// HardState.Commit is not relied upon: the next leader announces what is committed.
	HardState HardState
	// Snapshot is what the state machine was started from; its Data is not needed here. Nil means an empty disk, whose
	// membership will come with the log. The initial members of a new group start from index 0, term 0 and Members.
	Snapshot *Snapshot
	// Entries are those after the snapshot; earlier ones are ignored.
	Entries []Entry
}

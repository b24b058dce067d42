package consensus

import (
	"time"

	"github.com/pkg/errors"
)

// The reasons for which a call is refused.
var (
	// ErrNotLeader tells that this member does not lead the group, or is giving its leadership away.
	ErrNotLeader = errors.New("not the leader of this group")
	// ErrNotReady tells that the leader has not committed an entry of its own term yet.
	ErrNotReady = errors.New("the leader has not committed an entry of its term yet")
	// ErrChangePending tells that an earlier change of the membership is under way: its entry, or the final one of a joint
	// change, is not committed yet.
	ErrChangePending = errors.New("a change of the membership is not committed yet")
	// ErrChangeRefused tells that a membership is not well formed, or is the present one.
	ErrChangeRefused = errors.New("the membership is not well formed or does not differ from the present one")
	// ErrUnknownMember tells that a member is not a voter other than this one.
	ErrUnknownMember = errors.New("not another voter of this group")
)

// The defaults of settings left at zero.
const (
	defaultHeartbeatInterval  = 100 * time.Millisecond
	defaultElectionTimeout    = time.Second
	defaultMaxAppendBytes     = 256 << 10
	defaultMaxInflight        = 16
	defaultSnapshotPieceBytes = 256 << 10
)

// The spacing of confirmation rounds that are asked for between two heartbeats.
const (
	minRoundGap = 2 * time.Millisecond  // no two rounds are closer than this
	lostRound   = 10 * time.Millisecond // a round not answered by then holds up the next no longer
)

// Config holds the settings of one member of one group.
type Config struct {
	Group uint32
	ID    MemberID
	Seed  uint64 // of the random election times

	HeartbeatInterval time.Duration
	// ElectionTimeout is the silence after which a leader is given up. A member stands for election after a random
	// time from ElectionTimeout up to twice as long.
	ElectionTimeout time.Duration

	MaxAppendBytes     int // about how much one append carries; a larger entry travels alone
	MaxInflight        int // appends to one member that may be unanswered
	SnapshotChunkBytes int
}

// withDefaults replaces what is not set.
func (c Config) withDefaults() Config {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.MaxAppendBytes <= 0 {
		c.MaxAppendBytes = defaultMaxAppendBytes
	}
	if c.MaxInflight <= 0 {
		c.MaxInflight = defaultMaxInflight
	}
	if c.SnapshotChunkBytes <= 0 {
		c.SnapshotChunkBytes = defaultSnapshotPieceBytes
	}
	return c
}

// Restored is what the disk of a member held at its start.
type Restored struct {
	HardState HardState // its Commit is not relied upon: the next leader tells what is committed
	// Snapshot is what the state machine was started from; its Data is not needed here. Nil: an empty disk, whose
	// membership will come with the log. The first members of a new group start from index 0, term 0 and Members.
	Snapshot *Snapshot
	// Entries follow the snapshot; earlier ones are left out of account.
	Entries []Entry
}

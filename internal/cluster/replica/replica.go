// Package replica runs one process's members of replica groups. It is the server around the Raft library of
// internal/cluster/consensus: it adds disk, timers and links, applies committed entries to state machines, and
// maintains the membership, in which processes with an empty disk join as learners and replace voters that were lost.
//
// One goroutine, the loop of Engine.Run, owns all groups and their state machines; a second one writes to the disk, so
// that all groups share one sync. Engine.Receive, Engine.Do and Engine.Self may be called from any goroutine. Every
// other method of an open engine must be called on the loop, that is from a state machine or from a function given to
// Engine.Do.
//
// What is promised: a message that depends on an entry, a vote or a term leaves only once that is synced to disk; a
// command whose proposer was given a result is on the disks of a quorum; a state machine sees the committed commands
// of its group in the order of the log. What is not: a proposer that was given failure.UnknownOutcome may find its
// command applied later; envelopes may be lost or duplicated by the Sender; a state machine that cannot restore its
// group's snapshot ends the engine.
package replica

import (
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
)

// GroupID names a replica group.
type GroupID = uint32

// StateMachine is what a group replicates. All calls come from the loop. Two members that applied the same entries
// must have the same state.
type StateMachine interface {
	// Apply applies a committed command and returns its result, which is passed to the proposer if that is in this
	// process.
	Apply(index, term uint64, data []byte) any
	// Snapshot returns the complete state. The slice belongs to the engine from then on.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of an earlier Snapshot, from this member or another. An error ends the engine.
	Restore(data []byte) error
}

// LeadershipObserver is a StateMachine that is notified of its leadership. Leading is called once the member is the
// leader and has applied an entry of its own term (Raft thesis, section 6.4), Following when that ends.
type LeadershipObserver interface {
	Leading(term uint64)
	Following()
}

// TransferDeferrer is a StateMachine that may defer a transfer of its leadership, while something is in progress that
// a successor would have to begin anew. It is asked only before transfers that balance leaderships over the processes,
// not before those of a process that resigns or whose disk is unhealthy.
type TransferDeferrer interface {
	// DefersTransfer reports whether the leadership should stay here for now.
	DefersTransfer() bool
}

// Join asks a group's leader to add a process to the group, or to correct the node, zone or address that the group has
// for it. It is part of Envelope and encoded by gob: the field names are the wire format.
type Join struct {
	Group     GroupID
	Member    consensus.Member
	Forwarded bool // by a member that is not the leader; not forwarded again
}

// Envelope is what one process sends another in one step of its loop. It is one-way, and may be lost or duplicated. It
// is encoded by gob: the field names, also of what it contains, are the wire format.
type Envelope struct {
	From      consensus.MemberID
	Address   string // internal address of From
	Reluctant bool   // From avoids leadership: its disk is unhealthy, or it is about to end
	Messages  []consensus.Message
	Joins     []Join
	Leaves    []DecommissionRequest
	Releases  []DecommissionApproval
}

// Sender sends envelopes to the Receive of other processes' engines. Send must not block; the envelope belongs to the
// Sender from then on.
type Sender interface {
	Send(address string, envelope *Envelope)
}

// Options configure an Engine.
type Options struct {
	FileSystem vfs.FS
	Dir        string // a folder that nothing else uses
	Groups     map[GroupID]StateMachine
	Self       consensus.Member // Node, Zone and Address; the ID is read from the disk

	// Bootstrap has the internal addresses of the initial members of all groups, the same list in each of these
	// processes, at the very first start of the system. It must be empty at every other start.
	Bootstrap []string
	Peers     []string // internal addresses to which requests to join are sent
	DiskBytes int64    // size of the disk in bytes, of which at most half is used; 0: 128 MiB

	Sender Sender
	Clock  clockwork.Clock // nil: the system's clock
	Logger log.Logger      // nil: none

	HeartbeatInterval time.Duration // 0: 100 ms
	ElectionTimeout   time.Duration // 0: 1 s
	Seed              uint64        // of the randomized election timeouts

	// newMemberID returns a new, unique identity; nil: a random one. Tests replace it.
	newMemberID func() (consensus.MemberID, error)
}

const (
	defaultDiskBytes         = 128 << 20
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultElectionTimeout   = time.Second
)

func (o Options) withDefaults() Options {
	if o.DiskBytes <= 0 {
		o.DiskBytes = defaultDiskBytes
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.ElectionTimeout <= 0 {
		o.ElectionTimeout = defaultElectionTimeout
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.newMemberID == nil {
		o.newMemberID = randomMemberID
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}

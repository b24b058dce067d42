// Package replica runs the members of replica groups in one process: it gives the pure cores of internal/cluster/consensus
// their disk, timers and links. One goroutine, the loop, owns all groups and their state machines; one more writes to
// the disk, so that all groups share one sync. It also keeps the membership: processes whose disk is empty join as
// learners and take the place of members that were lost.
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

// StateMachine is what a group replicates. All calls come from the loop.
type StateMachine interface {
	// Apply carries out a committed command and returns its result, for the proposer if it is in this process.
	Apply(index, term uint64, data []byte) any
	// Snapshot returns the whole state. The slice is the engine's from then on.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an earlier Snapshot's, from this member or another.
	Restore(data []byte) error
}

// LeadershipObserver is a StateMachine that wants to know when it leads. Leading is called once the member is leader and
// an entry of its own term is applied, Following when that ends.
type LeadershipObserver interface {
	Leading(term uint64)
	Following()
}

// TransferDeferrer is a StateMachine that wants to keep its leadership while something is under way that a successor would
// have to begin anew. It is asked only before a leadership moves so that all processes lead alike; one that is given away
// because this process ends, or its disk is sick, is not kept.
type TransferDeferrer interface {
	DefersTransfer() bool
}

// Join asks a group's leader to take a process in, or to correct what the group knows of it.
type Join struct {
	Group     GroupID
	Member    consensus.Member
	Forwarded bool // by a member that is not the leader; not forwarded again
}

// Envelope is what one process sends another in one turn of its loop. It is one-way and may be lost, or come twice.
type Envelope struct {
	From      consensus.MemberID
	Address   string // internal address of From
	Reluctant bool   // From does not want to lead: its disk is sick, or it ends soon
	Messages  []consensus.Message
	Joins     []Join
	Leaves    []Leave
	Releases  []Release
}

// Sender carries envelopes to other processes' Receive. Send must not wait; the envelope is the sender's from then on.
type Sender interface {
	Send(address string, envelope *Envelope)
}

// Options are what an Engine is opened with.
type Options struct {
	FileSystem vfs.FS
	Dir        string // the engine's own folder
	Groups     map[GroupID]StateMachine
	Self       consensus.Member // Node, Zone and Address; the ID is the disk's

	// Bootstrap has the internal addresses of the first members of all groups, the same everywhere, at the very first
	// start of the whole system; else it is empty.
	Bootstrap []string
	Peers     []string // internal addresses to ask for joining
	DiskBytes int64    // size of the disk, of which at most half is used; 0: 128 MB

	Sender Sender
	Clock  clockwork.Clock // nil: the real one
	Logger log.Logger      // nil: none

	HeartbeatInterval time.Duration // 0: 100 ms
	ElectionTimeout   time.Duration // 0: 1 s
	Seed              uint64        // of election times

	// draw draws a new identity; nil: from the system's randomness. Tests replace it.
	draw func() (consensus.MemberID, error)
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
	if o.draw == nil {
		o.draw = drawID
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}

// Package replica runs one process's members of several Raft groups. It surrounds the Raft library
// internal/cluster/consensus with a disk, timers and network links, applies committed entries to state machines, and
// maintains the membership of the groups: a process with an empty disk joins as a learner, and replaces a voter that was
// lost.
//
// # Goroutines
//
// One goroutine, the loop of Engine.Run, owns all groups and their state machines. A second one appends to the log on
// the disk, so that all groups share one sync. Any goroutine may call Engine.Receive, Engine.Do and Engine.Self. All
// other methods of an open engine must be called on the loop: by a state machine, or by a function given to Engine.Do.
//
// # Guarantees
//
//   - A message that depends on an entry, a vote or a term is sent only after that is synced to disk.
//   - A command is on the disks of a quorum before its proposer gets a result.
//   - A state machine gets the committed commands of its group in the order of the log.
//
// Callers must allow for the following:
//
//   - A command may still be applied after its proposer got failure.UnknownOutcome.
//   - The Sender may lose or duplicate envelopes.
//   - If a state machine cannot restore a snapshot of its group, the engine ends.
package replica

import (
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
)

// GroupID identifies a replica group.
type GroupID = uint32

// StateMachine is the state that a group replicates. All calls come from the loop. Apply must be deterministic: two
// members that applied the same entries must have the same state.
type StateMachine interface {
	// Apply applies a committed command and returns its result. If this process proposed the command, the engine passes
	// the result to the proposer.
	Apply(index, term uint64, data []byte) any
	// Snapshot returns the complete state, encoded. The caller may keep the slice, so it must not be modified afterwards.
	Snapshot() ([]byte, error)
	// Restore replaces the state with the state that this or another member encoded by Snapshot. An error ends the engine.
	Restore(data []byte) error
}

// LeadershipObserver is an optional interface of a StateMachine, which the engine notifies of leadership.
type LeadershipObserver interface {
	// Leading is called once this member leads the group and has applied an entry of its own term. From then on its state
	// includes all entries that earlier leaders committed (Raft thesis, section 6.4).
	Leading(term uint64)
	// Following is called when the leadership that Leading announced ends.
	Following()
}

// TransferDeferrer is an optional interface of a StateMachine. It can defer a transfer of its group's leadership while
// work is in progress that the next leader would have to start again. The engine asks only before a transfer that
// balances leaderships over the processes, not if the process resigns or its disk is unhealthy.
type TransferDeferrer interface {
	// DefersTransfer reports whether the leadership should stay here for now.
	DefersTransfer() bool
}

// Join asks a group's leader to add a process to the group, or to correct the node, zone or address of a member. It is
// part of Envelope, which gob encodes: the names of the fields are the wire format.
type Join struct {
	Group     GroupID
	Member    consensus.Member
	Forwarded bool // a member that does not lead forwarded the request; it is not forwarded a second time
}

// Envelope has all messages and requests that a process sends to another process in one step of its loop. It has no
// response, and may be lost or duplicated. It is encoded by gob: the field names of Envelope and of all types that it
// contains are the wire format.
type Envelope struct {
	From      consensus.MemberID
	Address   string // internal address of From
	Reluctant bool   // From avoids leadership: its disk is unhealthy, or it is about to end
	Messages  []consensus.Message
	Joins     []Join
	Leaves    []DecommissionRequest  // From asks whether it may end without returning
	Releases  []DecommissionApproval // responses to the receiver's Leaves
}

// Sender sends envelopes to other processes, which pass them to Engine.Receive. Send must not block. The caller must not
// use the envelope after the call.
type Sender interface {
	Send(address string, envelope *Envelope)
}

// Options configure an Engine.
type Options struct {
	FileSystem vfs.FS
	Dir        string // folder for the log, the snapshots and the identity; no other code may use it
	Groups     map[GroupID]StateMachine
	Self       consensus.Member // this process's Node, Zone and Address; its ID is read from the disk

	// Bootstrap lists the internal addresses of the initial members of all groups. At the first start of the system each
	// of these processes must be given the same list. At every other start it must be empty. A process in the list becomes
	// an initial member only if its disk is empty.
	Bootstrap []string
	Peers     []string // internal addresses of processes to which this one sends requests to join
	DiskBytes int64    // size of the disk in bytes; the engine uses at most half; 0 selects 128 MiB

	Sender Sender
	Clock  clockwork.Clock // nil selects the system's clock
	Logger log.Logger      // nil disables logging

	HeartbeatInterval time.Duration // 0 selects 100 ms
	ElectionTimeout   time.Duration // 0 selects 1 s
	Seed              uint64        // seed of the randomized election timeouts

	// newMemberID returns an ID that no process has ever had; nil selects random IDs. A Driver and tests set it.
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

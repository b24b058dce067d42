package cluster

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/simulation"
)

// observer wraps a state machine and compares between the replicas of a group what they apply, and the states that they
// come to. What differs is added to Cluster.divergences.
type observer struct {
	replica.StateMachine
	leadership replica.LeadershipObserver
	process    *process
	group      replica.GroupID
	index      uint64 // of the last command applied; 0: none since the start, or since a snapshot was restored
}

// The engine finds these by type assertion: a wrapper that lacks one hides that of the state machine without an error.
var (
	_ replica.LeadershipObserver = (*observer)(nil)
	_ replica.TransferDeferrer   = (*observer)(nil)
	_ replica.Digester           = (*observer)(nil)
)

// observe returns a state machine with its observer.
func (c *Cluster) observe(p *process, group replica.GroupID, machine replica.StateMachine) replica.StateMachine {
	leadership, _ := machine.(replica.LeadershipObserver)
	return &observer{StateMachine: machine, leadership: leadership, process: p, group: group}
}

// Leading passes on that the replica leads.
func (o *observer) Leading(term uint64) {
	if o.leadership != nil {
		o.leadership.Leading(term)
	}
}

// Following passes on that the replica does not lead any more.
func (o *observer) Following() {
	if o.leadership != nil {
		o.leadership.Following()
	}
}

// digestInterval is the number of entries between two comparisons of states.
const digestInterval = 32

// Apply applies a committed command.
func (o *observer) Apply(index, term uint64, data []byte) any {
	result := o.StateMachine.Apply(index, term, data)
	c := o.process.cluster
	c.checkApplied(o.process, o.group, index, term, data)
	o.index = index
	if index%digestInterval == 0 {
		o.compareState()
	}
	return result
}

// Snapshot returns the complete state.
func (o *observer) Snapshot() ([]byte, error) {
	data, err := o.StateMachine.Snapshot()
	if err == nil {
		o.process.cluster.checkState(o.process, o.group, o.index, data)
	}
	return data, err
}

// Restore replaces the complete state. A snapshot of it must be the same as the one that it was restored from.
func (o *observer) Restore(data []byte) error {
	if err := o.StateMachine.Restore(data); err != nil {
		return err
	}
	o.index = 0
	c := o.process.cluster
	c.snapshotsRestored++
	restored, err := o.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	if digest(restored) != digest(data) {
		c.diverged("group %d: the state restored at %s is not that of the snapshot", o.group, o.process.machine.Name)
	}
	return nil
}

// DefersTransfer reports whether the wrapped state machine wants to keep its leadership for now.
func (o *observer) DefersTransfer() bool {
	deferrer, ok := o.StateMachine.(replica.TransferDeferrer)
	return ok && deferrer.DefersTransfer()
}

// Digest returns the state machine's own digest of its state.
func (o *observer) Digest() uint64 { return o.StateMachine.(replica.Digester).Digest() }

// compareState compares the state with those of the other replicas at the same index.
func (o *observer) compareState() {
	if _, err := o.Snapshot(); err != nil {
		panic(err)
	}
}

// diverged records a difference between replicas.
func (c *Cluster) diverged(format string, args ...any) {
	c.divergences = append(c.divergences, fmt.Sprintf(format, args...))
}

// logPosition is a position in a group's log.
type logPosition struct {
	group replica.GroupID
	index uint64
}

// appliedEntry is what the first replica that got to a position applied there.
type appliedEntry struct {
	term   uint64
	digest uint64 // of the entry's data
	by     string
}

// checkApplied compares what a replica applies with what others applied at the same index.
func (c *Cluster) checkApplied(p *process, group replica.GroupID, index, term uint64, data []byte) {
	key, entry := logPosition{group, index}, appliedEntry{term, digest(data), p.machine.Name}
	before, ok := c.appliedEntries[key]
	if !ok {
		c.appliedEntries[key] = entry
		return
	}
	if before.term != term || before.digest != entry.digest {
		c.diverged("group %d index %d: %s applied term %d, %s applied term %d", group, index, before.by, before.term, entry.by, term)
	}
}

// checkState compares a replica's state with those of others after the same entry.
func (c *Cluster) checkState(p *process, group replica.GroupID, index uint64, state []byte) {
	if index == 0 {
		return
	}
	key, found := logPosition{group, index}, digest(state)
	before, ok := c.stateDigests[key]
	switch {
	case !ok:
		c.stateDigests[key] = stateDigest{found, p.machine.Name}
	case before.digest != found:
		c.diverged("group %d index %d: %s and %s have different states", group, index, before.by, p.machine.Name)
	}
}

// stateDigest is the state of the first replica that was compared after an entry.
type stateDigest struct {
	digest uint64
	by     string
}

func digest(data []byte) uint64 {
	return xxhash.Sum64(data)
}

// diskIncarnation is the disk of a machine from one wipe to the next.
type diskIncarnation struct {
	machine *simulation.Machine
	wipes   int
}

// checkIdentity checks that a process is the same member as the one before it if the disk was not lost.
func (c *Cluster) checkIdentity(p *process) {
	key, id := diskIncarnation{p.machine, p.machine.Disk.Wipes()}, p.engine.Self().ID
	if before, ok := c.identities[key]; ok && before != id {
		c.diverged("%s: member %x has taken its disk for lost and is %x", p.machine.Name, uint64(before), uint64(id))
	}
	c.identities[key] = id
}

package cluster

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/simulation"
)

// observer stands between an engine and a state machine: it compares what the replicas of a group apply, and the states
// that they come to.
type observer struct {
	replica.StateMachine
	leadership replica.LeadershipObserver
	process    *process
	group      replica.GroupID
	index      uint64 // of the newest command applied here; 0: none since the start, or since a snapshot was restored
}

// The engine finds these by type assertion: a wrapper that lacks one hides that of the state machine without an error.
var (
	_ replica.LeadershipObserver = (*observer)(nil)
	_ replica.TransferDeferrer   = (*observer)(nil)
	_ replica.Digester           = (*observer)(nil)
)

func (c *Cluster) observe(p *process, group replica.GroupID, machine replica.StateMachine) replica.StateMachine {
	leadership, _ := machine.(replica.LeadershipObserver)
	return &observer{StateMachine: machine, leadership: leadership, process: p, group: group}
}

func (o *observer) Leading(term uint64) {
	if o.leadership != nil {
		o.leadership.Leading(term)
	}
}

func (o *observer) Following() {
	if o.leadership != nil {
		o.leadership.Following()
	}
}

// digestInterval is the number of entries from one comparison of states to the next.
const digestInterval = 32

// Apply carries out a committed command.
func (o *observer) Apply(index, term uint64, data []byte) any {
	result := o.StateMachine.Apply(index, term, data)
	c := o.process.cluster
	c.checkApplied(o.process, o.group, index, term, data)
	o.index = index
	if index%digestInterval == 0 {
		o.digest()
	}
	return result
}

// Snapshot returns the whole state.
func (o *observer) Snapshot() ([]byte, error) {
	data, err := o.StateMachine.Snapshot()
	if err == nil {
		o.process.cluster.checkState(o.process, o.group, o.index, data)
	}
	return data, err
}

// Restore replaces the whole state, which must be the one of the snapshot from then on.
func (o *observer) Restore(data []byte) error {
	if err := o.StateMachine.Restore(data); err != nil {
		return err
	}
	o.index = 0
	c := o.process.cluster
	c.snapshotsRestored++
	again, err := o.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	if digest(again) != digest(data) {
		c.divergences = append(c.divergences, fmt.Sprintf("group %d: the state restored at %s is not that of the snapshot", o.group,
			o.process.machine.Name))
	}
	return nil
}

// DefersTransfer reports whether the wrapped state machine wants to keep its leadership for now.
func (o *observer) DefersTransfer() bool {
	deferrer, ok := o.StateMachine.(replica.TransferDeferrer)
	return ok && deferrer.DefersTransfer()
}

// Digest tells in short what the state holds.
func (o *observer) Digest() uint64 { return o.StateMachine.(replica.Digester).Digest() }

// digest compares the state with those of the other replicas at the same index.
func (o *observer) digest() {
	if _, err := o.Snapshot(); err != nil {
		panic(err)
	}
}

// logPosition is where a replica applied an entry.
type logPosition struct {
	group replica.GroupID
	index uint64
}

type appliedEntry struct {
	term   uint64
	digest uint64 // of the entry's data
	by     string
}

// checkApplied notes where two replicas apply different entries at one index.
func (c *Cluster) checkApplied(p *process, group replica.GroupID, index, term uint64, data []byte) {
	key, entry := logPosition{group, index}, appliedEntry{term, digest(data), p.machine.Name}
	before, ok := c.appliedEntries[key]
	if !ok {
		c.appliedEntries[key] = entry
		return
	}
	if before.term != term || before.digest != entry.digest {
		c.divergences = append(c.divergences, fmt.Sprintf("group %d index %d: %s applied term %d, %s applied term %d",
			group, index, before.by, before.term, entry.by, term))
	}
}

// checkState notes where two replicas have different states after the same entry.
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
		c.divergences = append(c.divergences, fmt.Sprintf("group %d index %d: %s and %s have different states", group, index,
			before.by, p.machine.Name))
	}
}

type stateDigest struct {
	digest uint64
	by     string
}

func digest(data []byte) uint64 {
	return xxhash.Sum64(data)
}

// diskIncarnation is one disk of a machine, until it is wiped.
type diskIncarnation struct {
	machine *simulation.Machine
	wipes   int
}

// checkIdentity notes where a process takes the place of the one before it though the disk has not been lost.
func (c *Cluster) checkIdentity(p *process) {
	key, id := diskIncarnation{p.machine, p.machine.Disk.Wipes()}, p.engine.Self().ID
	if before, ok := c.identities[key]; ok && before != id {
		c.divergences = append(c.divergences, fmt.Sprintf("%s: member %x has taken its disk for lost and is %x", p.machine.Name,
			uint64(before), uint64(id)))
	}
	c.identities[key] = id
}

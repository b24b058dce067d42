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

// digestEvery is the number of entries from one comparison of states to the next.
const digestEvery = 32

// Apply carries out a committed command.
func (o *observer) Apply(index, term uint64, data []byte) any {
	result := o.StateMachine.Apply(index, term, data)
	c := o.process.cluster
	c.checkApplied(o.process, o.group, index, term, data)
	o.index = index
	if index%digestEvery == 0 {
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
	c.restored++
	again, err := o.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	if digest(again) != digest(data) {
		c.diverged = append(c.diverged, fmt.Sprintf("group %d: the state restored at %s is not that of the snapshot", o.group,
			o.process.machine.Name))
	}
	return nil
}

// The engine finds optional interfaces by assertion at run time: without this a method of another name is no error.
var _ replica.TransferDeferrer = (*observer)(nil)

// DefersTransfer reports whether the state machine wants to keep its leadership for now.
func (o *observer) DefersTransfer() bool {
	keeper, ok := o.StateMachine.(replica.TransferDeferrer)
	return ok && keeper.DefersTransfer()
}

// Digest tells in short what the state holds.
func (o *observer) Digest() uint64 { return o.StateMachine.(replica.Digester).Digest() }

// digest compares the state with those of the other replicas at the same index.
func (o *observer) digest() {
	if _, err := o.Snapshot(); err != nil {
		panic(err)
	}
}

// applied is where a replica applied an entry.
type applied struct {
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
	key, entry := applied{group, index}, appliedEntry{term, digest(data), p.machine.Name}
	before, ok := c.applied[key]
	if !ok {
		c.applied[key] = entry
		return
	}
	if before.term != term || before.digest != entry.digest {
		c.diverged = append(c.diverged, fmt.Sprintf("group %d index %d: %s applied term %d, %s applied term %d",
			group, index, before.by, before.term, entry.by, term))
	}
}

// checkState notes where two replicas have different states after the same entry.
func (c *Cluster) checkState(p *process, group replica.GroupID, index uint64, state []byte) {
	if index == 0 {
		return
	}
	key, found := applied{group, index}, digest(state)
	before, ok := c.states[key]
	switch {
	case !ok:
		c.states[key] = stateDigest{found, p.machine.Name}
	case before.digest != found:
		c.diverged = append(c.diverged, fmt.Sprintf("group %d index %d: %s and %s have different states", group, index,
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

// diskLife is one disk of a machine, until it is wiped.
type diskLife struct {
	machine *simulation.Machine
	wipes   int
}

// checkIdentity notes where a process takes the place of the one before it though the disk has not been lost.
func (c *Cluster) checkIdentity(p *process) {
	key, id := diskLife{p.machine, p.machine.Disk.Wipes()}, p.engine.Self().ID
	if before, ok := c.identities[key]; ok && before != id {
		c.diverged = append(c.diverged, fmt.Sprintf("%s: member %x has taken its disk for lost and is %x", p.machine.Name,
			uint64(before), uint64(id)))
	}
	c.identities[key] = id
}

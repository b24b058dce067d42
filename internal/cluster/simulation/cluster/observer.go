package cluster

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/simulation"
)

// observer wraps the state machine of one replica and compares the replicas of a group with each other. All replicas must
// apply the same entry at the same index of the log, and must have the same state after the same entry. Differences are
// added to Cluster.divergences.
type observer struct {
	replica.StateMachine
	leadership replica.LeadershipObserver
	process    *process
	group      replica.GroupID
	index      uint64 // of the last command applied since the start or the last Restore; 0: none
}

// The engine finds these optional interfaces by type assertions. If the wrapper lacked such an interface, the engine
// would treat the state machine as lacking it too, without an error.
var (
	_ replica.LeadershipObserver = (*observer)(nil)
	_ replica.TransferDeferrer   = (*observer)(nil)
	_ replica.Digester           = (*observer)(nil)
)

// observe returns an observer that wraps the state machine of a process's replica of a group.
func (c *Cluster) observe(p *process, group replica.GroupID, machine replica.StateMachine) replica.StateMachine {
	leadership, _ := machine.(replica.LeadershipObserver)
	return &observer{StateMachine: machine, leadership: leadership, process: p, group: group}
}

// Leading tells the wrapped state machine that its replica leads the group in a term.
func (o *observer) Leading(term uint64) {
	if o.leadership != nil {
		o.leadership.Leading(term)
	}
}

// Following tells the wrapped state machine that its replica no longer leads the group.
func (o *observer) Following() {
	if o.leadership != nil {
		o.leadership.Following()
	}
}

// digestInterval is the number of log entries from one comparison of states to the next.
const digestInterval = 32

// Apply applies a committed command to the wrapped state machine, and compares the command with the other replicas'
// command. At indexes that are multiples of digestInterval it compares the state too.
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

// Snapshot returns a snapshot of the wrapped state machine and compares it with other replicas' snapshots at the same index.
func (o *observer) Snapshot() ([]byte, error) {
	data, err := o.StateMachine.Snapshot()
	if err == nil {
		o.process.cluster.checkState(o.process, o.group, o.index, data)
	}
	return data, err
}

// Restore replaces the state by a snapshot's state. It records a divergence unless a new snapshot of the restored state has
// the same bytes as the original snapshot.
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
		c.recordDivergence("group %d: the state that %s restored differs from the snapshot", o.group, o.process.machine.Name)
	}
	return nil
}

// DefersTransfer reports whether the wrapped state machine defers a transfer of its leadership.
func (o *observer) DefersTransfer() bool {
	deferrer, ok := o.StateMachine.(replica.TransferDeferrer)
	return ok && deferrer.DefersTransfer()
}

// Digest returns the digest that the wrapped state machine computes of its state. It panics if that is not a
// replica.Digester, which all state machines of control processes are.
func (o *observer) Digest() uint64 { return o.StateMachine.(replica.Digester).Digest() }

// compareState calls Snapshot to compare the state with other replicas' states at the same index. It panics if the state
// can't be encoded.
func (o *observer) compareState() {
	if _, err := o.Snapshot(); err != nil {
		panic(err)
	}
}

// recordDivergence adds a formatted message to the divergences, which make the run fail.
func (c *Cluster) recordDivergence(format string, args ...any) {
	c.divergences = append(c.divergences, fmt.Sprintf(format, args...))
}

// logPosition identifies an entry of a group's log.
type logPosition struct {
	group replica.GroupID
	index uint64
}

// appliedEntry describes the entry that the first replica to reach a log position applied there.
type appliedEntry struct {
	term   uint64
	digest uint64 // of the entry's data
	by     string // name of that replica's machine
}

// checkApplied records a divergence if the entry that a replica applies has another term or other data than the entry that
// the first replica applied at the same index.
func (c *Cluster) checkApplied(p *process, group replica.GroupID, index, term uint64, data []byte) {
	key, entry := logPosition{group, index}, appliedEntry{term, digest(data), p.machine.Name}
	before, ok := c.appliedEntries[key]
	if !ok {
		c.appliedEntries[key] = entry
		return
	}
	if before.term != term || before.digest != entry.digest {
		c.recordDivergence("group %d index %d: %s applied term %d, %s applied term %d", group, index, before.by, before.term, entry.by, term)
	}
}

// checkState records a divergence if a replica's state differs from the first state that was recorded for the same group and
// index. Index 0 means that the index of the state is unknown; such a state is not compared.
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
		c.recordDivergence("group %d index %d: %s and %s have different states", group, index, before.by, p.machine.Name)
	}
}

// stateDigest describes the state of the first replica that was compared at a log position.
type stateDigest struct {
	digest uint64 // of the state's snapshot
	by     string // name of that replica's machine
}

// digest returns a hash with which data is compared.
func digest(data []byte) uint64 {
	return xxhash.Sum64(data)
}

// diskIncarnation identifies a machine's disk between two losses of its contents.
type diskIncarnation struct {
	machine *simulation.Machine
	wipes   int // number of times that the machine's disk was lost before
}

// checkIdentity records a divergence if a process has another member ID than the previous process on the same disk. A
// member must keep its ID, and with it its votes, unless its disk was lost.
func (c *Cluster) checkIdentity(p *process) {
	key, id := diskIncarnation{p.machine, p.machine.Disk.Wipes()}, p.engine.Self().ID
	if before, ok := c.identities[key]; ok && before != id {
		c.recordDivergence("%s: member %x restarted as member %x although its disk was not lost", p.machine.Name, uint64(before), uint64(id))
	}
	c.identities[key] = id
}

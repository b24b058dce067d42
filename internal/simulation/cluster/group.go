package cluster

import (
	"time"

	"ospreypond/internal/consensus"
	"ospreypond/internal/failure"
)

// machine is what a group replicates.
type machine interface {
	Apply(index, term uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	Leading(term uint64)
	Following()
}

type proposal struct {
	term uint64
	done func(result any, err error)
}

type confirmation struct {
	asked, until time.Duration
	done         func(err error)
}

const (
	confirmWait   = time.Second
	snapshotEvery = 300 // entries between two snapshots of a group
)

// group is one process's member of one replica group.
type group struct {
	id          uint32
	process     *process
	node        *consensus.Node
	machine     machine
	applied     uint64
	appliedTerm uint64
	leading     uint64 // term in which Leading was called; 0: not leading
	proposals   map[uint64]proposal
	confirms    []confirmation
	joiners     map[consensus.MemberID]consensus.Member
	asked       time.Duration // when the last confirmation was asked for
}

func (g *group) propose(data []byte, done func(result any, err error)) {
	index, term, err := g.node.Propose(g.process.now, data)
	if err != nil {
		done(nil, failure.New(failure.NotLeader, err.Error()))
		return
	}
	g.proposals[index] = proposal{term, done}
}

// confirm calls done once a quorum has answered a round that was asked for after this call.
func (g *group) confirm(done func(err error)) {
	now := g.process.now
	if !g.node.Status().IsLeader {
		done(failure.New(failure.NotLeader, "not the leader"))
		return
	}
	g.confirms = append(g.confirms, confirmation{asked: now, until: now + confirmWait, done: done})
	g.node.Confirm(now)
}

func (g *group) settleConfirms() {
	if len(g.confirms) == 0 {
		return
	}
	status := g.node.Status()
	now := g.process.now
	waiting := g.confirms
	g.confirms = nil
	wanted := false
	for _, c := range waiting {
		switch {
		case !status.IsLeader:
			c.done(failure.New(failure.NotLeader, "leadership was lost"))
		case status.Ready && status.ConfirmedAt > c.asked:
			c.done(nil)
		case now >= c.until:
			c.done(failure.New(failure.NotLeader, "leadership could not be confirmed"))
		default:
			g.confirms = append(g.confirms, c)
			wanted = true
		}
	}
	if wanted && now > g.asked {
		g.asked = now
		g.node.Confirm(now)
	}
}

// carryOut does what the member wants.
func (g *group) carryOut(output consensus.Output) {
	p := g.process
	if output.Snapshot != nil {
		if err := g.machine.Restore(output.Snapshot.Data); err != nil {
			panic(err)
		}
		g.applied, g.appliedTerm = output.Snapshot.Index, output.Snapshot.Term
		g.forgetProposals()
	}
	if output.HardState != nil || output.Snapshot != nil || len(output.Entries) > 0 {
		p.batch = append(p.batch, diskRecord{group: g.id, hard: output.HardState, snapshot: output.Snapshot, entries: output.Entries})
	}
	p.post(output.Immediate)
	p.deferred = append(p.deferred, output.Deferred...)
	for i := range output.Committed {
		g.apply(&output.Committed[i])
	}
}

func (g *group) apply(entry *consensus.Entry) {
	g.applied, g.appliedTerm = entry.Index, entry.Term
	var result any
	if entry.Kind == consensus.EntryCommand {
		result = g.machine.Apply(entry.Index, entry.Term, entry.Data)
		g.process.cluster.checkApplied(g.process, g.id, entry)
	}
	waiting, ok := g.proposals[entry.Index]
	if !ok {
		return
	}
	delete(g.proposals, entry.Index)
	if waiting.term != entry.Term {
		waiting.done(nil, failure.New(failure.NotLeader, "another entry took the place"))
		return
	}
	waiting.done(result, nil)
}

func (g *group) forgetProposals() {
	if len(g.proposals) == 0 {
		return
	}
	for _, index := range sortedKeys(g.proposals) {
		waiting := g.proposals[index]
		delete(g.proposals, index)
		waiting.done(nil, failure.New(failure.UnknownOutcome, "leadership was lost with the entry in doubt"))
	}
}

// watchLeadership tells the machine when it begins and ceases to lead.
func (g *group) watchLeadership() {
	status := g.node.Status()
	if g.leading != 0 && (!status.IsLeader || status.Term != g.leading) {
		g.leading = 0
		g.machine.Following()
	}
	if !status.IsLeader {
		g.forgetProposals()
	}
	if g.leading == 0 && status.Ready {
		g.leading = status.Term
		g.machine.Leading(status.Term)
	}
}

// snapshotIfLong writes a snapshot beside the log once the log is long, and drops what it covers.
func (g *group) snapshotIfLong() {
	status := g.node.Status()
	if status.FirstIndex > g.applied || g.applied-status.FirstIndex < snapshotEvery {
		return
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		panic(err)
	}
	snapshot := &consensus.Snapshot{Index: g.applied, Term: g.appliedTerm, Members: g.node.MembersAt(g.applied), Data: data}
	if g.process.keepSnapshot(g.id, snapshot) {
		g.node.Compact(g.applied)
	}
}

// sendSnapshots helps members that can go on only from a snapshot.
func (g *group) sendSnapshots() {
	for _, id := range g.node.NeedSnapshot() {
		data, err := g.machine.Snapshot()
		if err != nil {
			panic(err)
		}
		g.node.SendSnapshot(g.process.now, id, consensus.Snapshot{Index: g.applied, Term: g.appliedTerm,
			Members: g.node.MembersAt(g.applied), Data: data})
	}
}

package replica

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
)

const (
	maxAppendBytes     = 256 << 10 // about how much one append carries
	maxInflight        = 16        // appends to one member that may be unanswered
	snapshotPieceBytes = 256 << 10 // how much of a snapshot one message carries
)

// group is this process's member of one group.
type group struct {
	engine   *Engine
	id       GroupID
	machine  StateMachine
	observer LeadershipObserver // nil: the machine does not want to know
	node     *consensus.Node

	appliedIndex uint64
	appliedTerm  uint64
	leadingTerm  uint64 // the term in which the machine was told that it leads; 0: it does not
	hardState    consensus.HardState

	proposals []proposal // in the order of their indexes, all of one term
	confirms  []confirmation
	digests   []digestRequest

	newestIndex uint64 // of the newest entry that was handed to the disk
	newestTerm  uint64
	dirtyWork   uint64 // number of the newest work for the disk with anything of this group
	hardWork    uint64 // the same, with a hard state

	snapshots    snapshotState
	joiners      map[consensus.MemberID]joiner
	catchUps     map[consensus.MemberID]*catchUp // of the members, while this process leads
	leaderSeenAt time.Duration                   // when there was last a leader
	handedOverAt time.Duration                   // when leadership was last offered to another
}

func newGroup(e *Engine, id GroupID, machine StateMachine, restored consensus.Restored) *group {
	g := &group{engine: e, id: id, machine: machine, hardState: restored.HardState}
	g.observer, _ = machine.(LeadershipObserver)
	g.node = consensus.New(consensus.Config{
		Group:              id,
		ID:                 e.self.ID,
		Seed:               e.options.Seed,
		HeartbeatInterval:  e.options.HeartbeatInterval,
		ElectionTimeout:    e.options.ElectionTimeout,
		MaxAppendBytes:     maxAppendBytes,
		MaxInflight:        maxInflight,
		SnapshotChunkBytes: snapshotPieceBytes,
	}, restored, e.now)
	if restored.Snapshot != nil {
		g.appliedIndex, g.appliedTerm = restored.Snapshot.Index, restored.Snapshot.Term
	}
	g.newestIndex, g.newestTerm = g.appliedIndex, g.appliedTerm
	if count := len(restored.Entries); count > 0 {
		g.newestIndex, g.newestTerm = restored.Entries[count-1].Index, restored.Entries[count-1].Term
	}
	g.snapshots.begin(g.appliedIndex, restored.Entries)
	g.joiners = map[consensus.MemberID]joiner{}
	g.catchUps = map[consensus.MemberID]*catchUp{}
	e.peers.learn(g.node.Status().Members, e.now)
	return g
}

// carryOut does what the node wants, in the order that consensus.Output asks for.
func (g *group) carryOut(output consensus.Output) {
	if output.Snapshot != nil {
		g.install(output.Snapshot)
	}
	g.engine.writer.add(g, &output)
	if output.HardState != nil {
		g.hardState = *output.HardState
	}
	if output.Snapshot != nil || hasMembership(output.Entries) {
		g.engine.peers.learn(g.node.Status().Members, g.engine.now)
	}
	for i := range output.Immediate {
		g.engine.outbox.message(&output.Immediate[i])
	}
	for i := range output.Committed {
		g.apply(&output.Committed[i])
	}
}

func hasMembership(entries []consensus.Entry) bool {
	for i := range entries {
		if entries[i].Kind == consensus.EntryMembership {
			return true
		}
	}
	return false
}

// install puts a leader's snapshot in place of the machine's state.
func (g *group) install(snapshot *consensus.Snapshot) {
	if err := g.machine.Restore(snapshot.Data); err != nil {
		g.engine.failed = errors.Wrapf(err, "restore group %d at %d", g.id, snapshot.Index)
		return
	}
	g.appliedIndex, g.appliedTerm = snapshot.Index, snapshot.Term
	g.snapshots.begin(snapshot.Index, nil)
	g.settleDigests()
	_ = level.Info(g.engine.options.Logger).Log("msg", "snapshot installed", "group", g.id, "index", snapshot.Index,
		"bytes", len(snapshot.Data))
}

// apply hands a committed entry to the machine, and its result to the proposer if that is here.
func (g *group) apply(entry *consensus.Entry) {
	g.appliedIndex, g.appliedTerm = entry.Index, entry.Term
	if entry.Kind == consensus.EntryMembership {
		g.engine.manage = g.engine.now // the next change need not wait
	}
	if entry.Kind == consensus.EntryCommand {
		result := g.machine.Apply(entry.Index, entry.Term, entry.Data)
		g.settleProposal(entry, result)
	}
	if len(g.digests) > 0 {
		g.settleDigests()
	}
}

// watchLeadership tells the machine, and whoever waits, what became of the leadership. It tells whether anything did.
func (g *group) watchLeadership() bool {
	status := g.node.Status()
	if status.Leader != consensus.None {
		g.leaderSeenAt = g.engine.now
	}
	changed := false
	if g.leadingTerm != 0 && (!status.IsLeader || status.Term != g.leadingTerm) {
		g.stopLeading()
		changed = true
	}
	if g.leadingTerm == 0 && status.IsLeader && status.Ready {
		g.startLeading(status.Term)
		changed = true
	}
	return changed
}

func (g *group) startLeading(term uint64) {
	g.leadingTerm = term
	clear(g.joiners)
	clear(g.catchUps)
	_ = level.Info(g.engine.options.Logger).Log("msg", "leading", "group", g.id, "term", term)
	if g.observer != nil {
		g.observer.Leading(term)
	}
}

func (g *group) stopLeading() {
	term := g.leadingTerm
	g.leadingTerm = 0
	_ = level.Info(g.engine.options.Logger).Log("msg", "leading no more", "group", g.id, "term", term)
	g.failProposals()
	g.failConfirms()
	if g.observer != nil {
		g.observer.Following()
	}
}

// abandon answers all that waits when the engine ends.
func (g *group) abandon() {
	g.failDigests()
	if g.leadingTerm != 0 {
		g.stopLeading()
	}
	g.failProposals()
	g.failConfirms()
}

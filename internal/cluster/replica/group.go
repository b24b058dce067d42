package replica

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
)

const (
	maxAppendBytes     = 256 << 10 // of entries in one append, approximately
	maxInflight        = 16        // unanswered appends to one member
	snapshotChunkBytes = 256 << 10 // of a snapshot in one message, at most
)

// group is this process's member of one group.
type group struct {
	engine   *Engine
	id       GroupID
	machine  StateMachine
	observer LeadershipObserver // nil: the machine is none
	node     *consensus.Node

	appliedIndex uint64
	appliedTerm  uint64
	leadingTerm  uint64 // the term in which the machine leads and was notified of it; 0: it does not lead
	hardState    consensus.HardState

	proposals     []proposal // by rising index, all of one term
	confirmations []confirmation
	digests       []digestRequest

	submittedIndex     uint64 // of the newest entry that was submitted to the disk
	submittedTerm      uint64
	lastWrite          uint64 // number of the newest disk write with anything of this group
	lastHardStateWrite uint64 // number of the newest disk write with a hard state of this group

	snapshots      snapshotState
	joiners        map[consensus.MemberID]joiner
	catchUps       map[consensus.MemberID]*catchUp // of the members, while this process leads
	leaderSeenAt   time.Duration                   // when a leader was last known
	lastTransferAt time.Duration                   // when a leadership transfer was last started; 0: never
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
		SnapshotChunkBytes: snapshotChunkBytes,
	}, restored, e.now)
	if restored.Snapshot != nil {
		g.appliedIndex, g.appliedTerm = restored.Snapshot.Index, restored.Snapshot.Term
	}
	g.submittedIndex, g.submittedTerm = g.appliedIndex, g.appliedTerm
	if count := len(restored.Entries); count > 0 {
		g.submittedIndex, g.submittedTerm = restored.Entries[count-1].Index, restored.Entries[count-1].Term
	}
	g.snapshots.reset(g.appliedIndex, restored.Entries)
	g.joiners = map[consensus.MemberID]joiner{}
	g.catchUps = map[consensus.MemberID]*catchUp{}
	e.peers.learnAddresses(g.node.Status().Members, e.now)
	return g
}

// applyOutput carries out a node's output, in the order that consensus.Output requires.
func (g *group) applyOutput(output consensus.Output) {
	if output.Snapshot != nil {
		g.install(output.Snapshot)
	}
	g.engine.writer.add(g, &output)
	if output.HardState != nil {
		g.hardState = *output.HardState
	}
	if output.Snapshot != nil || hasMembership(output.Entries) {
		g.engine.peers.learnAddresses(g.node.Status().Members, g.engine.now)
	}
	for i := range output.Immediate {
		g.engine.outbox.addMessage(&output.Immediate[i])
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

// install replaces the machine's state by a leader's snapshot.
func (g *group) install(snapshot *consensus.Snapshot) {
	if err := g.machine.Restore(snapshot.Data); err != nil {
		g.engine.failed = errors.Wrapf(err, "restore group %d at %d", g.id, snapshot.Index)
		return
	}
	g.appliedIndex, g.appliedTerm = snapshot.Index, snapshot.Term
	g.snapshots.reset(snapshot.Index, nil)
	g.resolveDigests()
	_ = level.Info(g.engine.options.Logger).Log("msg", "snapshot installed", "group", g.id, "index", snapshot.Index,
		"bytes", len(snapshot.Data))
}

// apply applies a committed entry to the machine, and passes the result to the proposer if that is in this process.
func (g *group) apply(entry *consensus.Entry) {
	g.appliedIndex, g.appliedTerm = entry.Index, entry.Term
	if entry.Kind == consensus.EntryMembership {
		g.engine.maintainAt = g.engine.now // the next membership change may be due
	}
	if entry.Kind == consensus.EntryCommand {
		result := g.machine.Apply(entry.Index, entry.Term, entry.Data)
		g.resolveProposal(entry, result)
	}
	if len(g.digests) > 0 {
		g.resolveDigests()
	}
}

// updateLeadership notifies the machine, and fails pending calls, when this member became the leader or lost
// leadership. It reports whether either happened.
func (g *group) updateLeadership() bool {
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
	_ = level.Info(g.engine.options.Logger).Log("msg", "no longer leading", "group", g.id, "term", term)
	g.failProposals()
	g.failConfirmations()
	if g.observer != nil {
		g.observer.Following()
	}
}

// failPending fails all pending calls of the group when the engine ends.
func (g *group) failPending() {
	g.failDigests()
	if g.leadingTerm != 0 {
		g.stopLeading()
	}
	g.failProposals()
	g.failConfirmations()
}

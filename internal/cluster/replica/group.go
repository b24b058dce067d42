package replica

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
)

const (
	maxAppendBytes     = 256 << 10 // about how many bytes of entries one append message has at most
	maxInflight        = 16        // how many appends to one member may be unacknowledged at once
	snapshotChunkBytes = 256 << 10 // how many bytes of a snapshot one message has at most
)

// group is this process's member of one group.
type group struct {
	engine   *Engine
	id       GroupID
	machine  StateMachine
	observer LeadershipObserver // the machine, or nil if it is no LeadershipObserver
	node     *consensus.Node

	appliedIndex uint64 // index of the newest entry that was applied to the machine, or that its snapshot covers
	appliedTerm  uint64 // term of that entry
	leadingTerm  uint64 // term in which this member leads, set when the machine is notified; 0 if it does not lead
	hardState    consensus.HardState

	proposals     []proposal // by rising index, all of one term
	confirmations []confirmation
	digests       []digestRequest

	submittedIndex     uint64 // index of the newest entry that was given to the writer
	submittedTerm      uint64 // term of that entry
	lastWrite          uint64 // number of the newest disk write that has anything of this group
	lastHardStateWrite uint64 // number of the newest disk write that has a hard state of this group

	snapshots      snapshotState
	joiners        map[consensus.MemberID]joiner   // requests to join that this leader has not granted yet
	catchUps       map[consensus.MemberID]*catchUp // how far this leader's members have caught up
	leaderSeenAt   time.Duration                   // when this member last knew a leader
	lastTransferAt time.Duration                   // when a leadership transfer was last started; 0 if none was
}

// newGroup starts a group's node from the state on the disk. The caller restores the machine.
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

// applyOutput carries out a node's output, in the order that consensus.Output requires: it installs the snapshot, gives
// the writer the snapshot, hard state and entries, sends the messages that don't depend on the disk, and applies committed
// entries.
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

// hasMembership reports whether one of the entries changes the membership.
func hasMembership(entries []consensus.Entry) bool {
	for i := range entries {
		if entries[i].Kind == consensus.EntryMembership {
			return true
		}
	}
	return false
}

// install replaces the machine's state with the snapshot that a leader has sent. An error ends the engine.
func (g *group) install(snapshot *consensus.Snapshot) {
	if err := g.machine.Restore(snapshot.Data); err != nil {
		g.engine.failed = errors.Wrapf(err, "restore group %d from the leader's snapshot at index %d", g.id, snapshot.Index)
		return
	}
	g.appliedIndex, g.appliedTerm = snapshot.Index, snapshot.Term
	g.snapshots.reset(snapshot.Index, nil)
	g.resolveDigests()
	_ = level.Info(g.engine.options.Logger).Log("msg", "snapshot installed", "group", g.id, "index", snapshot.Index,
		"bytes", len(snapshot.Data))
}

// apply applies a committed entry to the machine. If this process proposed the entry, it passes the result to the proposer.
func (g *group) apply(entry *consensus.Entry) {
	g.appliedIndex, g.appliedTerm = entry.Index, entry.Term
	if entry.Kind == consensus.EntryMembership {
		g.engine.maintainAt = g.engine.now // the next change of the membership may be possible now
	}
	if entry.Kind == consensus.EntryCommand {
		result := g.machine.Apply(entry.Index, entry.Term, entry.Data)
		g.resolveProposal(entry, result)
	}
	if len(g.digests) > 0 {
		g.resolveDigests()
	}
}

// updateLeadership checks whether this member has become the leader or has lost leadership. If so, it notifies the
// machine and returns true. When leadership is lost it also fails the pending calls that need it.
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

// startLeading starts the leadership of this member in a term, and notifies the machine.
func (g *group) startLeading(term uint64) {
	g.leadingTerm = term
	clear(g.joiners)
	clear(g.catchUps)
	_ = level.Info(g.engine.options.Logger).Log("msg", "leading", "group", g.id, "term", term)
	if g.observer != nil {
		g.observer.Leading(term)
	}
}

// stopLeading ends the leadership of this member: it fails the calls that need leadership, and notifies the machine.
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

// failPending fails all pending calls of the group. The engine calls it when it ends.
func (g *group) failPending() {
	g.failDigests()
	if g.leadingTerm != 0 {
		g.stopLeading()
	}
	g.failProposals()
	g.failConfirmations()
}

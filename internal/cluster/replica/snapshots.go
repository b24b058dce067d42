package replica

import (
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica/wal"
)

// The bounds of the log. Shares are of Options.DiskBytes.
const (
	segmentShare    = 64
	minSegmentBytes = 64 << 10
	maxSegmentBytes = 2 << 20

	minGroupLogBytes = 1 << 20 // a group's log that is longer is replaced by a snapshot, unless that is large
	groupLogShare    = 16
	wholeLogShare    = 8  // more than this of log, and the groups that keep the oldest segment are snapshotted
	maxSegments      = 24 // the same

	trailingBytes    = 256 << 10 // entries kept in memory before a snapshot, for members that are a little behind or silent
	heldBytes        = 4 << 20   // entries kept in memory at most for members that are fed or take a snapshot
	entryOverhead    = 32        // about what an entry takes besides its data, in bytes
	snapshotRetry    = 5 * time.Second
	transferInterval = time.Second // between two snapshots made for members that need one
)

// snapshotState is when a group is to be snapshotted.
type snapshotState struct {
	index      uint64 // of the newest snapshot on disk
	size       int    // its bytes, if it was made here
	logBytes   int64  // of the entries after it
	retryAt    time.Duration
	transferAt time.Duration // when one may next be made for another member
}

// begin starts from a snapshot and the entries after it.
func (s *snapshotState) begin(index uint64, entries []consensus.Entry) {
	s.index = index
	s.logBytes = 0
	s.grew(entries)
}

func (s *snapshotState) grew(entries []consensus.Entry) {
	for i := range entries {
		s.logBytes += int64(len(entries[i].Data) + entryOverhead)
	}
}

// bound is how many bytes of log a group may have.
func (s *snapshotState) bound(diskBytes int64) int64 {
	most := max(diskBytes/groupLogShare, minSegmentBytes)
	return min(max(minGroupLogBytes, 2*int64(s.size)), most)
}

// superintend does what a group needs now and then.
func (g *group) superintend() {
	g.settleDigests()
	if g.engine.reluctant() {
		g.node.SetCampaignAllowed(g.mayCampaign())
	}
	if !g.node.Status().IsLeader {
		return
	}
	g.sendSnapshots()
	g.reviewMembership()
}

// sendSnapshots makes a snapshot for the members that can go on only from one.
func (g *group) sendSnapshots() {
	now := g.engine.now
	if now < g.snapshots.transferAt || g.appliedIndex == 0 {
		return
	}
	needing := g.node.NeedSnapshot()
	if len(needing) == 0 {
		return
	}
	g.snapshots.transferAt = now + transferInterval
	data, err := g.machine.Snapshot()
	if err != nil {
		g.logSnapshot(err)
		return
	}
	snapshot := consensus.Snapshot{
		Index:   g.appliedIndex,
		Term:    g.appliedTerm,
		Members: g.node.MembersAt(g.appliedIndex),
		Data:    data,
	}
	for _, id := range needing {
		g.node.SendSnapshot(now, id, snapshot)
	}
}

// keepDiskSmall replaces a log that is too long by a snapshot, one group at a time.
func (e *Engine) keepDiskSmall() {
	if e.writing {
		return
	}
	for _, g := range e.groups {
		if g.snapshots.logBytes > g.snapshots.bound(e.options.DiskBytes) && g.snapshot() {
			return
		}
	}
	figures := &e.writer.figures
	if figures.logBytes <= e.options.DiskBytes/wholeLogShare && figures.segments <= maxSegments {
		return
	}
	for _, id := range figures.pinning {
		if g := e.byID[id]; g != nil && g.snapshot() {
			return
		}
	}
}

// snapshot begins to write the machine's state to disk. It tells false if there is nothing new, or it failed lately.
func (g *group) snapshot() bool {
	e := g.engine
	if g.appliedIndex <= g.snapshots.index || e.now < g.snapshots.retryAt {
		return false
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		g.snapshots.retryAt = e.now + snapshotRetry
		g.logSnapshot(err)
		return false
	}
	snapshot := &consensus.Snapshot{
		Index:   g.appliedIndex,
		Term:    g.appliedTerm,
		Members: g.node.MembersAt(g.appliedIndex),
		Data:    data,
	}
	covered := g.snapshots.logBytes
	e.writing = true
	e.background(func() func() {
		err := wal.WriteSnapshot(e.options.FileSystem, e.options.Dir, g.id, snapshot)
		return func() { g.snapshotWritten(snapshot, covered, err) }
	})
	return true
}

// snapshotWritten lets the log before a snapshot go.
func (g *group) snapshotWritten(snapshot *consensus.Snapshot, covered int64, err error) {
	g.engine.writing = false
	if err != nil {
		g.snapshots.retryAt = g.engine.now + snapshotRetry
		g.logSnapshot(err)
		return
	}
	g.engine.writer.pending.batch.Compact(g.id, snapshot.Index, snapshot.Term)
	if snapshot.Index <= g.snapshots.index {
		return // one from the leader came in between
	}
	entries := snapshot.Index - g.snapshots.index
	g.snapshots.index = snapshot.Index
	g.snapshots.size = len(snapshot.Data)
	g.snapshots.logBytes -= covered
	g.node.Compact(min(snapshot.Index-min(trailingEntries(entries, covered), entries), g.node.RetainFrom(heldBytes)))
}

// trailingEntries is how many entries before a snapshot stay in memory.
func trailingEntries(entries uint64, bytes int64) uint64 {
	mean := max(uint64(bytes)/max(entries, 1), 1)
	return trailingBytes / mean
}

func (g *group) logSnapshot(err error) {
	_ = level.Error(g.engine.options.Logger).Log("msg", "snapshot failed", "group", g.id, "err", err)
}

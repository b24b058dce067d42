package replica

import (
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica/wal"
)

// Bounds of the log. Options.DiskBytes is divided by the divisors.
const (
	segmentDivisor  = 64
	minSegmentBytes = 64 << 10
	maxSegmentBytes = 2 << 20

	// A group's log that is longer than minGroupLogBytes is replaced by a snapshot, unless that is large; one that is
	// longer than the disk's groupLogDivisor-th part is in any case.
	minGroupLogBytes = 1 << 20
	groupLogDivisor  = 16
	// With more log than the disk's totalLogDivisor-th part, or more segments than maxSegments, the groups that pin the
	// oldest segment are snapshotted.
	totalLogDivisor = 8
	maxSegments     = 24

	// trailingBytes is how much of the entries before a snapshot stays in memory, for members that are a little behind.
	trailingBytes = 256 << 10
	// maxRetainedBytes bounds what stays in memory for members to which entries or a snapshot are being sent.
	maxRetainedBytes = 4 << 20
	// entryOverhead is about how many bytes an entry takes besides its data.
	entryOverhead = 32
	// snapshotRetryInterval is the time between two attempts of a snapshot that fails.
	snapshotRetryInterval = 5 * time.Second
	// snapshotSendInterval is the time between two snapshots that are made to be sent to members.
	snapshotSendInterval = time.Second
)

// snapshotState decides when a group is snapshotted.
type snapshotState struct {
	index    uint64 // of the newest snapshot on disk
	size     int    // its length in bytes, if this process made it
	logBytes int64  // of the entries after it
	retryAt  time.Duration
	sendAt   time.Duration // when a snapshot may next be made to be sent
}

// reset starts from a snapshot and the entries after it.
func (s *snapshotState) reset(index uint64, entries []consensus.Entry) {
	s.index = index
	s.logBytes = 0
	s.addEntries(entries)
}

func (s *snapshotState) addEntries(entries []consensus.Entry) {
	for i := range entries {
		s.logBytes += int64(len(entries[i].Data) + entryOverhead)
	}
}

// maxLogBytes returns how many bytes of log the group may have before it is snapshotted.
func (s *snapshotState) maxLogBytes(diskBytes int64) int64 {
	limit := max(diskBytes/groupLogDivisor, minSegmentBytes)
	return min(max(minGroupLogBytes, 2*int64(s.size)), limit)
}

// sendSnapshots makes a snapshot for the members that lack entries which are not in the log any more.
func (g *group) sendSnapshots() {
	now := g.engine.now
	if now < g.snapshots.sendAt || g.appliedIndex == 0 {
		return
	}
	recipients := g.node.MembersNeedingSnapshot()
	if len(recipients) == 0 {
		return
	}
	g.snapshots.sendAt = now + snapshotSendInterval
	snapshot, err := g.takeSnapshot()
	if err != nil {
		g.logSnapshot(err)
		return
	}
	for _, id := range recipients {
		g.node.SendSnapshot(now, id, *snapshot)
	}
}

// takeSnapshot returns a snapshot of the machine's present state.
func (g *group) takeSnapshot() (*consensus.Snapshot, error) {
	data, err := g.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	return &consensus.Snapshot{
		Index:   g.appliedIndex,
		Term:    g.appliedTerm,
		Members: g.node.MembersAt(g.appliedIndex),
		Data:    data,
	}, nil
}

// compactLogs replaces a log that is too long by a snapshot, one group at a time.
func (e *Engine) compactLogs() {
	if e.writingSnapshot {
		return
	}
	for _, g := range e.groups {
		if g.snapshots.logBytes > g.snapshots.maxLogBytes(e.options.DiskBytes) && g.startSnapshot() {
			return
		}
	}
	usage := &e.writer.usage
	if usage.logBytes <= e.options.DiskBytes/totalLogDivisor && usage.segments <= maxSegments {
		return
	}
	for _, id := range usage.pinning {
		if g := e.byID[id]; g != nil && g.startSnapshot() {
			return
		}
	}
}

// startSnapshot starts to write the machine's state to disk. It reports whether it did: not if nothing was applied
// since the newest snapshot, or a snapshot failed lately.
func (g *group) startSnapshot() bool {
	e := g.engine
	if g.appliedIndex <= g.snapshots.index || e.now < g.snapshots.retryAt {
		return false
	}
	snapshot, err := g.takeSnapshot()
	if err != nil {
		g.snapshots.retryAt = e.now + snapshotRetryInterval
		g.logSnapshot(err)
		return false
	}
	covered := g.snapshots.logBytes
	e.writingSnapshot = true
	e.background(func() func() {
		err := wal.WriteSnapshot(e.options.FileSystem, e.options.Dir, g.id, snapshot)
		return func() { g.finishSnapshot(snapshot, covered, err) }
	})
	return true
}

// finishSnapshot drops the log that a snapshot covers once that is written.
func (g *group) finishSnapshot(snapshot *consensus.Snapshot, covered int64, err error) {
	g.engine.writingSnapshot = false
	if err != nil {
		g.snapshots.retryAt = g.engine.now + snapshotRetryInterval
		g.logSnapshot(err)
		return
	}
	g.engine.writer.pending.batch.Compact(g.id, snapshot.Index, snapshot.Term)
	if snapshot.Index <= g.snapshots.index {
		return // a leader's snapshot was installed in the meantime
	}
	entries := snapshot.Index - g.snapshots.index
	g.snapshots.index = snapshot.Index
	g.snapshots.size = len(snapshot.Data)
	g.snapshots.logBytes -= covered
	g.node.Compact(min(snapshot.Index-min(trailingEntries(entries, covered), entries), g.node.RetainAfter(maxRetainedBytes)))
}

// trailingEntries returns how many entries before a snapshot stay in memory.
func trailingEntries(entries uint64, bytes int64) uint64 {
	mean := max(uint64(bytes)/max(entries, 1), 1)
	return trailingBytes / mean
}

func (g *group) logSnapshot(err error) {
	_ = level.Error(g.engine.options.Logger).Log("msg", "snapshot failed", "group", g.id, "err", err)
}

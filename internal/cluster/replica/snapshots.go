package replica

import (
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica/wal"
)

// Bounds of the log on disk. The divisors divide Options.DiskBytes.
const (
	// A segment is full at DiskBytes/segmentDivisor, but not below minSegmentBytes and not above maxSegmentBytes.
	segmentDivisor  = 64
	minSegmentBytes = 64 << 10
	maxSegmentBytes = 2 << 20

	// A group's log is replaced with a snapshot once it is longer than minGroupLogBytes and than twice the group's last
	// snapshot, so that large states are not written too often. A log longer than DiskBytes/groupLogDivisor is replaced in
	// any case.
	minGroupLogBytes = 1 << 20
	groupLogDivisor  = 16
	// If all logs together are longer than DiskBytes/totalLogDivisor, or there are more segments than maxSegments, the logs
	// of the groups that prevent the removal of the oldest segment are replaced with snapshots.
	totalLogDivisor = 8
	maxSegments     = 24
)

// Bounds of the entries in memory, and times of snapshots.
const (
	// trailingBytes is about how many bytes of entries before a snapshot stay in memory. A member that lacks only these gets
	// them in place of the snapshot.
	trailingBytes = 256 << 10
	// maxRetainedBytes limits the bytes of entries that stay in memory because a member is being sent them, or is being sent
	// a snapshot that precedes them.
	maxRetainedBytes = 4 << 20
	// entryOverhead is about how many bytes an entry needs in addition to its data.
	entryOverhead = 32
	// snapshotRetryInterval is the time from a failed attempt to snapshot a group to the next attempt.
	snapshotRetryInterval = 5 * time.Second
	// snapshotSendInterval is the time after which a group's leader may make another snapshot to send to members.
	snapshotSendInterval = time.Second
)

// snapshotState decides when a group's log is replaced with a snapshot, and when a snapshot may be made for other members.
type snapshotState struct {
	index    uint64        // index of the newest snapshot on disk
	size     int           // length in bytes of the newest snapshot that this process made and wrote to disk; 0 if none
	logBytes int64         // about how many bytes the entries after the snapshot need
	retryAt  time.Duration // no snapshot is written to disk before this, after one has failed
	sendAt   time.Duration // no snapshot is made to be sent before this
}

// reset starts from a snapshot on disk and the entries after it.
func (s *snapshotState) reset(index uint64, entries []consensus.Entry) {
	s.index = index
	s.logBytes = 0
	s.addEntries(entries)
}

// addEntries adds the lengths of entries that are appended to the log.
func (s *snapshotState) addEntries(entries []consensus.Entry) {
	for i := range entries {
		s.logBytes += int64(len(entries[i].Data) + entryOverhead)
	}
}

// maxLogBytes returns how many bytes of log the group may have before a snapshot replaces it: minGroupLogBytes or twice
// the last snapshot, whichever is more, but at most DiskBytes/groupLogDivisor.
func (s *snapshotState) maxLogBytes(diskBytes int64) int64 {
	limit := max(diskBytes/groupLogDivisor, minSegmentBytes)
	return min(max(minGroupLogBytes, 2*int64(s.size)), limit)
}

// sendSnapshots makes a snapshot, and starts to send it to the members that lack entries which the log in memory no longer
// has.
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

// takeSnapshot returns a snapshot of the machine's current state, with the membership as of the same index.
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

// compactLogs replaces the log of one group with a snapshot if it is too long. If no group's own log is too long, but all
// together are, it chooses a group that prevents the removal of the oldest segment. Only one snapshot is written at a
// time.
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

// startSnapshot starts to write a snapshot of the machine's state to disk, and reports whether it did. It does not start
// if no entry was applied since the newest snapshot on disk, if the last attempt failed less than snapshotRetryInterval
// ago, or if the machine cannot make a snapshot now.
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

// finishSnapshot handles the outcome of writing a snapshot. After a success it compacts the log on disk up to the snapshot,
// and the log in memory up to an index somewhat before it. covered is the length in bytes of the log that the snapshot
// covers.
//
// The log in memory keeps about trailingBytes before the snapshot. It also keeps all entries after the index that
// Node.RetainAfter returns, since members still need them.
func (g *group) finishSnapshot(snapshot *consensus.Snapshot, covered int64, err error) {
	g.engine.writingSnapshot = false
	if err != nil {
		g.snapshots.retryAt = g.engine.now + snapshotRetryInterval
		g.logSnapshot(err)
		return
	}
	g.engine.writer.pending.batch.Compact(g.id, snapshot.Index, snapshot.Term)
	if snapshot.Index <= g.snapshots.index {
		return // a newer snapshot of a leader was installed while this one was written
	}
	entries := snapshot.Index - g.snapshots.index
	g.snapshots.index = snapshot.Index
	g.snapshots.size = len(snapshot.Data)
	g.snapshots.logBytes -= covered
	g.node.Compact(min(snapshot.Index-min(trailingEntries(entries, covered), entries), g.node.RetainAfter(maxRetainedBytes)))
}

// trailingEntries returns how many entries of average length have trailingBytes. entries and bytes are the number of
// entries and their total length, which give the average.
func trailingEntries(entries uint64, bytes int64) uint64 {
	mean := max(uint64(bytes)/max(entries, 1), 1)
	return trailingBytes / mean
}

// logSnapshot logs that a snapshot could not be made or written.
func (g *group) logSnapshot(err error) {
	_ = level.Error(g.engine.options.Logger).Log("msg", "snapshot failed", "group", g.id, "err", err)
}

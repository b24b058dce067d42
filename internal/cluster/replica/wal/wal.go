// Package wal is a process's write-ahead log: one log in segments for all replica groups of the process, snapshots in
// files of their own beside it, and the process's identity. As in etcd's package of this name, entries and hard states
// must be appended before messages that depend on them are sent.
//
// A batch reaches the disk with one write and one sync, and counts completely or not at all. After Append has returned
// nil the batch is durable; after an error none of it counts. Open removes the torn end that a loss of power leaves,
// but reports every other difference from what was written as a *DamageError.
//
// A Log must not be used by two goroutines at once; WriteSnapshot may run beside it.
package wal

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
)

// Options configure a Log.
type Options struct {
	SegmentBytes int64 // a segment that has grown to this is followed by a new one
}

// DamageError reports that synced data is not what was written: the disk cannot be trusted.
type DamageError struct {
	File   string // base name
	Offset int64  // in bytes, at or before the damage
	Reason string // for operators
}

// Error names the file, the offset in bytes and what is wrong there.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Group is what the disk has of one group.
type Group struct {
	HardState consensus.HardState
	Snapshot  *consensus.Snapshot // nil: none yet
	Entries   []consensus.Entry   // those after the snapshot, without gaps
}

// Log is an open log.
type Log struct {
	files    vfs.FS
	dir      string
	options  Options
	file     vfs.File // of the newest segment; nil: the next write starts a new one
	sequence uint64   // of the next batch
	segments []*segment
	states   map[uint32]*groupState
	obsolete []string // names of snapshots that are not needed any more
	unsynced []byte   // frames of an earlier process's last batch, which may never have been synced
}

// groupState is what the log repeats of a group at the start of each segment.
type groupState struct {
	hard          consensus.HardState
	snapshotIndex uint64
	snapshotTerm  uint64
}

func (s *groupState) hasSnapshot() bool { return s.snapshotIndex > 0 }

// Append writes the batch with one sync. After an error none of it counts, and what was written is not trusted: the
// next Append starts a new segment, whose header has the length of the previous one that counts. The same batch may be
// appended again. The first Append also syncs again what Open read of the last batch: until then that may be lost with
// the power.
func (l *Log) Append(batch *Batch) error {
	if batch.Empty() {
		return nil
	}
	if err := l.prepareSegment(); err != nil {
		return err
	}
	newest := l.segments[len(l.segments)-1]
	data := batch.seal(l.sequence)
	if err := writeSynced(l.file, data, newest.size); err != nil {
		l.closeFile()
		return errors.Wrapf(err, "segment %s", segmentName(newest.number))
	}
	newest.size += int64(len(data))
	l.sequence++
	for i := range batch.frames {
		l.record(&batch.frames[i])
	}
	return nil
}

// prepareSegment starts a new segment if none is open or the newest is full.
func (l *Log) prepareSegment() error {
	if l.file != nil && l.segments[len(l.segments)-1].size < l.options.SegmentBytes {
		return nil
	}
	l.closeFile()
	number, previousEnd := uint64(1), int64(0)
	if len(l.segments) > 0 {
		previous := l.segments[len(l.segments)-1]
		number, previousEnd = previous.number+1, previous.size
	}
	first := l.baseBatch().seal(l.sequence)
	first = append(segmentHeader(number, previousEnd), first...)
	file, err := createSegment(l.files, l.dir, number, first)
	if err != nil {
		return err
	}
	l.sequence++
	l.file = file
	l.segments = append(l.segments, newSegment(number, int64(len(first))))
	return l.recordUnsynced()
}

// baseBatch returns the first batch of a segment. It repeats each group's hard state and snapshot, so that older
// segments can be removed, and an earlier process's last batch.
func (l *Log) baseBatch() *Batch {
	batch := &Batch{}
	for _, group := range sortedGroups(l.states) {
		state := l.states[group]
		if state.hasSnapshot() {
			batch.Compact(group, state.snapshotIndex, state.snapshotTerm)
		}
		batch.HardState(group, state.hard)
	}
	batch.reserveHeader()
	batch.buffer = append(batch.buffer, l.unsynced...)
	return batch
}

// recordUnsynced records that the newest segment has an earlier process's last batch.
func (l *Log) recordUnsynced() error {
	carried := l.unsynced
	l.unsynced = nil
	return decodeFrames(carried, func(n frameInfo, _ consensus.Entry) { l.record(&n) })
}

// closeFile closes the newest segment; the next write starts a new one.
func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

func (l *Log) groupState(group uint32) *groupState {
	state := l.states[group]
	if state == nil {
		state = &groupState{}
		l.states[group] = state
	}
	return state
}

// record records a frame that is on disk.
func (l *Log) record(n *frameInfo) {
	state := l.groupState(n.group)
	switch n.kind {
	case frameHardState:
		state.hard = n.hard
	case frameEntry:
		l.recordEntry(n)
	case frameInstall, frameCompact:
		l.recordSnapshot(n)
	}
}

// recordEntry updates the segments' highest indexes: an entry replaces those at the same and higher indexes.
func (l *Log) recordEntry(n *frameInfo) {
	newest := l.segments[len(l.segments)-1]
	for _, segment := range l.segments {
		if segment.highest[n.group] >= n.index {
			segment.highest[n.group] = n.index - 1
		}
	}
	newest.highest[n.group] = n.index
}

// Release removes the oldest segments and the snapshots that are not needed any more. It returns the number of files.
// Files that it fails to remove are removed by a later Release or Open.
func (l *Log) Release() (int, error) {
	removed := 0
	for len(l.segments) > 1 && len(l.pinningGroups(l.segments[0])) == 0 {
		name := filepath.Join(l.dir, segmentName(l.segments[0].number))
		if err := l.files.Remove(name); err != nil {
			return removed, errors.Wrapf(err, "remove %s", name)
		}
		l.segments = l.segments[1:]
		removed++
	}
	more, err := l.removeSnapshots()
	return removed + more, err
}

// pinningGroups returns the groups that have entries in a segment which their snapshots do not cover, sorted.
func (l *Log) pinningGroups(s *segment) []uint32 {
	var groups []uint32
	for group, highest := range s.highest {
		if highest > l.groupState(group).snapshotIndex {
			groups = append(groups, group)
		}
	}
	slices.Sort(groups)
	return groups
}

// PinningGroups returns the groups whose entries prevent the removal of the oldest segment, sorted. The newest segment
// is never removed.
func (l *Log) PinningGroups() []uint32 {
	if len(l.segments) < 2 {
		return nil
	}
	return l.pinningGroups(l.segments[0])
}

// Segments returns the number of segments.
func (l *Log) Segments() int { return len(l.segments) }

// Bytes returns the length of all segments.
func (l *Log) Bytes() int64 {
	total := int64(0)
	for _, segment := range l.segments {
		total += segment.size
	}
	return total
}

// Close closes the log's file. Everything that was appended is on disk already.
func (l *Log) Close() { l.closeFile() }

// Package wal is the log of a process on disk: one log in segments for all replica groups of the process, snapshots in
// files of their own beside it, and the process's identity. Each batch reaches the disk with one write and one sync, and
// counts as a whole or not at all. Nothing here is safe for use by two goroutines at once, except as said.
package wal

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
)

// Options are what a Log can be told.
type Options struct {
	SegmentBytes int64 // a segment that is longer is followed by a new one
}

// DamageError says that synced data is not what was written. The disk cannot be trusted.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the offset in bytes and what is wrong there.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Group is what the disk holds of one group.
type Group struct {
	HardState consensus.HardState
	Snapshot  *consensus.Snapshot // nil: none yet
	Entries   []consensus.Entry   // those that follow the snapshot
}

// Log is the open log.
type Log struct {
	files    vfs.FS
	dir      string
	options  Options
	file     vfs.File // of the newest segment; nil: the next write starts a new one
	sequence uint64   // of the next batch
	segments []*segment
	states   map[uint32]*groupState
	obsolete []string // files of snapshots that nothing needs any more
	carried  []byte   // frames of the last batch of an earlier process, which may never have been synced
}

// groupState is what the log repeats for a group at the start of each segment.
type groupState struct {
	hard          consensus.HardState
	snapshotIndex uint64
	snapshotTerm  uint64
}

func (s *groupState) hasSnapshot() bool { return s.snapshotIndex > 0 }

// Append writes the batch with one sync. After an error nothing of it counts, and what was written is not trusted: the
// next Append starts a new segment, which says where the one before it ends. The same batch may be given again. The first
// Append also makes sure of what Open read: until then that may be lost with the power.
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
		l.abandonFile()
		return errors.Wrapf(err, "segment %s", segmentName(newest.number))
	}
	newest.size += int64(len(data))
	l.sequence++
	for i := range batch.notes {
		l.remember(&batch.notes[i])
	}
	return nil
}

// prepareSegment starts a new segment if there is none to write to or the newest is full.
func (l *Log) prepareSegment() error {
	if l.file != nil && l.segments[len(l.segments)-1].size < l.options.SegmentBytes {
		return nil
	}
	l.abandonFile()
	number, previousEnd := uint64(1), int64(0)
	if len(l.segments) > 0 {
		previous := l.segments[len(l.segments)-1]
		number, previousEnd = previous.number+1, previous.size
	}
	first := l.base().seal(l.sequence)
	first = append(segmentHeader(number, previousEnd), first...)
	file, err := createSegment(l.files, l.dir, number, first)
	if err != nil {
		return err
	}
	l.sequence++
	l.file = file
	l.segments = append(l.segments, newSegment(number, int64(len(first))))
	return l.takeCarried()
}

// base is a segment's first batch. It repeats each group's hard state and snapshot, so that older segments can go, and has
// what an earlier process wrote last.
func (l *Log) base() *Batch {
	batch := &Batch{}
	for _, group := range sortedGroups(l.states) {
		state := l.states[group]
		if state.hasSnapshot() {
			batch.Compact(group, state.snapshotIndex, state.snapshotTerm)
		}
		batch.HardState(group, state.hard)
	}
	batch.reserve()
	batch.buffer = append(batch.buffer, l.carried...)
	return batch
}

// takeCarried notes that the newest segment has what was carried over.
func (l *Log) takeCarried() error {
	carried := l.carried
	l.carried = nil
	return decodeFrames(carried, func(n note, _ consensus.Entry) { l.remember(&n) })
}

func (l *Log) abandonFile() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

func (l *Log) state(group uint32) *groupState {
	state := l.states[group]
	if state == nil {
		state = &groupState{}
		l.states[group] = state
	}
	return state
}

// remember takes note of a frame that is on disk.
func (l *Log) remember(n *note) {
	state := l.state(n.group)
	switch n.kind {
	case frameHardState:
		state.hard = n.hard
	case frameEntry:
		l.rememberEntry(n)
	case frameInstall, frameCompact:
		l.rememberSnapshot(n)
	}
}

// rememberEntry notes the newest segment's highest index, and that what the entry replaces counts no more.
func (l *Log) rememberEntry(n *note) {
	newest := l.segments[len(l.segments)-1]
	for _, segment := range l.segments {
		if segment.highest[n.group] >= n.index {
			segment.highest[n.group] = n.index - 1
		}
	}
	newest.highest[n.group] = n.index
}

// Release removes the oldest segments and the snapshots that nothing needs any more. It returns the files' number; an
// error leaves files that the next Release or Open removes.
func (l *Log) Release() (int, error) {
	removed := 0
	for len(l.segments) > 1 && len(l.pinning(l.segments[0])) == 0 {
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

func (l *Log) pinning(s *segment) []uint32 {
	var groups []uint32
	for group, highest := range s.highest {
		if highest > l.state(group).snapshotIndex {
			groups = append(groups, group)
		}
	}
	slices.Sort(groups)
	return groups
}

// Pinning returns the groups whose entries keep the oldest segment, in their order; the newest segment is never kept by any.
func (l *Log) Pinning() []uint32 {
	if len(l.segments) < 2 {
		return nil
	}
	return l.pinning(l.segments[0])
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

// Close closes the log's file. What was appended is on disk already.
func (l *Log) Close() { l.abandonFile() }

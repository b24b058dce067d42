// Package wal is the write-ahead log of one process. All replica groups of the process share one log, which is stored
// in segment files. Snapshots and the process's identity are separate files in the same folder. As with etcd's package
// of this name, the caller must append entries and hard states before it sends messages that depend on them.
//
// # Files
//
// All integers of fixed size are little-endian, all checksums are CRC-32C, and uvarints are encoded as by encoding/binary.
//
//	identity             magic (8 bytes), Identity (gob), checksum of all bytes before it (4)
//	log-N.segment        segment header, then batches; N is the segment's number in hex, consecutive from 1
//	  segment header     magic (8), number (8), valid length of the previous segment in bytes (8), checksum of these 24 (4)
//	  batch              magic (4), sequence (8), length of the frames in bytes (4), checksum (4), frames; the checksum
//	                     covers the sequence, the length and the frames
//	  frame              kind (1), group (uvarint), and by kind:
//	    hard state       term, vote, commit (uvarints)
//	    entry            index, term (uvarints), kind of entry (1), length of the data (uvarint), data
//	    install, compact index, term of the snapshot (uvarints)
//	snapshot-G-I-T.state magic (8), length of the head (4), head (gob), data, checksum of all bytes before it (4);
//	                     G, I and T are the group, index and term in hex
//	*.new                a snapshot or identity before it is renamed; Open removes it
//	damaged/             files of a damaged disk, see MoveAside
//	lock                 the lock of the process that uses the folder; this package does not touch it
//
// Sequences are consecutive across segments, starting with 1. The first batch of each segment, its base batch, repeats
// the hard state and the snapshot of every group, so that older segments can be removed.
//
// # Order of writes
//
//  1. A snapshot is written under a temporary name, synced and renamed, and the folder is synced, before a batch with its
//     Install or Compact is appended.
//  2. The header and the base batch of a new segment are synced, and so is the folder, before anything else is appended.
//  3. Append writes a batch with one write and one sync. Once it has returned nil the batch is durable. After an error
//     the log does not treat any part of the batch as written.
//  4. Segments and snapshots are removed only after the batch that makes them unnecessary is durable.
//
// # Faults of the disk
//
//   - The last batch is torn because the power failed: Open ignores it. Damage to the last batch of the newest segment
//     cannot be told apart from that, and is treated the same.
//   - The last batch is complete, but the process ended before it was synced: Open returns its content. The next Append
//     repeats the batch in a new segment, since the kernel may not have written it yet and may still lose it.
//   - A write or sync fails: the written bytes are not trusted, not even if a second sync succeeds. The next Append starts
//     a new segment, and the previous segment's valid length in its header excludes the failed batch. If the process ends
//     before that, Open returns either the complete batch or no part of it.
//   - A new segment is incomplete because the power failed while it was created: Open ignores it. No batch that is only
//     in that segment was acknowledged.
//   - Removed files reappear because the folder was not synced after their removal: Open ignores segments before a gap
//     in the numbers. It replays reappeared segments that no gap separates from the log; a newer snapshot covers their
//     entries.
//   - Any other difference that Open finds is reported as a *DamageError: a changed byte before the last batch, entries
//     missing because a segment is, or a missing or changed snapshot.
//
// At most one goroutine may use a Log at a time. WriteSnapshot may run concurrently with a Log's methods.
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
	SegmentBytes int64 // length in bytes from which on a segment is full, so that the next batch starts a new one
}

// DamageError reports that synced data has changed or is missing. The disk cannot be trusted.
type DamageError struct {
	File   string // base name of the file
	Offset int64  // position in the file in bytes, at or before the damage
	Reason string // description of the damage, for operators
}

// Error names the file, the offset in bytes and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Group is the state of one group that Open read from the disk.
type Group struct {
	HardState consensus.HardState
	Snapshot  *consensus.Snapshot // the newest snapshot; nil if there is none
	Entries   []consensus.Entry   // the entries after the snapshot, without gaps
}

// Log is an open log.
type Log struct {
	files    vfs.FS
	dir      string
	options  Options
	file     vfs.File               // file of the newest segment; nil if the next Append has to start a new segment
	sequence uint64                 // sequence of the next batch
	segments []*segment             // in the order of their numbers
	states   map[uint32]*groupState // by group
	obsolete []string               // names of snapshot files that newer snapshots have replaced
	unsynced []byte                 // frames of an earlier process's last batch, which may never have been synced
}

// groupState is the part of a group's state that the base batch of each segment repeats. A snapshotIndex of 0 stands
// for no snapshot.
type groupState struct {
	hard          consensus.HardState
	snapshotIndex uint64
	snapshotTerm  uint64
}

func (s *groupState) hasSnapshot() bool { return s.snapshotIndex > 0 }

// Append writes the batch and syncs it. It returns nil once the batch is durable.
//
// After an error the log does not have the batch, and the caller may append it again. The bytes that the failed call wrote
// are not trusted: the next Append starts a new segment, and the new header states the length up to which the previous
// segment is valid. If the process ends before that, Open may return the batch nevertheless.
//
// The first Append after Open also repeats the last batch that Open found, which an earlier process may have written
// without syncing it. Until then a power failure may still lose that batch.
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
	content := l.baseBatch().seal(l.sequence)
	content = append(segmentHeader(number, previousEnd), content...)
	file, err := createSegment(l.files, l.dir, number, content)
	if err != nil {
		return err
	}
	l.sequence++
	l.file = file
	l.segments = append(l.segments, newSegment(number, int64(len(content))))
	return l.recordUnsynced()
}

// baseBatch returns the first batch of a segment. It repeats the hard state and the snapshot of each group, so that
// older segments can be removed. After Open it also repeats the last batch of an earlier process, which may never have
// been synced.
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

// recordUnsynced records the frames of an earlier process's last batch, once the newest segment repeats them durably.
func (l *Log) recordUnsynced() error {
	frames := l.unsynced
	l.unsynced = nil
	return decodeFrames(frames, func(frame frameInfo, _ consensus.Entry) { l.record(&frame) })
}

// closeFile closes the newest segment's file. The next Append then starts a new segment.
func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// groupState returns the state of a group, which is empty for a group that the log does not have yet.
func (l *Log) groupState(group uint32) *groupState {
	state := l.states[group]
	if state == nil {
		state = &groupState{}
		l.states[group] = state
	}
	return state
}

// record updates the state in memory for a frame of the newest segment that is durable.
func (l *Log) record(frame *frameInfo) {
	state := l.groupState(frame.group)
	switch frame.kind {
	case frameHardState:
		state.hard = frame.hard
	case frameEntry:
		l.recordEntry(frame)
	case frameInstall, frameCompact:
		l.recordSnapshot(frame)
	}
}

// recordEntry updates the highest indexes of all segments for an entry in the newest one. The entry replaces the
// group's entries at the same and higher indexes in all segments: these no longer keep a segment from being removed.
func (l *Log) recordEntry(frame *frameInfo) {
	newest := l.segments[len(l.segments)-1]
	for _, segment := range l.segments {
		if segment.highest[frame.group] >= frame.index {
			segment.highest[frame.group] = frame.index - 1
		}
	}
	newest.highest[frame.group] = frame.index
}

// RemoveObsolete removes segments, starting with the oldest. It stops at the first segment with an entry that no snapshot
// covers, and never removes the newest segment. It also removes the snapshots that newer ones have replaced. It returns
// the number of removed files. A later RemoveObsolete or Open tries again to remove files that could not be removed.
func (l *Log) RemoveObsolete() (int, error) {
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

// pinningGroups returns the groups, sorted, that have an entry in the segment which their snapshot does not cover. The
// segment must not be removed while there is such a group.
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

// PinningGroups returns the groups, sorted, that prevent the removal of the oldest segment: each has an entry there
// which its snapshot does not cover. It returns none while there is only one segment, since the newest is never removed.
func (l *Log) PinningGroups() []uint32 {
	if len(l.segments) < 2 {
		return nil
	}
	return l.pinningGroups(l.segments[0])
}

// Segments returns the number of segments.
func (l *Log) Segments() int { return len(l.segments) }

// Bytes returns the valid length of all segments together, in bytes.
func (l *Log) Bytes() int64 {
	total := int64(0)
	for _, segment := range l.segments {
		total += segment.size
	}
	return total
}

// Close closes the newest segment's file. It has no data to write: every batch that Append accepted is durable already.
func (l *Log) Close() { l.closeFile() }

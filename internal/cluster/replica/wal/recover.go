package wal

import (
	"bytes"
	"encoding/binary"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
)

// Open reads the log in dir and returns it with the state of each group in the log. It creates dir if that is missing.
// A batch at the end that a power failure tore is ignored; damage before it is a *DamageError. Files that the log does
// not need are removed, among them snapshots that no batch refers to yet.
func Open(files vfs.FS, dir string, options Options) (*Log, map[uint32]*Group, error) {
	if err := files.MkdirAll(dir); err != nil {
		return nil, nil, errors.Wrapf(err, "create folder %s", dir)
	}
	names, err := files.List(dir)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "list %s", dir)
	}
	log := &Log{files: files, dir: dir, options: options, states: map[uint32]*groupState{}}
	r := &recovery{log: log, groups: map[uint32]*Group{}}
	if err := r.replay(names); err != nil {
		return nil, nil, err
	}
	if err := r.finish(names); err != nil {
		return nil, nil, err
	}
	return log, r.groups, nil
}

// recovery replays the segments for Open, from the oldest to the newest.
type recovery struct {
	log    *Log
	groups map[uint32]*Group // the states that Open returns
}

// group returns the state of a group, which is empty for a group that no frame was about yet.
func (r *recovery) group(id uint32) *Group {
	group := r.groups[id]
	if group == nil {
		group = &Group{}
		r.groups[id] = group
	}
	return group
}

// replay replays all segments that belong to the log.
func (r *recovery) replay(names []string) error {
	numbers, err := r.segmentNumbers(names)
	if err != nil {
		return err
	}
	for i, number := range numbers {
		if err := r.replaySegment(number, i == len(numbers)-1); err != nil {
			return err
		}
	}
	return nil
}

// segmentNumbers returns the numbers of the segments to replay, rising. It leaves out two kinds of segments:
//   - segments before a gap in the numbers. They were removed, but the folder was not synced before the power failed, so
//     some reappeared;
//   - segments at the end of the log that have no batch after their base batch, see hasOnlyBase.
func (r *recovery) segmentNumbers(names []string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		if number, ok := parseSegmentName(name); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	numbers = afterLastGap(numbers)
	for len(numbers) > 0 {
		unused, err := r.hasOnlyBase(numbers[len(numbers)-1])
		if err != nil {
			return nil, err
		}
		if !unused {
			break
		}
		numbers = numbers[:len(numbers)-1]
	}
	return numbers, nil
}

// afterLastGap returns the consecutive numbers at the end of a rising list.
func afterLastGap(numbers []uint64) []uint64 {
	for i := len(numbers) - 1; i > 0; i-- {
		if numbers[i-1]+1 != numbers[i] {
			return numbers[i:]
		}
	}
	return numbers
}

// hasOnlyBase reports whether the newest segment has no batch after its base batch. Such a segment may never have been
// synced, and may be incomplete. Open does not need it: the earlier segments have all that its base batch repeats, and
// Append has not accepted any batch that is only in this segment.
//
// The segment is used if its header, its base batch and a second batch are valid. If they are not, but a valid batch
// follows somewhere, the start of a used segment was damaged: that is a *DamageError.
func (r *recovery) hasOnlyBase(number uint64) (bool, error) {
	content, err := r.read(number)
	if err != nil {
		return false, err
	}
	_, isUsed := parseSegmentHeader(content, number)
	if isUsed {
		if _, base, ok := parseBatch(content[segmentHeaderSize:]); ok {
			_, _, isUsed = parseBatch(content[segmentHeaderSize+len(base):])
		} else {
			isUsed = false
		}
	}
	if isUsed {
		return false, nil
	}
	if findBatch(content, segmentHeaderSize+1, 0) >= 0 {
		return false, &DamageError{File: segmentName(number), Reason: "its first batches are not valid, but a later one is"}
	}
	return true, nil
}

// read reads the complete file of a segment.
func (r *recovery) read(number uint64) ([]byte, error) {
	name := segmentName(number)
	content, err := vfs.ReadFile(r.log.files, filepath.Join(r.log.dir, name))
	return content, errors.Wrapf(err, "read %s", name)
}

// readHeader reads a segment's header, or the complete file if that is shorter.
func (r *recovery) readHeader(number uint64) ([]byte, error) {
	name := segmentName(number)
	file, err := r.log.files.Open(filepath.Join(r.log.dir, name))
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", name)
	}
	defer func() { _ = file.Close() }() // it was only read
	header := make([]byte, segmentHeaderSize)
	count, err := file.ReadAt(header, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	return header[:count], nil
}

// replaySegment replays the next segment. newest tells whether it is the last segment.
func (r *recovery) replaySegment(number uint64, newest bool) error {
	name := segmentName(number)
	content, err := r.read(number)
	if err != nil {
		return err
	}
	if _, ok := parseSegmentHeader(content, number); !ok {
		return &DamageError{File: name, Reason: "its header is incomplete, or its magic, number or checksum is wrong"}
	}
	r.log.segments = append(r.log.segments, newSegment(number, segmentHeaderSize))
	if newest {
		return r.replayNewest(name, content)
	}
	return r.replayOlder(number, content)
}

// replayOlder replays a segment that is not the newest, up to the valid length that the header of the next segment
// states. This part was synced before the next segment was created, so an invalid batch there is damage.
func (r *recovery) replayOlder(number uint64, content []byte) error {
	name, next := segmentName(number), segmentName(number+1)
	nextHeader, err := r.readHeader(number + 1)
	if err != nil {
		return err
	}
	end, ok := parseSegmentHeader(nextHeader, number+1)
	if !ok {
		return &DamageError{File: next, Reason: "its header is incomplete, or its magic, number or checksum is wrong"}
	}
	if end > int64(len(content)) {
		return &DamageError{File: name, Offset: int64(len(content)), Reason: "it is shorter than the next segment's header states"}
	}
	content = content[:end]
	for offset := segmentHeaderSize; offset < len(content); {
		sequence, batch, ok := parseBatch(content[offset:])
		if !ok || !r.isNext(sequence) {
			return &DamageError{File: name, Offset: int64(offset), Reason: "a synced batch is not valid or out of sequence"}
		}
		if err := r.replayBatch(name, offset, batch); err != nil {
			return err
		}
		offset += len(batch)
	}
	return nil
}

// replayNewest replays the newest segment up to the first batch that is not valid or not the next in sequence. Append
// synced each batch before it wrote the next, so only the last valid batch may be unsynced; replayUnsynced handles it.
func (r *recovery) replayNewest(name string, content []byte) error {
	lastOffset, offset := segmentHeaderSize, segmentHeaderSize
	var last []byte
	for {
		sequence, batch, ok := parseBatch(content[offset:])
		if !ok || last != nil && sequence != r.log.sequence+1 || last == nil && !r.isNext(sequence) {
			break
		}
		if last != nil {
			if err := r.replayBatch(name, lastOffset, last); err != nil {
				return err
			}
		}
		r.log.sequence = sequence
		last, lastOffset = batch, offset
		offset += len(batch)
	}
	if findBatch(content, offset, r.log.sequence+1) >= 0 {
		return &DamageError{File: name, Offset: int64(offset), Reason: "a batch is not valid, but a valid one follows"}
	}
	return r.replayUnsynced(name, lastOffset, last)
}

// isNext reports whether a sequence is the expected one. The first batch that is replayed may have any sequence.
func (r *recovery) isNext(sequence uint64) bool {
	return r.log.sequence == 0 || sequence == r.log.sequence
}

// replayBatch replays a batch that was synced. It extends the segment's valid length to the end of the batch.
func (r *recovery) replayBatch(name string, offset int, batch []byte) error {
	sequence, _, _ := parseBatch(batch)
	err := decodeFrames(batch[batchHeaderSize:], func(frame frameInfo, entry consensus.Entry) {
		r.applyFrame(&frame, entry)
		r.log.record(&frame)
	})
	if err != nil {
		return &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
	}
	r.log.sequence = sequence + 1
	r.log.segments[len(r.log.segments)-1].size = int64(offset + len(batch))
	return nil
}

// replayUnsynced replays the last batch of the newest segment, which may never have been synced. Open returns its content,
// but the segment's valid length excludes the batch: the first Append repeats its frames in the base batch of a new
// segment, under the same sequence.
func (r *recovery) replayUnsynced(name string, offset int, batch []byte) error {
	sequence, _, ok := parseBatch(batch)
	if !ok {
		return &DamageError{File: name, Offset: int64(offset), Reason: "its first batch does not continue the previous segment"}
	}
	frames := batch[batchHeaderSize:]
	err := decodeFrames(frames, func(frame frameInfo, entry consensus.Entry) { r.applyFrame(&frame, entry) })
	if err != nil {
		return &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
	}
	r.log.sequence = sequence
	r.log.unsynced = bytes.Clone(frames)
	return nil
}

// findBatch looks for a valid batch with a sequence of at least lowest, at any position from offset on. It returns the
// position of the first one, or -1 if there is none.
func findBatch(content []byte, offset int, lowest uint64) int {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], batchMagic)
	for offset < len(content) {
		next := bytes.Index(content[offset:], magic[:])
		if next < 0 {
			return -1
		}
		offset += next
		if sequence, _, ok := parseBatch(content[offset:]); ok && sequence >= lowest {
			return offset
		}
		offset++
	}
	return -1
}

// applyFrame applies one frame to the state of its group. An entry that the snapshot covers is dropped.
func (r *recovery) applyFrame(frame *frameInfo, entry consensus.Entry) {
	group := r.group(frame.group)
	switch frame.kind {
	case frameHardState:
		group.HardState = frame.hard
	case frameEntry:
		if group.Snapshot == nil || entry.Index > group.Snapshot.Index {
			group.putEntry(entry)
		}
	case frameInstall:
		group.Entries = nil
		group.applySnapshot(frame)
	case frameCompact:
		group.applySnapshot(frame)
	}
}

// putEntry appends an entry. It replaces the entries at the same and higher indexes.
//
// If there is a gap before the entry, the entries before the gap are dropped. A gap is no damage if a later frame has a
// snapshot that covers it: the segments with the missing entries were removed then. finishGroup checks that.
func (g *Group) putEntry(entry consensus.Entry) {
	for len(g.Entries) > 0 && g.Entries[len(g.Entries)-1].Index >= entry.Index {
		g.Entries = g.Entries[:len(g.Entries)-1]
	}
	if len(g.Entries) > 0 && g.Entries[len(g.Entries)-1].Index+1 != entry.Index {
		g.Entries = nil
	}
	g.Entries = append(g.Entries, entry)
}

// applySnapshot drops the entries that a snapshot covers, and sets the snapshot's index and term; finishGroup reads the
// rest from the snapshot's file. A snapshot older than the group's snapshot is ignored.
func (g *Group) applySnapshot(frame *frameInfo) {
	if g.Snapshot != nil && frame.index < g.Snapshot.Index {
		return
	}
	g.Snapshot = &consensus.Snapshot{Index: frame.index, Term: frame.term}
	covered := 0
	for covered < len(g.Entries) && g.Entries[covered].Index <= frame.index {
		covered++
	}
	g.Entries = slices.Clone(g.Entries[covered:])
}

// finish completes the groups after the replay, and removes the files that the log does not need.
func (r *recovery) finish(names []string) error {
	for _, id := range sortedGroups(r.groups) {
		if err := r.finishGroup(id, r.groups[id]); err != nil {
			return err
		}
	}
	if r.log.sequence == 0 {
		r.log.sequence = 1
	}
	r.removeObsolete(names)
	return nil
}

// finishGroup reads a group's snapshot from its file, and checks that no entry is missing between the snapshot and the
// entries. It lowers the commit index to the last entry or the snapshot, since the commit index on disk may be higher.
func (r *recovery) finishGroup(id uint32, group *Group) error {
	covered := uint64(0)
	if group.Snapshot != nil {
		covered = group.Snapshot.Index
		snapshot, err := ReadSnapshot(r.log.files, r.log.dir, id, covered, group.Snapshot.Term)
		if err != nil {
			return err
		}
		group.Snapshot = snapshot
	}
	last := covered
	if len(group.Entries) > 0 {
		if first := group.Entries[0].Index; first != covered+1 {
			return &DamageError{
				File:   segmentName(r.log.segments[0].number),
				Reason: errors.Errorf("group %d has entries from %d, but its snapshot ends at %d", id, first, covered).Error(),
			}
		}
		last = group.Entries[len(group.Entries)-1].Index
	}
	group.HardState.Commit = min(group.HardState.Commit, last)
	return nil
}

// removeObsolete removes the segments, snapshots and temporary files that the log does not need: files that were written
// incompletely, that no batch refers to, or that reappeared after a power failure. Errors are ignored, since a later Open
// tries again. names lists the folder.
func (r *recovery) removeObsolete(names []string) {
	needed := map[string]bool{}
	for _, segment := range r.log.segments {
		needed[segmentName(segment.number)] = true
	}
	for group, state := range r.log.states {
		needed[snapshotName(group, state.snapshotIndex, state.snapshotTerm)] = true
	}
	for id, group := range r.groups {
		if group.Snapshot != nil {
			needed[snapshotName(id, group.Snapshot.Index, group.Snapshot.Term)] = true
		}
	}
	r.log.obsolete = nil
	for _, name := range names {
		_, isSegment := parseSegmentName(name)
		isLogFile := isSegment || isSnapshotFile(name) || strings.HasSuffix(name, temporarySuffix)
		if isLogFile && !needed[name] {
			_ = r.log.files.Remove(filepath.Join(r.log.dir, name))
		}
	}
}

// sortedGroups returns the keys of a map by group, sorted.
func sortedGroups[V any](groups map[uint32]V) []uint32 {
	return slices.Sorted(maps.Keys(groups))
}

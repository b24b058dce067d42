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

// Open reads the log in dir, which is created if it is missing, and returns what it has of each group. What a loss of
// power tore off at the end is ignored; damage before that is a *DamageError.
func Open(files vfs.FS, dir string, options Options) (*Log, map[uint32]*Group, error) {
	if err := files.MkdirAll(dir); err != nil {
		return nil, nil, errors.Wrapf(err, "make folder %s", dir)
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

// recovery replays the segments, oldest first.
type recovery struct {
	log    *Log
	groups map[uint32]*Group
}

func (r *recovery) group(id uint32) *Group {
	group := r.groups[id]
	if group == nil {
		group = &Group{}
		r.groups[id] = group
	}
	return group
}

// replay replays all segments that belong to the log. Those before a gap in the numbers do not: they had been removed.
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

// segmentNumbers returns the numbers of the segments to replay, without the newest ones that nothing was ever appended
// to.
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
		unused, err := r.neverAppended(numbers[len(numbers)-1])
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

func afterLastGap(numbers []uint64) []uint64 {
	for i := len(numbers) - 1; i > 0; i-- {
		if numbers[i-1]+1 != numbers[i] {
			return numbers[i:]
		}
	}
	return numbers
}

// neverAppended reports whether nothing was ever appended to the newest segment after its base batch. Then that may
// never have been synced, but nothing that it repeats was acknowledged because of it either.
func (r *recovery) neverAppended(number uint64) (bool, error) {
	content, err := r.read(number)
	if err != nil {
		return false, err
	}
	_, sound := parseSegmentHeader(content, number)
	if sound {
		if _, base, ok := parseBatch(content[segmentHeaderSize:]); ok {
			_, _, sound = parseBatch(content[segmentHeaderSize+len(base):])
		} else {
			sound = false
		}
	}
	if sound {
		return false, nil
	}
	if findBatch(content, segmentHeaderSize+1, 0) >= 0 {
		return false, &DamageError{File: segmentName(number), Reason: "its start is not sound, and a sound batch follows"}
	}
	return true, nil
}

func (r *recovery) read(number uint64) ([]byte, error) {
	name := segmentName(number)
	content, err := vfs.ReadFile(r.log.files, filepath.Join(r.log.dir, name))
	return content, errors.Wrapf(err, "read %s", name)
}

// readHeader reads a segment's header, or less if the file is shorter.
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

// replaySegment replays one segment.
func (r *recovery) replaySegment(number uint64, newest bool) error {
	name := segmentName(number)
	content, err := r.read(number)
	if err != nil {
		return err
	}
	if _, ok := parseSegmentHeader(content, number); !ok {
		return &DamageError{File: name, Reason: "its header is not sound"}
	}
	r.log.segments = append(r.log.segments, newSegment(number, segmentHeaderSize))
	if newest {
		return r.replayNewest(name, content)
	}
	return r.replayOlder(number, content)
}

// replayOlder replays a segment up to the length that the header of the next one has for it. All of that was synced.
func (r *recovery) replayOlder(number uint64, content []byte) error {
	name, next := segmentName(number), segmentName(number+1)
	follower, err := r.readHeader(number + 1)
	if err != nil {
		return err
	}
	end, ok := parseSegmentHeader(follower, number+1)
	if !ok {
		return &DamageError{File: next, Reason: "its header is not sound"}
	}
	if end > int64(len(content)) {
		return &DamageError{File: name, Offset: int64(len(content)), Reason: "it is shorter than the next segment says"}
	}
	content = content[:end]
	for offset := segmentHeaderSize; offset < len(content); {
		sequence, batch, ok := parseBatch(content[offset:])
		if !ok || !r.isNext(sequence) {
			return &DamageError{File: name, Offset: int64(offset), Reason: "a batch before the end is not sound"}
		}
		if err := r.replayBatch(name, offset, batch); err != nil {
			return err
		}
		offset += len(batch)
	}
	return nil
}

// replayNewest replays the segment that was written to last. Its last batch may never have been synced: it counts, but
// is repeated in the next segment before anything depends on it.
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
		return &DamageError{File: name, Offset: int64(offset), Reason: "a batch is not sound, and a sound one follows"}
	}
	return r.replayUnsynced(name, lastOffset, last)
}

// isNext reports whether a batch has the expected sequence.
func (r *recovery) isNext(sequence uint64) bool {
	return r.log.sequence == 0 || sequence == r.log.sequence
}

// replayBatch replays a batch that is certainly on disk.
func (r *recovery) replayBatch(name string, offset int, batch []byte) error {
	sequence, _, _ := parseBatch(batch)
	err := decodeFrames(batch[batchHeaderSize:], func(n frameInfo, entry consensus.Entry) {
		r.applyFrame(&n, entry)
		r.log.record(&n)
	})
	if err != nil {
		return &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
	}
	r.log.sequence = sequence + 1
	r.log.segments[len(r.log.segments)-1].size = int64(offset + len(batch))
	return nil
}

// replayUnsynced replays a batch that may never have been synced.
func (r *recovery) replayUnsynced(name string, offset int, batch []byte) error {
	sequence, _, ok := parseBatch(batch)
	if !ok {
		return &DamageError{File: name, Offset: int64(offset), Reason: "its first batch is not the one that should follow"}
	}
	frames := batch[batchHeaderSize:]
	err := decodeFrames(frames, func(n frameInfo, entry consensus.Entry) { r.applyFrame(&n, entry) })
	if err != nil {
		return &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
	}
	r.log.sequence = sequence
	r.log.unsynced = bytes.Clone(frames)
	return nil
}

// findBatch returns the offset of the first sound batch from offset on with a sequence of at least lowest, or -1.
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

// applyFrame applies one frame to its group.
func (r *recovery) applyFrame(n *frameInfo, entry consensus.Entry) {
	group := r.group(n.group)
	switch n.kind {
	case frameHardState:
		group.HardState = n.hard
	case frameEntry:
		if group.Snapshot == nil || entry.Index > group.Snapshot.Index {
			group.putEntry(entry)
		}
	case frameInstall:
		group.Entries = nil
		group.applySnapshot(n)
	case frameCompact:
		group.applySnapshot(n)
	}
}

// putEntry replaces the entries at the same and higher indexes. A gap before it can only be what a later snapshot
// covers; finish checks that.
func (g *Group) putEntry(entry consensus.Entry) {
	for len(g.Entries) > 0 && g.Entries[len(g.Entries)-1].Index >= entry.Index {
		g.Entries = g.Entries[:len(g.Entries)-1]
	}
	if len(g.Entries) > 0 && g.Entries[len(g.Entries)-1].Index+1 != entry.Index {
		g.Entries = nil
	}
	g.Entries = append(g.Entries, entry)
}

// applySnapshot replaces the entries that a snapshot covers. The snapshot is read from its file by finish.
func (g *Group) applySnapshot(n *frameInfo) {
	if g.Snapshot != nil && n.index < g.Snapshot.Index {
		return
	}
	g.Snapshot = &consensus.Snapshot{Index: n.index, Term: n.term}
	covered := 0
	for covered < len(g.Entries) && g.Entries[covered].Index <= n.index {
		covered++
	}
	g.Entries = slices.Clone(g.Entries[covered:])
}

// finish reads the snapshots, checks that no group's log has a gap, and removes files that are not needed.
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
				Reason: errors.Errorf("group %d has entries from %d, but none after %d", id, first, covered).Error(),
			}
		}
		last = group.Entries[len(group.Entries)-1].Index
	}
	group.HardState.Commit = min(group.HardState.Commit, last)
	return nil
}

// removeObsolete removes files that were written in part, or that had been removed before the power failed. Those that
// it fails to remove are removed by a later Open.
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
		ours := isSegment || isSnapshotFile(name) || strings.HasSuffix(name, temporarySuffix)
		if ours && !needed[name] {
			_ = r.log.files.Remove(filepath.Join(r.log.dir, name))
		}
	}
}

func sortedGroups[V any](groups map[uint32]V) []uint32 {
	return slices.Sorted(maps.Keys(groups))
}

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

// Open reads the log in dir, which is made if it is missing, and returns what it holds of each group. What a loss of
// power tore off at the end is left out; damage before that is a *DamageError.
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

// recovery reads the segments, oldest first.
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

// replay reads all segments that belong to the log. A segment's number that is missing ends what older ones are good for:
// they had been removed.
func (r *recovery) replay(names []string) error {
	numbers, err := r.numbers(names)
	if err != nil {
		return err
	}
	for i, number := range numbers {
		if err := r.segment(number, i == len(numbers)-1); err != nil {
			return err
		}
	}
	return nil
}

// numbers returns the numbers of the segments to read. Newest ones are left out that nothing was ever added to.
func (r *recovery) numbers(names []string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		if number, ok := parseSegmentName(name); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	numbers = afterLastGap(numbers)
	for len(numbers) > 0 {
		vain, err := r.vain(numbers[len(numbers)-1])
		if err != nil {
			return nil, err
		}
		if !vain {
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

// vain tells whether nothing was ever added to the newest segment after it was made. It may then never have been synced,
// but then nobody was told either of what it repeats.
func (r *recovery) vain(number uint64) (bool, error) {
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

// readHeader reads as much of a segment as its header is long, or less if there is less.
func (r *recovery) readHeader(number uint64) ([]byte, error) {
	name := segmentName(number)
	file, err := r.log.files.Open(filepath.Join(r.log.dir, name))
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", name)
	}
	defer file.Close()
	header := make([]byte, segmentHeaderSize)
	count, err := file.ReadAt(header, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	return header[:count], nil
}

// segment replays one segment.
func (r *recovery) segment(number uint64, newest bool) error {
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
		return r.newestSegment(name, content)
	}
	return r.olderSegment(number, content)
}

// olderSegment replays a segment up to where the next one says that it ends. All of that was synced.
func (r *recovery) olderSegment(number uint64, content []byte) error {
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
		if !ok || !r.follows(sequence) {
			return &DamageError{File: name, Offset: int64(offset), Reason: "a batch before the end is not sound"}
		}
		if err := r.take(name, offset, batch); err != nil {
			return err
		}
		offset += len(batch)
	}
	return nil
}

// newestSegment replays the segment that was written to last. Its last batch may never have been synced: it counts, but
// is carried over to the next segment before anything is built on it.
func (r *recovery) newestSegment(name string, content []byte) error {
	lastOffset, offset := segmentHeaderSize, segmentHeaderSize
	var last []byte
	for {
		sequence, batch, ok := parseBatch(content[offset:])
		if !ok || last != nil && sequence != r.log.sequence+1 || last == nil && !r.follows(sequence) {
			break
		}
		if last != nil {
			if err := r.take(name, lastOffset, last); err != nil {
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
	return r.carry(name, lastOffset, last)
}

// follows tells whether a batch has the sequence that is due.
func (r *recovery) follows(sequence uint64) bool {
	return r.log.sequence == 0 || sequence == r.log.sequence
}

// take replays a batch that is sure to be on disk.
func (r *recovery) take(name string, offset int, batch []byte) error {
	sequence, _, _ := parseBatch(batch)
	err := decodeFrames(batch[batchHeaderSize:], func(n note, entry consensus.Entry) {
		r.frame(&n, entry)
		r.log.remember(&n)
	})
	if err != nil {
		return &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
	}
	r.log.sequence = sequence + 1
	r.log.segments[len(r.log.segments)-1].size = int64(offset + len(batch))
	return nil
}

// carry replays a batch that may get lost.
func (r *recovery) carry(name string, offset int, batch []byte) error {
	sequence, _, ok := parseBatch(batch)
	if !ok {
		return &DamageError{File: name, Offset: int64(offset), Reason: "its first batch is not the one that should follow"}
	}
	frames := batch[batchHeaderSize:]
	err := decodeFrames(frames, func(n note, entry consensus.Entry) { r.frame(&n, entry) })
	if err != nil {
		return &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
	}
	r.log.sequence = sequence
	r.log.carried = bytes.Clone(frames)
	return nil
}

// findBatch returns where the first sound batch with a sequence of at least lowest starts, from offset on; or -1.
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

// frame takes one frame into its group.
func (r *recovery) frame(n *note, entry consensus.Entry) {
	group := r.group(n.group)
	switch n.kind {
	case frameHardState:
		group.HardState = n.hard
	case frameEntry:
		if group.Snapshot == nil || entry.Index > group.Snapshot.Index {
			group.replace(entry)
		}
	case frameInstall:
		group.Entries = nil
		group.cover(n)
	case frameCompact:
		group.cover(n)
	}
}

// replace puts an entry in place of those at the same and higher indexes. A hole before it can only be what a later
// snapshot covers; finish sees to that.
func (g *Group) replace(entry consensus.Entry) {
	for len(g.Entries) > 0 && g.Entries[len(g.Entries)-1].Index >= entry.Index {
		g.Entries = g.Entries[:len(g.Entries)-1]
	}
	if len(g.Entries) > 0 && g.Entries[len(g.Entries)-1].Index+1 != entry.Index {
		g.Entries = nil
	}
	g.Entries = append(g.Entries, entry)
}

func (g *Group) cover(n *note) {
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

// finish reads the snapshots, checks that each group's log has no hole, and removes files that nothing needs.
func (r *recovery) finish(names []string) error {
	for _, id := range sortedGroups(r.groups) {
		if err := r.finishGroup(id, r.groups[id]); err != nil {
			return err
		}
	}
	if r.log.sequence == 0 {
		r.log.sequence = 1
	}
	r.removeStrays(names)
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

// removeStrays removes files that were half made, or that had been removed before the power went off. What cannot be
// removed now is tried again at the next start.
func (r *recovery) removeStrays(names []string) {
	kept := map[string]bool{}
	for _, segment := range r.log.segments {
		kept[segmentName(segment.number)] = true
	}
	for group, state := range r.log.states {
		kept[snapshotName(group, state.snapshotIndex, state.snapshotTerm)] = true
	}
	for id, group := range r.groups {
		if group.Snapshot != nil {
			kept[snapshotName(id, group.Snapshot.Index, group.Snapshot.Term)] = true
		}
	}
	r.log.obsolete = nil
	for _, name := range names {
		_, isSegment := parseSegmentName(name)
		stray := isSegment || isSnapshotFile(name) || strings.HasSuffix(name, temporarySuffix)
		if stray && !kept[name] {
			_ = r.log.files.Remove(filepath.Join(r.log.dir, name))
		}
	}
}

func sortedGroups[V any](groups map[uint32]V) []uint32 {
	return slices.Sorted(maps.Keys(groups))
}

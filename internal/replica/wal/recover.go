package wal

import (
	"bytes"
	"encoding/binary"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"ospreypond/internal/consensus"
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
	contents, numbers, err := r.headers(names)
	if err != nil {
		return err
	}
	for i, number := range numbers {
		end := int64(-1)
		if i+1 < len(numbers) {
			end = contents[numbers[i+1]]
		}
		if err := r.segment(number, end); err != nil {
			return err
		}
	}
	return nil
}

// headers returns the numbers of the segments to read, and for each the length that counts of the one before it.
func (r *recovery) headers(names []string) (previousEnds map[uint64]int64, numbers []uint64, err error) {
	for _, name := range names {
		if number, ok := parseSegmentName(name); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	numbers = afterLastGap(numbers)
	previousEnds = map[uint64]int64{}
	for i, number := range numbers {
		end, ok, err := r.header(number, i == len(numbers)-1)
		if err != nil {
			return nil, nil, err
		}
		if !ok {
			return previousEnds, numbers[:i], nil
		}
		previousEnds[number] = end
	}
	return previousEnds, numbers, nil
}

func afterLastGap(numbers []uint64) []uint64 {
	for i := len(numbers) - 1; i > 0; i-- {
		if numbers[i-1]+1 != numbers[i] {
			return numbers[i:]
		}
	}
	return numbers
}

// header reads a segment's header. The newest segment may have none: the power went off while it was made.
func (r *recovery) header(number uint64, newest bool) (previousEnd int64, ok bool, err error) {
	content, err := r.read(number)
	if err != nil {
		return 0, false, err
	}
	previousEnd, ok = parseSegmentHeader(content, number)
	if ok {
		return previousEnd, true, nil
	}
	if !newest {
		return 0, false, &DamageError{File: segmentName(number), Reason: "its header is not sound, and a newer segment is there"}
	}
	if offset := findBatch(content, 0, 0); offset > segmentHeaderSize {
		return 0, false, &DamageError{File: segmentName(number), Reason: "its header is not sound, and a sound batch follows"}
	}
	return 0, false, nil
}

func (r *recovery) read(number uint64) ([]byte, error) {
	name := segmentName(number)
	content, err := vfs.ReadFile(r.log.files, filepath.Join(r.log.dir, name))
	return content, errors.Wrapf(err, "read %s", name)
}

// segment replays one segment, up to end if a newer one says where it ends.
func (r *recovery) segment(number uint64, end int64) error {
	content, err := r.read(number)
	if err != nil {
		return err
	}
	name := segmentName(number)
	if end > int64(len(content)) {
		return &DamageError{File: name, Offset: int64(len(content)), Reason: "it is shorter than the next segment says"}
	}
	newest := end < 0
	if !newest {
		content = content[:end]
	}
	r.log.segments = append(r.log.segments, newSegment(number, segmentHeaderSize))
	offset, err := r.batches(name, content)
	if err != nil {
		return err
	}
	r.log.segments[len(r.log.segments)-1].size = int64(offset)
	if offset == len(content) {
		return nil
	}
	if !newest {
		return &DamageError{File: name, Offset: int64(offset), Reason: "a batch before the end is not sound"}
	}
	if findBatch(content, offset+1, r.log.sequence) >= 0 {
		return &DamageError{File: name, Offset: int64(offset), Reason: "a batch is not sound, and a sound one follows"}
	}
	return nil
}

// batches replays the sound batches of a segment and returns where they end.
func (r *recovery) batches(name string, content []byte) (int, error) {
	offset := segmentHeaderSize
	for {
		sequence, batch, ok := parseBatch(content[offset:])
		if !ok {
			return offset, nil
		}
		if r.log.sequence != 0 && sequence != r.log.sequence {
			return 0, &DamageError{File: name, Offset: int64(offset), Reason: "a batch is not the one that should follow"}
		}
		if err := decodeFrames(batch, r.frame); err != nil {
			return 0, &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		r.log.sequence = sequence + 1
		offset += len(batch)
	}
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
func (r *recovery) frame(n note, entry consensus.Entry) {
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
		group.cover(&n)
	case frameCompact:
		group.cover(&n)
	}
	r.log.remember(&n)
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

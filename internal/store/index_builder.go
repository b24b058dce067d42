package store

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// indexBuilder builds the index out of segments alone, in whatever order they are added. It keeps all keys in memory, so it
// serves opening with a damaged table, checking and repairing only.
type indexBuilder struct {
	items        map[string]builtItem
	rangeDeletes []rankedSpan
}

// rank orders operations: by commit, then by their position in it. A record that compaction copied has the highest position:
// no deletion in its commit came after it, or the record would have been dead.
type rank struct {
	seq uint64
	n   int
}

func (a rank) before(b rank) bool { return a.seq < b.seq || a.seq == b.seq && a.n < b.n }

type builtItem struct {
	rank
	loc table.Loc
}

type rankedSpan struct {
	rank
	span
}

func newIndexBuilder() *indexBuilder { return &indexBuilder{items: map[string]builtItem{}} }

// addSegment reads a segment and returns how many frames it has. At a damaged frame it calls bad: if that returns nil,
// addSegment continues with the next undamaged frame, otherwise it returns that error.
func (b *indexBuilder) addSegment(f vfs.File, m plan.Segment, bad func(at int64, err error) error) (frames int, err error) {
	sc := segment.NewScanner(f, segment.HeaderSize, m.Size)
	for {
		fr, at, err := sc.Next()
		if errors.Is(err, io.EOF) {
			return frames, nil
		}
		if err == nil {
			err = b.addFrame(fr, m, at)
		}
		if err == nil {
			frames++
			continue
		}
		sc.SeekTo(at)
		if zeros, zerr := sc.RestZero(); !m.Sealed && zerr == nil && zeros {
			return frames, nil
		}
		if err := bad(at, err); err != nil {
			return frames, err
		}
		if !errors.Is(err, ErrCorrupt) { // the disk does not read there: no search behind it is possible
			return frames, nil
		}
		// A frame of this segment has a number that belongs to it.
		if _, err := sc.Resync(func(f segment.Frame) bool {
			return f.Seq >= m.First && (m.Last == 0 || f.Seq <= m.Last)
		}); err != nil {
			return frames, bad(sc.Offset(), err)
		}
	}
}

// addFrame adds the operations of a frame at offset at.
func (b *indexBuilder) addFrame(f segment.Frame, m plan.Segment, at int64) error {
	n := 0
	return segment.Ops(f.Payload, func(o segment.Op) error {
		if len(o.Key) < 2 || o.Kind == segment.DeleteRange && len(o.End) < 2 {
			return fmt.Errorf("%w: key of %d bytes", ErrCorrupt, len(o.Key))
		}
		n++
		r := rank{f.Seq, n}
		if m.Kind == plan.Output && o.Kind == segment.Put {
			r.n = math.MaxInt
		}
		if o.Kind == segment.DeleteRange {
			b.rangeDeletes = append(b.rangeDeletes, rankedSpan{r, span{string(o.Key), string(o.End)}})
			return nil
		}
		if had, ok := b.items[string(o.Key)]; ok && r.before(had.rank) {
			return nil
		}
		it := builtItem{rank: r}
		if o.Kind == segment.Put {
			it.loc = table.Loc{Seq: f.Seq, Segment: uint32(m.ID), Offset: uint32(at) + uint32(o.At), Size: uint32(len(o.Value)),
				Sum: segment.Sum(o.Key, o.Value)}
		}
		b.items[string(o.Key)] = it
		return nil
	})
}

// entries returns all live records in order of their keys. Records up to their space's floor have expired.
func (b *indexBuilder) entries(floors map[uint16]uint64) []table.Entry {
	keys := make([]string, 0, len(b.items))
	for k := range b.items {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	slices.SortFunc(b.rangeDeletes, func(x, y rankedSpan) int { return cmp.Compare(x.lo, y.lo) })
	var out []table.Entry
	var covering []rankedSpan   // the ranges that the present key is in
	following := b.rangeDeletes // those that start behind the present key
	for _, k := range keys {
		for len(following) > 0 && following[0].lo <= k {
			covering, following = append(covering, following[0]), following[1:]
		}
		covering = slices.DeleteFunc(covering, func(c rankedSpan) bool { return strings.Compare(c.hi, k) <= 0 })
		it := b.items[k]
		hidden := slices.ContainsFunc(covering, func(c rankedSpan) bool { return it.before(c.rank) })
		if it.loc.Segment != 0 && !hidden && it.loc.Seq > floors[spaceOf([]byte(k))] {
			out = append(out, table.Entry{Key: []byte(k), Loc: it.loc})
		}
	}
	return out
}

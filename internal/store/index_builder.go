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

// indexBuilder builds the index from the segments alone, which may be added in any order. It keeps all keys in memory. So
// it is used only to check or repair a store, and to open a store with a damaged table.
type indexBuilder struct {
	items        map[string]builtItem // by key: its newest put or single deletion
	rangeDeletes []rankedSpan         // all deleted ranges
}

// rank orders operations by commit, then by position within the commit. A record that a pass copied has the highest
// position: it was live, so no later operation of its commit deleted it.
type rank struct {
	seq      uint64
	position int
}

// before reports whether a's operation was committed before b's.
func (a rank) before(b rank) bool { return a.seq < b.seq || a.seq == b.seq && a.position < b.position }

type builtItem struct {
	rank
	loc table.Loc // Segment is 0 if the key was deleted
}

type rankedSpan struct {
	rank
	span
}

func newIndexBuilder() *indexBuilder { return &indexBuilder{items: map[string]builtItem{}} }

// addSegment adds a segment's frames and returns the number of undamaged ones. At a damaged frame it calls onDamage. If that
// returns nil, addSegment continues with the next undamaged frame, otherwise it returns that error.
func (b *indexBuilder) addSegment(f vfs.File, m plan.Segment, onDamage func(at int64, err error) error) (frames int, err error) {
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
		if err := onDamage(at, err); err != nil {
			return frames, err
		}
		if !errors.Is(err, ErrCorrupt) { // the disk can't be read there, so the next frame can't be searched for
			return frames, nil
		}
		// Bytes in a value may look like a frame. Only a sequence number within the segment's range is accepted.
		if _, err := sc.Resync(func(f segment.Frame) bool {
			return f.Seq >= m.First && (m.Last == 0 || f.Seq <= m.Last)
		}); err != nil {
			return frames, onDamage(sc.Offset(), err)
		}
	}
}

// addFrame adds the operations of the frame at offset at of segment m.
func (b *indexBuilder) addFrame(f segment.Frame, m plan.Segment, at int64) error {
	position := 0
	return segment.Ops(f.Payload, func(o segment.Op) error {
		if len(o.Key) < 2 || o.Kind == segment.DeleteRange && len(o.End) < 2 {
			return fmt.Errorf("%w: key %.20x or range end %.20x is shorter than the 2 bytes of a space's number", ErrCorrupt, o.Key, o.End)
		}
		position++
		r := rank{f.Seq, position}
		if m.Kind == plan.Output && o.Kind == segment.Put {
			r.position = math.MaxInt
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

// entries returns all live records in the order of their keys. A record is live if no newer operation deleted it and its
// sequence number is above its space's floor.
func (b *indexBuilder) entries(floors map[uint16]uint64) []table.Entry {
	keys := make([]string, 0, len(b.items))
	for k := range b.items {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	slices.SortFunc(b.rangeDeletes, func(x, y rankedSpan) int { return cmp.Compare(x.lo, y.lo) })
	var out []table.Entry
	var covering []rankedSpan   // the deleted ranges that contain the current key
	following := b.rangeDeletes // the deleted ranges that start after the current key
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

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

// indexBuilder makes the index out of segments alone, read in any order.
type indexBuilder struct {
	items        map[string]builtItem
	rangeDeletes []rankedSpan
}

// rank orders operations: by commit, then by their place in it. What compaction kept of a commit stood behind all
// deletions in it that would have hidden it.
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

// addSegment reads a complete segment and returns how many frames it had. At a bad frame it asks bad what to do: an error
// ends it, nil has it go on behind.
func (g *indexBuilder) addSegment(f vfs.File, m plan.Segment, bad func(at int64, err error) error) (frames int, err error) {
	sc := segment.NewScanner(f, segment.HeaderSize, m.Size)
	for {
		fr, at, err := sc.Next()
		if errors.Is(err, io.EOF) {
			return frames, nil
		}
		if err == nil {
			err = g.addFrame(fr, m, at)
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
		if !errors.Is(err, ErrCorrupt) { // the disk does not read there: nothing behind can be told
			return frames, nil
		}
		// Whatever claims to be a frame of this segment must fit into it.
		if _, err := sc.Resync(func(f segment.Frame) bool {
			return f.Seq >= m.First && (m.Last == 0 || f.Seq <= m.Last)
		}); err != nil {
			return frames, bad(sc.Offset(), err)
		}
	}
}

func (g *indexBuilder) addFrame(f segment.Frame, m plan.Segment, at int64) error {
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
			g.rangeDeletes = append(g.rangeDeletes, rankedSpan{r, span{string(o.Key), string(o.End)}})
			return nil
		}
		if had, ok := g.items[string(o.Key)]; ok && r.before(had.rank) {
			return nil
		}
		it := builtItem{rank: r}
		if o.Kind == segment.Put {
			it.loc = table.Loc{Seq: f.Seq, Segment: uint32(m.ID), Offset: uint32(at) + uint32(o.At), Size: uint32(len(o.Value)),
				Sum: segment.Sum(o.Key, o.Value)}
		}
		g.items[string(o.Key)] = it
		return nil
	})
}

// entries returns what is there, in order of the keys.
func (g *indexBuilder) entries(floors map[uint16]uint64) []table.Entry {
	keys := make([]string, 0, len(g.items))
	for k := range g.items {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	slices.SortFunc(g.rangeDeletes, func(a, b rankedSpan) int { return cmp.Compare(a.lo, b.lo) })
	var out []table.Entry
	var over []rankedSpan // those that reach the present key
	cuts := g.rangeDeletes
	for _, k := range keys {
		for len(cuts) > 0 && cuts[0].lo <= k {
			over, cuts = append(over, cuts[0]), cuts[1:]
		}
		over = slices.DeleteFunc(over, func(c rankedSpan) bool { return strings.Compare(c.hi, k) <= 0 })
		it := g.items[k]
		hidden := slices.ContainsFunc(over, func(c rankedSpan) bool { return it.before(c.rank) })
		if it.loc.Segment != 0 && !hidden && it.loc.Seq > floors[spaceOf([]byte(k))] {
			out = append(out, table.Entry{Key: []byte(k), Loc: it.loc})
		}
	}
	return out
}

package store

import (
	"sort"

	"github.com/tidwall/btree"

	"ospreypond/internal/store/table"
)

// item is a layer's entry for one key: the location of its value, or with loc.Segment 0 a deletion of the key.
type item struct {
	key string
	loc table.Loc
}

// deleted reports whether the item is a deletion.
func (i *item) deleted() bool { return i.loc.Segment == 0 }

// span is a range of keys, from lo up to, not including, hi.
type span struct{ lo, hi string }

// layer is a part of the index in memory (a memtable). It has the entries of commits that are newer than those in the layers
// and the table below it. Its spans are the ranges that these commits deleted: they hide the entries of the layers and the
// table below, and none of the layer's own items. A layer has no lock: Store.mu guards the uppermost one, and a frozen one
// does not change.
type layer struct {
	tree  *btree.BTreeG[item]
	spans []span // deleted ranges, disjoint and ascending; the slice is never changed in place, so clones share it
	keys  int64  // bytes of all keys in the tree
	upTo  uint64 // sequence number of the last commit in a frozen layer
}

// itemBytes estimates the memory of an item without the bytes of its key: 40 bytes, in nodes that are three quarters full.
const itemBytes = 56

func newLayer() *layer {
	return &layer{tree: btree.NewBTreeGOptions(func(a, b item) bool { return a.key < b.key },
		btree.Options{NoLocks: true, Degree: 64})}
}

// clone returns a copy that later changes to l do not affect. It takes constant time: the trees share their nodes until one
// is changed.
func (l *layer) clone() *layer {
	return &layer{tree: l.tree.Copy(), spans: l.spans, keys: l.keys}
}

// bytes estimates the layer's memory, without the spans.
func (l *layer) bytes() int64 { return l.keys + int64(l.tree.Len())*itemBytes }

func (l *layer) get(key string) (item, bool) { return l.tree.Get(item{key: key}) }

func (l *layer) set(it item) {
	if _, had := l.tree.Set(it); !had {
		l.keys += int64(len(it.key))
	}
}

// covers reports whether one of l's deleted ranges contains the key, so that entries for it below l are deleted.
func (l *layer) covers(key string) bool {
	i := sort.Search(len(l.spans), func(i int) bool { return l.spans[i].hi > key })
	return i < len(l.spans) && l.spans[i].lo <= key
}

// deleteRange removes the layer's items in a range and adds the range to the spans, which hides the entries below the layer.
func (l *layer) deleteRange(s span) {
	if s.lo >= s.hi {
		return
	}
	var keys []string
	l.tree.Ascend(item{key: s.lo}, func(it item) bool {
		if it.key >= s.hi {
			return false
		}
		keys = append(keys, it.key)
		return true
	})
	for _, k := range keys {
		l.tree.Delete(item{key: k})
		l.keys -= int64(len(k))
	}
	l.spans = addSpan(l.spans, s)
}

// addSpan returns a copy of spans to which s was added. It merges s with the spans that overlap or adjoin it, so that the
// result is disjoint and ascending again.
func addSpan(spans []span, s span) []span {
	from := sort.Search(len(spans), func(i int) bool { return spans[i].hi >= s.lo })
	to := from
	for to < len(spans) && spans[to].lo <= s.hi {
		if spans[to].lo < s.lo {
			s.lo = spans[to].lo
		}
		if spans[to].hi > s.hi {
			s.hi = spans[to].hi
		}
		to++
	}
	out := make([]span, 0, len(spans)+1)
	out = append(out, spans[:from]...)
	out = append(out, s)
	return append(out, spans[to:]...)
}

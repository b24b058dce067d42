package store

import (
	"sort"

	"github.com/tidwall/btree"

	"ospreypond/internal/store/table"
)

// item is what a layer knows of one key. Its Loc has Segment 0 where the key was deleted.
type item struct {
	key string
	loc table.Loc
}

func (i *item) dead() bool { return i.loc.Segment == 0 }

// span is a deleted range, from lo up to, not including, hi.
type span struct{ lo, hi string }

// layer is a part of the index in memory: what was committed after the layers and the table under it. Its spans hide what
// lies under it and nothing of its own. A layer has no lock: Store.mu guards the uppermost one, a frozen one does not change.
type layer struct {
	tree  *btree.BTreeG[item]
	spans []span // disjoint and in order; never changed in place, so that clones can share it
	keys  int64  // bytes of the keys
	upTo  uint64 // of a frozen layer: the last commit in it
}

// itemBytes is about what an item takes in memory beside its key: 40 bytes in nodes that are three quarters full.
const itemBytes = 56

func newLayer() *layer {
	return &layer{tree: btree.NewBTreeGOptions(func(a, b item) bool { return a.key < b.key },
		btree.Options{NoLocks: true, Degree: 64})}
}

// clone returns a layer that later changes to l do not affect, in constant time.
func (l *layer) clone() *layer {
	return &layer{tree: l.tree.Copy(), spans: l.spans, keys: l.keys}
}

func (l *layer) bytes() int64 { return l.keys + int64(l.tree.Len())*itemBytes }

func (l *layer) get(key string) (item, bool) { return l.tree.Get(item{key: key}) }

func (l *layer) set(it item) {
	if _, had := l.tree.Set(it); !had {
		l.keys += int64(len(it.key))
	}
}

// covers reports whether l hides what lies under it at key.
func (l *layer) covers(key string) bool {
	i := sort.Search(len(l.spans), func(i int) bool { return l.spans[i].hi > key })
	return i < len(l.spans) && l.spans[i].lo <= key
}

// deleteRange deletes the keys of a range, in this layer and in what lies under it.
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

// addSpan returns a copy of spans with s added, merged with those that it overlaps or touches.
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

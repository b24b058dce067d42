package store

import (
	"sort"
	"strings"

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

// cursor iterates over one layer or table in order of the keys.
type cursor interface {
	next() bool
	entry() table.Entry // the key is good until next
	err() error
}

type layerCursor struct {
	it    btree.IterG[item]
	from  string
	begun bool
	key   []byte
}

func (l *layer) cursor(from string) *layerCursor {
	return &layerCursor{it: l.tree.Iter(), from: from}
}

func (c *layerCursor) next() bool {
	if c.begun {
		return c.it.Next()
	}
	c.begun = true
	return c.it.Seek(item{key: c.from})
}

func (c *layerCursor) entry() table.Entry {
	it := c.it.Item()
	c.key = append(c.key[:0], it.key...)
	return table.Entry{Key: c.key, Loc: it.loc}
}

func (c *layerCursor) err() error { return nil }

type tableCursor struct{ it *table.Iterator }

func (c tableCursor) next() bool         { return c.it.Next() }
func (c tableCursor) entry() table.Entry { return c.it.Entry() }
func (c tableCursor) err() error         { return c.it.Err() }

// mergeIterator iterates over several layers and a table as one: of each key the uppermost entry counts.
type mergeIterator struct {
	sources []mergeSource // the uppermost first
	floors  map[uint16]uint64
	entry   table.Entry
	key     []byte
	err     error
}

type mergeSource struct {
	cursor
	spans   []span
	current table.Entry
	valid   bool // there is a current entry
}

func newMergeIterator(floors map[uint16]uint64, from string, base *table.Table, layers ...*layer) *mergeIterator {
	m := &mergeIterator{floors: floors}
	for _, l := range layers {
		if l != nil {
			m.sources = append(m.sources, mergeSource{cursor: l.cursor(from), spans: l.spans})
		}
	}
	if base != nil {
		m.sources = append(m.sources, mergeSource{cursor: tableCursor{base.Seek([]byte(from))}})
	}
	for i := range m.sources {
		m.advance(i)
	}
	return m
}

func (m *mergeIterator) advance(i int) {
	p := &m.sources[i]
	if p.valid = p.next(); p.valid {
		p.current = p.entry()
	} else if err := p.err(); err != nil {
		m.err = err
	}
}

// next goes to the next key that is there and reports whether there is one. The entry's key is good until the next call.
func (m *mergeIterator) next() bool {
	for m.err == nil {
		low := m.lowest()
		if low < 0 {
			return false
		}
		m.key = append(m.key[:0], m.sources[low].current.Key...)
		m.entry = table.Entry{Key: m.key, Loc: m.sources[low].current.Loc}
		deleted := m.deletedAbove(low)
		for i := low; i < len(m.sources); i++ {
			if p := &m.sources[i]; p.valid && string(p.current.Key) == string(m.key) {
				m.advance(i)
			}
		}
		if !deleted {
			return m.err == nil
		}
	}
	return false
}

// lowest returns the uppermost source of those whose current key is the lowest, or -1 if all are at their end.
func (m *mergeIterator) lowest() int {
	low := -1
	for i := range m.sources {
		if m.sources[i].valid && (low < 0 || string(m.sources[i].current.Key) < string(m.sources[low].current.Key)) {
			low = i
		}
	}
	return low
}

// deletedAbove reports whether the entry, which is source low's, is a deletion, has expired, or lies in a range that was
// deleted in a layer above that source.
func (m *mergeIterator) deletedAbove(low int) bool {
	if m.entry.Loc.Segment == 0 || m.entry.Loc.Seq <= m.floors[spaceOf(m.key)] {
		return true
	}
	for i := range m.sources[:low] {
		if (&layer{spans: m.sources[i].spans}).covers(string(m.key)) {
			return true
		}
	}
	return false
}

// spaceOf returns the number of the space that a key of the index belongs to.
func spaceOf(key []byte) uint16 { return uint16(key[0])<<8 | uint16(key[1]) }

// spaceSpan is the range of all keys of a space.
func spaceSpan(id uint16) span {
	hi := "\xff\xff\xff"
	if id < 0xffff {
		hi = spaceKey(id+1, nil)
	}
	return span{spaceKey(id, nil), hi}
}

// spaceKey returns the key of the index for a space's key.
func spaceKey(id uint16, key []byte) string {
	var b strings.Builder
	b.Grow(2 + len(key))
	b.WriteByte(byte(id >> 8))
	b.WriteByte(byte(id))
	b.Write(key)
	return b.String()
}

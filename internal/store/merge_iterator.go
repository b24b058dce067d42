package store

import (
	"github.com/tidwall/btree"

	"ospreypond/internal/store/table"
)

// cursor iterates over the entries of one layer or table in the order of their keys.
type cursor interface {
	next() bool         // advances and reports whether there is an entry
	entry() table.Entry // its key is valid until the next call of next
	err() error
}

type layerCursor struct {
	it      btree.IterG[item]
	from    string
	started bool
	key     []byte
}

func (l *layer) cursor(from string) *layerCursor {
	return &layerCursor{it: l.tree.Iter(), from: from}
}

func (c *layerCursor) next() bool {
	if c.started {
		return c.it.Next()
	}
	c.started = true
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

// mergeIterator merges several layers and a table in the order of their keys. For each key the entry of the uppermost source
// counts. Deleted and expired keys are left out.
type mergeIterator struct {
	sources []mergeSource     // the uppermost first
	floors  map[uint16]uint64 // by space: records up to this sequence number have expired
	entry   table.Entry       // the current one
	key     []byte            // buffer of entry.Key
	err     error
}

type mergeSource struct {
	cursor
	spans   []span // the layer's deleted ranges, which hide entries of the sources below; nil for a table
	current table.Entry
	valid   bool // the source has a current entry, so it is not at its end
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

// next advances to the next key that is neither deleted nor expired, and reports whether there is one. The entry's key is
// valid until the next call.
func (m *mergeIterator) next() bool {
	for m.err == nil {
		low := m.lowest()
		if low < 0 {
			return false
		}
		m.key = append(m.key[:0], m.sources[low].current.Key...)
		m.entry = table.Entry{Key: m.key, Loc: m.sources[low].current.Loc}
		hidden := m.hidden(low)
		for i := low; i < len(m.sources); i++ {
			if p := &m.sources[i]; p.valid && string(p.current.Key) == string(m.key) {
				m.advance(i)
			}
		}
		if !hidden {
			return m.err == nil
		}
	}
	return false
}

// lowest returns the index of the source with the lowest current key, of several with the same key the uppermost one, or -1
// if all are at their end.
func (m *mergeIterator) lowest() int {
	low := -1
	for i := range m.sources {
		if m.sources[i].valid && (low < 0 || string(m.sources[i].current.Key) < string(m.sources[low].current.Key)) {
			low = i
		}
	}
	return low
}

// hidden reports whether the current entry, which comes from the source with index low, is a deletion, has expired, or
// is in a range that a layer above that source deleted.
func (m *mergeIterator) hidden(low int) bool {
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

package table

import (
	"bytes"
	"encoding/binary"
)

// Iterator iterates over a table's entries in the order of their keys. It belongs to one goroutine.
type Iterator struct {
	t         *Table
	nextBlock int    // number of the block to read next
	buf       []byte // the current block; reused for the next one
	rest      []byte // the part of the current block that is not decoded yet
	from      []byte // entries with lower keys are skipped; nil once an entry was returned
	entry     Entry  // the current one; its key is the Iterator's buffer
	err       error
}

// Seek returns an Iterator that starts at the first entry with a key not lower than the given key. The first call of Next
// advances to that entry. The Iterator does not use the cache, so that reading the complete table does not evict the blocks
// that lookups need.
func (t *Table) Seek(key []byte) *Iterator {
	return &Iterator{t: t, nextBlock: max(0, t.find(key)), from: key}
}

// Next advances to the next entry and reports whether there is one. If an error ended the iteration, Err returns it.
func (it *Iterator) Next() bool {
	for it.err == nil {
		for it.step() {
			if it.from == nil || bytes.Compare(it.entry.Key, it.from) >= 0 {
				it.from = nil
				return true
			}
		}
		if it.err != nil || it.nextBlock >= it.t.blocks {
			return false
		}
		if it.buf, it.err = it.t.readBlock(it.nextBlock, it.buf); it.err != nil {
			return false
		}
		it.rest = it.buf
		it.entry.Key = it.entry.Key[:0]
		it.nextBlock++
	}
	return false
}

// step decodes the next entry of the current block into it.entry and reports whether there was one. It does not read another
// block.
func (it *Iterator) step() bool {
	b := it.rest
	if len(b) == 0 {
		return false
	}
	next := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			it.err = corrupt(0, "a number of an entry is not a uvarint")
			b = nil
			return 0
		}
		b = b[n:]
		return v
	}
	shared, rest := next(), next()
	if shared > uint64(len(it.entry.Key)) || rest > uint64(len(b)) {
		it.err = corrupt(0, "the lengths of an entry's key exceed the previous key or the block")
		return false
	}
	it.entry.Key = append(it.entry.Key[:shared], b[:rest]...)
	b = b[rest:]
	it.entry.Loc.Seq = next()
	it.entry.Loc.Segment = uint32(next())
	it.entry.Loc.Offset = uint32(next())
	it.entry.Loc.Size = uint32(next())
	if it.err != nil || len(b) < 4 {
		if it.err == nil {
			it.err = corrupt(0, "an entry ends before its checksum")
		}
		return false
	}
	it.entry.Loc.Sum = binary.LittleEndian.Uint32(b)
	it.rest = b[4:]
	return true
}

// Entry returns the current entry. Its key is valid until the next call of Next.
func (it *Iterator) Entry() Entry { return it.entry }

// Err returns the error that ended the iteration early, or nil.
func (it *Iterator) Err() error { return it.err }

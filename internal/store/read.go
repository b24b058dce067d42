package store

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
)

// fileError names the file of a fault.
func fileError(name string, err error) error {
	var te *table.Error
	if errors.As(err, &te) {
		return &FileError{File: name, Offset: te.Offset, Err: te.Err}
	}
	return &FileError{File: name, Offset: -1, Err: err}
}

// read returns the value at loc, in buf if it is large enough.
func (v *version) read(key []byte, loc table.Loc, buf []byte) ([]byte, error) {
	h := v.segs[loc.Segment]
	if h == nil {
		return nil, &FileError{File: segmentName(uint64(loc.Segment)), Offset: -1,
			Err: fmt.Errorf("%w: the index points at it, and there is no such segment", ErrCorrupt)}
	}
	value := slices.Grow(buf[:0], int(loc.Size))[:loc.Size]
	if n, err := h.f.ReadAt(value, int64(loc.Offset)); n < len(value) {
		if err == io.EOF {
			err = fmt.Errorf("%w: ends early", ErrCorrupt)
		}
		return nil, &FileError{File: h.name, Offset: int64(loc.Offset) + int64(n), Err: err}
	}
	if segment.Sum(key, value) != loc.Sum {
		return nil, &FileError{File: h.name, Offset: int64(loc.Offset), Err: fmt.Errorf("%w: value's checksum", ErrCorrupt)}
	}
	return value, nil
}

// Snapshot is the store as it was at one commit. Later commits and compactions do not reach it. It holds files and
// memory until it is closed.
type Snapshot struct {
	over *layer
	v    *version
	seq  uint64
}

// Snapshot returns the store as it is now.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock() // copying marks the tree
	defer s.mu.Unlock()
	s.takeIn()
	return &Snapshot{over: s.over.copy(), v: s.cur.ref(), seq: s.seq}
}

// Seq is the number of the last commit in the snapshot.
func (n *Snapshot) Seq() uint64 { return n.seq }

// Close lets go of the snapshot. Its iterators must not be used any more.
func (n *Snapshot) Close() {
	if n.v != nil {
		n.v.unref()
		n.v = nil
	}
}

// Get returns a key's value and the number of the commit that set it, or ErrNotFound.
func (n *Snapshot) Get(sp *Space, key []byte) (value []byte, seq uint64, err error) {
	k := spaceKey(sp.id, key)
	it, found := n.over.get(k)
	return n.v.get(k, it, found, !found && n.over.covers(k))
}

// Range returns an iterator over the keys of a space from from up to, not including, to, in order. Nil stands for
// the space's start and end.
func (n *Snapshot) Range(sp *Space, from, to []byte) *Iterator {
	end := spaceSpan(sp.id).hi
	if to != nil {
		end = spaceKey(sp.id, to)
	}
	return &Iterator{v: n.v, end: end, m: newMerge(n.v.floors, spaceKey(sp.id, from), n.v.table(), n.over, n.v.frozen)}
}

// Prefix returns an iterator over the keys of a space that start with prefix.
func (n *Snapshot) Prefix(sp *Space, prefix []byte) *Iterator {
	to := slices.Clone(prefix)
	for len(to) > 0 && to[len(to)-1] == 0xff {
		to = to[:len(to)-1]
	}
	if len(to) == 0 {
		return n.Range(sp, prefix, nil)
	}
	to[len(to)-1]++
	return n.Range(sp, prefix, to)
}

// Iterator goes over a range of keys. It belongs to one goroutine and to its snapshot.
type Iterator struct {
	v   *version
	m   *merge
	end string
	ok  bool
	buf []byte
}

// Next goes to the next key. It returns false at the end and after a fault, which Err tells.
func (it *Iterator) Next() bool {
	it.ok = it.m.next() && string(it.m.entry.Key) < it.end
	return it.ok
}

// Key returns the present key. It is good until Next.
func (it *Iterator) Key() []byte { return it.m.entry.Key[2:] }

// Seq is the number of the commit that set the present key.
func (it *Iterator) Seq() uint64 { return it.m.entry.Loc.Seq }

// Size is the length of the present key's value, bytes.
func (it *Iterator) Size() int { return int(it.m.entry.Loc.Size) }

// Value reads the present key's value. It is good until the next call of Value.
func (it *Iterator) Value() ([]byte, error) {
	if !it.ok {
		return nil, ErrNotFound
	}
	value, err := it.v.read(it.m.entry.Key, it.m.entry.Loc, it.buf)
	if err == nil {
		it.buf = value
	}
	return value, err
}

// Err returns what ended the iterator early, or nil.
func (it *Iterator) Err() error {
	if it.m.fault == nil || it.v.base == nil {
		return it.m.fault
	}
	return fileError(it.v.base.h.name, it.m.fault)
}

// Close lets go of the iterator.
func (it *Iterator) Close() { it.ok = false }

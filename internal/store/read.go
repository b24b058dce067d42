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
	h := v.segments[loc.Segment]
	if h == nil {
		return nil, &FileError{File: segmentName(uint64(loc.Segment)), Offset: -1,
			Err: fmt.Errorf("%w: the index points at it, and there is no such segment", ErrCorrupt)}
	}
	value := slices.Grow(buf[:0], int(loc.Size))[:loc.Size]
	if n, err := h.f.ReadAt(value, int64(loc.Offset)); n < len(value) {
		if errors.Is(err, io.EOF) {
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
	top     *layer
	version *version
	seq     uint64
}

// Snapshot returns the store as it is now.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock() // copying marks the tree
	defer s.mu.Unlock()
	s.applyPending()
	return &Snapshot{top: s.top.clone(), version: s.version.ref(), seq: s.seq}
}

// Seq is the number of the last commit in the snapshot.
func (n *Snapshot) Seq() uint64 { return n.seq }

// Close lets go of the snapshot. Its iterators must not be used any more.
func (n *Snapshot) Close() {
	if n.version != nil {
		n.version.unref()
		n.version = nil
	}
}

// Get returns a key's value and the number of the commit that set it, or ErrNotFound.
func (n *Snapshot) Get(sp *Space, key []byte) (value []byte, seq uint64, err error) {
	k := spaceKey(sp.id, key)
	it, found := n.top.get(k)
	return n.version.get(k, it, found, !found && n.top.covers(k))
}

// Range returns an iterator over the keys of a space from from up to, not including, to, in order. Nil stands for
// the space's start and end.
func (n *Snapshot) Range(sp *Space, from, to []byte) *Iterator {
	end := spaceSpan(sp.id).hi
	if to != nil {
		end = spaceKey(sp.id, to)
	}
	return &Iterator{version: n.version, end: end, merged: newMergeIterator(n.version.floors, spaceKey(sp.id, from), n.version.table(), n.top, n.version.frozen)}
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
	version *version
	merged  *mergeIterator
	end     string
	valid   bool
	buf     []byte
}

// Next goes to the next key. It returns false at the end and after a fault, which Err tells.
func (it *Iterator) Next() bool {
	it.valid = it.merged.next() && string(it.merged.entry.Key) < it.end
	return it.valid
}

// Key returns the present key. It is good until Next.
func (it *Iterator) Key() []byte { return it.merged.entry.Key[2:] }

// Seq is the number of the commit that set the present key.
func (it *Iterator) Seq() uint64 { return it.merged.entry.Loc.Seq }

// Size is the length of the present key's value, bytes.
func (it *Iterator) Size() int { return int(it.merged.entry.Loc.Size) }

// Value reads the present key's value. It is good until the next call of Value.
func (it *Iterator) Value() ([]byte, error) {
	if !it.valid {
		return nil, ErrNotFound
	}
	value, err := it.version.read(it.merged.entry.Key, it.merged.entry.Loc, it.buf)
	if err == nil {
		it.buf = value
	}
	return value, err
}

// Err returns what ended the iterator early, or nil.
func (it *Iterator) Err() error {
	if it.merged.err == nil || it.version.base == nil {
		return it.merged.err
	}
	return fileError(it.version.base.h.name, it.merged.err)
}

// Close lets go of the iterator.
func (it *Iterator) Close() { it.valid = false }

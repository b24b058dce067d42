package store

import (
	"slices"
)

// Snapshot is the store as of one commit; later commits and compactions don't change it. Until it is closed, it uses memory
// and keeps its files open, so that files that were removed still take up the disk. One goroutine may use it at a time.
type Snapshot struct {
	top     *layer
	version *version
	seq     uint64
}

// Snapshot returns the store's content after the last acknowledged commit.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock() // not RLock: cloning the tree writes to it
	defer s.mu.Unlock()
	s.applyPending()
	return &Snapshot{top: s.top.clone(), version: s.version.ref(), seq: s.seq}
}

// Seq returns the number of the last commit in the snapshot.
func (n *Snapshot) Seq() uint64 { return n.seq }

// Close releases the snapshot's files and memory. Neither the snapshot nor its iterators may be used afterwards.
func (n *Snapshot) Close() {
	if n.version != nil {
		n.version.unref()
		n.version = nil
	}
}

// Get returns a key's value and the number of the commit that put it, or ErrNotFound.
func (n *Snapshot) Get(sp *Space, key []byte) (value []byte, seq uint64, err error) {
	k := spaceKey(sp.id, key)
	it, found := n.top.get(k)
	return n.version.get(k, it, found, !found && n.top.covers(k))
}

// Range returns an iterator over the keys of a space in order, from from up to, not including, to. If from is nil, the range
// begins at the space's first key; if to is nil, it ends after the last one.
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

// Iterator iterates over a range of keys. It belongs to one goroutine and must not outlive its snapshot.
type Iterator struct {
	version *version
	merged  *mergeIterator
	end     string // first key of the index after the range
	valid   bool   // the iterator is at a key of the range
	buf     []byte // reused for values
}

// Next advances to the next key, the first call to the first key, and reports whether there is one. If an error ended the
// iteration before the end of the range, Err returns it.
func (it *Iterator) Next() bool {
	it.valid = it.merged.next() && string(it.merged.entry.Key) < it.end
	return it.valid
}

// Key returns the current key. It is valid until Next.
func (it *Iterator) Key() []byte { return it.merged.entry.Key[2:] }

// Seq returns the number of the commit that put the current key.
func (it *Iterator) Seq() uint64 { return it.merged.entry.Loc.Seq }

// Size returns the length of the current key's value in bytes, without reading it.
func (it *Iterator) Size() int { return int(it.merged.entry.Loc.Size) }

// Value reads the current key's value. It is valid until the next call of Value.
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

// Err returns the error that ended the iteration early, or nil.
func (it *Iterator) Err() error {
	if it.merged.err == nil || it.version.base == nil {
		return it.merged.err
	}
	return fileError(it.version.base.h.name, it.merged.err)
}

// Close ends the iteration. It is optional: the iterator holds only the resources of its snapshot.
func (it *Iterator) Close() { it.valid = false }

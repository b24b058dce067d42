package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"

	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// handle is an open file with a count of references. Dropping the last reference closes the file. Until then readers can
// read it even if its name was removed.
type handle struct {
	f    vfs.File
	name string
	refs atomic.Int32
}

func newHandle(f vfs.File, name string) *handle {
	h := &handle{f: f, name: name}
	h.refs.Store(1)
	return h
}

// ref adds a reference.
func (h *handle) ref() *handle { h.refs.Add(1); return h }

// unref drops a reference and closes the file if it was the last one.
func (h *handle) unref() {
	if h.refs.Add(-1) == 0 {
		_ = h.f.Close() // a failed close loses no data: the file was only read, or its writer synced it
	}
}

// baseTable is the table, the part of the index on disk, together with its file.
type baseTable struct {
	t    *table.Table
	h    *handle
	size int64 // of the file in bytes
}

// version is the part of the store below the uppermost layer at one time: a frozen layer, the table and the segments. It is
// immutable. It keeps its files open until its last reference is dropped.
type version struct {
	frozen   *layer             // the layer that the next pass merges into a new table; nil: none
	base     *baseTable         // nil: no pass has written a table yet
	segments map[uint32]*handle // by number
	floors   map[uint16]uint64  // by space: records up to this sequence number have expired
	refs     atomic.Int32
}

// newVersion returns a version with one reference, the caller's. It has references to all its files.
func newVersion(frozen *layer, base *baseTable, segs map[uint32]*handle, floors map[uint16]uint64) *version {
	v := &version{frozen: frozen, base: base, segments: segs, floors: floors}
	v.refs.Store(1)
	for _, h := range segs {
		h.ref()
	}
	if base != nil {
		base.h.ref()
	}
	return v
}

// ref adds a reference.
func (v *version) ref() *version { v.refs.Add(1); return v }

// unref drops a reference. When it was the last one, unref drops the references to the files.
func (v *version) unref() {
	if v.refs.Add(-1) != 0 {
		return
	}
	for _, h := range v.segments {
		h.unref()
	}
	if v.base != nil {
		v.base.h.unref()
	}
}

// table returns the table, or nil if none has been written yet.
func (v *version) table() *table.Table {
	if v.base == nil {
		return nil
	}
	return v.base.t
}

// find looks up a key, first in the frozen layer, then in the table.
func (v *version) find(key string) (table.Loc, bool, error) {
	if v.frozen != nil {
		if it, ok := v.frozen.get(key); ok {
			return it.loc, !it.deleted(), nil
		}
		if v.frozen.covers(key) {
			return table.Loc{}, false, nil
		}
	}
	if v.base == nil {
		return table.Loc{}, false, nil
	}
	loc, ok, err := v.base.t.Get([]byte(key))
	if err != nil {
		err = fileError(v.base.h.name, err)
	}
	return loc, ok, err
}

// cloneSegments returns a copy of the map; it takes no references.
func cloneSegments(segs map[uint32]*handle) map[uint32]*handle {
	c := make(map[uint32]*handle, len(segs)+1)
	for id, h := range segs {
		c[id] = h
	}
	return c
}

// get completes a lookup that began in the uppermost layer. found says that this layer has the entry it for the key;
// covered says that one of its deleted ranges contains the key. If neither holds, get looks the key up in the frozen layer
// and the table. Then it reads the value.
func (v *version) get(key string, it item, found, covered bool) ([]byte, uint64, error) {
	loc := it.loc
	if !found && !covered {
		var err error
		if loc, found, err = v.find(key); err != nil {
			return nil, 0, err
		}
	}
	if !found || loc.Segment == 0 || loc.Seq <= v.floors[spaceOf([]byte(key))] {
		return nil, 0, ErrNotFound
	}
	value, err := v.read([]byte(key), loc, nil)
	return value, loc.Seq, err
}

// read returns the value at loc, in buf if that is large enough. It checks the value and its key against the checksum.
func (v *version) read(key []byte, loc table.Loc, buf []byte) ([]byte, error) {
	h := v.segments[loc.Segment]
	if h == nil {
		return nil, &FileError{File: segmentName(uint64(loc.Segment)), Offset: -1,
			Err: fmt.Errorf("%w: the index refers to this segment, and the manifest does not have it", ErrCorrupt)}
	}
	value := slices.Grow(buf[:0], int(loc.Size))[:loc.Size]
	if n, err := h.f.ReadAt(value, int64(loc.Offset)); n < len(value) {
		if errors.Is(err, io.EOF) {
			err = fmt.Errorf("%w: ends early", ErrCorrupt)
		}
		return nil, &FileError{File: h.name, Offset: int64(loc.Offset) + int64(n), Err: err}
	}
	if segment.Sum(key, value) != loc.Sum {
		return nil, &FileError{File: h.name, Offset: int64(loc.Offset), Err: fmt.Errorf("%w: the value's checksum does not match", ErrCorrupt)}
	}
	return value, nil
}

// swap replaces the version that readers get. It calls next with the current version while s.mu is locked. next returns the
// new version with one reference, which becomes the store's. swap then drops the store's reference to the old version.
func (s *Store) swap(next func(v *version) *version) {
	s.mu.Lock()
	old := s.version
	s.version = next(old)
	s.mu.Unlock()
	old.unref()
}

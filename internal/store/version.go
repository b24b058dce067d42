package store

import (
	"sync/atomic"

	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// handle is an open file that several versions share. The last one closes it; a file that was removed meanwhile
// can be read until then.
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

func (h *handle) ref() *handle { h.refs.Add(1); return h }

func (h *handle) unref() {
	if h.refs.Add(-1) == 0 {
		_ = h.f.Close() // opened for reading, or synced before
	}
}

// baseTable is the index on disk with its file.
type baseTable struct {
	t    *table.Table
	h    *handle
	size int64
}

// version is what lies under the uppermost layer at one time. It does not change, and the files in it stay readable
// while somebody holds it.
type version struct {
	frozen   *layer // on its way into the table; nil: none
	base     *baseTable
	segments map[uint32]*handle
	floors   map[uint16]uint64
	refs     atomic.Int32
}

// newVersion returns a version that holds all its files, and one hold on itself.
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

func (v *version) ref() *version { v.refs.Add(1); return v }

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

func (v *version) table() *table.Table {
	if v.base == nil {
		return nil
	}
	return v.base.t
}

// find looks a key up under the uppermost layer.
func (v *version) find(key string) (table.Loc, bool, error) {
	if v.frozen != nil {
		if it, ok := v.frozen.get(key); ok {
			return it.loc, !it.dead(), nil
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

// swap replaces the version that readers get. next is called with s.mu locked and returns a version with a reference for
// the store.
func (s *Store) swap(next func(v *version) *version) {
	s.mu.Lock()
	old := s.version
	s.version = next(old)
	s.mu.Unlock()
	old.unref()
}

// cloneSegments returns a copy of the map; it takes no references.
func cloneSegments(segs map[uint32]*handle) map[uint32]*handle {
	c := make(map[uint32]*handle, len(segs)+1)
	for id, h := range segs {
		c[id] = h
	}
	return c
}

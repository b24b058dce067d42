package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"golang.org/x/time/rate"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// lockName is the name of the lock file in a store's folder. An open store holds the lock on it.
const lockName = "LOCK"

// Open opens the store in a folder. Unless Options.Existing is set, it creates the folder and the store if they don't exist.
// If a crash interrupted the last write, Open cuts off the incomplete frame and logs that. After any other damage to the
// log it changes no file and returns an error that names the file and the offset and wraps ErrCorrupt. It returns ErrLocked
// if the store is open, in this process or another, and ErrNewer if a newer release wrote it. The caller must close the
// store.
func Open(dir string, opt Options) (*Store, error) {
	if err := opt.defaults(); err != nil {
		return nil, err
	}
	s := &Store{dir: dir, opt: opt, top: newLayer(), spaces: map[string]*Space{}, cache: table.NewCache(opt.CacheBytes),
		limits: plan.Limits{SegmentBytes: opt.SegmentBytes, Garbage: opt.Garbage, Tombstones: 0.2,
			PassBytes: 16 * opt.SegmentBytes}}
	if opt.PassBytesPerS > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(opt.PassBytesPerS), max(opt.PassBytesPerS/16, chunkBytes))
	}
	s.writer.wake, s.writer.written, s.writer.freeGroups = make(chan struct{}, 1), make(chan writtenGroup, 1), make(chan []*request, 4)
	s.writer.preparedSegments = make(chan *preparedSegment, 1)
	s.compactor = compactor{idle: make(chan struct{}, 1), wake: make(chan struct{}, 1), damaged: map[uint64]bool{}}
	s.compactor.idle <- struct{}{}
	lock, err := lockDir(opt.FS, dir, !opt.Existing)
	if err != nil {
		return nil, err
	}
	s.lock = lock
	if err := s.open(); err != nil {
		if s.version != nil {
			s.version.unref()
		}
		if s.writer.file != nil {
			s.writer.file.unref()
		}
		return nil, errors.Join(fmt.Errorf("store %s: %w", dir, err), lock.Close())
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Add(3)
	go s.writer.run(s)
	go s.writer.apply(s)
	go s.compactor.run(s)
	return s, nil
}

// lockDir locks a store's folder. If create is set, it first creates the folder if that is missing.
func lockDir(fsys vfs.FS, dir string, create bool) (io.Closer, error) {
	if create {
		if err := fsys.MkdirAll(dir); err != nil {
			return nil, fmt.Errorf("store %s: %w", dir, err)
		}
	} else if _, err := fsys.List(dir); err != nil {
		return nil, fmt.Errorf("store %s: %w", dir, err)
	}
	lock, err := fsys.Lock(dir + "/" + lockName)
	if errors.Is(err, vfs.ErrLocked) {
		return nil, fmt.Errorf("store %s: %w", dir, ErrLocked)
	}
	if err != nil {
		return nil, fmt.Errorf("store %s: locking "+lockName+": %w", dir, err)
	}
	return lock, nil
}

// open reads the files of the locked folder. It opens the segments and the table that the manifest names, replays the
// commits that the table does not have, and then removes files that the manifest does not name.
func (s *Store) open() error {
	otherFault, err := s.readManifest()
	if err != nil {
		return err
	}
	segs := map[uint32]*handle{}
	defer func() { // the version has its own references
		for _, h := range segs {
			h.unref()
		}
	}()
	for _, g := range s.man.Segments {
		h, err := s.openSegment(g)
		if err != nil {
			return err
		}
		segs[uint32(g.ID)] = h
	}
	base, err := s.openTable(s.man, segs)
	if err != nil {
		return err
	}
	s.version = newVersion(nil, base, segs, s.man.Clone().Floors)
	if base != nil {
		base.h.unref()
	}
	if err := s.replay(s.man, segs); err != nil {
		return err
	}
	if otherFault != nil {
		s.opt.Log.WithError(otherFault).WithField("store", s.dir).Warn("a copy of the manifest is made anew from the other")
		if err := s.install(func(*manifest.Manifest) {}); err != nil {
			return err
		}
	}
	if err := s.removeUnreferenced(); err != nil {
		return err
	}
	return s.loadSpaces()
}

// readManifest reads the manifest. If there is none, it creates an empty store, or returns ErrNoStore if Options.Existing is
// set. otherFault is the fault of the copy of the manifest that is not used, or nil.
func (s *Store) readManifest() (otherFault, err error) {
	man, otherFault, err := manifest.Read(s.opt.FS, s.dir)
	if errors.Is(err, manifest.ErrNone) && s.opt.Existing {
		return nil, ErrNoStore
	}
	if errors.Is(err, manifest.ErrNone) {
		if man, err = s.initialize(); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	if err := decodeID(man.Store, &s.id); err != nil {
		return nil, err
	}
	s.man = man
	if man.Floors == nil {
		man.Floors = map[uint16]uint64{}
	}
	return otherFault, nil
}

// initialize creates an empty store in a folder that has no manifest. A crash during an earlier call may have left segment 1
// with at most a header. A table, another segment, or a longer one means that both copies of the manifest were lost: then
// initialize returns ErrCorrupt.
func (s *Store) initialize() (*manifest.Manifest, error) {
	names, err := s.opt.FS.List(s.dir)
	if err != nil {
		return nil, err
	}
	for _, n := range names {
		if !isStoreFile(n) {
			continue
		}
		f, err := s.opt.FS.Open(s.path(n))
		if err != nil {
			return nil, err
		}
		size, err := f.Size()
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		if strings.HasSuffix(n, ".tab") || strings.HasSuffix(n, ".seg") && (n != segmentName(1) || size > segment.HeaderSize) {
			return nil, fmt.Errorf("%w: the folder has %s, and both copies of the manifest are missing", ErrCorrupt, n)
		}
	}
	if _, err := rand.Read(s.id[:]); err != nil {
		return nil, err
	}
	h, err := s.newSegment(segment.Header{Kind: segment.Log, Store: s.id, ID: 1, First: 1})
	if err != nil {
		return nil, err
	}
	h.unref()
	man := &manifest.Manifest{Format: manifest.Version, Store: hex.EncodeToString(s.id[:]), Generation: 1, NextID: 2,
		Segments: []plan.Segment{{ID: 1, Kind: plan.Log, First: 1}}}
	_, err = manifest.Write(s.opt.FS, s.dir, man)
	return man, err
}

// isStoreFile reports whether a name is of a form that the store gives to its segments, tables and copies of the manifest.
func isStoreFile(name string) bool {
	return strings.HasSuffix(name, ".seg") || strings.HasSuffix(name, ".tab") || strings.HasPrefix(name, "MANIFEST-")
}

// decodeID decodes a store's id from the manifest, where it is hexadecimal.
func decodeID(text string, id *[16]byte) error {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(id) {
		return fmt.Errorf("%w: manifest: store id %q is not %d bytes in hexadecimal", ErrCorrupt, text, len(id))
	}
	copy(id[:], b)
	return nil
}

// openSegment opens a segment's file and checks its size and header. It opens sealed segments for reading only.
func (s *Store) openSegment(g plan.Segment) (*handle, error) {
	name := segmentName(g.ID)
	open := s.opt.FS.Open
	if !g.Sealed {
		open = s.opt.FS.OpenRW
	}
	f, err := open(s.path(name))
	if err != nil {
		return nil, &FileError{File: name, Offset: -1, Err: err}
	}
	if err := checkSegment(f, g, s.id); err != nil {
		return nil, errors.Join(&FileError{File: name, Offset: err.Offset, Err: err.Err}, f.Close())
	}
	return newHandle(f, name), nil
}

// checkSegment compares a segment's size and header with the manifest, without reading its frames. If the open segment is
// shorter than a header, a crash interrupted its creation, which is no damage. The caller sets the error's File.
func checkSegment(f vfs.File, g plan.Segment, store [16]byte) *FileError {
	size, err := f.Size()
	if err != nil {
		return &FileError{Offset: -1, Err: err}
	}
	if g.Sealed && size != g.Size {
		return &FileError{Offset: min(size, g.Size), Err: fmt.Errorf("%w: file has %d bytes instead of %d", ErrCorrupt, size, g.Size)}
	}
	if size < segment.HeaderSize {
		return nil
	}
	b := make([]byte, segment.HeaderSize)
	if _, err := f.ReadAt(b, 0); err != nil {
		return &FileError{Offset: 0, Err: err}
	}
	h, err := segment.ParseHeader(b)
	kind := segment.Log
	if g.Kind == plan.Output {
		kind = segment.Output
	}
	switch {
	case err != nil:
		return &FileError{Offset: 0, Err: err}
	case h.Store != store:
		return &FileError{Offset: 0, Err: fmt.Errorf("%w: belongs to another store", ErrCorrupt)}
	case h.ID != g.ID || h.Kind != kind || kind == segment.Log && h.First != g.First:
		return &FileError{Offset: 0, Err: fmt.Errorf("%w: header is that of segment %d, kind %d, first commit %d; expected segment %d, kind %d, first commit %d",
			ErrCorrupt, h.ID, h.Kind, h.First, g.ID, kind, g.First)}
	}
	return nil
}

// openTable opens the table that the manifest names, or returns nil if it names none. All content of a table can be derived
// from the segments, so openTable replaces a table that is missing or damaged by a new one. It leaves the table of a newer
// release alone.
func (s *Store) openTable(man *manifest.Manifest, segs map[uint32]*handle) (*baseTable, error) {
	if man.Table == nil {
		return nil, nil
	}
	b, err := s.readTable(man.Table)
	if err == nil || errors.Is(err, ErrNewer) {
		return b, err
	}
	s.opt.Log.WithError(err).WithField("store", s.dir).Warn("index is damaged and made anew from the segments")
	return s.rebuild(man, segs)
}

// readTable opens a table's file and checks that the manifest describes this file. It reads the footer and the index of
// blocks, but no blocks.
func (s *Store) readTable(m *manifest.Table) (*baseTable, error) {
	name := tableName(m.ID)
	f, err := s.opt.FS.Open(s.path(name))
	if err != nil {
		return nil, &FileError{File: name, Offset: -1, Err: err}
	}
	size, err := f.Size()
	if err == nil && size != m.Size {
		err = &table.Error{Offset: min(size, m.Size), Err: fmt.Errorf("%w: file has %d bytes instead of %d", ErrCorrupt, size, m.Size)}
	}
	var t *table.Table
	if err == nil {
		t, err = table.Open(f, size, s.cache)
	}
	if err == nil {
		if i := t.Info(); i.Store != s.id || i.ID != m.ID || i.Seq != m.Seq || i.Count != m.Count {
			err = &table.Error{Err: fmt.Errorf("%w: footer is that of table %d with %d keys up to commit %d; expected table %d with %d keys up to commit %d",
				ErrCorrupt, i.ID, i.Count, i.Seq, m.ID, m.Count, m.Seq)}
		}
	}
	if err != nil {
		return nil, errors.Join(fileError(name, err), f.Close())
	}
	return &baseTable{t: t, h: newHandle(f, name), size: size}, nil
}

// rebuild writes a new table from the records of all sealed segments, and then a manifest that names it.
func (s *Store) rebuild(man *manifest.Manifest, segs map[uint32]*handle) (*baseTable, error) {
	index := newIndexBuilder()
	var upTo uint64
	for _, m := range man.Segments {
		if !m.Sealed {
			upTo = m.First - 1
			continue
		}
		h := segs[uint32(m.ID)]
		if _, err := index.addSegment(h.f, m, func(at int64, err error) error {
			return &FileError{File: h.name, Offset: at, Err: err}
		}); err != nil {
			return nil, err
		}
	}
	id := s.nextID()
	name := tableName(id)
	f, err := s.opt.FS.Create(s.path(name))
	if err != nil {
		return nil, err
	}
	h := newHandle(f, name)
	size, err := s.writeRebuilt(f, table.Info{Store: s.id, ID: id, Seq: upTo}, index.entries(man.Floors))
	var t *table.Table
	if err == nil {
		t, err = table.Open(f, size, s.cache)
	}
	if err == nil {
		err = s.opt.FS.SyncDir(s.dir)
	}
	if err == nil {
		err = s.install(func(m *manifest.Manifest) {
			i := t.Info()
			m.Table = &manifest.Table{ID: id, Size: size, Seq: i.Seq, Count: i.Count}
		})
	}
	if err != nil {
		h.unref()
		return nil, fmt.Errorf("rebuilding the index as %s: %w", name, err)
	}
	return &baseTable{t: t, h: h, size: size}, nil
}

// writeRebuilt writes the entries to a table, syncs it, and returns its size in bytes.
func (s *Store) writeRebuilt(f vfs.File, info table.Info, entries []table.Entry) (int64, error) {
	file := &throttledFile{f: f, name: tableName(info.ID)}
	w := table.NewWriter(file, info)
	for _, e := range entries {
		if err := w.Add(e); err != nil {
			return 0, err
		}
	}
	size, _, err := w.Finish()
	if err == nil {
		err = file.flush()
	}
	if err == nil {
		err = f.Sync()
	}
	return size, err
}

// removeUnreferenced removes files that the manifest does not name: a crash during a pass, the preparation of a segment or
// the writing of a manifest may have left them.
func (s *Store) removeUnreferenced() error {
	names, err := s.opt.FS.List(s.dir)
	if err != nil {
		return err
	}
	keep := map[string]bool{manifest.Names[0]: true, manifest.Names[1]: true}
	for _, g := range s.man.Segments {
		keep[segmentName(g.ID)] = true
	}
	if s.man.Table != nil {
		keep[tableName(s.man.Table.ID)] = true
	}
	for _, n := range names {
		if isStoreFile(n) && !keep[n] {
			s.remove(n)
		}
	}
	return nil
}

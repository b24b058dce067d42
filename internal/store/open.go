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

const lockName = "LOCK"

// Open opens the store in a folder. Unless Options.Existing is set, it creates the folder and the store if there are none.
// If a crash interrupted the last write, its remains are truncated and logged. Any other damage to the log is an error that
// names file and offset and wraps ErrCorrupt; Open changes nothing then. It returns ErrLocked if the store is open, in this
// process or another, and ErrNewer if a newer release wrote it. The caller must close the store.
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

// lockDir locks a store's folder, and creates the folder first if create is set.
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
		return nil, fmt.Errorf("store %s: the lock: %w", dir, err)
	}
	return lock, nil
}

// open reads the files of the locked folder.
func (s *Store) open() error {
	otherFault, err := s.readManifest()
	if err != nil {
		return err
	}
	segs := map[uint32]*handle{}
	defer func() { // the version has references of its own
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

// readManifest reads the manifest, or creates an empty store if there is none and Options.Existing is not set. otherFault is
// what is wrong with the copy that is not in force, or nil.
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

// initialize creates an empty store. The folder may have files of a store only if a crash interrupted an earlier call: any
// other means that both copies of the manifest were lost.
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
			return nil, fmt.Errorf("%w: %s is there, and both copies of the manifest are missing", ErrCorrupt, n)
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

// isStoreFile reports whether a name is one of the kinds that the store gives to its files.
func isStoreFile(name string) bool {
	return strings.HasSuffix(name, ".seg") || strings.HasSuffix(name, ".tab") || strings.HasPrefix(name, "MANIFEST-")
}

// decodeID reads a store's id as it is in the manifest.
func decodeID(text string, id *[16]byte) error {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(id) {
		return fmt.Errorf("%w: manifest: store %q", ErrCorrupt, text)
	}
	copy(id[:], b)
	return nil
}

// openSegment opens a segment, the open one for writing too, and checks its size and header.
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

// checkSegment compares a segment's size and header with the manifest, without reading its frames. The open segment may be
// shorter than a header: a crash interrupted its creation, which is no damage. The error's File is left to the caller.
func checkSegment(f vfs.File, g plan.Segment, store [16]byte) *FileError {
	size, err := f.Size()
	if err != nil {
		return &FileError{Offset: -1, Err: err}
	}
	if g.Sealed && size != g.Size {
		return &FileError{Offset: min(size, g.Size), Err: fmt.Errorf("%w: is %d bytes long instead of %d", ErrCorrupt, size, g.Size)}
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
		return &FileError{Offset: 0, Err: fmt.Errorf("%w: is another segment, number %d", ErrCorrupt, h.ID)}
	}
	return nil
}

// openTable opens the table that the manifest names, or returns nil if it names none. A table has nothing that the segments
// don't have, so a damaged one is replaced.
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

// readTable opens a table and checks that it is the one in the manifest.
func (s *Store) readTable(m *manifest.Table) (*baseTable, error) {
	name := tableName(m.ID)
	f, err := s.opt.FS.Open(s.path(name))
	if err != nil {
		return nil, &FileError{File: name, Offset: -1, Err: err}
	}
	size, err := f.Size()
	if err == nil && size != m.Size {
		err = &table.Error{Offset: min(size, m.Size), Err: fmt.Errorf("%w: is %d bytes long instead of %d", ErrCorrupt, size, m.Size)}
	}
	var t *table.Table
	if err == nil {
		t, err = table.Open(f, size, s.cache)
	}
	if err == nil {
		if i := t.Info(); i.Store != s.id || i.ID != m.ID || i.Seq != m.Seq || i.Count != m.Count {
			err = &table.Error{Err: fmt.Errorf("%w: is another table, number %d", ErrCorrupt, i.ID)}
		}
	}
	if err != nil {
		return nil, errors.Join(fileError(name, err), f.Close())
	}
	return &baseTable{t: t, h: newHandle(f, name), size: size}, nil
}

// rebuild makes a new table of all sealed segments and puts it into the manifest.
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
		return nil, fmt.Errorf("making the index anew: %w", err)
	}
	return &baseTable{t: t, h: h, size: size}, nil
}

// writeRebuilt writes a table and syncs it. It returns its size.
func (s *Store) writeRebuilt(f vfs.File, info table.Info, entries []table.Entry) (int64, error) {
	file := &pacedFile{f: f, name: tableName(info.ID)}
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

// removeUnreferenced removes files that the manifest does not name, which a crash left of a pass or a new segment.
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

package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// Lost is a range of a file, from Offset on. Repair could not copy its content.
type Lost struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"` // of the first byte of the range; -1: the complete file
	Why    string `json:"why"`
}

// Repaired is the report of Repair. The command store repair prints it as JSON.
type Repaired struct {
	Records int    `json:"records"` // number of records in the new store
	Frames  int    `json:"frames"`  // number of undamaged frames that were read
	Lost    []Lost `json:"lost"`    // ranges that could not be read
	// Guessed is true if neither copy of the manifest could be read. Repair then read all segments in the folder, so records
	// that had expired may be in the new store.
	Guessed bool `json:"guessed,omitempty"`
}

// Repair copies the undamaged records of the store in dir to a new store in the folder into, which must be empty or missing.
// It does not change the old store. A key whose newest record or deletion was lost has an earlier value or is missing; no
// key has a value that it never had. The records get new sequence numbers, in the order of the old ones. Repair returns
// ErrLocked if the old store is open.
func Repair(ctx context.Context, dir, into string, opt Options) (*Repaired, error) {
	if err := opt.defaults(); err != nil {
		return nil, err
	}
	lock, err := lockDir(opt.FS, dir, false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = lock.Close() }() // only unlocks the folder
	if names, err := opt.FS.List(into); err == nil && len(names) > 0 {
		return nil, fmt.Errorf("store: repairing into %s: the folder is not empty: it has %d files", into, len(names))
	} else if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("store: repairing into %s: %w", into, err)
	}
	r := &repairer{Repaired: &Repaired{Lost: []Lost{}}, s: &Store{dir: dir, opt: opt}, files: map[uint32]vfs.File{}, index: newIndexBuilder()}
	defer func() {
		for _, f := range r.files {
			_ = f.Close()
		}
	}()
	man, err := r.manifest()
	if err != nil {
		return nil, err
	}
	for _, g := range man.Segments {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		r.readSegment(g)
	}
	to, err := Open(into, opt)
	if err != nil {
		return nil, err
	}
	if err := r.write(ctx, to, r.index.entries(man.Floors)); err != nil {
		return nil, errors.Join(err, to.Close())
	}
	return r.Repaired, to.Close()
}

// repairer is one run of Repair.
type repairer struct {
	*Repaired
	s     *Store              // the old store; never opened, only used for its folder and options
	files map[uint32]vfs.File // open segments, by number
	index *indexBuilder
}

// addLost adds to the report that a file could not be read from offset at on.
func (r *repairer) addLost(file string, at int64, err error) {
	r.Lost = append(r.Lost, Lost{file, at, err.Error()})
}

// manifest returns the current manifest. If both copies are damaged or missing, it returns one of all segments in the folder
// and sets Guessed.
func (r *repairer) manifest() (*manifest.Manifest, error) {
	man, _, err := manifest.Read(r.s.opt.FS, r.s.dir)
	if err == nil || errors.Is(err, ErrNewer) {
		return man, err
	}
	names, lerr := r.s.opt.FS.List(r.s.dir)
	if lerr != nil {
		return nil, lerr
	}
	r.Guessed = true
	r.addLost("MANIFEST", -1, err)
	man = &manifest.Manifest{}
	for _, n := range names {
		var id uint64
		if _, err := fmt.Sscanf(n, "%d.seg", &id); err == nil && n == segmentName(id) {
			man.Segments = append(man.Segments, plan.Segment{ID: id})
		}
	}
	if len(man.Segments) == 0 {
		return nil, fmt.Errorf("store %s: the folder has neither a manifest nor a segment", r.s.dir)
	}
	return man, nil
}

// readSegment adds the undamaged frames of a segment to the index and reports the damaged ranges as lost.
func (r *repairer) readSegment(g plan.Segment) {
	name := segmentName(g.ID)
	f, err := r.s.opt.FS.Open(r.s.path(name))
	if err != nil {
		r.addLost(name, -1, err)
		return
	}
	r.files[uint32(g.ID)] = f
	size, err := f.Size()
	if err != nil {
		r.addLost(name, -1, err)
		return
	}
	if g.Sealed && size != g.Size {
		r.addLost(name, min(size, g.Size), fmt.Errorf("%w: file has %d bytes instead of %d", ErrCorrupt, size, g.Size))
	}
	g.Size = size
	head := make([]byte, min(size, segment.HeaderSize))
	if _, err = f.ReadAt(head, 0); err == nil {
		var h segment.Header
		if h, err = segment.ParseHeader(head); err == nil && r.Guessed {
			g.Kind = plan.Log
			if h.Kind == segment.Output {
				g.Kind = plan.Output
			}
		}
		if err == nil && h.ID != g.ID {
			// The file has the content of segment h.ID. Repair reads the records of segment h.ID from the file that is
			// named after it, if there is one.
			r.addLost(name, 0, fmt.Errorf("%w: header is that of segment %d, expected segment %d", ErrCorrupt, h.ID, g.ID))
			return
		}
	}
	if err != nil {
		r.addLost(name, 0, err)
		if r.Guessed {
			return // without a manifest or a header the segment's kind is unknown
		}
	}
	n, err := r.index.addSegment(f, g, func(at int64, err error) error {
		r.addLost(name, at, err)
		return nil
	})
	r.Frames += n
	if err != nil {
		r.addLost(name, -1, err)
	}
}

// repairBatchBytes is the size in bytes from which Repair commits a batch to the new store.
const repairBatchBytes = 1 << 20

// write commits the records to the new store in the order of their commits.
func (r *repairer) write(ctx context.Context, to *Store, entries []table.Entry) error {
	slices.SortStableFunc(entries, func(a, b table.Entry) int { return cmp.Compare(a.Loc.Seq, b.Loc.Seq) })
	var b Batch
	flush := func() error {
		if err := ctx.Err(); err != nil {
			return err
		}
		_, err := to.Commit(&b)
		b.Reset()
		return err
	}
	for _, e := range entries {
		value := make([]byte, e.Loc.Size)
		if _, err := r.files[e.Loc.Segment].ReadAt(value, int64(e.Loc.Offset)); err != nil {
			return &FileError{File: segmentName(uint64(e.Loc.Segment)), Offset: int64(e.Loc.Offset), Err: err}
		}
		if segment.Sum(e.Key, value) != e.Loc.Sum {
			return &FileError{File: segmentName(uint64(e.Loc.Segment)), Offset: int64(e.Loc.Offset),
				Err: fmt.Errorf("%w: the value's checksum does not match", ErrCorrupt)}
		}
		// The number of the space is kept, and namesSpace is copied like any other, so the new store has the same spaces.
		b.Put(&Space{id: spaceOf(e.Key)}, e.Key[2:], value)
		r.Records++
		if b.Size() >= repairBatchBytes {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	return flush()
}

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

// Lost is a range of a file that Repair had to leave out.
type Lost struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"` // -1: the complete file
	Why    string `json:"why"`
}

// Repaired is the report of Repair. Its JSON is printed by the command.
type Repaired struct {
	Records int    `json:"records"` // in the new store
	Frames  int    `json:"frames"`  // read
	Lost    []Lost `json:"lost"`
	// Guessed: neither copy of the manifest could be read, so the segments were taken as found in the folder. Records that
	// had expired may be back.
	Guessed bool `json:"guessed,omitempty"`
}

// Repair makes a new store in the folder into, which must be empty or missing, of what is undamaged in the one in dir, which
// it does not change. A key whose newest record or deletion was lost has an earlier value or is missing; no key has a value
// that it never had. Sequence numbers are assigned anew, in the old order. Repair returns ErrLocked while the store is open.
func Repair(ctx context.Context, dir, into string, opt Options) (*Repaired, error) {
	if err := opt.defaults(); err != nil {
		return nil, err
	}
	lock, err := lockDir(opt.FS, dir, false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = lock.Close() }() // only gives the lock back
	if names, err := opt.FS.List(into); err == nil && len(names) > 0 {
		return nil, fmt.Errorf("store: repair into %s: the folder is not empty", into)
	} else if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("store: repair into %s: %w", into, err)
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
	s     *Store // never opened: it only finds files
	files map[uint32]vfs.File
	index *indexBuilder
}

// addLost reports a range as lost.
func (r *repairer) addLost(file string, at int64, err error) {
	r.Lost = append(r.Lost, Lost{file, at, err.Error()})
}

// manifest returns the manifest in force, or one of all segments in the folder if neither copy is undamaged.
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
		return nil, fmt.Errorf("store %s: there is nothing of a store in it", r.s.dir)
	}
	return man, nil
}

// readSegment adds the undamaged frames of a segment to the index and reports the rest as lost.
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
		r.addLost(name, min(size, g.Size), fmt.Errorf("%w: is %d bytes long instead of %d", ErrCorrupt, size, g.Size))
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
			// Its records are another segment's, which has them under its own name if it is here.
			r.addLost(name, 0, fmt.Errorf("%w: is another segment, number %d", ErrCorrupt, h.ID))
			return
		}
	}
	if err != nil {
		r.addLost(name, 0, err)
		if r.Guessed {
			return // its kind is unknown
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

// repairBatchBytes is the size from which a batch is committed to the new store.
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
				Err: fmt.Errorf("%w: value's checksum", ErrCorrupt)}
		}
		// Keys of the index are copied as they are, so the records of the spaces come along.
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

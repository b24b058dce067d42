package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// Report is the result of Check. The command store check prints it as JSON.
type Report struct {
	Store    string   `json:"store"`               // the store's id in hexadecimal
	Segments int      `json:"segments"`            // number of segments in the manifest
	Frames   int      `json:"frames"`              // number of undamaged frames
	Records  int      `json:"records"`             // number of live records; 0 if a segment is damaged
	TornFrom int64    `json:"torn_from"`           // offset of the torn end of the open segment; -1: its end is not torn
	TornFile string   `json:"torn_file,omitempty"` // name of the open segment, if its end is torn
	Notes    []string `json:"notes,omitempty"`     // a torn end, or the fault of one copy of the manifest: Open repairs both
	Faults   []string `json:"faults,omitempty"`    // all other faults
	faults   []error  // Faults as errors
}

// Err joins the faults. It returns nil if there are none: then Open succeeds and every record can be read.
func (r *Report) Err() error { return errors.Join(r.faults...) }

// addFault adds an error to both lists of faults.
func (r *Report) addFault(err error) {
	r.faults = append(r.faults, err)
	r.Faults = append(r.Faults, err.Error())
}

// Check reads a store completely and changes nothing. It compares every frame and every block with its checksum, and the
// table with an index that it builds from the segments. The report has the faults that it finds. Check returns an error only
// if it could not check the store, such as ErrLocked if the store is open. A nil fsys means the operating system's.
func Check(ctx context.Context, dir string, fsys vfs.FS) (*Report, error) {
	if fsys == nil {
		fsys = vfs.OS{}
	}
	lock, err := lockDir(fsys, dir, false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = lock.Close() }() // only unlocks the folder
	r := &Report{TornFrom: -1}
	man, otherFault, err := manifest.Read(fsys, dir)
	if err != nil {
		if errors.Is(err, manifest.ErrNone) {
			return nil, fmt.Errorf("store %s: %w", dir, err)
		}
		r.addFault(err)
		return r, nil
	}
	if otherFault != nil {
		r.Notes = append(r.Notes, otherFault.Error())
	}
	c := checker{Report: r, s: &Store{dir: dir, opt: Options{FS: fsys}, cache: table.NewCache(1 << 20)}, man: man}
	r.Store, r.Segments = man.Store, len(man.Segments)
	if err := decodeID(man.Store, &c.s.id); err != nil {
		r.addFault(err)
		return r, nil
	}
	return r, c.run(ctx)
}

// checker is one run of Check.
type checker struct {
	*Report
	s   *Store // never opened, only used to find and read files
	man *manifest.Manifest
}

// run reads all segments and the table. If the segments are undamaged, it compares the table with them.
func (c *checker) run(ctx context.Context) error {
	var upTo uint64
	if c.man.Table != nil {
		upTo = c.man.Table.Seq
	}
	covered, all := newIndexBuilder(), newIndexBuilder() // of the commits that the table covers, and of all commits
	undamaged := true
	for _, g := range c.man.Segments {
		if err := ctx.Err(); err != nil {
			return err
		}
		into := []*indexBuilder{all}
		if g.Sealed && (g.Kind == plan.Output || g.Last <= upTo) {
			into = append(into, covered)
		}
		undamaged = c.readSegment(g, into) && undamaged
	}
	if undamaged {
		c.Records = len(all.entries(c.man.Floors))
	}
	if c.man.Table == nil {
		return nil
	}
	b, err := c.s.readTable(c.man.Table)
	if err == nil {
		defer b.h.unref()
		if err = b.t.Check(); err != nil {
			err = fileError(b.h.name, err)
		}
	}
	if err != nil {
		c.addFault(err)
		return nil
	}
	if undamaged {
		c.compareIndex(b, covered)
	}
	return nil
}

// readSegment adds a segment's frames to the indexes in into, and reports whether the segment is undamaged.
func (c *checker) readSegment(g plan.Segment, into []*indexBuilder) bool {
	name := segmentName(g.ID)
	before := len(c.faults)
	f, err := c.s.opt.FS.Open(c.s.path(name))
	if err != nil {
		c.addFault(&FileError{File: name, Offset: -1, Err: err})
		return false
	}
	defer func() { _ = f.Close() }() // the file was only read, so a failed close loses no data
	if err := checkSegment(f, g, c.s.id); err != nil {
		err.File = name
		c.addFault(err)
		return false
	}
	if !g.Sealed {
		c.readOpenSegment(f, g, name, into[0])
		return len(c.faults) == before
	}
	for i, to := range into {
		n, _ := to.addSegment(f, g, func(at int64, err error) error {
			if i == 0 {
				c.addFault(&FileError{File: name, Offset: at, Err: err})
			}
			return nil
		})
		if i == 0 {
			c.Frames += n
		}
	}
	return len(c.faults) == before
}

// readOpenSegment adds the frames of the open segment to the index all. A torn end is a note and no fault, because Open cuts
// it off.
func (c *checker) readOpenSegment(f vfs.File, g plan.Segment, name string, all *indexBuilder) {
	size, err := f.Size()
	if err != nil {
		c.addFault(&FileError{File: name, Offset: -1, Err: err})
		return
	}
	at := int64(0)
	if size >= segment.HeaderSize {
		sc := segment.NewScanner(f, segment.HeaderSize, size)
		next, cause, err := c.readCommits(sc, g, all)
		at = sc.Offset()
		end := cleanEnd
		if err == nil {
			end, err = inspectEnd(sc, next, cause)
		}
		if err != nil {
			c.addFault(&FileError{File: name, Offset: at, Err: err})
			return
		}
		if end != tornEnd {
			return
		}
	}
	c.TornFile, c.TornFrom = name, at
	c.Notes = append(c.Notes, fmt.Sprintf("%s: offset %d: the end is torn and will be cut off at the next opening", name, at))
}

// readCommits adds frames of the open segment to the index until one is damaged or has the wrong content, or the segment
// ends. The Scanner is then positioned at that frame. readCommits returns the number of the commit that it expected there.
// cause is why no frame could be read there; err is set instead if the frame is complete and has the wrong content.
func (c *checker) readCommits(sc *segment.Scanner, g plan.Segment, all *indexBuilder) (next uint64, cause, err error) {
	for next = g.First; ; next++ {
		f, at, cause := sc.Next()
		if cause != nil {
			return next, cause, nil
		}
		if f.Seq != next {
			err = fmt.Errorf("%w: frame of commit %d instead of %d", ErrCorrupt, f.Seq, next)
		} else {
			err = all.addFrame(f, g, at)
		}
		if err != nil {
			sc.SeekTo(at)
			return next, nil, err
		}
		c.Frames++
	}
}

// compareIndex compares the table with covered, the index built from the segments that the table covers. It reports the
// first difference.
func (c *checker) compareIndex(b *baseTable, covered *indexBuilder) {
	it := b.t.Seek(nil)
	for _, want := range covered.entries(c.man.Floors) {
		for it.Next() {
			e := it.Entry()
			if e.Loc.Seq <= c.man.Floors[spaceOf(e.Key)] {
				continue // expired, and not dropped from the table yet
			}
			if !bytes.Equal(e.Key, want.Key) || e.Loc != want.Loc {
				c.addFault(&FileError{File: b.h.name, Offset: -1, Err: fmt.Errorf(
					"%w: the index has key %x at %+v, and the segments have key %x at %+v", ErrCorrupt, e.Key, e.Loc, want.Key, want.Loc)})
				return
			}
			break
		}
	}
	for it.Next() {
		if e := it.Entry(); e.Loc.Seq > c.man.Floors[spaceOf(e.Key)] {
			c.addFault(&FileError{File: b.h.name, Offset: -1, Err: fmt.Errorf(
				"%w: the index has key %x at %+v, and the segments have no such key", ErrCorrupt, e.Key, e.Loc)})
			return
		}
	}
}

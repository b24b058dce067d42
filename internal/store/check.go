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

// Report is what Check found. Its JSON is printed by the command.
type Report struct {
	Store    string   `json:"store"` // its id
	Segments int      `json:"segments"`
	Frames   int      `json:"frames"`
	Records  int      `json:"records"`   // live ones; 0 if a segment is damaged
	TornFrom int64    `json:"torn_from"` // offset of the torn end of the open segment; -1: it has none
	TornFile string   `json:"torn_file,omitempty"`
	Notes    []string `json:"notes,omitempty"` // what Open repairs by itself
	Faults   []string `json:"faults,omitempty"`
	faults   []error
}

// Err joins the faults. If there are none, it is nil: the store can be opened and all of it be read.
func (r *Report) Err() error { return errors.Join(r.faults...) }

// addFault adds an error to both lists of faults.
func (r *Report) addFault(err error) {
	r.faults = append(r.faults, err)
	r.Faults = append(r.Faults, err.Error())
}

// Check reads a store completely and changes nothing. It compares every frame and every block with its checksum, and the
// index with what the segments alone yield. What it finds is in the report; an error means that it could not check:
// ErrLocked that the store is open. A nil fsys stands for the operating system's.
func Check(ctx context.Context, dir string, fsys vfs.FS) (*Report, error) {
	if fsys == nil {
		fsys = vfs.OS{}
	}
	lock, err := lockDir(fsys, dir, false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = lock.Close() }() // only gives the lock back
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
	s   *Store // never opened: it only finds and reads files
	man *manifest.Manifest
}

// run reads all segments and the table, and compares them if the segments are undamaged.
func (c *checker) run(ctx context.Context) error {
	var upTo uint64
	if c.man.Table != nil {
		upTo = c.man.Table.Seq
	}
	known, all := newIndexBuilder(), newIndexBuilder() // of what the table covers, and of all segments
	undamaged := true
	for _, g := range c.man.Segments {
		if err := ctx.Err(); err != nil {
			return err
		}
		into := []*indexBuilder{all}
		if g.Sealed && (g.Kind == plan.Output || g.Last <= upTo) {
			into = append(into, known)
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
		c.compareIndex(b, known)
	}
	return nil
}

// readSegment reads a segment into the indexes and reports whether it is undamaged.
func (c *checker) readSegment(g plan.Segment, into []*indexBuilder) bool {
	name := segmentName(g.ID)
	before := len(c.faults)
	f, err := c.s.opt.FS.Open(c.s.path(name))
	if err != nil {
		c.addFault(&FileError{File: name, Offset: -1, Err: err})
		return false
	}
	defer func() { _ = f.Close() }() // opened for reading: nothing can be lost
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

// readOpenSegment reads the open segment, whose end may be torn.
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

// readCommits adds all frames of the open segment to the index until one is not as it should be, before which the Scanner
// then stands. It returns the number of the commit that would have been next and the cause why no frame was read there. err
// says what is wrong with a frame that is complete.
func (c *checker) readCommits(sc *segment.Scanner, g plan.Segment, all *indexBuilder) (next uint64, cause, err error) {
	for next = g.First; ; next++ {
		f, at, cause := sc.Next()
		if cause != nil {
			return next, cause, nil
		}
		if f.Seq != next {
			err = fmt.Errorf("%w: commit %d, and %d is due", ErrCorrupt, f.Seq, next)
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

// compareIndex compares the index on disk with the one that the segments yield.
func (c *checker) compareIndex(b *baseTable, known *indexBuilder) {
	it := b.t.Seek(nil)
	for _, want := range known.entries(c.man.Floors) {
		for it.Next() {
			e := it.Entry()
			if e.Loc.Seq <= c.man.Floors[spaceOf(e.Key)] {
				continue // too old, and not dropped yet
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

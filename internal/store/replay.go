package store

import (
	"errors"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
)

// replay reads what of the log the index on disk does not know.
func (s *Store) replay(man *manifest.Manifest, segs map[uint32]*handle) error {
	var known uint64
	if man.Table != nil {
		known = man.Table.Seq
	}
	next := known + 1
	for _, g := range plan.UnindexedLogs(man.Segments, known) {
		h := segs[uint32(g.ID)]
		if g.First != next {
			return &FileError{File: h.name, Offset: 0,
				Err: fmt.Errorf("%w: starts with commit %d, and %d is due", ErrCorrupt, g.First, next)}
		}
		var err error
		if g.Sealed {
			next, err = s.replaySealed(g, h, next)
		} else {
			next, err = s.replayOpen(g, h, next)
		}
		if err != nil {
			return err
		}
	}
	if s.writer.file == nil {
		return fmt.Errorf("%w: manifest: no open segment", ErrCorrupt)
	}
	s.seq, s.writer.seq = next-1, next-1
	s.durable.Store(next - 1)
	return nil
}

func (s *Store) replaySealed(g plan.Segment, h *handle, next uint64) (uint64, error) {
	sc := segment.NewScanner(h.f, segment.HeaderSize, g.Size)
	next, err := s.replayFrames(sc, g, h, next)
	if err == io.EOF && next != g.Last+1 {
		err = fmt.Errorf("%w: ends with commit %d instead of %d", ErrCorrupt, next-1, g.Last)
	}
	if err != io.EOF {
		return next, &FileError{File: h.name, Offset: sc.Offset(), Err: err}
	}
	s.writer.unindexed.Add(g.Size)
	return next, nil
}

// errContent tells of a frame that is whole and yet not what was written there. No cut leaves such a thing.
var errContent = errors.New("whole frame")

// replayFrames has all frames take effect until one is not as it should be; then it returns why. The Scanner stands
// before that one.
func (s *Store) replayFrames(sc *segment.Scanner, g plan.Segment, h *handle, next uint64) (uint64, error) {
	for {
		f, at, err := sc.Next()
		if err != nil {
			return next, err
		}
		if f.Seq != next {
			sc.SeekTo(at)
			return next, fmt.Errorf("%w: %w: commit %d, and %d is due", errContent, ErrCorrupt, f.Seq, next)
		}
		if err := segment.Ops(f.Payload, func(o segment.Op) error {
			return s.replayOp(o, f.Seq, uint32(g.ID), uint32(at), !g.Sealed)
		}); err != nil {
			sc.SeekTo(at)
			return next, fmt.Errorf("%w: %w", errContent, err)
		}
		if !g.Sealed && at == segment.HeaderSize {
			s.writer.firstCommitAt = f.Time
		}
		next++
	}
}

func (s *Store) replayOp(o segment.Op, seq uint64, seg, at uint32, open bool) error {
	if len(o.Key) < 2 || o.Kind == segment.DeleteRange && len(o.End) < 2 {
		return fmt.Errorf("%w: key of %d bytes", ErrCorrupt, len(o.Key))
	}
	switch o.Kind {
	case segment.Put:
		s.top.set(item{key: string(o.Key), loc: table.Loc{Seq: seq, Segment: seg, Offset: at + uint32(o.At),
			Size: uint32(len(o.Value)), Sum: segment.Sum(o.Key, o.Value)}})
		if open {
			s.writer.puts += plan.PutBytes(len(o.Key), len(o.Value))
		}
		return nil
	case segment.Delete:
		s.top.set(item{key: string(o.Key), loc: table.Loc{Seq: seq}})
	case segment.DeleteRange:
		s.top.deleteRange(span{string(o.Key), string(o.End)})
	}
	if open {
		s.writer.tombstones += tombstoneBytes(len(o.Key), len(o.End))
	}
	return nil
}

// replayOpen reads the open segment and cuts a torn end off it.
func (s *Store) replayOpen(g plan.Segment, h *handle, next uint64) (uint64, error) {
	size, err := h.f.Size()
	if err != nil {
		return next, &FileError{File: h.name, Offset: -1, Err: err}
	}
	good := size
	if size >= segment.HeaderSize {
		sc := segment.NewScanner(h.f, segment.HeaderSize, size)
		if next, err = s.replayFrames(sc, g, h, next); err != io.EOF {
			good = sc.Offset()
			if !errors.Is(err, ErrCorrupt) || errors.Is(err, errContent) {
				return next, &FileError{File: h.name, Offset: good, Err: err}
			}
			sc.SeekTo(good)
			zeros, zerr := sc.RestZero()
			if zerr != nil {
				return next, &FileError{File: h.name, Offset: good, Err: zerr}
			}
			if zeros { // the segment was made ready for more
				s.writer.mayHaveZeros, size = true, good
			} else if rerr := tornEnd(sc, next, err); rerr != nil {
				return next, &FileError{File: h.name, Offset: good, Err: rerr}
			}
		}
	}
	if size < segment.HeaderSize {
		good = segment.HeaderSize
		if err = h.f.Truncate(0); err == nil {
			_, err = h.f.WriteAt(segment.AppendHeader(nil, segment.Header{Kind: segment.Log, Store: s.id, ID: g.ID, First: g.First}), 0)
		}
	} else if good < size {
		err = h.f.Truncate(good)
	} else {
		err = nil
	}
	if good != size {
		if err == nil {
			err = h.f.Sync()
		}
		if err != nil {
			return next, &FileError{File: h.name, Offset: good, Err: fmt.Errorf("cutting a torn end off: %w", err)}
		}
		s.opt.Log.WithFields(logrus.Fields{"store": s.dir, "file": h.name, "offset": good, "cut": max(0, size-good),
			"last": next - 1}).Warn("torn end of the log is cut off; all before it is there")
	}
	s.writer.file, s.writer.segmentID = h.ref(), g.ID
	s.writer.size.Store(good)
	s.writer.unindexed.Add(good)
	return next, nil
}

// tornEnd tells whether what follows a bad frame, which would have been commit next, is a torn end: nil. Commits are
// synced in their order, so a later frame that is whole and calls the bad one durable proves that it was whole once.
func tornEnd(sc *segment.Scanner, next uint64, cause error) error {
	was, err := sc.Resync(func(f segment.Frame) bool { return f.Durable >= next })
	if err != nil {
		return err
	}
	if was {
		return fmt.Errorf("%w; the frame at offset %d tells that it was whole once", cause, sc.Offset())
	}
	return nil
}

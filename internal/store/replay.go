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

// replay reads the part of the log that the table does not cover into the uppermost layer.
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

// replaySealed reads a sealed segment, all of which must be there.
func (s *Store) replaySealed(g plan.Segment, h *handle, next uint64) (uint64, error) {
	sc := segment.NewScanner(h.f, segment.HeaderSize, g.Size)
	next, err := s.replayFrames(sc, g, next)
	if errors.Is(err, io.EOF) && next != g.Last+1 {
		err = fmt.Errorf("%w: ends with commit %d instead of %d", ErrCorrupt, next-1, g.Last)
	}
	if !errors.Is(err, io.EOF) {
		return next, &FileError{File: h.name, Offset: sc.Offset(), Err: err}
	}
	s.writer.unindexed.Add(g.Size)
	return next, nil
}

// errContent is wrapped by errors about a frame that is complete and yet not what was written there. No crash leaves one.
var errContent = errors.New("complete frame")

// replayFrames applies all frames until one is not as it should be, and returns why and the commit that would have been
// next: io.EOF if the segment ends. The Scanner then stands before that frame.
func (s *Store) replayFrames(sc *segment.Scanner, g plan.Segment, next uint64) (uint64, error) {
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

// replayOp applies one operation of a frame at offset at. Those of the open segment count for its figures.
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

// replayOpen reads the open segment and truncates a torn end.
func (s *Store) replayOpen(g plan.Segment, h *handle, next uint64) (uint64, error) {
	size, err := h.f.Size()
	if err != nil {
		return next, &FileError{File: h.name, Offset: -1, Err: err}
	}
	good, end := int64(segment.HeaderSize), tornEnd
	if size >= segment.HeaderSize {
		sc := segment.NewScanner(h.f, segment.HeaderSize, size)
		var cause error
		next, cause = s.replayFrames(sc, g, next)
		good = sc.Offset()
		if end, err = inspectEnd(sc, next, cause); err != nil {
			return next, &FileError{File: h.name, Offset: good, Err: err}
		}
		s.writer.mayHaveZeros = end == zeroEnd
	}
	if end == tornEnd {
		if err := s.truncateTornEnd(g, h, size, good); err != nil {
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

// truncateTornEnd truncates the open segment from size to good bytes. A header that is not complete is written anew.
func (s *Store) truncateTornEnd(g plan.Segment, h *handle, size, good int64) error {
	if size >= segment.HeaderSize {
		if err := h.f.Truncate(good); err != nil {
			return err
		}
		return h.f.Sync()
	}
	if err := h.f.Truncate(0); err != nil {
		return err
	}
	header := segment.Header{Kind: segment.Log, Store: s.id, ID: g.ID, First: g.First}
	if _, err := h.f.WriteAt(segment.AppendHeader(nil, header), 0); err != nil {
		return err
	}
	return h.f.Sync()
}

// logEnd is how the frames of the open segment end.
type logEnd int

const (
	cleanEnd logEnd = iota // with the file
	zeroEnd                // with zeros up to the file's end: the segment was prepared, see prepareSegment
	tornEnd                // with a write that a crash interrupted
)

// inspectEnd decides how the open segment ends, given why commit next could not be read where the Scanner stands. An error
// means that it is damaged there, or that the disk does not read.
//
// Commits are synced in their order. So a later frame that is complete and calls commit next durable proves that this one
// was complete once, and is no torn end.
func inspectEnd(sc *segment.Scanner, next uint64, cause error) (logEnd, error) {
	if errors.Is(cause, io.EOF) {
		return cleanEnd, nil
	}
	if !errors.Is(cause, ErrCorrupt) || errors.Is(cause, errContent) {
		return tornEnd, cause
	}
	zeros, err := sc.RestZero()
	if err != nil {
		return tornEnd, err
	}
	if zeros {
		return zeroEnd, nil
	}
	wasDurable, err := sc.Resync(func(f segment.Frame) bool { return f.Durable >= next })
	if err != nil {
		return tornEnd, err
	}
	if wasDurable {
		return tornEnd, fmt.Errorf("%w; the frame at offset %d shows that it was complete once", cause, sc.Offset())
	}
	return tornEnd, nil
}

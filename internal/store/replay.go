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

// replay reads the commits that the table does not have from the log into the uppermost layer. Their sequence numbers must
// follow the table's without a gap, across all segments.
func (s *Store) replay(man *manifest.Manifest, segs map[uint32]*handle) error {
	var covered uint64
	if man.Table != nil {
		covered = man.Table.Seq
	}
	next := covered + 1
	for _, g := range plan.UnindexedLogs(man.Segments, covered) {
		h := segs[uint32(g.ID)]
		if g.First != next {
			return &FileError{File: h.name, Offset: 0,
				Err: fmt.Errorf("%w: segment starts with commit %d instead of %d", ErrCorrupt, g.First, next)}
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

// replaySealed reads a sealed segment, which must have all its frames, and returns the commit after its last one.
func (s *Store) replaySealed(g plan.Segment, h *handle, next uint64) (uint64, error) {
	sc := segment.NewScanner(h.f, segment.HeaderSize, g.Size)
	next, err := s.replayFrames(sc, g, next)
	if errors.Is(err, io.EOF) && next != g.Last+1 {
		err = fmt.Errorf("%w: segment ends with commit %d instead of %d", ErrCorrupt, next-1, g.Last)
	}
	if !errors.Is(err, io.EOF) {
		return next, &FileError{File: h.name, Offset: sc.Offset(), Err: err}
	}
	s.writer.unindexed.Add(g.Size)
	return next, nil
}

// errWrongContent is wrapped by errors about a frame with a matching checksum and wrong content. A crash can't cause such
// a frame, so replay never takes it for a torn end.
var errWrongContent = errors.New("complete frame with wrong content")

// replayFrames applies frames until one is damaged or has the wrong content, or the segment ends. It returns the number of
// the commit that it expected there, and the cause: io.EOF at the segment's end. The Scanner is then positioned at that
// frame.
func (s *Store) replayFrames(sc *segment.Scanner, g plan.Segment, next uint64) (uint64, error) {
	for {
		f, at, err := sc.Next()
		if err != nil {
			return next, err
		}
		if f.Seq != next {
			sc.SeekTo(at)
			return next, fmt.Errorf("%w: %w: frame of commit %d instead of %d", errWrongContent, ErrCorrupt, f.Seq, next)
		}
		if err := segment.Ops(f.Payload, func(o segment.Op) error {
			return s.replayOp(o, f.Seq, uint32(g.ID), uint32(at), !g.Sealed)
		}); err != nil {
			sc.SeekTo(at)
			return next, fmt.Errorf("%w: %w", errWrongContent, err)
		}
		if !g.Sealed && at == segment.HeaderSize {
			s.writer.firstCommitAt = f.Time
		}
		next++
	}
}

// replayOp applies one operation of the frame at offset at to the uppermost layer. open says that the frame is in the open
// segment: then the operation also counts for the writer's puts and tombstones.
func (s *Store) replayOp(o segment.Op, seq uint64, seg, at uint32, open bool) error {
	if len(o.Key) < 2 || o.Kind == segment.DeleteRange && len(o.End) < 2 {
		return fmt.Errorf("%w: key %.20x or range end %.20x is shorter than the 2 bytes of a space's number", ErrCorrupt, o.Key, o.End)
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

// replayOpen reads the open segment, cuts off a torn end, and makes the segment the writer's. It returns the next commit.
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
			return next, &FileError{File: h.name, Offset: good, Err: fmt.Errorf("truncating a torn end: %w", err)}
		}
		s.opt.Log.WithFields(logrus.Fields{"store": s.dir, "file": h.name, "offset": good, "cut": max(0, size-good),
			"last": next - 1}).Warn("torn end of the log is cut off; all before it is there")
	}
	s.writer.file, s.writer.segmentID = h.ref(), g.ID
	s.writer.size.Store(good)
	s.writer.unindexed.Add(good)
	return next, nil
}

// truncateTornEnd truncates the open segment from size to good bytes and syncs it. If the header is incomplete, it writes
// the header again.
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

// logEnd says what follows the last complete frame of the open segment.
type logEnd int

const (
	cleanEnd logEnd = iota // the end of the file
	zeroEnd                // zeros up to the end of the file: the segment was prepared, see prepareSegment
	tornEnd                // a write that a crash interrupted
)

// inspectEnd decides how the open segment ends. The Scanner is positioned where commit next is expected, and cause is why it
// could not be read. inspectEnd returns an error if the segment is damaged there or the disk can't be read.
//
// It distinguishes damage from a torn write as follows. Commits are synced in their order, and each frame's Durable is a
// number up to which all commits were on disk when the frame was written. If a complete frame further on has Durable >=
// next, commit next was complete once, so the frame here is damaged. If there is no such frame, the end is torn.
func inspectEnd(sc *segment.Scanner, next uint64, cause error) (logEnd, error) {
	if errors.Is(cause, io.EOF) {
		return cleanEnd, nil
	}
	if !errors.Is(cause, ErrCorrupt) || errors.Is(cause, errWrongContent) {
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
		return tornEnd, fmt.Errorf("%w; the frame at offset %d says that commit %d was durable", cause, sc.Offset(), next)
	}
	return tornEnd, nil
}

package store

import (
	"fmt"
	"time"

	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
)

// write appends a group to the open segment and returns the offset of the group's first frame. If the group does not fit, it
// first rolls to the next segment. It syncs the segment, unless Options.SyncEvery is set: then a later sync covers the
// group.
func (w *writer) write(s *Store, group []*request) (uint32, error) {
	if err := s.Err(); err != nil {
		return 0, err
	}
	total := 0
	for _, r := range group {
		total += len(r.batch.frame)
	}
	if plan.SegmentFull(w.size.Load(), int64(total), s.limits) {
		if err := w.roll(s); err != nil {
			return 0, err
		}
		w.awaitApplied()
		w.freezeIfDue(s)
	}
	now := s.opt.Now()
	start, buf, seq := w.size.Load(), w.writeBuf[:0], w.seq
	for _, r := range group {
		seq++
		r.seq = seq
		segment.FinishFrame(r.batch.frame, segment.Frame{Seq: seq, Durable: s.durable.Load(), Time: now})
		if len(group) > 1 {
			buf = append(buf, r.batch.frame...)
		}
	}
	if len(group) == 1 {
		buf = group[0].batch.frame
	} else if w.writeBuf = buf; cap(buf) > maxGroupBytes {
		w.writeBuf = nil
	}
	if _, err := w.file.f.WriteAt(buf, start); err != nil {
		return 0, w.undoWrite(s, start, err)
	}
	w.seq, w.dirty = seq, true
	w.size.Add(int64(total))
	w.unindexed.Add(int64(total))
	if start == segment.HeaderSize {
		w.firstCommitAt = now
	}
	if s.opt.SyncEvery == 0 {
		if err := w.sync(s); err != nil {
			return 0, err
		}
	}
	for _, r := range group {
		w.countOps(r.batch)
	}
	return uint32(start), nil
}

// countOps adds the sizes of a batch's operations to the open segment's puts and tombstones.
func (w *writer) countOps(b *Batch) {
	for i := range b.ops {
		if o := &b.ops[i]; o.end != "" || o.deleted() {
			w.tombstones += tombstoneBytes(len(o.key), len(o.end))
		} else {
			w.puts += plan.PutBytes(len(o.key), int(o.loc.Size))
		}
	}
}

// tombstoneBytes returns the bytes that a deletion adds to plan.Segment.Tombstones, given the lengths of its key and, for a
// range, of its end. It adds the size of a frame's header, because a pass writes each deletion in a separate frame.
func tombstoneBytes(key, end int) int64 { return int64(segment.FrameSize + key + end + 4) }

// undoWrite truncates the open segment to size, its length before a write that failed, and syncs it. So Open finds none of
// the group's frames, and the next write begins at the same offset. If the truncation or the sync fails, the store turns
// read-only. undoWrite returns the error for the group.
func (w *writer) undoWrite(s *Store, size int64, cause error) error {
	err := fmt.Errorf("store: writing %s at offset %d: %w", w.file.name, size, cause)
	if terr := w.file.f.Truncate(size); terr != nil {
		return s.turnReadOnly("truncating "+w.file.name+" after a write that failed with "+cause.Error(), terr)
	}
	// Without this sync frames of the failed write could be in the log after a power failure, though their callers got an
	// error.
	if serr := w.file.f.Sync(); serr != nil {
		return s.turnReadOnly("syncing "+w.file.name+" after a write that failed with "+cause.Error(), serr)
	}
	w.dirty = false
	s.durable.Store(w.seq)
	return err
}

// sync returns when all frames written so far are on disk. If the sync fails, the store turns read-only.
func (w *writer) sync(s *Store) error {
	if err := s.Err(); err != nil {
		return err
	}
	if !w.dirty {
		return nil
	}
	w.syncs.Add(1)
	at := time.Now()
	if err := w.file.f.Sync(); err != nil {
		return s.turnReadOnly("syncing "+w.file.name, err)
	}
	w.meanSync += (time.Since(at) - w.meanSync) / 8
	w.dirty = false
	s.durable.Store(w.seq)
	return nil
}

package store

import (
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
)

// A sync takes about half as long if the writes before it did not make the file longer, because otherwise the new length
// must reach the disk too. So while segments fill fast, a goroutine prepares the next one: it fills the file with zeros and
// syncs it. Zeros don't parse as a frame, so Open accepts an open segment that ends in them.

// preparedSegment is a segment file of zeros. The writer adds the header when it opens the segment.
type preparedSegment struct {
	id uint64
	h  *handle
}

// prepareNext starts a goroutine that prepares the next segment, if the previous one filled fast enough to be worth it (see
// plan.PrepareNext). With Options.SyncEvery no commit waits for a sync, so prepareNext returns at once.
func (w *writer) prepareNext(s *Store) {
	filled := s.opt.Now().Sub(w.firstCommitAt)
	if s.opt.SyncEvery > 0 || w.preparing || !plan.PrepareNext(filled) {
		return
	}
	w.preparing = true
	id := s.nextID()
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		sp := s.prepareSegment(id)
		w.preparedSegments <- sp // never blocks: there is at most one prepared segment, and the channel has room for one
	}()
}

// prepareSegment creates a file of Options.SegmentBytes zeros and syncs it and its name. It returns nil if that fails or the
// store is closed.
func (s *Store) prepareSegment(id uint64) *preparedSegment {
	name := segmentName(id)
	f, err := s.opt.FS.Create(s.path(name))
	if err != nil {
		return nil
	}
	sp := &preparedSegment{id, newHandle(f, name)}
	zeros := make([]byte, chunkBytes)
	unsynced := 0
	for off := int64(0); off < s.opt.SegmentBytes && err == nil; off += int64(len(zeros)) {
		if err = s.ctx.Err(); err == nil {
			_, err = f.WriteAt(zeros[:min(int64(len(zeros)), s.opt.SegmentBytes-off)], off)
		}
		if unsynced += len(zeros); unsynced >= bytesPerSync && err == nil {
			unsynced = 0
			err = f.Sync()
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.opt.FS.SyncDir(s.dir)
	}
	if err != nil { // without a prepared segment the writer creates one itself
		s.removePreparedSegment(sp)
		return nil
	}
	return sp
}

// removePreparedSegment closes and removes a prepared segment that the writer won't use.
func (s *Store) removePreparedSegment(sp *preparedSegment) {
	sp.h.unref()
	_ = s.opt.FS.Remove(s.path(sp.h.name))
}

// nextSegment returns the segment that follows the open one, on disk with its header: the prepared one if there is one,
// otherwise a new one. prepared reports which.
func (w *writer) nextSegment(s *Store) (id uint64, h *handle, prepared bool, err error) {
	head := segment.Header{Kind: segment.Log, Store: s.id, First: w.seq + 1}
	select {
	case sp := <-w.preparedSegments:
		w.preparing = false
		if sp != nil {
			head.ID = sp.id
			if _, err = sp.h.f.WriteAt(segment.AppendHeader(nil, head), 0); err == nil {
				err = sp.h.f.Sync()
			}
			if err != nil {
				s.removePreparedSegment(sp)
			}
			return sp.id, sp.h, true, err
		}
	default:
	}
	head.ID = s.nextID()
	h, err = s.newSegment(head)
	return head.ID, h, false, err
}

// trimZeros cuts the zeros off the end of the open segment and syncs it. It is called before the segment is sealed and when
// the store is closed. A sealed segment must have exactly the size that the manifest says.
func (w *writer) trimZeros(s *Store) error {
	if !w.mayHaveZeros {
		return nil
	}
	if err := w.file.f.Truncate(w.size.Load()); err != nil {
		return err
	}
	if err := w.file.f.Sync(); err != nil {
		return s.turnReadOnly("syncing "+w.file.name, err)
	}
	w.mayHaveZeros = false
	return nil
}

// removeUnusedPreparedSegment removes the prepared segment, if there is one, when the store is closed. The goroutine that
// prepares segments must have ended.
func (w *writer) removeUnusedPreparedSegment(s *Store) {
	select {
	case sp := <-w.preparedSegments:
		if sp != nil {
			s.removePreparedSegment(sp)
		}
	default:
	}
}

package store

import (
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
)

// A sync takes about half as long if the writes before it did not make the file longer, as the new length would have to
// reach the disk too. So while segments fill fast, the next one is prepared in the background: filled with zeros and
// synced. Zeros are no frame, and the open segment may end in them.

// preparedSegment is a segment file of zeros: it lacks its header.
type preparedSegment struct {
	id uint64
	h  *handle
}

// prepareNext prepares the next segment in a goroutine if the previous one filled fast enough to be worth it.
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
		w.preparedSegments <- sp // never blocks: there is at most one, and the channel takes one
	}()
}

// prepareSegment makes a segment file of zeros. It returns nil if that fails or the store is closed.
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
	if err != nil { // no harm: the writer creates a segment itself
		s.removePreparedSegment(sp)
		return nil
	}
	return sp
}

// removePreparedSegment closes and removes a segment that is not going to be used.
func (s *Store) removePreparedSegment(sp *preparedSegment) {
	sp.h.unref()
	_ = s.opt.FS.Remove(s.path(sp.h.name))
}

// nextSegment returns the segment to continue in: the prepared one, if there is one, or a new one. prepared reports which.
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

// trimZeros truncates the zeros at the end of the open segment, when it is sealed or the store is closed.
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

// removePrepared removes a prepared segment that was not used. It may be called once no goroutine prepares one any more.
func (w *writer) removePrepared(s *Store) {
	select {
	case sp := <-w.preparedSegments:
		if sp != nil {
			s.removePreparedSegment(sp)
		}
	default:
	}
}

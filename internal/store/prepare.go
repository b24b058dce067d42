package store

import (
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
)

// A sync of what was written over bytes that the file has already takes about half as long as one of what made the file
// longer, which must write down the new length too. So while a segment fills fast, the next one is made ready behind the
// writer's back: filled with zeros and synced. Zeros are no frame, and the end of a segment may consist of them.

// preparedSegment is a segment file that is ready to be opened, but for its head.
type preparedSegment struct {
	id uint64
	h  *handle
}

// prepareNext has the next segment made ready if the present one is worth it: if the one before filled fast.
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
		w.preparedSegments <- sp // has room for the one that there is
	}()
}

// prepareSegment makes a segment file of zeros; nil if that fails or the store is closed.
func (s *Store) prepareSegment(id uint64) *preparedSegment {
	name := segmentName(id)
	f, err := s.opt.FS.Create(s.path(name))
	if err != nil {
		return nil
	}
	sp := &preparedSegment{id, newHandle(f, name)}
	zeros := make([]byte, chunkBytes)
	unsaved := 0
	for off := int64(0); off < s.opt.SegmentBytes && err == nil; off += int64(len(zeros)) {
		if err = s.ctx.Err(); err == nil {
			_, err = f.WriteAt(zeros[:min(int64(len(zeros)), s.opt.SegmentBytes-off)], off)
		}
		if unsaved += len(zeros); unsaved >= bytesPerSync && err == nil {
			unsaved = 0
			err = f.Sync()
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.opt.FS.SyncDir(s.dir)
	}
	if err != nil { // no harm: the writer makes a segment itself
		s.removePreparedSegment(sp)
		return nil
	}
	return sp
}

func (s *Store) removePreparedSegment(sp *preparedSegment) {
	sp.h.unref()
	_ = s.opt.FS.Remove(s.path(sp.h.name))
}

// nextSegment returns the segment to go on in: the one that is ready, or a new one. prepared tells which.
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

// trimZeros cuts the zeros off the open segment when it is sealed or the store is closed.
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

// removePrepared removes a segment that was made ready and is not needed. Nobody prepares any more.
func (w *writer) removePrepared(s *Store) {
	select {
	case sp := <-w.preparedSegments:
		if sp != nil {
			s.removePreparedSegment(sp)
		}
	default:
	}
}

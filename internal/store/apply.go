package store

// apply is the applier's goroutine: it has readers see what was written, and answers, while the writer's is at the
// next group.
func (w *writer) apply(s *Store) {
	defer s.goroutines.Done()
	for g := range w.written {
		if g.applied != nil {
			close(g.applied)
			continue
		}
		// Those who wait are answered before the index has their batches: whoever reads first takes them in.
		s.mu.Lock()
		for _, r := range g.group {
			s.pending = append(s.pending, pendingBatch{r.batch.ops, r.seq, g.segment, g.offset})
			g.offset += uint32(len(r.batch.frame))
			s.seq = r.seq
			r.batch.ops = nil // the caller may use the batch anew
		}
		s.mu.Unlock()
		for _, r := range g.group {
			r.done <- nil
		}
		clear(g.group)
		select {
		case w.freeGroups <- g.group[:0]:
		default:
		}
		s.mu.Lock()
		s.applyPending()
		s.mu.Unlock()
	}
}

// pendingBatch is a batch that is committed and not in the index yet.
type pendingBatch struct {
	ops     []op
	seq     uint64
	segment uint32
	offset  uint32
}

// applyPending has the index know all that is committed. s.mu must be held for writing.
func (s *Store) applyPending() {
	for _, p := range s.pending {
		apply(s.top, p.ops, p.seq, p.segment, p.offset)
	}
	clear(s.pending)
	s.pending = s.pending[:0]
}

// rLockApplied locks s.mu for reading, with all in the index that is committed.
func (s *Store) rLockApplied() {
	s.mu.RLock()
	for len(s.pending) > 0 {
		s.mu.RUnlock()
		s.mu.Lock()
		s.applyPending()
		s.mu.Unlock()
		s.mu.RLock()
	}
}

package store

// apply is the applier's goroutine. It makes the written groups visible to readers and acknowledges them, while the writer
// is already at the next group. It ends when the writer closes the channel.
func (w *writer) apply(s *Store) {
	defer s.goroutines.Done()
	for g := range w.written {
		if g.applied != nil {
			close(g.applied)
			continue
		}
		// Callers are acknowledged before the index has their batches: whoever reads first applies them.
		s.mu.Lock()
		for _, r := range g.group {
			s.pending = append(s.pending, pendingBatch{r.batch.ops, r.seq, g.segment, g.offset})
			g.offset += uint32(len(r.batch.frame))
			s.seq = r.seq
			r.batch.ops = nil // the caller may use the batch again
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

// pendingBatch is a batch that is committed and not yet in the index.
type pendingBatch struct {
	ops     []op
	seq     uint64
	segment uint32
	offset  uint32
}

// applyPending adds the pending batches to the index. s.mu must be locked for writing.
func (s *Store) applyPending() {
	for _, p := range s.pending {
		apply(s.top, p.ops, p.seq, p.segment, p.offset)
	}
	clear(s.pending)
	s.pending = s.pending[:0]
}

// rLockApplied locks s.mu for reading at a time when no batch is pending.
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

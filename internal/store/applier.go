package store

// apply is the applier's goroutine. It makes the written groups visible to readers and acknowledges them, while the writer
// already writes the next group. It ends when the writer closes the channel.
func (w *writer) apply(s *Store) {
	defer s.goroutines.Done()
	for g := range w.written {
		if g.applied != nil {
			close(g.applied)
			continue
		}
		// Callers are acknowledged before their batches are in the index, which shortens commits. A reader that comes before
		// the applier has added them adds them itself (rLockApplied).
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

// pendingBatch is a batch that is committed and not in the index yet. Its frame is in the segment at the offset.
type pendingBatch struct {
	ops     []op
	seq     uint64
	segment uint32
	offset  uint32
}

// applyPending adds the pending batches to the uppermost layer, in their order. s.mu must be locked for writing.
func (s *Store) applyPending() {
	for _, p := range s.pending {
		apply(s.top, p.ops, p.seq, p.segment, p.offset)
	}
	clear(s.pending)
	s.pending = s.pending[:0]
}

// rLockApplied locks s.mu for reading and ensures that no batch is pending: it applies pending batches first.
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

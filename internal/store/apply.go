package store

// apply is the applier's goroutine: it has readers see what was written, and answers, while the writer's is at the
// next group.
func (w *writer) apply(s *Store) {
	defer s.running.Done()
	for g := range w.written {
		if g.settled != nil {
			close(g.settled)
			continue
		}
		// Those who wait are answered before the index has their batches: whoever reads first takes them in.
		s.mu.Lock()
		for _, r := range g.group {
			s.pending = append(s.pending, pending{r.b.ops, r.seq, g.segment, g.at})
			g.at += uint32(len(r.b.frame))
			s.seq = r.seq
			r.b.ops = nil // the caller may use the batch anew
		}
		s.mu.Unlock()
		for _, r := range g.group {
			r.done <- nil
		}
		clear(g.group)
		select {
		case w.spare <- g.group[:0]:
		default:
		}
		s.mu.Lock()
		s.takeIn()
		s.mu.Unlock()
	}
}

// pending is a batch that is committed and not in the index yet.
type pending struct {
	ops     []op
	seq     uint64
	segment uint32
	at      uint32
}

// takeIn has the index know all that is committed. s.mu must be held for writing.
func (s *Store) takeIn() {
	for _, p := range s.pending {
		apply(s.over, p.ops, p.seq, p.segment, p.at)
	}
	clear(s.pending)
	s.pending = s.pending[:0]
}

// lockRead locks s.mu for reading, with all in the index that is committed.
func (s *Store) lockRead() {
	s.mu.RLock()
	for len(s.pending) > 0 {
		s.mu.RUnlock()
		s.mu.Lock()
		s.takeIn()
		s.mu.Unlock()
		s.mu.RLock()
	}
}

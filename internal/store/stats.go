package store

// Stats are the figures of a store at one time.
type Stats struct {
	Seq         uint64 `json:"seq"`                 // of the last commit
	Durable     uint64 `json:"durable"`             // all commits up to this one are on disk
	Segments    int    `json:"segments"`            // files
	Bytes       int64  `json:"bytes"`               // of the segments and the index on disk
	LiveBytes   int64  `json:"live_bytes"`          // as the last pass counted, and all that was written since
	TableKeys   uint64 `json:"table_keys"`          // in the index on disk
	MemoryKeys  int    `json:"memory_keys"`         // in the part of the index in memory, deletions among them
	MemoryBytes int64  `json:"memory_bytes"`        // that the index takes in memory, estimated
	Passes      uint64 `json:"passes"`              // since the store was opened
	Syncs       uint64 `json:"syncs"`               // of the log, since the store was opened
	Commits     uint64 `json:"commits"`             // since the store was opened
	ReadOnly    string `json:"read_only,omitempty"` // why the store is read-only; empty: it is not
}

// Stats returns the store's figures. Those of the manifest and those of the index are not taken at the same instant.
func (s *Store) Stats() Stats {
	s.manMu.Lock()
	st := Stats{Segments: len(s.man.Segments), Passes: s.passes.Load(), Durable: s.durable.Load(),
		Syncs: s.writer.syncs.Load(), Commits: s.writer.commits.Load()}
	for _, g := range s.man.Segments {
		size, live := g.Size, g.Live
		if !g.Sealed {
			size = s.writer.size.Load()
			live = size
		}
		st.Bytes += size
		st.LiveBytes += live
	}
	if t := s.man.Table; t != nil {
		st.Bytes += t.Size
		st.TableKeys = t.Count
	}
	s.manMu.Unlock()
	s.rLockApplied()
	defer s.mu.RUnlock()
	st.Seq = s.seq
	st.MemoryKeys, st.MemoryBytes = s.top.tree.Len(), s.top.bytes()
	if f := s.version.frozen; f != nil {
		st.MemoryKeys += f.tree.Len()
		st.MemoryBytes += f.bytes()
	}
	if s.version.base != nil {
		st.MemoryBytes += int64(s.version.base.t.Memory())
	}
	if f := s.fault.Load(); f != nil {
		st.ReadOnly = (*f).Error()
	}
	return st
}

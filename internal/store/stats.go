package store

// Stats are the figures of a store at one time.
type Stats struct {
	Seq         uint64 `json:"seq"`                 // sequence number of the last commit
	Durable     uint64 `json:"durable"`             // all commits up to this sequence number are on disk
	Segments    int    `json:"segments"`            // number of segment files
	Bytes       int64  `json:"bytes"`               // size of the segments and the table on disk
	LiveBytes   int64  `json:"live_bytes"`          // live bytes of segments as of the last pass; later ones all count
	TableKeys   uint64 `json:"table_keys"`          // number of keys in the table on disk
	MemoryKeys  int    `json:"memory_keys"`         // number of keys, also deleted ones, in the part of the index in memory
	MemoryBytes int64  `json:"memory_bytes"`        // estimated memory of the index, without the cache of blocks
	Passes      uint64 `json:"passes"`              // completed compaction passes since the store was opened
	Syncs       uint64 `json:"syncs"`               // syncs of appended frames since the store was opened
	Commits     uint64 `json:"commits"`             // commits since the store was opened
	ReadOnly    string `json:"read_only,omitempty"` // why the store is read-only; empty: it accepts writes
}

// Stats returns the store's figures. It reads the manifest before the index, so commits and passes may happen between
// the two reads.
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

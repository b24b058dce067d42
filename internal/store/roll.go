package store

import (
	"fmt"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
)

// maxTimePoints is the maximum number of points in the manifest's time index.
const maxTimePoints = 256

// roll seals the open segment and opens the next one. It does nothing if the open segment has no frames. When it returns
// without an error, all earlier commits are on disk and the manifest names both segments. After an error the old segment
// is still open.
func (w *writer) roll(s *Store) error {
	if w.size.Load() == segment.HeaderSize {
		return nil
	}
	if err := w.sync(s); err != nil {
		return err
	}
	if err := w.trimZeros(s); err != nil {
		return fmt.Errorf("store: sealing %s: %w", w.file.name, err)
	}
	id, h, prepared, err := w.nextSegment(s)
	if err != nil {
		return fmt.Errorf("store: opening the next segment: %w", err)
	}
	now := s.opt.Now().UnixMilli()
	retentions := s.retentions()
	err = s.install(func(m *manifest.Manifest) {
		w.sealInManifest(m)
		m.Segments = append(m.Segments, plan.Segment{ID: id, Kind: plan.Log, First: w.seq + 1})
		m.TimeIndex = plan.TrimTimeIndex(append(m.TimeIndex, plan.TimePoint{Seq: w.seq, UnixMs: now}), maxTimePoints)
		raiseFloorsByAge(m, retentions, now)
	})
	if err != nil {
		h.unref()
		if s.fault.Load() == nil { // otherwise the manifest on disk may name the file
			_ = s.opt.FS.Remove(s.path(h.name))
		}
		return err
	}
	s.swap(func(v *version) *version {
		segs := cloneSegments(v.segments)
		segs[uint32(id)] = h
		return newVersion(v.frozen, v.base, segs, s.floors())
	})
	w.file.unref()
	w.file, w.segmentID, w.tombstones, w.puts, w.mayHaveZeros = h, id, 0, 0, prepared
	w.size.Store(segment.HeaderSize)
	w.prepareNext(s)
	return nil
}

// sealInManifest marks the open segment as sealed and sets its figures. It records all puts as live: only a pass counts
// the live ones.
func (w *writer) sealInManifest(m *manifest.Manifest) {
	for i := range m.Segments {
		if g := &m.Segments[i]; g.ID == w.segmentID {
			g.Sealed, g.Last, g.Size = true, w.seq, w.size.Load()
			g.Tombstones, g.Puts = w.tombstones, w.puts
			g.Live = g.LiveBytes(g.Puts)
		}
	}
}

// raiseFloorsByAge raises the floors of the spaces whose records expire by age.
func raiseFloorsByAge(m *manifest.Manifest, retentions map[uint16]plan.Retention, nowMs int64) {
	for space, r := range retentions {
		byAge := plan.Retention{AgeMs: r.AgeMs}
		if f := plan.Floor(m.Floors[space], byAge, m.TimeIndex, nil, nowMs); f > 0 {
			m.Floors[space] = f
		}
	}
}

// newSegment creates a segment file. When it returns, the file's name and its header are on disk.
func (s *Store) newSegment(head segment.Header) (*handle, error) {
	name := segmentName(head.ID)
	f, err := s.opt.FS.Create(s.path(name))
	if err != nil {
		return nil, err
	}
	if _, err = f.WriteAt(segment.AppendHeader(nil, head), 0); err == nil {
		if err = f.Sync(); err == nil {
			err = s.opt.FS.SyncDir(s.dir)
		}
	}
	if err != nil {
		_ = f.Close()
		_ = s.opt.FS.Remove(s.path(name))
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return newHandle(f, name), nil
}

// freezeIfDue freezes the uppermost layer and wakes the compactor if a pass is worth its cost (plan.PassDue) and no layer is
// frozen already.
func (w *writer) freezeIfDue(s *Store) {
	s.mu.RLock()
	tail := plan.Tail{LogBytes: w.unindexed.Load(), TopLayerBytes: s.top.bytes()}
	if s.version.base != nil {
		tail.TableBytes = s.version.base.size
	}
	busy := s.version.frozen != nil
	s.mu.RUnlock()
	if !busy && plan.PassDue(tail, s.limits) {
		w.freeze(s)
		s.compactor.requestPass()
	}
}

// freeze freezes the uppermost layer, for a pass to merge into the table, and puts a new one above it. The layer's commits
// must all be in sealed segments. If a layer is frozen already, freeze does nothing.
func (w *writer) freeze(s *Store) {
	s.swap(func(v *version) *version {
		if v.frozen != nil {
			return v.ref()
		}
		s.applyPending()
		old := s.top
		old.upTo = w.seq
		s.top = newLayer()
		w.unindexed.Store(0)
		return newVersion(old, v.base, v.segments, v.floors)
	})
}

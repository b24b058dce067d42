package store

import (
	"context"
	"fmt"
	"slices"
	"sort"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
)

// pass is one compaction: it merges the frozen layer and the table on disk into a new table, and on the way copies the
// live records out of the victims, the segments to be rewritten. Its files take effect all at once, with the manifest that
// names them. A pass belongs to the goroutine that runs it.
type pass struct {
	s             *Store
	ctx           context.Context
	version       *version
	upTo          uint64 // the last commit that the frozen layer has
	indexOnly     bool   // no segments are rewritten
	victims       []uint64
	remaining     []plan.Segment // all others
	timeIndex     []plan.TimePoint
	retentions    map[uint16]plan.Retention
	readingVictim uint64 // 0: none is being read

	output       *output // the segment being written; nil: none
	outputs      []plan.Segment
	handles      []*handle // of outputs
	base         *baseTable
	live         map[uint64]int64   // put bytes that are live, by segment
	bytesByTime  map[uint16][]int64 // put bytes by space and point of timeIndex, of spaces that are bounded in bytes
	floorsRaised bool               // records have expired, so there may be more to rewrite
}

// run does the whole pass. After an error nothing has changed for readers, and discard removes what was written.
func (p *pass) run(damaged map[uint64]bool) error {
	s := p.s
	s.manMu.Lock()
	man := s.man.Clone()
	s.manMu.Unlock()
	if !p.indexOnly {
		p.victims = p.pickVictims(man.Segments, damaged)
	}
	for _, g := range man.Segments {
		if !slices.Contains(p.victims, g.ID) {
			p.remaining = append(p.remaining, g)
		}
	}
	p.timeIndex, p.retentions = man.TimeIndex, s.retentions()
	for space, r := range p.retentions {
		if r.Bytes > 0 {
			p.bytesByTime[space] = make([]int64, len(p.timeIndex))
		}
	}
	if err := p.writeTable(); err != nil {
		return err
	}
	if err := p.copyTombstones(man); err != nil {
		return err
	}
	if err := p.finishOutput(); err != nil {
		return err
	}
	if err := s.opt.FS.SyncDir(s.dir); err != nil {
		return fmt.Errorf("store: syncing the folder: %w", err)
	}
	return p.install()
}

// writeTable writes the index as a new table and copies the records that lie in victims.
func (p *pass) writeTable() error {
	s := p.s
	id := s.nextID()
	name := tableName(id)
	f, err := s.opt.FS.Create(s.path(name))
	if err != nil {
		return fmt.Errorf("store: %s: %w", name, err)
	}
	p.base = &baseTable{h: newHandle(f, name)}
	file := &pacedFile{pace: p.pace, f: f, name: name}
	w := table.NewWriter(file, table.Info{Store: s.id, ID: id, Seq: p.upTo})
	if err := p.addEntries(w); err != nil {
		return err
	}
	size, _, err := w.Finish()
	if err == nil {
		err = file.flush()
	}
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		return fmt.Errorf("store: %s: %w", name, err)
	}
	p.base.size = size
	if p.base.t, err = table.Open(f, size, s.cache); err != nil {
		return fileError(name, err)
	}
	return nil
}

// addEntries adds every live entry to the table and counts its bytes.
func (p *pass) addEntries(w *table.Writer) error {
	m := newMergeIterator(p.version.floors, "", p.version.table(), p.version.frozen)
	var buf []byte
	for m.next() {
		e := m.entry
		putBytes := plan.PutBytes(len(e.Key), int(e.Loc.Size))
		p.countByTime(e, putBytes)
		if slices.Contains(p.victims, uint64(e.Loc.Segment)) {
			var err error
			if e.Loc, buf, err = p.moveRecord(e, buf); err != nil {
				return err
			}
		}
		p.live[uint64(e.Loc.Segment)] += putBytes
		if err := w.Add(e); err != nil {
			return err
		}
	}
	if m.err != nil {
		return fileError(p.version.base.h.name, m.err)
	}
	return nil
}

// countByTime counts an entry of a space that is bounded in bytes at the first point in time at or after its commit.
func (p *pass) countByTime(e table.Entry, putBytes int64) {
	byTime := p.bytesByTime[spaceOf(e.Key)]
	if byTime == nil {
		return
	}
	if i := sort.Search(len(p.timeIndex), func(i int) bool { return p.timeIndex[i].Seq >= e.Loc.Seq }); i < len(byTime) {
		byTime[i] += putBytes
	}
}

// moveRecord copies a record out of a victim and returns where it lies now. buf is used for the value, if it is large
// enough, and returned for the next one.
func (p *pass) moveRecord(e table.Entry, buf []byte) (table.Loc, []byte, error) {
	p.readingVictim = uint64(e.Loc.Segment)
	value, err := p.version.read(e.Key, e.Loc, buf)
	if err != nil {
		return e.Loc, buf, err
	}
	p.readingVictim = 0
	if err := p.pace(len(value)); err != nil {
		return e.Loc, value, err
	}
	e.Loc.Segment, e.Loc.Offset, err = p.copyRecord(e, value)
	return e.Loc, value, err
}

// copyTombstones copies those deletions out of the victims that shadow a record in one of the remaining segments.
func (p *pass) copyTombstones(man *manifest.Manifest) error {
	for _, g := range man.Segments {
		if g.Tombstones == 0 || !slices.Contains(p.victims, g.ID) || !plan.TombstoneNeeded(g.Last, p.remaining) {
			continue // if the newest deletion is not needed, no older one is
		}
		p.readingVictim = g.ID
		if err := p.copyTombstonesOf(g); err != nil {
			return err
		}
		p.readingVictim = 0
	}
	return nil
}

// copyTombstonesOf copies the deletions of one victim that are still needed.
func (p *pass) copyTombstonesOf(g plan.Segment) error {
	h := p.version.segments[uint32(g.ID)]
	sc := segment.NewScanner(h.f, segment.HeaderSize, g.Size)
	for sc.Offset() < g.Size {
		f, at, err := sc.Next()
		if err != nil {
			return &FileError{File: h.name, Offset: at, Err: err}
		}
		if !plan.TombstoneNeeded(f.Seq, p.remaining) {
			continue
		}
		if err := segment.Ops(f.Payload, func(o segment.Op) error {
			superseded, err := p.superseded(o, f.Seq)
			if err != nil || superseded {
				return err
			}
			return p.copyTombstone(o, f)
		}); err != nil {
			return err
		}
	}
	return nil
}

// superseded reports whether an operation of commit seq is no deletion, or one of a single key that was put again since:
// that put lasts longer than the deletion.
func (p *pass) superseded(o segment.Op, seq uint64) (bool, error) {
	switch o.Kind {
	case segment.Put:
		return true, nil
	case segment.Delete:
		loc, ok, err := p.base.t.Get(o.Key)
		return ok && loc.Seq >= seq, err
	default:
		return false, nil
	}
}

// install replaces the old files by the pass's and removes the old ones.
func (p *pass) install() error {
	s := p.s
	oldTable := ""
	err := s.install(func(m *manifest.Manifest) {
		if m.Table != nil {
			oldTable = tableName(m.Table.ID)
		}
		p.editManifest(m)
	})
	if err != nil {
		return err
	}
	s.swap(func(v *version) *version {
		segs := cloneSegments(v.segments)
		for _, id := range p.victims {
			delete(segs, uint32(id))
		}
		for i, h := range p.handles {
			segs[uint32(p.outputs[i].ID)] = h
		}
		return newVersion(nil, p.base, segs, s.floors())
	})
	for _, h := range append(p.handles, p.base.h) {
		h.unref()
	}
	p.handles, p.base = nil, nil
	// Both copies of the manifest are on disk, so neither names these any more.
	for _, id := range p.victims {
		s.remove(segmentName(id))
	}
	if oldTable != "" {
		s.remove(oldTable)
	}
	return nil
}

// editManifest has a manifest name the pass's files instead of the old ones, and raises the floors of spaces that are
// bounded in bytes.
func (p *pass) editManifest(m *manifest.Manifest) {
	m.Segments = slices.DeleteFunc(m.Segments, func(g plan.Segment) bool { return slices.Contains(p.victims, g.ID) })
	m.Segments = append(m.Segments, p.outputs...)
	for i := range m.Segments {
		if g := &m.Segments[i]; g.Sealed && g.Last <= p.upTo {
			g.Live = g.LiveBytes(p.live[g.ID])
		}
	}
	slices.SortFunc(m.Segments, func(a, b plan.Segment) int { return int(a.ID) - int(b.ID) })
	info := p.base.t.Info()
	m.Table = &manifest.Table{ID: info.ID, Size: p.base.size, Seq: info.Seq, Count: info.Count}
	for space, r := range p.retentions {
		byBytes := plan.Retention{Bytes: r.Bytes} // by age floors rise when a segment is sealed
		if f := plan.Floor(m.Floors[space], byBytes, p.timeIndex, p.bytesByTime[space], 0); f > m.Floors[space] {
			m.Floors[space] = f
			p.floorsRaised = true
		}
	}
}

// discard removes the files of a pass that failed.
func (p *pass) discard() {
	if p.output != nil {
		p.handles = append(p.handles, p.output.h)
	}
	if p.base != nil {
		p.handles = append(p.handles, p.base.h)
	}
	for _, h := range p.handles {
		h.unref()
		if p.s.fault.Load() == nil { // otherwise the manifest on disk may name it
			_ = p.s.opt.FS.Remove(p.s.path(h.name))
		}
	}
	p.handles, p.base, p.output = nil, nil, nil
}

// pace waits until the pass may read or write n more bytes (Options.PassBytesPerS), or its context is done.
func (p *pass) pace(n int) error {
	if err := p.ctx.Err(); err != nil {
		return err
	}
	if p.s.limiter == nil {
		return nil
	}
	for burst := p.s.limiter.Burst(); n > 0; n -= burst {
		if err := p.s.limiter.WaitN(p.ctx, min(n, burst)); err != nil {
			return err
		}
	}
	return nil
}

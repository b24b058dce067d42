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

// pass is one compaction. Its steps are:
//
//  1. Choose the victims, the segments to be rewritten.
//  2. Merge the frozen layer and the table on disk into a new table. Copy each live record that is in a victim to an output
//     segment, and enter its new location in the table.
//  3. Copy the deletions in victims that may hide a record in one of the remaining segments.
//  4. Sync the new files and the folder, and write a manifest that names the new files instead of the old ones.
//  5. Remove the victims and the old table.
//
// The new files take effect together, with the manifest. A pass belongs to the goroutine that runs it.
type pass struct {
	s             *Store
	ctx           context.Context
	version       *version         // the frozen layer, table and segments that the pass reads
	upTo          uint64           // sequence number of the last commit in the frozen layer
	indexOnly     bool             // rewrite no segments
	victims       []uint64         // numbers of the segments to be rewritten
	remaining     []plan.Segment   // all segments that are not victims, the open one among them
	timeIndex     []plan.TimePoint // the manifest's when the pass began
	retentions    map[uint16]plan.Retention
	readingVictim uint64 // number of the victim that is being read; 0: none

	output       *output            // the segment that is being written; nil: none
	outputs      []plan.Segment     // finished output segments, as the manifest will describe them
	handles      []*handle          // files of outputs
	base         *baseTable         // the new table
	live         map[uint64]int64   // live put bytes (plan.PutBytes), by segment
	bytesByTime  map[uint16][]int64 // live put bytes by space and point of timeIndex, of spaces with a limit in bytes
	floorsRaised bool               // the pass raised a floor, so segments may have more garbage than it knew of
}

// run runs the pass. After an error readers still see the old files, and the caller calls discard to remove the new ones.
// damaged has the segments that must not become victims.
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
		return fmt.Errorf("store: syncing the folder %s: %w", s.dir, err)
	}
	return p.install()
}

// writeTable merges the frozen layer and the old table into a new table, copies the records that are in victims, and syncs
// the new table.
func (p *pass) writeTable() error {
	s := p.s
	id := s.nextID()
	name := tableName(id)
	f, err := s.opt.FS.Create(s.path(name))
	if err != nil {
		return fmt.Errorf("store: %s: %w", name, err)
	}
	p.base = &baseTable{h: newHandle(f, name)}
	file := &throttledFile{throttle: p.throttle, f: f, name: name}
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

// addEntries adds every live entry of the frozen layer and the old table to the new one. It counts the live bytes of each
// segment.
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

// countByTime adds an entry's bytes to bytesByTime, if its space has a limit in bytes. It adds them at the first point of
// timeIndex with a sequence number not lower than the entry's.
func (p *pass) countByTime(e table.Entry, putBytes int64) {
	byTime := p.bytesByTime[spaceOf(e.Key)]
	if byTime == nil {
		return
	}
	if i := sort.Search(len(p.timeIndex), func(i int) bool { return p.timeIndex[i].Seq >= e.Loc.Seq }); i < len(byTime) {
		byTime[i] += putBytes
	}
}

// moveRecord copies a record out of a victim and returns its new location. It reads the value into buf, or a larger buffer,
// which it returns for the next call.
func (p *pass) moveRecord(e table.Entry, buf []byte) (table.Loc, []byte, error) {
	p.readingVictim = uint64(e.Loc.Segment)
	value, err := p.version.read(e.Key, e.Loc, buf)
	if err != nil {
		return e.Loc, buf, err
	}
	p.readingVictim = 0
	if err := p.throttle(len(value)); err != nil {
		return e.Loc, value, err
	}
	e.Loc.Segment, e.Loc.Offset, err = p.copyRecord(e, value)
	return e.Loc, value, err
}

// copyTombstones copies the deletions in victims that may hide a record in one of the remaining segments. Without them an
// index that is rebuilt from the segments would have that record again.
func (p *pass) copyTombstones(man *manifest.Manifest) error {
	for _, g := range man.Segments {
		if g.Tombstones == 0 || !slices.Contains(p.victims, g.ID) || !plan.TombstoneNeeded(g.Last, p.remaining) {
			continue // g.Last is at least as new as its newest deletion: if that is not needed, no older one is
		}
		p.readingVictim = g.ID
		if err := p.copyTombstonesOf(g); err != nil {
			return err
		}
		p.readingVictim = 0
	}
	return nil
}

// copyTombstonesOf copies the deletions in one victim that are still needed.
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

// superseded reports whether an operation of commit seq needs no copy: it is a put, or it deletes a single key that was put
// later. The later put is newer than the deletion, so it also hides all that the deletion hides.
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

// install writes the manifest that names the new files, makes readers use them, and removes the old files.
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
	// Both copies of the new manifest are on disk, and neither names the files that are removed here.
	for _, id := range p.victims {
		s.remove(segmentName(id))
	}
	if oldTable != "" {
		s.remove(oldTable)
	}
	return nil
}

// editManifest replaces the old files by the new ones in the manifest, updates the live bytes of the segments that the new
// table covers, and raises the floors of spaces with a limit in bytes.
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
		byBytes := plan.Retention{Bytes: r.Bytes} // the limit by age raises floors when a segment is sealed
		if f := plan.Floor(m.Floors[space], byBytes, p.timeIndex, p.bytesByTime[space], 0); f > m.Floors[space] {
			m.Floors[space] = f
			p.floorsRaised = true
		}
	}
}

// discard closes and removes the files that a failed pass wrote.
func (p *pass) discard() {
	if p.output != nil {
		p.handles = append(p.handles, p.output.h)
	}
	if p.base != nil {
		p.handles = append(p.handles, p.base.h)
	}
	for _, h := range p.handles {
		h.unref()
		if p.s.fault.Load() == nil { // otherwise the manifest on disk may name the file
			_ = p.s.opt.FS.Remove(p.s.path(h.name))
		}
	}
	p.handles, p.base, p.output = nil, nil, nil
}

// throttle waits until the pass may read or write n more bytes (Options.PassBytesPerS), or its context is done.
func (p *pass) throttle(n int) error {
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

package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// compactor makes passes, one at a time, in its own goroutine or in that of whoever asks for one. A pass writes the
// index down as it was at a frozen layer's end and rewrites segments along the way.
type compactor struct {
	idle    chan struct{} // holds one while nobody makes a pass
	wake    chan struct{}
	damaged map[uint64]bool // segments found damaged, which are left as they are; guarded by idle
}

// The waits after a pass that failed, and between looks at whether records have grown old.
const (
	minRetryBackoff        = time.Second
	maxRetryBackoff        = time.Minute
	retentionCheckInterval = 10 * time.Second
)

func (p *compactor) kick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run is the compactor's goroutine.
func (p *compactor) run(s *Store) {
	defer s.goroutines.Done()
	wait := minRetryBackoff
	look := time.NewTicker(retentionCheckInterval)
	defer look.Stop()
	var retry <-chan time.Time
	for {
		freeze := false
		select {
		case <-s.ctx.Done():
			return
		case <-p.wake:
		case <-retry:
		case <-look.C:
			if freeze = s.openSegmentAging(); !freeze {
				continue
			}
		}
		retry = nil
		if _, err := p.runPass(s.ctx, s, freeze, false); err != nil && s.ctx.Err() == nil && s.fault.Load() == nil {
			s.opt.Log.WithError(err).WithFields(logrus.Fields{"store": s.dir, "again_in": wait}).
				Warn("index not written down, compaction put off")
			retry = time.After(wait)
			wait = min(2*wait, maxRetryBackoff)
		} else {
			wait = minRetryBackoff
		}
	}
}

// openSegmentAging tells whether the open segment has been open for a good part of the time that some space's records are kept:
// they grow old a segment at a time, so it must be sealed though it is not full.
func (s *Store) openSegmentAging() bool {
	var least time.Duration
	for _, r := range s.retentions() {
		if age := time.Duration(r.AgeMs) * time.Millisecond; age > 0 && (least == 0 || age < least) {
			least = age
		}
	}
	if least == 0 {
		return false
	}
	var old bool
	err := s.writer.runInWriter(s, func() error {
		old = s.writer.size.Load() > segment.HeaderSize && s.opt.Now().Sub(s.writer.firstCommitAt) > least/8
		return nil
	})
	return err == nil && old
}

// runPass makes a pass. With freeze it seals the open segment first, so that all that was committed is in it; with
// onlyIndex it rewrites no segments. again tells that another pass would find more to rewrite.
func (p *compactor) runPass(ctx context.Context, s *Store, freeze, onlyIndex bool) (again bool, err error) {
	select {
	case <-p.idle:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	defer func() { p.idle <- struct{}{} }()
	if freeze {
		if err := s.writer.runInWriter(s, func() error {
			if err := s.Err(); err != nil {
				return err
			}
			if err := s.writer.roll(s); err != nil {
				return err
			}
			s.mu.RLock()
			again = s.version.frozen != nil // left by a pass that failed; what came since needs one more
			s.mu.RUnlock()
			s.writer.freeze(s)
			return nil
		}); err != nil {
			return false, err
		}
	}
	s.mu.RLock()
	v := s.version.ref()
	s.mu.RUnlock()
	defer v.unref()
	if v.frozen == nil {
		return false, nil
	}
	if err := s.Err(); err != nil {
		return false, err
	}
	ps := &pass{s: s, ctx: ctx, version: v, upTo: v.frozen.upTo, onlyIndex: onlyIndex, live: map[uint64]int64{},
		bytesByMark: map[uint16][]int64{}}
	err = ps.run(p.damaged)
	if err != nil {
		ps.discard()
		var fe *FileError
		if errors.As(err, &fe) && errors.Is(err, ErrCorrupt) && ps.readingVictim != 0 {
			// Guards against one damaged record keeping all the rest from being compacted.
			p.damaged[ps.readingVictim] = true
		}
		return false, err
	}
	s.passes.Add(1)
	s.manMu.Lock()
	defer s.manMu.Unlock()
	next := ps.victimsOf(s.man.Segments, p.damaged)
	return again || len(next) > 0 && !slices.Equal(next, ps.victims) || ps.floorsRaised, nil
}

// pass is one pass on its way.
type pass struct {
	s       *Store
	ctx     context.Context
	version *version
	upTo    uint64
	// onlyIndex: no segments are rewritten.
	onlyIndex     bool
	victims       []uint64
	remaining     []plan.Segment
	marks         []plan.Mark
	readingVictim uint64 // the victim read last

	output       *output
	outputs      []plan.Segment
	handles      []*handle
	base         *baseTable
	live         map[uint64]int64   // put bytes that are live, by segment
	bytesByMark  map[uint16][]int64 // put bytes by space and mark, of spaces that are bounded in bytes
	retentions   map[uint16]plan.Retention
	floorsRaised bool // floors have risen
}

func (p *pass) victimsOf(segments []plan.Segment, spared map[uint64]bool) []uint64 {
	var may []plan.Segment
	for _, g := range segments {
		if !spared[g.ID] {
			may = append(may, g)
		}
	}
	return plan.Victims(may, p.upTo, p.s.limits)
}

func (p *pass) run(spared map[uint64]bool) error {
	s := p.s
	s.manMu.Lock()
	man := s.man.Clone()
	s.manMu.Unlock()
	if !p.onlyIndex {
		p.victims = p.victimsOf(man.Segments, spared)
	}
	for _, g := range man.Segments {
		if !slices.Contains(p.victims, g.ID) {
			p.remaining = append(p.remaining, g)
		}
	}
	p.marks, p.retentions = man.Marks, s.retentions()
	for space, r := range p.retentions {
		if r.Bytes > 0 {
			p.bytesByMark[space] = make([]int64, len(p.marks))
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

// writeTable goes over the whole index, writes it down, and copies what lies in victims.
func (p *pass) writeTable() error {
	s := p.s
	id := s.nextID()
	name := tableName(id)
	f, err := s.opt.FS.Create(s.path(name))
	if err != nil {
		return fmt.Errorf("store: %s: %w", name, err)
	}
	p.base = &baseTable{h: newHandle(f, name)}
	file := &pacedFile{pass: p, f: f, name: name}
	w := table.NewWriter(file, table.Info{Store: s.id, ID: id, Seq: p.upTo})
	m := newMergeIterator(p.version.floors, "", p.version.table(), p.version.frozen)
	var value []byte
	for m.next() {
		e := m.entry
		space := spaceOf(e.Key)
		if held := p.bytesByMark[space]; held != nil {
			if i := sort.Search(len(p.marks), func(i int) bool { return p.marks[i].Seq >= e.Loc.Seq }); i < len(held) {
				held[i] += plan.PutBytes(len(e.Key), int(e.Loc.Size))
			}
		}
		if slices.Contains(p.victims, uint64(e.Loc.Segment)) {
			p.readingVictim = uint64(e.Loc.Segment)
			if value, err = p.version.read(e.Key, e.Loc, value); err != nil {
				return err
			}
			p.readingVictim = 0
			if err := p.pace(len(value)); err != nil {
				return err
			}
			if e.Loc.Segment, e.Loc.Offset, err = p.copyRecord(e, value); err != nil {
				return err
			}
		}
		p.live[uint64(e.Loc.Segment)] += plan.PutBytes(len(e.Key), int(e.Loc.Size))
		if err := w.Add(e); err != nil {
			return err
		}
	}
	if m.err != nil {
		return fileError(p.version.base.h.name, m.err)
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

// copyTombstones copies those deletions out of the victims that shadow something which stays.
func (p *pass) copyTombstones(man *manifest.Manifest) error {
	for _, g := range man.Segments {
		if g.Tombstones == 0 || !slices.Contains(p.victims, g.ID) || !plan.TombstoneNeeded(g.Last, p.remaining) {
			continue // what the newest deletion does not need, no older one does
		}
		p.readingVictim = g.ID
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
				if o.Kind == segment.Put {
					return nil
				}
				if o.Kind == segment.Delete {
					if loc, ok, err := p.base.t.Get(o.Key); err != nil || ok && loc.Seq >= f.Seq {
						return err // it was put again, and that word outlasts this one
					}
				}
				return p.copyTombstone(o, f)
			}); err != nil {
				return err
			}
		}
		p.readingVictim = 0
	}
	return nil
}

// install has the pass's files take the place of the old ones.
func (p *pass) install() error {
	s := p.s
	now := s.opt.Now().UnixMilli()
	dropTable := ""
	err := s.install(func(m *manifest.Manifest) {
		m.Segments = slices.DeleteFunc(m.Segments, func(g plan.Segment) bool { return slices.Contains(p.victims, g.ID) })
		m.Segments = append(m.Segments, p.outputs...)
		for i := range m.Segments {
			if g := &m.Segments[i]; g.Sealed && g.Last <= p.upTo {
				g.Live = g.LiveBytes(p.live[g.ID])
			}
		}
		slices.SortFunc(m.Segments, func(a, b plan.Segment) int { return int(a.ID) - int(b.ID) })
		if m.Table != nil {
			dropTable = tableName(m.Table.ID)
		}
		info := p.base.t.Info()
		m.Table = &manifest.Table{ID: info.ID, Size: p.base.size, Seq: info.Seq, Count: info.Count}
		for space, r := range p.retentions {
			r.AgeMs = 0 // has been looked at when the segment was sealed
			if f := plan.Floor(m.Floors[space], r, p.marks, p.bytesByMark[space], now); f > m.Floors[space] {
				m.Floors[space] = f
				p.floorsRaised = true
			}
		}
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
	// Both copies of the manifest are on disk, so nothing names these any more.
	for _, id := range p.victims {
		s.remove(segmentName(id))
	}
	if dropTable != "" {
		s.remove(dropTable)
	}
	return nil
}

// remove removes a file that nothing names any more. If that fails, the next opening does it.
func (s *Store) remove(name string) {
	if err := s.opt.FS.Remove(s.path(name)); err != nil {
		s.opt.Log.WithError(err).WithFields(logrus.Fields{"store": s.dir, "file": name}).Warn("file left behind")
	}
}

// discard removes what a pass that failed has written.
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

// pace keeps the pass within its bytes a second.
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

// pacedFile writes a file from its start on, in large pieces, and syncs it now and then: a sync of much at once
// would have commits wait behind it.
type pacedFile struct {
	pass     *pass
	f        vfs.File
	name     string
	buf      []byte
	off      int64
	unsynced int
}

const (
	chunkBytes   = 128 << 10
	bytesPerSync = 1 << 20
)

func (p *pacedFile) Write(b []byte) (int, error) {
	p.buf = append(p.buf, b...)
	if len(p.buf) >= chunkBytes {
		return len(b), p.flush()
	}
	return len(b), nil
}

func (p *pacedFile) flush() error {
	if len(p.buf) == 0 {
		return nil
	}
	if err := p.pass.pace(len(p.buf)); err != nil {
		return err
	}
	if _, err := p.f.WriteAt(p.buf, p.off); err != nil {
		return fmt.Errorf("store: writing %s: %w", p.name, err)
	}
	p.off += int64(len(p.buf))
	if p.unsynced += len(p.buf); p.unsynced >= bytesPerSync {
		p.unsynced = 0
		if err := p.f.Sync(); err != nil {
			return fmt.Errorf("store: syncing %s: %w", p.name, err)
		}
	}
	p.buf = p.buf[:0]
	return nil
}

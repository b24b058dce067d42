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

// passer makes passes, one at a time, in its own goroutine or in that of whoever asks for one. A pass writes the
// index down as it was at a frozen layer's end and rewrites segments along the way.
type passer struct {
	turn   chan struct{} // holds one while nobody makes a pass
	wake   chan struct{}
	spared map[uint64]bool // segments found damaged, which are left as they are; guarded by turn
}

// The waits after a pass that failed, and between looks at whether records have grown old.
const (
	retryLeast = time.Second
	retryMost  = time.Minute
	ageLook    = 10 * time.Second
)

func (p *passer) kick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// loop is the passer's goroutine.
func (p *passer) loop(s *Store) {
	defer s.running.Done()
	wait := retryLeast
	look := time.NewTicker(ageLook)
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
			if freeze = s.aging(); !freeze {
				continue
			}
		}
		retry = nil
		if _, err := p.run(s.ctx, s, freeze, false); err != nil && s.ctx.Err() == nil && s.fault.Load() == nil {
			s.opt.Log.WithError(err).WithFields(logrus.Fields{"store": s.dir, "again_in": wait}).
				Warn("index not written down, compaction put off")
			retry = time.After(wait)
			wait = min(2*wait, retryMost)
		} else {
			wait = retryLeast
		}
	}
}

// aging tells whether the open segment has been open for a good part of the time that some space's records are kept:
// they grow old a segment at a time, so it must be sealed though it is not full.
func (s *Store) aging() bool {
	var least time.Duration
	for _, r := range s.retained() {
		if age := time.Duration(r.AgeMs) * time.Millisecond; age > 0 && (least == 0 || age < least) {
			least = age
		}
	}
	if least == 0 {
		return false
	}
	var old bool
	err := s.w.control(s, func() error {
		old = s.w.size.Load() > segment.HeaderSize && s.opt.Now().Sub(s.w.begun) > least/8
		return nil
	})
	return err == nil && old
}

// run makes a pass. With freeze it seals the open segment first, so that all that was committed is in it; with
// onlyIndex it rewrites no segments. again tells that another pass would find more to rewrite.
func (p *passer) run(ctx context.Context, s *Store, freeze, onlyIndex bool) (again bool, err error) {
	select {
	case <-p.turn:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	defer func() { p.turn <- struct{}{} }()
	if freeze {
		if err := s.w.control(s, func() error {
			if err := s.Err(); err != nil {
				return err
			}
			if err := s.w.roll(s); err != nil {
				return err
			}
			s.mu.RLock()
			again = s.cur.frozen != nil // left by a pass that failed; what came since needs one more
			s.mu.RUnlock()
			s.w.freeze(s)
			return nil
		}); err != nil {
			return false, err
		}
	}
	s.mu.RLock()
	v := s.cur.ref()
	s.mu.RUnlock()
	defer v.unref()
	if v.frozen == nil {
		return false, nil
	}
	if err := s.Err(); err != nil {
		return false, err
	}
	ps := &pass{s: s, ctx: ctx, v: v, upTo: v.frozen.upTo, onlyIndex: onlyIndex, live: map[uint64]int64{},
		held: map[uint16][]int64{}}
	err = ps.make(p.spared)
	if err != nil {
		ps.discard()
		var fe *FileError
		if errors.As(err, &fe) && errors.Is(err, ErrCorrupt) && ps.reading != 0 {
			// Guards against one damaged record keeping all the rest from being compacted.
			p.spared[ps.reading] = true
		}
		return false, err
	}
	s.passes.Add(1)
	s.manMu.Lock()
	defer s.manMu.Unlock()
	next := ps.victimsOf(s.man.Segments, p.spared)
	return again || len(next) > 0 && !slices.Equal(next, ps.victims) || ps.aged, nil
}

// pass is one pass on its way.
type pass struct {
	s    *Store
	ctx  context.Context
	v    *version
	upTo uint64
	// onlyIndex: no segments are rewritten.
	onlyIndex bool
	victims   []uint64
	staying   []plan.Segment
	marks     []plan.Mark
	reading   uint64 // the victim read last

	out     *output
	outputs []plan.Segment
	handles []*handle
	base    *baseTable
	live    map[uint64]int64   // put bytes that are live, by segment
	held    map[uint16][]int64 // put bytes by space and mark, of spaces that are bounded in bytes
	keep    map[uint16]plan.Retention
	aged    bool // floors have risen
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

func (p *pass) make(spared map[uint64]bool) error {
	s := p.s
	s.manMu.Lock()
	man := s.man.Clone()
	s.manMu.Unlock()
	if !p.onlyIndex {
		p.victims = p.victimsOf(man.Segments, spared)
	}
	for _, g := range man.Segments {
		if !slices.Contains(p.victims, g.ID) {
			p.staying = append(p.staying, g)
		}
	}
	p.marks, p.keep = man.Marks, s.retained()
	for space, r := range p.keep {
		if r.Bytes > 0 {
			p.held[space] = make([]int64, len(p.marks))
		}
	}
	if err := p.writeTable(); err != nil {
		return err
	}
	if err := p.keepTombstones(man); err != nil {
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
	m := newMerge(p.v.floors, "", p.v.table(), p.v.frozen)
	var value []byte
	for m.next() {
		e := m.entry
		space := spaceOf(e.Key)
		if held := p.held[space]; held != nil {
			if i := sort.Search(len(p.marks), func(i int) bool { return p.marks[i].Seq >= e.Loc.Seq }); i < len(held) {
				held[i] += plan.PutBytes(len(e.Key), int(e.Loc.Size))
			}
		}
		if slices.Contains(p.victims, uint64(e.Loc.Segment)) {
			p.reading = uint64(e.Loc.Segment)
			if value, err = p.v.read(e.Key, e.Loc, value); err != nil {
				return err
			}
			p.reading = 0
			if err := p.wait(len(value)); err != nil {
				return err
			}
			if e.Loc.Segment, e.Loc.Offset, err = p.copy(e, value); err != nil {
				return err
			}
		}
		p.live[uint64(e.Loc.Segment)] += plan.PutBytes(len(e.Key), int(e.Loc.Size))
		if err := w.Add(e); err != nil {
			return err
		}
	}
	if m.fault != nil {
		return fileError(p.v.base.h.name, m.fault)
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

// keepTombstones copies those deletions out of the victims that shadow something which stays.
func (p *pass) keepTombstones(man *manifest.Manifest) error {
	for _, g := range man.Segments {
		if g.Tombstones == 0 || !slices.Contains(p.victims, g.ID) || !plan.TombstoneNeeded(g.Last, p.staying) {
			continue // what the newest deletion does not need, no older one does
		}
		p.reading = g.ID
		h := p.v.segs[uint32(g.ID)]
		sc := segment.NewScanner(h.f, segment.HeaderSize, g.Size)
		for sc.Offset() < g.Size {
			f, at, err := sc.Next()
			if err != nil {
				return &FileError{File: h.name, Offset: at, Err: err}
			}
			if !plan.TombstoneNeeded(f.Seq, p.staying) {
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
				return p.putTombstone(o, f)
			}); err != nil {
				return err
			}
		}
		p.reading = 0
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
		for space, r := range p.keep {
			r.AgeMs = 0 // has been looked at when the segment was sealed
			if f := plan.Floor(m.Floors[space], r, p.marks, p.held[space], now); f > m.Floors[space] {
				m.Floors[space] = f
				p.aged = true
			}
		}
	})
	if err != nil {
		return err
	}
	s.swap(func(v *version) *version {
		segs := cloneSegs(v.segs)
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
	if p.out != nil {
		p.handles = append(p.handles, p.out.h)
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
	p.handles, p.base, p.out = nil, nil, nil
}

// wait keeps the pass within its bytes a second.
func (p *pass) wait(n int) error {
	if err := p.ctx.Err(); err != nil {
		return err
	}
	if p.s.pace == nil {
		return nil
	}
	for burst := p.s.pace.Burst(); n > 0; n -= burst {
		if err := p.s.pace.WaitN(p.ctx, min(n, burst)); err != nil {
			return err
		}
	}
	return nil
}

// pacedFile writes a file from its start on, in large pieces, and syncs it now and then: a sync of much at once
// would have commits wait behind it.
type pacedFile struct {
	pass    *pass
	f       vfs.File
	name    string
	buf     []byte
	off     int64
	unsaved int
}

const (
	pieceBytes = 128 << 10
	syncBytes  = 1 << 20
)

func (p *pacedFile) Write(b []byte) (int, error) {
	p.buf = append(p.buf, b...)
	if len(p.buf) >= pieceBytes {
		return len(b), p.flush()
	}
	return len(b), nil
}

func (p *pacedFile) flush() error {
	if len(p.buf) == 0 {
		return nil
	}
	if err := p.pass.wait(len(p.buf)); err != nil {
		return err
	}
	if _, err := p.f.WriteAt(p.buf, p.off); err != nil {
		return fmt.Errorf("store: writing %s: %w", p.name, err)
	}
	p.off += int64(len(p.buf))
	if p.unsaved += len(p.buf); p.unsaved >= syncBytes {
		p.unsaved = 0
		if err := p.f.Sync(); err != nil {
			return fmt.Errorf("store: syncing %s: %w", p.name, err)
		}
	}
	p.buf = p.buf[:0]
	return nil
}

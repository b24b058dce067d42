package store

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
)

// groupBytes bounds what is written and synced at once, so that a commit waits for no more than that before its own.
const groupBytes = 4 << 20

// marksMost bounds how many points of time the manifest remembers.
const marksMost = 256

// writer owns the open segment. All that changes it happens in its goroutine.
type writer struct {
	mu       sync.Mutex
	queue    []*request
	stopped  bool
	wake     chan struct{}
	written  chan written    // to the applier
	spare    chan []*request // and back
	last     int             // in the last group
	syncTook time.Duration   // on average, lately

	h          *handle
	id         uint64
	size       atomic.Int64
	seq        uint64      // of the last frame written
	spares     chan *spare // the next segment, once it is ready
	preparing  bool
	prepared   bool  // there may be zeros behind what was written
	dirty      bool  // something written is not synced
	tombstones int64 // as in plan.Segment, of the open segment
	puts       int64
	begun      time.Time // of the first frame in the open segment
	buf        []byte
	since      atomic.Int64 // bytes of log that the index on disk, or on its way there, does not know

	syncs, commits atomic.Uint64
}

// request is a batch to commit, or something else for the writer's goroutine to do.
type request struct {
	b    *Batch
	do   func() error
	seq  uint64
	done chan error
}

var requests = sync.Pool{New: func() any { return &request{done: make(chan error, 1)} }}

// Commit has a batch take effect and returns its sequence number. Numbers count up by one with each batch. Once it
// returns, readers see the batch; whether it is on disk then is up to Options.SyncEvery. After an error the batch had
// no effect, except for ErrReadOnly, after which that is unknown.
func (s *Store) Commit(b *Batch) (uint64, error) {
	if err := b.check(); err != nil {
		return 0, err
	}
	if len(b.ops) == 0 {
		s.mu.RLock()
		defer s.mu.RUnlock()
		return s.seq, nil
	}
	r := requests.Get().(*request)
	defer requests.Put(r)
	r.b, r.do, r.seq = b, nil, 0
	if err := s.w.submit(r); err != nil {
		return 0, err
	}
	err := <-r.done
	r.b = nil
	return r.seq, err
}

func (w *writer) submit(r *request) error {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return ErrClosed
	}
	w.queue = append(w.queue, r)
	w.mu.Unlock()
	w.rouse()
	return nil
}

func (w *writer) rouse() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// control has f run in the writer's goroutine.
func (w *writer) control(s *Store, f func() error) error {
	r := &request{do: f, done: make(chan error, 1)}
	if err := w.submit(r); err != nil {
		return err
	}
	return <-r.done
}

// stop has the goroutine end once the queue is empty; nothing more can be submitted.
func (w *writer) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.rouse()
}

func (w *writer) tail() int64 { return w.since.Load() }

// run is the writer's goroutine.
func (w *writer) run(s *Store) {
	defer s.running.Done()
	var tick <-chan time.Time
	if s.opt.SyncEvery > 0 {
		t := time.NewTicker(s.opt.SyncEvery)
		defer t.Stop()
		tick = t.C
	}
	var queue []*request
	for open := true; open; {
		select {
		case <-tick:
			if s.fault.Load() == nil {
				_ = w.sync(s) // it poisons the store
			}
			continue
		case <-w.wake:
		}
		w.gather()
		w.mu.Lock()
		queue, w.queue = w.queue, queue[:0]
		open = !w.stopped
		w.mu.Unlock()
		group, bytes := w.takeGroup(), 0
		for _, r := range queue {
			if r.do != nil || bytes+r.size() > groupBytes {
				w.commit(s, group)
				group, bytes = w.takeGroup(), 0
			}
			if r.do != nil {
				w.settle()
				r.done <- r.do()
				continue
			}
			group, bytes = append(group, r), bytes+r.size()
		}
		w.commit(s, group)
		clear(queue)
	}
	w.settle()
	close(w.written)
	if s.opt.SyncEvery > 0 && s.fault.Load() == nil {
		_ = w.sync(s)
	}
}

// gather waits a moment for those whose commits have just been answered and who may come again. Without it writers
// fall into two halves, of which each waits for the other's sync and then for its own: two syncs where one would do.
// It waits no longer than half a sync takes, and only where several came together the last time.
func (w *writer) gather() {
	last := w.last
	w.last = 0
	if last < 2 {
		return
	}
	// By yielding, as timers are too coarse: the processor goes to those who are waited for.
	want := -1
	for began, limit := time.Now(), min(w.syncTook/2, gatherMost); time.Since(began) < limit; runtime.Gosched() {
		w.mu.Lock()
		n, stopped := len(w.queue), w.stopped || slices.ContainsFunc(w.queue, func(r *request) bool { return r.do != nil })
		w.mu.Unlock()
		if want < 0 {
			want = n + last
		}
		if n >= want || stopped {
			return
		}
	}
}

// gatherMost bounds what a commit waits for others, however slow the disk is.
const gatherMost = 2 * time.Millisecond

func (r *request) size() int {
	if r.b == nil {
		return 0
	}
	return len(r.b.frame)
}

// written is a group that is on its way from the log to the index.
type written struct {
	group   []*request
	segment uint32
	at      uint32        // where its first frame lies
	settled chan struct{} // instead of a group: closed once all before is in the index
}

// commit writes batches, syncs once, and hands them on to the applier.
func (w *writer) commit(s *Store, group []*request) {
	if len(group) == 0 {
		return
	}
	at, err := w.write(s, group)
	if err != nil {
		for _, r := range group {
			r.seq = 0
			r.done <- err
		}
		return
	}
	w.commits.Add(uint64(len(group)))
	w.last = len(group)
	w.written <- written{group: group, segment: uint32(w.id), at: at}
}

// settle waits until all that was written is in the index.
func (w *writer) settle() {
	done := make(chan struct{})
	w.written <- written{settled: done}
	<-done
}

// takeGroup returns an empty slice for a group, one that the applier is done with if there is any.
func (w *writer) takeGroup() []*request {
	select {
	case g := <-w.spare:
		return g
	default:
		return nil
	}
}

// write returns where the group's first frame lies.
func (w *writer) write(s *Store, group []*request) (uint32, error) {
	if err := s.Err(); err != nil {
		return 0, err
	}
	total := 0
	for _, r := range group {
		total += len(r.b.frame)
	}
	if plan.Full(w.size.Load(), int64(total), s.limits) {
		if err := w.roll(s); err != nil {
			return 0, err
		}
		w.settle()
		w.freezeIfDue(s)
	}
	now := s.opt.Now()
	start, buf, seq := w.size.Load(), w.buf[:0], w.seq
	for _, r := range group {
		seq++
		r.seq = seq
		segment.FinishFrame(r.b.frame, segment.Frame{Seq: seq, Durable: s.durable.Load(), Time: now})
		if len(group) > 1 {
			buf = append(buf, r.b.frame...)
		}
	}
	if len(group) == 1 {
		buf = group[0].b.frame
	} else if w.buf = buf; cap(buf) > groupBytes {
		w.buf = nil
	}
	if _, err := w.h.f.WriteAt(buf, start); err != nil {
		return 0, w.undo(s, start, err)
	}
	w.seq, w.dirty = seq, true
	w.size.Add(int64(total))
	w.since.Add(int64(total))
	if start == segment.HeaderSize {
		w.begun = now
	}
	if s.opt.SyncEvery == 0 {
		if err := w.sync(s); err != nil {
			return 0, err
		}
	}
	for _, r := range group {
		w.count(r.b)
	}
	return uint32(start), nil
}

// count keeps the open segment's figures.
func (w *writer) count(b *Batch) {
	for i := range b.ops {
		if o := &b.ops[i]; o.end != "" || o.dead() {
			w.tombstones += tombstoneBytes(len(o.key), len(o.end))
		} else {
			w.puts += plan.PutBytes(len(o.key), int(o.loc.Size))
		}
	}
}

func tombstoneBytes(key, end int) int64 { return int64(segment.FrameSize + key + end + 4) }

// undo takes back a write that failed, so that nothing half-written counts and the next one begins where this did.
func (w *writer) undo(s *Store, size int64, cause error) error {
	err := fmt.Errorf("store: writing %s: %w", w.h.name, cause)
	if terr := w.h.f.Truncate(size); terr != nil {
		return s.poison("taking back a write that failed with "+cause.Error(), terr)
	}
	// Without the sync a power cut could bring back what was reported as failed.
	if serr := w.h.f.Sync(); serr != nil {
		return s.poison("taking back a write that failed with "+cause.Error(), serr)
	}
	w.dirty = false
	s.durable.Store(w.seq)
	return err
}

// sync has all that was written be on disk.
func (w *writer) sync(s *Store) error {
	if err := s.Err(); err != nil {
		return err
	}
	if !w.dirty {
		return nil
	}
	w.syncs.Add(1)
	at := time.Now()
	if err := w.h.f.Sync(); err != nil {
		return s.poison("syncing "+w.h.name, err)
	}
	w.syncTook += (time.Since(at) - w.syncTook) / 8
	w.dirty = false
	s.durable.Store(w.seq)
	return nil
}

// roll seals the open segment and opens the next. With nothing in the open one it does nothing.
func (w *writer) roll(s *Store) error {
	if w.size.Load() == segment.HeaderSize {
		return nil
	}
	if err := w.sync(s); err != nil {
		return err
	}
	if err := w.trim(s); err != nil {
		return fmt.Errorf("store: sealing %s: %w", w.h.name, err)
	}
	id, h, prepared, err := w.nextSegment(s)
	if err != nil {
		return fmt.Errorf("store: opening the next segment: %w", err)
	}
	now := s.opt.Now().UnixMilli()
	retained := s.retained()
	err = s.install(func(m *manifest.Manifest) {
		for i := range m.Segments {
			if g := &m.Segments[i]; g.ID == w.id {
				g.Sealed, g.Last, g.Size = true, w.seq, w.size.Load()
				g.Tombstones, g.Puts = w.tombstones, w.puts
				g.Live = g.LiveBytes(g.Puts)
			}
		}
		m.Segments = append(m.Segments, plan.Segment{ID: id, Kind: plan.Log, First: w.seq + 1})
		m.Marks = plan.Trim(append(m.Marks, plan.Mark{Seq: w.seq, UnixMs: now}), marksMost)
		for space, r := range retained {
			byAge := plan.Retention{AgeMs: r.AgeMs}
			if f := plan.Floor(m.Floors[space], byAge, m.Marks, nil, now); f > 0 {
				m.Floors[space] = f
			}
		}
	})
	if err != nil {
		h.unref()
		if s.fault.Load() == nil { // otherwise the manifest on disk may name it
			_ = s.opt.FS.Remove(s.path(h.name))
		}
		return err
	}
	s.swap(func(v *version) *version {
		segs := cloneSegs(v.segs)
		segs[uint32(id)] = h
		return newVersion(v.frozen, v.base, segs, s.floors())
	})
	w.h.unref()
	w.h, w.id, w.tombstones, w.puts, w.prepared = h, id, 0, 0, prepared
	w.size.Store(segment.HeaderSize)
	w.prepareNext(s)
	return nil
}

// newSegment makes a segment file that is on disk with its header when it returns.
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

// freezeIfDue hands the index in memory to the passer when it is worth a pass.
func (w *writer) freezeIfDue(s *Store) {
	s.mu.RLock()
	tail := plan.Tail{Log: w.since.Load(), Overlay: s.over.bytes()}
	if s.cur.base != nil {
		tail.Table = s.cur.base.size
	}
	busy := s.cur.frozen != nil
	s.mu.RUnlock()
	if !busy && plan.Due(tail, s.limits) {
		w.freeze(s)
		s.p.kick()
	}
}

// freeze puts a new layer over the present one. All of the present one must be in sealed segments.
func (w *writer) freeze(s *Store) {
	s.swap(func(v *version) *version {
		if v.frozen != nil {
			return v.ref()
		}
		s.takeIn()
		old := s.over
		old.upTo = w.seq
		s.over = newLayer()
		w.since.Store(0)
		return newVersion(old, v.base, v.segs, v.floors)
	})
}

// swap replaces the version. next is called with the lock held and returns one with a hold for the store.
func (s *Store) swap(next func(v *version) *version) {
	s.mu.Lock()
	old := s.cur
	s.cur = next(old)
	s.mu.Unlock()
	old.unref()
}

func cloneSegs(segs map[uint32]*handle) map[uint32]*handle {
	c := make(map[uint32]*handle, len(segs)+1)
	for id, h := range segs {
		c[id] = h
	}
	return c
}

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

// maxGroupBytes bounds what is written and synced at once, so that a commit waits for no more than that before its own.
const maxGroupBytes = 4 << 20

// maxMarks bounds how many points of time the manifest remembers.
const maxMarks = 256

// writer owns the open segment. All that changes it happens in its goroutine.
type writer struct {
	mu           sync.Mutex
	queue        []*request
	stopped      bool
	wake         chan struct{}
	written      chan writtenGroup // to the applier
	freeGroups   chan []*request   // and back
	lastGroupLen int               // in the last group
	meanSync     time.Duration     // on average, lately

	file             *handle
	segmentID        uint64
	size             atomic.Int64
	seq              uint64                // of the last frame written
	preparedSegments chan *preparedSegment // the next segment, once it is ready
	preparing        bool
	mayHaveZeros     bool  // there may be zeros behind what was written
	dirty            bool  // something written is not synced
	tombstones       int64 // as in plan.Segment, of the open segment
	puts             int64
	firstCommitAt    time.Time // of the first frame in the open segment
	writeBuf         []byte
	unindexed        atomic.Int64 // bytes of log that the index on disk, or on its way there, does not know

	syncs, commits atomic.Uint64
}

// request is a batch to commit, or something else for the writer's goroutine to do.
type request struct {
	batch *Batch
	fn    func() error
	seq   uint64
	done  chan error
}

var requestPool = sync.Pool{New: func() any { return &request{done: make(chan error, 1)} }}

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
	r := requestPool.Get().(*request)
	defer requestPool.Put(r)
	r.batch, r.fn, r.seq = b, nil, 0
	if err := s.writer.submit(r); err != nil {
		return 0, err
	}
	err := <-r.done
	r.batch = nil
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
	w.wakeUp()
	return nil
}

func (w *writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// runInWriter has f run in the writer's goroutine.
func (w *writer) runInWriter(s *Store, f func() error) error {
	r := &request{fn: f, done: make(chan error, 1)}
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
	w.wakeUp()
}

func (w *writer) unindexedBytes() int64 { return w.unindexed.Load() }

// run is the writer's goroutine.
func (w *writer) run(s *Store) {
	defer s.goroutines.Done()
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
				_ = w.sync(s) // it turns the store read-only
			}
			continue
		case <-w.wake:
		}
		w.awaitGroup()
		w.mu.Lock()
		queue, w.queue = w.queue, queue[:0]
		open = !w.stopped
		w.mu.Unlock()
		group, bytes := w.takeGroup(), 0
		for _, r := range queue {
			if r.fn != nil || bytes+r.size() > maxGroupBytes {
				w.commit(s, group)
				group, bytes = w.takeGroup(), 0
			}
			if r.fn != nil {
				w.awaitApplied()
				r.done <- r.fn()
				continue
			}
			group, bytes = append(group, r), bytes+r.size()
		}
		w.commit(s, group)
		clear(queue)
	}
	w.awaitApplied()
	close(w.written)
	if s.opt.SyncEvery > 0 && s.fault.Load() == nil {
		_ = w.sync(s)
	}
}

// awaitGroup waits a moment for those whose commits have just been answered and who may come again. Without it writers
// fall into two halves, of which each waits for the other's sync and then for its own: two syncs where one would do.
// It waits no longer than half a sync takes, and only where several came together the last time.
func (w *writer) awaitGroup() {
	last := w.lastGroupLen
	w.lastGroupLen = 0
	if last < 2 {
		return
	}
	// By yielding, as timers are too coarse: the processor goes to those who are waited for.
	want := -1
	for began, limit := time.Now(), min(w.meanSync/2, maxGroupWait); time.Since(began) < limit; runtime.Gosched() {
		w.mu.Lock()
		n, stopped := len(w.queue), w.stopped || slices.ContainsFunc(w.queue, func(r *request) bool { return r.fn != nil })
		w.mu.Unlock()
		if want < 0 {
			want = n + last
		}
		if n >= want || stopped {
			return
		}
	}
}

// maxGroupWait bounds what a commit waits for others, however slow the disk is.
const maxGroupWait = 2 * time.Millisecond

func (r *request) size() int {
	if r.batch == nil {
		return 0
	}
	return len(r.batch.frame)
}

// writtenGroup is a group that is on its way from the log to the index.
type writtenGroup struct {
	group   []*request
	segment uint32
	offset  uint32        // where its first frame lies
	applied chan struct{} // instead of a group: closed once all before is in the index
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
	w.lastGroupLen = len(group)
	w.written <- writtenGroup{group: group, segment: uint32(w.segmentID), offset: at}
}

// awaitApplied waits until all that was written is in the index.
func (w *writer) awaitApplied() {
	done := make(chan struct{})
	w.written <- writtenGroup{applied: done}
	<-done
}

// takeGroup returns an empty slice for a group, one that the applier is done with if there is any.
func (w *writer) takeGroup() []*request {
	select {
	case g := <-w.freeGroups:
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
		total += len(r.batch.frame)
	}
	if plan.SegmentFull(w.size.Load(), int64(total), s.limits) {
		if err := w.roll(s); err != nil {
			return 0, err
		}
		w.awaitApplied()
		w.freezeIfDue(s)
	}
	now := s.opt.Now()
	start, buf, seq := w.size.Load(), w.writeBuf[:0], w.seq
	for _, r := range group {
		seq++
		r.seq = seq
		segment.FinishFrame(r.batch.frame, segment.Frame{Seq: seq, Durable: s.durable.Load(), Time: now})
		if len(group) > 1 {
			buf = append(buf, r.batch.frame...)
		}
	}
	if len(group) == 1 {
		buf = group[0].batch.frame
	} else if w.writeBuf = buf; cap(buf) > maxGroupBytes {
		w.writeBuf = nil
	}
	if _, err := w.file.f.WriteAt(buf, start); err != nil {
		return 0, w.undoWrite(s, start, err)
	}
	w.seq, w.dirty = seq, true
	w.size.Add(int64(total))
	w.unindexed.Add(int64(total))
	if start == segment.HeaderSize {
		w.firstCommitAt = now
	}
	if s.opt.SyncEvery == 0 {
		if err := w.sync(s); err != nil {
			return 0, err
		}
	}
	for _, r := range group {
		w.countOps(r.batch)
	}
	return uint32(start), nil
}

// countOps keeps the open segment's figures.
func (w *writer) countOps(b *Batch) {
	for i := range b.ops {
		if o := &b.ops[i]; o.end != "" || o.dead() {
			w.tombstones += tombstoneBytes(len(o.key), len(o.end))
		} else {
			w.puts += plan.PutBytes(len(o.key), int(o.loc.Size))
		}
	}
}

func tombstoneBytes(key, end int) int64 { return int64(segment.FrameSize + key + end + 4) }

// undoWrite takes back a write that failed, so that nothing half-written counts and the next one begins where this did.
func (w *writer) undoWrite(s *Store, size int64, cause error) error {
	err := fmt.Errorf("store: writing %s: %w", w.file.name, cause)
	if terr := w.file.f.Truncate(size); terr != nil {
		return s.turnReadOnly("taking back a write that failed with "+cause.Error(), terr)
	}
	// Without the sync a power cut could bring back what was reported as failed.
	if serr := w.file.f.Sync(); serr != nil {
		return s.turnReadOnly("taking back a write that failed with "+cause.Error(), serr)
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
	if err := w.file.f.Sync(); err != nil {
		return s.turnReadOnly("syncing "+w.file.name, err)
	}
	w.meanSync += (time.Since(at) - w.meanSync) / 8
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
	if err := w.trimZeros(s); err != nil {
		return fmt.Errorf("store: sealing %s: %w", w.file.name, err)
	}
	id, h, prepared, err := w.nextSegment(s)
	if err != nil {
		return fmt.Errorf("store: opening the next segment: %w", err)
	}
	now := s.opt.Now().UnixMilli()
	retained := s.retentions()
	err = s.install(func(m *manifest.Manifest) {
		for i := range m.Segments {
			if g := &m.Segments[i]; g.ID == w.segmentID {
				g.Sealed, g.Last, g.Size = true, w.seq, w.size.Load()
				g.Tombstones, g.Puts = w.tombstones, w.puts
				g.Live = g.LiveBytes(g.Puts)
			}
		}
		m.Segments = append(m.Segments, plan.Segment{ID: id, Kind: plan.Log, First: w.seq + 1})
		m.Marks = plan.TrimMarks(append(m.Marks, plan.Mark{Seq: w.seq, UnixMs: now}), maxMarks)
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
	tail := plan.Tail{Log: w.unindexed.Load(), Overlay: s.top.bytes()}
	if s.version.base != nil {
		tail.Table = s.version.base.size
	}
	busy := s.version.frozen != nil
	s.mu.RUnlock()
	if !busy && plan.PassDue(tail, s.limits) {
		w.freeze(s)
		s.compactor.kick()
	}
}

// freeze puts a new layer over the present one. All of the present one must be in sealed segments.
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

// swap replaces the version. next is called with the lock held and returns one with a hold for the store.
func (s *Store) swap(next func(v *version) *version) {
	s.mu.Lock()
	old := s.version
	s.version = next(old)
	s.mu.Unlock()
	old.unref()
}

func cloneSegments(segs map[uint32]*handle) map[uint32]*handle {
	c := make(map[uint32]*handle, len(segs)+1)
	for id, h := range segs {
		c[id] = h
	}
	return c
}

package store

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxGroupBytes limits the bytes that are written and synced together. So a commit waits for at most one such group
	// before its own, unless the queue is longer. A batch that is larger forms a group alone.
	maxGroupBytes = 4 << 20
	// maxGroupWait limits how long a commit waits for others to join its group, however slow syncs are.
	maxGroupWait = 2 * time.Millisecond
)

// writer owns the open segment. Its goroutine, the only one that changes the segment, appends commits in groups, with one
// write and one sync a group. append.go writes a group; roll.go replaces a full segment by the next one.
type writer struct {
	mu      sync.Mutex // guards queue and stopped
	queue   []*request
	stopped bool
	wake    chan struct{} // has a token if the queue or stopped has changed since the writer last looked

	written    chan writtenGroup // groups in the log, from the writer to the applier
	freeGroups chan []*request   // slices that the applier has finished with, for reuse

	// The fields below belong to the writer's goroutine. Other goroutines read the atomics.

	lastGroupLen int           // number of commits in the last group
	meanSync     time.Duration // moving average of the duration of a sync; each new one weighs an eighth

	file             *handle               // the open segment's
	segmentID        uint64                // the open segment's number
	size             atomic.Int64          // bytes of the open segment, without zeros at its end
	seq              uint64                // sequence number of the last frame written
	preparedSegments chan *preparedSegment // the next segment once it is prepared; nil if preparing it failed
	preparing        bool                  // a segment is being prepared, or is in preparedSegments
	mayHaveZeros     bool                  // the open segment's file may have zeros after the frames
	dirty            bool                  // frames were written since the last sync
	tombstones       int64                 // plan.Segment.Tombstones of the open segment
	puts             int64                 // plan.Segment.Puts of the open segment
	firstCommitAt    time.Time             // when the first frame in the open segment was written
	writeBuf         []byte                // reused: the frames of a group with several commits

	unindexed      atomic.Int64  // bytes of log that neither the table nor a frozen layer covers
	syncs, commits atomic.Uint64 // since the store was opened
}

// request asks the writer to commit a batch, or if fn is set, to call it in the writer's goroutine.
type request struct {
	batch *Batch
	fn    func() error
	seq   uint64     // sequence number of the commit; 0 if it failed
	done  chan error // gets the result
}

var requestPool = sync.Pool{New: func() any { return &request{done: make(chan error, 1)} }}

// Commit applies a batch and returns its sequence number, which is one higher than the previous batch's. Once it returns,
// readers see the batch. It is also on disk by then, unless Options.SyncEvery is set. After an error the batch has had no
// effect, except after ErrReadOnly: then only opening the store again shows whether it took effect. For an empty batch
// Commit does not write; it returns the sequence number of the last commit.
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

// submit queues a request. It returns ErrClosed once the writer was stopped.
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

// wakeUp makes the writer's goroutine look at the queue. It never blocks: one token is enough.
func (w *writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// runInWriter calls f in the writer's goroutine, after the commits that were queued before it are in the index, and returns
// f's error.
func (w *writer) runInWriter(f func() error) error {
	r := &request{fn: f, done: make(chan error, 1)}
	if err := w.submit(r); err != nil {
		return err
	}
	return <-r.done
}

// stop makes the writer's goroutine end once the queue is empty. Later calls of submit return ErrClosed.
func (w *writer) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.wakeUp()
}

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
				_ = w.sync(s) // after an error sync has turned the store read-only
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

// awaitGroup waits after a group was acknowledged, until its callers commit again, so that they share the next sync.
// Without the wait, concurrent callers split into two halves: each half waits for the other's sync and then for its own,
// which takes two syncs where one would do. awaitGroup waits only if the last group had several commits, and no longer than
// half the mean duration of a sync or maxGroupWait.
func (w *writer) awaitGroup() {
	last := w.lastGroupLen
	w.lastGroupLen = 0
	if last < 2 {
		return
	}
	// The loop yields the processor to the callers instead of sleeping, because timers are too coarse.
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

// size returns how many bytes of log the request takes.
func (r *request) size() int {
	if r.batch == nil {
		return 0
	}
	return len(r.batch.frame)
}

// writtenGroup is a group of commits that is in the log and not in the index yet, or if applied is set, a marker.
type writtenGroup struct {
	group   []*request
	segment uint32        // number of the segment that has the group
	offset  uint32        // of the group's first frame in the segment
	applied chan struct{} // marker: the applier closes it once all earlier groups are in the index
}

// commit writes a group, with one sync unless Options.SyncEvery is set, and sends it to the applier, which acknowledges it.
// If the write fails, commit returns the error to every caller of the group.
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

// awaitApplied returns when all groups that were sent to the applier are in the index.
func (w *writer) awaitApplied() {
	done := make(chan struct{})
	w.written <- writtenGroup{applied: done}
	<-done
}

// takeGroup returns an empty slice for a group: a slice that the applier has released, or nil.
func (w *writer) takeGroup() []*request {
	select {
	case g := <-w.freeGroups:
		return g
	default:
		return nil
	}
}

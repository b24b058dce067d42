package store

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxGroupBytes bounds what is written and synced at once, so that a commit waits for no more than that before its own.
	maxGroupBytes = 4 << 20
	// maxGroupWait bounds how long a commit waits for others to join its group, however slow the disk is.
	maxGroupWait = 2 * time.Millisecond
)

// writer owns the open segment: it appends commits in groups, one write and one sync a group. Its goroutine alone changes
// the segment; append.go has what it does with a group, roll.go how one segment follows another.
type writer struct {
	mu      sync.Mutex // guards queue and stopped
	queue   []*request
	stopped bool
	wake    chan struct{}

	written    chan writtenGroup // to the applier
	freeGroups chan []*request   // slices that the applier is done with

	// What follows belongs to the writer's goroutine, but for the atomics, which others read.

	lastGroupLen int           // how many commits were in the last group
	meanSync     time.Duration // how long a sync takes: a moving average

	file             *handle // of the open segment
	segmentID        uint64
	size             atomic.Int64          // of the open segment, without zeros at its end
	seq              uint64                // of the last frame written
	preparedSegments chan *preparedSegment // the next segment once it is ready; nil if preparing it failed
	preparing        bool
	mayHaveZeros     bool      // the file may be longer than what was written, filled with zeros
	dirty            bool      // something written is not synced
	tombstones       int64     // as in plan.Segment, of the open segment
	puts             int64     // as in plan.Segment, of the open segment
	firstCommitAt    time.Time // when the first frame in the open segment was written
	writeBuf         []byte

	unindexed      atomic.Int64 // bytes of log that neither the table nor a frozen layer covers
	syncs, commits atomic.Uint64
}

// request is a batch to commit, or with fn set, a function to call in the writer's goroutine.
type request struct {
	batch *Batch
	fn    func() error
	seq   uint64 // of the batch's commit, once there is one
	done  chan error
}

var requestPool = sync.Pool{New: func() any { return &request{done: make(chan error, 1)} }}

// Commit applies a batch and returns its sequence number, which is one higher than the previous batch's. Once it returns,
// readers see the batch; whether it is on disk by then depends on Options.SyncEvery. After an error the batch had no
// effect, except after ErrReadOnly: whether it had one is then known only when the store is opened again. An empty batch
// commits nothing and returns the number of the last commit.
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

// wakeUp has the goroutine look at the queue.
func (w *writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// runInWriter calls f in the writer's goroutine, once the commits before it are in the index, and returns its error.
func (w *writer) runInWriter(f func() error) error {
	r := &request{fn: f, done: make(chan error, 1)}
	if err := w.submit(r); err != nil {
		return err
	}
	return <-r.done
}

// stop has the goroutine end once the queue is empty. From then on submit refuses.
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

// awaitGroup waits a moment for the callers whose commits were just acknowledged to commit again. Without it callers
// fall into two halves, of which each waits for the other's sync and then for its own: two syncs where one would do.
// It waits for no longer than half a sync takes, and only if the last group had several commits.
func (w *writer) awaitGroup() {
	last := w.lastGroupLen
	w.lastGroupLen = 0
	if last < 2 {
		return
	}
	// It yields, as timers are too coarse, so that the callers get the processor.
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

// size is how many bytes of log the request takes.
func (r *request) size() int {
	if r.batch == nil {
		return 0
	}
	return len(r.batch.frame)
}

// writtenGroup is a group that is in the log and not in the index yet.
type writtenGroup struct {
	group   []*request
	segment uint32
	offset  uint32        // where its first frame lies
	applied chan struct{} // instead of a group: closed once all before is in the index
}

// commit writes a group, syncs once, and passes it on to the applier; if that fails, it answers the group itself.
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

// awaitApplied returns when all that was written is in the index.
func (w *writer) awaitApplied() {
	done := make(chan struct{})
	w.written <- writtenGroup{applied: done}
	<-done
}

// takeGroup returns an empty slice for a group, if possible one that the applier is done with.
func (w *writer) takeGroup() []*request {
	select {
	case g := <-w.freeGroups:
		return g
	default:
		return nil
	}
}

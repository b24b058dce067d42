package replica

import (
	"math"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica/wal"
)

// never is a deadline that does not come.
const never = time.Duration(math.MaxInt64)

// writer gathers what all groups want written and gives it to the disk's goroutine, one work at a time, each with one
// sync. What depends on it leaves once it is there.
type writer struct {
	engine *Engine
	log    *wal.Log

	pending  *work // being gathered
	inflight *work // at the disk, or waiting to be tried again
	spare    *work
	busy     bool // the disk is at it
	number   uint64
	finished uint64 // number of the newest work on disk
	health   health
	figures  diskFigures

	// perform hands work to the disk; tests replace it. finish must be called on the loop with the outcome.
	perform func(w *work)
}

// work is one write to the disk with all that hangs on it.
type work struct {
	number   uint64
	started  time.Duration
	batch    wal.Batch
	installs []installation
	deferred []consensus.Message
	touched  []touched
}

// installation is a snapshot to write before the batch.
type installation struct {
	group    GroupID
	snapshot *consensus.Snapshot
}

// touched is a group's newest entry after a work.
type touched struct {
	group       *group
	index, term uint64
}

// diskFigures is what the disk holds after a work.
type diskFigures struct {
	logBytes int64
	segments int
	pinning  []GroupID // groups that keep the oldest segment
}

func newWriter(e *Engine, log *wal.Log) *writer {
	w := &writer{engine: e, log: log, number: 1}
	w.pending = &work{number: w.number}
	w.figures = diskFigures{logBytes: log.Bytes(), segments: log.Segments(), pinning: log.Pinning()}
	return w
}

// begin lets nothing leave that depends on the disk before the first write, which makes sure of what was read from it:
// an earlier process may have ended before it was synced.
func (w *writer) begin() {
	for _, g := range w.engine.groups {
		w.pending.batch.HardState(g.id, g.hardState)
		g.hardWork = w.pending.number
		w.touch(g, 0, 0)
	}
}

// start runs the disk's goroutine, and returns what ends it.
func (w *writer) start() (stop func()) {
	if w.perform != nil {
		return func() {}
	}
	works := make(chan *work, 1)
	w.perform = func(next *work) { works <- next }
	w.engine.atDisk.Go(func() {
		defer w.log.Close()
		for next := range works {
			figures, err := w.write(next)
			w.engine.Do(func() { w.finish(next, figures, err) })
		}
	})
	return func() { close(works) }
}

// write is what the disk's goroutine does.
func (w *writer) write(next *work) (diskFigures, error) {
	for _, i := range next.installs {
		if err := wal.WriteSnapshot(w.engine.options.FileSystem, w.engine.options.Dir, i.group, i.snapshot); err != nil {
			return diskFigures{}, err
		}
	}
	if err := w.log.Append(&next.batch); err != nil {
		return diskFigures{}, err
	}
	// What cannot be removed now is tried again after the next work.
	_, _ = w.log.Release()
	return diskFigures{logBytes: w.log.Bytes(), segments: w.log.Segments(), pinning: w.log.Pinning()}, nil
}

// add takes what a group wants written, and the messages that leave after it.
func (w *writer) add(g *group, output *consensus.Output) {
	if output.Snapshot != nil {
		w.addInstall(g, output.Snapshot)
	}
	if output.HardState != nil {
		w.pending.batch.HardState(g.id, *output.HardState)
		g.hardWork = w.pending.number
		w.touch(g, 0, 0)
	}
	if len(output.Entries) > 0 {
		w.pending.batch.Entries(g.id, output.Entries)
		last := &output.Entries[len(output.Entries)-1]
		w.touch(g, last.Index, last.Term)
		g.snapshots.grew(output.Entries)
	}
	w.deferMessages(g, output.Deferred)
}

func (w *writer) addInstall(g *group, snapshot *consensus.Snapshot) {
	w.pending.installs = append(w.pending.installs, installation{group: g.id, snapshot: snapshot})
	w.pending.batch.Install(g.id, snapshot.Index, snapshot.Term)
	w.touch(g, snapshot.Index, snapshot.Term)
}

// touch notes that the pending work has something of a group, and the group's newest entry if that is in it.
func (w *writer) touch(g *group, index, term uint64) {
	g.dirtyWork = w.pending.number
	if index > 0 {
		g.newestIndex, g.newestTerm = index, term
	}
	newest := touched{group: g, index: g.newestIndex, term: g.newestTerm}
	for i := range w.pending.touched {
		if w.pending.touched[i].group == g {
			w.pending.touched[i] = newest
			return
		}
	}
	w.pending.touched = append(w.pending.touched, newest)
}

// deferMessages lets messages leave once all that was handed out before them is on disk.
func (w *writer) deferMessages(g *group, messages []consensus.Message) {
	switch {
	case len(messages) == 0:
	case g.dirtyWork <= w.finished:
		for i := range messages {
			w.engine.outbox.message(&messages[i])
		}
	case w.inflight != nil && g.dirtyWork == w.inflight.number:
		w.inflight.deferred = append(w.inflight.deferred, messages...)
	default:
		w.pending.deferred = append(w.pending.deferred, messages...)
	}
}

// submit gives the disk the next work if it is free.
func (w *writer) submit() {
	if w.busy || w.engine.now < w.health.retryAt {
		return
	}
	if w.inflight == nil {
		if w.pending.batch.Empty() {
			return
		}
		w.inflight = w.pending
		w.number++
		w.pending = w.fresh()
	}
	w.busy = true
	w.inflight.started = w.engine.now
	w.perform(w.inflight)
}

func (w *writer) fresh() *work {
	next := w.spare
	w.spare = nil
	if next == nil {
		next = &work{}
	}
	next.number = w.number
	return next
}

// finish takes the outcome of a work.
func (w *writer) finish(done *work, figures diskFigures, err error) {
	w.busy = false
	if err != nil {
		w.failed(err)
		return
	}
	w.inflight = nil
	w.finished = done.number
	w.figures = figures
	w.wrote(w.engine.now - done.started)
	for _, t := range done.touched {
		// Only if no newer hard state waits: Persisted speaks for all that were handed out.
		if t.group.hardWork <= w.finished {
			t.group.node.Persisted(w.engine.now, t.index, t.term)
		}
	}
	for i := range done.deferred {
		w.engine.outbox.message(&done.deferred[i])
	}
	w.recycle(done)
}

func (w *writer) recycle(done *work) {
	done.batch.Reset()
	clear(done.installs)
	clear(done.deferred)
	clear(done.touched)
	done.installs = done.installs[:0]
	done.deferred = done.deferred[:0]
	done.touched = done.touched[:0]
	w.spare = done
}

// unwritten is how many bytes wait for the disk.
func (w *writer) unwritten() int {
	size := w.pending.batch.Size()
	if w.inflight != nil {
		size += w.inflight.batch.Size()
	}
	return size
}

func (w *writer) failed(err error) {
	_ = level.Error(w.engine.options.Logger).Log("msg", "write to disk failed", "err", err)
	w.health.failing = true
	w.health.retryAt = w.engine.now + retryInterval
	w.sicken()
}

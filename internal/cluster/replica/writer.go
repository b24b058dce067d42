package replica

import (
	"math"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica/wal"
)

// never is a deadline that is never reached.
const never = time.Duration(math.MaxInt64)

// writer collects what all groups have to write, and passes it to the disk's goroutine, one write at a time, each with
// one sync. What depends on a write is sent once that is finished.
type writer struct {
	engine *Engine
	log    *wal.Log

	pending  *diskWrite // being collected
	inflight *diskWrite // at the disk, or waiting to be retried
	spare    *diskWrite
	busy     bool // the disk executes inflight
	number   uint64
	finished uint64 // number of the newest write on disk
	health   diskHealth
	usage    diskUsage

	// execute passes a write to the disk. finish must be called on the loop with the outcome. Tests and Driver replace it.
	execute func(w *diskWrite)
}

// diskWrite is one write to the disk, with everything that depends on it.
type diskWrite struct {
	number   uint64
	started  time.Duration
	batch    wal.Batch
	installs []installation
	deferred []consensus.Message
	groups   []writtenGroup
}

// installation is a leader's snapshot, which is written before the batch.
type installation struct {
	group    GroupID
	snapshot *consensus.Snapshot
}

// writtenGroup is a group with the newest entry that it has on disk after a write.
type writtenGroup struct {
	group       *group
	index, term uint64
}

// diskUsage is how much the disk has after a write.
type diskUsage struct {
	logBytes int64
	segments int
	pinning  []GroupID // groups that pin the oldest segment
}

func newWriter(e *Engine, log *wal.Log) *writer {
	w := &writer{engine: e, log: log, number: 1}
	w.pending = &diskWrite{number: w.number}
	w.usage = diskUsage{logBytes: log.Bytes(), segments: log.Segments(), pinning: log.PinningGroups()}
	return w
}

// queueFirstSync queues a write for each group, so that nothing that depends on the disk is sent before the first
// sync. That makes durable what was read from the disk: an earlier process may have ended before it synced that.
func (w *writer) queueFirstSync() {
	for _, g := range w.engine.groups {
		w.pending.batch.HardState(g.id, g.hardState)
		g.lastHardStateWrite = w.pending.number
		w.touch(g, 0, 0)
	}
}

// start starts the disk's goroutine, and returns a function that stops it.
func (w *writer) start() (stop func()) {
	if w.execute != nil {
		return func() {}
	}
	writes := make(chan *diskWrite, 1)
	w.execute = func(next *diskWrite) { writes <- next }
	w.engine.diskWorkers.Go(func() {
		defer w.log.Close()
		for next := range writes {
			usage, err := w.write(next)
			w.engine.Do(func() { w.finish(next, usage, err) })
		}
	})
	return func() { close(writes) }
}

// write executes a write. It is called by the disk's goroutine.
func (w *writer) write(next *diskWrite) (diskUsage, error) {
	for _, i := range next.installs {
		if err := wal.WriteSnapshot(w.engine.options.FileSystem, w.engine.options.Dir, i.group, i.snapshot); err != nil {
			return diskUsage{}, err
		}
	}
	if err := w.log.Append(&next.batch); err != nil {
		return diskUsage{}, err
	}
	// What cannot be removed now is removed after a later write.
	_, _ = w.log.RemoveObsolete()
	return diskUsage{logBytes: w.log.Bytes(), segments: w.log.Segments(), pinning: w.log.PinningGroups()}, nil
}

// add takes what a group has to write, and the messages that leave after it.
func (w *writer) add(g *group, output *consensus.Output) {
	if output.Snapshot != nil {
		w.addInstall(g, output.Snapshot)
	}
	if output.HardState != nil {
		w.pending.batch.HardState(g.id, *output.HardState)
		g.lastHardStateWrite = w.pending.number
		w.touch(g, 0, 0)
	}
	if len(output.Entries) > 0 {
		w.pending.batch.Entries(g.id, output.Entries)
		last := &output.Entries[len(output.Entries)-1]
		w.touch(g, last.Index, last.Term)
		g.snapshots.addEntries(output.Entries)
	}
	w.deferMessages(g, output.Deferred)
}

func (w *writer) addInstall(g *group, snapshot *consensus.Snapshot) {
	w.pending.installs = append(w.pending.installs, installation{group: g.id, snapshot: snapshot})
	w.pending.batch.Install(g.id, snapshot.Index, snapshot.Term)
	w.touch(g, snapshot.Index, snapshot.Term)
}

// touch records that the pending write has something of a group, and the group's newest entry if that is in it.
func (w *writer) touch(g *group, index, term uint64) {
	g.lastWrite = w.pending.number
	if index > 0 {
		g.submittedIndex, g.submittedTerm = index, term
	}
	newest := writtenGroup{group: g, index: g.submittedIndex, term: g.submittedTerm}
	for i := range w.pending.groups {
		if w.pending.groups[i].group == g {
			w.pending.groups[i] = newest
			return
		}
	}
	w.pending.groups = append(w.pending.groups, newest)
}

// deferMessages sends messages once everything is on disk that the group submitted before them.
func (w *writer) deferMessages(g *group, messages []consensus.Message) {
	switch {
	case len(messages) == 0:
	case g.lastWrite <= w.finished:
		for i := range messages {
			w.engine.outbox.addMessage(&messages[i])
		}
	case w.inflight != nil && g.lastWrite == w.inflight.number:
		w.inflight.deferred = append(w.inflight.deferred, messages...)
	default:
		w.pending.deferred = append(w.pending.deferred, messages...)
	}
}

// submit gives the disk the next write if it is free.
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
		w.pending = w.newWrite()
	}
	w.busy = true
	w.inflight.started = w.engine.now
	w.execute(w.inflight)
}

func (w *writer) newWrite() *diskWrite {
	next := w.spare
	w.spare = nil
	if next == nil {
		next = &diskWrite{}
	}
	next.number = w.number
	return next
}

// finish handles the outcome of a write.
func (w *writer) finish(done *diskWrite, usage diskUsage, err error) {
	w.busy = false
	if err != nil {
		w.recordFailure(err)
		return
	}
	w.inflight = nil
	w.finished = done.number
	w.usage = usage
	w.recordSuccess(w.engine.now - done.started)
	for _, written := range done.groups {
		// Only if no newer hard state is pending: Persisted acknowledges all that the node has put out.
		if written.group.lastHardStateWrite <= w.finished {
			written.group.node.Persisted(w.engine.now, written.index, written.term)
		}
	}
	for i := range done.deferred {
		w.engine.outbox.addMessage(&done.deferred[i])
	}
	w.recycle(done)
}

// recycle empties a finished write, to be used again.
func (w *writer) recycle(done *diskWrite) {
	done.batch.Reset()
	clear(done.installs)
	clear(done.deferred)
	clear(done.groups)
	done.installs = done.installs[:0]
	done.deferred = done.deferred[:0]
	done.groups = done.groups[:0]
	w.spare = done
}

// unwrittenBytes returns how many bytes wait for the disk.
func (w *writer) unwrittenBytes() int {
	size := w.pending.batch.Size()
	if w.inflight != nil {
		size += w.inflight.batch.Size()
	}
	return size
}

// recordFailure records a write that failed and is to be retried.
func (w *writer) recordFailure(err error) {
	_ = level.Error(w.engine.options.Logger).Log("msg", "write to disk failed", "err", err)
	w.health.failing = true
	w.health.retryAt = w.engine.now + writeRetryInterval
	w.noteUnhealthy()
}

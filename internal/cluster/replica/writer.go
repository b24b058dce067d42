package replica

import (
	"math"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica/wal"
)

// infinite is a deadline that is never reached, or an interval that never ends.
const infinite = time.Duration(math.MaxInt64)

// writer collects the snapshots, hard states and entries of all groups, and passes them to the disk's goroutine as one
// write with one sync of the log. Only one write is in progress at a time; while the disk is busy, the next write is
// collected. Messages that depend on a write are sent once it has succeeded. A failed write is retried until it succeeds.
type writer struct {
	engine *Engine
	log    *wal.Log

	pending  *diskWrite // the write that is being collected
	inflight *diskWrite // the write that the disk executes or that waits to be retried; nil if there is none
	spare    *diskWrite // an empty write for reuse; may be nil
	busy     bool       // the disk executes inflight
	number   uint64     // number of pending
	finished uint64     // number of the newest write that is on disk; writes finish in the order of their numbers
	health   diskHealth
	usage    diskUsage

	// execute passes a write to the disk, and has finish called on the loop with the outcome. Driver and tests replace it.
	execute func(w *diskWrite)
}

// diskWrite is one write to the disk, with the messages and reports that depend on it.
type diskWrite struct {
	number    uint64
	startedAt time.Duration // when the disk got the write last
	batch     wal.Batch
	installs  []installation      // written before the batch
	deferred  []consensus.Message // sent after the batch is on disk
	groups    []writtenGroup      // reported to the groups' nodes after the batch is on disk
}

// installation is a snapshot that a group has received from its leader.
type installation struct {
	group    GroupID
	snapshot *consensus.Snapshot
}

// writtenGroup is a group, with the index and term of the newest entry that its log has on disk after a write.
type writtenGroup struct {
	group       *group
	index, term uint64
}

// diskUsage is the size of the log after a write.
type diskUsage struct {
	logBytes int64 // in all segments
	segments int
	pinning  []GroupID // groups that prevent the removal of the oldest segment, see wal.Log.PinningGroups
}

func newWriter(e *Engine, log *wal.Log) *writer {
	w := &writer{engine: e, log: log, number: 1}
	w.pending = &diskWrite{number: w.number}
	w.usage = diskUsage{logBytes: log.Bytes(), segments: log.Segments(), pinning: log.PinningGroups()}
	return w
}

// queueFirstSync adds the hard state of each group to the first write. Messages that depend on the disk are then not sent
// before the first sync. That sync also makes the last batch durable that was read from the disk, which an earlier
// process may have written without syncing it.
func (w *writer) queueFirstSync() {
	for _, g := range w.engine.groups {
		w.pending.batch.HardState(g.id, g.hardState)
		g.lastHardStateWrite = w.pending.number
		w.includeGroup(g, 0, 0)
	}
}

// start starts the disk's goroutine, unless execute was replaced. It returns a function that stops the goroutine.
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

// write executes a write on the disk's goroutine: it writes the snapshots, appends the batch, and removes obsolete files.
// It returns the size of the log, and the groups that prevent the removal of the oldest segment.
func (w *writer) write(next *diskWrite) (diskUsage, error) {
	for _, i := range next.installs {
		if err := wal.WriteSnapshot(w.engine.options.FileSystem, w.engine.options.Dir, i.group, i.snapshot); err != nil {
			return diskUsage{}, err
		}
	}
	if err := w.log.Append(&next.batch); err != nil {
		return diskUsage{}, err
	}
	_, _ = w.log.RemoveObsolete() // after an error it tries again after the next write
	return diskUsage{logBytes: w.log.Bytes(), segments: w.log.Segments(), pinning: w.log.PinningGroups()}, nil
}

// add adds a node's output to the pending write: a snapshot, a hard state, entries, and the messages that depend on them.
func (w *writer) add(g *group, output *consensus.Output) {
	if output.Snapshot != nil {
		w.addInstall(g, output.Snapshot)
	}
	if output.HardState != nil {
		w.pending.batch.HardState(g.id, *output.HardState)
		g.lastHardStateWrite = w.pending.number
		w.includeGroup(g, 0, 0)
	}
	if len(output.Entries) > 0 {
		w.pending.batch.Entries(g.id, output.Entries)
		last := &output.Entries[len(output.Entries)-1]
		w.includeGroup(g, last.Index, last.Term)
		g.snapshots.addEntries(output.Entries)
	}
	w.deferMessages(g, output.Deferred)
}

// addInstall adds a leader's snapshot to the pending write.
func (w *writer) addInstall(g *group, snapshot *consensus.Snapshot) {
	w.pending.installs = append(w.pending.installs, installation{group: g.id, snapshot: snapshot})
	w.pending.batch.Install(g.id, snapshot.Index, snapshot.Term)
	w.includeGroup(g, snapshot.Index, snapshot.Term)
}

// includeGroup records that the pending write has a hard state, entries or a snapshot of a group. index and term are the
// index and term of the group's newest entry or snapshot in the write, or 0 if the write has only a hard state.
func (w *writer) includeGroup(g *group, index, term uint64) {
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

// deferMessages sends messages of a group once all earlier writes of the group are on disk. That may be now, or after the
// write in flight or the pending write.
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

// submit starts the next write, or repeats the failed write. It returns at once while a write is in progress, before the
// time of a retry, and if the pending batch is empty.
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
	w.inflight.startedAt = w.engine.now
	w.execute(w.inflight)
}

// newWrite returns an empty write with the next number.
func (w *writer) newWrite() *diskWrite {
	next := w.spare
	w.spare = nil
	if next == nil {
		next = &diskWrite{}
	}
	next.number = w.number
	return next
}

// finish handles the outcome of a write on the loop. After a success it reports to the nodes up to which entry their logs
// are on disk, and sends the messages that waited for the write.
func (w *writer) finish(done *diskWrite, usage diskUsage, err error) {
	w.busy = false
	if err != nil {
		w.recordFailure(err)
		return
	}
	w.inflight = nil
	w.finished = done.number
	w.usage = usage
	w.recordSuccess(w.engine.now - done.startedAt)
	for _, written := range done.groups {
		// Persisted states that all hard states that the node has output up to now are on disk, too. If a newer one is not
		// yet, the write with that hard state reports this entry.
		if written.group.lastHardStateWrite <= w.finished {
			written.group.node.Persisted(w.engine.now, written.index, written.term)
		}
	}
	for i := range done.deferred {
		w.engine.outbox.addMessage(&done.deferred[i])
	}
	w.recycle(done)
}

// recycle empties a finished write and keeps it for reuse.
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

// unwrittenBytes returns how many bytes of batches are not on disk yet. Snapshots don't count.
func (w *writer) unwrittenBytes() int {
	size := w.pending.batch.Size()
	if w.inflight != nil {
		size += w.inflight.batch.Size()
	}
	return size
}

// recordFailure records that the write in flight has failed. submit retries it after writeRetryInterval.
func (w *writer) recordFailure(err error) {
	_ = level.Error(w.engine.options.Logger).Log("msg", "write to disk failed", "err", err)
	w.health.failing = true
	w.health.retryAt = w.engine.now + writeRetryInterval
	w.markUnhealthy()
}

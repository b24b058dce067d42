package jobs

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// The first byte of a snapshot is the version of its form.
const (
	snapshotVersion           = 4
	snapshotWithoutDepartures = 3 // as earlier programs wrote it
)

// stateNames are the states of a job by the number that a snapshot has for them.
var stateNames = [...]string{
	protocol.JobQueued,
	protocol.JobRunning,
	protocol.JobCompleted,
	protocol.JobFailed,
	protocol.JobCancelled,
}

// Snapshot returns the whole state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	w := &writer{data: make([]byte, 0, s.snapshotHint)}
	w.byte(snapshotVersion)
	w.signed(s.clockMs)
	w.signed(s.ageMs)
	w.unsigned(s.sequence)
	w.totals(&s.counters)
	w.runners(&s.runners)
	w.jobs(s.jobs)
	w.expiries(s.ended.order.all())
	w.tombstones(&s.tombstones)
	s.snapshotHint = len(w.data) + len(w.data)/8
	return w.data, nil
}

func (w *writer) totals(c *Counters) {
	for _, total := range c.totals() {
		w.unsigned(*total)
	}
}

// totals returns the counts that can't be told from what the state holds.
func (c *Counters) totals() [6]*uint64 {
	return [...]*uint64{&c.Accepted, &c.Completed, &c.Failed, &c.Cancelled, &c.Started, &c.Lost}
}

func (w *writer) expiries(entries []keptUntil) {
	w.count(len(entries))
	for _, entry := range entries {
		w.text(entry.id)
		w.signed(entry.ms)
	}
}

func (w *writer) tombstones(set *tombstoneSet) {
	entries := set.current()
	w.expiries(entries)
	for _, entry := range entries {
		known := set.of(entry.id)
		w.byte(byte(known.kind))
		if known.kind == fencing {
			w.unsigned(known.version)
		}
	}
}

func (w *writer) runners(table *runnerTable) {
	w.count(len(table.records))
	for record := table.first; record != nil; record = record.later {
		w.text(record.id)
		w.text(record.place)
		w.unsigned(record.lastSeen)
		w.signed(record.heardMs)
		w.flag(record.departed)
		w.lingering(record.lingering)
	}
}

func (w *writer) lingering(runs []Lingering) {
	last := &column{}
	w.count(len(runs))
	for i := range runs {
		w.task(&runs[i].Task, last)
		w.unsigned(runs[i].Run)
		w.signed(runs[i].Needs.CPU)
		w.signed(runs[i].Needs.MemoryMB)
		w.signed(runs[i].Needs.GPU)
	}
}

func (w *writer) jobs(jobs map[string]*Job) {
	w.count(len(jobs))
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		w.job(jobs[id])
	}
}

func (w *writer) job(job *Job) {
	w.text(job.ID)
	w.queue(&job.Queue)
	w.byte(byte(slices.Index(stateNames[:], job.State)))
	w.signed(job.AcceptedMs)
	w.signed(job.EndedMs)
	w.spec(&job.Spec)
	w.count(job.made)
	w.count(job.done)
	w.count(len(job.Groups))
	last := &taskColumns{heldAtMs: job.AcceptedMs}
	for _, group := range job.Groups {
		w.count(group.Time)
		w.group(group, last)
	}
}

// taskColumns hold what the last task had, since neighbours are much alike.
type taskColumns struct {
	heldAtMs int64
	sequence uint64
	runner   string
	saved    string
}

func (w *writer) group(group *Group, last *taskColumns) {
	w.unsigned(group.Run)
	w.count(group.Attempts)
	w.text(group.Checkpoint)
	w.unsigned(group.failedRun)
	w.unsigned(group.savedByEnd)
	w.flag(group.released)
	for _, task := range group.Tasks {
		w.taskState(task, last)
	}
}

func (w *writer) taskState(task *Task, last *taskColumns) {
	w.byte(byte(task.Phase))
	if task.Phase == Blocked {
		return
	}
	w.unsigned(task.Run)
	w.count(task.Attempts)
	w.repeated(task.Checkpoint, &last.saved)
	w.signed(task.PendingSinceMs - last.heldAtMs)
	w.signed(int64(task.sequence - last.sequence))
	last.heldAtMs, last.sequence = task.PendingSinceMs, task.sequence
	if task.Phase == Running {
		w.repeated(task.Runner, &last.runner)
	}
}

// Restore replaces the whole state by that of a snapshot. If it fails, the state is as before.
func (s *State) Restore(data []byte) error {
	r := newReader(data)
	version := r.byte()
	if version != snapshotVersion && version != snapshotWithoutDepartures {
		return errors.Errorf("snapshot of version %d, %d is known", version, snapshotVersion)
	}
	fresh := &State{statusMs: s.statusMs, forgetMs: s.forgetMs, runnerMs: s.runnerMs}
	fresh.clear()
	if err := r.state(fresh, version != snapshotWithoutDepartures); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	*s = *fresh
	return nil
}

package jobs

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ospreypond/internal/cluster/protocol"
)

// A snapshot is a version byte and then the state in the order below. A list is the number of its items and then the items.
//
//	clockMs, ageMs, sequence
//	the totals of Counters (Accepted, Completed, Failed, Cancelled, Started, Lost)
//	runners in the order of runnerTable: id, address, lastSeen, lastNamedMs, departed (since version 4), lingering runs
//	jobs by id: ID, Queue, State, AcceptedMs, EndedMs, Spec, opened and completed repetitions, Groups with their tasks
//	ended jobs in order of expiry: id, untilMs
//	tombstones in order of expiry: all ids with untilMs, and then for each id its kind and, if it is fenced, its version
//
// Restore derives everything else: the lists of Pending and Running tasks, the heap of due jobs and the other counters.
//
// Replicas compare digests of their snapshots, and snapshots are stored on disk and sent to other replicas. So a change of
// this order needs a new version, and Restore must keep reading the old one.
const (
	snapshotVersion                  = 4
	snapshotVersionWithoutDepartures = 3 // written by earlier releases
)

// jobStateCodes are the states of a job. A snapshot has a state's position in this list, so new states can only be appended.
var jobStateCodes = [...]protocol.JobState{
	protocol.JobQueued,
	protocol.JobRunning,
	protocol.JobCompleted,
	protocol.JobFailed,
	protocol.JobCancelled,
}

// Snapshot encodes the complete state. Equal states have equal bytes. The error is always nil.
func (s *State) Snapshot() ([]byte, error) {
	w := &writer{data: make([]byte, 0, s.snapshotSizeHint)}
	w.byte(snapshotVersion)
	w.signed(s.clockMs)
	w.signed(s.ageMs)
	w.unsigned(s.sequence)
	w.totals(&s.counters)
	w.runners(&s.runners)
	w.jobs(s.jobs)
	w.expiries(s.endedJobs.all())
	w.tombstones(&s.tombstones)
	s.snapshotSizeHint = len(w.data) + len(w.data)/8
	return w.data, nil
}

// totals writes those counters that Restore can't derive.
func (w *writer) totals(c *Counters) {
	for _, total := range c.totals() {
		w.unsigned(*total)
	}
}

// totals returns the counters that can't be derived from the rest of the state, in the order of their encoding.
func (c *Counters) totals() [6]*uint64 {
	return [...]*uint64{&c.Accepted, &c.Completed, &c.Failed, &c.Cancelled, &c.Started, &c.Lost}
}

// expiries writes the entries of an expiryQueue.
func (w *writer) expiries(entries []retainedID) {
	w.count(len(entries))
	for _, entry := range entries {
		w.text(entry.id)
		w.signed(entry.untilMs)
	}
}

// tombstones writes the tombstones without outdated entries: replicas that were restored from a snapshot have none.
func (w *writer) tombstones(set *tombstoneSet) {
	entries := set.current()
	w.expiries(entries)
	for _, entry := range entries {
		known := set.get(entry.id)
		w.byte(byte(known.kind))
		if known.kind == fencedID {
			w.unsigned(known.version)
		}
	}
}

func (w *writer) runners(table *runnerTable) {
	w.count(len(table.records))
	for record := table.first; record != nil; record = record.later {
		w.text(record.id)
		w.text(record.address)
		w.unsigned(record.lastSeen)
		w.signed(record.lastNamedMs)
		w.flag(record.departed)
		w.lingering(record.lingering)
	}
}

func (w *writer) lingering(runs []Lingering) {
	last := &previousTexts{}
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
	w.byte(byte(slices.Index(jobStateCodes[:], job.State)))
	w.signed(job.AcceptedMs)
	w.signed(job.EndedMs)
	w.spec(&job.Spec)
	w.count(job.openedRepetitions)
	w.count(job.completedRepetitions)
	w.count(len(job.Groups))
	previous := &previousTask{pendingSinceMs: job.AcceptedMs}
	for _, group := range job.Groups {
		w.count(group.Repetition)
		w.group(group, previous)
	}
}

// previousTask has fields of the task that was written or read before, in the same job. Neighbouring tasks often have the
// same runner and checkpoint and similar numbers, so these are encoded as repetitions and differences.
type previousTask struct {
	pendingSinceMs int64
	sequence       uint64
	runner         string
	checkpoint     string
}

func (w *writer) group(group *Group, previous *previousTask) {
	w.unsigned(group.Run)
	w.count(group.Attempts)
	w.text(group.Checkpoint)
	w.unsigned(group.failedRun)
	w.unsigned(group.endCheckpointRun)
	w.flag(group.isReleased)
	for _, task := range group.Tasks {
		w.taskState(task, previous)
	}
}

// taskState writes the state of a task. For a Blocked task it writes only the phase.
func (w *writer) taskState(task *Task, previous *previousTask) {
	w.byte(byte(task.Phase))
	if task.Phase == Blocked {
		return
	}
	w.unsigned(task.Run)
	w.count(task.Attempts)
	w.repeated(task.Checkpoint, &previous.checkpoint)
	w.signed(task.PendingSinceMs - previous.pendingSinceMs)
	w.signed(int64(task.sequence - previous.sequence))
	previous.pendingSinceMs, previous.sequence = task.PendingSinceMs, task.sequence
	if task.Phase == Running {
		w.repeated(task.Runner, &previous.runner)
	}
}

// Digest returns the 64-bit xxHash of Snapshot. Replicas compare it to detect that their states have diverged.
func (s *State) Digest() uint64 {
	data, err := s.Snapshot()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

package latency

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
)

// Recorder records the wait reasons of one owner's shard, from the owner's election on. All times are of the owner's
// monotonic clock.
type Recorder struct {
	startedAt time.Duration
	groups    map[*jobs.Group]*groupRecord
	jobs      map[*jobs.Job][]*groupRecord
	queues    map[string]*QueueSummary
}

// QueueSummary sums up the tasks and jobs of a queue.
type QueueSummary struct {
	Tasks Times  // time of tasks by reason
	Ended uint64 // jobs that were completed or failed
	Late  uint64 // of these, beyond their objective
}

// groupRecord is what is known of the tasks of one step in one repetition.
type groupRecord struct {
	group         *jobs.Group
	releasedAt    time.Duration
	reason        Reason // for which its pending tasks wait at present
	reasonSince   time.Duration
	waited        Times         // of a task that had been pending all the time
	tasks         []taskRecord  // by index
	finishedAt    time.Duration // when its last task was done, or one had failed for good; 0: not yet
	lastTaskTimes Times         // of that task
}

// taskRecord is what is known of a task.
type taskRecord struct {
	waitedBefore Times         // its group's waited when it last became pending
	startedAt    time.Duration // commit of its newest start; 0: before this record began
	times        Times
}

// Run is what is known of a run that has ended. Times that are 0 are unknown.
type Run struct {
	ListedAt      time.Duration // first listed by its runner
	EndedAt       time.Duration // its end was listed
	LastContactAt time.Duration // last contact with its runner, if it was lost with it
	Outcome       Reason        // Running if it ended well, else Failed, Stopped or Lost
}

// NewRecorder returns a Recorder whose record begins now.
func NewRecorder(now time.Duration) *Recorder {
	return &Recorder{
		startedAt: now,
		groups:    map[*jobs.Group]*groupRecord{},
		jobs:      map[*jobs.Job][]*groupRecord{},
		queues:    map[string]*QueueSummary{},
	}
}

// Queues returns the sums by key of the queue. The map must not be changed; it changes with the record.
func (r *Recorder) Queues() map[string]*QueueSummary { return r.queues }

// TaskPending records that a task became pending, for the first time or again.
func (r *Recorder) TaskPending(now time.Duration, task *jobs.Task) {
	record := r.record(task.Group, now)
	if record == nil {
		return
	}
	record.setReason(now, NextRound)
	record.tasks[task.ID.Index].waitedBefore = record.waited
}

// SetReason records why the pending tasks of a group wait from now on.
func (r *Recorder) SetReason(now time.Duration, group *jobs.Group, reason Reason) {
	if record := r.record(group, now); record != nil && record.reason != reason {
		record.setReason(now, reason)
	}
}

// RunStarted records that a task's start was committed.
func (r *Recorder) RunStarted(now time.Duration, task *jobs.Task) {
	record := r.record(task.Group, now)
	if record == nil {
		return
	}
	record.addWaited(now)
	entry := &record.tasks[task.ID.Index]
	waited := record.waited
	waited.Sub(&entry.waitedBefore)
	entry.startedAt = now
	r.addTimes(task, entry, &waited)
}

// RunEnded records that the end or the loss of a task's run was committed. The command is applied: the task has its next
// phase already.
func (r *Recorder) RunEnded(now time.Duration, task *jobs.Task, run Run) {
	record := r.record(task.Group, now)
	if record == nil {
		return
	}
	entry := &record.tasks[task.ID.Index]
	if entry.startedAt == 0 { // by an earlier owner
		entry.startedAt = r.startedAt
	}
	times := run.times(entry.startedAt, now)
	r.addTimes(task, entry, &times)
	if task.Phase == jobs.Failed || task.Phase == jobs.Done && task.Group.Unfinished == 0 {
		record.finishedAt, record.lastTaskTimes = now, entry.times
		r.forgetRepetition(record)
	}
}

// record returns a group's record, or nil if its job has ended. A group without a record was released before this record
// began, unless it is being released now.
func (r *Recorder) record(group *jobs.Group, now time.Duration) *groupRecord {
	known := r.groups[group]
	if known == nil && !group.Job.Ended() {
		known = &groupRecord{
			group:       group,
			releasedAt:  now,
			reason:      NextRound,
			reasonSince: now,
			tasks:       make([]taskRecord, len(group.Tasks)),
		}
		r.groups[group] = known
		r.jobs[group.Job] = append(r.jobs[group.Job], known)
		r.addStepWait(known)
	}
	return known
}

// addStepWait adds to the queue how long the tasks of a step waited for earlier ones: since the first step of their
// repetition was released, as far back as this record goes. It is no part of the tasks' own times, since the chain of a
// job has those of the earlier steps.
func (r *Recorder) addStepWait(released *groupRecord) {
	first := released.releasedAt
	for _, known := range r.jobs[released.group.Job] {
		if known.group.Repetition == released.group.Repetition {
			first = min(first, known.releasedAt)
		}
	}
	waited := released.releasedAt - first
	r.queue(released.group.Job.Queue.Key).Tasks[EarlierStep] += waited * time.Duration(len(released.tasks))
}

// addTimes adds to the times of a task and of its queue.
func (r *Recorder) addTimes(task *jobs.Task, entry *taskRecord, times *Times) {
	entry.times.Add(times)
	r.queue(task.Group.Job.Queue.Key).Tasks.Add(times)
}

func (r *Recorder) queue(key string) *QueueSummary {
	known := r.queues[key]
	if known == nil {
		known = &QueueSummary{}
		r.queues[key] = known
	}
	return known
}

// forgetRepetition drops the record of a step that has finished, of a job with repetitions: it has no summary.
func (r *Recorder) forgetRepetition(record *groupRecord) {
	job := record.group.Job
	if job.Spec.Repetitions <= 0 {
		return
	}
	delete(r.groups, record.group)
	r.jobs[job] = slices.DeleteFunc(r.jobs[job], func(known *groupRecord) bool { return known == record })
}

// setReason sets the reason from now on.
func (g *groupRecord) setReason(now time.Duration, reason Reason) {
	g.addWaited(now)
	g.reason = reason
}

// addWaited adds the time until now to the present reason.
func (g *groupRecord) addWaited(now time.Duration) {
	g.waited[g.reason] += now - g.reasonSince
	g.reasonSince = now
}

// times splits the span from the commit of a run's start to the commit of its end.
func (r *Run) times(started, now time.Duration) (times Times) {
	listed := clamp(r.ListedAt, started, now, started)
	switch r.Outcome {
	case Running:
		ended := clamp(r.EndedAt, listed, now, now)
		times[StartOrder], times[Running], times[EndReport] = listed-started, ended-listed, now-ended
	case Lost:
		lastContact := clamp(r.LastContactAt, started, now, started)
		times[Lost], times[UnresponsiveRunner] = lastContact-started, now-lastContact
	default:
		times[r.Outcome] = now - started
	}
	return times
}

// clamp returns at within limits, or ifUnknown if at is 0.
func clamp(at, earliest, latest, ifUnknown time.Duration) time.Duration {
	if at == 0 {
		return ifUnknown
	}
	return min(max(at, earliest), latest)
}

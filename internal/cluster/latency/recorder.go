package latency

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
)

// Recorder records the wait reasons of the tasks of a shard during one leadership of its owner. All times are readings of
// the owner's monotonic clock.
type Recorder struct {
	startedAt time.Duration                // when the record began
	groups    map[*jobs.Group]*groupRecord // of jobs that have not ended
	jobs      map[*jobs.Job][]*groupRecord // the same records by job
	queues    map[string]*QueueSummary     // by queue key
}

// QueueSummary has the sums of a queue since the record began.
type QueueSummary struct {
	Tasks Times  // time of all tasks by reason
	Ended uint64 // jobs that completed or failed; those with repetitions are not counted
	Late  uint64 // number of the jobs counted in Ended that took longer than their objective
}

// groupRecord is the record of one group: the tasks of one step in one repetition. All pending tasks of a group have the
// same wait reason, so a change of the reason takes the same time however many tasks there are. A task's own waiting time is
// the difference between waited when it starts and waited when it became pending.
type groupRecord struct {
	group         *jobs.Group
	releasedAt    time.Duration // when this record first had the group; usually when the group was released
	reason        Reason        // current wait reason of the group's pending tasks
	reasonSince   time.Duration // waited includes the waiting time up to this time
	waited        Times         // waiting time of an imaginary task that was pending since releasedAt
	tasks         []taskRecord  // by index
	finishedAt    time.Duration // when the last task was Done, or one was Failed; 0: not yet
	lastTaskTimes Times         // times of the task that finished the group at finishedAt
}

// taskRecord is the record of one task.
type taskRecord struct {
	waitedBefore Times         // groupRecord.waited when the task last became pending
	startedAt    time.Duration // when the newest start was committed; 0: before this record began
	times        Times         // the task's time so far, without waiting for earlier steps
}

// Run describes a run that has ended. A time of 0 is unknown.
type Run struct {
	ListedAt      time.Duration // when the runner first listed the run
	EndedAt       time.Duration // when the runner listed the run's end
	LastContactAt time.Duration // the last contact with the runner, if the run was lost
	Outcome       Reason        // Running if the run was done, else Failed, Stopped or Lost
}

// NewRecorder returns a Recorder with a record that begins at now.
func NewRecorder(now time.Duration) *Recorder {
	return &Recorder{
		startedAt: now,
		groups:    map[*jobs.Group]*groupRecord{},
		jobs:      map[*jobs.Job][]*groupRecord{},
		queues:    map[string]*QueueSummary{},
	}
}

// Queues returns the sums by queue key. The caller must not change the map. Later calls of the Recorder change it.
func (r *Recorder) Queues() map[string]*QueueSummary { return r.queues }

// TaskPending records that a task became pending, for the first time or after a run. All pending tasks of its group wait for
// the next round from now on.
func (r *Recorder) TaskPending(now time.Duration, task *jobs.Task) {
	record := r.record(task.Group, now)
	if record == nil {
		return
	}
	record.setReason(now, NextRound)
	record.tasks[task.ID.Index].waitedBefore = record.waited
}

// SetReason records that the pending tasks of a group wait for this reason from now on.
func (r *Recorder) SetReason(now time.Duration, group *jobs.Group, reason Reason) {
	if record := r.record(group, now); record != nil && record.reason != reason {
		record.setReason(now, reason)
	}
}

// RunStarted records that a task's start was committed, and adds the time since the task became pending to its times.
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

// RunEnded records that the end or the loss of a task's run was committed. The command must have been applied, so that the
// task is in its next phase.
func (r *Recorder) RunEnded(now time.Duration, task *jobs.Task, run Run) {
	record := r.record(task.Group, now)
	if record == nil {
		return
	}
	entry := &record.tasks[task.ID.Index]
	if entry.startedAt == 0 { // an earlier owner started the run: only the time of this record counts
		entry.startedAt = r.startedAt
	}
	times := run.times(entry.startedAt, now)
	r.addTimes(task, entry, &times)
	if task.Phase == jobs.Failed || task.Phase == jobs.Done && task.Group.Unfinished == 0 {
		record.finishedAt, record.lastTaskTimes = now, entry.times
		r.forgetFinishedGroup(record)
	}
}

// record returns the record of a group, which it creates if necessary, or nil if the group has none and its job has ended. A
// group without a record is being released now, or was released before this record began.
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

// addStepWait adds to the queue's sums how long the tasks of a step waited for earlier steps: from the release of the first
// step of their repetition in this record to their own release. This is not added to the tasks' own times, because the
// critical path of a job has the times of the earlier steps already.
func (r *Recorder) addStepWait(released *groupRecord) {
	firstReleasedAt := released.releasedAt
	for _, known := range r.jobs[released.group.Job] {
		if known.group.Repetition == released.group.Repetition {
			firstReleasedAt = min(firstReleasedAt, known.releasedAt)
		}
	}
	waited := released.releasedAt - firstReleasedAt
	r.queue(released.group.Job.Queue.Key).Tasks[EarlierStep] += waited * time.Duration(len(released.tasks))
}

// addTimes adds times to the times of a task and to the sums of its queue.
func (r *Recorder) addTimes(task *jobs.Task, entry *taskRecord, times *Times) {
	entry.times.Add(times)
	r.queue(task.Group.Job.Queue.Key).Tasks.Add(times)
}

// queue returns the sums of a queue, which it creates if necessary.
func (r *Recorder) queue(key string) *QueueSummary {
	known := r.queues[key]
	if known == nil {
		known = &QueueSummary{}
		r.queues[key] = known
	}
	return known
}

// forgetFinishedGroup drops the record of a group that has finished if its job has repetitions. Such a job has no summary,
// and may last so long that its records would accumulate.
func (r *Recorder) forgetFinishedGroup(record *groupRecord) {
	job := record.group.Job
	if job.Spec.Repetitions <= 0 {
		return
	}
	delete(r.groups, record.group)
	r.jobs[job] = slices.DeleteFunc(r.jobs[job], func(known *groupRecord) bool { return known == record })
}

// setReason adds the time until now to the current reason and sets the reason of the time after it.
func (g *groupRecord) setReason(now time.Duration, reason Reason) {
	g.addWaited(now)
	g.reason = reason
}

// addWaited adds the time until now to the current reason.
func (g *groupRecord) addWaited(now time.Duration) {
	g.waited[g.reason] += now - g.reasonSince
	g.reasonSince = now
}

// times splits the span from the commit of a run's start, startedAt, to the commit of its end, now:
//   - Running: StartOrder until the run was listed, Running until it ended, EndReport until now.
//   - Lost: Lost until the last contact with the runner, UnresponsiveRunner until now.
//   - Failed, Stopped: the complete span has this reason.
//
// An unknown ListedAt or LastContactAt is replaced by startedAt, and an unknown EndedAt by now.
func (r *Run) times(startedAt, now time.Duration) (times Times) {
	listedAt := clamp(r.ListedAt, startedAt, now, startedAt)
	switch r.Outcome {
	case Running:
		endedAt := clamp(r.EndedAt, listedAt, now, now)
		times[StartOrder], times[Running], times[EndReport] = listedAt-startedAt, endedAt-listedAt, now-endedAt
	case Lost:
		lastContactAt := clamp(r.LastContactAt, startedAt, now, startedAt)
		times[Lost], times[UnresponsiveRunner] = lastContactAt-startedAt, now-lastContactAt
	default:
		times[r.Outcome] = now - startedAt
	}
	return times
}

// clamp returns at, limited to the span from earliest to latest, or ifUnknown if at is 0.
func clamp(at, earliest, latest, ifUnknown time.Duration) time.Duration {
	if at == 0 {
		return ifUnknown
	}
	return min(max(at, earliest), latest)
}

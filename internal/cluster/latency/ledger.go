package latency

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// Recorder is the account of one owner, from its election on. Times are on the owner's steady clock.
type Recorder struct {
	startedAt time.Duration
	groups    map[*jobs.Group]*groupRecord
	jobs      map[*jobs.Job][]*groupRecord
	queues    map[string]*Queue
}

// Queue is what is summed for a queue.
type Queue struct {
	Tasks Times  // task-seconds by cause
	Ended uint64 // jobs that were completed or failed
	Late  uint64 // of these, beyond their objective
}

// groupRecord is what is known of the tasks of a step of one time.
type groupRecord struct {
	group         *jobs.Group
	releasedAt    time.Duration
	reason        Cause         // for which its held tasks wait at present
	reasonSince   time.Duration // of that cause
	waited        Times         // how long a task that was held all the while waited
	tasks         []taskRecord  // by index
	finishedAt    time.Duration // when its last task was done, or one had failed for good
	lastTaskTimes Times         // times of that task
}

// taskRecord is what is known of a task.
type taskRecord struct {
	waitedBefore Times         // waited of its group when it was held last
	startedAt    time.Duration // commit of its newest start
	times        Times
}

// Run is what is known of a run that has ended, on the owner's clock; zero times are not known.
type Run struct {
	ListedAt      time.Duration // first listed by its runner
	EndedAt       time.Duration // its end was listed
	LastContactAt time.Duration // lost with its runner: the runner was heard for the last time; 0: never by this owner
	Outcome       Cause         // Running if it ended well, else Failed, Stopped or Lost
}

// NewRecorder returns an account that begins now.
func NewRecorder(now time.Duration) *Recorder {
	return &Recorder{
		startedAt: now,
		groups:    map[*jobs.Group]*groupRecord{},
		jobs:      map[*jobs.Job][]*groupRecord{},
		queues:    map[string]*Queue{},
	}
}

// Queues returns the sums by key of the queue. The map must not be changed.
func (l *Recorder) Queues() map[string]*Queue { return l.queues }

func (l *Recorder) queue(key string) *Queue {
	known := l.queues[key]
	if known == nil {
		known = &Queue{}
		l.queues[key] = known
	}
	return known
}

// record returns a group's record, nil if its job is over. One that is not known was released before this account began,
// unless it is being released now.
func (l *Recorder) record(group *jobs.Group, now time.Duration) *groupRecord {
	known := l.groups[group]
	if known == nil && !group.Job.Ended() {
		known = &groupRecord{group: group, releasedAt: now, reasonSince: now, reason: NextRound, tasks: make([]taskRecord, len(group.Tasks))}
		l.groups[group] = known
		l.jobs[group.Job] = append(l.jobs[group.Job], known)
		l.addStepWait(known)
	}
	return known
}

// addStepWait counts what the tasks of a step waited for earlier ones: since the first step of their time had its turn, as far
// as this account goes back. It is part of no task's own times, as the chain of a job has those of the earlier steps.
func (l *Recorder) addStepWait(released *groupRecord) {
	first := released.releasedAt
	for _, known := range l.jobs[released.group.Job] {
		if known.group.Repetition == released.group.Repetition {
			first = min(first, known.releasedAt)
		}
	}
	waited := released.releasedAt - first
	l.queue(released.group.Job.Queue.Key).Tasks[EarlierStep] += waited * time.Duration(len(released.tasks))
}

// TaskPending takes that a task's turn has come, for the first time or again.
func (l *Recorder) TaskPending(now time.Duration, task *jobs.Task) {
	record := l.record(task.Group, now)
	if record == nil {
		return
	}
	if record.reason != NextRound {
		record.setReason(now, NextRound)
	}
	record.addWaited(now)
	record.tasks[task.ID.Index].waitedBefore = record.waited
}

// SetReason takes what the held tasks of a group wait for from now on.
func (l *Recorder) SetReason(now time.Duration, group *jobs.Group, cause Cause) {
	if record := l.record(group, now); record != nil && record.reason != cause {
		record.setReason(now, cause)
	}
}

func (r *groupRecord) setReason(now time.Duration, cause Cause) {
	r.addWaited(now)
	r.reason = cause
}

func (r *groupRecord) addWaited(now time.Duration) {
	r.waited[r.reason] += now - r.reasonSince
	r.reasonSince = now
}

// RunStarted takes that a task's start was committed.
func (l *Recorder) RunStarted(now time.Duration, task *jobs.Task) {
	record := l.record(task.Group, now)
	if record == nil {
		return
	}
	record.addWaited(now)
	entry := &record.tasks[task.ID.Index]
	waited := record.waited
	waited.Sub(&entry.waitedBefore)
	entry.startedAt = now
	l.addTimes(task, entry, &waited)
}

// RunEnded takes that the end or the loss of a task's run was committed.
func (l *Recorder) RunEnded(now time.Duration, task *jobs.Task, run Run) {
	record := l.record(task.Group, now)
	if record == nil {
		return
	}
	entry := &record.tasks[task.ID.Index]
	if entry.startedAt == 0 { // by an earlier owner
		entry.startedAt = l.startedAt
	}
	times := run.times(entry.startedAt, now)
	l.addTimes(task, entry, &times)
	if task.Phase == jobs.Failed || task.Phase == jobs.Done && task.Group.Unfinished == 0 {
		record.finishedAt, record.lastTaskTimes = now, entry.times
		l.forgetRepetition(record)
	}
}

// forgetRepetition drops the record of a step that is done, of a job that comes in several times: nothing asks for it.
func (l *Recorder) forgetRepetition(record *groupRecord) {
	job := record.group.Job
	if job.Spec.Repetitions <= 0 {
		return
	}
	delete(l.groups, record.group)
	l.jobs[job] = slices.DeleteFunc(l.jobs[job], func(known *groupRecord) bool { return known == record })
}

func (l *Recorder) addTimes(task *jobs.Task, entry *taskRecord, times *Times) {
	entry.times.Add(times)
	l.queue(task.Group.Job.Queue.Key).Tasks.Add(times)
}

// times splits the span from the commit of a run's start to the commit of its end.
func (r *Run) times(started, now time.Duration) (times Times) {
	listed := clamp(r.ListedAt, started, now, started)
	switch r.Outcome {
	case Running:
		ended := clamp(r.EndedAt, listed, now, now)
		times[StartOrder], times[Running], times[EndReport] = listed-started, ended-listed, now-ended
	case Lost:
		heard := clamp(r.LastContactAt, started, now, started)
		times[Lost], times[UnresponsiveRunner] = heard-started, now-heard
	default:
		times[r.Outcome] = now - started
	}
	return times
}

// clamp returns at within bounds, or otherwise if it is not known.
func clamp(at, least, most, otherwise time.Duration) time.Duration {
	if at == 0 {
		return otherwise
	}
	return min(max(at, least), most)
}

// JobSummary is the account of a job that has ended: what its longest chain of steps waited for.
type JobSummary struct {
	Took      time.Duration
	Objective time.Duration
	Times     Times // its sum is Took
}

// Late tells whether a job ended beyond its objective.
func (j *JobSummary) IsLate() bool { return j.Took > j.Objective }

// JobEnded takes that a job has ended, took being its time from its acceptance on, and returns its account. The objective is
// that of its queue over the runs on that chain, those that failed included: which of them failed by the job's own fault
// can't be told. Jobs that were cancelled, or come in several times, have no account.
func (l *Recorder) JobEnded(job *jobs.Job, took time.Duration) (account JobSummary, ok bool) {
	records := l.jobs[job]
	delete(l.jobs, job)
	for _, record := range records {
		delete(l.groups, record.group)
	}
	if job.Spec.Repetitions > 0 || job.State == protocol.JobCancelled {
		return JobSummary{}, false
	}
	account = JobSummary{Took: took}
	for record := lastFinished(records, nil); record != nil; record = lastFinished(records, record) {
		account.Times.Add(&record.lastTaskTimes)
	}
	account.Times[Unowned] += max(took-account.Times.Sum(), 0)
	extension := max(job.Queue.Extension, 1)
	account.Objective = time.Duration(job.Queue.TargetLatencyMs)*time.Millisecond +
		time.Duration(extension*float64(account.Times[Running]+account.Times[Failed]))
	queue := l.queue(job.Queue.Key)
	queue.Ended++
	if account.IsLate() {
		queue.Late++
	}
	return account, true
}

// lastFinished returns the record that was finished last: of all, or of those that a record's group depends on.
func lastFinished(records []*groupRecord, later *groupRecord) (last *groupRecord) {
	for _, record := range records {
		if record.finishedAt == 0 || later != nil && !dependsOn(later.group, record.group) {
			continue
		}
		if last == nil || record.finishedAt > last.finishedAt {
			last = record
		}
	}
	return last
}

func dependsOn(later, earlier *jobs.Group) bool {
	if later.Repetition != earlier.Repetition {
		return false
	}
	return slices.Contains(later.Spec().DependsOn, earlier.Step)
}

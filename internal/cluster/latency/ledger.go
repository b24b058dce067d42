package latency

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// Recorder is the account of one owner, from its election on. Times are on the owner's steady clock.
type Recorder struct {
	began  time.Duration
	groups map[*jobs.Group]*groupRecord
	jobs   map[*jobs.Job][]*groupRecord
	queues map[string]*QueueSummary
}

// QueueSummary is what is summed for a queue.
type QueueSummary struct {
	Tasks Times  // task-seconds by cause
	Ended uint64 // jobs that were completed or failed
	Late  uint64 // of these, beyond their objective
}

// groupRecord is what is known of the tasks of a step of one time.
type groupRecord struct {
	group      *jobs.Group
	releasedAt time.Duration
	cause      Reason        // for which its held tasks wait at present
	since      time.Duration // of that cause
	waited     Times         // how long a task that was held all the while waited
	tasks      []taskRecord  // by index
	finishedAt time.Duration // when its last task was done, or one had failed for good
	last       Times         // times of that task
}

// taskRecord is what is known of a task.
type taskRecord struct {
	held      Times         // waited of its group when it was held last
	startedAt time.Duration // commit of its newest start
	times     Times
}

// Run is what is known of a run that has ended, on the owner's clock; zero times are not known.
type Run struct {
	ListedAt      time.Duration // first listed by its runner
	EndedAt       time.Duration // its end was listed
	LastContactAt time.Duration // lost with its runner: the runner was heard for the last time; 0: never by this owner
	Outcome       Reason        // Running if it ended well, else Failed, Stopped or Lost
}

// NewRecorder returns an account that begins now.
func NewRecorder(now time.Duration) *Recorder {
	return &Recorder{
		began:  now,
		groups: map[*jobs.Group]*groupRecord{},
		jobs:   map[*jobs.Job][]*groupRecord{},
		queues: map[string]*QueueSummary{},
	}
}

// Queues returns the sums by key of the queue. The map must not be changed.
func (l *Recorder) Queues() map[string]*QueueSummary { return l.queues }

func (l *Recorder) queue(key string) *QueueSummary {
	known := l.queues[key]
	if known == nil {
		known = &QueueSummary{}
		l.queues[key] = known
	}
	return known
}

// record returns a group's record, nil if its job is over. One that is not known was released before this account began,
// unless it is being released now.
func (l *Recorder) record(group *jobs.Group, now time.Duration) *groupRecord {
	known := l.groups[group]
	if known == nil && !group.Job.Ended() {
		known = &groupRecord{group: group, releasedAt: now, since: now, cause: Round, tasks: make([]taskRecord, len(group.Tasks))}
		l.groups[group] = known
		l.jobs[group.Job] = append(l.jobs[group.Job], known)
		l.countStep(known)
	}
	return known
}

// countStep counts what the tasks of a step waited for earlier ones: since the first step of their time had its turn, as far
// as this account goes back. It is part of no task's own times, as the chain of a job has those of the earlier steps.
func (l *Recorder) countStep(released *groupRecord) {
	first := released.releasedAt
	for _, known := range l.jobs[released.group.Job] {
		if known.group.Time == released.group.Time {
			first = min(first, known.releasedAt)
		}
	}
	waited := released.releasedAt - first
	l.queue(released.group.Job.Queue.Key).Tasks[Step] += waited * time.Duration(len(released.tasks))
}

// Pending takes that a task's turn has come, for the first time or again.
func (l *Recorder) Pending(now time.Duration, task *jobs.Task) {
	record := l.record(task.Group, now)
	if record == nil {
		return
	}
	if record.cause != Round {
		record.wait(now, Round)
	}
	record.settle(now)
	record.tasks[task.ID.Index].held = record.waited
}

// Waits takes what the held tasks of a group wait for from now on.
func (l *Recorder) Waits(now time.Duration, group *jobs.Group, cause Reason) {
	if record := l.record(group, now); record != nil && record.cause != cause {
		record.wait(now, cause)
	}
}

func (r *groupRecord) wait(now time.Duration, cause Reason) {
	r.settle(now)
	r.cause = cause
}

func (r *groupRecord) settle(now time.Duration) {
	r.waited[r.cause] += now - r.since
	r.since = now
}

// Started takes that a task's start was committed.
func (l *Recorder) Started(now time.Duration, task *jobs.Task) {
	record := l.record(task.Group, now)
	if record == nil {
		return
	}
	record.settle(now)
	entry := &record.tasks[task.ID.Index]
	waited := record.waited
	waited.Sub(&entry.held)
	entry.startedAt = now
	l.count(task, entry, &waited)
}

// Ended takes that the end or the loss of a task's run was committed.
func (l *Recorder) Ended(now time.Duration, task *jobs.Task, run Run) {
	record := l.record(task.Group, now)
	if record == nil {
		return
	}
	entry := &record.tasks[task.ID.Index]
	if entry.startedAt == 0 { // by an earlier owner
		entry.startedAt = l.began
	}
	times := run.times(entry.startedAt, now)
	l.count(task, entry, &times)
	if task.Phase == jobs.Failed || task.Phase == jobs.Done && task.Group.Left == 0 {
		record.finishedAt, record.last = now, entry.times
		l.forgetTime(record)
	}
}

// forgetTime drops the record of a step that is done, of a job that comes in several times: nothing asks for it.
func (l *Recorder) forgetTime(record *groupRecord) {
	job := record.group.Job
	if job.Spec.Repetitions <= 0 {
		return
	}
	delete(l.groups, record.group)
	l.jobs[job] = slices.DeleteFunc(l.jobs[job], func(known *groupRecord) bool { return known == record })
}

func (l *Recorder) count(task *jobs.Task, entry *taskRecord, times *Times) {
	entry.times.Add(times)
	l.queue(task.Group.Job.Queue.Key).Tasks.Add(times)
}

// times splits the span from the commit of a run's start to the commit of its end.
func (r *Run) times(started, now time.Duration) (times Times) {
	listed := clamp(r.ListedAt, started, now, started)
	switch r.Outcome {
	case Running:
		ended := clamp(r.EndedAt, listed, now, now)
		times[Order], times[Running], times[Report] = listed-started, ended-listed, now-ended
	case Lost:
		heard := clamp(r.LastContactAt, started, now, started)
		times[Lost], times[Silent] = heard-started, now-heard
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

// Job is the account of a job that has ended: what its longest chain of steps waited for.
type Job struct {
	Took      time.Duration
	Objective time.Duration
	Times     Times // its sum is Took
}

// Late tells whether a job ended beyond its objective.
func (j *Job) Late() bool { return j.Took > j.Objective }

// Over takes that a job has ended, took being its time from its acceptance on, and returns its account. The objective is
// that of its queue over the runs on that chain, those that failed included: which of them failed by the job's own fault
// can't be told. Jobs that were cancelled, or come in several times, have no account.
func (l *Recorder) Over(job *jobs.Job, took time.Duration) (account Job, ok bool) {
	records := l.jobs[job]
	delete(l.jobs, job)
	for _, record := range records {
		delete(l.groups, record.group)
	}
	if job.Spec.Repetitions > 0 || job.State == protocol.JobCancelled {
		return Job{}, false
	}
	account = Job{Took: took}
	for record := lastOf(records, nil); record != nil; record = lastOf(records, record) {
		account.Times.Add(&record.last)
	}
	account.Times[Unowned] += max(took-account.Times.Sum(), 0)
	extension := max(job.Queue.Extension, 1)
	account.Objective = time.Duration(job.Queue.TargetLatencyMs)*time.Millisecond +
		time.Duration(extension*float64(account.Times[Running]+account.Times[Failed]))
	queue := l.queue(job.Queue.Key)
	queue.Ended++
	if account.Late() {
		queue.Late++
	}
	return account, true
}

// lastOf returns the record that was finished last: of all, or of those that a record's group depends on.
func lastOf(records []*groupRecord, later *groupRecord) (last *groupRecord) {
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
	if later.Time != earlier.Time {
		return false
	}
	return slices.Contains(later.Spec().DependsOn, earlier.Step)
}

package jobs

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Restore replaces the complete state by that of a snapshot, also of one of an earlier release. If it returns an error,
// the state is unchanged. Jobs and tasks that were returned before must not be used any more.
func (s *State) Restore(data []byte) error {
	r := newReader(data)
	version := r.byte()
	if version != snapshotVersion && version != snapshotVersionWithoutDepartures {
		return errors.Errorf("snapshot of version %d, this release reads up to %d", version, snapshotVersion)
	}
	fresh := newState(s.retention)
	if err := r.state(fresh, version != snapshotVersionWithoutDepartures); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	*s = *fresh
	return nil
}

// state reads a snapshot into an empty State; hasDepartures is whether the snapshot has the runners that departed.
func (r *reader) state(s *State, hasDepartures bool) error {
	s.clockMs = r.signed()
	s.ageMs = r.signed()
	s.sequence = r.unsigned()
	for _, total := range s.counters.totals() {
		*total = r.unsigned()
	}
	r.runners(s, hasDepartures)
	if err := r.jobs(s); err != nil {
		return err
	}
	s.endedJobs.entries = r.expiries()
	r.tombstones(&s.tombstones)
	if err := r.done(); err != nil {
		return err
	}
	for _, entry := range s.endedJobs.entries {
		if s.jobs[entry.id] == nil {
			return errors.Errorf("ended job %q is missing", entry.id)
		}
	}
	return nil
}

func (r *reader) expiries() []retainedID {
	entries := items[retainedID](r)
	for i := range entries {
		entries[i] = retainedID{id: r.ownedText(), untilMs: r.signed()}
	}
	return entries
}

func (r *reader) tombstones(set *tombstoneSet) {
	set.order.entries = r.expiries()
	for _, entry := range set.order.entries {
		known := tombstone{kind: tombstoneKind(r.byte()), untilMs: entry.untilMs}
		if known.kind == fencedID {
			known.version = r.unsigned()
		}
		set.byID[entry.id] = known
	}
}

func (r *reader) runners(s *State, hasDepartures bool) {
	for range r.count() {
		record := s.runners.touch(r.ownedText(), 0)
		record.address = r.ownedText()
		record.lastSeen = r.unsigned()
		record.lastNamedMs = r.signed()
		if hasDepartures {
			record.departed = r.byte() != 0
		}
		record.lingering = r.lingering()
		s.counters.Lingering += len(record.lingering)
	}
}

func (r *reader) lingering() []Lingering {
	last := &previousTexts{}
	runs := items[Lingering](r)
	for i := range runs {
		runs[i].Task = r.task(last)
		runs[i].Task.Job = strings.Clone(runs[i].Task.Job)
		runs[i].Run = r.unsigned()
		runs[i].Needs.CPU = r.signed()
		runs[i].Needs.MemoryMB = r.signed()
		runs[i].Needs.GPU = r.signed()
	}
	return runs
}

// jobs reads all jobs and links their tasks.
func (r *reader) jobs(s *State) error {
	var linked []*Task
	for range r.count() {
		job := &Job{dueIndex: notScheduled}
		tasks, err := r.job(s, job)
		if err != nil {
			return errors.Wrapf(err, "job %q", job.ID)
		}
		linked = append(linked, tasks...)
		s.addRestoredJob(job)
	}
	slices.SortFunc(linked, func(a, b *Task) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, task := range linked {
		if err := s.linkRestoredTask(task); err != nil {
			return err
		}
	}
	return nil
}

// addRestoredJob adds a job to the tables of jobs.
func (s *State) addRestoredJob(job *Job) {
	s.jobs[job.ID] = job
	if job.Ended() {
		return
	}
	s.unfinishedJobs[job.Queue.Key]++
	s.counters.Jobs++
	if job.opened < job.repetitions() && job.mayOpenRepetition() {
		s.dueJobs.schedule(job)
	}
}

// linkRestoredTask adds a Pending or Running task to the list of its priority or runner.
func (s *State) linkRestoredTask(task *Task) error {
	if task.Phase == Pending {
		s.pendingList(task.Group.Job.Queue.Priority).push(task)
		s.counters.Pending++
		return nil
	}
	record := s.runners.records[task.Runner]
	if record == nil {
		return errors.Errorf("task %s runs on %q, which is missing", task.ID, task.Runner)
	}
	task.Runner = record.id
	record.running.push(task)
	task.Group.Running++
	task.Group.Job.running++
	s.counters.Running++
	return nil
}

// job reads one job and returns its tasks that are Pending or Running: the caller links them in order of sequence.
func (r *reader) job(s *State, job *Job) ([]*Task, error) {
	job.ID = r.ownedText()
	job.Queue = s.sharedQueue(r.queue())
	state := int(r.byte())
	if state >= len(jobStateCodes) {
		return nil, errors.Errorf("unknown job state %d", state)
	}
	job.State = jobStateCodes[state]
	job.AcceptedMs = r.signed()
	job.EndedMs = r.signed()
	r.spec(&job.Spec)
	job.Spec = cloneSpec(&job.Spec)
	job.opened = int(r.unsigned())
	job.completed = int(r.unsigned())
	groups := r.count()
	if r.err != nil {
		return nil, r.err
	}
	if groups == 0 {
		return nil, nil
	}
	if err := Validate(&job.Spec); err != nil {
		return nil, err
	}
	return r.groups(job, groups)
}

func (r *reader) groups(job *Job, count int) ([]*Task, error) {
	steps := len(job.Spec.Steps)
	if count%steps != 0 {
		return nil, errors.Errorf("%d groups of %d steps", count, steps)
	}
	var linked []*Task
	previous := &previousTask{pendingSinceMs: job.AcceptedMs}
	for i := range count {
		repetition := int(r.unsigned())
		if job.Spec.Steps[i%steps].Count > len(r.data)-r.offset {
			return nil, errMalformed
		}
		group := newGroup(job, repetition, i%steps)
		job.Groups = append(job.Groups, group)
		linked = append(linked, r.group(group, previous)...)
		if r.err != nil {
			return nil, r.err
		}
	}
	return linked, nil
}

func (r *reader) group(group *Group, previous *previousTask) (linked []*Task) {
	group.Run = r.unsigned()
	group.Attempts = int(r.unsigned())
	group.Checkpoint = r.ownedText()
	group.failedRun = r.unsigned()
	group.endCheckpointRun = r.unsigned()
	group.isReleased = r.byte() != 0
	for _, task := range group.Tasks {
		r.taskState(task, previous)
		switch task.Phase {
		case Pending, Running:
			linked = append(linked, task)
		case Done:
			group.Unfinished--
		}
	}
	return linked
}

func (r *reader) taskState(task *Task, previous *previousTask) {
	task.Phase = Phase(r.byte())
	if task.Phase == Blocked {
		return
	}
	if task.Phase > GangEnding {
		r.fail()
		return
	}
	task.Run = r.unsigned()
	task.Attempts = int(r.unsigned())
	task.Checkpoint = r.checkpoint(previous)
	task.PendingSinceMs = previous.pendingSinceMs + r.signed()
	task.sequence = previous.sequence + uint64(r.signed())
	previous.pendingSinceMs, previous.sequence = task.PendingSinceMs, task.sequence
	if task.Phase == Running {
		task.Runner = r.repeated(&previous.runner)
	}
}

// checkpoint reads a checkpoint; neighbours that have the same one share a copy.
func (r *reader) checkpoint(previous *previousTask) string {
	before := previous.checkpoint
	text := r.repeated(&previous.checkpoint)
	if text != before {
		previous.checkpoint = strings.Clone(text)
	}
	return previous.checkpoint
}

package jobs

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Restore replaces the complete state by the state in a snapshot. An earlier release may have written the snapshot. If
// Restore returns an error, the state is unchanged. Afterwards callers must not use jobs and tasks that the State returned
// before.
func (s *State) Restore(data []byte) error {
	r := newReader(data)
	version := r.byte()
	if version != snapshotVersion && version != snapshotVersionWithoutDepartures {
		return errors.Errorf("snapshot of version %d: the newest version that this release reads is %d", version, snapshotVersion)
	}
	fresh := newState(s.retention)
	if err := r.state(fresh, version != snapshotVersionWithoutDepartures); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	*s = *fresh
	return nil
}

// state reads a snapshot, after its version, into an empty State; see snapshot.go for the order. hasDepartures tells whether
// the version has a byte for each runner that says whether it departed.
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
			return errors.Errorf("job %q is listed as ended, but the snapshot has no such job", entry.id)
		}
	}
	return nil
}

// expiries reads the entries of an expiryQueue.
func (r *reader) expiries() []retainedID {
	entries := makeItems[retainedID](r)
	for i := range entries {
		entries[i] = retainedID{id: r.ownedText(), untilMs: r.signed()}
	}
	return entries
}

// tombstones reads all tombstones into an empty set.
func (r *reader) tombstones(set *tombstoneSet) {
	set.order.entries = r.expiries()
	for _, entry := range set.order.entries {
		known := tombstone{kind: tombstoneKind(r.byte()), untilMs: entry.untilMs}
		if known.kind == fencedID {
			known.version = r.unsigned()
		}
		set.byID[entry.id] = known
		set.countWithdrawn(known, 1)
	}
}

// runners reads the records of runners, which were written in the order of runnerTable. The runs on them come with the jobs.
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
	runs := makeItems[Lingering](r)
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

// jobs reads all jobs and adds their Pending and Running tasks to their lists. A list is in ascending order of
// Task.sequence, which differs from the order in the snapshot.
func (r *reader) jobs(s *State) error {
	var listed []*Task
	for range r.count() {
		job := &Job{dueIndex: notScheduled}
		tasks, err := r.job(s, job)
		if err != nil {
			return errors.Wrapf(err, "job %q", job.ID)
		}
		listed = append(listed, tasks...)
		s.addRestoredJob(job)
	}
	slices.SortFunc(listed, func(a, b *Task) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, task := range listed {
		if err := s.listRestoredTask(task); err != nil {
			return err
		}
	}
	return nil
}

// addRestoredJob adds a job to the State's maps, counters and dueJobs.
func (s *State) addRestoredJob(job *Job) {
	s.jobs[job.ID] = job
	if job.Ended() {
		return
	}
	s.unfinishedJobs[job.Queue.Key]++
	s.counters.Jobs++
	if job.openedRepetitions < job.repetitions() && job.mayOpenRepetition() {
		s.dueJobs.schedule(job)
	}
}

// listRestoredTask adds a Pending task to the list of its priority, or a Running task to the list of its runner. It also
// updates the counters.
func (s *State) listRestoredTask(task *Task) error {
	if task.Phase == Pending {
		s.pendingList(task.Group.Job.Queue.Priority).push(task)
		s.counters.Pending++
		return nil
	}
	record := s.runners.records[task.Runner]
	if record == nil {
		return errors.Errorf("task %s runs on runner %q, which the snapshot doesn't have", task.ID, task.Runner)
	}
	task.Runner = record.id
	record.running.push(task)
	task.Group.Running++
	task.Group.Job.runningTasks++
	s.counters.Running++
	return nil
}

// job reads one job and returns its Pending and Running tasks, which are in no taskList yet.
func (r *reader) job(s *State, job *Job) ([]*Task, error) {
	job.ID = r.ownedText()
	job.Queue = s.sharedQueue(r.queue())
	state := int(r.byte())
	if state >= len(jobStateCodes) {
		return nil, errors.Errorf("unknown job state number %d", state)
	}
	job.State = jobStateCodes[state]
	job.AcceptedMs = r.signed()
	job.EndedMs = r.signed()
	r.spec(&job.Spec)
	job.Spec = cloneSpec(&job.Spec)
	job.openedRepetitions = int(r.unsigned())
	job.completedRepetitions = int(r.unsigned())
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

// groups reads the groups of a job's open repetitions and returns their Pending and Running tasks. count must be a multiple
// of the number of steps, since a repetition has a group for each step.
func (r *reader) groups(job *Job, count int) ([]*Task, error) {
	steps := len(job.Spec.Steps)
	if count%steps != 0 {
		return nil, errors.Errorf("%d groups are no multiple of %d steps", count, steps)
	}
	var listed []*Task
	previous := &previousTask{pendingSinceMs: job.AcceptedMs}
	for i := range count {
		repetition := int(r.unsigned())
		if job.Spec.Steps[i%steps].Count > len(r.data)-r.offset { // each task takes at least one byte
			return nil, errMalformed
		}
		group := newGroup(job, repetition, i%steps)
		job.Groups = append(job.Groups, group)
		listed = append(listed, r.group(group, previous)...)
		if r.err != nil {
			return nil, r.err
		}
	}
	return listed, nil
}

// group reads a group with its tasks, and returns the tasks that are Pending or Running.
func (r *reader) group(group *Group, previous *previousTask) (listed []*Task) {
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
			listed = append(listed, task)
		case Done:
			group.Unfinished--
		}
	}
	return listed
}

// taskState reads the state of a task as writer.taskState wrote it.
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

// checkpoint reads a checkpoint. Neighbouring tasks with the same checkpoint share one string.
func (r *reader) checkpoint(previous *previousTask) string {
	before := previous.checkpoint
	text := r.repeated(&previous.checkpoint)
	if text != before {
		previous.checkpoint = strings.Clone(text)
	}
	return previous.checkpoint
}

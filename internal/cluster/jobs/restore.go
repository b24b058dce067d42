package jobs

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// own returns a text that doesn't share the snapshot's memory.
func (r *reader) own() string { return strings.Clone(r.text()) }

// state reads what a snapshot holds; departures tells whether it says which runners have departed.
func (r *reader) state(s *State, departures bool) error {
	s.clockMs = r.signed()
	s.ageMs = r.signed()
	s.sequence = r.unsigned()
	for _, total := range s.counters.totals() {
		*total = r.unsigned()
	}
	r.runners(s, departures)
	if err := r.jobs(s); err != nil {
		return err
	}
	s.ended.order.entries = r.expiries()
	r.tombstones(&s.tombstones)
	if err := r.done(); err != nil {
		return err
	}
	for _, entry := range s.ended.order.entries {
		if s.jobs[entry.id] == nil {
			return errors.Errorf("ended job %q is not there", entry.id)
		}
	}
	return nil
}

func (r *reader) expiries() []keptUntil {
	entries := items[keptUntil](r)
	for i := range entries {
		entries[i] = keptUntil{id: r.own(), ms: r.signed()}
	}
	return entries
}

func (r *reader) tombstones(set *tombstoneSet) {
	set.order.entries = r.expiries()
	for _, entry := range set.order.entries {
		known := tombstone{kind: tombstoneKind(r.byte()), untilMs: entry.ms}
		if known.kind == fencing {
			known.version = r.unsigned()
		}
		set.byID[entry.id] = known
	}
}

func (r *reader) runners(s *State, departures bool) {
	for range r.count() {
		record := s.runners.hear(r.own(), 0)
		record.place = r.own()
		record.lastSeen = r.unsigned()
		record.heardMs = r.signed()
		if departures {
			record.departed = r.byte() != 0
		}
		record.lingering = r.lingering()
		s.counters.Lingering += len(record.lingering)
	}
}

func (r *reader) lingering() []Lingering {
	last := &column{}
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
		job := &Job{dueIndex: notWaiting}
		tasks, err := r.job(s, job)
		if err != nil {
			return errors.Wrapf(err, "job %q", job.ID)
		}
		linked = append(linked, tasks...)
		s.enter(job)
	}
	slices.SortFunc(linked, func(a, b *Task) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, task := range linked {
		if err := s.link(task); err != nil {
			return err
		}
	}
	return nil
}

// enter adds a job that was read.
func (s *State) enter(job *Job) {
	s.jobs[job.ID] = job
	if job.Ended() {
		return
	}
	s.pending[job.Queue.Key]++
	s.counters.Jobs++
	if job.made < job.times() && job.roomForTime() {
		s.due.wait(job)
	}
}

// link adds a task that was read to the list that its phase wants.
func (s *State) link(task *Task) error {
	if task.Phase == Pending {
		s.heldList(task.Group.Job.Queue.Priority).push(task)
		s.counters.Pending++
		return nil
	}
	record := s.runners.records[task.Runner]
	if record == nil {
		return errors.Errorf("task %s runs on %q, which is not there", task.ID, task.Runner)
	}
	task.Runner = record.id
	record.running.push(task)
	task.Group.Alive++
	task.Group.Job.running++
	s.counters.Running++
	return nil
}

// job reads one job and returns its tasks that are Held or Running.
func (r *reader) job(s *State, job *Job) ([]*Task, error) {
	job.ID = r.own()
	job.Queue = s.queue(r.queue())
	state := int(r.byte())
	if state >= len(stateNames) {
		return nil, errors.Errorf("state %d is unknown", state)
	}
	job.State = stateNames[state]
	job.AcceptedMs = r.signed()
	job.EndedMs = r.signed()
	r.spec(&job.Spec)
	job.Spec = ownSpec(&job.Spec)
	job.made = int(r.unsigned())
	job.done = int(r.unsigned())
	groups := r.count()
	if r.err != nil {
		return nil, r.err
	}
	if groups == 0 {
		return nil, nil
	}
	if err := s.Validate(&job.Spec); err != nil {
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
	last := &taskColumns{heldAtMs: job.AcceptedMs}
	for i := range count {
		time := int(r.unsigned())
		if job.Spec.Steps[i%steps].Count > len(r.data)-r.at {
			return nil, errCut
		}
		group := newGroup(job, time, i%steps)
		job.Groups = append(job.Groups, group)
		linked = append(linked, r.group(group, last)...)
		if r.err != nil {
			return nil, r.err
		}
	}
	return linked, nil
}

func (r *reader) group(group *Group, last *taskColumns) (linked []*Task) {
	group.Run = r.unsigned()
	group.Attempts = int(r.unsigned())
	group.Checkpoint = r.own()
	group.failedRun = r.unsigned()
	group.savedByEnd = r.unsigned()
	group.released = r.byte() != 0
	for _, task := range group.Tasks {
		r.taskState(task, last)
		switch task.Phase {
		case Pending, Running:
			linked = append(linked, task)
		case Done:
			group.Left--
		}
	}
	return linked
}

func (r *reader) taskState(task *Task, last *taskColumns) {
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
	task.Checkpoint = r.saved(last)
	task.PendingSinceMs = last.heldAtMs + r.signed()
	task.sequence = last.sequence + uint64(r.signed())
	last.heldAtMs, last.sequence = task.PendingSinceMs, task.sequence
	if task.Phase == Running {
		task.Runner = r.repeated(&last.runner)
	}
}

// saved reads a checkpoint; those that neighbours share are one copy.
func (r *reader) saved(last *taskColumns) string {
	before := last.saved
	text := r.repeated(&last.saved)
	if text != before {
		last.saved = strings.Clone(text)
	}
	return last.saved
}

package jobs

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// mostOpenTasks bounds the tasks of a job's times that are made and not wholly done. Times that fall due beyond it are
// made as earlier ones are done.
const mostOpenTasks = 20_000

// open makes the groups of all times that are due, and lets the job wait for its next time if there is one.
func (s *State) open(job *Job) {
	for job.made < job.times() && job.roomForTime() && s.isDue(job) {
		s.makeTime(job)
	}
	if job.made < job.times() && job.roomForTime() {
		s.due.wait(job)
	} else {
		s.due.leave(job)
	}
}

// isDue tells whether the job's next time is due.
func (s *State) isDue(job *Job) bool {
	return job.Spec.Repetitions <= 0 || job.dueMs(job.made) <= s.clockMs
}

// roomForTime tells whether one more time may be open.
func (j *Job) roomForTime() bool {
	open := j.made - j.done
	return open == 0 || (open+1)*j.tasksOfTime() <= mostOpenTasks
}

func (j *Job) tasksOfTime() int {
	tasks := 0
	for i := range j.Spec.Steps {
		tasks += j.Spec.Steps[i].Count
	}
	return tasks
}

// makeTime makes the groups of a job's next time and gives their turn to those that depend on nothing.
func (s *State) makeTime(job *Job) {
	time := job.made
	job.made++
	for step := range job.Spec.Steps {
		job.Groups = append(job.Groups, newGroup(job, time, step))
	}
	for _, group := range job.groupsOf(time) {
		if len(group.Spec().DependsOn) == 0 {
			s.release(group)
		}
	}
}

func newGroup(job *Job, time, step int) *Group {
	count := job.Spec.Steps[step].Count
	group := &Group{Job: job, Time: time, Step: step, Left: count}
	tasks := make([]Task, count)
	group.Tasks = make([]*Task, count)
	for i := range tasks {
		tasks[i].ID = TaskID{Job: job.ID, Time: time, Step: step, Index: i}
		tasks[i].Group = group
		group.Tasks[i] = &tasks[i]
	}
	return group
}

// release gives a group its turn.
func (s *State) release(group *Group) {
	group.released = true
	for _, task := range group.Tasks {
		s.hold(task)
	}
}

// hold makes a task Held.
func (s *State) hold(task *Task) {
	s.sequence++
	task.Phase = Pending
	task.PendingSinceMs = s.clockMs
	task.sequence = s.sequence
	s.heldList(task.Group.Job.Queue.Priority).push(task)
	s.counters.Pending++
	s.effects.Pending = append(s.effects.Pending, task)
}

// unhold takes a Held task off the list; its phase is the caller's to set.
func (s *State) unhold(task *Task) {
	s.heldList(task.Group.Job.Queue.Priority).remove(task)
	s.counters.Pending--
}

// finish makes a task Done, with all that follows from it.
func (s *State) finish(task *Task) {
	group := task.Group
	task.Phase = Done
	group.Left--
	if group.Left > 0 {
		return
	}
	groups := group.Job.groupsOf(group.Time)
	for _, later := range groups[group.Step+1:] {
		if !later.released && ready(later, groups) {
			s.release(later)
		}
	}
	if allDone(groups) {
		s.finishTime(group.Job, group.Time)
	}
}

// ready tells whether all that a group depends on is done; groups are those of its time.
func ready(group *Group, groups []*Group) bool {
	for _, step := range group.Spec().DependsOn {
		if groups[step].Left > 0 {
			return false
		}
	}
	return true
}

func allDone(groups []*Group) bool {
	for _, group := range groups {
		if group.Left > 0 {
			return false
		}
	}
	return true
}

// finishTime notes that all tasks of one time are done, and drops its groups.
func (s *State) finishTime(job *Job, time int) {
	steps := len(job.Spec.Steps)
	at := slices.IndexFunc(job.Groups, func(group *Group) bool { return group.Time == time })
	job.Groups = slices.Delete(job.Groups, at, at+steps)
	job.done++
	if job.done < job.times() {
		s.open(job)
		return
	}
	s.counters.Completed++
	s.over(job, protocol.JobCompleted)
}

// abandon ends a job as failed or cancelled: no task of it is started any more, and those with a run wait for its end.
func (s *State) abandon(job *Job, state string) {
	for _, group := range job.Groups {
		for _, task := range group.Tasks {
			s.abandonTask(task)
		}
	}
	s.over(job, state)
}

func (s *State) abandonTask(task *Task) {
	switch task.Phase {
	case Pending:
		s.unhold(task)
		task.Phase = Cancelled
	case Blocked, GangEnding:
		task.Phase = Cancelled
	}
}

package jobs

import "ospreypond/internal/cluster/protocol"

// This file has the transitions of tasks between phases and of jobs between states. The transitions that occur only in gangs
// are in gang.go.

// release makes the Blocked tasks of a group Pending, when all steps on which the group depends are done.
func (s *State) release(group *Group) {
	group.isReleased = true
	for _, task := range group.Tasks {
		s.makePending(task)
	}
}

// makePending makes a task Pending and adds it to the end of the list of its priority. The task must not be in a list.
func (s *State) makePending(task *Task) {
	s.sequence++
	task.Phase = Pending
	task.PendingSinceMs = s.clockMs
	task.sequence = s.sequence
	s.pendingList(task.Group.Job.Queue.Priority).push(task)
	s.counters.Pending++
	s.effects.Pending = append(s.effects.Pending, task)
}

// removePending removes a Pending task from the list of its priority. The caller sets its next phase.
func (s *State) removePending(task *Task) {
	s.pendingList(task.Group.Job.Queue.Priority).remove(task)
	s.counters.Pending--
}

// transitionAfterRun sets the next phase of a task after the end or loss of its run:
//   - The job has ended: Cancelled.
//   - A gang member: see transitionGangMember.
//   - A long-running step: Pending again, whatever the outcome.
//   - EndDone: Done. EndFailed: counted as a failed attempt.
//   - Any other outcome, unknown ones included: Pending again, without counting an attempt.
func (s *State) transitionAfterRun(task *Task, outcome protocol.RunEnd) {
	job := task.Group.Job
	switch {
	case job.Ended():
		task.Phase = Cancelled
		s.dropDetails(job)
	case task.Group.Spec().Gang:
		s.transitionGangMember(task, outcome)
	case task.Group.Spec().LongRunning:
		s.makePending(task)
	case outcome == protocol.EndDone:
		s.completeTask(task)
	case outcome == protocol.EndFailed:
		s.countFailedAttempt(task)
	default:
		s.makePending(task)
	}
}

// completeTask makes a task Done. After the last task of a group it releases the groups that depended on it and have no
// other unfinished dependency. After the last task of a repetition it completes the repetition.
func (s *State) completeTask(task *Task) {
	group := task.Group
	task.Phase = Done
	group.Unfinished--
	if group.Unfinished > 0 {
		return
	}
	groups := group.Job.GroupsOf(group.Repetition)
	for _, later := range groups[group.Step+1:] {
		if !later.isReleased && dependenciesDone(later, groups) {
			s.release(later)
		}
	}
	if allDone(groups) {
		s.completeRepetition(group.Job, group.Repetition)
	}
}

// dependenciesDone reports whether all tasks of the steps on which a group depends are Done. groups are the groups of its
// repetition.
func dependenciesDone(group *Group, groups []*Group) bool {
	for _, step := range group.Spec().DependsOn {
		if groups[step].Unfinished > 0 {
			return false
		}
	}
	return true
}

// allDone reports whether all tasks of the groups are Done.
func allDone(groups []*Group) bool {
	for _, group := range groups {
		if group.Unfinished > 0 {
			return false
		}
	}
	return true
}

// countFailedAttempt counts a failed run of a task that is in no gang. The task becomes Pending again or, if no attempt is
// left, Failed together with its job.
func (s *State) countFailedAttempt(task *Task) {
	task.Attempts++
	if !attemptsExhausted(task.Attempts, task.Group.Job) {
		s.makePending(task)
		return
	}
	task.Phase = Failed
	s.failJob(task.Group.Job)
}

// attemptsExhausted reports whether the job's queue allows no further attempt after this number of failed ones. A MaxAttempts
// of 0 is no limit.
func attemptsExhausted(attempts int, job *Job) bool {
	return job.Queue.MaxAttempts > 0 && attempts >= job.Queue.MaxAttempts
}

// failJob ends a job as failed.
func (s *State) failJob(job *Job) {
	s.counters.Failed++
	s.abandon(job, protocol.JobFailed)
}

// abandon ends a job as failed or cancelled. From then on no task of the job can be started. Running tasks stay Running
// until the End or Loss of their run, since the run may still exist.
func (s *State) abandon(job *Job, state protocol.JobState) {
	for _, group := range job.Groups {
		for _, task := range group.Tasks {
			s.abandonTask(task)
		}
	}
	s.endJob(job, state)
}

// abandonTask makes a task of an abandoned job Cancelled, unless it is Running or has a final phase.
func (s *State) abandonTask(task *Task) {
	switch task.Phase {
	case Pending:
		s.removePending(task)
		task.Phase = Cancelled
	case Blocked, GangEnding:
		task.Phase = Cancelled
	case Running, Done, Failed, Cancelled:
	}
}

// endJob sets the final state of a job, which is retained for retention.statusMs.
func (s *State) endJob(job *Job, state protocol.JobState) {
	job.State = state
	job.EndedMs = s.clockMs
	s.dueJobs.unschedule(job)
	s.counters.Jobs--
	s.unfinishedJobs[job.Queue.Key]--
	if s.unfinishedJobs[job.Queue.Key] == 0 {
		delete(s.unfinishedJobs, job.Queue.Key)
	}
	s.endedJobs.push(job.ID, s.ageMs+s.retention.statusMs)
	s.effects.EndedJobs = append(s.effects.EndedJobs, job)
	s.dropDetails(job)
}

// dropDetails saves memory: it replaces a job that has ended and has no Running task by a copy without its spec and groups.
// The original stays unchanged, because Effects and callers may still refer to its tasks.
func (s *State) dropDetails(job *Job) {
	if !job.Ended() || job.runningTasks > 0 {
		return
	}
	s.jobs[job.ID] = &Job{
		ID:         job.ID,
		Queue:      job.Queue,
		State:      job.State,
		AcceptedMs: job.AcceptedMs,
		EndedMs:    job.EndedMs,
		dueIndex:   notScheduled,
	}
}

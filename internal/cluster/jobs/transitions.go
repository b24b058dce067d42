package jobs

import "ospreypond/internal/cluster/protocol"

// This file has the transitions of tasks and jobs between their phases and states; gang.go those that are a gang's alone.

// release makes a group's tasks Pending for the first time.
func (s *State) release(group *Group) {
	group.isReleased = true
	for _, task := range group.Tasks {
		s.makePending(task)
	}
}

// makePending makes a task Pending. The caller has taken it off whatever list it was in.
func (s *State) makePending(task *Task) {
	s.sequence++
	task.Phase = Pending
	task.PendingSinceMs = s.clockMs
	task.sequence = s.sequence
	s.pendingList(task.Group.Job.Queue.Priority).push(task)
	s.counters.Pending++
	s.effects.Pending = append(s.effects.Pending, task)
}

// removePending takes a Pending task off its list; the caller sets its phase.
func (s *State) removePending(task *Task) {
	s.pendingList(task.Group.Job.Queue.Priority).remove(task)
	s.counters.Pending--
}

// transitionAfterRun gives a task whose run has just ended its next phase.
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

// completeTask makes a task Done, releases the steps for which that was awaited, and completes the repetition with its
// last task.
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

// dependenciesDone reports whether all that a group depends on is done; groups are those of its repetition.
func dependenciesDone(group *Group, groups []*Group) bool {
	for _, step := range group.Spec().DependsOn {
		if groups[step].Unfinished > 0 {
			return false
		}
	}
	return true
}

func allDone(groups []*Group) bool {
	for _, group := range groups {
		if group.Unfinished > 0 {
			return false
		}
	}
	return true
}

// countFailedAttempt counts a failed run of a task that is in no gang.
func (s *State) countFailedAttempt(task *Task) {
	task.Attempts++
	if !attemptsExhausted(task.Attempts, task.Group.Job) {
		s.makePending(task)
		return
	}
	task.Phase = Failed
	s.failJob(task.Group.Job)
}

// attemptsExhausted reports whether the job's queue allows no more attempts after so many failed ones.
func attemptsExhausted(attempts int, job *Job) bool {
	return job.Queue.MaxAttempts > 0 && attempts >= job.Queue.MaxAttempts
}

func (s *State) failJob(job *Job) {
	s.counters.Failed++
	s.abandon(job, protocol.JobFailed)
}

// abandon ends a job as failed or cancelled: no task of it is started any more, and tasks with a run stay Running until
// its end or loss.
func (s *State) abandon(job *Job, state protocol.JobState) {
	for _, group := range job.Groups {
		for _, task := range group.Tasks {
			s.abandonTask(task)
		}
	}
	s.endJob(job, state)
}

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

// endJob puts a job into its final state, which is retained for a time.
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

// dropDetails replaces a job that has ended, and of which no run may exist, by a copy without its spec and groups. The
// original stays unchanged for callers that still refer to its tasks.
func (s *State) dropDetails(job *Job) {
	if !job.Ended() || job.running > 0 {
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

package jobs

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// maxOpenTasks limits the number of tasks of a job's open repetitions. A repetition that would exceed it is opened late,
// when earlier ones have completed. Without the limit, a job with many overdue repetitions would have the tasks of all of
// them, up to maxTasksOfJob, in the memory of each replica.
const maxOpenTasks = 20_000

// openDueRepetitions opens all repetitions of the job that are due, within the limit maxOpenTasks. It leaves the job in
// State.dueJobs only if the job has a further repetition that maxOpenTasks allows. If maxOpenTasks doesn't allow it,
// completeRepetition tries again.
func (s *State) openDueRepetitions(job *Job) {
	for job.openedRepetitions < job.repetitions() && job.mayOpenRepetition() && s.isRepetitionDue(job) {
		s.openRepetition(job)
	}
	if job.openedRepetitions < job.repetitions() && job.mayOpenRepetition() {
		s.dueJobs.schedule(job)
	} else {
		s.dueJobs.unschedule(job)
	}
}

// isRepetitionDue reports whether the job's next repetition is due. A job without repetitions is due at once.
func (s *State) isRepetitionDue(job *Job) bool {
	return job.Spec.Repetitions <= 0 || job.dueMs(job.openedRepetitions) <= s.clockMs
}

// mayOpenRepetition reports whether maxOpenTasks allows one more open repetition. One open repetition is always allowed,
// even if it has more tasks, or else a large job would never start.
func (j *Job) mayOpenRepetition() bool {
	open := j.openedRepetitions - j.completedRepetitions
	return open == 0 || (open+1)*j.tasksPerRepetition() <= maxOpenTasks
}

func (j *Job) tasksPerRepetition() int {
	tasks := 0
	for i := range j.Spec.Steps {
		tasks += j.Spec.Steps[i].Count
	}
	return tasks
}

// openRepetition creates the groups of the job's next repetition and releases the groups without dependencies.
func (s *State) openRepetition(job *Job) {
	repetition := job.openedRepetitions
	job.openedRepetitions++
	for step := range job.Spec.Steps {
		job.Groups = append(job.Groups, newGroup(job, repetition, step))
	}
	for _, group := range job.GroupsOf(repetition) {
		if len(group.Spec().DependsOn) == 0 {
			s.release(group)
		}
	}
}

// completeRepetition drops the groups of a repetition after all its tasks are Done. Then it opens the due repetitions that
// maxOpenTasks allows now. After the last repetition it completes the job.
func (s *State) completeRepetition(job *Job, repetition int) {
	steps := len(job.Spec.Steps)
	at := slices.IndexFunc(job.Groups, func(group *Group) bool { return group.Repetition == repetition })
	job.Groups = slices.Delete(job.Groups, at, at+steps)
	job.completedRepetitions++
	if job.completedRepetitions < job.repetitions() {
		s.openDueRepetitions(job)
		return
	}
	s.counters.Completed++
	s.endJob(job, protocol.JobCompleted)
}

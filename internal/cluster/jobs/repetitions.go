package jobs

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// maxOpenTasks limits the tasks of a job's open repetitions: those that are due and not complete. Repetitions that fall
// due beyond it are opened as earlier ones complete.
const maxOpenTasks = 20_000

// openDueRepetitions opens all repetitions of the job that are due, and schedules the job for its next one if there is
// one.
func (s *State) openDueRepetitions(job *Job) {
	for job.opened < job.repetitions() && job.mayOpenRepetition() && s.isRepetitionDue(job) {
		s.openRepetition(job)
	}
	if job.opened < job.repetitions() && job.mayOpenRepetition() {
		s.dueJobs.schedule(job)
	} else {
		s.dueJobs.unschedule(job)
	}
}

// isRepetitionDue reports whether the job's next repetition is due.
func (s *State) isRepetitionDue(job *Job) bool {
	return job.Spec.Repetitions <= 0 || job.dueMs(job.opened) <= s.clockMs
}

// mayOpenRepetition reports whether maxOpenTasks allows one more open repetition. One is always allowed.
func (j *Job) mayOpenRepetition() bool {
	open := j.opened - j.completed
	return open == 0 || (open+1)*j.tasksPerRepetition() <= maxOpenTasks
}

func (j *Job) tasksPerRepetition() int {
	tasks := 0
	for i := range j.Spec.Steps {
		tasks += j.Spec.Steps[i].Count
	}
	return tasks
}

// openRepetition makes the groups of a job's next repetition and releases those that depend on nothing.
func (s *State) openRepetition(job *Job) {
	repetition := job.opened
	job.opened++
	for step := range job.Spec.Steps {
		job.Groups = append(job.Groups, newGroup(job, repetition, step))
	}
	for _, group := range job.GroupsOf(repetition) {
		if len(group.Spec().DependsOn) == 0 {
			s.release(group)
		}
	}
}

// completeRepetition drops the groups of a repetition whose tasks are all Done. The job completes with the last one.
func (s *State) completeRepetition(job *Job, repetition int) {
	steps := len(job.Spec.Steps)
	at := slices.IndexFunc(job.Groups, func(group *Group) bool { return group.Repetition == repetition })
	job.Groups = slices.Delete(job.Groups, at, at+steps)
	job.completed++
	if job.completed < job.repetitions() {
		s.openDueRepetitions(job)
		return
	}
	s.counters.Completed++
	s.endJob(job, protocol.JobCompleted)
}

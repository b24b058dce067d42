package jobs

import (
	"strings"

	"ospreypond/internal/cluster/protocol"
)

// end notes an end that a runner listed, and returns whether it ended the task's present run.
func (s *State) end(end *End) bool {
	record := s.runners.hear(end.Runner, s.ageMs)
	if end.N <= record.lastSeen {
		return false
	}
	record.lastSeen = end.N
	if s.freeLingering(record, end.Task, end.Run) {
		return false
	}
	task := s.presentRun(end.Task, end.Run, record)
	if task == nil {
		return false
	}
	s.leaveRunner(task, record)
	s.keepSaved(task, end.Checkpoint, true)
	s.settle(task, end.Outcome)
	return true
}

// lose notes that a run is nowhere, and returns whether it ended the task's present run.
func (s *State) lose(loss *Loss) bool {
	record := s.runners.records[loss.Runner]
	if record == nil || s.freeLingering(record, loss.Task, loss.Run) {
		return false
	}
	task := s.presentRun(loss.Task, loss.Run, record)
	if task == nil {
		return false
	}
	s.counters.Lost++
	s.leaveRunner(task, record)
	s.keepSaved(task, loss.Checkpoint, false)
	s.settle(task, protocol.EndLapsed)
	return true
}

func (s *State) freeLingering(record *runnerRecord, id TaskID, run uint64) bool {
	lingering, ok := record.takeLingering(id, run)
	if ok {
		s.counters.Lingering--
		s.effects.Freed = append(s.effects.Freed, Freed{Runner: record.id, Lingering: lingering})
	}
	return ok
}

// presentRun returns the task if run is its present one and may exist on the runner, else nil.
func (s *State) presentRun(id TaskID, run uint64, record *runnerRecord) *Task {
	task := s.Task(id)
	if task == nil || task.Phase != Running || task.Run != run || task.Runner != record.id {
		return nil
	}
	return task
}

// leaveRunner takes a run off its runner; the task's phase is the caller's to set.
func (s *State) leaveRunner(task *Task, record *runnerRecord) {
	record.running.remove(task)
	task.Runner = ""
	task.Group.Alive--
	task.Group.Job.running--
	s.counters.Running--
	s.effects.Ended = append(s.effects.Ended, task)
}

// keepSaved keeps the checkpoint that an end or a loss brought. What a loss brings was seen earlier than what any end
// of the same run of a gang brings.
func (s *State) keepSaved(task *Task, saved string, byEnd bool) {
	group := task.Group
	if saved == "" || !group.Spec().Checkpoints {
		return
	}
	if !group.Spec().Gang {
		task.Checkpoint = strings.Clone(saved)
		return
	}
	if byEnd {
		group.savedByEnd = task.Run
	} else if group.savedByEnd == task.Run {
		return
	}
	group.Checkpoint = strings.Clone(saved)
}

// settle gives a task whose run has just ended its next phase.
func (s *State) settle(task *Task, how string) {
	job := task.Group.Job
	switch {
	case job.Ended():
		task.Phase = Cancelled
		s.shrink(job)
	case task.Group.Spec().Gang:
		s.settleMember(task, how)
	case task.Group.Spec().LongRunning:
		s.hold(task)
	case how == protocol.EndDone:
		s.finish(task)
	case how == protocol.EndFailed:
		s.attempt(task)
	default:
		s.hold(task)
	}
}

// attempt counts a failure of a task that is in no gang.
func (s *State) attempt(task *Task) {
	task.Attempts++
	if !usedUp(task.Attempts, task.Group.Job) {
		s.hold(task)
		return
	}
	task.Phase = Failed
	s.fail(task.Group.Job)
}

// usedUp tells whether so many failures are all that the job's queue allows.
func usedUp(attempts int, job *Job) bool {
	return job.Queue.MaxAttempts > 0 && attempts >= job.Queue.MaxAttempts
}

func (s *State) fail(job *Job) {
	s.counters.Failed++
	s.abandon(job, protocol.JobFailed)
}

// run notes that a run of a Held task may exist from now on.
func (s *State) run(task *Task, run uint64, runner string) {
	s.unhold(task)
	record := s.runners.hear(runner, s.ageMs)
	s.sequence++
	task.Phase = Running
	task.Run = run
	task.Runner = record.id
	task.sequence = s.sequence
	record.running.push(task)
	if task.Group.Spec().Gang {
		task.Group.Run = run
	}
	task.Group.Alive++
	job := task.Group.Job
	job.running++
	job.State = protocol.JobRunning
	s.counters.Running++
	s.counters.Started++
}

package jobs

import (
	"strings"

	"ospreypond/internal/cluster/protocol"
)

// applyStarts applies the valid starts of a command. A gang starts only if the command has a valid start of each member. So
// the starts of gangs are counted first, in a pass of their own, before any task changes.
func (s *State) applyStarts(starts []Start) {
	if len(starts) == 0 {
		return
	}
	applied := make([]bool, len(starts))
	s.effects.Starts = applied
	for i := range starts {
		s.recordGangStart(&starts[i])
	}
	for i := range starts {
		task := s.Task(starts[i].Task)
		if task == nil {
			continue
		}
		if task.Group.Spec().Gang {
			applied[i] = task.Group.startsCompletely()
		} else {
			applied[i] = isNextRun(task, starts[i].Run)
		}
		if applied[i] {
			s.applyStart(task, starts[i].Run, starts[i].Runner)
		}
	}
	for i := range starts {
		s.clearGangStart(&starts[i])
	}
}

// isNextRun reports whether the task is Pending and run is the number of its next run.
func isNextRun(task *Task, run uint64) bool {
	return task.Phase == Pending && run == task.Run+1
}

// applyStart records that a run of a Pending task may exist from now on.
func (s *State) applyStart(task *Task, run uint64, runner string) {
	s.removePending(task)
	record := s.runners.touch(runner, s.ageMs)
	s.sequence++
	task.Phase = Running
	task.Run = run
	task.Runner = record.id
	task.sequence = s.sequence
	record.running.push(task)
	if task.Group.Spec().Gang {
		task.Group.Run = run
	}
	task.Group.Running++
	job := task.Group.Job
	job.runningTasks++
	job.State = protocol.JobRunning
	s.counters.Running++
	s.counters.Started++
}

// applyEnd applies an end and reports whether it ended the task's current run. If N is not above the runner's lastSeen, the
// end was applied before and is ignored: runners repeat their reports until they are acknowledged. Every other end advances
// lastSeen, even the end of an old or a lingering run.
func (s *State) applyEnd(end *End) bool {
	record := s.runners.touch(end.Runner, s.ageMs)
	if end.N <= record.lastSeen {
		return false
	}
	record.lastSeen = end.N
	if s.freeLingering(record, end.Task, end.Run) {
		return false
	}
	task := s.currentRun(end.Task, end.Run, record)
	if task == nil {
		return false
	}
	s.detachFromRunner(task, record)
	keepCheckpointOfEnd(task, end.Checkpoint)
	s.transitionAfterRun(task, end.Outcome)
	return true
}

// applyLoss applies a loss and reports whether it ended the task's current run. A loss is not a failed attempt.
func (s *State) applyLoss(loss *Loss) bool {
	record := s.runners.records[loss.Runner]
	if record == nil || s.freeLingering(record, loss.Task, loss.Run) {
		return false
	}
	task := s.currentRun(loss.Task, loss.Run, record)
	if task == nil {
		return false
	}
	s.counters.Lost++
	s.detachFromRunner(task, record)
	keepCheckpointOfLoss(task, loss.Checkpoint)
	s.transitionAfterRun(task, protocol.EndLapsed)
	return true
}

// freeLingering removes a run from the lingering runs of a runner, and reports whether the run was lingering there.
func (s *State) freeLingering(record *runnerRecord, id TaskID, run uint64) bool {
	lingering, ok := record.removeLingering(id, run)
	if ok {
		s.counters.Lingering--
		s.effects.FreedRuns = append(s.effects.FreedRuns, FreedRun{Runner: record.id, Lingering: lingering})
	}
	return ok
}

// currentRun returns the task if it is Running and its current run has this number and is on this runner, else nil.
func (s *State) currentRun(id TaskID, run uint64, record *runnerRecord) *Task {
	task := s.Task(id)
	if task == nil || task.Phase != Running || task.Run != run || task.Runner != record.id {
		return nil
	}
	return task
}

// detachFromRunner removes a Running task from the list of its runner and from the counters. The caller sets the task's next
// phase.
func (s *State) detachFromRunner(task *Task, record *runnerRecord) {
	record.running.remove(task)
	task.Runner = ""
	task.Group.Running--
	task.Group.Job.runningTasks--
	s.counters.Running--
	s.effects.EndedRuns = append(s.effects.EndedRuns, task)
}

// keepCheckpointOfEnd stores the checkpoint that an End brought, if there is one and the step has checkpoints.
func keepCheckpointOfEnd(task *Task, checkpoint string) {
	if checkpoint == "" || !task.Group.Spec().Checkpoints {
		return
	}
	if task.Group.Spec().Gang {
		task.Group.endCheckpointRun = task.Run
	}
	task.setCheckpoint(checkpoint)
}

// keepCheckpointOfLoss stores the checkpoint of a Loss, if it has any and the step uses checkpoints. All members of a gang
// share one checkpoint. The checkpoint of a Loss was reported during the run, so it is older than the checkpoint of an End
// of the same run and doesn't replace it.
func keepCheckpointOfLoss(task *Task, checkpoint string) {
	if checkpoint == "" || !task.Group.Spec().Checkpoints {
		return
	}
	if task.Group.Spec().Gang && task.Group.endCheckpointRun == task.Run {
		return
	}
	task.setCheckpoint(checkpoint)
}

// setCheckpoint sets the checkpoint of the task or, if the task is in a gang, of the gang. It clones the string, which
// belongs to the command.
func (t *Task) setCheckpoint(checkpoint string) {
	if t.Group.Spec().Gang {
		t.Group.Checkpoint = strings.Clone(checkpoint)
	} else {
		t.Checkpoint = strings.Clone(checkpoint)
	}
}

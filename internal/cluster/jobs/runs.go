package jobs

import (
	"strings"

	"ospreypond/internal/cluster/protocol"
)

// applyStarts applies the starts of a command. Those of a gang are applied all or none.
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

// isNextRun reports whether run may be started as the next one of the task.
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
	job.running++
	job.State = protocol.JobRunning
	s.counters.Running++
	s.counters.Started++
}

// applyEnd records an end that a runner reported, and reports whether it ended the task's current run.
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

// applyLoss records that a run exists nowhere, and reports whether it ended the task's current run.
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

// freeLingering removes a run from the runner's lingering ones, and reports whether it was one of them.
func (s *State) freeLingering(record *runnerRecord, id TaskID, run uint64) bool {
	lingering, ok := record.removeLingering(id, run)
	if ok {
		s.counters.Lingering--
		s.effects.FreedRuns = append(s.effects.FreedRuns, FreedRun{Runner: record.id, Lingering: lingering})
	}
	return ok
}

// currentRun returns the task if run is its current one and may exist on the runner, else nil.
func (s *State) currentRun(id TaskID, run uint64, record *runnerRecord) *Task {
	task := s.Task(id)
	if task == nil || task.Phase != Running || task.Run != run || task.Runner != record.id {
		return nil
	}
	return task
}

// detachFromRunner takes a run off its runner; the caller sets the task's phase.
func (s *State) detachFromRunner(task *Task, record *runnerRecord) {
	record.running.remove(task)
	task.Runner = ""
	task.Group.Running--
	task.Group.Job.running--
	s.counters.Running--
	s.effects.EndedRuns = append(s.effects.EndedRuns, task)
}

// keepCheckpointOfEnd keeps the checkpoint that came with an end.
func keepCheckpointOfEnd(task *Task, checkpoint string) {
	if checkpoint == "" || !task.Group.Spec().Checkpoints {
		return
	}
	if task.Group.Spec().Gang {
		task.Group.endCheckpointRun = task.Run
	}
	task.setCheckpoint(checkpoint)
}

// keepCheckpointOfLoss keeps the checkpoint that came with a loss. It was reported before what any end of the same run of
// a gang brings, so an end's stays.
func keepCheckpointOfLoss(task *Task, checkpoint string) {
	if checkpoint == "" || !task.Group.Spec().Checkpoints {
		return
	}
	if task.Group.Spec().Gang && task.Group.endCheckpointRun == task.Run {
		return
	}
	task.setCheckpoint(checkpoint)
}

// setCheckpoint sets the checkpoint of the task, or of its gang.
func (t *Task) setCheckpoint(checkpoint string) {
	if t.Group.Spec().Gang {
		t.Group.Checkpoint = strings.Clone(checkpoint)
	} else {
		t.Checkpoint = strings.Clone(checkpoint)
	}
}

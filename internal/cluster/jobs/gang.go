package jobs

import "ospreypond/internal/cluster/protocol"

// recordGangStart records on the gang that a command starts one of its members.
func (s *State) recordGangStart(start *Start) {
	task := s.Task(start.Task)
	if task == nil || !task.Group.Spec().Gang {
		return
	}
	if task.isStarting || !isNextRun(task, start.Run) {
		task.Group.hasInvalidStart = true
		return
	}
	task.isStarting = true
	task.Group.starting++
}

// clearGangStart clears what recordGangStart recorded.
func (s *State) clearGangStart(start *Start) {
	task := s.Task(start.Task)
	if task == nil {
		return
	}
	task.isStarting = false
	task.Group.starting = 0
	task.Group.hasInvalidStart = false
}

// startsCompletely reports whether the command being applied starts all members of the gang, and each as it may be.
func (g *Group) startsCompletely() bool {
	return !g.hasInvalidStart && g.starting == len(g.Tasks)
}

// transitionGangMember gives a gang's member, whose run has just ended, and its gang their next phases.
func (s *State) transitionGangMember(task *Task, outcome protocol.RunEnd) {
	group := task.Group
	task.Phase = GangEnding
	if outcome == protocol.EndDone && !group.Spec().LongRunning {
		s.completeGang(group)
		return
	}
	if outcome == protocol.EndFailed && !group.Spec().LongRunning && group.failedRun < group.Run {
		group.failedRun = group.Run
		group.Attempts++
		if attemptsExhausted(group.Attempts, group.Job) {
			task.Phase = Failed
			s.failJob(group.Job)
			return
		}
	}
	if group.Running == 0 {
		s.makeGangPending(group)
	}
}

// makeGangPending makes a gang's members Pending again, once no run of it may exist.
func (s *State) makeGangPending(group *Group) {
	for _, task := range group.Tasks {
		task.Checkpoint = group.Checkpoint
		s.makePending(task)
	}
}

// completeGang makes all members Done by the end of one; the runs of the others linger until their own ends.
func (s *State) completeGang(group *Group) {
	for _, task := range group.Tasks {
		if task.Phase == Running {
			s.linger(task)
		}
	}
	for _, task := range group.Tasks {
		s.completeTask(task)
	}
}

func (s *State) linger(task *Task) {
	record := s.runners.records[task.Runner]
	s.detachFromRunner(task, record)
	record.lingering = append(record.lingering, Lingering{
		Task:  task.ID,
		Run:   task.Run,
		Needs: task.Group.Spec().Needs(),
	})
	s.counters.Lingering++
}

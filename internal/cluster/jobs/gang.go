package jobs

import "ospreypond/internal/cluster/protocol"

// recordGangStart prepares the decision on a gang: it counts a valid Start of a member, or records that the gang has an
// invalid Start. It ignores tasks that are not in a gang. It must be called for all Starts of the command before
// startsCompletely is called.
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
	task.Group.startingMembers++
}

// clearGangStart resets the fields that recordGangStart has set, before the next command.
func (s *State) clearGangStart(start *Start) {
	task := s.Task(start.Task)
	if task == nil {
		return
	}
	task.isStarting = false
	task.Group.startingMembers = 0
	task.Group.hasInvalidStart = false
}

// startsCompletely reports whether the command being applied has exactly one valid Start for each member of the gang.
func (g *Group) startsCompletely() bool {
	return !g.hasInvalidStart && g.startingMembers == len(g.Tasks)
}

// transitionGangMember sets the next phase of a gang member after the end of its run, and of the gang's other members if the
// end concerns them:
//   - EndDone completes the complete gang, unless its step is long-running.
//   - The first EndFailed of a gang's run is one failed attempt, unless the step is long-running. If it was the last allowed
//     attempt, the job fails.
//   - Otherwise the member is GangEnding. Once no member is Running, all members become Pending again.
//
// So a gang never starts again while a run of one of its members may exist.
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

// makeGangPending makes all members of a gang Pending again. No run of the gang may exist. The next run of every member
// starts from the gang's checkpoint.
func (s *State) makeGangPending(group *Group) {
	for _, task := range group.Tasks {
		task.Checkpoint = group.Checkpoint
		s.makePending(task)
	}
}

// completeGang makes all members of a gang Done after one member has ended with EndDone. The runs of members that are still
// Running linger until the End or Loss of each run is applied.
func (s *State) completeGang(group *Group) {
	for _, task := range group.Tasks {
		if task.Phase == Running {
			s.makeRunLinger(task)
		}
	}
	for _, task := range group.Tasks {
		s.completeTask(task)
	}
}

// makeRunLinger moves the run of a Running task to the lingering runs of its runner. The caller sets the task's phase.
func (s *State) makeRunLinger(task *Task) {
	record := s.runners.records[task.Runner]
	s.detachFromRunner(task, record)
	record.lingering = append(record.lingering, Lingering{
		Task:  task.ID,
		Run:   task.Run,
		Needs: task.Group.Spec().Needs(),
	})
	s.counters.Lingering++
}

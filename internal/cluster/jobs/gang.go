package jobs

import "ospreypond/internal/cluster/protocol"

// startAll applies the starts of a command. A gang's are applied all or none.
func (s *State) startAll(starts []Start) {
	if len(starts) == 0 {
		return
	}
	applied := make([]bool, len(starts))
	s.effects.Starts = applied
	for i := range starts {
		s.gather(&starts[i])
	}
	for i := range starts {
		task := s.Task(starts[i].Task)
		if task == nil {
			continue
		}
		if !task.Group.Spec().Gang {
			applied[i] = fits(task, starts[i].Run)
		} else {
			applied[i] = !task.Group.spoiled && task.Group.gathered == len(task.Group.Tasks)
		}
		if applied[i] {
			s.run(task, starts[i].Run, starts[i].Runner)
		}
	}
	for i := range starts {
		s.scatter(&starts[i])
	}
}

// fits tells whether run may be started as the next one of the task.
func fits(task *Task, run uint64) bool {
	return task.Phase == Pending && run == task.Run+1
}

// gather notes on the gang that one of its members is to start.
func (s *State) gather(start *Start) {
	task := s.Task(start.Task)
	if task == nil || !task.Group.Spec().Gang {
		return
	}
	if task.gathered || !fits(task, start.Run) {
		task.Group.spoiled = true
		return
	}
	task.gathered = true
	task.Group.gathered++
}

// scatter wipes what gather noted.
func (s *State) scatter(start *Start) {
	task := s.Task(start.Task)
	if task == nil {
		return
	}
	task.gathered = false
	task.Group.gathered = 0
	task.Group.spoiled = false
}

// settleMember gives a gang's member, whose run has just ended, and its gang their next phases.
func (s *State) settleMember(task *Task, how string) {
	group := task.Group
	task.Phase = GangEnding
	if how == protocol.EndDone && !group.Spec().LongRunning {
		s.finishGang(group)
		return
	}
	if how == protocol.EndFailed && !group.Spec().LongRunning && group.failedRun < group.Run {
		group.failedRun = group.Run
		group.Attempts++
		if usedUp(group.Attempts, group.Job) {
			task.Phase = Failed
			s.fail(group.Job)
			return
		}
	}
	if group.Alive == 0 {
		s.regroup(group)
	}
}

// regroup gives a gang its turn again, once no run of it may exist.
func (s *State) regroup(group *Group) {
	for _, task := range group.Tasks {
		task.Checkpoint = group.Checkpoint
		s.hold(task)
	}
}

// finishGang makes all members Done by the end of one; the runs of the others linger until their own ends.
func (s *State) finishGang(group *Group) {
	for _, task := range group.Tasks {
		if task.Phase == Running {
			s.linger(task)
		}
	}
	for _, task := range group.Tasks {
		s.finish(task)
	}
}

func (s *State) linger(task *Task) {
	record := s.runners.records[task.Runner]
	s.leaveRunner(task, record)
	record.lingering = append(record.lingering, Lingering{
		Task:  task.ID,
		Run:   task.Run,
		Needs: task.Group.Spec().Needs(),
	})
	s.counters.Lingering++
}

package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// checkLimit: a runner that does not guard its capacity is not brought over it.
func (a *auditor) checkLimit(run *Run, step *protocol.Step) {
	runner := run.Runner
	if runner.EnforcesCapacity {
		return
	}
	sum := step.Needs()
	for _, other := range a.concurrentWith(run) {
		if _, its := a.stepOf(other.Task); its != nil {
			sum.CPU += its.CPU
			sum.MemoryMB += its.MemoryMB
			sum.GPU += its.GPU
		}
	}
	room := runner.Capacity
	if sum.CPU > room.CPU || sum.MemoryMB > room.MemoryMB || sum.GPU > room.GPU {
		a.violated(RuleLimit, run.Started, "%s run %d brings %s to %+v of %+v", run.TaskText, run.Number, runner.Instance, sum, room)
	}
}

// concurrentWith are the runs that were on the same runner when a run started there.
func (a *auditor) concurrentWith(run *Run) []*Run {
	var others []*Run
	for _, other := range a.byRunner[run.Runner] {
		if other == run {
			break
		}
		if !other.Over(run.Started) {
			others = append(others, other)
		}
	}
	return others
}

// isAcknowledged tells whether a run's end was, then or later, taken note of.
func isAcknowledged(run *Run) bool { return run.Acknowledged != Never && !run.LapsedBeforeAck }

// isAcknowledgedDone tells whether a run ended done before a time, and that end was, then or later, taken note of.
func isAcknowledgedDone(run *Run, before time.Duration) bool {
	return run.EndReason == protocol.EndDone && run.Ended <= before && isAcknowledged(run)
}

// checkTwice: no two runs of a task at one time, and none after its end.
func (a *auditor) checkTwice(run *Run, job *JobRecord, step *protocol.Step) {
	if !step.AtMostOnce {
		for _, other := range a.byTask[run.Task] {
			if other == run {
				break
			}
			if !other.Over(run.Started) {
				a.violated(RuleTwice, run.Started, "%s run %d on %s while run %d is on %s", run.TaskText, run.Number,
					run.Runner.Instance, other.Number, other.Runner.Instance)
			}
		}
	}
	if step.LongRunning {
		return
	}
	for _, other := range a.runsSharingEnd(run, step) {
		if !step.AtMostOnce && isAcknowledgedDone(other, run.Started) && other != run {
			a.violated(RuleTwice, run.Started, "%s run %d started, run %d ended done at %v", run.TaskText, run.Number, other.Number, other.Ended)
			return
		}
	}
	a.checkStartedLate(run, job, step)
}

// runsSharingEnd are the runs whose end done ends the task: for a gang, those of all members.
func (a *auditor) runsSharingEnd(run *Run, step *protocol.Step) []*Run {
	if step.Gang {
		return a.byStep[run.Task.step()]
	}
	return a.byTask[run.Task]
}

// checkStartedLate: a machine in touch starts nothing over a second after its end was taken note of or shown.
func (a *auditor) checkStartedLate(run *Run, job *JobRecord, step *protocol.Step) {
	if !a.isInTouch(run.Runner.Machine, run.Started) {
		return
	}
	since := run.Started - time.Second
	for _, other := range a.runsSharingEnd(run, step) {
		if other.EndReason == protocol.EndDone && isAcknowledged(other) && other.Acknowledged < since {
			a.violated(RuleTwice, run.Started, "%s run %d started, the end of run %d was taken note of at %v",
				run.TaskText, run.Number, other.Number, other.Acknowledged)
			return
		}
	}
	for _, ask := range job.Queries {
		if ask.Answered != Never && ask.State == protocol.JobCompleted && ask.Answered < since {
			a.violated(RuleTwice, run.Started, "%s run %d started, the job was shown as completed at %v", run.TaskText, run.Number, ask.Answered)
			return
		}
	}
}

// isDoneBy tells whether a task had ended done by a time.
func (a *auditor) isDoneBy(task TaskName, step *protocol.Step, at time.Duration) bool {
	runs := a.byTask[task]
	if step.Gang {
		runs = a.byStep[task.step()]
	}
	return slices.ContainsFunc(runs, func(r *Run) bool { return r.EndReason == protocol.EndDone && r.Ended <= at })
}

// checkOrder: not before the steps it depends on, nor before its time.
func (a *auditor) checkOrder(run *Run, job *JobRecord, step *protocol.Step) {
	for _, before := range step.DependsOn {
		earlier := &job.Spec.Steps[before]
		for i := range earlier.Count {
			task := TaskName{run.Task.Job, run.Task.Repetition, before, i}
			if !a.isDoneBy(task, earlier, run.Started) {
				a.violated(RuleOrder, run.Started, "%s run %d started before %s ended done", run.TaskText, run.Number, task)
				return
			}
		}
	}
	if job.Spec.Repetitions == 0 {
		return
	}
	slack := a.Bounds.Early
	if a.clocksJump {
		slack += 5 * time.Second
	}
	if due := dueAt(&job.Spec, run.Task.Repetition); run.Started < due-slack {
		a.violated(RuleOrder, run.Started, "%s run %d started, it falls due at %v", run.TaskText, run.Number, due)
	}
}

// checkRoute: only on runners of the queue's service with the label, and within antiAffinity.
func (a *auditor) checkRoute(run *Run, job *JobRecord, step *protocol.Step) {
	sent := slices.ContainsFunc(a.Configuration, func(c *ConfigurationRecord) bool {
		return c.Routes[job.Queue].Service == run.Runner.Service
	})
	if !sent {
		a.violated(RuleRoute, run.Started, "%s run %d on a runner of %s", run.TaskText, run.Number, run.Runner.Service)
		return
	}
	a.checkService(run, job)
	if step.Requirements != "" && !slices.Contains(run.Runner.Labels, step.Requirements) {
		a.violated(RuleRoute, run.Started, "%s run %d on %s without label %q", run.TaskText, run.Number, run.Runner.Instance, step.Requirements)
	}
	if step.AntiAffinity == 0 {
		return
	}
	count := 1
	for _, other := range a.concurrentWith(run) {
		if other.Task.step() == run.Task.step() {
			count++
		}
	}
	if count > step.AntiAffinity {
		a.violated(RuleRoute, run.Started, "%s run %d is one of %d on %s, %d may be", run.TaskText, run.Number, count,
			run.Runner.Instance, step.AntiAffinity)
	}
}

// checkBudget: no start once as many runs as allowed have ended failed.
func (a *auditor) checkBudget(run *Run, job *JobRecord, step *protocol.Step) {
	most, _ := a.failureBudget(job.Queue)
	if most == 0 || step.LongRunning {
		return
	}
	failed := map[uint64]bool{}
	last := Never
	for _, other := range a.runsSharingEnd(run, step) {
		if other.EndReason == protocol.EndFailed && isAcknowledged(other) && other.Ended <= run.Started {
			failed[other.Number] = true
			last = max(last, other.Acknowledged)
		}
	}
	if len(failed) < most {
		return
	}
	if step.AtMostOnce && (!a.isInTouch(run.Runner.Machine, run.Started) || run.Started <= last+time.Second) {
		return
	}
	a.violated(RuleBudget, run.Started, "%s run %d started after %d ends failed, %d are allowed", run.TaskText, run.Number, len(failed), most)
}

// checkGang: in a calm, no member is left alone; and all bring the same checkpoint.
func (a *auditor) checkGang(run *Run, job *JobRecord, step *protocol.Step) {
	if !step.Gang {
		return
	}
	for _, other := range a.byStep[run.Task.step()] {
		if other == run {
			break
		}
		if other.Number == run.Number && other.Checkpoint != run.Checkpoint {
			a.violated(RuleGang, run.Started, "%s run %d brings %q, another member %q", run.TaskText, run.Number, run.Checkpoint, other.Checkpoint)
			break
		}
	}
	if run.EndReason != protocol.EndAlone {
		return
	}
	cancelled := job.CancelSent()
	if cancelled != Never && cancelled <= run.Ended {
		return
	}
	if a.isInTouch(run.Runner.Machine, run.Started) && a.isCalm(run.Started, run.Ended, planned) {
		a.violated(RuleGang, run.Ended, "%s run %d on %s ended alone", run.TaskText, run.Number, run.Runner.Instance)
	}
}

// checkDrain: nothing starts on a runner long after its draining was acknowledged.
func (a *auditor) checkDrain(run *Run) {
	acknowledged := run.Runner.DrainAcknowledged
	if acknowledged == Never || run.Started <= acknowledged+a.Bounds.Drain {
		return
	}
	if a.isInTouch(run.Runner.Machine, run.Started) && a.isInTouch(run.Runner.Machine, acknowledged) {
		a.violated(RuleDrain, run.Started, "%s run %d started on %s, draining since %v", run.TaskText, run.Number,
			run.Runner.Instance, acknowledged)
	}
}

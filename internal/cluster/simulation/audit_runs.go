package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// startSlack is how long after an acknowledgement that rules a start out a machine in touch may still make it.
const startSlack = time.Second

// checkRun checks one run against the rules for starts.
func (a *auditor) checkRun(run *Run) {
	job, step := a.stepOf(run.Task)
	if step == nil {
		a.violated(RuleUnasked, run.Started, "%s started on %s, nobody submitted it", run.TaskText, run.Runner.Instance)
		return
	}
	a.checkSubmitted(run, job, step)
	a.checkLimit(run, step)
	a.checkTwice(run, job, step)
	a.checkOrder(run, job, step)
	a.checkRoute(run, job, step)
	a.checkBudget(run, job, step)
	a.checkGang(run, job, step)
	a.checkCancelled(run, job)
	a.checkDrain(run)
}

// checkSubmitted (UNASKED): what runs is what a client submitted, and its checkpoint is one of its own.
func (a *auditor) checkSubmitted(run *Run, job *JobRecord, step *protocol.Step) {
	if run.Spec != job.Spec.Spec {
		a.violated(RuleUnasked, run.Started, "%s run %d started with another spec", run.TaskText, run.Number)
	}
	if run.Checkpoint == "" {
		return
	}
	if _, ok := parseCheckpoint(run.Task, step.Gang, run.Checkpoint); !ok || !step.Checkpoints {
		a.violated(RuleUnasked, run.Started, "%s run %d started from %q", run.TaskText, run.Number, run.Checkpoint)
	}
}

// checkLimit (LIMIT): a runner that does not enforce its capacity is not brought over it.
func (a *auditor) checkLimit(run *Run, step *protocol.Step) {
	runner := run.Runner
	if runner.EnforcesCapacity {
		return
	}
	sum := step.Needs()
	for _, other := range a.concurrentWith(run) {
		if _, otherStep := a.stepOf(other.Task); otherStep != nil {
			sum.CPU += otherStep.CPU
			sum.MemoryMB += otherStep.MemoryMB
			sum.GPU += otherStep.GPU
		}
	}
	capacity := runner.Capacity
	if sum.CPU > capacity.CPU || sum.MemoryMB > capacity.MemoryMB || sum.GPU > capacity.GPU {
		a.violated(RuleLimit, run.Started, "%s run %d brings %s to %+v of %+v", run.TaskText, run.Number, runner.Instance, sum, capacity)
	}
}

// concurrentWith returns the other runs that were on the same runner when a run started there.
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

// isAcknowledged reports whether a run's end was acknowledged at some time, before the runner's lease expired.
func isAcknowledged(run *Run) bool { return run.Acknowledged != Never && !run.LapsedBeforeAck }

// isAcknowledgedDone reports whether a run ended done by a time, and that end was acknowledged at some time.
func isAcknowledgedDone(run *Run, by time.Duration) bool {
	return run.EndReason == protocol.EndDone && run.Ended <= by && isAcknowledged(run)
}

// checkTwice (TWICE): no two runs of a task at one time, and none after its end.
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
	for _, other := range a.runsSharingEnd(run.Task, step) {
		if !step.AtMostOnce && isAcknowledgedDone(other, run.Started) && other != run {
			a.violated(RuleTwice, run.Started, "%s run %d started, run %d ended done at %v", run.TaskText, run.Number,
				other.Number, other.Ended)
			return
		}
	}
	a.checkStartedAfterEnd(run, job, step)
}

// runsSharingEnd returns the runs of which one that ends done ends a task: of a gang, those of all members.
func (a *auditor) runsSharingEnd(task TaskName, step *protocol.Step) []*Run {
	if step.Gang {
		return a.byStep[task.step()]
	}
	return a.byTask[task]
}

// checkStartedAfterEnd (TWICE): a machine in touch starts nothing long after its end was acknowledged or shown.
func (a *auditor) checkStartedAfterEnd(run *Run, job *JobRecord, step *protocol.Step) {
	if !a.isInTouch(run.Runner.Machine, run.Started) {
		return
	}
	since := run.Started - startSlack
	for _, other := range a.runsSharingEnd(run.Task, step) {
		if other.EndReason == protocol.EndDone && isAcknowledged(other) && other.Acknowledged < since {
			a.violated(RuleTwice, run.Started, "%s run %d started, the end of run %d was acknowledged at %v",
				run.TaskText, run.Number, other.Number, other.Acknowledged)
			return
		}
	}
	for i := range job.Queries {
		query := &job.Queries[i]
		if query.isAnswered() && query.State == protocol.JobCompleted && query.Answered < since {
			a.violated(RuleTwice, run.Started, "%s run %d started, the job was shown as completed at %v", run.TaskText, run.Number,
				query.Answered)
			return
		}
	}
}

// isDoneBy reports whether a task had ended done by a time.
func (a *auditor) isDoneBy(task TaskName, step *protocol.Step, at time.Duration) bool {
	return slices.ContainsFunc(a.runsSharingEnd(task, step), func(r *Run) bool {
		return r.EndReason == protocol.EndDone && r.Ended <= at
	})
}

// checkOrder (ORDER): nothing starts before the steps that it depends on are done, nor before it is due.
func (a *auditor) checkOrder(run *Run, job *JobRecord, step *protocol.Step) {
	for _, number := range step.DependsOn {
		earlier := &job.Spec.Steps[number]
		for i := range earlier.Count {
			task := TaskName{run.Task.Job, run.Task.Repetition, number, i}
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
	if a.clocksStep {
		const maxStep = 5 * time.Second
		slack += maxStep
	}
	if due := dueAt(&job.Spec, run.Task.Repetition); run.Started < due-slack {
		a.violated(RuleOrder, run.Started, "%s run %d started, it is due at %v", run.TaskText, run.Number, due)
	}
}

// checkRoute (ROUTE): a task runs on runners of its queue's service that have the required label, and on one of them at
// most as many tasks of a step as antiAffinity allows.
func (a *auditor) checkRoute(run *Run, job *JobRecord, step *protocol.Step) {
	isRouted := slices.ContainsFunc(a.Configuration, func(c *ConfigurationRecord) bool {
		return c.Routes[job.Queue].Service == run.Runner.Service
	})
	if !isRouted {
		a.violated(RuleRoute, run.Started, "%s run %d on a runner of %s", run.TaskText, run.Number, run.Runner.Service)
		return
	}
	a.checkService(run, job)
	if step.Requirements != "" && !slices.Contains(run.Runner.Labels, step.Requirements) {
		a.violated(RuleRoute, run.Started, "%s run %d on %s without label %q", run.TaskText, run.Number, run.Runner.Instance,
			step.Requirements)
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

// checkBudget (BUDGET): nothing starts once as many runs as allowed have ended failed.
func (a *auditor) checkBudget(run *Run, job *JobRecord, step *protocol.Step) {
	budget, _ := a.failureBudget(job.Queue)
	if budget == 0 || step.LongRunning {
		return
	}
	failed := map[uint64]bool{}
	last := Never
	for _, other := range a.runsSharingEnd(run.Task, step) {
		if other.EndReason == protocol.EndFailed && isAcknowledged(other) && other.Ended <= run.Started {
			failed[other.Number] = true
			last = max(last, other.Acknowledged)
		}
	}
	if len(failed) < budget {
		return
	}
	if step.AtMostOnce && (!a.isInTouch(run.Runner.Machine, run.Started) || run.Started <= last+startSlack) {
		return
	}
	a.violated(RuleBudget, run.Started, "%s run %d started after %d ends failed, %d are allowed", run.TaskText, run.Number,
		len(failed), budget)
}

// checkGang (GANG): in a calm no member waits for the others in vain, and all start from the same checkpoint.
func (a *auditor) checkGang(run *Run, job *JobRecord, step *protocol.Step) {
	if !step.Gang {
		return
	}
	for _, other := range a.byStep[run.Task.step()] {
		if other == run {
			break
		}
		if other.Number == run.Number && other.Checkpoint != run.Checkpoint {
			a.violated(RuleGang, run.Started, "%s run %d brings %q, another member %q", run.TaskText, run.Number, run.Checkpoint,
				other.Checkpoint)
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
	if a.isInTouch(run.Runner.Machine, run.Started) && a.isCalm(run.Started, run.Ended, isPlanned) {
		a.violated(RuleGang, run.Ended, "%s run %d on %s ended alone", run.TaskText, run.Number, run.Runner.Instance)
	}
}

// cancelBinding returns the time from which a cancel must be followed: its acknowledgement, or the end of the time that
// this may take in a calm; Never if there is none.
func (a *auditor) cancelBinding(job *JobRecord) time.Duration {
	if at := job.CancelAcknowledged(); at != Never {
		return at
	}
	sent := job.CancelSent()
	if sent == Never || job.Accepted == Never || sent < job.Accepted {
		return Never
	}
	until := sent + a.Bounds.AckTimeout
	if a.isCalm(sent, until, isPlanned) {
		return until
	}
	return Never
}

// checkCancelled (UNASKED): nothing starts, and nothing goes on, long after a cancel.
func (a *auditor) checkCancelled(run *Run, job *JobRecord) {
	since := a.cancelBinding(job)
	if since == Never {
		return
	}
	lastStart := since + a.Bounds.Cancel
	if run.Started > lastStart && a.isInTouch(run.Runner.Machine, run.Started) {
		a.violated(RuleUnasked, run.Started, "%s run %d started, the job was cancelled at %v", run.TaskText, run.Number, since)
		return
	}
	stopped := lastStart + a.Bounds.Stop
	if run.Started <= lastStart && !run.Over(stopped) && stopped < a.Ends && a.isCalm(since, stopped, isPlannedOrRunnersLeave) {
		a.violated(RuleUnasked, stopped, "%s run %d still runs, the job was cancelled at %v", run.TaskText, run.Number, since)
	}
}

// checkDrain (DRAIN): nothing starts on a runner long after its `draining` was acknowledged.
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

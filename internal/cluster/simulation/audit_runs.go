package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// startSlack is the allowance of rules that forbid starts after an acknowledgement: until so long after it, an undisturbed
// machine may still start a run, because its order may already be on the way.
const startSlack = time.Second

// checkRun checks one run against the rules on starts, and on ends where a rule demands one.
func (a *auditor) checkRun(run *Run) {
	job, step := a.stepOf(run.Task)
	if step == nil {
		a.violated(RuleUnasked, run.Started, "%s run %d started on %s, no client submitted that task", run.TaskText, run.Number,
			run.Runner.Instance)
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

// checkSubmitted (UNASKED): a run has the spec that the client submitted with the job. If it starts from a checkpoint, its
// step makes checkpoints, and this one belongs to the same task, or to the same step if that is a gang.
func (a *auditor) checkSubmitted(run *Run, job *JobRecord, step *protocol.Step) {
	if run.Spec != job.Spec.Spec {
		a.violated(RuleUnasked, run.Started, "%s run %d started with spec %q, the client submitted %q", run.TaskText, run.Number, run.Spec,
			job.Spec.Spec)
	}
	if run.Checkpoint == "" {
		return
	}
	if _, ok := parseCheckpoint(run.Task, step.Gang, run.Checkpoint); !ok || !step.Checkpoints {
		a.violated(RuleUnasked, run.Started, "%s run %d started from %q, which is no checkpoint of that task", run.TaskText, run.Number,
			run.Checkpoint)
	}
}

// checkLimit (LIMIT): when a run starts, the runs on its runner together need at most the runner's capacity of each
// resource. The rule applies to runners that do not themselves reject runs that do not fit. There is no allowance.
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
		a.violated(RuleLimit, run.Started, "%s run %d raises the use of runner %s to %+v, its capacity is %+v", run.TaskText, run.Number,
			runner.Instance, sum, capacity)
	}
}

// concurrentWith returns the runs that had started on a run's runner before it and were not over when it started.
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

// isAcknowledged reports whether the scheduler acknowledged a run's end at some time, and the runner's lease did not expire
// between the end and that time.
func isAcknowledged(run *Run) bool { return run.Acknowledged != Never && !run.LapsedBeforeAck }

// isAcknowledgedDone reports whether a run ended done by a time and isAcknowledged, perhaps only after that time.
func isAcknowledgedDone(run *Run, by time.Duration) bool {
	return run.EndReason == protocol.EndDone && run.Ended <= by && isAcknowledged(run)
}

// checkTwice (TWICE):
//   - No run of a task starts while an earlier one is not over, unless the step has AtMostOnce, which allows that.
//   - No run starts once a run has ended done, if that end is acknowledged at some time. The acknowledgement may come after
//     the start. Steps with AtMostOnce are exempt, and so are long-running ones, which are restarted after each end.
//   - checkStartedAfterEnd applies to all steps but the long-running ones.
func (a *auditor) checkTwice(run *Run, job *JobRecord, step *protocol.Step) {
	if !step.AtMostOnce {
		for _, other := range a.byTask[run.Task] {
			if other == run {
				break
			}
			if !other.Over(run.Started) {
				a.violated(RuleTwice, run.Started, "%s run %d started on %s while run %d was on %s", run.TaskText, run.Number,
					run.Runner.Instance, other.Number, other.Runner.Instance)
			}
		}
	}
	if step.LongRunning {
		return
	}
	for _, other := range a.runsSharingEnd(run.Task, step) {
		if !step.AtMostOnce && isAcknowledgedDone(other, run.Started) && other != run {
			a.violated(RuleTwice, run.Started, "%s run %d started on %s, but run %d had ended done at %v", run.TaskText, run.Number,
				run.Runner.Instance, other.Number, other.Ended)
			return
		}
	}
	a.checkStartedAfterEnd(run, job, step)
}

// runsSharingEnd returns the runs that share their outcome with a task: once one such run ends done, the task is done. They
// are the runs of that task or, for a gang, the runs of all members.
func (a *auditor) runsSharingEnd(task TaskName, step *protocol.Step) []*Run {
	if step.Gang {
		return a.byStep[task.step()]
	}
	return a.byTask[task]
}

// checkStartedAfterEnd (TWICE): no run starts at the runner of an undisturbed machine later than startSlack after a done end
// of the task was acknowledged, or after a client was shown the job as completed.
func (a *auditor) checkStartedAfterEnd(run *Run, job *JobRecord, step *protocol.Step) {
	if !a.isUndisturbed(run.Runner.Machine, run.Started) {
		return
	}
	since := run.Started - startSlack
	for _, other := range a.runsSharingEnd(run.Task, step) {
		if other.EndReason == protocol.EndDone && isAcknowledged(other) && other.Acknowledged < since {
			a.violated(RuleTwice, run.Started, "%s run %d started later than %v after the done end of run %d was acknowledged at %v",
				run.TaskText, run.Number, startSlack, other.Number, other.Acknowledged)
			return
		}
	}
	for i := range job.Queries {
		query := &job.Queries[i]
		if query.isAnswered() && query.State == protocol.JobCompleted && query.Answered < since {
			a.violated(RuleTwice, run.Started, "%s run %d started later than %v after the job was shown as completed at %v",
				run.TaskText, run.Number, startSlack, query.Answered)
			return
		}
	}
}

// isDoneBy reports whether a task had ended done by a time, acknowledged or not.
func (a *auditor) isDoneBy(task TaskName, step *protocol.Step, at time.Duration) bool {
	return slices.ContainsFunc(a.runsSharingEnd(task, step), func(r *Run) bool {
		return r.EndReason == protocol.EndDone && r.Ended <= at
	})
}

// checkOrder (ORDER): no task starts before all tasks of the steps that its step depends on have ended done. There is no
// allowance. No task of a repetition starts earlier than Bounds.Early before the repetition is due. If any fault of the
// scenario steps a clock, the allowance is maxStep longer, because the scheduler goes by a clock that may be that far ahead.
func (a *auditor) checkOrder(run *Run, job *JobRecord, step *protocol.Step) {
	for _, number := range step.DependsOn {
		earlier := &job.Spec.Steps[number]
		for i := range earlier.Count {
			task := TaskName{run.Task.Job, run.Task.Repetition, number, i}
			if !a.isDoneBy(task, earlier, run.Started) {
				a.violated(RuleOrder, run.Started, "%s run %d started before %s ended done, on which it depends", run.TaskText, run.Number,
					task)
				return
			}
		}
	}
	if job.Spec.Repetitions == 0 {
		return
	}
	slack := a.Bounds.Early
	if a.clocksStep {
		const maxStep = 5 * time.Second // as in stepClock
		slack += maxStep
	}
	if due := dueAt(&job.Spec, run.Task.Repetition); run.Started < due-slack {
		a.violated(RuleOrder, run.Started, "%s run %d started earlier than %v before it was due at %v", run.TaskText, run.Number, slack,
			due)
	}
}

// checkRoute (ROUTE): a run is on a runner of the service that some configuration of the history has for the job's queue.
// The runner has the label that the step requires. When the run starts, the runner has at most as many tasks of the step as
// antiAffinity allows, this one included. checkService checks which configuration the service may come from.
func (a *auditor) checkRoute(run *Run, job *JobRecord, step *protocol.Step) {
	isRouted := slices.ContainsFunc(a.Configuration, func(c *ConfigurationRecord) bool {
		return c.Routes[job.Queue].Service == run.Runner.Service
	})
	if !isRouted {
		a.violated(RuleRoute, run.Started, "%s run %d is on a runner of service %s, to which queue %s was never routed", run.TaskText,
			run.Number, run.Runner.Service, job.Queue.Key())
		return
	}
	a.checkService(run, job)
	if step.Requirements != "" && !slices.Contains(run.Runner.Labels, step.Requirements) {
		a.violated(RuleRoute, run.Started, "%s run %d is on runner %s, which lacks the required label %q", run.TaskText, run.Number,
			run.Runner.Instance, step.Requirements)
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
		a.violated(RuleRoute, run.Started, "%s run %d is one of %d tasks of its step on runner %s, antiAffinity allows %d", run.TaskText,
			run.Number, count, run.Runner.Instance, step.AntiAffinity)
	}
}

// checkBudget (BUDGET): no run starts once as many runs of the task as its queue's budget have ended failed. The highest
// budget of all configurations counts, because the auditor does not know which one the job follows. Only failed ends that
// are acknowledged at some time count, and the members of one gang run count once. A step with AtMostOnce may have another
// run at the same time as the run that failed last. For such a step the rule holds only later than startSlack after the last
// acknowledgement, and on undisturbed machines. Long-running steps have no budget.
func (a *auditor) checkBudget(run *Run, job *JobRecord, step *protocol.Step) {
	budget, _ := a.failureBudget(job.Queue)
	if budget == 0 || step.LongRunning {
		return
	}
	failed := map[uint64]bool{}
	lastAcknowledged := Never
	for _, other := range a.runsSharingEnd(run.Task, step) {
		if other.EndReason == protocol.EndFailed && isAcknowledged(other) && other.Ended <= run.Started {
			failed[other.Number] = true
			lastAcknowledged = max(lastAcknowledged, other.Acknowledged)
		}
	}
	if len(failed) < budget {
		return
	}
	if step.AtMostOnce && (!a.isUndisturbed(run.Runner.Machine, run.Started) || run.Started <= lastAcknowledged+startSlack) {
		return
	}
	a.violated(RuleBudget, run.Started, "%s run %d started after %d runs had ended failed, the budget is %d", run.TaskText, run.Number,
		len(failed), budget)
}

// checkGang (GANG): all members of one gang run start from the same checkpoint. No member ends because it waited for the
// others longer than Bounds.Gang. The latter holds if the member's machine was undisturbed at the start, the span of the run
// is fault-free, and no cancel of the job was sent before the end.
func (a *auditor) checkGang(run *Run, job *JobRecord, step *protocol.Step) {
	if !step.Gang {
		return
	}
	for _, other := range a.byStep[run.Task.step()] {
		if other == run {
			break
		}
		if other.Number == run.Number && other.Checkpoint != run.Checkpoint {
			a.violated(RuleGang, run.Started, "%s run %d started from checkpoint %q, and %s of the same gang from %q", run.TaskText, run.Number,
				run.Checkpoint, other.TaskText, other.Checkpoint)
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
	if a.isUndisturbed(run.Runner.Machine, run.Started) && a.isFaultFree(run.Started, run.Ended, isPlanned) {
		a.violated(RuleGang, run.Ended, "%s run %d on %s ended alone: since %v it had waited for the other members of its gang",
			run.TaskText, run.Number, run.Runner.Instance, run.Started)
	}
}

// cancelBinding returns the time from which the rules treat a cancel as acknowledged, or Never. If no client got an
// acknowledgement, it is Bounds.AckTimeout after the cancel was sent, provided that the job had been accepted before the
// cancel and the time between is fault-free.
func (a *auditor) cancelBinding(job *JobRecord) time.Duration {
	if at := job.CancelAcknowledged(); at != Never {
		return at
	}
	sent := job.CancelSent()
	if sent == Never || job.Accepted == Never || sent < job.Accepted {
		return Never
	}
	until := sent + a.Bounds.AckTimeout
	if a.isFaultFree(sent, until, isPlanned) {
		return until
	}
	return Never
}

// checkCancelled (UNASKED): no run starts on an undisturbed machine later than Bounds.Cancel after the cancel's
// acknowledgement (see cancelBinding). A run that started before then is over after Bounds.Stop more. The latter holds if
// the whole time is fault-free, apart from runners that leave, and the scenario is not over by then.
func (a *auditor) checkCancelled(run *Run, job *JobRecord) {
	since := a.cancelBinding(job)
	if since == Never {
		return
	}
	lastStart := since + a.Bounds.Cancel
	if run.Started > lastStart && a.isUndisturbed(run.Runner.Machine, run.Started) {
		a.violated(RuleUnasked, run.Started, "%s run %d started later than %v after %v, from when on the cancel of its job counts as acknowledged",
			run.TaskText, run.Number, a.Bounds.Cancel, since)
		return
	}
	stopped := lastStart + a.Bounds.Stop
	if run.Started <= lastStart && !run.Over(stopped) && stopped < a.Ends && a.isFaultFree(since, stopped, isPlannedOrRunnersLeave) {
		a.violated(RuleUnasked, stopped, "%s run %d on %s still runs %v after %v, from when on the cancel of its job counts as acknowledged",
			run.TaskText, run.Number, run.Runner.Instance, stopped-since, since)
	}
}

// checkDrain (DRAIN): no run starts on a runner later than Bounds.Drain after the runner's `draining` was acknowledged. This
// holds if the runner's machine was undisturbed at the acknowledgement and at the start.
func (a *auditor) checkDrain(run *Run) {
	acknowledged := run.Runner.DrainAcknowledged
	if acknowledged == Never || run.Started <= acknowledged+a.Bounds.Drain {
		return
	}
	if a.isUndisturbed(run.Runner.Machine, run.Started) && a.isUndisturbed(run.Runner.Machine, acknowledged) {
		a.violated(RuleDrain, run.Started, "%s run %d started on runner %s later than %v after its `draining` was acknowledged at %v",
			run.TaskText, run.Number, run.Runner.Instance, a.Bounds.Drain, acknowledged)
	}
}

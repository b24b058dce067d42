package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// checkSubmitted: only what a client sent, as it was sent.
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

// cancelBinding returns the moment from which a cancel must be followed, or Never: its acknowledgement, or the end of the
// calm time it may take.
func (a *auditor) cancelBinding(job *JobRecord) time.Duration {
	if at := job.CancelAcknowledged(); at != Never {
		return at
	}
	sent := job.CancelSent()
	if sent == Never || job.Accepted == Never || sent < job.Accepted {
		return Never
	}
	until := sent + a.Bounds.AckTimeout
	if a.isCalm(sent, until, planned) {
		return until
	}
	return Never
}

// checkCancelled: nothing starts, and nothing goes on, long after a cancel.
func (a *auditor) checkCancelled(run *Run, job *JobRecord) {
	since := a.cancelBinding(job)
	if since == Never {
		return
	}
	point := since + a.Bounds.Cancel
	if run.Started > point && a.isInTouch(run.Runner.Machine, run.Started) {
		a.violated(RuleUnasked, run.Started, "%s run %d started, the job was cancelled at %v", run.TaskText, run.Number, since)
		return
	}
	stopped := point + a.Bounds.Stop
	if run.Started <= point && !run.Over(stopped) && stopped < a.Ends && a.isCalm(since, stopped, plannedOrLeaving) {
		a.violated(RuleUnasked, stopped, "%s run %d still runs, the job was cancelled at %v", run.TaskText, run.Number, since)
	}
}

// checkJob holds what clients saw of a job against the rules.
func (a *auditor) checkJob(job *JobRecord) {
	a.checkRejected(job)
	for i := range job.Queries {
		a.checkQuery(job, &job.Queries[i])
	}
	a.checkEndOfDay(job)
}

// checkRejected: a job whose every try was rejected never runs.
func (a *auditor) checkRejected(job *JobRecord) {
	runs := a.byJob[job.ID]
	if len(runs) == 0 || len(job.Submissions) == 0 {
		return
	}
	if !slices.ContainsFunc(job.Submissions, func(t Attempt) bool { return !t.rejected() }) {
		a.violated(RuleRefused, runs[0].Started, "%s started, every try to hand it in was rejected", runs[0].TaskText)
	}
}

// checkQuery: a state that is shown has a cause, and a job that was accepted is known.
func (a *auditor) checkQuery(job *JobRecord, ask *Attempt) {
	if ask.Answered == Never {
		return
	}
	if ask.Status == 410 {
		a.checkNotUnknown(job, ask)
		return
	}
	if ask.Status != 200 {
		return
	}
	switch ask.State {
	case protocol.JobQueued, protocol.JobRunning:
	case protocol.JobCompleted:
		a.checkCompleted(job, ask)
	case protocol.JobFailed:
		if !a.failedByBudget(job, ask.Answered) {
			a.violated(RuleLost, ask.Answered, "%s is shown as failed without cause", job.ID)
		}
	case protocol.JobCancelled:
		if sent := job.CancelSent(); sent == Never || sent > ask.Answered {
			a.violated(RuleLost, ask.Answered, "%s is shown as cancelled, nobody cancelled it", job.ID)
		}
	default:
		a.violated(RuleMixed, ask.Answered, "%s is shown as %q", job.ID, ask.State)
	}
}

func (a *auditor) checkNotUnknown(job *JobRecord, ask *Attempt) {
	if job.Accepted == Never || job.CancelSent() != Never || ask.Sent <= job.Accepted+a.Bounds.Visible {
		return
	}
	if a.isInTouch(ask.Machine, ask.Sent) && a.isInTouch(ask.Machine, ask.Answered) {
		a.violated(RuleLost, ask.Answered, "%s is unknown to %s, it was accepted at %v", job.ID, ask.Machine, job.Accepted)
	}
}

// eachTask calls f for each task of a job until f returns false.
func eachTask(job *JobRecord, f func(task TaskName, step *protocol.Step) bool) {
	for k := range max(1, job.Spec.Repetitions) {
		for s := range job.Spec.Steps {
			for i := range job.Spec.Steps[s].Count {
				if !f(TaskName{job.ID, k, s, i}, &job.Spec.Steps[s]) {
					return
				}
			}
		}
	}
}

func (a *auditor) checkCompleted(job *JobRecord, ask *Attempt) {
	eachTask(job, func(task TaskName, step *protocol.Step) bool {
		if step.LongRunning || !a.isDoneBy(task, step, ask.Answered) {
			a.violated(RuleMixed, ask.Answered, "%s is shown as completed, %s has not ended done", job.ID, task)
			return false
		}
		return true
	})
}

// failedByBudget tells whether some task had failed as often as allowed by a time.
func (a *auditor) failedByBudget(job *JobRecord, at time.Duration) bool {
	_, least := a.failureBudget(job.Queue)
	if least == 0 {
		return false
	}
	found := false
	eachTask(job, func(task TaskName, step *protocol.Step) bool {
		if step.LongRunning {
			return true
		}
		failed := map[uint64]bool{}
		for _, run := range a.runsSharingEnd(&Run{Task: task}, step) {
			if run.EndReason == protocol.EndFailed && run.Ended <= at {
				failed[run.Number] = true
			}
		}
		found = len(failed) >= least
		return !found
	})
	return found
}

// checkEndOfDay: after the traffic, each accepted job is known, and none that could run stands still.
func (a *auditor) checkEndOfDay(job *JobRecord) {
	if job.Accepted == Never || a.Ends == 0 {
		return
	}
	known, asked, gone := false, false, Never
	for i := range job.Queries {
		ask := &job.Queries[i]
		if ask.Sent < a.TrafficEnds {
			continue
		}
		asked = true
		if ask.Answered != Never && ask.Status == 200 {
			known = true
		}
		if ask.Answered != Never && ask.Status == 410 && ask.Sent > job.Accepted+a.Bounds.Visible {
			gone = ask.Answered
		}
	}
	switch {
	case !asked:
	case gone != Never && job.CancelSent() == Never:
		a.violated(RuleLost, gone, "%s is unknown at the end, it was accepted at %v", job.ID, job.Accepted)
	case !known && gone == Never:
		a.violated(RuleLost, a.Ends, "%s gets no answer at the end", job.ID)
	}
	for _, idle := range a.StalledJobs {
		if idle.ID == job.ID {
			a.violated(RuleLost, idle.To, "%s has had nothing running since %v, though there is room", job.ID, idle.From)
			return
		}
	}
}

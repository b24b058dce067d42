package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// checkAsked: only what a client sent, as it was sent.
func (a *auditor) checkAsked(run *Run, job *JobRecord, step *protocol.Step) {
	if run.Spec != job.Spec.Spec {
		a.breaks(RuleUnasked, run.Started, "%s run %d started with another spec", run.Text, run.Run)
	}
	if run.Saved == "" {
		return
	}
	if _, ok := readCheckpoint(run.Task, step.Gang, run.Saved); !ok || !step.Checkpoints {
		a.breaks(RuleUnasked, run.Started, "%s run %d started from %q", run.Text, run.Run, run.Saved)
	}
}

// cancelCounts returns the moment from which a cancel must be followed, or Never: its acknowledgement, or the end of the
// calm time it may take.
func (a *auditor) cancelCounts(job *JobRecord) time.Duration {
	if at := job.CancelAcknowledged(); at != Never {
		return at
	}
	sent := job.CancelSent()
	if sent == Never || job.Accepted == Never || sent < job.Accepted {
		return Never
	}
	until := sent + a.Bounds.AckTimeout
	if a.calm(sent, until, planned) {
		return until
	}
	return Never
}

// checkCancelled: nothing starts, and nothing goes on, long after a cancel.
func (a *auditor) checkCancelled(run *Run, job *JobRecord) {
	since := a.cancelCounts(job)
	if since == Never {
		return
	}
	point := since + a.Bounds.Cancel
	if run.Started > point && a.inTouch(run.Runner.Machine, run.Started) {
		a.breaks(RuleUnasked, run.Started, "%s run %d started, the job was cancelled at %v", run.Text, run.Run, since)
		return
	}
	stopped := point + a.Bounds.Stop
	if run.Started <= point && !run.Over(stopped) && stopped < a.Ends && a.calm(since, stopped, plannedOrLeaving) {
		a.breaks(RuleUnasked, stopped, "%s run %d still runs, the job was cancelled at %v", run.Text, run.Run, since)
	}
}

// checkJob holds what clients saw of a job against the rules.
func (a *auditor) checkJob(job *JobRecord) {
	a.checkRefused(job)
	for i := range job.Asks {
		a.checkAsk(job, &job.Asks[i])
	}
	a.checkFinish(job)
}

// checkRefused: a job whose every try was rejected never runs.
func (a *auditor) checkRefused(job *JobRecord) {
	runs := a.byJob[job.ID]
	if len(runs) == 0 || len(job.HandIns) == 0 {
		return
	}
	if !slices.ContainsFunc(job.HandIns, func(t Try) bool { return !t.rejected() }) {
		a.breaks(RuleRefused, runs[0].Started, "%s started, every try to hand it in was rejected", runs[0].Text)
	}
}

// checkAsk: a state that is shown has a cause, and a job that was accepted is known.
func (a *auditor) checkAsk(job *JobRecord, ask *Try) {
	if ask.Answered == Never {
		return
	}
	if ask.Status == 410 {
		a.checkGone(job, ask)
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
			a.breaks(RuleLost, ask.Answered, "%s is shown as failed without cause", job.ID)
		}
	case protocol.JobCancelled:
		if sent := job.CancelSent(); sent == Never || sent > ask.Answered {
			a.breaks(RuleLost, ask.Answered, "%s is shown as cancelled, nobody cancelled it", job.ID)
		}
	default:
		a.breaks(RuleMixed, ask.Answered, "%s is shown as %q", job.ID, ask.State)
	}
}

func (a *auditor) checkGone(job *JobRecord, ask *Try) {
	if job.Accepted == Never || job.CancelSent() != Never || ask.Sent <= job.Accepted+a.Bounds.Visible {
		return
	}
	if a.inTouch(ask.Machine, ask.Sent) && a.inTouch(ask.Machine, ask.Answered) {
		a.breaks(RuleLost, ask.Answered, "%s is unknown to %s, it was accepted at %v", job.ID, ask.Machine, job.Accepted)
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

func (a *auditor) checkCompleted(job *JobRecord, ask *Try) {
	eachTask(job, func(task TaskName, step *protocol.Step) bool {
		if step.LongRunning || !a.doneBy(task, step, ask.Answered) {
			a.breaks(RuleMixed, ask.Answered, "%s is shown as completed, %s has not ended done", job.ID, task)
			return false
		}
		return true
	})
}

// failedByBudget tells whether some task had failed as often as allowed by a time.
func (a *auditor) failedByBudget(job *JobRecord, at time.Duration) bool {
	_, least := a.attempts(job.Queue)
	if least == 0 {
		return false
	}
	found := false
	eachTask(job, func(task TaskName, step *protocol.Step) bool {
		if step.LongRunning {
			return true
		}
		failed := map[uint64]bool{}
		for _, run := range a.sameEnd(&Run{Task: task}, step) {
			if run.How == protocol.EndFailed && run.Ended <= at {
				failed[run.Run] = true
			}
		}
		found = len(failed) >= least
		return !found
	})
	return found
}

// checkFinish: after the traffic, each accepted job is known, and none that could run stands still.
func (a *auditor) checkFinish(job *JobRecord) {
	if job.Accepted == Never || a.Ends == 0 {
		return
	}
	known, asked, gone := false, false, Never
	for i := range job.Asks {
		ask := &job.Asks[i]
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
		a.breaks(RuleLost, gone, "%s is unknown at the end, it was accepted at %v", job.ID, job.Accepted)
	case !known && gone == Never:
		a.breaks(RuleLost, a.Ends, "%s gets no answer at the end", job.ID)
	}
	for _, idle := range a.Idle {
		if idle.ID == job.ID {
			a.breaks(RuleLost, idle.To, "%s has had nothing running since %v, though there is room", job.ID, idle.From)
			return
		}
	}
}

package simulation

import (
	"net/http"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// checkJob checks what clients saw of a job.
func (a *auditor) checkJob(job *JobRecord) {
	a.checkRejected(job)
	for i := range job.Queries {
		a.checkQuery(job, &job.Queries[i])
	}
	a.checkKnownAtEnd(job)
	a.checkStalled(job)
}

// checkRejected (REFUSED): a job of which every submission was rejected never runs.
func (a *auditor) checkRejected(job *JobRecord) {
	runs := a.byJob[job.ID]
	if len(runs) == 0 || len(job.Submissions) == 0 {
		return
	}
	if !slices.ContainsFunc(job.Submissions, func(t Attempt) bool { return !t.rejected() }) {
		a.violated(RuleRefused, runs[0].Started, "%s started, every submission was rejected", runs[0].TaskText)
	}
}

// checkQuery (MIXED, LOST): a state that is shown has a cause, and a job that was accepted is known.
func (a *auditor) checkQuery(job *JobRecord, query *Attempt) {
	if !query.isAnswered() {
		return
	}
	if query.Status == http.StatusGone {
		a.checkKnown(job, query)
		return
	}
	if query.Status != http.StatusOK {
		return
	}
	switch query.State {
	case protocol.JobQueued, protocol.JobRunning:
	case protocol.JobCompleted:
		a.checkCompleted(job, query)
	case protocol.JobFailed:
		if !a.hasExhaustedBudget(job, query.Answered) {
			a.violated(RuleLost, query.Answered, "%s is shown as failed without cause", job.ID)
		}
	case protocol.JobCancelled:
		if sent := job.CancelSent(); sent == Never || sent > query.Answered {
			a.violated(RuleLost, query.Answered, "%s is shown as cancelled, nobody cancelled it", job.ID)
		}
	default:
		a.violated(RuleMixed, query.Answered, "%s is shown as %q", job.ID, query.State)
	}
}

// isUnknownTooLate reports whether a query was sent after a job must be known, and answered that it is unknown.
func (a *auditor) isUnknownTooLate(job *JobRecord, query *Attempt) bool {
	return query.isAnswered() && query.Status == http.StatusGone && query.Sent > job.Accepted+a.Bounds.Visible
}

// isWronglyUnknown reports whether a job that must be known was answered to be unknown. One that was cancelled need not be.
func (a *auditor) isWronglyUnknown(job *JobRecord, query *Attempt) bool {
	return job.Accepted != Never && job.CancelSent() == Never && a.isUnknownTooLate(job, query)
}

// checkKnown: a machine in touch knows a job that was accepted.
func (a *auditor) checkKnown(job *JobRecord, query *Attempt) {
	if a.isWronglyUnknown(job, query) && a.isInTouch(query.Machine, query.Sent) && a.isInTouch(query.Machine, query.Answered) {
		a.violated(RuleLost, query.Answered, "%s is unknown to %s, it was accepted at %v", job.ID, query.Machine, job.Accepted)
	}
}

// eachTask calls f for each task of a job until f returns false.
func eachTask(job *JobRecord, f func(task TaskName, step *protocol.Step) bool) {
	for repetition := range max(1, job.Spec.Repetitions) {
		for s := range job.Spec.Steps {
			for i := range job.Spec.Steps[s].Count {
				if !f(TaskName{job.ID, repetition, s, i}, &job.Spec.Steps[s]) {
					return
				}
			}
		}
	}
}

// checkCompleted: a job is shown as completed only when all its tasks have ended done.
func (a *auditor) checkCompleted(job *JobRecord, query *Attempt) {
	eachTask(job, func(task TaskName, step *protocol.Step) bool {
		if step.LongRunning || !a.isDoneBy(task, step, query.Answered) {
			a.violated(RuleMixed, query.Answered, "%s is shown as completed, %s has not ended done", job.ID, task)
			return false
		}
		return true
	})
}

// hasExhaustedBudget reports whether by a time some task of a job had failed as often as it may.
func (a *auditor) hasExhaustedBudget(job *JobRecord, at time.Duration) bool {
	_, budget := a.failureBudget(job.Queue)
	if budget == 0 {
		return false
	}
	found := false
	eachTask(job, func(task TaskName, step *protocol.Step) bool {
		if step.LongRunning {
			return true
		}
		failed := map[uint64]bool{}
		for _, run := range a.runsSharingEnd(task, step) {
			if run.EndReason == protocol.EndFailed && run.Ended <= at {
				failed[run.Number] = true
			}
		}
		found = len(failed) >= budget
		return !found
	})
	return found
}

// checkKnownAtEnd (LOST): after the traffic, each accepted job is known.
func (a *auditor) checkKnownAtEnd(job *JobRecord) {
	if job.Accepted == Never || a.Ends == 0 {
		return
	}
	isKnown, wasQueried, unknownAt := false, false, Never
	for i := range job.Queries {
		query := &job.Queries[i]
		if query.Sent < a.TrafficEnds {
			continue
		}
		wasQueried = true
		if query.isAnswered() && query.Status == http.StatusOK {
			isKnown = true
		}
		if a.isUnknownTooLate(job, query) {
			unknownAt = query.Answered
		}
	}
	switch {
	case !wasQueried:
	case unknownAt != Never && job.CancelSent() == Never:
		a.violated(RuleLost, unknownAt, "%s is unknown at the end, it was accepted at %v", job.ID, job.Accepted)
	case !isKnown && unknownAt == Never:
		a.violated(RuleLost, a.Ends, "%s gets no answer at the end", job.ID)
	}
}

// checkStalled (LOST): after the traffic, no accepted job is stalled.
func (a *auditor) checkStalled(job *JobRecord) {
	if job.Accepted == Never || a.Ends == 0 {
		return
	}
	for _, stalled := range a.StalledJobs {
		if stalled.ID == job.ID {
			a.violated(RuleLost, stalled.To, "%s has had nothing running since %v, though there is capacity", job.ID, stalled.From)
			return
		}
	}
}

package simulation

import (
	"net/http"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// checkJob checks the responses that clients got for a job.
func (a *auditor) checkJob(job *JobRecord) {
	a.checkRejected(job)
	for i := range job.Queries {
		a.checkQuery(job, &job.Queries[i])
	}
	a.checkKnownAtEnd(job)
	a.checkStalled(job)
}

// checkRejected (REFUSED): no task of a job starts if every submission of the job was rejected. A submission without a
// response or with a status that leaves the outcome open, such as 504, is not a rejection.
func (a *auditor) checkRejected(job *JobRecord) {
	runs := a.byJob[job.ID]
	if len(runs) == 0 || len(job.Submissions) == 0 {
		return
	}
	if !slices.ContainsFunc(job.Submissions, func(t Attempt) bool { return !t.rejected() }) {
		a.violated(RuleRefused, runs[0].Started, "%s run %d started, although each of the %d submissions of its job was rejected",
			runs[0].TaskText, runs[0].Number, len(job.Submissions))
	}
}

// checkQuery checks one response to a query of a job's state:
//   - MIXED: the state exists, and the job is shown as completed only if all its tasks have ended done.
//   - LOST: the job is shown as failed only if a task has used up its budget, and as cancelled only if a cancel was sent.
//   - LOST: an accepted job is not unknown, see checkKnown.
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
			a.violated(RuleLost, query.Answered, "job %s is shown as failed, but none of its tasks has used up its budget of failed runs", job.ID)
		}
	case protocol.JobCancelled:
		if sent := job.CancelSent(); sent == Never || sent > query.Answered {
			a.violated(RuleLost, query.Answered, "job %s is shown as cancelled, but no client had sent a cancel", job.ID)
		}
	default:
		a.violated(RuleMixed, query.Answered, "job %s is shown in the state %q, which does not exist", job.ID, query.State)
	}
}

// isUnknownTooLate reports whether the response to a query says that a job is unknown, though the query was sent later than
// Bounds.Visible after the job was accepted.
func (a *auditor) isUnknownTooLate(job *JobRecord, query *Attempt) bool {
	return query.isAnswered() && query.Status == http.StatusGone && query.Sent > job.Accepted+a.Bounds.Visible
}

// isWronglyUnknown reports whether a response says that an accepted job is unknown when it must be known everywhere. A job
// may be unknown after a client sent its cancel.
func (a *auditor) isWronglyUnknown(job *JobRecord, query *Attempt) bool {
	return job.Accepted != Never && job.CancelSent() == Never && a.isUnknownTooLate(job, query)
}

// checkKnown (LOST): a machine that was undisturbed from the query to its response knows a job that was accepted more than
// Bounds.Visible before the query.
func (a *auditor) checkKnown(job *JobRecord, query *Attempt) {
	if a.isWronglyUnknown(job, query) && a.isUndisturbed(query.Machine, query.Sent) && a.isUndisturbed(query.Machine, query.Answered) {
		a.violated(RuleLost, query.Answered, "job %s is unknown to %s later than %v after it was accepted at %v", job.ID, query.Machine,
			a.Bounds.Visible, job.Accepted)
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

// checkCompleted (MIXED): a job is shown as completed only when all its tasks have ended done. A job with a long-running
// step is never completed.
func (a *auditor) checkCompleted(job *JobRecord, query *Attempt) {
	eachTask(job, func(task TaskName, step *protocol.Step) bool {
		if step.LongRunning || !a.isDoneBy(task, step, query.Answered) {
			a.violated(RuleMixed, query.Answered, "job %s is shown as completed, but its task %s has not ended done", job.ID, task)
			return false
		}
		return true
	})
}

// hasExhaustedBudget reports whether some task of a job had as many failed runs by a time as its queue's budget. The lowest
// budget of all configurations counts, because the auditor does not know which one the job follows. Runs of a gang with the
// same number count once.
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

// checkKnownAtEnd (LOST): if clients query an accepted job after the end of the traffic, some response gives its state, and
// none says later than Bounds.Visible after the acceptance that the job is unknown. A cancelled job may be unknown. Faults
// do not excuse a violation of this rule.
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
		a.violated(RuleLost, unknownAt, "job %s is unknown after the end of the traffic, it was accepted at %v", job.ID, job.Accepted)
	case !isKnown && unknownAt == Never:
		a.violated(RuleLost, a.Ends, "no query for job %s after the end of the traffic at %v got its state", job.ID, a.TrafficEnds)
	}
}

// checkStalled (LOST): after the traffic, no accepted job is stalled for stallThreshold. See Deployment.sampleStalledJobs.
func (a *auditor) checkStalled(job *JobRecord) {
	if job.Accepted == Never || a.Ends == 0 {
		return
	}
	for _, stalled := range a.StalledJobs {
		if stalled.ID == job.ID {
			a.violated(RuleLost, stalled.To, "job %s has had no run since %v, although a task is due and there is capacity for it", job.ID,
				stalled.From)
			return
		}
	}
}

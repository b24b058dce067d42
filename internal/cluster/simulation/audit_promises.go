package simulation

import (
	"net/http"
	"slices"
	"time"
)

// AuditPromises returns the violations of the scheduler's promises beyond the rules: some responses are right at all times,
// even from machines that a fault has cut off from the control processes.
func AuditPromises(history *History) []Violation {
	a := &auditor{History: history}
	for _, job := range history.JobOrder {
		a.checkNeverUnknown(job)
		a.checkNeverAccepted(job)
	}
	a.checkExactResponses()
	return a.found
}

// checkNeverUnknown (LOST): no machine responds that a job is unknown to a query that was sent later than Bounds.Visible
// after the job was accepted. Cancelled jobs are exempt.
func (a *auditor) checkNeverUnknown(job *JobRecord) {
	for i := range job.Queries {
		if query := &job.Queries[i]; a.isWronglyUnknown(job, query) {
			a.violated(RuleLost, query.Answered, "promised: job %s is unknown to %s, it was accepted at %v and must be known %v later", job.ID,
				query.Machine, job.Accepted, a.Bounds.Visible)
		}
	}
}

// checkNeverAccepted (UNASKED): a 410 to a cancel says that no shard has the job and that none accepts it later. So no
// submission of the job is answered with 2xx, before or after that, no query shows a state of the job, and none of its tasks
// runs. The scenarios are too short for a job to be forgotten after its end.
func (a *auditor) checkNeverAccepted(job *JobRecord) {
	gone := slices.IndexFunc(job.Cancels, func(t Attempt) bool { return t.isAnswered() && t.Status == http.StatusGone })
	if gone < 0 {
		return
	}
	at := job.Cancels[gone].Answered
	report := func(when time.Duration, what string) {
		a.violated(RuleUnasked, when, "promised: %s of job %s, whose cancel was answered with 410 at %v", what, job.ID, at)
	}
	for i := range job.Submissions {
		if submission := &job.Submissions[i]; submission.isAnswered() && isSuccess(submission.Status) {
			report(submission.Answered, "acceptance")
		}
	}
	for i := range job.Queries {
		if query := &job.Queries[i]; query.isAnswered() && isSuccess(query.Status) {
			report(query.Answered, "state "+query.State)
		}
	}
	for _, run := range a.Runs {
		if run.Task.Job == job.ID {
			report(run.Started, "run on "+run.Runner.Instance)
		}
	}
}

// checkExactResponses (CONFIG): if a newer version was acknowledged more than Bounds.ConfigApply before a request was sent,
// no machine answers the request by an older version. This holds for the response that a queue does not exist, and for the
// number of jobs that are pending in a queue.
func (a *auditor) checkExactResponses() {
	records := a.possiblyInForce()
	for _, o := range a.observations() {
		if o.found && !o.pendingQuery {
			continue // a frontend may accept a submission by an older version: the owner of the job's shard checks it again
		}
		floor := a.newestAt(o.attempt.Sent - a.Bounds.ConfigApply - time.Nanosecond)
		if _, newest := a.versionsExplaining(&o, records); newest < floor {
			a.violated(RuleConfig, o.attempt.Answered, "promised: %s answers %d for queue %s, as version %d or older would; version %d was acknowledged more than %v before the request",
				o.attempt.Machine, o.attempt.Status, o.queue.Key(), newest, floor, a.Bounds.ConfigApply)
		}
	}
}

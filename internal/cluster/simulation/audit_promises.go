package simulation

import "time"

// AuditPromises returns the violations of what the scheduler promises beyond the rules: that some responses are right at
// all times, and not only those of machines that are in touch with the control processes.
func AuditPromises(history *History) []Violation {
	a := &auditor{History: history}
	for _, job := range history.JobOrder {
		a.checkNeverUnknown(job)
	}
	a.checkExactResponses()
	return a.found
}

// checkNeverUnknown: no machine responds that a job is unknown once it must be known everywhere.
func (a *auditor) checkNeverUnknown(job *JobRecord) {
	for i := range job.Queries {
		if query := &job.Queries[i]; a.isWronglyUnknown(job, query) {
			a.violated(RuleLost, query.Answered, "promised: %s is unknown to %s, it was accepted at %v", job.ID, query.Machine,
				job.Accepted)
		}
	}
}

// checkExactResponses: no machine responds that there is no such queue, or how many jobs are pending in one, by a
// configuration that was replaced long before the request was sent.
func (a *auditor) checkExactResponses() {
	records := a.possiblyInForce()
	for _, o := range a.observations() {
		if o.found && !o.pendingQuery {
			continue // a submission may follow an older one, which the owner of the job's shard checks
		}
		floor := a.newestAt(o.attempt.Sent - a.Bounds.ConfigApply - time.Nanosecond)
		if _, newest := a.versionsOf(&o, records); newest < floor {
			a.violated(RuleConfig, o.attempt.Answered, "promised: %s answers %d for %s, as version %d or older would; %d was acknowledged long ago",
				o.attempt.Machine, o.attempt.Status, o.queue.Key(), newest, floor)
		}
	}
}

package simulation

import "time"

// AuditPromises returns where a ledger breaks what the scheduler promises beyond the rules: some answers are right at all
// times, and not only from machines that are in touch with the core.
func AuditPromises(ledger *History) []Violation {
	a := &auditor{History: ledger}
	for _, job := range ledger.JobOrder {
		a.checkNeverUnknown(job)
	}
	a.checkExactAnswers()
	return a.found
}

// checkNeverUnknown: no machine answers that a job is unknown once it must be known everywhere.
func (a *auditor) checkNeverUnknown(job *JobRecord) {
	if job.Accepted == Never || job.CancelSent() != Never {
		return
	}
	for i := range job.Queries {
		ask := &job.Queries[i]
		if ask.Answered != Never && ask.Status == 410 && ask.Sent > job.Accepted+a.Bounds.Visible {
			a.violated(RuleLost, ask.Answered, "promised: %s is unknown to %s, it was accepted at %v", job.ID, ask.Machine, job.Accepted)
		}
	}
}

// checkExactAnswers: no machine says that there is no such queue, or counts one, by a configuration that was replaced
// long before it was asked.
func (a *auditor) checkExactAnswers() {
	records := a.possiblyInForce()
	for _, s := range a.observations() {
		if s.found && !s.pendingQuery {
			continue // a hand-in may go by an older one, which its owner checks
		}
		floor := a.newestAt(s.attempt.Sent - a.Bounds.ConfigApply - time.Nanosecond)
		if _, most := a.versionsOf(&s, records); most < floor {
			a.violated(RuleConfig, s.attempt.Answered, "promised: %s answers %d for %s, as version %d or older would; %d was acknowledged long ago",
				s.attempt.Machine, s.attempt.Status, s.queue.Key(), most, floor)
		}
	}
}

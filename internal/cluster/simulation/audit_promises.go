package simulation

import "time"

// AuditPromises returns where a ledger breaks what the scheduler promises beyond the rules: some answers are right at all
// times, and not only from machines that are in touch with the core.
func AuditPromises(ledger *Ledger) []Violation {
	a := &auditor{Ledger: ledger}
	for _, job := range ledger.JobOrder {
		a.checkNeverGone(job)
	}
	a.checkExactAnswers()
	return a.found
}

// checkNeverGone: no machine answers that a job is unknown once it must be known everywhere.
func (a *auditor) checkNeverGone(job *JobRecord) {
	if job.Accepted == Never || job.CancelSent() != Never {
		return
	}
	for i := range job.Asks {
		ask := &job.Asks[i]
		if ask.Answered != Never && ask.Status == 410 && ask.Sent > job.Accepted+a.Bounds.Visible {
			a.breaks(RuleLost, ask.Answered, "promised: %s is unknown to %s, it was accepted at %v", job.ID, ask.Machine, job.Accepted)
		}
	}
}

// checkExactAnswers: no machine says that there is no such queue, or counts one, by a configuration that was replaced
// long before it was asked.
func (a *auditor) checkExactAnswers() {
	records := a.mayBe()
	for _, s := range a.sights() {
		if s.found && !s.count {
			continue // a hand-in may go by an older one, which its owner checks
		}
		floor := a.newestAt(s.try.Sent - a.Bounds.ConfigApply - time.Nanosecond)
		if _, most := a.versionsOf(&s, records); most < floor {
			a.breaks(RuleConfig, s.try.Answered, "promised: %s answers %d for %s, as version %d or older would; %d was acknowledged long ago",
				s.try.Machine, s.try.Status, s.queue.Key(), most, floor)
		}
	}
}

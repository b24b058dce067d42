package simulation

import (
	"slices"
	"time"
)

const (
	overloadSettling = 15 * time.Second // after the loss of the runners, until service is judged
	maxServedAge     = 10 * time.Second // a quick job that takes longer has no value any more
	minServed        = 0.25             // of the quick jobs
)

// checkOverload checks that a service which has lost most of its runners for good still serves its urgent jobs while they
// have value: what has none any more must not be done in their place.
func (a *auditor) checkOverload() {
	lost := slices.IndexFunc(a.Faults, func(f Fault) bool { return f.Kind == LoneRunner })
	if lost < 0 {
		return
	}
	submitted, served := 0, 0
	for _, job := range a.JobOrder {
		sent := job.Submissions[0].Sent
		isJudged := sent >= a.Faults[lost].From+overloadSettling && sent+maxServedAge <= a.TrafficEnds
		if job.Queue.Prefix != "/quick/" || job.Spec.Repetitions > 0 || len(job.Cancels) > 0 || !isJudged {
			continue
		}
		submitted++
		if a.isJobDoneBy(job, sent+maxServedAge) {
			served++
		}
	}
	if float64(served) < minServed*float64(submitted) {
		a.violated(RuleRecover, a.TrafficEnds, "%d of %d quick jobs were done while they had value", served, submitted)
	}
}

// isJobDoneBy reports whether all tasks of a job without repetitions had ended done at a time.
func (a *auditor) isJobDoneBy(job *JobRecord, at time.Duration) bool {
	for number := range job.Spec.Steps {
		step := &job.Spec.Steps[number]
		for index := range step.Count {
			if !a.isDoneBy(TaskName{Job: job.ID, Step: number, Index: index}, step, at) {
				return false
			}
		}
	}
	return true
}

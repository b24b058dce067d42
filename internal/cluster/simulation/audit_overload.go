package simulation

import (
	"slices"
	"time"
)

const (
	overloadSettling = 15 * time.Second // from the loss of the runners to the first submission that counts
	maxServedAge     = 10 * time.Second // from a quick job's submission until its result is worthless
	minServed        = 0.25             // fraction of the quick jobs that must be done within maxServedAge
)

// checkOverload (RECOVER): a service that has permanently lost all runners but one still completes minServed of its urgent
// jobs while their results have value. A scheduler that runs jobs which are too old to have value in their place fails
// this. Jobs count that were submitted to the queue "/quick/" once and not cancelled, from overloadSettling after the loss,
// early enough that maxServedAge passes before the traffic ends.
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
		a.violated(RuleRecover, a.TrafficEnds, "%d of %d quick jobs were done within %v of their submission, at least %.2f of them must be",
			served, submitted, maxServedAge, minServed)
	}
}

// isJobDoneBy reports whether all tasks of a job without repetitions had ended done by a time.
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

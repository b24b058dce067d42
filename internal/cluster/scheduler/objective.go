package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
)

// timeToObjective returns the time until the job's objective, less what the steps that follow the group will take. It is
// negative if the job is late.
func (o *Owner) timeToObjective(clockMs int64, group *jobs.Group) time.Duration {
	job := group.Job
	begunMs := job.AcceptedMs
	if job.Spec.Repetitions > 0 {
		begunMs = job.Spec.FirstRunMs + int64(group.Repetition)*job.Spec.IntervalMs
	}
	total, following := o.criticalPath(job, group.Step)
	extension := max(job.Queue.Extension, 1)
	objective := time.Duration(job.Queue.TargetLatencyMs)*time.Millisecond + time.Duration(extension*float64(total))
	return time.Duration(begunMs-clockMs)*time.Millisecond + objective - following
}

// criticalPath returns the predicted time of the job's longest chain of dependent steps, and of the longest chain that
// follows a step.
func (o *Owner) criticalPath(job *jobs.Job, step int) (total, following time.Duration) {
	steps := job.Spec.Steps
	chains := make([]time.Duration, len(steps)) // longest chain from the step's start to the end
	for i := len(steps) - 1; i >= 0; i-- {
		own := o.planner.Predictor().Predict(job.Queue.Key, "", steps[i].EstimatedMs)
		chains[i] += own
		total = max(total, chains[i])
		for _, earlier := range steps[i].DependsOn {
			if earlier >= 0 && earlier < i {
				chains[earlier] = max(chains[earlier], chains[i])
			}
		}
		if i == step {
			following = chains[i] - own
		}
	}
	return total, following
}

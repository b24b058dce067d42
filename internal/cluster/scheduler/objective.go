package scheduler

import (
	"math"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// maxLateObjectives is the multiple of its objective after which a job earns nothing any more.
const maxLateObjectives = 3

// valueTimes are how long a step has until it can no longer contribute to the job's value, less what the steps that follow
// it will take. They are negative once that moment has passed.
type valueTimes struct {
	toObjective time.Duration // the job is late afterwards
	toWorthless time.Duration // the job earns nothing afterwards
}

// valueTimesOf returns the value times of a group at a time of day, from the predicted runtimes.
func (o *Owner) valueTimesOf(clockMs int64, group *jobs.Group) valueTimes {
	job := group.Job
	begunMs := job.AcceptedMs
	if job.Spec.Repetitions > 0 {
		begunMs = job.Spec.FirstRunMs + int64(group.Repetition)*job.Spec.IntervalMs
	}
	path := o.criticalPath(job, group.Step)
	sinceBegun := time.Duration(clockMs-begunMs) * time.Millisecond
	return valueTimes{
		toObjective: objectiveOf(&job.Queue, path.typical) - path.following - sinceBegun,
		toWorthless: maxLateObjectives*objectiveOf(&job.Queue, path.upperBound) - path.following - sinceBegun,
	}
}

// objectiveOf returns the objective of a job of a queue, from the runtime of its longest chain of steps.
func objectiveOf(queue *protocol.Queue, chain time.Duration) time.Duration {
	extension := max(queue.Extension, 1)
	return time.Duration(queue.TargetLatencyMs)*time.Millisecond + time.Duration(extension*float64(chain))
}

// criticalPath is the predicted runtime of a job's longest chain of dependent steps.
type criticalPath struct {
	typical    time.Duration // if each step takes as long as one of its tasks
	upperBound time.Duration // that it nearly always ends within: the job's objective may count that much
	following  time.Duration // of the typical chain that follows a step
}

// criticalPath returns the critical path of a job, and what of it follows a step.
func (o *Owner) criticalPath(job *jobs.Job, step int) (path criticalPath) {
	steps := job.Spec.Steps
	typical := make([]time.Duration, len(steps)) // the chain from the step's start to the end
	bounds := make([]time.Duration, len(steps))  // the same of upper bounds
	for i := len(steps) - 1; i >= 0; i-- {
		own := o.planner.Predictor().Predict(job.Queue.Key, "", steps[i].EstimatedMs)
		typical[i] += own
		bounds[i] += o.stepUpperBound(&job.Queue, &steps[i])
		path.typical = max(path.typical, typical[i])
		path.upperBound = max(path.upperBound, bounds[i])
		for _, earlier := range steps[i].DependsOn {
			if earlier >= 0 && earlier < i {
				typical[earlier] = max(typical[earlier], typical[i])
				bounds[earlier] = max(bounds[earlier], bounds[i])
			}
		}
		if i == step {
			path.following = typical[i] - own
		}
	}
	return path
}

// stepUpperBound returns a time that a step nearly always ends within: that of the task that takes longest, several times if
// the step is so wide that it runs in waves.
func (o *Owner) stepUpperBound(queue *protocol.Queue, step *protocol.Step) time.Duration {
	bound := o.planner.Predictor().PredictUpperBound(queue.Key, step.EstimatedMs, step.Count)
	return bound * time.Duration(o.wavesOf(queue.Service, step))
}

// objectiveFraction is the fraction of a service that one step may use at once, as objectives are reckoned.
const objectiveFraction = 0.25

// wavesOf returns how many times a step's runtime counts in the objective of its job.
func (o *Owner) wavesOf(service string, step *protocol.Step) int {
	if step.Gang || step.LongRunning {
		return 1
	}
	width := dominantFraction(step.Needs(), step.Count, o.capacities[service])
	return max(1, int(math.Ceil(width/objectiveFraction)))
}

// coresPerGPU is what an accelerator counts as when work is compared, as it is priced.
const coresPerGPU = 8

// remainingWork returns the work that is left of a group's job, in its repetition, in core-seconds. Long-running steps count
// as none.
func (o *Owner) remainingWork(group *jobs.Group) float64 {
	job := group.Job
	work := 0.0
	for _, step := range job.GroupsOf(group.Repetition) {
		spec := step.Spec()
		if spec.LongRunning {
			continue
		}
		cores := float64(spec.CPU)/1000 + coresPerGPU*float64(spec.GPU)
		runtime := o.planner.Predictor().Predict(job.Queue.Key, "", spec.EstimatedMs)
		work += float64(step.Unfinished) * cores * runtime.Seconds()
	}
	return work
}

// classify returns what a group's pending tasks can still contribute to their job's value, and when that changes.
func (o *Owner) classify(now time.Duration, group *jobs.Group) (class valueClass, changesAt time.Duration) {
	step := group.Spec()
	if step.LongRunning {
		return fullValue, never
	}
	times := o.valueTimesOf(o.clockMs(now), group)
	runtime := o.planner.Predictor().Predict(group.Job.Queue.Key, "", step.EstimatedMs)
	switch {
	case times.toObjective > runtime:
		return fullValue, now + times.toObjective - runtime
	case times.toWorthless > runtime:
		return lateValue, now + times.toWorthless - runtime
	default:
		return noValue, never
	}
}

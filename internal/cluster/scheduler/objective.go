package scheduler

import (
	"math"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// expiryFactor is the expiry of a job divided by its objective. The value of a job is
// reduced if it takes longer than its objective, and zero if it takes longer than its expiry.
const expiryFactor = 3

// timeLeft has the latest times at which a step may end if its job is to meet its objective and its expiry. Each is the
// deadline of the job less the predicted runtime of the steps that follow. Both are relative to now, and negative once
// they have passed.
type timeLeft struct {
	toObjective time.Duration // a step that ends later makes its job late
	toExpiry    time.Duration // a step that ends later makes its job lose all value
}

// timeLeftOf returns the time left of a group at a time of day, in ms since 1970. For a job with repetitions, the
// elapsed time starts at the planned start of the group's repetition. For any other job it starts at the job's
// acceptance.
//
//	toObjective = objective(typical chain) - following - elapsed
//	toExpiry    = expiryFactor * objective(upper bound of the chain) - following - elapsed
//
// The expiry is computed from the upper bound because the exact objective depends on actual runtimes, which may exceed the
// predictions. A step therefore expires only when its job has almost certainly lost all value.
func (o *Owner) timeLeftOf(clockMs int64, group *jobs.Group) timeLeft {
	job := group.Job
	begunMs := job.AcceptedMs
	if job.Spec.Repetitions > 0 {
		begunMs = job.Spec.FirstRunMs + int64(group.Repetition)*job.Spec.IntervalMs
	}
	path := o.criticalPath(job, group.Step)
	sinceBegun := time.Duration(clockMs-begunMs) * time.Millisecond
	return timeLeft{
		toObjective: objectiveOf(&job.Queue, path.typical) - path.following - sinceBegun,
		toExpiry:    expiryFactor*objectiveOf(&job.Queue, path.upperBound) - path.following - sinceBegun,
	}
}

// objectiveOf returns the objective of a job: the target latency of its queue plus the extension factor of the queue, at
// least 1, times the runtime of the job's longest chain of dependent steps.
func objectiveOf(queue *protocol.Queue, chain time.Duration) time.Duration {
	extension := max(queue.Extension, 1)
	return time.Duration(queue.TargetLatencyMs)*time.Millisecond + time.Duration(extension*float64(chain))
}

// criticalPath has predicted runtimes of a job's longest chain of dependent steps.
type criticalPath struct {
	typical    time.Duration // runtime of the longest chain if each step takes the predicted runtime of one task
	upperBound time.Duration // runtime that the longest chain almost never exceeds
	following  time.Duration // typical runtime of the longest chain that follows the given step
}

// criticalPath returns the critical path of a job, with following for the given step.
func (o *Owner) criticalPath(job *jobs.Job, step int) (path criticalPath) {
	steps := job.Spec.Steps
	typical := make([]time.Duration, len(steps)) // by step: the longest chain that begins with the step
	bounds := make([]time.Duration, len(steps))  // the same with the upper bounds of the steps
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

// stepUpperBound returns a runtime that a step almost never exceeds: the upper bound for the slowest of its tasks,
// times the number of waves (see wavesOf).
func (o *Owner) stepUpperBound(queue *protocol.Queue, step *protocol.Step) time.Duration {
	bound := o.planner.Predictor().PredictUpperBound(queue.Key, step.EstimatedMs, step.Count)
	return bound * time.Duration(o.wavesOf(queue.Service, step))
}

// waveFraction is the fraction of a service's capacity, by dominant resource, that the upper bound of a chain assumes one
// step to use at a time. A step that needs more is assumed to run in several waves.
const waveFraction = 0.25

// wavesOf returns the number of waves in which a step is assumed to run: one for a gang and for a long-running step.
func (o *Owner) wavesOf(service string, step *protocol.Step) int {
	if step.Gang || step.LongRunning {
		return 1
	}
	width := dominantFraction(step.Needs(), step.Count, o.capacities[service])
	return max(1, int(math.Ceil(width/waveFraction)))
}

// coresPerGPU is the price of an accelerator in cores. It converts the work on accelerators to core-seconds.
const coresPerGPU = 8

// remainingWork returns the work that is left of a group's job in the group's repetition, in core-seconds: the sum over
// all unfinished tasks of predicted runtime times cores, with accelerators converted to cores. Long-running steps aren't
// counted, because they have no end.
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

// classify returns the deadline class of a group on the assumption that its tasks start now, and the time at which the
// class is expected to change. A long-running step has no deadline, so it is always in classOnTime.
func (o *Owner) classify(now time.Duration, group *jobs.Group) (class deadlineClass, changesAt time.Duration) {
	step := group.Spec()
	if step.LongRunning {
		return classOnTime, never
	}
	left := o.timeLeftOf(o.clockMs(now), group)
	runtime := o.planner.Predictor().Predict(group.Job.Queue.Key, "", step.EstimatedMs)
	switch {
	case left.toObjective > runtime:
		return classOnTime, now + left.toObjective - runtime
	case left.toExpiry > runtime:
		return classLate, now + left.toExpiry - runtime
	default:
		return classExpired, never
	}
}

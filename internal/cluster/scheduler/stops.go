package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
)

const (
	// A run is stopped after it has made no progress for minStallTimeout or for stallFraction of its predicted runtime,
	// whichever is longer.
	minStallTimeout = 2500 * time.Millisecond
	stallFraction   = 0.3
	// endReportTime is the longest time from the end of a run until the runner has reported it, with a margin. A draining
	// runner may not live long enough to report the end of a run that ends later.
	endReportTime = 500 * time.Millisecond
	// minPercentSeen is the progress, in percent of the run's work since it was first listed, from which on the progress
	// predicts the remaining time better than the runtime predictor does.
	minPercentSeen = 10
	// stopOrderTime is the longest time from the decision to stop a run until the order reaches its runner, with a margin.
	stopOrderTime = 500 * time.Millisecond
)

// stop decides to stop a run. Each answer to the runner orders the stop until the end or loss of the run is proposed.
func (o *Owner) stop(r *runner, key runKey) {
	if r.isStopping(key) {
		return
	}
	r.stops[key] = true
	o.counters.Stops++
}

// stopStalledOrDraining stops runs that make no progress, and runs on a draining runner that mustEvict selects.
func (o *Owner) stopStalledOrDraining(now time.Duration, r *runner) {
	for _, task := range o.state.RunsOn(r.instance) {
		key := runKey{task.ID, task.Run}
		entry := r.listed[key]
		if entry == nil || task.Phase != jobs.Running || o.proposals.isEnding(key) {
			continue
		}
		if o.isStalled(now, r, task, entry) {
			o.counters.Stalled++
			r.history.addFailed(1)
			o.stop(r, key)
			continue
		}
		if r.isDraining && o.mustEvict(now, r, task, entry) {
			o.stop(r, key)
		}
	}
}

// isStalled reports whether a run has made no progress for too long and is not being stopped yet.
func (o *Owner) isStalled(now time.Duration, r *runner, task *jobs.Task, entry *listedRun) bool {
	step := task.Group.Spec()
	if step.LongRunning || r.isStopping(runKey{task.ID, task.Run}) {
		return false
	}
	timeout := max(minStallTimeout, time.Duration(stallFraction*float64(o.predict(r, task))))
	if step.Gang {
		timeout += o.options.GangWait // the member may be waiting for other members to start
	}
	return now-entry.progressAt > timeout
}

// mustEvict reports whether a run on a draining runner must be stopped now, so that its task can run elsewhere:
//
//   - A long-running run must be stopped at once.
//   - A run that is expected to end, and to be reported, before the runner ends may continue.
//   - A run that writes checkpoints may continue until just enough time is left to stop it. The stop writes a
//     checkpoint, which then covers as much work as possible.
//   - Any other run must be stopped at once, because its work is lost in any case.
func (o *Owner) mustEvict(now time.Duration, r *runner, task *jobs.Task, entry *listedRun) bool {
	step := task.Group.Spec()
	if step.LongRunning {
		return true
	}
	left := r.drainDeadline - now
	if entry.timeToEnd(now, o.predict(r, task))+endReportTime < left {
		return false
	}
	if step.Checkpoints {
		return left < o.options.StopTime+stopOrderTime
	}
	return true
}

// timeToEnd returns the expected remaining time of the run. It extrapolates the progress since the run was first listed, or
// uses the predicted runtime of the complete run while that progress is below minPercentSeen.
func (e *listedRun) timeToEnd(now, predicted time.Duration) time.Duration {
	left := 100 - min(e.percent, 100)
	seen := e.percent - e.firstPercent
	if seen < minPercentSeen {
		return time.Duration(left / 100 * float64(predicted))
	}
	return time.Duration(left / seen * float64(now-e.since))
}

// stopBrokenGangs stops the running members of each gang in which a member's run has ended and the member isn't done.
func (o *Owner) stopBrokenGangs(effects *jobs.Effects) {
	for _, task := range effects.EndedRuns {
		if !task.Group.Spec().Gang || task.Phase == jobs.Done {
			continue
		}
		for _, member := range task.Group.Tasks {
			if member.Phase != jobs.Running {
				continue
			}
			if r := o.runners.current[member.Runner]; r != nil {
				o.stop(r, runKey{member.ID, member.Run})
			}
		}
	}
}

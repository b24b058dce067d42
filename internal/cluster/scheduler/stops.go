package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
)

const (
	minStallTimeout = 2500 * time.Millisecond // least time without progress after which a run is stopped
	stallFraction   = 0.3                     // the same, of the predicted runtime
	// endReportTime is the time from the end of a run until its report has certainly left its runner, with some margin: what
	// ends later than that before a runner is gone may never be known to have ended.
	endReportTime = 500 * time.Millisecond
	// minPercentSeen is the progress of a run, in percent, from which on it tells more of the time that is left than the
	// prediction does.
	minPercentSeen = 10
	// stopOrderTime is the time from the decision to stop a run until the order reaches its runner, with some margin.
	stopOrderTime = 500 * time.Millisecond
)

// stop orders a run to be stopped, in each answer until its end is listed.
func (o *Owner) stop(r *runner, key runKey) {
	if r.isStopping(key) {
		return
	}
	r.stops[key] = true
	o.counters.Stops++
}

// stopStalledOrDraining stops runs that make no progress, and those that cannot end before a draining runner is gone.
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
		if r.isDraining && o.mustMove(now, r, task, entry) {
			o.stop(r, key)
		}
	}
}

// isStalled reports whether a run has made no progress for too long, and was not stopped for it yet.
func (o *Owner) isStalled(now time.Duration, r *runner, task *jobs.Task, entry *listedRun) bool {
	step := task.Group.Spec()
	if step.LongRunning || r.isStopping(runKey{task.ID, task.Run}) {
		return false
	}
	timeout := max(minStallTimeout, time.Duration(stallFraction*float64(o.predict(r, task))))
	if step.Gang {
		timeout += o.options.GangWait // it may be waiting for the others
	}
	return now-entry.progressAt > timeout
}

// mustMove reports whether a run on a draining runner is to be stopped now so that it can go on elsewhere: a long-running
// one at once; one with checkpoints as late as its checkpoint can still be written; any other at once if it can't end in
// time.
func (o *Owner) mustMove(now time.Duration, r *runner, task *jobs.Task, entry *listedRun) bool {
	step := task.Group.Spec()
	if step.LongRunning {
		return true
	}
	left := r.drainsUntil - now
	if entry.timeToEnd(now, o.predict(r, task))+endReportTime < left {
		return false
	}
	if step.Checkpoints {
		return left < o.options.StopTime+stopOrderTime
	}
	return true
}

// timeToEnd returns how long the run will go on: by its progress here, or by the predicted runtime while there is too little.
func (e *listedRun) timeToEnd(now, predicted time.Duration) time.Duration {
	left := 100 - min(e.percent, 100)
	seen := e.percent - e.firstPercent
	if seen < minPercentSeen {
		return time.Duration(left / 100 * float64(predicted))
	}
	return time.Duration(left / seen * float64(now-e.since))
}

// stopBrokenGangs stops the remaining members of a gang's run of which one has ended.
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

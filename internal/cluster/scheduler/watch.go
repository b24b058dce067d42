package scheduler

import (
	"math"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// outcomes is a runner's record of late: what share of what it began it failed or let stand still.
type outcomes struct {
	good, bad float64
	slow      float64 // smoothed logarithm of the ratio of runtimes here to those predicted for the kind
}

const (
	outcomeFade   = 0.8  // how much of the record each new outcome leaves
	doubtfulFault = 0.25 // what a failure counts if the same job fails elsewhere too
	distrustFrom  = 0.9  // weight of failures from which a runner is distrusted at all
)

func (c *outcomes) add(good, bad float64) {
	c.good = c.good*outcomeFade + good
	c.bad = c.bad*outcomeFade + bad
}

// distrust is 0 for a runner without a record of failures, up to 1 for one that fails all that it begins.
func (c *outcomes) distrust() float64 {
	if c.bad < distrustFrom {
		return 0
	}
	return c.bad / (c.good + c.bad + 0.5)
}

const (
	slowFade  = 0.85 // how much of the smoothed ratio each new one leaves
	slowLeast = 0.25 // bounds of one ratio
	slowMost  = 12.0
	slowEven  = 1.8 // up to which a runner is taken to be as its kind: hints are far off, one by one
)

// addRatio notes how long a run took here, over what was predicted.
func (c *outcomes) addRatio(ratio float64) {
	ratio = min(max(ratio, slowLeast), slowMost)
	c.slow = c.slow*slowFade + math.Log(ratio)*(1-slowFade)
}

// slowness is 1 for a runner that is as its kind, more for a slow one.
func (c *outcomes) slowness() float64 {
	slowness := math.Exp(c.slow)
	if slowness <= slowEven {
		return 1
	}
	return slowness
}

// learn takes what an end tells of runtimes and of the runner.
func (o *Owner) learn(now time.Duration, r *runner, key runKey, finished *protocol.FinishedRun) {
	task := o.state.Task(key.task)
	if task == nil || task.Run != key.run || o.isEnding(key) {
		return
	}
	switch finished.How {
	case protocol.EndDone:
		r.record.add(1, 0)
		o.learnTime(now, r, key, task)
	case protocol.EndFailed:
		o.blame(r, task)
	}
}

func (o *Owner) learnTime(now time.Duration, r *runner, key runKey, task *jobs.Task) {
	entry := r.listed[key]
	step := task.Group.Spec()
	if entry == nil || !entry.observed || task.Checkpoint != "" || step.LongRunning {
		return
	}
	far := step.Affinity != "" && step.Affinity != r.rack()
	if step.Gang && step.RackLocal {
		return
	}
	took := now - entry.since
	predicted := o.predict(r, task)
	if far {
		predicted = time.Duration(float64(predicted) * o.options.FarFactor)
	}
	if predicted > 0 {
		r.record.addRatio(float64(took) / float64(predicted))
	}
	if slowness := r.record.slowness(); slowness > 1 {
		return // what a slow runner takes tells nothing of its kind
	}
	o.planner.Predictor().Observe(task.Group.Job.Queue.Key, r.kind(), step.EstimatedMs, took, far)
}

// blame weighs a failure between the runner and the job: a job that fails on several runners is at fault itself.
func (o *Owner) blame(r *runner, task *jobs.Task) {
	id := task.ID.Job
	places := o.failedOn[id]
	if places == nil {
		places = map[string]bool{}
		o.failedOn[id] = places
	}
	places[r.instance] = true
	weight := 1.0
	if len(places) > 1 {
		weight = doubtfulFault
	}
	r.record.add(0, weight)
}

const (
	stallLeast = 2500 * time.Millisecond // least time without progress that makes a run a stalled one
	stallShare = 0.3                     // the same as a share of the predicted runtime
)

// watch stops runs that make no progress, and those that will not end before a draining runner leaves.
func (o *Owner) watch(now time.Duration, r *runner) {
	for _, task := range o.state.RunsOn(r.instance) {
		key := runKey{task.ID, task.Run}
		entry := r.listed[key]
		if entry == nil || task.Phase != jobs.Running || o.isEnding(key) {
			continue
		}
		if o.stalled(now, r, task, entry) {
			o.counters.Stalled++
			r.record.add(0, 1)
			o.stop(now, r, key)
			continue
		}
		if r.draining && o.mustMove(now, r, task, entry) {
			o.stop(now, r, key)
		}
	}
}

func (o *Owner) stalled(now time.Duration, r *runner, task *jobs.Task, entry *listing) bool {
	step := task.Group.Spec()
	if step.LongRunning {
		return false
	}
	if _, stopping := r.stops[runKey{task.ID, task.Run}]; stopping {
		return false
	}
	limit := max(stallLeast, time.Duration(stallShare*float64(o.predict(r, task))))
	if step.Gang {
		limit += o.options.GangWait // it may be waiting for the others
	}
	return now-entry.movedAt > limit
}

func (o *Owner) predict(r *runner, task *jobs.Task) time.Duration {
	return o.planner.Predictor().Predict(task.Group.Job.Queue.Key, r.kind(), task.Group.Spec().EstimatedMs)
}

// mustMove tells that a run on a draining runner is to be stopped now so that it can go on elsewhere. What lasts moves
// at once; what saves is stopped as late as its checkpoint can still be written; the rest at once if it can't end in time.
func (o *Owner) mustMove(now time.Duration, r *runner, task *jobs.Task, entry *listing) bool {
	step := task.Group.Spec()
	if step.LongRunning {
		return true
	}
	left := r.leaving - now
	remaining := time.Duration(float64(o.predict(r, task)) * (1 - min(entry.percent, 100)/100))
	if remaining < left {
		return false
	}
	if step.Checkpoints {
		return left < o.options.StopTime+moveSlack
	}
	return true
}

// moveSlack is the time from the decision to stop a run until the order reaches its runner, with some to spare.
const moveSlack = 500 * time.Millisecond

// stopBrokenGangs stops the members that are left of a gang's run of which one has ended.
func (o *Owner) stopBrokenGangs(now time.Duration, effects *jobs.Effects) {
	for _, task := range effects.EndedRuns {
		if !task.Group.Spec().Gang || task.Phase == jobs.Done {
			continue
		}
		for _, member := range task.Group.Tasks {
			if member.Phase != jobs.Running {
				continue
			}
			if r := o.runners[member.Runner]; r != nil {
				o.stop(now, r, runKey{member.ID, member.Run})
			}
		}
	}
}

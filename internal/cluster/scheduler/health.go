package scheduler

import (
	"math"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

const (
	historyDecay        = 0.8  // what each new outcome leaves of the weights before it
	sharedFailureWeight = 0.25 // of a failure of a job that has failed on another runner too
	minFailureWeight    = 0.9  // weight of failures from which the failure score is above 0
)

const (
	slownessDecay     = 0.85 // what each new ratio leaves of the smoothed one
	minRuntimeRatio   = 0.25 // limits of one ratio
	maxRuntimeRatio   = 12.0
	toleratedSlowness = 1.8 // up to which a runner counts as fast as its kind: estimates are far off, one by one
)

// runHistory summarizes how runs of a runner ended of late: exponentially decaying weights of those that it did and of
// those that it failed or did not advance, and how their runtimes compare with those predicted for its kind.
type runHistory struct {
	doneWeight, failedWeight float64
	logRatio                 float64 // smoothed logarithm of actual over predicted runtime
}

func (h *runHistory) addDone() { h.add(1, 0) }

func (h *runHistory) addFailed(weight float64) { h.add(0, weight) }

func (h *runHistory) add(done, failed float64) {
	h.doneWeight = h.doneWeight*historyDecay + done
	h.failedWeight = h.failedWeight*historyDecay + failed
}

// failureScore returns 0 for a runner without a history of failures, up to 1 for one that fails all that it starts.
func (h *runHistory) failureScore() float64 {
	if h.failedWeight < minFailureWeight {
		return 0
	}
	return h.failedWeight / (h.doneWeight + h.failedWeight + 0.5)
}

// addRuntimeRatio adds the ratio of a run's runtime to the predicted one.
func (h *runHistory) addRuntimeRatio(ratio float64) {
	ratio = min(max(ratio, minRuntimeRatio), maxRuntimeRatio)
	h.logRatio = h.logRatio*slownessDecay + math.Log(ratio)*(1-slownessDecay)
}

// slowness returns 1 for a runner that is as fast as its kind, more for a slower one.
func (h *runHistory) slowness() float64 {
	slowness := math.Exp(h.logRatio)
	if slowness <= toleratedSlowness {
		return 1
	}
	return slowness
}

// jobFaults are the runners on which a job has failed, by job.
type jobFaults map[string]map[string]bool

// failureWeight records a failure of the job on the runner, and returns how much of it is the runner's fault: a job that
// fails on several runners is probably at fault itself.
func (f jobFaults) failureWeight(job, instance string) float64 {
	failedOn := f[job]
	if failedOn == nil {
		failedOn = map[string]bool{}
		f[job] = failedOn
	}
	failedOn[instance] = true
	if len(failedOn) > 1 {
		return sharedFailureWeight
	}
	return 1
}

// learn updates the runner's history and the predictor of runtimes by the end of a run.
func (o *Owner) learn(now time.Duration, r *runner, key runKey, outcome protocol.RunEnd) {
	task := o.state.Task(key.task)
	if task == nil || task.Run != key.run || o.proposals.isEnding(key) {
		return
	}
	switch outcome {
	case protocol.EndDone:
		r.history.addDone()
		o.learnRuntime(now, r, key, task)
	case protocol.EndFailed:
		r.history.addFailed(o.faults.failureWeight(task.ID.Job, r.instance))
	}
}

func (o *Owner) learnRuntime(now time.Duration, r *runner, key runKey, task *jobs.Task) {
	entry := r.listed[key]
	step := task.Group.Spec()
	if entry == nil || !entry.startedHere || task.Checkpoint != "" || step.LongRunning {
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
		r.history.addRuntimeRatio(float64(took) / float64(predicted))
	}
	if r.history.slowness() > 1 {
		return // the runtime on a slow runner says nothing of its kind
	}
	o.planner.Predictor().Observe(task.Group.Job.Queue.Key, r.kind(), step.EstimatedMs, took, far)
}

// predict returns the predicted runtime of the task on a runner of this kind.
func (o *Owner) predict(r *runner, task *jobs.Task) time.Duration {
	return o.planner.Predictor().Predict(task.Group.Job.Queue.Key, r.kind(), task.Group.Spec().EstimatedMs)
}

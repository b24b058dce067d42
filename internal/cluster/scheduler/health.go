package scheduler

import (
	"math"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// Outcomes of runs, for the failure score.
const (
	historyDecay        = 0.8  // factor on the weights of all earlier outcomes when another run ends
	sharedFailureWeight = 0.25 // weight of a failure of a job that has failed on another runner too; other failures weigh 1
	minFailureWeight    = 0.9  // weight of failures below which the failure score is 0
)

// Ratios of the actual runtime to the predicted one, for the slowness.
const (
	slownessDecay     = 0.85 // weight of the earlier ratios in their moving average when another ratio is added
	minRuntimeRatio   = 0.25 // smaller ratios are raised to this
	maxRuntimeRatio   = 12.0 // larger ratios are lowered to this
	toleratedSlowness = 1.8  // a slowness up to this is taken as 1, because single predictions are inaccurate
)

// runHistory summarizes the recent runs of a runner, for its failure score and its slowness. doneWeight is the
// exponentially decayed count of runs that were done. failedWeight is the decayed sum of the weights of runs that
// failed or made no progress.
type runHistory struct {
	doneWeight, failedWeight float64
	logRatio                 float64 // moving average of the logarithm of actual over predicted runtime; 0 without runs
}

func (h *runHistory) addDone() { h.add(1, 0) }

func (h *runHistory) addFailed(weight float64) { h.add(0, weight) }

func (h *runHistory) add(done, failed float64) {
	h.doneWeight = h.doneWeight*historyDecay + done
	h.failedWeight = h.failedWeight*historyDecay + failed
}

// failureScore returns the weight of failures over the weight of all outcomes plus 0.5: below 1, and near 1 for a
// runner on which every run fails. It returns 0 if the weight of failures is below minFailureWeight, because they are
// few or old.
func (h *runHistory) failureScore() float64 {
	if h.failedWeight < minFailureWeight {
		return 0
	}
	return h.failedWeight / (h.doneWeight + h.failedWeight + 0.5)
}

// addRuntimeRatio adds the ratio of a run's runtime to the runtime predicted for the runner's kind.
func (h *runHistory) addRuntimeRatio(ratio float64) {
	ratio = min(max(ratio, minRuntimeRatio), maxRuntimeRatio)
	h.logRatio = h.logRatio*slownessDecay + math.Log(ratio)*(1-slownessDecay)
}

// slowness returns how many times longer runs take on the runner than predicted for its kind: 1 up to toleratedSlowness.
func (h *runHistory) slowness() float64 {
	slowness := math.Exp(h.logRatio)
	if slowness <= toleratedSlowness {
		return 1
	}
	return slowness
}

// jobFailures has, by job, the instances of the runners on which a run of the job has failed.
type jobFailures map[string]map[string]bool

// failureWeight records a failure of the job on the runner, and returns its weight in the runner's history. A job that has
// failed on several runners probably causes the failures itself, so such a failure weighs less.
func (f jobFailures) failureWeight(job, instance string) float64 {
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

// recordOutcome updates the runner's history and the runtime predictor with the end of a run. It ignores a run whose
// end or loss has been proposed or committed already, so that it doesn't record a run twice.
func (o *Owner) recordOutcome(now time.Duration, r *runner, key runKey, outcome protocol.RunEnd) {
	task := o.state.Task(key.task)
	if task == nil || task.Run != key.run || o.proposals.isEnding(key) {
		return
	}
	switch outcome {
	case protocol.EndDone:
		r.history.addDone()
		o.recordRuntime(now, r, key, task)
	case protocol.EndFailed:
		r.history.addFailed(o.jobFailures.failureWeight(task.ID.Job, r.instance))
	}
}

// recordRuntime updates the runner's slowness and the runtime predictor with the runtime of a run that is done. It
// ignores three sorts of runs: runs that this owner hasn't started or that resumed from a checkpoint, because their
// full runtime is unknown; long-running runs; and members of rack-local gangs, because their runtime depends on the
// racks of the whole gang.
func (o *Owner) recordRuntime(now time.Duration, r *runner, key runKey, task *jobs.Task) {
	entry := r.listed[key]
	step := task.Group.Spec()
	if entry == nil || !entry.startedHere || task.Checkpoint != "" || step.LongRunning {
		return
	}
	nonLocal := step.Affinity != "" && step.Affinity != r.rack()
	if step.Gang && step.RackLocal {
		return
	}
	took := now - entry.since
	predicted := o.predict(r, task)
	if nonLocal {
		predicted = time.Duration(float64(predicted) * o.options.NonLocalFactor)
	}
	if predicted > 0 {
		r.history.addRuntimeRatio(float64(took) / float64(predicted))
	}
	if r.history.slowness() > 1 {
		return // the runtime on a slow runner isn't representative of its kind
	}
	o.planner.Predictor().Observe(task.Group.Job.Queue.Key, r.kind(), step.EstimatedMs, took, nonLocal)
}

// predict returns the predicted runtime of the task on a runner of r's kind.
func (o *Owner) predict(r *runner, task *jobs.Task) time.Duration {
	return o.planner.Predictor().Predict(task.Group.Job.Queue.Key, r.kind(), task.Group.Spec().EstimatedMs)
}

package placement

import "slices"

// Parameters of the cost of a pairing, from section 5.1 of the Kairos paper.
const (
	timeLeftFraction   = 0.98 // the paper's xi: a pairing is late if its runtime exceeds this part of the task's time left
	latePenaltyFactor  = 10   // cost of a late pairing, divided by the round's largest time left (equation 8)
	minLargestTimeLeft = 1.0  // in seconds; a smaller largest time left is raised to this
)

// Additions to the cost of the paper. The first two make the runtime longer. The weights are fractions of the runtime
// that are added to the cost of a pairing, so they choose among pairings with nearly equal costs by the paper.
const (
	failureScoreWeight = 2.0  // the expected runtime is longer by this factor times the runner's failure score
	warmingUpFraction  = 0.5  // the runtime on a runner that warms up is longer by this fraction of the rest of the warm-up
	speedWeight        = 0.02 // prefers the faster of two runners
	packWeight         = 0.02 // prefers the runner with the least capacity left over, so that large tasks fit on others
	sameStepWeight     = 0.01 // prefers a runner with tasks of the same step, so that the loss of a runner affects fewer jobs
	gpuWasteWeight     = 0.05 // avoids accelerators for tasks that don't need any
	spreadWeight       = 0.3  // avoids other long-running tasks on the runner; added for each of them
	rackWeight         = 0.05 // avoids other long-running tasks in the rack; added for each of them
	forbiddenCost      = 1e7  // cost of a pairing that the filters forbid
)

// pairingCost returns the cost of equations 4 and 8: weight (C_j) x runtime (L_ij), or the penalty if the runtime exceeds
// timeLeftFraction of the time left (equation 5). Times are in seconds.
func pairingCost(weight, runtime, timeLeft, largestTimeLeft float64) float64 {
	if runtime > timeLeftFraction*timeLeft {
		return latePenaltyFactor * largestTimeLeft
	}
	return weight * runtime
}

// predictRuntimes predicts the runtime of each task on each kind of runner, and computes the weight of each kind
// (definition 1): the runtime of the largest task on its fastest kind, divided by its runtime on this kind.
func (p *Planner) predictRuntimes() {
	width := len(p.kinds)
	p.runtimes = p.runtimes[:0]
	largest, largestIndex := 0.0, 0
	for i := range p.tasks {
		task := &p.tasks[i]
		if i > 0 && task.SizeMs == p.tasks[i-1].SizeMs && task.Queue == p.tasks[i-1].Queue {
			p.runtimes = append(p.runtimes, p.runtimes[len(p.runtimes)-width:]...)
			continue
		}
		for _, kind := range p.kinds {
			p.runtimes = append(p.runtimes, p.predictor.Predict(task.Queue, kind, task.SizeMs).Seconds())
		}
		if fastest := p.fastestRuntime(i); fastest > largest {
			largest, largestIndex = fastest, i
		}
	}
	p.weights = p.weights[:0]
	for _, runtime := range p.runtimesOf(largestIndex) {
		p.weights = append(p.weights, largest/runtime)
	}
}

// runtimesOf returns the predicted runtimes of a task in seconds, by kind of runner.
func (p *Planner) runtimesOf(task int) []float64 {
	width := len(p.kinds)
	return p.runtimes[task*width : (task+1)*width]
}

// fastestRuntime returns the shortest of the predicted runtimes of a task, in seconds.
func (p *Planner) fastestRuntime(task int) float64 { return slices.Min(p.runtimesOf(task)) }

// runtime returns the predicted runtime of a task on a runner in seconds, if the run doesn't fail.
func (p *Planner) runtime(c *candidate, r *runnerState) float64 {
	task := c.task
	runtime := p.runtimesOf(c.index)[r.kind] * r.slowness
	if task.Remaining > 0 && task.Remaining < 1 {
		runtime *= task.Remaining
	}
	if task.Affinity != "" && task.Affinity != r.runner.Rack {
		runtime *= p.options.NonLocalFactor
	}
	if task.HasCheckpoint {
		runtime += p.options.RestoreTime.Seconds()
	}
	if r.runner.WarmingUp > 0 {
		runtime += warmingUpFraction * r.runner.WarmingUp.Seconds()
	}
	return runtime
}

// expectedRuntime returns L_ij in seconds: the predicted runtime, lengthened by the runner's failure score, because a
// failed run is repeated.
func (p *Planner) expectedRuntime(c *candidate, r *runnerState) float64 {
	return p.runtime(c, r) * (1 + failureScoreWeight*r.runner.FailureScore)
}

// cost returns the cost of a task on a runner that passes the filters.
func (p *Planner) cost(c *candidate, r *runnerState) float64 {
	return p.costOf(c, r, p.expectedRuntime(c, r))
}

// costOf returns the cost of a task on a runner that it occupies for runtime seconds.
func (p *Planner) costOf(c *candidate, r *runnerState, runtime float64) float64 {
	return pairingCost(p.weights[r.kind], runtime, c.timeLeft, p.largestTimeLeft) + runtime*p.preference(c, r)
}

// preference returns the additions to the paper's cost of a pairing, as a fraction of the runtime. A lower value is
// better. A long-running task prefers the runner with the most capacity left over, and avoids other long-running tasks.
func (p *Planner) preference(c *candidate, r *runnerState) float64 {
	task := c.task
	preference := speedWeight
	if task.Needs.GPU == 0 && r.runner.Capacity.GPU > 0 {
		preference += gpuWasteWeight
	}
	if task.LongRunning {
		preference += packWeight * (1 - fractionLeftOver(r, task))
		return preference + spreadWeight*float64(r.longRunning) + rackWeight*float64(p.longRunningInRack[r.rack])
	}
	preference += packWeight * fractionLeftOver(r, task)
	if r.count(task.Group) > 0 {
		preference -= sameStepWeight
	}
	return preference
}

// fractionLeftOver returns the fraction of the runner's capacity that stays free after the task is placed there. It is
// the mean over the resources, where accelerators weigh as much as cores and memory together.
func fractionLeftOver(r *runnerState, task *Task) float64 {
	capacity := r.runner.Capacity
	left := ratio(r.free.CPU-task.Needs.CPU, capacity.CPU) + ratio(r.free.MemoryMB-task.Needs.MemoryMB, capacity.MemoryMB)
	if capacity.GPU <= 0 {
		return left / 2
	}
	return (left + 2*ratio(r.free.GPU-task.Needs.GPU, capacity.GPU)) / 4
}

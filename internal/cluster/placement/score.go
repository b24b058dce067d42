package placement

import "slices"

// The cost of a pairing, by section 5.1 of the Kairos paper.
const (
	timeLeftFraction   = 0.98 // the paper's xi: a pairing must end within this fraction of the task's time left
	latePenaltyFactor  = 10   // a pairing that doesn't costs so many times the round's largest time left (equation 8)
	minLargestTimeLeft = 1.0  // seconds; the round's largest time left counts as at least that
)

// What is ours in the cost: terms that choose among pairings of about the same cost, and what changes the runtime.
const (
	failureScoreWeight = 2.0  // how much longer a task is expected to take where everything fails
	warmingUpFraction  = 0.5  // fraction of the time of warming up by which a task runs longer
	speedWeight        = 0.02 // of the runtime: the faster of equal ones
	packWeight         = 0.02 // of the runtime: where least is left over, so that large tasks still fit elsewhere
	sameStepWeight     = 0.01 // of the runtime: beside its own step, as the loss of a runner then hits one job
	gpuWasteWeight     = 0.05 // of the runtime: accelerators are left to those that need them
	spreadWeight       = 0.3  // of the runtime: for each other long-running task there
	rackWeight         = 0.05 // of the runtime: for each long-running task in the rack
	forbiddenCost      = 1e7  // the cost of a pairing that the filters rule out
)

// pairingCost is the cost of equations 4 and 8: weight (C_j) x runtime (L_ij), or the penalty if the runtime is longer
// than 0.98 of the time left (equation 5). Times are in seconds.
func pairingCost(weight, runtime, timeLeft, largestTimeLeft float64) float64 {
	if runtime > timeLeftFraction*timeLeft {
		return latePenaltyFactor * largestTimeLeft
	}
	return weight * runtime
}

// predictRuntimes predicts each task on each kind, and from that the weight of each kind (definition 1): the runtime of the
// largest task on the fastest kind over its runtime on this one.
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

// runtimesOf returns the predicted runtimes of a task by kind, in seconds.
func (p *Planner) runtimesOf(task int) []float64 {
	width := len(p.kinds)
	return p.runtimes[task*width : (task+1)*width]
}

// fastestRuntime returns the predicted runtime of a task on the kind where it is shortest, in seconds.
func (p *Planner) fastestRuntime(task int) float64 { return slices.Min(p.runtimesOf(task)) }

// runtime returns the seconds that a task is predicted to run on a runner, if nothing fails.
func (p *Planner) runtime(c *candidate, r *runnerState) float64 {
	task := c.task
	runtime := p.runtimesOf(c.index)[r.kind] * r.slowness
	if task.Remaining > 0 && task.Remaining < 1 {
		runtime *= task.Remaining
	}
	if task.Affinity != "" && task.Affinity != r.runner.Rack {
		runtime *= p.options.FarFactor
	}
	if task.HasCheckpoint {
		runtime += p.options.Restore.Seconds()
	}
	if r.runner.WarmingUp > 0 {
		runtime += warmingUpFraction * r.runner.WarmingUp.Seconds()
	}
	return runtime
}

// expectedRuntime returns L_ij, in seconds: the runtime, longer where runs are likely to fail and be repeated.
func (p *Planner) expectedRuntime(c *candidate, r *runnerState) float64 {
	return p.runtime(c, r) * (1 + failureScoreWeight*r.runner.FailureScore)
}

// cost returns what a task costs on a runner that passes the filters.
func (p *Planner) cost(c *candidate, r *runnerState) float64 {
	return p.costOf(c, r, p.expectedRuntime(c, r))
}

// costOf returns what a task costs on a runner if it occupies it for so many seconds.
func (p *Planner) costOf(c *candidate, r *runnerState, runtime float64) float64 {
	return pairingCost(p.weights[r.kind], runtime, c.timeLeft, p.largestTimeLeft) + runtime*p.preference(c, r)
}

// preference chooses among runners of about the same cost. It is a fraction of the runtime; lower is better.
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

// fractionLeftOver returns the fraction of the runner that stays free beside the task: the mean over the resources, in
// which accelerators count as much as cores and memory together.
func fractionLeftOver(r *runnerState, task *Task) float64 {
	capacity := r.runner.Capacity
	left := ratio(r.free.CPU-task.Needs.CPU, capacity.CPU) + ratio(r.free.MemoryMB-task.Needs.MemoryMB, capacity.MemoryMB)
	if capacity.GPU <= 0 {
		return left / 2
	}
	return (left + 2*ratio(r.free.GPU-task.Needs.GPU, capacity.GPU)) / 4
}

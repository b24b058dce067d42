package placement

// The cost of a pairing, as designed, and the small terms that choose among equals.
const (
	timeLeftTest = 0.98 // a pairing must end within this share of the task's time left (design)
	latePenalty  = 10   // a pairing that does not costs so many times the round's largest time left (design)
	leastLeft    = 1.0  // seconds; the round's largest time left counts as at least that

	distrustWeight = 2.0  // how much longer a task takes where all it starts fails, for the cost
	coldShare      = 0.5  // part of a cold start that a task feels
	speedWeight    = 0.02 // of the runtime: the faster among equals
	packWeight     = 0.02 // of the runtime: where least is left over, so that large free parts stay whole
	sameWeight     = 0.01 // of the runtime: beside its own step, as one loss then hits one job
	wasteWeight    = 0.05 // of the runtime: accelerators are kept for what needs them
	spreadWeight   = 0.3  // of the runtime: for each other long-running task there
	rackWeight     = 0.05 // of the runtime: for each long-running task in the rack
	forbidden      = 1e7  // the cost of a pairing that may not be
)

// price is the design's cost: weight (C) x runtime (L), or the penalty if the runtime passes 0.98 of the time left. All
// are in seconds.
func price(weight, runtime, timeLeft, largestLeft float64) float64 {
	if runtime > timeLeftTest*timeLeft {
		return latePenalty * largestLeft
	}
	return weight * runtime
}

// predictAll predicts each task on each kind, and from that the weights of the kinds.
func (p *Planner) predictAll() {
	width := len(p.kinds)
	p.runtimes = p.runtimes[:0]
	largest, largestAt := 0.0, 0
	for i := range p.tasks {
		task := &p.tasks[i]
		if i > 0 && task.SizeMs == p.tasks[i-1].SizeMs && task.Queue == p.tasks[i-1].Queue {
			p.runtimes = append(p.runtimes, p.runtimes[len(p.runtimes)-width:]...)
			continue
		}
		for _, kind := range p.kinds {
			p.runtimes = append(p.runtimes, p.predictor.Predict(task.Queue, kind, task.SizeMs).Seconds())
		}
		if fastest := least(p.runtimes[i*width:]); fastest > largest {
			largest, largestAt = fastest, i
		}
	}
	p.weights = p.weights[:0]
	for _, runtime := range p.runtimes[largestAt*width : (largestAt+1)*width] {
		p.weights = append(p.weights, largest/runtime)
	}
}

func least(values []float64) float64 {
	result := values[0]
	for _, value := range values {
		result = min(result, value)
	}
	return result
}

// runtime returns L without distrust: the seconds that a task is predicted to run in a room.
func (p *Planner) runtime(c *candidate, r *room) float64 {
	task := c.task
	runtime := p.runtimes[c.index*len(p.kinds)+r.kind] * r.slowness
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
		runtime += coldShare * r.runner.WarmingUp.Seconds()
	}
	return runtime
}

// doubtfulRuntime returns L: longer where starts are likely to come to nothing.
func (p *Planner) doubtfulRuntime(c *candidate, r *room) float64 {
	return p.runtime(c, r) * (1 + distrustWeight*r.runner.FailureScore)
}

// cost prices a task in a room that may take it.
func (p *Planner) cost(c *candidate, r *room) float64 {
	runtime := p.doubtfulRuntime(c, r)
	return price(p.weights[r.kind], runtime, c.timeLeft, p.largestLeft) + runtime*p.preference(c, r)
}

// preference chooses among rooms that cost about the same, as a share of the runtime.
func (p *Planner) preference(c *candidate, r *room) float64 {
	task := c.task
	preference := speedWeight
	if task.Needs.GPU == 0 && r.runner.Capacity.GPU > 0 {
		preference += wasteWeight
	}
	if task.LongRunning {
		preference += packWeight * (1 - leftOver(r, task))
		return preference + spreadWeight*float64(r.lasting) + rackWeight*float64(p.lastingInRack[r.rack])
	}
	preference += packWeight * leftOver(r, task)
	if r.count(task.Group) > 0 {
		preference -= sameWeight
	}
	return preference
}

// leftOver returns the share of the runner that is free after the task has come.
func leftOver(r *room, task *Task) float64 {
	capacity := r.runner.Capacity
	left := ratio(r.free.CPU-task.Needs.CPU, capacity.CPU) + ratio(r.free.MemoryMB-task.Needs.MemoryMB, capacity.MemoryMB)
	if capacity.GPU <= 0 {
		return left / 2
	}
	return (left + 2*ratio(r.free.GPU-task.Needs.GPU, capacity.GPU)) / 4
}

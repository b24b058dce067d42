package placement

import (
	"cmp"
	"slices"
)

const (
	maxBatchTasks        = 32  // tasks in one matching
	maxColumns           = 96  // columns of one matching, about
	maxUnfilteredRunners = 48  // runners up to which all take part in each matching
	spareColumns         = 4   // columns looked for beyond those that tasks equivalent to one would fill
	maxAttempts          = 3   // matchings that a task takes part in, in one round
	minSlowdownToWait    = 1.2 // a task may wait for a better runner if its best one now is so many times slower than the best of all
	maxWaitCostRatio     = 0.9 // and if waiting costs no more than that fraction of the cost now
)

// batchMatching has the buffers of one matching: a minimum-cost one-to-one assignment of the tasks of a batch (the rows) to
// slots of runners (the columns). A runner with capacity for several tasks has several columns.
type batchMatching struct {
	batch      []*candidate // by row
	columns    []*runnerState
	costs      [][]float64 // by row and column
	flatCosts  []float64   // the memory of costs
	runners    []*runnerState
	isSelected []bool // whether a runner takes part, by its index; not used while there are few runners
	cheapest   []pairing
	pairings   []pairing

	bestRuntimeOf *candidate // nil: bestRuntime is not valid
	bestRuntime   float64    // see Planner.bestRuntime
}

// pairing is a task on a runner and its cost.
type pairing struct {
	candidate *candidate
	runner    *runnerState
	cost      float64
}

// assignSingles assigns the tasks of a level that are neither large nor members of gangs: batch by batch in the order of
// their rank, until nothing more fits.
func (p *Planner) assignSingles(level []*candidate) {
	for _, c := range level {
		if c.task.LongRunning && !c.task.Gang {
			p.assignLongRunning(c)
		}
	}
	for p.nextBatch(level) {
		p.offerFreeCapacity()
		if len(p.matching.columns) == 0 {
			p.countAttempts(maxAttempts)
			continue
		}
		p.fillCostMatrix()
		p.assignBatch()
		p.countAttempts(1)
	}
	for _, c := range level {
		if !c.placed && !c.large && !c.task.Gang {
			p.addUnschedulableTask(c)
		}
	}
}

// assignLongRunning assigns a long-running task to the cheapest runner. Each such task raises the cost of its runner and
// rack for the next, which one matching of many couldn't express; as those of a step are alike, one by one costs the least
// too.
func (p *Planner) assignLongRunning(c *candidate) {
	c.attempts = maxAttempts
	var cheapest *runnerState
	minCost := forbiddenCost
	for i := range p.runnerStates {
		r := &p.runnerStates[i]
		if !p.passesFilters(c, r) {
			continue
		}
		if cost := p.cost(c, r); cost < minCost {
			cheapest, minCost = r, cost
		}
	}
	if cheapest != nil {
		p.assign(c, cheapest, p.runtime(c, cheapest))
	}
}

// nextBatch gathers the next tasks that still look for a runner, and reports whether there are any.
func (p *Planner) nextBatch(level []*candidate) bool {
	m := &p.matching
	m.batch = m.batch[:0]
	for _, c := range level {
		if c.placed || c.large || c.task.Gang || c.attempts >= maxAttempts {
			continue
		}
		m.batch = append(m.batch, c)
		if len(m.batch) == maxBatchTasks {
			break
		}
	}
	return len(m.batch) > 0
}

// countAttempts counts so many attempts for each task of the batch.
func (p *Planner) countAttempts(attempts int) {
	for _, c := range p.matching.batch {
		c.attempts += attempts
	}
}

// offerFreeCapacity gives each runner that takes part as many columns as its free capacity has slots for the smallest
// task of the batch.
func (p *Planner) offerFreeCapacity() {
	m := &p.matching
	p.selectRunners()
	m.columns = m.columns[:0]
	perRunner := len(m.batch)
	if len(m.runners) > 0 {
		perRunner = min(perRunner, max(1, maxColumns/len(m.runners)))
	}
	for _, r := range m.runners {
		count := 0
		for row, c := range m.batch {
			if m.repeatsRow(row) {
				continue
			}
			if count < perRunner && p.passesFilters(c, r) {
				count = max(count, r.capacityFor(c.task, perRunner))
			}
		}
		for range count {
			m.columns = append(m.columns, r)
		}
	}
}

// selectRunners selects the runners that take part: all if there are few, else the cheapest for each task of the batch.
func (p *Planner) selectRunners() {
	m := &p.matching
	m.runners = m.runners[:0]
	if len(p.runnerStates) <= maxUnfilteredRunners {
		for i := range p.runnerStates {
			m.runners = append(m.runners, &p.runnerStates[i])
		}
		return
	}
	m.isSelected = slices.Grow(m.isSelected[:0], len(p.runnerStates))[:len(p.runnerStates)]
	clear(m.isSelected)
	for row, c := range m.batch {
		if !m.repeatsRow(row) {
			p.selectCheapest(c, m.countEquivalent(row)+spareColumns)
		}
	}
	for i := range p.runnerStates {
		if m.isSelected[i] {
			m.runners = append(m.runners, &p.runnerStates[i])
		}
	}
}

// selectCheapest selects the cheapest runners that together have the given number of slots for a task.
func (p *Planner) selectCheapest(c *candidate, slots int) {
	m := &p.matching
	m.cheapest = m.cheapest[:0]
	for i := range p.runnerStates {
		r := &p.runnerStates[i]
		if p.passesFilters(c, r) {
			m.cheapest = append(m.cheapest, pairing{runner: r, cost: p.cost(c, r)})
		}
	}
	slices.SortFunc(m.cheapest, comparePairings)
	for _, pair := range m.cheapest {
		if slots <= 0 {
			return
		}
		m.isSelected[pair.runner.index] = true
		slots -= pair.runner.capacityFor(c.task, slots)
	}
}

func comparePairings(a, b pairing) int {
	switch {
	case a.cost < b.cost:
		return -1
	case a.cost > b.cost:
		return 1
	default:
		return a.runner.index - b.runner.index
	}
}

// repeatsRow reports whether the row's task is equivalent to that of the row before, which then stands for both.
func (m *batchMatching) repeatsRow(row int) bool {
	return row > 0 && equivalent(m.batch[row], m.batch[row-1])
}

// countEquivalent returns how many tasks of the batch, from the given row on, are equivalent.
func (m *batchMatching) countEquivalent(row int) int {
	count := 1
	for row+count < len(m.batch) && equivalent(m.batch[row], m.batch[row+count]) {
		count++
	}
	return count
}

// equivalent reports whether two tasks cost the same on each runner and pass the same filters.
func equivalent(a, b *candidate) bool {
	s, t := a.task, b.task
	return s.Group == t.Group && s.Queue == t.Queue && s.SizeMs == t.SizeMs && s.Needs == t.Needs &&
		s.Affinity == t.Affinity && s.Requirements == t.Requirements && s.AntiAffinity == t.AntiAffinity &&
		s.TimeLeft == t.TimeLeft && s.HasCheckpoint == t.HasCheckpoint && s.Remaining == t.Remaining &&
		s.LongRunning == t.LongRunning && a.rescue == b.rescue
}

// fillCostMatrix fills in the cost of each task of the batch in each column.
func (p *Planner) fillCostMatrix() {
	m := &p.matching
	columns := len(m.columns)
	m.flatCosts = slices.Grow(m.flatCosts[:0], len(m.batch)*columns)[:len(m.batch)*columns]
	m.costs = m.costs[:0]
	for i, c := range m.batch {
		row := m.flatCosts[i*columns : (i+1)*columns]
		m.costs = append(m.costs, row)
		if m.repeatsRow(i) {
			copy(row, m.costs[i-1])
			continue
		}
		p.fillCostRow(c, row)
	}
}

// fillCostRow fills in the cost of a task in each column; those of one runner are next to each other.
func (p *Planner) fillCostRow(c *candidate, row []float64) {
	var last *runnerState
	cost := 0.0
	for column, r := range p.matching.columns {
		if r != last {
			last, cost = r, forbiddenCost
			if p.passesFilters(c, r) {
				cost = p.cost(c, r)
			}
		}
		row[column] = cost
	}
}

// assignBatch solves the matching and assigns its pairings, the cheapest first. As a column is a slot for the smallest
// task, and each assignment changes what the filters see, some pairings don't fit any more; their tasks try again.
func (p *Planner) assignBatch() {
	m := &p.matching
	m.pairings = m.pairings[:0]
	for row, column := range p.solver.Solve(m.costs, len(m.columns)) {
		if column >= 0 && m.costs[row][column] < forbiddenCost {
			m.pairings = append(m.pairings, pairing{m.batch[row], m.columns[column], m.costs[row][column]})
		}
	}
	slices.SortStableFunc(m.pairings, func(a, b pairing) int { return cmp.Compare(a.cost, b.cost) })
	for _, pair := range m.pairings {
		if !p.passesFilters(pair.candidate, pair.runner) {
			continue
		}
		if p.shouldWait(pair.candidate, pair.runner) {
			pair.candidate.attempts = maxAttempts
			continue
		}
		p.assign(pair.candidate, pair.runner, p.runtime(pair.candidate, pair.runner))
	}
}

// shouldWait reports whether it costs a task less to wait for a better runner that will be free soon than to start on this
// one: a runner near its data, or one that is not slow. It waits no longer in all than it can gain.
func (p *Planner) shouldWait(c *candidate, r *runnerState) bool {
	if c.rescue {
		return false
	}
	here, best := p.expectedRuntime(c, r), p.bestRuntime(c)
	if here <= minSlowdownToWait*best || c.task.Waited.Seconds() > here-best {
		return false
	}
	maxCost := maxWaitCostRatio * pairingCost(p.weights[r.kind], here, c.timeLeft, p.largestTimeLeft)
	for i := range p.runnerStates {
		other := &p.runnerStates[i]
		if fits(other.free, c.task.Needs) || !other.couldRun(c.task) || !p.passesReliability(c, other) {
			continue
		}
		there := p.expectedRuntime(c, other)
		if there >= here {
			continue
		}
		end := p.timeUntilFree(other, c.task.Needs, 1) + there
		if pairingCost(p.weights[other.kind], end, c.timeLeft, p.largestTimeLeft) < maxCost {
			return true
		}
	}
	return false
}

// bestRuntime returns the shortest expected runtime of a task, in seconds, on any runner that could take it if that were
// free. It is remembered for the next call, which is often for an equivalent task.
func (p *Planner) bestRuntime(c *candidate) float64 {
	m := &p.matching
	if m.bestRuntimeOf != nil && (m.bestRuntimeOf == c || equivalent(m.bestRuntimeOf, c)) {
		return m.bestRuntime
	}
	m.bestRuntimeOf, m.bestRuntime = c, forbiddenCost
	for i := range p.runnerStates {
		if r := &p.runnerStates[i]; r.couldRun(c.task) && p.passesReliability(c, r) {
			m.bestRuntime = min(m.bestRuntime, p.expectedRuntime(c, r))
		}
	}
	return m.bestRuntime
}

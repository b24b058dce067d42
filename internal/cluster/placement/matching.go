package placement

import (
	"cmp"
	"slices"
)

const (
	maxBatchTasks        = 32 // largest number of tasks in one matching
	maxColumns           = 96 // approximate largest number of columns in one matching
	maxUnfilteredRunners = 48 // up to this number of runners, all of them take part in each matching
	spareColumns         = 4  // slots that are selected for a group of equivalent tasks beyond one for each task
	maxAttempts          = 3  // largest number of matchings that a task takes part in during one round

	// A task may wait for a better runner only if its expected runtime on the matched one is more than minSlowdownToWait
	// times the shortest one on any runner, and the cost of waiting is less than maxWaitCostRatio times the cost of the
	// match.
	minSlowdownToWait = 1.2
	maxWaitCostRatio  = 0.9
)

// batchMatching has the buffers of one matching: a minimum-cost one-to-one assignment of the tasks of a batch (the rows) to
// slots of runners (the columns). A runner with capacity for several tasks has several columns.
type batchMatching struct {
	batch      []*candidate   // tasks, by row
	columns    []*runnerState // runners, by column; the columns of a runner are adjacent
	costs      [][]float64    // by row and column
	flatCosts  []float64      // backing array of costs
	runners    []*runnerState // runners that take part
	isSelected []bool         // whether a runner takes part, by its index; unused if all runners take part
	cheapest   []pairing      // buffer of selectCheapest
	pairings   []pairing      // solution of the matching

	bestRuntimeOf *candidate // candidate of bestRuntime; nil: bestRuntime hasn't been computed
	bestRuntime   float64    // see Planner.bestRuntime
}

// pairing is a task, a runner and the cost of the task on the runner.
type pairing struct {
	candidate *candidate
	runner    *runnerState
	cost      float64
}

// assignSingles places the candidates of one priority that are neither large nor members of gangs:
//
//  1. It places the long-running ones, one by one.
//  2. It matches all others in batches, in order of rank, until each is placed or has taken part in maxAttempts
//     matchings.
//  3. It makes the tasks that weren't placed candidates for preemption.
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

// assignLongRunning places a long-running task on the cheapest runner. Each long-running task raises the cost of its
// runner and rack for the next one, which the fixed costs of a matching can't express. As the tasks of a step are alike,
// placing them one by one leads to the lowest total cost as well.
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

// nextBatch fills the batch with the next candidates that need a runner, and reports whether there are any.
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

// countAttempts adds attempts to each candidate of the batch.
func (p *Planner) countAttempts(attempts int) {
	for _, c := range p.matching.batch {
		c.attempts += attempts
	}
}

// offerFreeCapacity makes the columns. Each runner that takes part gets one column for each task that fits into its free
// capacity. If the tasks of the batch differ, the task that fits there most often determines the number. The number for
// one runner is limited so that all columns are about maxColumns.
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

// selectRunners selects the runners that take part in the matching: all if there are at most maxUnfilteredRunners, else the
// cheapest ones for each task of the batch.
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

// selectCheapest selects the cheapest runners for a task that together have the given number of slots for it.
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

// comparePairings orders pairings by cost, then by runner.
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

// repeatsRow reports whether a row and the row before have equivalent tasks, so that results for that row can be
// reused.
func (m *batchMatching) repeatsRow(row int) bool {
	return row > 0 && equivalent(m.batch[row], m.batch[row-1])
}

// countEquivalent returns the number of adjacent rows, from the given row on, with tasks equivalent to the given row's
// task.
func (m *batchMatching) countEquivalent(row int) int {
	count := 1
	for row+count < len(m.batch) && equivalent(m.batch[row], m.batch[row+count]) {
		count++
	}
	return count
}

// equivalent reports whether two tasks have the same cost on each runner and pass the same filters.
func equivalent(a, b *candidate) bool {
	s, t := a.task, b.task
	return s.Group == t.Group && s.Queue == t.Queue && s.SizeMs == t.SizeMs && s.Needs == t.Needs &&
		s.Affinity == t.Affinity && s.Requirements == t.Requirements && s.AntiAffinity == t.AntiAffinity &&
		s.TimeLeft == t.TimeLeft && s.HasCheckpoint == t.HasCheckpoint && s.Remaining == t.Remaining &&
		s.LongRunning == t.LongRunning && a.starving == b.starving
}

// fillCostMatrix computes the cost of each task of the batch in each column.
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

// fillCostRow computes the cost of a task in each column.
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

// assignBatch solves the matching and places its pairings, the cheapest first. Some pairings no longer fit when their
// turn comes, because a column may be too small a slot for the task and each placement changes what the filters see.
// Their tasks take part in the next matching. A task that should wait for a better runner takes part in no further
// matching of the round.
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

// shouldWait reports whether a task should wait for a better runner that is expected to be free soon, such as a runner
// near its data or a faster runner, instead of starting on r. It should if all of these hold:
//
//   - the task isn't starving;
//   - its expected runtime on r exceeds minSlowdownToWait times the shortest expected runtime on any runner;
//   - it has waited for no longer than the difference of these runtimes, so that it never waits longer than it can gain;
//   - on another runner, with the wait added to the runtime, the cost is less than maxWaitCostRatio times the cost on r.
func (p *Planner) shouldWait(c *candidate, r *runnerState) bool {
	if c.starving {
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

// bestRuntime returns the shortest expected runtime of a task, in seconds, on any runner that could run the task if its
// capacity were free. It caches the result, because the next call is often for an equivalent task.
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

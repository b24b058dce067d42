package placement

import (
	"cmp"
	"math"
	"slices"
)

const maxRacks = 16 // racks that are tried for a unit

// slot is capacity for members of a unit on one runner.
type slot struct {
	runner  *runnerState
	count   int     // members
	start   float64 // seconds from now
	runtime float64 // seconds
	cost    float64 // lower ones are taken first: the cost if the unit starts now, the end in seconds if it waits
}

// plan is one way to start all members of a unit together.
type plan struct {
	runners      []*runnerState // by member
	start        float64        // seconds from now; infinity: there is no way
	runtime      float64        // of the slowest member, seconds
	spreadFactor float64        // how many times longer it runs for being spread over racks; included in runtime
	cost         float64
}

// end returns the seconds from now until all members have ended.
func (p *plan) end() float64 { return p.start + p.runtime }

// feasible reports whether there is a runner for each member.
func (p *plan) feasible() bool { return !math.IsInf(p.start, 1) }

// planNow leaves in best the cheapest way to start a unit at once.
func (p *Planner) planNow(u *unit, best *plan) {
	p.collectSlotsNow(u)
	p.choosePlan(u, best, func(a, b *plan) bool { return a.cost < b.cost })
}

// planLater leaves in best the way to start a unit, as runs end, by which it ends soonest.
func (p *Planner) planLater(u *unit, best *plan) {
	p.collectSlotsLater(u)
	p.choosePlan(u, best, func(a, b *plan) bool { return a.end() < b.end() })
}

// collectSlotsNow collects the slots that a unit's members could take now.
func (p *Planner) collectSlotsNow(u *unit) {
	p.planning.slots = p.planning.slots[:0]
	c := u.first()
	for i := range p.runnerStates {
		r := &p.runnerStates[i]
		if !p.passesFilters(c, r) {
			continue
		}
		cost, runtime := p.cost(c, r), p.expectedRuntime(c, r)
		if count := r.capacityFor(c.task, len(u.members)); count > 0 {
			p.planning.slots = append(p.planning.slots, slot{r, count, 0, runtime, cost})
		}
	}
}

// collectSlotsLater collects the slots that they could take as runs end, one for each member that a runner could take.
func (p *Planner) collectSlotsLater(u *unit) {
	p.planning.slots = p.planning.slots[:0]
	c := u.first()
	for i := range p.runnerStates {
		r := &p.runnerStates[i]
		if r.reserved.isForOther(u.reservationKey()) || !r.couldRun(c.task) || !p.passesReliability(c, r) {
			continue
		}
		runtime := p.expectedRuntime(c, r)
		for count := 1; count <= r.limitByAntiAffinity(c.task, len(u.members)); count++ {
			start := p.timeUntilFree(r, c.task.Needs, count)
			if math.IsInf(start, 1) {
				break
			}
			p.planning.slots = append(p.planning.slots, slot{r, 1, start, runtime, start + runtime})
		}
	}
}

// choosePlan leaves in best the best plan from the collected slots: over any racks or, for a rack-local gang, also within
// one of the racks that are the first to have slots for all members. It is infeasible if there are too few slots.
func (p *Planner) choosePlan(u *unit, best *plan, better func(a, b *plan) bool) {
	best.start = math.Inf(1)
	slots, members := p.planning.slots, len(u.members)
	if countMembers(slots) < members {
		return
	}
	slices.SortFunc(slots, compareSlots)
	p.fillPlan(u, best, slots)
	if !u.first().task.RackLocal || members == 1 {
		return
	}
	p.planning.slotsInRack = slices.Grow(p.planning.slotsInRack[:0], len(p.racks))[:len(p.racks)]
	inRack, tried := p.planning.slotsInRack, 0
	clear(inRack)
	for i := range slots {
		rack := slots[i].runner.rack
		before := inRack[rack]
		inRack[rack] += slots[i].count
		if before < members && inRack[rack] >= members && tried < maxRacks {
			tried++
			p.tryRack(u, rack, slots[:i+1], best, better)
		}
	}
}

// tryRack replaces best by the plan from those of the slots that are in a rack, if that is better.
func (p *Planner) tryRack(u *unit, rack int, slots []slot, best *plan, better func(a, b *plan) bool) {
	g := &p.planning
	g.rackSlots = g.rackSlots[:0]
	for _, s := range slots {
		if s.runner.rack == rack {
			g.rackSlots = append(g.rackSlots, s)
		}
	}
	p.fillPlan(u, &g.rackPlan, g.rackSlots)
	if better(&g.rackPlan, best) {
		*best, g.rackPlan = g.rackPlan, *best
	}
}

// countMembers returns how many members the slots have capacity for.
func countMembers(slots []slot) (members int) {
	for i := range slots {
		members += slots[i].count
	}
	return members
}

// fillPlan makes a plan with a runner for each member, from the first slots on. There must be enough of them.
func (p *Planner) fillPlan(u *unit, made *plan, slots []slot) {
	*made = plan{runners: made.runners[:0], spreadFactor: 1}
	c, members := u.first(), len(u.members)
	for _, s := range slots {
		for range min(s.count, members-len(made.runners)) {
			made.runners = append(made.runners, s.runner)
		}
		made.start = max(made.start, s.start)
		made.runtime = max(made.runtime, s.runtime)
		if c.task.RackLocal && s.runner.rack != slots[0].runner.rack {
			made.spreadFactor = p.options.FarFactor
		}
		if len(made.runners) == members {
			break
		}
	}
	made.runtime *= made.spreadFactor
	for _, r := range made.runners {
		made.cost += p.costOf(c, r, made.runtime) // each member occupies its runner until the slowest has ended
	}
}

func compareSlots(a, b slot) int {
	switch {
	case a.cost < b.cost:
		return -1
	case a.cost > b.cost:
		return 1
	case a.runner != b.runner:
		return a.runner.index - b.runner.index
	default:
		return cmp.Compare(a.start, b.start)
	}
}

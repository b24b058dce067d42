package placement

import (
	"cmp"
	"math"
	"slices"
)

const maxRacks = 16 // largest number of racks that get a plan each

// slot is capacity for members of a unit on one runner, which is available from a time on.
type slot struct {
	runner  *runnerState
	count   int     // number of members that fit
	start   float64 // time from which on the capacity is available, in seconds from now
	runtime float64 // expected runtime of a member on the runner, in seconds
	cost    float64 // sort key of slots: a member's cost for a start now, start + runtime for a later start
}

// plan is one way to start all members of a unit at the same time.
type plan struct {
	runners      []*runnerState // by member
	start        float64        // time of the start, in seconds from now; infinity: the plan is infeasible
	runtime      float64        // expected runtime of the slowest member, in seconds
	spreadFactor float64        // slowdown because a rack-local gang spans racks, or 1; runtime includes it
	cost         float64        // sum of the members' costs
}

// end returns the time at which all members are expected to have ended, in seconds from now.
func (p *plan) end() float64 { return p.start + p.runtime }

// feasible reports whether the plan has a runner for each member.
func (p *plan) feasible() bool { return !math.IsInf(p.start, 1) }

// planNow sets best to the cheapest plan that starts the unit now.
func (p *Planner) planNow(u *unit, best *plan) {
	p.collectSlotsNow(u)
	p.choosePlan(u, best, func(a, b *plan) bool { return a.cost < b.cost })
}

// planLater sets best to the plan with the earliest expected end, among plans that start the unit as runs end.
func (p *Planner) planLater(u *unit, best *plan) {
	p.collectSlotsLater(u)
	p.choosePlan(u, best, func(a, b *plan) bool { return a.end() < b.end() })
}

// collectSlotsNow collects the slots in which the unit's members could start now, one for each runner.
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

// collectSlotsLater collects the slots in which the unit's members could start as runs end. Each runner gets one slot
// for its first member, one for its second member, and so on. A slot starts when there is capacity for its member and
// all earlier members.
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

// choosePlan sets best to the best plan from the collected slots, by the given comparison. best is infeasible if there
// are too few slots.
//
// The first plan uses the cheapest slots in any racks. For a rack-local gang, choosePlan also makes plans within single
// racks, for at most maxRacks racks. It goes through the slots from the cheapest on, and makes the plan of a rack once
// the rack's slots so far suffice for all members.
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

// tryRack makes a plan from the slots in one rack, and replaces best with it if it is better.
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

// countMembers returns the number of members that fit into the slots.
func countMembers(slots []slot) (members int) {
	for i := range slots {
		members += slots[i].count
	}
	return members
}

// fillPlan sets made to the plan that puts the members into the slots, in the order of the slots. There must be enough
// slots.
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
			made.spreadFactor = p.options.NonLocalFactor
		}
		if len(made.runners) == members {
			break
		}
	}
	made.runtime *= made.spreadFactor
	for _, r := range made.runners {
		made.cost += p.costOf(c, r, made.runtime) // each member occupies its runner until the slowest member has ended
	}
}

// compareSlots orders slots by cost, then by runner and start.
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

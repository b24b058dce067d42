package placement

import "time"

const (
	minLargeFraction = 0.3                    // a large task needs at least this part of every runner that could run it
	minLargeWait     = 300 * time.Millisecond // a large task that has waited for less takes part in the matching like others
	maxWaitEndRatio  = 0.9                    // a unit waits only if it then ends before this fraction of its runtime now
)

// unit is the members of a gang, or one other task. The round places all tasks of a unit together, or none.
type unit struct {
	members []*candidate // at least one; the members of a gang have the same needs, constraints and predictions
}

// first returns the first member, which represents all members in filters, costs and order.
func (u *unit) first() *candidate { return u.members[0] }

func (u *unit) reservationKey() any { return u.first().reservationKey() }

// unitPlanning has the units of one priority, and buffers for their plans.
type unitPlanning struct {
	units       []unit
	slots       []slot // slots on all runners
	rackSlots   []slot // slots on the runners of one rack
	rackPlan    plan   // plan from rackSlots
	slotsInRack []int  // number of members that fit into the slots, by rack
	now, later  plan
}

// formUnits makes units of the gangs and the large tasks of one priority, in order of rank. Members of a gang are adjacent.
func (p *Planner) formUnits(level []*candidate) {
	p.planning.units = p.planning.units[:0]
	for first := 0; first < len(level); {
		next := first + 1
		if level[first].task.Gang {
			for next < len(level) && level[next].task.Gang && level[next].task.Group == level[first].task.Group {
				next++
			}
		}
		if level[first].task.Gang || level[first].large {
			p.planning.units = append(p.planning.units, unit{level[first:next]})
		}
		first = next
	}
}

// assignUnit places all members of a unit, or none:
//
//  1. It makes the cheapest plan to start the unit now.
//  2. If there is one and the unit wouldn't end earlier by waiting, it places the members by that plan.
//  3. Otherwise it reserves the capacity of the plan for a later start, unless the unit is expired.
//
// A unit that can't start now is also a candidate for preemption.
func (p *Planner) assignUnit(u *unit) {
	now, later := &p.planning.now, &p.planning.later
	p.planNow(u, now)
	if now.feasible() && !p.endsEarlierByWaiting(u, now, later) {
		p.assignMembers(u, now)
		return
	}
	if !now.feasible() {
		p.planLater(u, later)
		p.addUnschedulable(*u)
	}
	if later.feasible() && u.first().lateness != expired {
		p.reserve(u, later)
	}
}

// assignMembers places the members of a unit by a plan that starts now. All members occupy their runners until the
// slowest one ends.
func (p *Planner) assignMembers(u *unit, now *plan) {
	runtime := 0.0
	for i, c := range u.members {
		runtime = max(runtime, p.runtime(c, now.runners[i])*now.spreadFactor)
	}
	for i, c := range u.members {
		p.assign(c, now.runners[i], runtime)
	}
	delete(p.reservations, u.reservationKey())
}

// endsEarlierByWaiting reports whether a unit should wait for slots in one rack, or in the rack of its data, because it
// would then end clearly earlier (maxWaitEndRatio). A unit never waits if it is starving, or once it has waited for
// longer than the runtime that it would gain. If the result is true, later is the plan for the later start.
func (p *Planner) endsEarlierByWaiting(u *unit, now, later *plan) bool {
	task := u.first().task
	gainsInOneRack := task.RackLocal && len(u.members) > 1
	if u.first().starving || task.Affinity == "" && !gainsInOneRack {
		return false
	}
	if now.runtime <= minSlowdownToWait*p.bestRuntime(u.first()) {
		return false
	}
	p.planLater(u, later)
	gain := now.runtime - later.runtime
	return later.feasible() && later.end() < maxWaitEndRatio*now.runtime && task.Waited.Seconds() <= gain
}

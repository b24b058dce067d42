package placement

import "time"

const (
	minLargeFraction = 0.3                    // fraction of each runner from which on a task is large
	minLargeWait     = 300 * time.Millisecond // until then a large task takes part in the matching as others do
	maxWaitEndRatio  = 0.9                    // a unit waits if it then ends before that fraction of its runtime now
)

// unit is what starts together: the members of a gang, or one large task.
type unit struct {
	members []*candidate // at least one; all of a gang are alike
}

func (u *unit) first() *candidate { return u.members[0] }

func (u *unit) reservationKey() any { return u.first().reservationKey() }

// unitPlanning has the units of a level, and the buffers of their plans.
type unitPlanning struct {
	units       []unit
	slots       []slot // on all runners
	rackSlots   []slot // on those of one rack
	rackPlan    plan   // from rackSlots
	slotsInRack []int  // slots by rack
	now, later  plan
}

// formUnits gathers the gangs and large tasks of a level, in their order.
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

// assignUnit assigns all members of a unit, or none; for one that can't start, or had better wait, it reserves capacity
// unless it has no value any more.
func (p *Planner) assignUnit(u *unit) {
	now, later := &p.planning.now, &p.planning.later
	p.planNow(u, now)
	if now.feasible() && !p.endsSoonerByWaiting(u, now, later) {
		p.assignMembers(u, now)
		return
	}
	if !now.feasible() {
		p.planLater(u, later)
		p.addUnschedulable(*u)
	}
	if later.feasible() && u.first().lateness != worthless {
		p.reserve(u, later)
	}
}

// assignMembers carries out a plan for now. All members end with the slowest.
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

// endsSoonerByWaiting reports whether a unit would end sooner if it waited for slots in one rack, or in the rack of its
// data. It waits no longer in all than it can gain. If it returns true, the plan to wait is left in later.
func (p *Planner) endsSoonerByWaiting(u *unit, now, later *plan) bool {
	task := u.first().task
	gainsInOneRack := task.RackLocal && len(u.members) > 1
	if u.first().rescue || task.Affinity == "" && !gainsInOneRack {
		return false
	}
	if now.runtime <= minSlowdownToWait*p.bestRuntime(u.first()) {
		return false
	}
	p.planLater(u, later)
	gain := now.runtime - later.runtime
	return later.feasible() && later.end() < maxWaitEndRatio*now.runtime && task.Waited.Seconds() <= gain
}

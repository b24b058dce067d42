package placement

// passesFilters reports whether a task may start on a runner now. It must meet the hard constraints (hasCapacityFor) and
// two soft ones, which protect other tasks or avoid failures: the runner's reliability and its reservation.
func (p *Planner) passesFilters(c *candidate, r *runnerState) bool {
	return r.hasCapacityFor(c.task) && p.passesReliability(c, r) && p.respectsReservation(c, r)
}

// passesReliability reports whether the reliability of a runner allows a task to start there. A task avoids an
// unreliable runner unless it is starving, no reliable runner could ever run it, or nearly all runners are unreliable.
//
// An unreliable runner without a run still gets a single task as a probe, because its failure score only falls when runs
// succeed there. Members of gangs and long-running tasks are no probes.
func (p *Planner) passesReliability(c *candidate, r *runnerState) bool {
	if !r.unreliable || p.failOpen || p.bypassesSoftFilters(c) || !p.hasReliableAlternative(c) {
		return true
	}
	probe := len(r.runner.Running) == 0 && len(r.assumed) == 0
	return probe && !c.task.Gang && !c.task.LongRunning
}

// hasReliableAlternative reports whether any reliable runner could run the task if all its capacity were free.
func (p *Planner) hasReliableAlternative(c *candidate) bool {
	if c.reliableAlternative == unknown {
		c.reliableAlternative = no
		for i := range p.runnerStates {
			if !p.runnerStates[i].unreliable && p.runnerStates[i].couldRun(c.task) {
				c.reliableAlternative = yes
				break
			}
		}
	}
	return c.reliableAlternative == yes
}

// bypassesSoftFilters reports whether a task may ignore reliability and reservations because its step is starving. Once
// the round has placed one task of the step, the step is no longer starving, and its other tasks obey the filters. A
// gang is planned before any member is placed, so all its members bypass the filters.
func (p *Planner) bypassesSoftFilters(c *candidate) bool {
	return c.starving && !p.servedStarving[c.task.Group]
}

// respectsReservation reports whether a runner's reservation for another unit allows a task to start there. As in EASY
// backfilling, it does if the task doesn't delay that unit:
//
//   - the task ends before the unit needs the capacity (neededIn); or
//   - the task fits into the capacity that remains free beyond the unit's needs (spare).
//
// The task may also start if its priority is higher than the unit's, or if its step is starving. An expired task gets
// no advantage from its priority. It respects the reservations of the earlier round at the same time, which placed the
// unexpired tasks, instead of the reservations of this round.
func (p *Planner) respectsReservation(c *candidate, r *runnerState) bool {
	reserved := &r.reserved
	if c.lateness == expired {
		reserved = &r.reservedBefore
	}
	switch {
	case !reserved.isForOther(c.reservationKey()) || p.bypassesSoftFilters(c):
		return true
	case c.task.Priority < reserved.priority && c.lateness != expired:
		return true
	case !c.task.LongRunning && p.runtime(c, r) <= reserved.neededIn:
		return true
	default:
		return fits(reserved.spare, c.task.Needs)
	}
}

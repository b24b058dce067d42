package placement

// passesFilters reports whether a task may start on a runner now: its constraints, and the reliability and the
// reservations of the runner allow it.
func (p *Planner) passesFilters(c *candidate, r *runnerState) bool {
	return r.hasCapacityFor(c.task) && p.passesReliability(c, r) && p.respectsReservation(c, r)
}

// passesReliability reports whether the reliability of a runner allows a task there. An unreliable runner that is idle
// still gets one task at a time, as a probe: without any run its failure score would never fall.
func (p *Planner) passesReliability(c *candidate, r *runnerState) bool {
	if !r.unreliable || p.failOpen || p.isRescue(c) || !p.hasReliableAlternative(c) {
		return true
	}
	probe := len(r.runner.Running) == 0 && len(r.assumed) == 0
	return probe && !c.task.Gang && !c.task.LongRunning
}

// hasReliableAlternative reports whether a task could run on any reliable runner, if that were free.
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

// isRescue reports whether a task is the first of its step to be rescued; after it the step has a task that runs. Of a
// gang, all members are rescued.
func (p *Planner) isRescue(c *candidate) bool {
	return c.rescue && !p.rescued[c.task.Group]
}

// respectsReservation reports whether a task may start in spite of the runner's reservation: it is the task's own or for
// less priority, or the task ends before the capacity is needed, or fits in beside it. A task without value has no priority,
// and respects what earlier rounds of the same moment have reserved too.
func (p *Planner) respectsReservation(c *candidate, r *runnerState) bool {
	reserved := &r.reserved
	if c.lateness == worthless {
		reserved = &r.reservedBefore
	}
	switch {
	case !reserved.isForOther(c.reservationKey()) || p.isRescue(c):
		return true
	case c.task.Priority < reserved.priority && c.lateness != worthless:
		return true
	case !c.task.LongRunning && p.runtime(c, r) <= reserved.neededIn:
		return true
	default:
		return fits(reserved.spare, c.task.Needs)
	}
}

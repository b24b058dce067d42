package placement

import (
	"cmp"
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	maxUnschedulable = 16   // largest number of units that one round considers for preemption
	maxStops         = 12   // largest number of runs that one round preempts
	maxLostFraction  = 0.25 // the work lost for a unit may be at most this fraction of the unit's own work,
	minLostAllowance = 0.5  // plus this many core-seconds
	endsSoonMargin   = 0.3  // seconds; a run isn't preempted if it ends at most this much later than a stop would end it
	anyRack          = -1
)

// preemption has the units that the current round couldn't place, and the buffers of preempt.
type preemption struct {
	unschedulable []unit
	singles       []*candidate // backing array of the members of units with one task
	evictions     []eviction   // evictions for the current unit, in ascending order of lost work
	victims       []int        // victims of the evictions: indices into Runner.Running of their runners
}

// eviction is a set of runs on one runner (its victims). Stopping them makes enough capacity free for one member of a
// unit.
type eviction struct {
	runner      *runnerState
	lost        float64 // work that the victims lose, in core-seconds
	firstVictim int     // index of its first victim in preemption.victims
	count       int     // number of victims
}

// addUnschedulable adds a unit that couldn't be placed.
func (p *Planner) addUnschedulable(u unit) {
	if len(p.preemption.unschedulable) < maxUnschedulable {
		p.preemption.unschedulable = append(p.preemption.unschedulable, u)
	}
}

// addUnschedulableTask adds a task that couldn't be placed, as a unit of one member.
func (p *Planner) addUnschedulableTask(c *candidate) {
	s := &p.preemption
	if len(s.unschedulable) < maxUnschedulable {
		s.singles = append(s.singles, c)
		p.addUnschedulable(unit{members: s.singles[len(s.singles)-1:]})
	}
}

// preempt stops runs of lower priority for units that couldn't be placed and would miss their objectives by waiting. It
// considers the units in order of priority. It skips long-running units, and units that can't meet their objectives
// anyway.
//
// It preserves two invariants. A stopped run has a lower priority than the unit, is neither in a gang nor long-running,
// and isn't being stopped already. No two units wait for the same capacity: the capacity for which one unit waits is
// committed to it.
func (p *Planner) preempt() {
	if len(p.preemption.unschedulable) == 0 {
		return
	}
	lowest := p.lowestRunningPriority()
	slices.SortStableFunc(p.preemption.unschedulable, func(a, b unit) int {
		return cmp.Compare(a.first().task.Priority, b.first().task.Priority)
	})
	for i := range p.preemption.unschedulable {
		u := &p.preemption.unschedulable[i]
		if c := u.first(); c.task.Priority < lowest && c.lateness == onTime && !c.task.LongRunning && !c.placed {
			p.preemptFor(u)
		}
	}
}

// lowestRunningPriority returns the lowest priority of any run, which is the largest number.
func (p *Planner) lowestRunningPriority() int {
	lowest := math.MinInt
	for i := range p.runnerStates {
		for k := range p.runnerStates[i].runner.Running {
			lowest = max(lowest, p.runnerStates[i].runner.Running[k].Priority)
		}
	}
	return lowest
}

// preemptFor preempts runs for a unit, unless the unit can be on time if it waits for runs to end. In both cases it
// commits the capacity for which the unit then waits, so that the next unit doesn't wait for the same capacity.
func (p *Planner) preemptFor(u *unit) {
	c := u.first()
	later := &p.planning.later
	p.planLater(u, later)
	if later.feasible() && later.end() <= timeLeftFraction*c.timeLeft {
		for _, r := range later.runners {
			add(&r.committed, c.task.Needs)
		}
		return
	}
	evictions := p.cheapestEvictions(u)
	for i := range evictions {
		p.evict(&evictions[i])
		add(&evictions[i].runner.committed, c.task.Needs)
	}
}

// cheapestEvictions returns the evictions with the least lost work, one for each member of the unit. For a rack-local
// gang all are in one rack. It returns none if there are too few evictions, if they lose more work than
// minLostAllowance plus maxLostFraction of the unit's own work, or if the round would preempt more than maxStops runs.
func (p *Planner) cheapestEvictions(u *unit) []eviction {
	c := u.first()
	p.findEvictions(c)
	best, minLost := []eviction(nil), math.Inf(1)
	if !c.task.RackLocal || len(u.members) == 1 {
		best, minLost = p.cheapestInRack(u, anyRack)
	} else {
		for rack := range p.racks {
			if found, lost := p.cheapestInRack(u, rack); lost < minLost {
				best, minLost = found, lost
			}
		}
	}
	work := p.bestRuntime(c) * cores(c.task.Needs) * float64(len(u.members))
	stops := len(p.result.Stops)
	for _, e := range best {
		stops += e.count
	}
	if minLost > minLostAllowance+maxLostFraction*work || stops > maxStops {
		return nil
	}
	return best
}

// cheapestInRack returns the evictions in a rack with the least lost work, one for each member of the unit, and the
// work that they lose in core-seconds. The work is infinite if there are too few evictions. rack may be anyRack.
func (p *Planner) cheapestInRack(u *unit, rack int) (best []eviction, lost float64) {
	for _, e := range p.preemption.evictions { // the cheapest first
		if rack == anyRack || e.runner.rack == rack {
			best = append(best, e)
			lost += e.lost
		}
		if len(best) == len(u.members) {
			return best, lost
		}
	}
	return nil, math.Inf(1)
}

// findEvictions collects an eviction on each runner on which the task would be on time after the stops, and sorts the
// evictions by the work that they lose.
func (p *Planner) findEvictions(c *candidate) {
	p.preemption.evictions, p.preemption.victims = p.preemption.evictions[:0], p.preemption.victims[:0]
	stopTime := p.options.StopTime.Seconds()
	for i := range p.runnerStates {
		r := &p.runnerStates[i]
		late := stopTime+p.expectedRuntime(c, r) > timeLeftFraction*c.timeLeft
		if late || r.limitByAntiAffinity(c.task, 1) < 1 || !r.couldRun(c.task) || !p.passesReliability(c, r) {
			continue
		}
		if e, ok := p.evictionOn(c, r); ok {
			p.preemption.evictions = append(p.preemption.evictions, e)
		}
	}
	slices.SortFunc(p.preemption.evictions, func(a, b eviction) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.runner.index, b.runner.index))
	})
}

// evictionOn chooses the victims on a runner for a task. It adds the runs that lose the least work until the task fits,
// then removes victims that turn out not to be needed. ok is false if the task wouldn't fit even if all preemptible runs
// stopped.
func (p *Planner) evictionOn(c *candidate, r *runnerState) (e eviction, ok bool) {
	free, first := p.preemptible(c, r)
	victims := p.preemption.victims[first:]
	slices.SortFunc(victims, func(a, b int) int {
		return cmp.Or(cmp.Compare(lostWork(r, a), lostWork(r, b)), cmp.Compare(a, b))
	})
	count := 0
	for count < len(victims) && !fits(free, c.task.Needs) {
		add(&free, r.runner.Running[victims[count]].Needs)
		count++
	}
	if !fits(free, c.task.Needs) {
		p.preemption.victims = p.preemption.victims[:first]
		return eviction{}, false
	}
	count = reprieveVictims(r, victims[:count], free, c.task.Needs)
	p.preemption.victims = p.preemption.victims[:first+count]
	e = eviction{runner: r, firstVictim: first, count: count}
	for _, run := range p.preemption.victims[first:] {
		e.lost += lostWork(r, run)
	}
	return e, true
}

// preemptible appends to the victims all runs on a runner that may be preempted for a task, and returns the index of the
// first one. free is the capacity that is expected to be free without preemption by the time at which they would have
// stopped.
func (p *Planner) preemptible(c *candidate, r *runnerState) (free protocol.Resources, first int) {
	free, first = r.free, len(p.preemption.victims)
	subtract(&free, r.committed)
	for _, release := range p.expectedReleases(r) {
		switch {
		case release.in <= p.options.StopTime.Seconds()+endsSoonMargin:
			add(&free, release.needs)
		case release.run != assumedRun && isPreemptible(&r.runner.Running[release.run], c.task):
			p.preemption.victims = append(p.preemption.victims, release.run)
		}
	}
	return free, first
}

// reprieveVictims removes victims if the task still fits without stopping them. It tries the victims with the most lost
// work first, and returns the number that remain. free is the capacity that is free if all victims stop.
func reprieveVictims(r *runnerState, victims []int, free, needs protocol.Resources) int {
	count := len(victims)
	for i := count - 1; i >= 0; i-- {
		without := free
		subtract(&without, r.runner.Running[victims[i]].Needs)
		if !fits(without, needs) {
			continue
		}
		free = without
		victims = append(victims[:i], victims[i+1:]...)
		count--
	}
	return count
}

// isPreemptible reports whether a run may be preempted for a task. The stop of a gang's member would stop the whole gang,
// and a long-running task would have to start again at once.
func isPreemptible(run *Run, task *Task) bool {
	return run.Priority > task.Priority && !run.Gang && !run.LongRunning && !run.Stopping
}

// lostWork returns the work that is lost if a run is stopped, in core-seconds.
func lostWork(r *runnerState, run int) float64 {
	victim := &r.runner.Running[run]
	return victim.CheckpointAge.Seconds() * cores(victim.Needs)
}

// evict adds the stops of an eviction's victims to the result, and expects the victims to release their capacity after
// the time of a stop.
func (p *Planner) evict(e *eviction) {
	for _, run := range p.preemption.victims[e.firstVictim : e.firstVictim+e.count] {
		p.result.Stops = append(p.result.Stops, Stop{Runner: e.runner.index, Run: run})
		for i := range e.runner.releases {
			if e.runner.releases[i].run == run {
				e.runner.releases[i].in = p.options.StopTime.Seconds()
			}
		}
	}
	sortReleases(e.runner.releases)
}

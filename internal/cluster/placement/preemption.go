package placement

import (
	"cmp"
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	maxUnschedulable = 16   // units for which runs may be preempted in one round
	maxStops         = 12   // runs preempted in one round
	maxLostFraction  = 0.25 // the work that preemption loses may be such a fraction of the unit's own
	minLostAllowance = 0.5  // plus so many core-seconds in any case
	endsSoonMargin   = 0.3  // a run that ends within the time of a stop and so many seconds isn't preempted
	anyRack          = -1
)

// preemption has the units that could not be assigned in the present round, and the buffers of the phase that preempts runs
// for them.
type preemption struct {
	unschedulable []unit
	singles       []*candidate // the members of the units that are no gangs
	evictions     []eviction   // for the present unit, the cheapest first
	victims       []int        // indices into the Running of their runners
}

// eviction is the victims on one runner that have to stop for one member of a unit.
type eviction struct {
	runner *runnerState
	lost   float64 // core-seconds
	first  int     // index of its first victim in preemption.victims
	count  int
}

// addUnschedulable adds a unit that could not be assigned.
func (p *Planner) addUnschedulable(u unit) {
	if len(p.preemption.unschedulable) < maxUnschedulable {
		p.preemption.unschedulable = append(p.preemption.unschedulable, u)
	}
}

// addUnschedulableTask adds a task that could not be assigned, as a unit of its own.
func (p *Planner) addUnschedulableTask(c *candidate) {
	s := &p.preemption
	if len(s.unschedulable) < maxUnschedulable {
		s.singles = append(s.singles, c)
		p.addUnschedulable(unit{members: s.singles[len(s.singles)-1:]})
	}
}

// preempt stops runs of less priority for units that could not be assigned and would miss their objectives by waiting.
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

// lowestRunningPriority returns the lowest priority of any run, which is the highest number.
func (p *Planner) lowestRunningPriority() int {
	lowest := math.MinInt
	for i := range p.runnerStates {
		for k := range p.runnerStates[i].runner.Running {
			lowest = max(lowest, p.runnerStates[i].runner.Running[k].Priority)
		}
	}
	return lowest
}

// preemptFor preempts runs for a unit, unless it can still be on time by waiting for runs that end by themselves. In both
// cases the capacity that it waits for is committed to it, so that the next unit doesn't count on it too.
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

// cheapestEvictions returns the evictions, one for each member, that lose the least work; none if that is too much work,
// or if they would stop too many runs.
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

// cheapestInRack returns the evictions, one for each member, that lose the least work in a rack, and the core-seconds
// lost; infinity if there are too few evictions.
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

// findEvictions finds the eviction on each runner where a task would still be on time, and sorts them by the work lost.
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

// evictionOn finds the victims on a runner that have to stop for a task: those that lose the least work, but for the ones
// that turn out not to be needed. ok is false if there aren't enough.
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
	e = eviction{runner: r, first: first, count: count}
	for _, run := range p.preemption.victims[first:] {
		e.lost += lostWork(r, run)
	}
	return e, true
}

// preemptible appends to the victims all runs on a runner that may be preempted for a task, and returns the index of the
// first one, and what will be free by the time that they could have stopped, without their own capacity.
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

// reprieveVictims removes the victims that need not stop after all, the most expensive first, and returns how many are
// left. free is what is free if all of them stop.
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

// isPreemptible reports whether a run may be stopped for a task. A gang would lose all its members, and a long-running task
// would have to start again at once.
func isPreemptible(run *Run, task *Task) bool {
	return run.Priority > task.Priority && !run.Gang && !run.LongRunning && !run.Stopping
}

// lostWork returns the core-seconds that are lost if a run is stopped.
func lostWork(r *runnerState, run int) float64 {
	victim := &r.runner.Running[run]
	return victim.CheckpointAge.Seconds() * cores(victim.Needs)
}

// evict stops the victims; from now on their release is expected after the time of a stop.
func (p *Planner) evict(e *eviction) {
	for _, run := range p.preemption.victims[e.first : e.first+e.count] {
		p.result.Stops = append(p.result.Stops, Stop{Runner: e.runner.index, Run: run})
		for i := range e.runner.releases {
			if e.runner.releases[i].run == run {
				e.runner.releases[i].in = p.options.StopTime.Seconds()
			}
		}
	}
	sortReleases(e.runner.releases)
}

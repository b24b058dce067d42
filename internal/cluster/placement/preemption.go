package placement

import (
	"cmp"
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	blockedMost = 16   // units for which room may be made, in one round
	stopsMost   = 12   // runs stopped in one round
	thrift      = 0.25 // work lost by stops may be such a part of the work that gets room
	thriftLeast = 0.5  // core-seconds that may be lost in any case
	endsSoon    = 0.3  // seconds beyond the time of a stop; what ends within them is left alone
)

// stopping is what found no room in the present round, and how room could be made.
type stopping struct {
	blocked   []unit
	alone     []*candidate // blocked tasks that are no gangs
	evictions []eviction
	victims   []int // positions of runs on their runners
}

// eviction is what it takes to make room for one member on a runner.
type eviction struct {
	room  *room
	lost  float64 // core-seconds
	first int     // position of its victims in the planner's list
	count int
}

// block notes a unit that found no room.
func (p *Planner) block(u unit) {
	if len(p.stopping.blocked) < blockedMost {
		p.stopping.blocked = append(p.stopping.blocked, u)
	}
}

func (p *Planner) blockAlone(c *candidate) {
	s := &p.stopping
	if len(s.blocked) < blockedMost {
		s.alone = append(s.alone, c)
		p.block(unit{members: s.alone[len(s.alone)-1:]})
	}
}

// preempt stops runs of less priority for what found no room and would miss its objective by waiting for it.
func (p *Planner) preempt() {
	if len(p.stopping.blocked) == 0 {
		return
	}
	lowest := p.lowestRunning()
	slices.SortStableFunc(p.stopping.blocked, func(a, b unit) int {
		return cmp.Compare(a.first().task.Priority, b.first().task.Priority)
	})
	for i := range p.stopping.blocked {
		u := &p.stopping.blocked[i]
		if c := u.first(); c.task.Priority < lowest && c.late == 0 && !c.task.LongRunning && !c.placed {
			p.makeRoom(u)
		}
	}
}

// lowestRunning returns the highest number of priority among the runs.
func (p *Planner) lowestRunning() int {
	lowest := math.MinInt
	for i := range p.rooms {
		for k := range p.rooms[i].runner.Running {
			lowest = max(lowest, p.rooms[i].runner.Running[k].Priority)
		}
	}
	return lowest
}

// makeRoom stops what has to be stopped for a unit, if nothing less will do.
func (p *Planner) makeRoom(u *unit) {
	c := u.first()
	later := &p.gangPlan.later
	p.planLater(u, later)
	if later.possible() && later.end() <= timeLeftTest*c.timeLeft {
		for _, r := range later.rooms {
			add(&r.promised, c.task.Needs)
		}
		return
	}
	evictions := p.cheapestEvictions(u)
	for _, e := range evictions {
		p.evict(&e)
		add(&e.room.promised, c.task.Needs)
	}
}

// cheapestEvictions returns the rooms, one for each member, that lose the least work, or nothing if that is too much.
func (p *Planner) cheapestEvictions(u *unit) []eviction {
	c := u.first()
	p.findEvictions(c)
	best, least := []eviction(nil), math.Inf(1)
	if !c.task.RackLocal || len(u.members) == 1 {
		best, least = p.cheapestOf(u, anyRack)
	} else {
		for rack := range p.racks {
			if found, lost := p.cheapestOf(u, rack); lost < least {
				best, least = found, lost
			}
		}
	}
	own := p.bestRuntime(c) * cores(c.task.Needs) * float64(len(u.members))
	stops := len(p.result.Stops)
	for _, e := range best {
		stops += e.count
	}
	if least > thriftLeast+thrift*own || stops > stopsMost {
		return nil
	}
	return best
}

func (p *Planner) cheapestOf(u *unit, rack int) (best []eviction, lost float64) {
	for _, e := range p.stopping.evictions { // the cheapest first
		if rack == anyRack || e.room.rack == rack {
			best = append(best, e)
			lost += e.lost
		}
		if len(best) == len(u.members) {
			return best, lost
		}
	}
	return nil, math.Inf(1)
}

// findEvictions lists for each room where a task would still be in time what has to be stopped, by the work lost.
func (p *Planner) findEvictions(c *candidate) {
	p.stopping.evictions, p.stopping.victims = p.stopping.evictions[:0], p.stopping.victims[:0]
	stop := p.options.StopTime.Seconds()
	for i := range p.rooms {
		r := &p.rooms[i]
		late := stop+p.doubtfulRuntime(c, r) > timeLeftTest*c.timeLeft
		apart := c.task.AntiAffinity > 0 && r.count(c.task.Group) >= c.task.AntiAffinity
		if late || apart || !r.capable(c.task) || !p.trusts(c, r) {
			continue
		}
		if e, ok := p.evictionIn(c, r); ok {
			p.stopping.evictions = append(p.stopping.evictions, e)
		}
	}
	slices.SortFunc(p.stopping.evictions, func(a, b eviction) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.room.index, b.room.index))
	})
}

// evictionIn finds what to stop in a room: what loses least first, less what turns out not to be needed.
func (p *Planner) evictionIn(c *candidate, r *room) (e eviction, ok bool) {
	stop := p.options.StopTime.Seconds()
	free := r.free
	subtract(&free, r.promised)
	first := len(p.stopping.victims)
	for _, end := range p.endings(r) {
		switch {
		case end.in <= stop+endsSoon:
			add(&free, end.needs)
		case end.run != begunNow && mayStop(&r.runner.Running[end.run], c.task):
			p.stopping.victims = append(p.stopping.victims, end.run)
		}
	}
	victims := p.stopping.victims[first:]
	slices.SortFunc(victims, func(a, b int) int {
		return cmp.Or(cmp.Compare(lostWork(r, a), lostWork(r, b)), cmp.Compare(a, b))
	})
	count := 0
	for count < len(victims) && !fits(free, c.task.Needs) {
		add(&free, r.runner.Running[victims[count]].Needs)
		count++
	}
	if !fits(free, c.task.Needs) {
		p.stopping.victims = p.stopping.victims[:first]
		return eviction{}, false
	}
	count = spareVictims(r, victims[:count], free, c.task.Needs)
	p.stopping.victims = p.stopping.victims[:first+count]
	e = eviction{room: r, first: first, count: count}
	for _, run := range p.stopping.victims[first:] {
		e.lost += lostWork(r, run)
	}
	return e, true
}

// spareVictims drops those that need not be stopped after all, the dearest first, and returns how many are left.
func spareVictims(r *room, victims []int, free, needs protocol.Resources) int {
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

// mayStop tells whether a run may be stopped for a task. Gangs would be broken, and what lasts has to run anyway.
func mayStop(run *Run, task *Task) bool {
	return run.Priority > task.Priority && !run.Gang && !run.LongRunning && !run.Stopping
}

// lostWork returns the core-seconds that are lost with a run.
func lostWork(r *room, run int) float64 {
	victim := &r.runner.Running[run]
	return victim.CheckpointAge.Seconds() * cores(victim.Needs)
}

// evict stops the victims, and expects their room as soon as stops take.
func (p *Planner) evict(e *eviction) {
	for _, run := range p.stopping.victims[e.first : e.first+e.count] {
		p.result.Stops = append(p.result.Stops, Stop{Runner: e.room.index, Run: run})
		for i := range e.room.ends {
			if e.room.ends[i].run == run {
				e.room.ends[i].in = p.options.StopTime.Seconds()
			}
		}
	}
	sortEndings(e.room.ends)
}

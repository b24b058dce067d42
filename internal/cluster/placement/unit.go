package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	largeShare = 0.3                    // of a runner, from which on a task is large
	largeWaits = 300 * time.Millisecond // so long a large task takes part in the matching as others do
	holdMost   = 10 * time.Second       // room is held back for a unit for at most that long
	holdPause  = 3 * time.Second        // and then not for so long
	holdForget = 10 * time.Second       // after which a unit that is not seen any more is forgotten
	racksMost  = 16                     // racks looked at for a unit
	anyRack    = -1
	sooner     = 0.9 // waiting must end that much sooner than going now
	heldMost   = 6   // units that room is held back for, at most, in one round
)

// planning has the units of a level, and the buffers of their plans.
type planning struct {
	units      []unit
	slots      []slot // of all racks
	rackSlots  []slot
	inRack     []int // slots by rack
	now, later plan
	tried      plan
}

// unit is what starts together: a gang, or one large task.
type unit struct {
	members []*candidate
}

func (u *unit) first() *candidate { return u.members[0] }

func (u *unit) key() any { return u.first().holdKey() }

// hold is room that is held back for a unit over rounds.
type hold struct {
	since, seen time.Duration
}

// slot is room for members of a unit on one runner.
type slot struct {
	room    *room
	count   int     // members
	start   float64 // seconds from now
	runtime float64 // seconds
	cost    float64
}

// plan is one way to place a unit.
type plan struct {
	rooms   []*room // by member
	start   float64 // seconds from now; infinity: there is no way
	runtime float64 // of the slowest member, seconds
	stretch float64 // how much longer it runs for being spread over racks; in runtime
	cost    float64
}

func (p *plan) end() float64 { return p.start + p.runtime }

func (p *plan) possible() bool { return !math.IsInf(p.start, 1) }

// formUnits gathers the gangs and large tasks of a level, in their order.
func (p *Planner) formUnits(level []*candidate) {
	p.gangPlan.units = p.gangPlan.units[:0]
	for first := 0; first < len(level); {
		next := first + 1
		if level[first].task.Gang {
			for next < len(level) && level[next].task.Gang && level[next].task.Group == level[first].task.Group {
				next++
			}
		}
		if level[first].task.Gang || level[first].large {
			p.gangPlan.units = append(p.gangPlan.units, unit{level[first:next]})
		}
		first = next
	}
}

// isLarge tells whether a task has waited and takes much of a runner, so that small ones could keep it out for ever.
func (p *Planner) isLarge(c *candidate) bool {
	return c.task.Waited >= largeWaits && !c.task.LongRunning && p.factsOf(c.task).large
}

// placeUnit places all members of a unit, or none; then it may hold room back.
func (p *Planner) placeUnit(u *unit) {
	now, later := &p.gangPlan.now, &p.gangPlan.later
	p.planNow(u, now)
	if now.possible() && !p.gainsByWaiting(u, now, later) {
		p.placeAll(u, now)
		return
	}
	if !now.possible() {
		p.planLater(u, later)
		p.block(*u)
	}
	if later.possible() {
		p.holdBack(u, later)
	}
}

func (p *Planner) placeAll(u *unit, now *plan) {
	runtime := 0.0
	for i, c := range u.members {
		runtime = max(runtime, p.runtime(c, now.rooms[i])*now.stretch)
	}
	for i, c := range u.members {
		p.place(c, now.rooms[i], runtime)
	}
	delete(p.holds, u.key())
}

// gainsByWaiting tells whether a unit would end sooner if it waited, as for one rack or the rack of its data. It waits
// no longer in all than it can gain. The plan to wait is left in later.
func (p *Planner) gainsByWaiting(u *unit, now, later *plan) bool {
	task := u.first().task
	if u.first().rescue || task.Affinity == "" && !(task.RackLocal && len(u.members) > 1) {
		return false
	}
	if now.runtime <= waitFrom*p.bestRuntime(u.first()) {
		return false
	}
	p.planLater(u, later)
	gain := now.runtime - later.runtime
	return later.possible() && later.end() < sooner*now.runtime && task.Waited.Seconds() <= gain
}

// planNow finds the cheapest way to start a unit at once.
func (p *Planner) planNow(u *unit, best *plan) {
	p.slotsNow(u)
	p.planSlots(u, best, func(a, b *plan) bool { return a.cost < b.cost })
}

// planLater finds the way to end a unit soonest as rooms become free.
func (p *Planner) planLater(u *unit, best *plan) {
	p.slotsLater(u)
	p.planSlots(u, best, func(a, b *plan) bool { return a.end() < b.end() })
}

// slotsNow gathers the places that a unit's members could take now.
func (p *Planner) slotsNow(u *unit) {
	p.gangPlan.slots = p.gangPlan.slots[:0]
	c := u.first()
	for i := range p.rooms {
		r := &p.rooms[i]
		if !p.may(c, r) {
			continue
		}
		cost, runtime := p.cost(c, r), p.doubtfulRuntime(c, r)
		if count := r.fitting(c.task, len(u.members)); count > 0 {
			p.gangPlan.slots = append(p.gangPlan.slots, slot{r, count, 0, runtime, cost})
		}
	}
}

// slotsLater gathers the places that they could take as runs end.
func (p *Planner) slotsLater(u *unit) {
	p.gangPlan.slots = p.gangPlan.slots[:0]
	c := u.first()
	for i := range p.rooms {
		r := &p.rooms[i]
		if r.held.group != nil && r.held.group != u.key() || !r.capable(c.task) || !p.trusts(c, r) {
			continue
		}
		runtime := p.doubtfulRuntime(c, r)
		most := len(u.members)
		if c.task.AntiAffinity > 0 {
			most = min(most, c.task.AntiAffinity-r.count(c.task.Group))
		}
		for count := 1; count <= most; count++ {
			start := p.freeIn(r, c.task.Needs, count)
			if math.IsInf(start, 1) {
				break
			}
			p.gangPlan.slots = append(p.gangPlan.slots, slot{r, 1, start, runtime, start + runtime})
		}
	}
}

// planSlots finds the best choice of the gathered slots: in any racks, or in one of the racks that come first where
// that matters.
func (p *Planner) planSlots(u *unit, best *plan, better func(a, b *plan) bool) {
	best.start = math.Inf(1)
	slots, members := p.gangPlan.slots, len(u.members)
	if total(slots) < members {
		return
	}
	slices.SortFunc(slots, compareSlots)
	p.planOf(u, best, slots)
	if !u.first().task.RackLocal || members == 1 {
		return
	}
	p.gangPlan.inRack = slices.Grow(p.gangPlan.inRack[:0], len(p.racks))[:len(p.racks)]
	inRack, tried := p.gangPlan.inRack, 0
	clear(inRack)
	for i := range slots {
		rack := slots[i].room.rack
		before := inRack[rack]
		inRack[rack] += slots[i].count
		if before < members && inRack[rack] >= members && tried < racksMost {
			tried++
			p.planRack(u, rack, slots[:i+1], best, better)
		}
	}
}

// planRack tries those of the slots that are in a rack.
func (p *Planner) planRack(u *unit, rack int, slots []slot, best *plan, better func(a, b *plan) bool) {
	g := &p.gangPlan
	g.rackSlots = g.rackSlots[:0]
	for _, s := range slots {
		if s.room.rack == rack {
			g.rackSlots = append(g.rackSlots, s)
		}
	}
	p.planOf(u, &g.tried, g.rackSlots)
	if better(&g.tried, best) {
		*best, g.tried = g.tried, *best
	}
}

func total(slots []slot) (members int) {
	for i := range slots {
		members += slots[i].count
	}
	return members
}

// planOf fills a plan with a room for each member, from the first slots on.
func (p *Planner) planOf(u *unit, made *plan, slots []slot) {
	*made = plan{rooms: made.rooms[:0], stretch: 1}
	c, members := u.first(), len(u.members)
	for _, s := range slots {
		for range min(s.count, members-len(made.rooms)) {
			made.rooms = append(made.rooms, s.room)
		}
		made.start = max(made.start, s.start)
		made.runtime = max(made.runtime, s.runtime)
		if c.task.RackLocal && s.room.rack != slots[0].room.rack {
			made.stretch = p.options.FarFactor
		}
		if len(made.rooms) == members {
			break
		}
	}
	made.runtime *= made.stretch
	for _, r := range made.rooms {
		made.cost += p.memberCost(c, r, made.runtime)
	}
}

// memberCost prices a member that ends with the others.
func (p *Planner) memberCost(c *candidate, r *room, runtime float64) float64 {
	return price(p.weights[r.kind], runtime, c.timeLeft, p.largestLeft) + runtime*p.preference(c, r)
}

func compareSlots(a, b slot) int {
	switch {
	case a.cost < b.cost:
		return -1
	case a.cost > b.cost:
		return 1
	case a.room != b.room:
		return a.room.index - b.room.index
	default:
		return cmp.Compare(a.start, b.start)
	}
}

// holdBack keeps the rooms of a plan from tasks of no more priority that would still run when they are needed.
func (p *Planner) holdBack(u *unit, later *plan) {
	if !p.mayHold(u) {
		return
	}
	needs := u.first().task.Needs
	for _, r := range later.rooms {
		held := &r.held
		if held.group != u.key() {
			spare := r.free
			for _, end := range p.endings(r) {
				if end.in <= later.start {
					add(&spare, end.needs)
				}
			}
			*held = heldRoom{u.key(), u.first().task.Priority, later.start, spare}
		}
		subtract(&held.spare, needs)
	}
}

// mayHold tells whether room may be held back for a unit now: for a bounded time, then not for a while.
func (p *Planner) mayHold(u *unit) bool {
	known := p.holds[u.key()]
	if known == nil {
		if len(p.holds) >= heldMost {
			return false
		}
		known = &hold{since: p.now}
		p.holds[u.key()] = known
	}
	known.seen = p.now
	if p.now-known.since >= holdMost+holdPause {
		known.since = p.now
	}
	return p.now-known.since < holdMost
}

// forgetHolds forgets units that are placed or gone.
func (p *Planner) forgetHolds() {
	for key, known := range p.holds {
		if p.now-known.seen > holdForget {
			delete(p.holds, key)
		}
	}
}

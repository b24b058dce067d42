package gang

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"ospreypond/policy"
)

// saveSlack is the planned duration of a save as a multiple of its size divided by the bandwidth.
const saveSlack = 1.25

// planSaves returns, for each gang that must relocate, when its save starts. With the policy Latest, the saves are planned
// one after another, as the fleet shares the register's bandwidth: the gang with the latest deadline first, ending Margin
// before its deadline, and each further one ending Margin before its own deadline or when the save planned before it starts,
// whichever is earlier. With AtOnce, all saves start at once (the zero time); with Never, the plan is empty. The plan depends
// only on the records and the retirements, so all dispatchers compute the same one without communication.
func (c *Core) planSaves() map[string]time.Time {
	type relocation struct {
		name     string
		deadline time.Time
		bytes    int64
	}
	var relocations []relocation
	for name, g := range c.gangs {
		if g.isCurrent && (g.record.Phase == Running || g.record.Phase == Saving) && c.mustRelocate(g) {
			relocations = append(relocations, relocation{name, c.retiresAt(g), g.record.stateBytes()})
		}
	}
	slices.SortFunc(relocations, func(a, b relocation) int {
		return cmp.Or(b.deadline.Compare(a.deadline), cmp.Compare(a.name, b.name))
	})
	startAt := map[string]time.Time{}
	var next time.Time
	for _, r := range relocations {
		switch c.cfg.RetirePolicy {
		case Latest:
			end := r.deadline.Add(-c.cfg.Margin)
			if !next.IsZero() && next.Before(end) {
				end = next
			}
			next = end.Add(-time.Duration(saveSlack * float64(r.bytes) / c.cfg.Bandwidth * float64(time.Second)))
			startAt[r.name] = next
		case AtOnce:
			startAt[r.name] = time.Time{}
		}
	}
	return startAt
}

// retiresAt returns the earliest time at which one of a gang's runners retires, or the zero time if none retires.
func (c *Core) retiresAt(g *gang) (first time.Time) {
	for _, p := range g.record.Placement {
		if r := c.runners[p].Retires; !r.IsZero() && (first.IsZero() || r.Before(first)) {
			first = r
		}
	}
	return first
}

// mustRelocate reports whether a runner of the gang retires less than Margin after the gang is expected to be done, or earlier.
func (c *Core) mustRelocate(g *gang) bool {
	retiresAt := c.retiresAt(g)
	return !retiresAt.IsZero() && c.now.Add(c.remaining(g, g.record.Placement)).After(retiresAt.Add(-c.cfg.Margin))
}

// remaining returns how long a gang still has to run on these runners, at the speed of the slowest.
func (c *Core) remaining(g *gang, runners []string) time.Duration {
	speed := math.Inf(1)
	for _, name := range runners {
		speed = min(speed, c.runners[name].Speed)
	}
	progress := g.record.progress()
	if g.ownGeneration != 0 {
		progress = c.progress(g)
	}
	return time.Duration((1 - progress) * float64(g.record.work()) / max(speed, 1e-6))
}

// placeWaiting starts the waiting gangs that fit on the runners, the most urgent first. All dispatchers place all gangs in
// the same order by the same rules, but each dispatcher writes only the starts of the gangs that it acts for. So two
// dispatchers seldom choose the same slots.
func (c *Core) placeWaiting() {
	if !c.hasStartable() {
		return // the assignment below takes much CPU time
	}
	free := c.usableSlots()
	for _, name := range c.waiting(free) {
		g := c.gangs[name]
		if c.now.Before(g.record.NotBefore) {
			continue
		}
		placement := c.match(g, free)
		if placement == nil {
			if c.cfg.StarvationTimeout > 0 && c.now.Sub(g.record.Submitted) > c.cfg.StarvationTimeout { // else smaller gangs could always take its slots
				return
			}
			continue
		}
		for i, runner := range placement {
			free[runner] -= g.record.Needs[i].Slots
		}
		if g.writing == nil && !g.needsRead && c.actsFor(name, g) && c.moves < c.cfg.MaxMoves {
			c.moves++
			c.write(name, g, Placed, func(r *Record) { r.Generation, r.Placement = r.Generation+1, placement })
		}
	}
}

// usableSlots returns the free slots of each usable runner, before subtracting the slots of gang members.
func (c *Core) usableSlots() map[string]float64 {
	free := map[string]float64{}
	for n, r := range c.runners {
		if r.Usable {
			free[n] = r.Slots
		}
	}
	return free
}

// waiting returns the waiting gangs, the most urgent first, and subtracts from free the slots of the other gangs' members.
func (c *Core) waiting(free map[string]float64) (waiting []string) {
	for _, name := range slices.Sorted(maps.Keys(c.gangs)) {
		g := c.gangs[name]
		switch {
		case !g.isCurrent:
		case g.record.Phase == Waiting:
			waiting = append(waiting, name)
		case !g.record.Phase.Ended():
			for i, runner := range g.record.Placement {
				free[runner] -= g.record.Needs[i].Slots
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b string) int { return c.compare(c.gangs[a], c.gangs[b]) })
	return waiting
}

// hasStartable reports whether this dispatcher may write the start of a waiting gang now.
func (c *Core) hasStartable() bool {
	for name, g := range c.gangs {
		if g.isCurrent && g.record.Phase == Waiting && g.writing == nil && !g.needsRead && c.actsFor(name, g) {
			return true
		}
	}
	return false
}

// compare orders gangs by priority, which rises while a gang waits, then by due time, then by submission.
func (c *Core) compare(a, b *gang) int {
	priority := func(g *gang) float64 {
		if c.cfg.AgeStep <= 0 {
			return float64(g.record.Priority)
		}
		return float64(g.record.Priority) + math.Floor(float64(c.now.Sub(g.record.Submitted))/float64(c.cfg.AgeStep))
	}
	return cmp.Or(cmp.Compare(priority(b), priority(a)), a.record.Due.Compare(b.record.Due), a.record.Submitted.Compare(b.record.Submitted),
		cmp.Compare(a.record.Name, b.record.Name))
}

// match returns a runner for each member, or nil if not all members get a runner. No chosen runner retires before the gang
// is expected to be done. As that time depends on the slowest runner of a placement, match excludes the runners of a
// placement that retire too early and tries again, until no runner is excluded or no placement is left.
func (c *Core) match(g *gang, free map[string]float64) []string {
	excluded := map[string]bool{}
	for {
		placement := c.cheapestAssignment(g, free, excluded)
		if placement == nil {
			return nil
		}
		end, retiresBefore := c.now.Add(c.cfg.StartTimeout+c.cfg.Margin+c.remaining(g, placement)), false
		for _, runner := range placement {
			if at := c.runners[runner].Retires; !at.IsZero() && end.After(at) {
				excluded[runner], retiresBefore = true, true
			}
		}
		if !retiresBefore {
			return placement
		}
	}
}

// cheapestAssignment returns a runner for each member at the least total cost, or nil if there is none. It tries each zone as
// the gang's zone. ZonePenalty raises the cost of members outside this zone.
func (c *Core) cheapestAssignment(g *gang, free map[string]float64, excluded map[string]bool) (best []string) {
	maxSlots := 0.0
	for _, n := range g.record.Needs {
		maxSlots = max(maxSlots, n.Slots)
	}
	var slots []Runner // each runner once for each member that it has room for
	zones := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(free)) {
		r := c.runners[name]
		if n := min(int(free[name]/maxSlots+1e-9), len(g.record.Needs)); !excluded[name] && n > 0 {
			slots = append(slots, slices.Repeat([]Runner{r}, n)...)
			zones[r.Zone] = true
		}
	}
	minCost := math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if cost, placement := c.assign(g.record.Needs, slots, zone); cost < minCost {
			minCost, best = cost, placement
		}
	}
	return best
}

// impossible is the cost of a runner of another kind than the member needs. Costs of allowed runners are bounded by it.
const impossible = 1e8

// assign returns the assignment of members to runners with the least total cost, and that cost, with the penalty for runners
// outside the zone. The cost is infinite if not all members get a runner.
func (c *Core) assign(needs []Need, slots []Runner, zone string) (total float64, placement []string) {
	costs := make([][]float64, len(needs))
	for i, n := range needs {
		for _, s := range slots {
			costs[i] = append(costs[i], c.cost(n, s, zone))
		}
	}
	placement = make([]string, len(needs))
	for i, s := range policy.Assign(costs, len(slots)) {
		if s < 0 || costs[i][s] >= impossible {
			return math.Inf(1), nil
		}
		total, placement[i] = total+costs[i][s], slots[s].Name
	}
	return total, placement
}

// cost returns the seconds that a second of work at speed 1 takes on a runner, raised by ZonePenalty if it is outside the zone.
func (c *Core) cost(n Need, r Runner, zone string) float64 {
	if n.Kind != "" && n.Kind != r.Kind {
		return impossible
	}
	x := 1 / max(r.Speed, 1e-6)
	if r.Zone != zone {
		x *= 1 + c.cfg.ZonePenalty
	}
	return min(x, impossible)
}

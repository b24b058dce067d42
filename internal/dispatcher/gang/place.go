package gang

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"ospreypond/policy"
)

// saveSlack is how much longer than its bytes and the bandwidth say a save is taken to last.
const saveSlack = 1.25

// planSaves returns when the state of each gang that has to leave its runners is to be saved at the latest. It follows from the
// records and the retirements alone, so that all dispatchers come to the same without a word: backwards from the last
// retirement, one save after another, as the register's bandwidth is the whole fleet's.
func (c *Core) planSaves() map[string]time.Time {
	type leaving struct {
		name string
		by   time.Time
		size int64
	}
	var all []leaving
	for name, g := range c.gangs {
		if g.isCurrent && (g.record.Phase == Running || g.record.Phase == Saving) && c.mustRelocate(g) {
			all = append(all, leaving{name, c.retiresAt(g), g.record.stateBytes()})
		}
	}
	slices.SortFunc(all, func(a, b leaving) int { return cmp.Or(b.by.Compare(a.by), cmp.Compare(a.name, b.name)) })
	at := map[string]time.Time{}
	var next time.Time
	for _, l := range all {
		switch c.cfg.RetirePolicy {
		case Latest:
			end := l.by.Add(-c.cfg.Margin)
			if !next.IsZero() && next.Before(end) {
				end = next
			}
			next = end.Add(-time.Duration(saveSlack * float64(l.size) / c.cfg.Bandwidth * float64(time.Second)))
			at[l.name] = next
		case AtOnce:
			at[l.name] = time.Time{}
		}
	}
	return at
}

// retiresAt is when the first of a gang's runners retires; the zero time: none is known to.
func (c *Core) retiresAt(g *gang) (first time.Time) {
	for _, p := range g.record.Placement {
		if r := c.runners[p].Retires; !r.IsZero() && (first.IsZero() || r.Before(first)) {
			first = r
		}
	}
	return first
}

// mustRelocate tells whether a gang has to leave its runners before its end.
func (c *Core) mustRelocate(g *gang) bool {
	by := c.retiresAt(g)
	return !by.IsZero() && c.now.Add(c.remaining(g, g.record.Placement)).After(by.Add(-c.cfg.Margin))
}

// remaining is how long a gang still runs on these runners, as the slowest of them goes.
func (c *Core) remaining(g *gang, on []string) time.Duration {
	speed := math.Inf(1)
	for _, p := range on {
		speed = min(speed, c.runners[p].Speed)
	}
	share := g.record.progress()
	if g.ownGeneration != 0 {
		share = c.progress(g)
	}
	return time.Duration((1 - share) * float64(g.record.work()) / max(speed, 1e-6))
}

// placeWaiting starts the waiting gangs that there is room for, the most urgent first. All dispatchers go through all of them in the
// same order with the same rule, and each writes for its own only, so that they seldom choose the same places.
func (c *Core) placeWaiting(moves int) {
	if !c.any(func(name string, g *gang) bool {
		return g.isCurrent && g.record.Phase == Waiting && g.writing == nil && !g.needsRead && c.actsFor(name, g)
	}) {
		return // nothing to write, so nothing to think about
	}
	free := c.usableSlots()
	for _, name := range c.waiting(free) {
		g := c.gangs[name]
		if c.now.Before(g.record.NotBefore) {
			continue
		}
		on := c.match(g, free)
		if on == nil {
			if c.cfg.StarvationTimeout > 0 && c.now.Sub(g.record.Submitted) > c.cfg.StarvationTimeout { // else smaller ones would always take its places
				return
			}
			continue
		}
		for i, p := range on {
			free[p] -= g.record.Needs[i].Slots
		}
		if g.writing == nil && !g.needsRead && c.actsFor(name, g) && moves < c.cfg.MaxMoves {
			moves++
			c.write(name, g, Placed, func(r *Record) { r.Generation, r.Placement = r.Generation+1, on })
		}
	}
}

// usableSlots returns the free slots of each runner that may have members.
func (c *Core) usableSlots() map[string]float64 {
	free := map[string]float64{}
	for n, r := range c.runners {
		if r.Usable {
			free[n] = r.Slots
		}
	}
	return free
}

// waiting returns the gangs that wait, the most urgent first, and takes off free what the members of the others have.
func (c *Core) waiting(free map[string]float64) (waiting []string) {
	for _, name := range slices.Sorted(maps.Keys(c.gangs)) {
		g := c.gangs[name]
		switch {
		case !g.isCurrent:
		case g.record.Phase == Waiting:
			waiting = append(waiting, name)
		case !g.record.Phase.Ended():
			for i, p := range g.record.Placement {
				free[p] -= g.record.Needs[i].Slots
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b string) int { return c.compare(c.gangs[a], c.gangs[b]) })
	return waiting
}

func (c *Core) any(is func(name string, g *gang) bool) bool {
	for name, g := range c.gangs {
		if is(name, g) {
			return true
		}
	}
	return false
}

// compare puts first what has the higher priority, which waiting raises, then what is due sooner, then what came sooner.
func (c *Core) compare(a, b *gang) int {
	rank := func(g *gang) float64 {
		if c.cfg.AgeStep <= 0 {
			return float64(g.record.Priority)
		}
		return float64(g.record.Priority) + math.Floor(float64(c.now.Sub(g.record.Submitted))/float64(c.cfg.AgeStep))
	}
	return cmp.Or(cmp.Compare(rank(b), rank(a)), a.record.Due.Compare(b.record.Due), a.record.Submitted.Compare(b.record.Submitted),
		cmp.Compare(a.record.Name, b.record.Name))
}

// match returns a runner for each member, all of them or nil: none that retires before the gang's end, which the slowest of
// them says.
func (c *Core) match(g *gang, free map[string]float64) []string {
	without := map[string]bool{}
	for {
		on := c.cheapestAssignment(g, free, without)
		if on == nil {
			return nil
		}
		end, leaves := c.now.Add(c.cfg.StartTimeout+c.cfg.Margin+c.remaining(g, on)), false
		for _, p := range on {
			if by := c.runners[p].Retires; !by.IsZero() && end.After(by) {
				without[p], leaves = true, true
			}
		}
		if !leaves {
			return on
		}
	}
}

// cheapestAssignment returns a runner for each member at the least total time, near one another: each zone in turn is taken for theirs.
func (c *Core) cheapestAssignment(g *gang, free map[string]float64, without map[string]bool) (best []string) {
	most := 0.0
	for _, n := range g.record.Needs {
		most = max(most, n.Slots)
	}
	var places []Runner
	zones := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(free)) {
		r := c.runners[name]
		if n := min(int(free[name]/most+1e-9), len(g.record.Needs)); !without[name] && n > 0 {
			places = append(places, slices.Repeat([]Runner{r}, n)...)
			zones[r.Zone] = true
		}
	}
	least := math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if total, on := c.assign(g.record.Needs, places, zone); total < least {
			least, best = total, on
		}
	}
	return best
}

// impossible is the cost of a runner that a member cannot have; no time is as long.
const impossible = 1e8

// assign returns a slot's runner for each member at the least total cost, with members outside the zone at a penalty, and that
// cost: infinite if not all of them get one.
func (c *Core) assign(needs []Need, slots []Runner, zone string) (total float64, on []string) {
	costs := make([][]float64, len(needs))
	for i, n := range needs {
		for _, s := range slots {
			costs[i] = append(costs[i], c.cost(n, s, zone))
		}
	}
	on = make([]string, len(needs))
	for i, s := range policy.Assign(costs, len(slots)) {
		if s < 0 || costs[i][s] >= impossible {
			return math.Inf(1), nil
		}
		total, on[i] = total+costs[i][s], slots[s].Name
	}
	return total, on
}

// cost is the time that a unit of work takes on a runner, with the penalty if it is outside the zone.
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

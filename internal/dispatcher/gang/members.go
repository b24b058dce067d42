package gang

import (
	"slices"
	"time"
)

// Member takes in what came of a member that this dispatcher sent.
func (c *Core) Member(now time.Time, name string, generation uint64, i int, n News) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.mine != generation || generation == 0 || i < 0 || i >= len(g.members) || g.members[i].over() {
		return // of an older generation: it takes no effect
	}
	m := &g.members[i]
	m.heard = c.now
	switch n {
	case Began, Goes:
		m.began = true
	case Finished:
		m.began, m.done = true, true
	case Broke, BadPart:
		m.broke, m.bad = true, n == BadPart
	}
	if g.writing == nil && !g.stale { // else at the next tick after what is under way has ended
		c.settle(name, g)
	}
}

// settle does what members' ends lead to; done tells whether that was anything.
func (c *Core) settle(name string, g *gang) (done bool) {
	ended, broke := 0, false
	for _, m := range g.members {
		if m.done {
			ended++
		}
		broke = broke || m.broke
	}
	switch {
	case broke:
		c.fallBack(name, g)
	case ended == len(g.members) && (g.rec.Phase == Running || g.rec.Phase == Saving):
		c.write(name, g, Ended, nil)
	default:
		return false
	}
	return true
}

// fallBack has a gang that lost a member wait for a new start.
func (c *Core) fallBack(name string, g *gang) {
	why := Lost
	if g.rec.Phase == Starting && slices.ContainsFunc(g.members, func(m member) bool { return m.bad }) {
		why = Damaged
	}
	c.write(name, g, why, func(r *Record) {
		if why == Damaged { // the one before may be whole; where there is none it starts over
			r.Checkpoint, r.Before = r.Before, nil
		}
		if g.rec.Phase == Starting && why == Lost {
			r.Tries++
			r.NotBefore = c.now.Add(c.backoff(r.Tries))
		}
	})
}

func (c *Core) backoff(tries int) time.Duration {
	return min(c.cfg.BackoffMost, c.cfg.Backoff<<min(20, tries-1))
}

// Parts takes in the digests of the parts that are there of a save; one that is missing is empty. Whether a part is whole the
// register tells: it takes none whose digest is not its own.
func (c *Core) Parts(now time.Time, name string, generation uint64, number int, digests []string) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.writing != nil || g.stale || g.mine == 0 || g.mine != generation || g.rec.Phase != Saving ||
		g.rec.Number != number || len(digests) != len(g.rec.Needs) || slices.Contains(digests, "") {
		return
	}
	why := Saved
	if g.rec.Leave && c.leaves(g) { // it may have been called off meanwhile
		why = SavedLeave
	}
	c.write(name, g, why, func(r *Record) {
		r.Before, r.Checkpoint = r.Checkpoint, &Save{Generation: generation, Number: number, Share: g.share, Digests: digests}
		r.Leave, r.Tries, r.Taken, r.NotBefore = false, 0, 0, time.Time{}
	})
	g.savedAt = c.now
}

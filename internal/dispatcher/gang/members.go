package gang

import (
	"slices"
	"time"
)

// Member takes in what came of a member that this dispatcher sent.
func (c *Core) Member(now time.Time, name string, generation uint64, i int, n Event) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.ownGeneration != generation || generation == 0 || i < 0 || i >= len(g.members) || g.members[i].over() {
		return // of an older generation: it takes no effect
	}
	m := &g.members[i]
	m.lastContact = c.now
	switch n {
	case Began, Progressed:
		m.started = true
	case Finished:
		m.started, m.done = true, true
	case Failed, DamagedPart:
		m.failed, m.damaged = true, n == DamagedPart
	}
	if g.writing == nil && !g.needsRead { // else at the next tick after what is under way has ended
		c.handleEnds(name, g)
	}
}

// handleEnds does what members' ends lead to; done tells whether that was anything.
func (c *Core) handleEnds(name string, g *gang) (done bool) {
	ended, broke := 0, false
	for _, m := range g.members {
		if m.done {
			ended++
		}
		broke = broke || m.failed
	}
	switch {
	case broke:
		c.restart(name, g)
	case ended == len(g.members) && (g.record.Phase == Running || g.record.Phase == Saving):
		c.write(name, g, AllEnded, nil)
	default:
		return false
	}
	return true
}

// restart has a gang that lost a member wait for a new start.
func (c *Core) restart(name string, g *gang) {
	why := Lost
	if g.record.Phase == Starting && slices.ContainsFunc(g.members, func(m member) bool { return m.damaged }) {
		why = PartDamaged
	}
	c.write(name, g, why, func(r *Record) {
		if why == PartDamaged { // the one before may be whole; where there is none it starts over
			r.Checkpoint, r.PreviousCheckpoint = r.PreviousCheckpoint, nil
		}
		if g.record.Phase == Starting && why == Lost {
			r.FailedStarts++
			r.NotBefore = c.now.Add(c.backoff(r.FailedStarts))
		}
	})
}

func (c *Core) backoff(tries int) time.Duration {
	return min(c.cfg.MaxBackoff, c.cfg.Backoff<<min(20, tries-1))
}

// Parts takes in the digests of the parts that are there of a save; one that is missing is empty. Whether a part is whole the
// register tells: it takes none whose digest is not its own.
func (c *Core) Parts(now time.Time, name string, generation uint64, number int, digests []string) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.writing != nil || g.needsRead || g.ownGeneration == 0 || g.ownGeneration != generation || g.record.Phase != Saving ||
		g.record.SaveNumber != number || len(digests) != len(g.record.Needs) || slices.Contains(digests, "") {
		return
	}
	why := SaveComplete
	if g.record.Relocate && c.mustRelocate(g) { // it may have been called off meanwhile
		why = SaveCompleteRelocate
	}
	c.write(name, g, why, func(r *Record) {
		r.PreviousCheckpoint, r.Checkpoint = r.Checkpoint, &Checkpoint{Generation: generation, Number: number, Progress: g.saveProgress, Digests: digests}
		r.Relocate, r.FailedStarts, r.Takeovers, r.NotBefore = false, 0, 0, time.Time{}
	})
	g.checkpointAt = c.now
}

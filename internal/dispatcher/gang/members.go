package gang

import (
	"slices"
	"time"
)

// Member handles an event of member i of a gang that this dispatcher sent. An event of another generation has no effect.
func (c *Core) Member(now time.Time, name string, generation uint64, i int, e Event) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.ownGeneration != generation || generation == 0 || i < 0 || i >= len(g.members) || g.members[i].hasEnded() {
		return
	}
	m := &g.members[i]
	m.lastContact = c.now
	switch e {
	case Began, Progressed:
		m.started = true
	case Finished:
		m.started, m.done = true, true
	case Failed, DamagedPart:
		m.failed, m.damaged = true, e == DamagedPart
	}
	if g.writing == nil && !g.needsRead { // else the first Tick after the read or write handles the event
		c.handleEnds(name, g)
	}
}

// handleEnds writes the step that follows when a member has failed or all members are done. wrote reports whether there was
// one.
func (c *Core) handleEnds(name string, g *gang) (wrote bool) {
	done, anyFailed := 0, false
	for _, m := range g.members {
		if m.done {
			done++
		}
		anyFailed = anyFailed || m.failed
	}
	switch {
	case anyFailed:
		c.restart(name, g)
	case done == len(g.members) && (g.record.Phase == Running || g.record.Phase == Saving):
		c.write(name, g, AllEnded, nil)
	default:
		return false
	}
	return true
}

// restart writes the step back to Waiting of a gang that has lost a member. The gang will start again from its checkpoint or,
// if a member could not start because its part is damaged, from the previous checkpoint.
func (c *Core) restart(name string, g *gang) {
	cause := Lost
	if g.record.Phase == Starting && slices.ContainsFunc(g.members, func(m member) bool { return m.damaged }) {
		cause = PartDamaged
	}
	c.write(name, g, cause, func(r *Record) {
		if cause == PartDamaged { // without a previous checkpoint the gang starts from the beginning
			r.Checkpoint, r.PreviousCheckpoint = r.PreviousCheckpoint, nil
		}
		if g.record.Phase == Starting && cause == Lost {
			r.FailedStarts++
			r.NotBefore = c.now.Add(c.backoff(r.FailedStarts))
		}
	})
}

// backoff returns the wait after the given number of failed starts in a row, which is at least 1.
func (c *Core) backoff(failedStarts int) time.Duration {
	return min(c.cfg.MaxBackoff, c.cfg.Backoff<<min(20, failedStarts-1))
}

// Parts handles the answer to a ListParts: the digests of a save's parts by member, empty for a part that is missing. When no
// part is missing, it writes the new checkpoint. Whether a part is complete need not be checked here, as the register rejects
// a part that doesn't match its digest.
func (c *Core) Parts(now time.Time, name string, generation uint64, number int, digests []string) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.writing != nil || g.needsRead || g.ownGeneration == 0 || g.ownGeneration != generation || g.record.Phase != Saving ||
		g.record.SaveNumber != number || len(digests) != len(g.record.Needs) || slices.Contains(digests, "") {
		return
	}
	cause := SaveComplete
	if g.record.Relocate && c.mustRelocate(g) { // the retirement may have been called off since the save began
		cause = SaveCompleteRelocate
	}
	c.write(name, g, cause, func(r *Record) {
		r.PreviousCheckpoint, r.Checkpoint = r.Checkpoint, &Checkpoint{Generation: generation, Number: number, Progress: g.saveProgress, Digests: digests}
		r.Relocate, r.FailedStarts, r.Takeovers, r.NotBefore = false, 0, 0, time.Time{}
	})
	g.checkpointAt = c.now
}

package gang

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readRetryInterval is how long a read or a write is waited for before the record is asked for again.
const readRetryInterval = 5 * time.Second

// maxSaveBacklog is how much the register may have to take in before another save by the clock begins. Gangs stand still while they
// save: many at once take no longer in all, but each of them does.
const maxSaveBacklog = 10 * time.Second

// partsPollInterval is how often the parts of a save are looked for.
const partsPollInterval = 500 * time.Millisecond

// Tick does what is due.
func (c *Core) Tick(now time.Time) {
	c.now = now
	moves := 0
	for _, g := range c.gangs {
		if g.ownGeneration != 0 && (g.record.Phase == Starting || g.record.Phase == Saving) {
			moves++
		}
	}
	plan := c.planSaves()
	for _, name := range slices.Sorted(maps.Keys(c.gangs)) {
		g := c.gangs[name]
		switch {
		case g.needsRead || g.writing != nil:
			if c.now.Sub(g.requestedAt) >= readRetryInterval {
				c.read(name, g)
			}
		case !g.isCurrent || g.record.Phase.Ended() || g.record.Phase == Waiting || !c.actsFor(name, g):
		case g.ownGeneration == 0: // its members hung on a holder, or a life, that is gone
			// Where views are wrong for good, each would take it from the other again and again: each time is later.
			if c.now.Sub(g.changedAt) >= c.cfg.Backoff<<min(16, g.record.Takeovers) {
				c.write(name, g, OwnerGone, func(r *Record) { r.Takeovers++ })
			}
		default:
			c.drive(name, g, plan, &moves)
		}
	}
	c.placeWaiting(moves)
}

// drive does what is due for a gang whose members are this dispatcher's.
func (c *Core) drive(name string, g *gang, plan map[string]time.Time, moves *int) {
	if c.handleEnds(name, g) {
		return
	}
	began, ended, gone := true, false, false
	for i, m := range g.members {
		began, ended = began && m.started, ended || m.done
		r, there := c.runners[g.record.Placement[i]]
		gone = gone || !m.done && (m.started && c.now.Sub(m.lastContact) > c.cfg.MemberTimeout || !there || !r.Retires.IsZero() && !c.now.Before(r.Retires))
	}
	switch {
	case gone, g.record.Phase == Starting && !began && c.now.Sub(g.phaseStartedAt) > c.cfg.StartTimeout:
		c.restart(name, g)
	case g.record.Phase == Starting && began:
		c.write(name, g, AllStarted, func(r *Record) { r.FailedStarts, r.NotBefore = 0, time.Time{} })
		g.checkpointAt = c.now // from here on it advances
	case g.record.Phase == Running && !ended: // once a member is done the others soon are
		c.startSave(name, g, plan, moves)
	case g.record.Phase == Saving && c.now.Sub(g.phaseStartedAt) > c.cfg.SaveTimeout:
		c.write(name, g, SaveFailed, func(r *Record) { r.Relocate = false })
		g.checkpointAt = c.now
	case g.record.Phase == Saving && c.now.Sub(g.partsListedAt) >= partsPollInterval:
		g.partsListedAt = c.now
		c.out = append(c.out, Action{Kind: ListParts, Gang: name, Generation: g.ownGeneration, SaveNumber: g.record.SaveNumber})
	}
}

// startSave begins a save that is due, for a retirement or by the clock.
func (c *Core) startSave(name string, g *gang, plan map[string]time.Time, moves *int) {
	at, leaves := plan[name]
	leaves = leaves && !c.now.Before(at)
	if !leaves && (*moves >= c.cfg.MaxMoves || !c.isPeriodicSaveDue(name, g, plan)) {
		return
	}
	*moves++
	g.saveProgress = c.progress(g)
	c.write(name, g, SaveDue, func(r *Record) { r.SaveNumber, r.Relocate = r.SaveNumber+1, leaves })
}

// isPeriodicSaveDue tells whether a save by the clock is due: at a time of its own within Every, and only while the register has room
// for it beside the saves that run, and no save for a retirement is soon to begin.
func (c *Core) isPeriodicSaveDue(name string, g *gang, plan map[string]time.Time) bool {
	if c.cfg.CheckpointInterval <= 0 || c.now.Sub(g.checkpointAt) < c.cfg.CheckpointInterval/4 {
		return false
	}
	own := time.Duration(xxhash.Sum64String(name) % uint64(c.cfg.CheckpointInterval))
	turn := func(t time.Time) int64 { return (t.UnixNano() + int64(own)) / int64(c.cfg.CheckpointInterval) }
	if turn(c.now) == turn(g.checkpointAt) {
		return false
	}
	for _, at := range plan {
		if at.Sub(c.now) < c.cfg.SaveTimeout {
			return false
		}
	}
	bytes := int64(0)
	for _, o := range c.gangs {
		if o.record.Phase == Saving {
			bytes += o.record.stateBytes()
		}
	}
	return float64(bytes)/c.cfg.Bandwidth < maxSaveBacklog.Seconds()
}

// progress is how much of a gang's work is done by now, as the slowest of its runners goes.
func (c *Core) progress(g *gang) float64 {
	share := g.record.progress()
	if g.record.Phase == Waiting || g.record.Phase == Starting || g.record.work() <= 0 {
		return share
	}
	speed := 0.0
	for _, p := range g.record.Placement {
		if s := c.runners[p].Speed; speed == 0 || s < speed {
			speed = s
		}
	}
	return min(1, share+speed*c.now.Sub(g.checkpointAt).Seconds()/g.record.work().Seconds())
}

package gang

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readRetryInterval is how long a read or write may be without an answer before the record is read again.
const readRetryInterval = 5 * time.Second

// maxSaveBacklog is the longest time that the saves under way may take by their size and the register's bandwidth for another
// periodic save to begin. Many saves at once take no longer in total, but each save takes longer, and a gang makes no
// progress during its save.
const maxSaveBacklog = 10 * time.Second

// partsPollInterval is the time between two ListParts actions for a save under way.
const partsPollInterval = 500 * time.Millisecond

// Tick advances the time and performs the due work: timeouts, takeovers, saves and starts.
func (c *Core) Tick(now time.Time) {
	c.now = now
	c.moves = 0
	for _, g := range c.gangs {
		if g.ownGeneration != 0 && (g.record.Phase == Starting || g.record.Phase == Saving) {
			c.moves++
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
		case g.ownGeneration == 0: // this dispatcher sent no members: the members of the last owner ended with its connections
			// Dispatchers with wrong views would take a gang over from each other again and again, so the wait is doubled
			// with each takeover.
			if c.now.Sub(g.changedAt) >= c.cfg.Backoff<<min(16, g.record.Takeovers) {
				c.write(name, g, OwnerGone, func(r *Record) { r.Takeovers++ })
			}
		default:
			c.drive(name, g, plan)
		}
	}
	c.placeWaiting()
}

// drive performs the due work for a gang if this dispatcher sent its members. It writes at most one step.
func (c *Core) drive(name string, g *gang, plan map[string]time.Time) {
	if c.handleEnds(name, g) {
		return
	}
	allStarted, anyDone, anyLost := true, false, false
	for i, m := range g.members {
		allStarted, anyDone = allStarted && m.started, anyDone || m.done
		anyLost = anyLost || !m.done && c.isLost(m, g.record.Placement[i])
	}
	switch {
	case anyLost, g.record.Phase == Starting && !allStarted && c.now.Sub(g.phaseStartedAt) > c.cfg.StartTimeout:
		c.restart(name, g)
	case g.record.Phase == Starting && allStarted:
		c.write(name, g, AllStarted, func(r *Record) { r.FailedStarts, r.NotBefore = 0, time.Time{} })
		g.checkpointAt = c.now // the gang makes progress from here on
	case g.record.Phase == Running && !anyDone: // once one member is done, the rest soon will be: a save would only delay them
		c.startSave(name, g, plan)
	case g.record.Phase == Saving && c.now.Sub(g.phaseStartedAt) > c.cfg.SaveTimeout:
		c.write(name, g, SaveFailed, func(r *Record) { r.Relocate = false })
		g.checkpointAt = c.now
	case g.record.Phase == Saving && c.now.Sub(g.partsListedAt) >= partsPollInterval:
		g.partsListedAt = c.now
		c.out = append(c.out, Action{Kind: ListParts, Gang: name, Generation: g.ownGeneration, SaveNumber: g.record.SaveNumber})
	}
}

// isLost reports whether a member that is not done is lost: it sent no event for MemberTimeout, or its runner is removed or
// has retired.
func (c *Core) isLost(m member, runner string) bool {
	r, isKnown := c.runners[runner]
	return m.started && c.now.Sub(m.lastContact) > c.cfg.MemberTimeout || !isKnown || !r.Retires.IsZero() && !c.now.Before(r.Retires)
}

// startSave begins a save if one is due, for a retirement or periodically. MaxMoves doesn't delay a save for a retirement.
func (c *Core) startSave(name string, g *gang, plan map[string]time.Time) {
	at, relocate := plan[name]
	relocate = relocate && !c.now.Before(at)
	if !relocate && (c.moves >= c.cfg.MaxMoves || !c.isPeriodicSaveDue(name, g, plan)) {
		return
	}
	c.moves++
	g.saveProgress = c.progress(g)
	c.write(name, g, SaveDue, func(r *Record) { r.SaveNumber, r.Relocate = r.SaveNumber+1, relocate })
}

// isPeriodicSaveDue reports whether a periodic save is due. A hash of the gang's name gives it an offset within
// CheckpointInterval, so that the saves of different gangs are spread in time. No save is due
//   - within a quarter of CheckpointInterval after the last one,
//   - if a save for a retirement is planned to start within SaveTimeout, or
//   - if the saves under way take the register maxSaveBacklog or longer.
func (c *Core) isPeriodicSaveDue(name string, g *gang, plan map[string]time.Time) bool {
	if c.cfg.CheckpointInterval <= 0 || c.now.Sub(g.checkpointAt) < c.cfg.CheckpointInterval/4 {
		return false
	}
	offset := time.Duration(xxhash.Sum64String(name) % uint64(c.cfg.CheckpointInterval))
	period := func(t time.Time) int64 { return (t.UnixNano() + int64(offset)) / int64(c.cfg.CheckpointInterval) }
	if period(c.now) == period(g.checkpointAt) {
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

// progress returns an estimate of the fraction of a gang's work that is done, from its last checkpoint, the time since then
// and the speed of its slowest runner.
func (c *Core) progress(g *gang) float64 {
	progress := g.record.progress()
	if g.record.Phase == Waiting || g.record.Phase == Starting || g.record.work() <= 0 {
		return progress
	}
	speed := 0.0
	for _, p := range g.record.Placement {
		if s := c.runners[p].Speed; speed == 0 || s < speed {
			speed = s
		}
	}
	return min(1, progress+speed*c.now.Sub(g.checkpointAt).Seconds()/g.record.work().Seconds())
}

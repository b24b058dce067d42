package gang

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readAgain is how long a read or a write is waited for before the record is asked for again.
const readAgain = 5 * time.Second

// saveBacklog is how much the register may have to take in before another save by the clock begins. Gangs stand still while they
// save: many at once take no longer in all, but each of them does.
const saveBacklog = 10 * time.Second

// lookEvery is how often the parts of a save are looked for.
const lookEvery = 500 * time.Millisecond

// Tick does what is due.
func (c *Core) Tick(now time.Time) {
	c.now = now
	moves := 0
	for _, g := range c.gangs {
		if g.mine != 0 && (g.rec.Phase == Starting || g.rec.Phase == Saving) {
			moves++
		}
	}
	plan := c.plan()
	for _, name := range slices.Sorted(maps.Keys(c.gangs)) {
		g := c.gangs[name]
		switch {
		case g.stale || g.writing != nil:
			if c.now.Sub(g.asked) >= readAgain {
				c.read(name, g)
			}
		case !g.seen || g.rec.Phase.Ended() || g.rec.Phase == Waiting || !c.holds(name, g):
		case g.mine == 0: // its members hung on a holder, or a life, that is gone
			// Where views are wrong for good, each would take it from the other again and again: each time is later.
			if c.now.Sub(g.changed) >= c.cfg.Backoff<<min(16, g.rec.Taken) {
				c.write(name, g, Orphaned, func(r *Record) { r.Taken++ })
			}
		default:
			c.drive(name, g, plan, &moves)
		}
	}
	c.place(moves)
}

// drive does what is due for a gang whose members are this dispatcher's.
func (c *Core) drive(name string, g *gang, plan map[string]time.Time, moves *int) {
	if c.settle(name, g) {
		return
	}
	began, ended, gone := true, false, false
	for i, m := range g.members {
		began, ended = began && m.began, ended || m.done
		r, there := c.runners[g.rec.Placement[i]]
		gone = gone || !m.done && (m.began && c.now.Sub(m.heard) > c.cfg.Silence || !there || !r.Retires.IsZero() && !c.now.Before(r.Retires))
	}
	switch {
	case gone, g.rec.Phase == Starting && !began && c.now.Sub(g.began) > c.cfg.Start:
		c.fallBack(name, g)
	case g.rec.Phase == Starting && began:
		c.write(name, g, AllStarted, func(r *Record) { r.Tries, r.NotBefore = 0, time.Time{} })
		g.savedAt = c.now // from here on it advances
	case g.rec.Phase == Running && !ended: // once a member is done the others soon are
		c.save(name, g, plan, moves)
	case g.rec.Phase == Saving && c.now.Sub(g.began) > c.cfg.SaveLimit:
		c.write(name, g, SaveFailed, func(r *Record) { r.Leave = false })
		g.savedAt = c.now
	case g.rec.Phase == Saving && c.now.Sub(g.looked) >= lookEvery:
		g.looked = c.now
		c.out = append(c.out, Action{Kind: Look, Gang: name, Generation: g.mine, Number: g.rec.Number})
	}
}

// save begins a save that is due, for a retirement or by the clock.
func (c *Core) save(name string, g *gang, plan map[string]time.Time, moves *int) {
	at, leaves := plan[name]
	leaves = leaves && !c.now.Before(at)
	if !leaves && (*moves >= c.cfg.MostMoves || !c.periodic(name, g, plan)) {
		return
	}
	*moves++
	g.share = c.progress(g)
	c.write(name, g, SaveDue, func(r *Record) { r.Number, r.Leave = r.Number+1, leaves })
}

// periodic tells whether a save by the clock is due: at a time of its own within Every, and only while the register has room
// for it beside the saves that run, and no save for a retirement is soon to begin.
func (c *Core) periodic(name string, g *gang, plan map[string]time.Time) bool {
	if c.cfg.Every <= 0 || c.now.Sub(g.savedAt) < c.cfg.Every/4 {
		return false
	}
	own := time.Duration(xxhash.Sum64String(name) % uint64(c.cfg.Every))
	turn := func(t time.Time) int64 { return (t.UnixNano() + int64(own)) / int64(c.cfg.Every) }
	if turn(c.now) == turn(g.savedAt) {
		return false
	}
	for _, at := range plan {
		if at.Sub(c.now) < c.cfg.SaveLimit {
			return false
		}
	}
	bytes := int64(0)
	for _, o := range c.gangs {
		if o.rec.Phase == Saving {
			bytes += o.rec.saved()
		}
	}
	return float64(bytes)/c.cfg.Bandwidth < saveBacklog.Seconds()
}

// progress is how much of a gang's work is done by now, as the slowest of its runners goes.
func (c *Core) progress(g *gang) float64 {
	share := g.rec.share()
	if g.rec.Phase == Waiting || g.rec.Phase == Starting || g.rec.work() <= 0 {
		return share
	}
	speed := 0.0
	for _, p := range g.rec.Placement {
		if s := c.runners[p].Speed; speed == 0 || s < speed {
			speed = s
		}
	}
	return min(1, share+speed*c.now.Sub(g.savedAt).Seconds()/g.rec.work().Seconds())
}

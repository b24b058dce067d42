package gang

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Core is one dispatcher's part. One goroutine at a time may use it.
type Core struct {
	cfg     Config
	now     time.Time
	gangs   map[string]*gang
	runners map[string]Runner
	living  []Holder
	alive   map[Holder]bool
	views   int // how often living changed
	settled bool
	marks   int
	out     []Action
	faults  []error
}

// gang is what is known of one record, and of its members where this dispatcher holds it.
type gang struct {
	rec     Record
	version Version
	seen    bool    // rec is as it was read or written last
	stale   bool    // it has to be read before anything is written
	writing *Record // is under way
	asked   time.Time
	mine    uint64 // the generation whose members this dispatcher sent; 0: none
	members []member
	began   time.Time // of the phase, as this dispatcher saw it
	changed time.Time // of the record, likewise
	savedAt time.Time // of the newest save, or of the start
	looked  time.Time
	first   Holder // that comes first for it in the view number firstAt
	firstAt int
	share   float64 // of the work, when the save that runs was asked for
}

type member struct {
	began, done, broke, bad bool
	heard                   time.Time
}

func (m member) over() bool { return m.done || m.broke }

// New returns a core that knows nothing yet.
func New(cfg Config) (*Core, error) {
	switch {
	case cfg.Me.Name == "" || cfg.Me.Life == 0:
		return nil, &ConfigError{"Me", "needs a name and a life"}
	case cfg.Start <= 0 || cfg.Silence <= 0 || cfg.SaveLimit <= 0 || cfg.Backoff <= 0 || cfg.BackoffMost < cfg.Backoff:
		return nil, &ConfigError{"Start, Silence, SaveLimit, Backoff, BackoffMost", "have to be over 0, and BackoffMost no less than Backoff"}
	case cfg.Bandwidth <= 0:
		return nil, &ConfigError{"Bandwidth", "has to be over 0"}
	case cfg.MostGangs < 1 || cfg.MostMoves < 1:
		return nil, &ConfigError{"MostGangs, MostMoves", "have to be over 0"}
	}
	return &Core{cfg: cfg, gangs: map[string]*gang{}, runners: map[string]Runner{}}, nil
}

// Take returns what is to be done, and what went wrong, since it was last asked.
func (c *Core) Take() ([]Action, []error) {
	out, faults := c.out, c.faults
	c.out, c.faults = nil, nil
	return out, faults
}

// Fleet takes in who lives, by the view; settled is false while the view may be about to change, and then nobody's gangs are
// taken over.
func (c *Core) Fleet(now time.Time, living []Holder, settled bool) {
	if c.now, c.settled = now, settled; slices.Equal(c.living, living) {
		return
	}
	c.living, c.alive, c.views = slices.Clone(living), map[Holder]bool{}, c.views+1
	for _, h := range living {
		c.alive[h] = true
	}
}

// Runners takes in what is known of all runners.
func (c *Core) Runners(now time.Time, all []Runner) {
	c.now = now
	clear(c.runners)
	for _, r := range all {
		c.runners[r.Name] = r
	}
}

// holds tells whether this dispatcher is to act for a gang: it holds it, or who did is gone and it comes first among the
// living in the gang's own order.
func (c *Core) holds(name string, g *gang) bool {
	if g.rec.Holder == c.cfg.Me {
		return true
	}
	if !c.settled && g.rec.Holder.Name != "" {
		return false
	}
	if g.rec.Phase != Waiting && c.alive[g.rec.Holder] {
		return false
	}
	if g.firstAt != c.views {
		g.first, g.firstAt = First(name, c.living), c.views
	}
	return g.first == c.cfg.Me
}

// First returns who comes first for a gang among those living, by rendezvous hashing.
func First(name string, living []Holder) (first Holder) {
	best := uint64(0)
	for _, h := range living {
		if x := xxhash.Sum64String(name + "\x00" + h.Name); x > best || first.Name == "" || x == best && h.Name < first.Name {
			best, first = x, h
		}
	}
	return first
}

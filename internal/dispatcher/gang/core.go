package gang

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Core is one dispatcher's part. One goroutine at a time may use it.
type Core struct {
	cfg           Config
	now           time.Time
	gangs         map[string]*gang
	runners       map[string]Runner
	living        []Owner
	alive         map[Owner]bool
	viewVersion   int // how often living changed
	viewConverged bool
	writes        int
	out           []Action
	errs          []error
}

// gang is what is known of one record, and of its members where this dispatcher holds it.
type gang struct {
	record         Record
	version        Version
	isCurrent      bool    // rec is as it was read or written last
	needsRead      bool    // it has to be read before anything is written
	writing        *Record // is under way
	requestedAt    time.Time
	ownGeneration  uint64 // the generation whose members this dispatcher sent; 0: none
	members        []member
	phaseStartedAt time.Time // of the phase, as this dispatcher saw it
	changedAt      time.Time // of the record, likewise
	checkpointAt   time.Time // of the newest save, or of the start
	partsListedAt  time.Time
	firstOwner     Owner // that comes first for it in the view number firstOwnerView
	firstOwnerView int
	saveProgress   float64 // of the work, when the save that runs was asked for
}

type member struct {
	started, done, failed, damaged bool
	lastContact                    time.Time
}

func (m member) over() bool { return m.done || m.failed }

// New returns a core that knows nothing yet.
func New(cfg Config) (*Core, error) {
	switch {
	case cfg.Self.Name == "" || cfg.Self.Epoch == 0:
		return nil, &ConfigError{"Me", "needs a name and a life"}
	case cfg.StartTimeout <= 0 || cfg.MemberTimeout <= 0 || cfg.SaveTimeout <= 0 || cfg.Backoff <= 0 || cfg.MaxBackoff < cfg.Backoff:
		return nil, &ConfigError{"Start, Silence, SaveLimit, Backoff, BackoffMost", "have to be over 0, and BackoffMost no less than Backoff"}
	case cfg.Bandwidth <= 0:
		return nil, &ConfigError{"Bandwidth", "has to be over 0"}
	case cfg.MaxGangs < 1 || cfg.MaxMoves < 1:
		return nil, &ConfigError{"MostGangs, MostMoves", "have to be over 0"}
	}
	return &Core{cfg: cfg, gangs: map[string]*gang{}, runners: map[string]Runner{}}, nil
}

// Take returns what is to be done, and what went wrong, since it was last asked.
func (c *Core) Take() ([]Action, []error) {
	out, faults := c.out, c.errs
	c.out, c.errs = nil, nil
	return out, faults
}

// Fleet takes in who lives, by the view; settled is false while the view may be about to change, and then nobody's gangs are
// taken over.
func (c *Core) Fleet(now time.Time, living []Owner, settled bool) {
	if c.now, c.viewConverged = now, settled; slices.Equal(c.living, living) {
		return
	}
	c.living, c.alive, c.viewVersion = slices.Clone(living), map[Owner]bool{}, c.viewVersion+1
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

// actsFor tells whether this dispatcher is to act for a gang: it holds it, or who did is gone and it comes first among the
// living in the gang's own order.
func (c *Core) actsFor(name string, g *gang) bool {
	if g.record.Owner == c.cfg.Self {
		return true
	}
	if !c.viewConverged && g.record.Owner.Name != "" {
		return false
	}
	if g.record.Phase != Waiting && c.alive[g.record.Owner] {
		return false
	}
	if g.firstOwnerView != c.viewVersion {
		g.firstOwner, g.firstOwnerView = First(name, c.living), c.viewVersion
	}
	return g.firstOwner == c.cfg.Self
}

// First returns who comes first for a gang among those living, by rendezvous hashing.
func First(name string, living []Owner) (first Owner) {
	best := uint64(0)
	for _, h := range living {
		if x := xxhash.Sum64String(name + "\x00" + h.Name); x > best || first.Name == "" || x == best && h.Name < first.Name {
			best, first = x, h
		}
	}
	return first
}

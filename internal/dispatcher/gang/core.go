package gang

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Core is one dispatcher's state machine. Use New. It is not safe for concurrent use.
type Core struct {
	cfg           Config
	now           time.Time
	gangs         map[string]*gang
	runners       map[string]Runner
	living        []Owner
	alive         map[Owner]bool
	viewVersion   int // rises whenever living changes
	viewConverged bool
	writes        int // counted, for their ids
	moves         int // starts and saves of this dispatcher under way, counted in each Tick
	out           []Action
	errs          []error
}

// gang is what is known of one record, and of its members if this dispatcher owns it.
type gang struct {
	record         Record
	version        Version
	isCurrent      bool      // record is as it was read or written last
	needsRead      bool      // it has to be read before anything is written
	writing        *Record   // a write that is in flight; nil: none
	requestedAt    time.Time // of the last read or write
	ownGeneration  uint64    // the generation whose members this dispatcher sent; 0: none
	members        []member
	phaseStartedAt time.Time // as this dispatcher saw it
	changedAt      time.Time // the record's version, as this dispatcher saw it
	checkpointAt   time.Time // when the newest save ended, or the members began to run
	partsListedAt  time.Time
	firstOwner     Owner // what First returned for the view firstOwnerView
	firstOwnerView int
	saveProgress   float64 // the fraction of the work that was done when the save under way was requested
}

// member is the state of a member that this dispatcher sent.
type member struct {
	started, done, failed bool
	damaged               bool // it failed as its part of the checkpoint is damaged
	lastContact           time.Time
}

// hasEnded reports whether nothing more comes of the member.
func (m member) hasEnded() bool { return m.done || m.failed }

// New returns a core that knows of no gangs, runners and dispatchers yet. Its error is a *ConfigError.
func New(cfg Config) (*Core, error) {
	switch {
	case cfg.Self.Name == "" || cfg.Self.Epoch == 0:
		return nil, &ConfigError{"Self", "needs a name and an epoch"}
	case cfg.StartTimeout <= 0 || cfg.MemberTimeout <= 0 || cfg.SaveTimeout <= 0 || cfg.Backoff <= 0 || cfg.MaxBackoff < cfg.Backoff:
		return nil, &ConfigError{"StartTimeout, MemberTimeout, SaveTimeout, Backoff, MaxBackoff", "have to be over 0, and MaxBackoff no less than Backoff"}
	case cfg.Bandwidth <= 0:
		return nil, &ConfigError{"Bandwidth", "has to be over 0"}
	case cfg.MaxGangs < 1 || cfg.MaxMoves < 1:
		return nil, &ConfigError{"MaxGangs, MaxMoves", "have to be over 0"}
	}
	return &Core{cfg: cfg, gangs: map[string]*gang{}, runners: map[string]Runner{}}, nil
}

// Take returns the actions and errors since the last call, in order. The caller carries out every action.
func (c *Core) Take() ([]Action, []error) {
	out, errs := c.out, c.errs
	c.out, c.errs = nil, nil
	return out, errs
}

// Fleet takes the dispatchers that live by the view of the fleet. While the view has not converged, no other dispatcher's gangs are
// taken over.
func (c *Core) Fleet(now time.Time, living []Owner, converged bool) {
	if c.now, c.viewConverged = now, converged; slices.Equal(c.living, living) {
		return
	}
	c.living, c.alive, c.viewVersion = slices.Clone(living), map[Owner]bool{}, c.viewVersion+1
	for _, o := range living {
		c.alive[o] = true
	}
}

// Runners takes what is known of all runners, in place of what it was given before.
func (c *Core) Runners(now time.Time, all []Runner) {
	c.now = now
	clear(c.runners)
	for _, r := range all {
		c.runners[r.Name] = r
	}
}

// actsFor reports whether this dispatcher is to act for a gang: it owns it, or its owner no longer lives and this one is First.
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

// First returns which of the living dispatchers is to own a gang that has no owner, by rendezvous hashing: the same at all whose views
// are equal. Without living ones it is the zero Owner.
func First(name string, living []Owner) (first Owner) {
	best := uint64(0)
	for _, o := range living {
		if x := xxhash.Sum64String(name + "\x00" + o.Name); x > best || first.Name == "" || x == best && o.Name < first.Name {
			best, first = x, o
		}
	}
	return first
}

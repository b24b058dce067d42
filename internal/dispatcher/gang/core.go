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
	viewVersion   int // incremented whenever living changes
	viewConverged bool
	writes        int // number of writes, part of Record.WriteID
	moves         int // starts and saves of this dispatcher that are under way; each Tick counts them again
	out           []Action
	errs          []error
}

// gang is the state of one record as this core knows it, and of its members if this dispatcher sent them.
type gang struct {
	record             Record
	version            Version
	isCurrent          bool      // record and version were read or written by this core, and the record is valid
	needsRead          bool      // the record must be read before the next write
	writing            *Record   // the record of the write in flight; nil: none
	requestedAt        time.Time // of the last read or write
	ownGeneration      uint64    // this dispatcher sent the members of this generation; 0: none
	members            []member
	phaseStartedAt     time.Time // when this dispatcher saw the phase or generation change
	changedAt          time.Time // when this dispatcher saw the record's version change
	checkpointAt       time.Time // when the newest save ended or, if that is later, the members started
	partsListedAt      time.Time // when the parts of the save under way were last listed
	preferredOwner     Owner     // the result of PreferredOwner for the view preferredOwnerView
	preferredOwnerView int
	saveProgress       float64 // fraction of the work done when the save under way was requested
}

// member is the state of a member that this dispatcher sent.
type member struct {
	started, done, failed bool
	damaged               bool // it failed because its part of the checkpoint is damaged
	lastContact           time.Time
}

// hasEnded reports whether the member has finished or failed. Its further events have no effect.
func (m member) hasEnded() bool { return m.done || m.failed }

// New returns a core without gangs, runners and dispatchers. The error is a *ConfigError.
func New(cfg Config) (*Core, error) {
	switch {
	case cfg.Self.Name == "" || cfg.Self.Epoch == 0:
		return nil, &ConfigError{"Self", "needs a name and an epoch"}
	case cfg.StartTimeout <= 0 || cfg.MemberTimeout <= 0 || cfg.SaveTimeout <= 0 || cfg.Backoff <= 0 || cfg.MaxBackoff < cfg.Backoff:
		return nil, &ConfigError{"StartTimeout, MemberTimeout, SaveTimeout, Backoff, MaxBackoff", "must be over 0, and MaxBackoff must not be less than Backoff"}
	case cfg.Bandwidth <= 0:
		return nil, &ConfigError{"Bandwidth", "must be over 0"}
	case cfg.MaxGangs < 1 || cfg.MaxMoves < 1:
		return nil, &ConfigError{"MaxGangs, MaxMoves", "must be over 0"}
	}
	return &Core{cfg: cfg, gangs: map[string]*gang{}, runners: map[string]Runner{}}, nil
}

// Take returns the actions and errors since the last call, in order. The caller carries out every action.
func (c *Core) Take() ([]Action, []error) {
	out, errs := c.out, c.errs
	c.out, c.errs = nil, nil
	return out, errs
}

// Fleet sets the dispatchers that are living in the view of the fleet. While the view has not converged, this core takes over
// no gang from another dispatcher.
func (c *Core) Fleet(now time.Time, living []Owner, converged bool) {
	if c.now, c.viewConverged = now, converged; slices.Equal(c.living, living) {
		return
	}
	c.living, c.alive, c.viewVersion = slices.Clone(living), map[Owner]bool{}, c.viewVersion+1
	for _, o := range living {
		c.alive[o] = true
	}
}

// Runners sets the known runners and replaces the runners of earlier calls.
func (c *Core) Runners(now time.Time, all []Runner) {
	c.now = now
	clear(c.runners)
	for _, r := range all {
		c.runners[r.Name] = r
	}
}

// actsFor reports whether this dispatcher should act for a gang. It should if it owns the gang, or if it is the
// PreferredOwner and
//   - the gang is waiting, or its owner is not living, and
//   - the view has converged, or the gang never had an owner.
//
// Two dispatchers with different views may both act. That is safe, as only one of their conditional writes takes effect.
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
	if g.preferredOwnerView != c.viewVersion {
		g.preferredOwner, g.preferredOwnerView = PreferredOwner(name, c.living), c.viewVersion
	}
	return g.preferredOwner == c.cfg.Self
}

// PreferredOwner returns the living dispatcher that should take over a gang from an owner that is not living. It uses
// rendezvous hashing on the gang's name, so dispatchers with equal views get the same result. Without living dispatchers it
// returns the zero Owner.
func PreferredOwner(name string, living []Owner) (preferred Owner) {
	best := uint64(0)
	for _, o := range living {
		if x := xxhash.Sum64String(name + "\x00" + o.Name); x > best || preferred.Name == "" || x == best && o.Name < preferred.Name {
			best, preferred = x, o
		}
	}
	return preferred
}

package gang

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config is what all dispatchers of a fleet have in common.
type Config struct {
	// Me is this dispatcher in this life.
	Me Holder
	// Start is how long a member takes to start from its state at the longest; more is a failed start.
	Start time.Duration
	// Silence is how long a member that began may say nothing; longer, and it is lost.
	Silence time.Duration
	// Bandwidth is what the register takes of saved state, in bytes a second, from the whole fleet together.
	Bandwidth float64
	// Margin is kept between the end of a save and the retirement that it is for.
	Margin time.Duration
	// Every is how often a running gang saves its state for crashes; 0: for retirements only.
	Every time.Duration
	// SaveLimit is how long a save may take at the longest.
	SaveLimit time.Duration
	// Backoff is the wait after a start that failed, doubled with each up to BackoffMost.
	Backoff, BackoffMost time.Duration
	// Starve is how long a gang that fits nowhere waits until nothing that comes after it is placed before it.
	Starve time.Duration
	// AgeStep is the wait that raises a gang's priority by one.
	AgeStep time.Duration
	// Apart is what a member in another zone than most makes a placement dearer by, as a share of its time.
	Apart float64
	// MostGangs bounds what is taken up; MostMoves the gangs that one dispatcher starts or saves at once.
	MostGangs, MostMoves int
	// Retire says when states are saved before retirements.
	Retire Policy
}

// Policy says when a gang's state is saved before its runners retire.
type Policy uint8

// The policies. The last two are the plain ones that the first is measured against.
const (
	Latest Policy = iota // as late as is safe, one after another, so that the register's bandwidth suffices
	AtOnce               // all at the announcement
	Never                // not at all: the last periodic save is used
)

// ConfigError names the field that no core can work with.
type ConfigError struct{ Field, Problem string }

func (e *ConfigError) Error() string { return "gang: " + e.Field + ": " + e.Problem }

// LimitError is a bound that was reached; nothing is lost by it.
type LimitError struct {
	Gang, Bound string
	Limit       int
	Fix         string // what an operator can do
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("gang %q: %s is at its bound of %d (%s)", e.Gang, e.Bound, e.Limit, e.Fix)
}

// Runner is a runner as this dispatcher knows it.
type Runner struct {
	Name, Zone, Kind string
	Speed            float64 // of its kind
	Slots            float64 // free ones, gangs' members that the records tell of not counted
	// Usable says that the module's rules on health and cold runners let it have a member now.
	Usable bool
	// Retires is when it is to end; the zero time: not known to.
	Retires time.Time
}

// Version is a record's version in the register, its ETag; empty: there is none.
type Version string

// Outcome is how a write ended.
type Outcome uint8

// The outcomes of a write.
const (
	Written  Outcome = iota
	Conflict         // another version is there
	Unknown          // no answer, or one that proves nothing
)

// News is what came of one member.
type News uint8

// What members tell.
const (
	Began    News = iota
	Goes          // a line of progress: its heartbeat
	Finished      // its result is there
	Broke         // it ended otherwise, whatever the way
	BadPart       // it could not start, as its part of the checkpoint is damaged
)

// ActionKind says what is to be done.
type ActionKind uint8

// The actions.
const (
	Read  ActionKind = iota // the record Gang
	Write                   // Record, if its version is still If
	Send                    // Member of Gang in Generation to Runner, from From
	Stop                    // Member of Gang in Generation
	Look                    // at which parts of the save Number in Generation are there
)

// Action is one thing to do now.
type Action struct {
	Kind       ActionKind
	Gang       string
	Record     *Record
	If         Version
	Member     int
	Generation uint64
	Number     int
	Runner     string
	From       *Save
}

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

// Listed takes in which gangs the register has, and their versions; what changed is read.
func (c *Core) Listed(now time.Time, versions map[string]Version) {
	c.now = now
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		g := c.gangs[name]
		if g == nil {
			if len(c.gangs) >= c.cfg.MostGangs {
				c.faults = append(c.faults, &LimitError{name, "gangs", c.cfg.MostGangs, "let ended ones be removed from the register, or raise the bound"})
				continue
			}
			g = &gang{}
			c.gangs[name] = g
		}
		if g.writing == nil && (!g.seen || g.version != versions[name]) {
			c.read(name, g)
		}
	}
	for name, g := range c.gangs {
		if _, there := versions[name]; !there && g.writing == nil && g.seen && c.now.Sub(g.asked) > c.cfg.Start {
			c.abandon(name, g)
			delete(c.gangs, name)
		}
	}
}

func (c *Core) read(name string, g *gang) {
	g.stale, g.asked = true, c.now
	c.out = append(c.out, Action{Kind: Read, Gang: name})
}

// Got takes in a record as it was read.
func (c *Core) Got(now time.Time, name string, version Version, r Record) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.writing != nil && !g.stale {
		return
	}
	if r.Name = name; r.Check() != nil {
		c.faults = append(c.faults, r.Check())
		c.abandon(name, g)
		g.rec, g.version, g.seen, g.stale, g.writing = r, version, false, false, nil
		return
	}
	if w := g.writing; w != nil && w.Mark == r.Mark { // the write whose answer was lost took effect
		c.took(name, g, version)
		return
	}
	g.writing = nil
	c.adopt(name, g, version, r)
}

// adopt takes a record as what holds. Members of another generation than its, or held by another, are this one's no more.
func (c *Core) adopt(name string, g *gang, version Version, r Record) {
	if g.rec.Phase != r.Phase || g.rec.Generation != r.Generation || !g.seen {
		g.began = c.now
	}
	if g.version != version {
		g.changed = c.now
	}
	g.rec, g.version, g.seen, g.stale = r, version, true, false
	if g.mine != 0 && (r.Generation != g.mine || r.Holder != c.cfg.Me || r.Phase == Waiting || r.Phase.Ended()) {
		c.abandon(name, g)
	}
}

// abandon stops what this dispatcher still has out of a gang.
func (c *Core) abandon(name string, g *gang) {
	for i, m := range g.members {
		if !m.over() {
			c.out = append(c.out, Action{Kind: Stop, Gang: name, Member: i, Generation: g.mine})
		}
	}
	g.members, g.mine = nil, 0
}

// Wrote takes in how a write ended.
func (c *Core) Wrote(now time.Time, name string, o Outcome, version Version) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.writing == nil {
		return
	}
	switch o {
	case Written:
		c.took(name, g, version)
	case Conflict, Unknown:
		if o == Conflict {
			g.writing = nil
		}
		c.read(name, g) // what is there now tells
	}
}

// took has a write of this dispatcher's be what holds, and does what follows from it.
func (c *Core) took(name string, g *gang, version Version) {
	w := *g.writing
	g.writing = nil
	c.adopt(name, g, version, w)
	if w.Phase == Starting {
		g.mine, g.members, g.savedAt = w.Generation, make([]member, len(w.Needs)), c.now
		for i, runner := range w.Placement {
			c.out = append(c.out, Action{Kind: Send, Gang: name, Member: i, Generation: w.Generation, Runner: runner, From: w.Checkpoint})
		}
	}
}

// write goes one step of the table on, by a conditional write. change fills in what else is new.
func (c *Core) write(name string, g *gang, why Cause, change func(r *Record)) {
	r := g.rec
	r.Needs, r.Placement = slices.Clone(r.Needs), slices.Clone(r.Placement)
	r.Phase, r.Why, r.Holder = next(r.Phase, why), string(why), c.cfg.Me
	if change != nil {
		change(&r)
	}
	if r.Phase == Waiting {
		r.Placement = nil
	}
	c.marks++
	r.Mark = fmt.Sprintf("%s/%d/%d", c.cfg.Me.Name, c.cfg.Me.Life, c.marks)
	g.writing, g.asked = &r, c.now
	c.out = append(c.out, Action{Kind: Write, Gang: name, Record: &r, If: g.version})
}

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

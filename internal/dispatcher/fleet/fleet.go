// Package fleet keeps a dispatcher's view of the other dispatchers: who lives, in which life, since when. It follows the
// published papers on SWIM (Das, Gupta and Motivala, 2002) and Lifeguard (Dadgar, Phillips and Currey, 2017): members are
// probed in random rounds, also through others; one that does not answer is suspected, which it can refute by a higher
// incarnation; news ride on probes; a member that finds itself slow trusts its own suspicions less.
//
// Beyond the papers: views are compared by digest with every probe and mended where they differ, so that what partitions
// left behind heals without help; members held dead are knocked at now and then; a refusal by a member's own machine is a
// proof of death (see package share); a process that was stopped for a while accuses nobody for the time it slept.
//
// A view may be wrong and may differ from the others' for some time. What is decided by it may cost time, never safety.
//
// Core is free of I/O, clocks and goroutines: it is told of datagrams and times and tells what to send. One goroutine at a
// time may use it. Its times are read off one clock of this machine, from any start. A clock that jumps does the view no
// lasting harm: a jump ahead is taken for sleep, one back for no time at all, and drops all proofs.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ospreypond/internal/dispatcher/fleet/quota"
)

// State is what a member is held to be.
type State uint8

// The states, in the order in which one overrides another at the same life and incarnation.
const (
	Alive State = iota
	Suspect
	Dead // it did not answer, and did not refute that; it may yet
	Left // it said itself that this life ends
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "dead", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Living tells whether a member in this state counts as there.
func (s State) Living() bool { return s <= Suspect }

// Record is what one member tells another of a third, or of itself.
type Record struct {
	Name string
	Addr string // where its socket is, host:port
	Zone string
	// Life is the number of its process: of two processes under one name the later one has the higher.
	Epoch uint64
	// Incarnation rises within a life whenever the member refutes that it is suspect or dead.
	Incarnation uint32
	State       State
	// By is who suspects it, as a hash; it counts for suspects only.
	By uint32
	// Age is how long it has been dead; it counts for those that are not living.
	Age time.Duration
}

// Config is how a member takes part. All members of a fleet should have the same but for Seeds and Seed.
type Config struct {
	// Interval is how often a member probes another; every time limit is a multiple of it.
	Interval time.Duration
	// Seeds are addresses to begin at, and to come back to when nobody answers.
	Seeds []string
	// Refusals says that a refused datagram proves that its address has no process: the network has no box that refuses on
	// behalf of machines it does not reach.
	TrustRefusals bool
	// Roster has the address of each number's socket. With Refusals, numbers of the dead pass to the living by it.
	Roster []string
	// Share cuts budgets by number; it is used with Refusals and a Roster.
	Quota quota.Config
	// Forget is how long a member that is dead is remembered and knocked at. 0: 24 hours.
	Forget time.Duration
	// MaxMembers bounds the view. 0: 4096.
	MaxMembers int
	// Room is how many bytes the records in one datagram may take. 0: 1,100.
	MaxRecordBytes int
	// Seed is for random choices.
	Seed uint64
}

const (
	defaultForget         = 24 * time.Hour
	defaultMaxMembers     = 4096
	defaultMaxRecordBytes = 1100

	indirectProbes      = 3  // members asked to probe one that did not answer
	probeSteps          = 6  // a probe's time has so many steps: it is repeated after the first ...
	probeRepeats        = 2  // ... this often, and a step later helpers are asked
	maxHealthScore      = 8  // Lifeguard's highest local health score: probes then take 9 times as long
	suspicionMult       = 4  // a suspect has at least this many times log10 of the members' number in intervals
	maxSuspicionMult    = 6  // and without confirmation this many times as long
	maxConfirmations    = 3  // as many others who suspect it too bring the least time
	retransmitMult      = 3  // news is told this many times log2 of the members' number
	maxUpdates          = 64 // news at once; what is dropped then is found by comparing views
	refusedProbeRate    = 8  // probes in an interval while they are refused
	maxDeadProbes       = 8  // members held dead that are knocked at in an interval where proofs count; else one
	stallIntervals      = 1  // intervals by which a tick may be late before this process counts as having slept
	convergedIntervals  = 3  // intervals without a difference after which a view is settled
	maxPagesPerReply    = 4  // pages of records that answer one comparison
	maxProofs           = 120
	buckets             = 32  // parts of the view that are compared by themselves
	maxSyncRecords      = 100 // records looked out for them
	maxPagesPerInterval = 16  // pages sent in one interval, however many ask
)

// Member is one member as a view holds it.
type Member struct {
	Record
	Since time.Duration // when it came to be in this state, by the view's own clock
}

// ChangeKind says what changed.
type ChangeKind uint8

// The changes.
const (
	Joined    ChangeKind = iota // a name that was not there, or a new life of one that was not living
	Suspected                   // it is living still
	Refuted                     // a suspect, or one held dead, showed that it lives
	Died
	Departed // it said that it leaves
	Replaced // a new life of a name that was living
	Forgotten
)

// String returns the change's name.
func (k ChangeKind) String() string {
	return [...]string{"joined", "suspected", "refuted", "died", "departed", "replaced", "forgotten"}[k]
}

// Change is one change of the view, in order.
type Change struct {
	Kind   ChangeKind
	At     time.Duration
	Member Member
}

// Datagram is something to send.
type Datagram struct {
	To     string
	Packet *Packet
}

// Snapshot is a view at one moment.
type Snapshot struct {
	Self    Record
	Members []Member // without this one, by name
	Living  int      // with this one
	Digest  uint64   // of the living, this one among them; equal views have equal digests
	// Settled says that nobody is suspected and that those probed of late had the same view. Since is when that began, or
	// when it ended.
	Converged bool
	Since     time.Duration
	// Superseded says that a later life of this name is there and that this one has stepped back for good.
	Superseded bool
	// Health is Lifeguard's score of this process itself: 0 is well, 8 the slowest.
	Health int
	// Numbers are those that this dispatcher acts for; nil without proofs.
	Numbers []int
}

// ConfigError names the field that no member, or no codec, can work with.
type ConfigError struct {
	Field, Value, Want string
}

// Error names the field, its value and what it has to be.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("fleet: %s: is %s, but %s", e.Field, e.Value, e.Want)
}

// Core is one member's side of the protocol.
type Core struct {
	cfg           Config
	rng           *rand.Rand
	self          Record
	tracker       *quota.Tracker
	members       map[string]*member
	byAddr        map[string]*member
	living        []*member // in the order of the present round of probes; those behind next come next
	next          int
	notLiving     []*member // dead and left, to be knocked at in turn
	nextDeadProbe int
	nextSeed      int
	updates       map[string]*update
	suspects      map[string]*member // those suspected
	clockReading  time.Duration      // off the clock
	now           time.Duration      // as read, but for what the clock went back
	tickDue       time.Duration      // when the next tick was asked for

	probeAt        time.Duration
	probe          *probe
	probes         map[uint64]sent // lately sent probes by their number
	relays         map[uint64]relay
	lastID         uint64
	syncAt         time.Duration // no comparison before this
	pagesSent      int           // pages sent in this interval
	health         int
	isAcknowledged bool // somebody answered this life
	hasEnded       bool // superseded or left
	differedAt     time.Duration
	agreedAt       time.Duration
	converged      bool
	since          time.Duration
	sums           [buckets]uint64
	byBucket       [buckets][]*member // everybody, for comparing
	out            []Datagram
	changes        []Change
}

type member struct {
	Member
	suspicion   *suspicion
	index       int // in living, or in gone
	bucketIndex int // in its part of parts
}

// New returns a member that begins now. self needs Name, Addr and Life; a Life of Unix milliseconds serves.
func New(cfg Config, self Record, now time.Duration) (*Core, error) {
	if self.Name == "" || self.Addr == "" || self.Epoch == 0 {
		return nil, &ConfigError{"Self", fmt.Sprintf("%+v", self), "a member needs a name, an address and a life"}
	}
	if cfg.Interval <= 0 {
		return nil, &ConfigError{"Interval", cfg.Interval.String(), "it has to be over 0"}
	}
	setDefault(&cfg.Forget, defaultForget)
	setDefault(&cfg.MaxMembers, defaultMaxMembers)
	setDefault(&cfg.MaxRecordBytes, defaultMaxRecordBytes)
	self.State, self.Incarnation, self.By, self.Age = Alive, 0, 0, 0
	c := &Core{cfg: cfg, self: self, members: map[string]*member{}, byAddr: map[string]*member{}, suspects: map[string]*member{}, updates: map[string]*update{}, probes: map[uint64]sent{},
		relays: map[uint64]relay{}, clockReading: now, now: now, tickDue: now, since: now, differedAt: now, agreedAt: now - time.Hour,
		rng: rand.New(rand.NewPCG(cfg.Seed, self.Epoch))}
	c.probeAt = now + time.Duration(c.rng.Int64N(int64(cfg.Interval)))/8
	c.lastID = c.rng.Uint64() >> 16
	if cfg.TrustRefusals && len(cfg.Roster) > 0 {
		var err error
		if c.tracker, err = quota.New(cfg.Quota, now); err != nil {
			return nil, fmt.Errorf("fleet: shares: %w", err)
		}
	}
	c.sums[bucketOf(self.Name)] += sumOf(&c.self)
	return c, nil
}

func setDefault[T comparable](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}

// Take returns what is to be sent and what changed since it was last asked.
func (c *Core) Take() ([]Datagram, []Change) {
	out, changes := c.out, c.changes
	c.out, c.changes = nil, nil
	return out, changes
}

// Snapshot returns the view as it is.
func (c *Core) Snapshot() Snapshot {
	s := Snapshot{Self: c.self, Living: len(c.living) + 1, Digest: c.Digest(), Converged: c.converged, Since: c.since,
		Superseded: c.hasEnded, Health: c.health, Members: make([]Member, 0, len(c.members)), Numbers: c.Numbers(c.clockReading)}
	for _, m := range c.members {
		s.Members = append(s.Members, m.Member)
	}
	slices.SortFunc(s.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// Digest returns the digest of the view: equal views of the living have equal ones.
func (c *Core) Digest() (d uint64) {
	for i := range c.sums {
		d += c.sums[i]
	}
	return d
}

// Living returns how many live, this one among them.
func (c *Core) Living() int { return len(c.living) + 1 }

// Numbers returns the numbers that this dispatcher acts for at a moment; nil without proofs or after the end of this life.
func (c *Core) Numbers(now time.Duration) []int {
	if c.tracker == nil || c.hasEnded {
		return nil
	}
	c.advance(now)
	return c.tracker.Numbers(c.now)
}

// OwnedNumbers returns the numbers that this dispatcher acts for now and for how long, at least, all of them may be used without
// asking anew. After that only its own number is sure, if it is among them.
func (c *Core) OwnedNumbers(now time.Duration) (numbers []int, sure time.Duration) {
	if numbers = c.Numbers(now); c.tracker != nil {
		sure = c.tracker.Until(c.now) - c.now
	}
	return numbers, sure
}

// Leave says to some members that this life ends. Whoever calls it uses no number any more, and closes the socket soon
// after what Take returns was sent.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	c.self.State, c.hasEnded = Left, true
	for _, m := range c.randomMembers(2*indirectProbes, nil) {
		c.send(m.Addr, &Packet{Kind: Gossip})
	}
}

// advance takes in the time as read off the clock. What is past stays past: where the clock went back, how much time went by
// is not known, so that proofs, which hold for a time, are worth nothing.
func (c *Core) advance(read time.Duration) {
	if read < c.clockReading {
		if c.tracker != nil {
			c.tracker.Restart(c.now)
		}
	} else {
		c.now += read - c.clockReading
	}
	c.clockReading = read
}

// scaled is a time limit, longer where this process itself is slow.
func (c *Core) scaled(d time.Duration) time.Duration { return d * time.Duration(c.health+1) }

func (c *Core) adjustHealth(n int) { c.health = min(maxHealthScore, max(0, c.health+n)) }

// randomMembers returns up to n living members at random, others than not.
func (c *Core) randomMembers(n int, not *member) (out []*member) {
	for tries := 0; len(out) < n && tries < 4*n && len(c.living) > 0; tries++ {
		m := c.living[c.rng.IntN(len(c.living))]
		if m != not && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// noteChange notes a change of m for whoever uses the view.
func (c *Core) noteChange(k ChangeKind, m *member) {
	c.changes = append(c.changes, Change{Kind: k, At: c.now, Member: m.Member})
}

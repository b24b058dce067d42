// Package fleet keeps a dispatcher's view of the other dispatchers: which of them live, in which process, since when. It follows
// the papers on SWIM (Das, Gupta and Motivala, 2002) and Lifeguard (Dadgar, Phillips and Currey, 2017): members are probed in
// random rounds, also indirectly through others; one that does not answer is suspected, which it can refute by a higher
// incarnation; updates ride on probes; a member that finds itself slow trusts its own suspicions less.
//
// Beyond the papers: views are compared by digest with every probe and synchronized where they differ, so that they converge by
// themselves after a partition; dead members are probed now and then; a refusal by a member's own machine proves its death (see
// package quota); a process that was stopped for a while suspects nobody for the time it slept.
//
// A process of a member has an epoch: of two processes under one name the one with the higher epoch is the member, and the other
// one is superseded (Cassandra's gossip calls it a generation). Incarnations, SWIM's, count refutations within an epoch.
//
// A view may be wrong, and may differ from the others' for some time. What is decided by it may cost time, never safety.
//
// Core has no I/O, clock or goroutine: datagrams and the time go in, datagrams and changes of the view come out. It is not safe for
// concurrent use. Its times are read off one clock of this machine, from any origin. A clock that jumps does the view no lasting
// harm: a jump ahead counts as sleep, one back as no time at all, and drops all proofs of death.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ospreypond/internal/dispatcher/fleet/quota"
)

// State is a member's state in a view.
type State uint8

// The states. At the same epoch and incarnation a later one in this order overrides an earlier one.
const (
	Alive State = iota
	Suspect
	Dead // it did not answer and did not refute in time; it still may
	Left // it announced its end itself
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "dead", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Living reports whether a member in this state counts as alive: a suspect does.
func (s State) Living() bool { return s <= Suspect }

// Record is what one member gossips of another, or of itself.
type Record struct {
	Name string
	Addr string // where its socket is, host:port
	Zone string
	// Epoch identifies its process: of two processes under one name the later one has the higher epoch.
	Epoch uint64
	// Incarnation rises within an epoch whenever the member refutes that it is suspect or dead.
	Incarnation uint32
	State       State
	// By is the hash of the member that suspects it; of suspects only.
	By uint32
	// Age is how long it has been dead or left; of those only.
	Age time.Duration
}

// Config configures a member. All members of a fleet should have the same but for Seeds and Seed.
type Config struct {
	// Interval is the time between two probes of a member; every timeout is a multiple of it.
	Interval time.Duration
	// Seeds are addresses through which a member joins, and rejoins when nobody answers.
	Seeds []string
	// TrustRefusals is whether a refused datagram proves that its address has no process. No firewall or router of the network may
	// refuse on behalf of machines that it does not reach.
	TrustRefusals bool
	// Roster is the address of each number's socket. With TrustRefusals, numbers of dead members pass to living ones by it.
	Roster []string
	// Quota divides budgets by number; it is used with TrustRefusals and a Roster.
	Quota quota.Config
	// Forget is how long a dead member is remembered and probed. 0: 24 hours.
	Forget time.Duration
	// MaxMembers is the largest number of other members in a view. 0: 4096.
	MaxMembers int
	// MaxRecordBytes is the largest encoded size of the records in one datagram, in bytes. 0: 1,100.
	MaxRecordBytes int
	// Seed seeds the random choices.
	Seed uint64
}

const (
	defaultForget         = 24 * time.Hour
	defaultMaxMembers     = 4096
	defaultMaxRecordBytes = 1100

	indirectProbes      = 3   // members that are asked to probe one that did not answer
	probeSteps          = 6   // steps of a probe's timeout: after each of the first probeRepeats it is repeated, a step later indirect
	probeRepeats        = 2   // probes go out
	maxHealthScore      = 8   // Lifeguard's highest local health score: timeouts of probes are 9 times as long then
	suspicionMult       = 4   // a suspicion lasts at least this many intervals, times log10 of the number of members
	maxSuspicionMult    = 6   // and without confirmations this many times as long
	maxConfirmations    = 3   // with this many confirmations it is shortest
	retransmitMult      = 3   // an update is sent this many times log2 of the number of members
	maxUpdates          = 64  // queued updates; what is dropped then is found by comparing views
	refusedProbeRate    = 8   // probes per interval while they are refused
	maxDeadProbes       = 8   // probes of dead members per interval where refusals are trusted; else one
	stallIntervals      = 1   // a Tick that is later by more than this counts as this process having slept
	convergedIntervals  = 3   // a view without a difference to others for so long has converged
	maxPagesPerReply    = 4   // packets with records that answer one Sync
	maxProofs           = 120 // proofs of death in an Ack
	buckets             = 32  // of members by hash, each with a sum, by which views are compared
	maxSyncRecords      = 100 // no further bucket is sent from here on
	maxPagesPerInterval = 16  // however many ask
)

// Member is one member in a view.
type Member struct {
	Record
	Since time.Duration // when it entered its state, by the view's own clock
}

// ChangeKind is what happened to a member.
type ChangeKind uint8

// The changes.
const (
	Joined    ChangeKind = iota // a new name, or a new epoch of one that was not living
	Suspected                   // it still counts as living
	Refuted                     // a suspect or dead member is alive
	Died
	Departed // it left
	Replaced // a new epoch of a member that was living
	Forgotten
)

// String returns the change's name, as logs have it.
func (k ChangeKind) String() string {
	return [...]string{"joined", "suspected", "refuted", "died", "departed", "replaced", "forgotten"}[k]
}

// Change is one change of the view.
type Change struct {
	Kind   ChangeKind
	At     time.Duration
	Member Member
}

// Datagram is a packet to send to an address, host:port.
type Datagram struct {
	To     string
	Packet *Packet
}

// Snapshot is a view at one moment.
type Snapshot struct {
	Self    Record
	Members []Member // the others, by name
	Living  int      // how many live, this one included
	Digest  uint64   // of the living, this one included; equal views have equal digests
	// Converged is whether nobody is suspected and the members that were probed lately had the same view. Since is when that
	// last changed.
	Converged bool
	Since     time.Duration
	// Superseded is whether this process takes no part any more: there is a later process of its name, or it left.
	Superseded bool
	// Health is Lifeguard's local health score of this process: 0 is healthy, 8 the slowest.
	Health int
	// Numbers are those that this dispatcher owns; nil where refusals are not trusted.
	Numbers []int
}

// ConfigError is a field of a configuration that no member, or no codec, can work with.
type ConfigError struct {
	Field, Value, Want string
}

// Error names the field, its value and what it has to be.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("fleet: %s: is %s, but %s", e.Field, e.Value, e.Want)
}

// Core is one member's state machine. Use New.
type Core struct {
	cfg           Config
	rng           *rand.Rand
	self          Record
	tracker       *quota.Tracker
	members       map[string]*member
	byAddr        map[string]*member
	living        []*member // in the order in which they are probed; next is the index of the next one
	next          int
	notLiving     []*member // dead and left, probed in turn
	nextDeadProbe int
	nextSeed      int
	updates       map[string]*update // by the member's name
	suspects      map[string]*member
	clockReading  time.Duration // the last one
	now           time.Duration // as read off the clock, but it never goes back
	tickDue       time.Duration // when Wait asked for the next Tick

	probeAt        time.Duration    // when the next round begins
	probe          *probe           // of this round; nil: none
	probes         map[uint64]sent  // sent lately, by the packet's Seq and by the probe's id
	relays         map[uint64]relay // by the id of this member's own probe
	lastID         uint64
	syncAt         time.Duration // no comparison before this
	pagesSent      int           // in this interval
	health         int
	isAcknowledged bool // some member sent a packet to this epoch
	hasEnded       bool // superseded or left
	differedAt     time.Duration
	agreedAt       time.Duration
	converged      bool
	since          time.Duration
	sums           [buckets]uint64
	byBucket       [buckets][]*member // all members
	out            []Datagram
	changes        []Change
}

type member struct {
	Member
	suspicion   *suspicion // nil: it is not suspected
	index       int        // in living, or in notLiving
	bucketIndex int        // in its bucket of byBucket
}

// New returns a member that joins now. self needs Name, Addr and Epoch, for which the start in Unix milliseconds serves. Its error
// is a *ConfigError, or wraps a *quota.ConfigError.
func New(cfg Config, self Record, now time.Duration) (*Core, error) {
	if self.Name == "" || self.Addr == "" || self.Epoch == 0 {
		return nil, &ConfigError{"Self", fmt.Sprintf("%+v", self), "a member needs a name, an address and an epoch"}
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
			return nil, fmt.Errorf("fleet: quota: %w", err)
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

// Take returns what is to be sent and what changed in the view since the last call, both in order.
func (c *Core) Take() ([]Datagram, []Change) {
	out, changes := c.out, c.changes
	c.out, c.changes = nil, nil
	return out, changes
}

// Snapshot returns a copy of the view.
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

// Living returns how many members live, this one included.
func (c *Core) Living() int { return len(c.living) + 1 }

// Numbers returns the numbers that this dispatcher owns now, in rising order; nil where refusals are not trusted, and after it left
// or was superseded.
func (c *Core) Numbers(now time.Duration) []int {
	if c.tracker == nil || c.hasEnded {
		return nil
	}
	c.advance(now)
	return c.tracker.Numbers(c.now)
}

// OwnedNumbers returns the numbers that this dispatcher owns now, and for how long at least all of them may be used without another
// call. After that only its own number is certain, if it is among them.
func (c *Core) OwnedNumbers(now time.Duration) (numbers []int, validFor time.Duration) {
	if numbers = c.Numbers(now); c.tracker != nil {
		validFor = c.tracker.Until(c.now) - c.now
	}
	return numbers, validFor
}

// Leave announces to some members that this process ends. From here on the caller must use no number; it sends what Take returns
// and then closes the socket.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	c.self.State, c.hasEnded = Left, true
	for _, m := range c.randomMembers(2*indirectProbes, nil) {
		c.send(m.Addr, &Packet{Kind: Gossip})
	}
}

// advance takes a reading of the clock. Where the clock went back it is unknown how much time has passed, so that proofs of death,
// which are valid for a time only, are void.
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

// scaled returns a timeout as Lifeguard's local health multiplier makes it: longer where this process itself is slow.
func (c *Core) scaled(d time.Duration) time.Duration { return d * time.Duration(c.health+1) }

// adjustHealth changes the local health score by n, within its bounds.
func (c *Core) adjustHealth(n int) { c.health = min(maxHealthScore, max(0, c.health+n)) }

// randomMembers returns up to n different living members at random, without except.
func (c *Core) randomMembers(n int, except *member) (out []*member) {
	for attempts := 0; len(out) < n && attempts < 4*n && len(c.living) > 0; attempts++ {
		m := c.living[c.rng.IntN(len(c.living))]
		if m != except && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// addChange records a change of m, for Take.
func (c *Core) addChange(k ChangeKind, m *member) {
	c.changes = append(c.changes, Change{Kind: k, At: c.now, Member: m.Member})
}

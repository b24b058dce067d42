// Package fleet keeps a dispatcher's membership view: which other dispatchers are alive, which process (epoch) runs under each
// name, and since when. It implements SWIM (Das, Gupta and Motivala, 2002) with Lifeguard (Dadgar, Phillips and Currey, 2017):
//
//   - Each round a member probes one other member, in a random order of all. If it doesn't answer, further members are
//     asked to probe it too (indirect probes).
//   - A member that answers neither is suspected. It refutes the suspicion by gossiping a higher incarnation; if it doesn't
//     in time, it is declared dead.
//   - Updates are piggybacked on all packets, each a limited number of times (retransmissions).
//   - A member that misses answers raises its local health score, which makes its own probe timeouts longer, so that a slow
//     member suspects others less easily.
//
// Additions to the papers:
//
//   - Every packet carries a digest of its sender's view. When the digest in an Ack differs, the views are synchronized, so
//     that they converge after a partition without any operator.
//   - Dead members are still probed, a few each round, so that they are found again.
//   - With Config.TrustRefusals, a datagram that a member's own machine refuses proves that its process is dead (see
//     package quota).
//   - A process that was stopped extends its suspicions by the time that it was stopped, as it couldn't receive refutations.
//
// Each process has an epoch (Cassandra's gossip calls it a generation). Of two processes under one name, the process with
// the higher epoch is the member and the other process is superseded. Incarnations count the refutations within an epoch.
//
// A view may be wrong, and may differ from other views for some time. Decisions based on it may cost time, but safety must not
// depend on it.
//
// Core has no I/O, clock or goroutine: its methods take datagrams and the time, and return datagrams and changes of the view.
// It is not safe for concurrent use. All times passed to one Core come from the same clock, with any origin. When the clock
// jumps forward by more than an interval, Core treats the process as stopped during the jump. When the clock goes
// back, Core assumes that no time has passed and drops all proofs of death. The view recovers from both.
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

// The states. At the same epoch and incarnation a record with a later state in this order overrides one with an earlier state.
const (
	Alive State = iota
	Suspect
	Dead // the member didn't refute its suspicion in time, or its machine refused a datagram; it may still refute
	Left // the member announced that it ends; this epoch doesn't come back
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "dead", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Living reports whether a member in this state is treated as living. A suspect is.
func (s State) Living() bool { return s <= Suspect }

// Record is the information that a member gossips about another member or about itself.
type Record struct {
	Name string
	Addr string // of its UDP socket, host:port
	Zone string
	// Epoch identifies the member's process: of two processes under one name the later one has the higher epoch.
	Epoch uint64
	// Incarnation is raised only by the member itself, within an epoch, to refute that it is suspect or dead.
	Incarnation uint32
	State       State
	// SuspectedBy is the hash of the name of the member that suspects this one. It counts only while State is Suspect.
	SuspectedBy uint32
	// Age is the time since the member died or left; 0 while it is living.
	Age time.Duration
}

// Config configures a member. All members of a fleet should have the same values except for Seeds, Seed and Quota.Own.
type Config struct {
	// Interval is the time between the rounds of a healthy member, which probes one member in each round. All timeouts of
	// the failure detector are multiples of it.
	Interval time.Duration
	// Seeds are addresses that are probed while no member is known at them, to join the fleet and to rejoin it after a
	// partition.
	Seeds []string
	// TrustRefusals treats a refused datagram (ICMP port unreachable) as proof that no process has its address. Set it
	// only where no firewall or router sends such refusals in the name of other machines: a false one lets two dispatchers
	// use the same number.
	TrustRefusals bool
	// Roster is the address of each number's socket, indexed by number. With TrustRefusals, a refusal by Roster[n] proves
	// the death of number n, so that another dispatcher may use the number (see package quota). The roster must be the same
	// at all members.
	Roster []string
	// Quota configures the division of budgets by number. It is used only with TrustRefusals and a Roster.
	Quota quota.Config
	// Forget is how long a member that died or left stays in the view and is probed. 0: 24 hours.
	Forget time.Duration
	// MaxMembers is the largest number of other members in a view. 0: 4096.
	MaxMembers int
	// MaxRecordBytes is the encoded size, in bytes, up to which a packet is filled with records; its sums and proofs count too.
	// 0: 1,100.
	MaxRecordBytes int
	// Seed seeds the random choices, together with the epoch.
	Seed uint64
}

const (
	defaultForget         = 24 * time.Hour
	defaultMaxMembers     = 4096
	defaultMaxRecordBytes = 1100

	// The timeout of a probe is divided into probeSteps equal steps. The probe is repeated after each of the first probeRepeats
	// steps. One step later, indirectProbes random members are asked to probe the member too.
	indirectProbes = 3
	probeSteps     = 6
	probeRepeats   = 2

	maxHealthScore   = 8  // of Lifeguard's local health; probe timeouts are multiplied by 1 + the score, so by 9 at most
	suspicionMult    = 4  // the shortest suspicion timeout, in intervals times max(1, log10 of the living members)
	maxSuspicionMult = 6  // the longest suspicion timeout, without confirmations, as a multiple of the shortest
	maxConfirmations = 3  // confirmations of a suspicion, from other members, that make its timeout the shortest
	retransmitMult   = 3  // transmissions of an update, as a multiple of log2 of the living members
	maxUpdates       = 64 // updates in the queue; dropped records are spread when views are synchronized

	refusedProbeRate   = 8 // rounds per interval while the probed members are found dead by refusals
	maxDeadProbes      = 8 // probes of members not living per round where refusals are trusted, and as many of the roster; else 1
	stallIntervals     = 1 // a Tick that comes this many intervals late shows that the process was stopped or got no CPU
	convergedIntervals = 3 // a view has converged after this many intervals without a different view

	maxPagesPerReply    = 4   // packets with records in the reply to one Sync
	maxPagesPerInterval = 16  // packets with records per round, whoever they are for, so that many Syncs can't flood the network
	maxSyncRecords      = 100 // records in a reply after which no further bucket is added
	maxProofs           = 120 // proofs of death in an Ack; at maxProofSize they take 1,200 bytes of a datagram's 1,400
	buckets             = 32  // into which members are divided by hash; views are compared by the sums of their buckets
)

// Member is one member in a view.
type Member struct {
	Record
	Since time.Duration // when the member entered its state, by the clock of this view
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The changes.
const (
	Joined    ChangeKind = iota // a name that was not known, or a new epoch of a member that was dead or had left
	Suspected                   // the member is still treated as living
	Refuted                     // a suspect or dead member refuted it and is alive
	Died                        // it was declared dead
	Departed                    // it left
	Replaced                    // a new epoch took the place of a living one
	Forgotten                   // it was dead or had left for longer than Config.Forget, and was removed from the view
)

// String returns the name of the kind for logs.
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
	Members []Member // the other members, by name
	Living  int      // number of living members, this one included
	Digest  uint64   // of the names and epochs of the living members, this one included; equal views have equal digests
	// Converged reports whether no member is suspected and the views of the members that were probed lately equal this one.
	// Since is when Converged last changed.
	Converged bool
	Since     time.Duration
	// Superseded reports whether this process no longer takes part: there is a later process of its name, or it left.
	Superseded bool
	// Health is Lifeguard's local health score of this process: 0 is healthy, 8 the least healthy.
	Health int
	// Numbers are the numbers that this dispatcher owns; nil where refusals are not trusted.
	Numbers []int
}

// ConfigError is an invalid field of the configuration of a member or a codec.
type ConfigError struct {
	Field, Value, Want string
}

// Error names the field, its value and the allowed values.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("fleet: %s: is %s, but %s", e.Field, e.Value, e.Want)
}

// Core is the state machine of one member. Use New.
type Core struct {
	cfg           Config
	rng           *rand.Rand
	self          Record
	tracker       *quota.Tracker
	members       map[string]*member
	byAddr        map[string]*member
	living        []*member // in probe order; next is the index of the next member to probe
	next          int
	notLiving     []*member          // members that died or left, probed in turn
	nextDeadProbe int                // index in notLiving of the last member probed
	nextSeed      int                // index in the seeds or the roster of the last address tried, modulo its length
	updates       map[string]*update // the queue of updates to gossip, by the member's name
	suspects      map[string]*member // by name
	clockReading  time.Duration      // the newest reading of the clock
	now           time.Duration      // advances with the clock, but does not go back when the clock does
	tickDue       time.Duration      // when Wait asked for the next Tick

	probeAt        time.Duration        // when the next round begins
	probe          *probe               // of this round; nil: none
	sentProbes     map[uint64]sentProbe // sent lately, by the packet's Seq and by the probe's id
	relays         map[uint64]relay     // by the id of this member's own probe
	lastID         uint64
	syncAt         time.Duration // no Sync is sent before this time
	pagesSent      int           // packets with records that were sent in this round in reply to Syncs, or for refutation
	health         int           // Lifeguard's local health score, 0 to maxHealthScore
	isAcknowledged bool          // some member addressed a packet to this epoch, so others know it
	hasEnded       bool          // superseded or left
	differedAt     time.Duration // when an Ack last carried a digest other than this view's
	agreedAt       time.Duration // when an Ack last carried this view's digest
	converged      bool
	since          time.Duration      // when converged last changed
	sums           [buckets]uint64    // the sum of sumOf over the living members of each bucket, this one included
	byBucket       [buckets][]*member // all other members
	out            []Datagram         // for Take
	changes        []Change           // for Take
}

type member struct {
	Member
	suspicion   *suspicion // nil: the member is not suspected
	index       int        // in living, or in notLiving
	bucketIndex int        // in its bucket of byBucket
}

// New returns a member that joins at the time now. self must have Name, Addr and Epoch; the time at which the process starts,
// in Unix milliseconds, is a suitable Epoch. The error is a *ConfigError, or wraps a *quota.ConfigError.
func New(cfg Config, self Record, now time.Duration) (*Core, error) {
	if self.Name == "" || self.Addr == "" || self.Epoch == 0 {
		return nil, &ConfigError{"Self", fmt.Sprintf("%+v", self), "a member needs a name, an address and an epoch"}
	}
	if cfg.Interval <= 0 {
		return nil, &ConfigError{"Interval", cfg.Interval.String(), "it must be over 0"}
	}
	setDefault(&cfg.Forget, defaultForget)
	setDefault(&cfg.MaxMembers, defaultMaxMembers)
	setDefault(&cfg.MaxRecordBytes, defaultMaxRecordBytes)
	self.State, self.Incarnation, self.SuspectedBy, self.Age = Alive, 0, 0, 0
	c := &Core{cfg: cfg, self: self, members: map[string]*member{}, byAddr: map[string]*member{}, suspects: map[string]*member{}, updates: map[string]*update{}, sentProbes: map[uint64]sentProbe{},
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

// Take returns the datagrams to send and the changes of the view since the last call, each in order.
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

// Digest returns a digest of the names and epochs of the living members, this one included. Equal views have equal digests.
func (c *Core) Digest() (d uint64) {
	for i := range c.sums {
		d += c.sums[i]
	}
	return d
}

// Living returns the number of living members, this one included.
func (c *Core) Living() int { return len(c.living) + 1 }

// Numbers returns the numbers that this dispatcher owns now, in ascending order. It returns nil where refusals are not
// trusted, and after this dispatcher left or was superseded.
func (c *Core) Numbers(now time.Duration) []int {
	if c.tracker == nil || c.hasEnded {
		return nil
	}
	c.advance(now)
	return c.tracker.Numbers(c.now)
}

// OwnedNumbers returns the numbers that this dispatcher owns now, and how long the caller may use all these numbers without
// another call. After validFor the caller may use only this dispatcher's own number, if numbers contains it.
func (c *Core) OwnedNumbers(now time.Duration) (numbers []int, validFor time.Duration) {
	if numbers = c.Numbers(now); c.tracker != nil {
		validFor = c.tracker.ValidUntil(c.now) - c.now
	}
	return numbers, validFor
}

// Leave queues an announcement to a few random members that this process ends. After calling it the caller must use no
// number. The caller then sends the datagrams that Take returns, and only then closes the socket: once the socket is closed,
// other dispatchers may use the number.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	c.self.State, c.hasEnded = Left, true
	for _, m := range c.randomMembers(2*indirectProbes, nil) {
		c.send(m.Addr, &Packet{Kind: Gossip})
	}
}

// advance moves the time to a reading of the clock. If the clock went back, it is unknown how much time has passed. Proofs of
// death are valid for a limited time only. Therefore Core then drops all proofs, and this dispatcher owns no number until it
// has waited as after a start.
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

// scaled returns a timeout multiplied by Lifeguard's local health multiplier, 1 + the score.
func (c *Core) scaled(d time.Duration) time.Duration { return d * time.Duration(c.health+1) }

// adjustHealth adds n to the local health score, within 0 to maxHealthScore.
func (c *Core) adjustHealth(n int) { c.health = min(maxHealthScore, max(0, c.health+n)) }

// randomMembers returns up to n distinct random living members other than except. It may return fewer than there are, as it
// makes at most 4n draws.
func (c *Core) randomMembers(n int, except *member) (out []*member) {
	for attempts := 0; len(out) < n && attempts < 4*n && len(c.living) > 0; attempts++ {
		m := c.living[c.rng.IntN(len(c.living))]
		if m != except && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// addChange records a change of m, to be returned by Take.
func (c *Core) addChange(k ChangeKind, m *member) {
	c.changes = append(c.changes, Change{Kind: k, At: c.now, Member: m.Member})
}

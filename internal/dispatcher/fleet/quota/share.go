// Package quota decides which numbers a dispatcher owns. A budget that a fleet shares is divided into as many equal quotas as
// the fleet has numbers, one number to a dispatcher. When a dispatcher is proven dead, exactly one other may use its quota;
// nobody may on a guess.
//
// # The rule
//
// A dispatcher holds its number as long as it holds its socket at the number's address, and acts for another number only
// while it has a proof that nobody does: the other machine's own kernel refused a datagram to that address. Silence proves
// nothing, so a partition moves no part. A proof holds for Lease from the moment its datagram was sent; whoever starts
// waits Lease and then Pause after it got its socket before it uses any number. For each number all dispatchers have the
// same order of successors, and one acts for it only if everybody before it in that order is proven dead.
//
// Then no number is used by two: of two that use it the later one in its order holds a proof that the earlier one has no
// socket or got it less than Lease ago, and such a one uses nothing. Pause keeps the uses of two apart by as long as a
// budget is counted in, so that nothing counted in one such span is spent twice.
//
// The package is free of I/O, clocks and goroutines. Times are read off one clock of this machine that never jumps and goes
// on while the machine sleeps.
package quota

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// drift is how much two machines' clocks may differ in speed, as a share: what starts waits that much longer.
const drift = 0.01

// Config says how budgets are cut and how long proofs hold. All dispatchers of a fleet must have the same.
type Config struct {
	// Size is the number of parts: the most dispatchers there may be. The numbers are 0 to Size-1.
	Size int
	// Own is this dispatcher's number.
	Own int
	// Lease is how long a proof of death holds, from the moment its datagram was sent.
	Lease time.Duration
	// Pause is the longest time in which a user of the parts counts what it spends.
	GuardTime time.Duration
}

// ConfigError names the field that no ledger can work with.
type ConfigError struct {
	Field string
	Value any
	Want  string
}

// Error names the field, its value and what it has to be.
func (e *ConfigError) Error() string { return fmt.Sprintf("%s: %v, but %s", e.Field, e.Value, e.Want) }

// Proof says that nobody held a number's address.
type Proof struct {
	Number int
	// Age is how long before the proof was told its datagram had been sent.
	Age time.Duration
}

// Tracker holds one dispatcher's proofs.
type Tracker struct {
	cfg     Config
	boundAt time.Duration
	proofs  []proof // by number
}

// proofs is what is known of one number: at is when the newest proof's datagram was sent, since when proofs have held
// without a gap; both only count where held is set.
type proof struct {
	isValid       bool
	sentAt, since time.Duration
}

// New returns the ledger of a dispatcher that got its socket at the time bound.
func New(cfg Config, bound time.Duration) (*Tracker, error) {
	switch {
	case cfg.Size < 1:
		return nil, &ConfigError{"Size", cfg.Size, "a fleet has one dispatcher at least"}
	case cfg.Own < 0 || cfg.Own >= cfg.Size:
		return nil, &ConfigError{"Own", cfg.Own, fmt.Sprintf("numbers run from 0 to %d", cfg.Size-1)}
	case cfg.Lease <= 0:
		return nil, &ConfigError{"Lease", cfg.Lease, "a proof has to hold for some time"}
	case cfg.GuardTime < 0:
		return nil, &ConfigError{"Pause", cfg.GuardTime, "it cannot be negative"}
	}
	return &Tracker{cfg: cfg, boundAt: bound, proofs: make([]proof, cfg.Size)}, nil
}

// Restart has the ledger be as that of a dispatcher that got its socket now: it knows of no proofs and uses no number.
func (l *Tracker) Restart(now time.Duration) {
	l.boundAt = now
	clear(l.proofs)
}

// Refused takes in that a datagram to a number's address, sent at the time sent, was refused there.
func (l *Tracker) Refused(now time.Duration, number int, sent time.Duration) {
	if number < 0 || number >= l.cfg.Size || number == l.cfg.Own || sent > now || now >= sent+l.cfg.Lease {
		return
	}
	p := &l.proofs[number]
	if !p.isValid || now >= p.sentAt+l.cfg.Lease {
		*p = proof{isValid: true, sentAt: sent, since: now}
	}
	p.sentAt = max(p.sentAt, sent)
}

// Merge takes in another's proofs out of an answer to something that was asked at the time asked. An answer's proofs are as
// old as they say when it is given, and it is given after it was asked for, whatever time the answer took.
func (l *Tracker) Merge(now, asked time.Duration, proofs []Proof) {
	for _, p := range proofs {
		if p.Age >= 0 && p.Age < l.cfg.Lease {
			l.Refused(now, p.Number, asked-p.Age)
		}
	}
}

// Proofs returns at most n of the proofs that hold, the youngest first, for an answer that is sent now.
func (l *Tracker) Proofs(now time.Duration, n int) (out []Proof) {
	for i := range l.proofs {
		if l.isProvenDead(now, i) {
			out = append(out, Proof{i, now - l.proofs[i].sentAt})
		}
	}
	slices.SortFunc(out, func(a, b Proof) int { return cmp.Or(cmp.Compare(a.Age, b.Age), a.Number-b.Number) })
	return out[:min(n, len(out))]
}

// isProvenDead tells whether a proof for the number holds.
func (l *Tracker) isProvenDead(now time.Duration, number int) bool {
	p := &l.proofs[number]
	return p.isValid && now < p.sentAt+l.cfg.Lease
}

// Numbers returns the numbers that this dispatcher acts for now, in rising order: none until what others may have done for
// it is over, then its own and those that it succeeds to. To be asked anew at each use.
func (l *Tracker) Numbers(now time.Duration) (own []int) {
	if now < l.Ready() {
		return nil
	}
	for n := range l.proofs {
		if n == l.cfg.Own || l.isProvenDead(now, n) && now >= l.proofs[n].since+l.cfg.GuardTime && l.succeeds(now, n) {
			own = append(own, n)
		}
	}
	return own
}

// Until returns how long what Numbers says now holds at least: until the next proof that it rests on is over.
func (l *Tracker) Until(now time.Duration) time.Duration {
	until := time.Duration(math.MaxInt64)
	for n := range l.proofs {
		if l.isProvenDead(now, n) {
			until = min(until, l.proofs[n].sentAt+l.cfg.Lease)
		}
	}
	return until
}

// Ready returns when this dispatcher may use a number first.
func (l *Tracker) Ready() time.Duration {
	return l.boundAt + time.Duration(math.Ceil(float64(l.cfg.Lease)*(1+drift))) + l.cfg.GuardTime
}

// succeeds tells whether everybody before this dispatcher in the number's order has been proven dead for Pause.
func (l *Tracker) succeeds(now time.Duration, number int) bool {
	mine := rank(number, l.cfg.Own)
	for n := range l.proofs {
		if n == number || n == l.cfg.Own {
			continue
		}
		gone := l.isProvenDead(now, n) && now >= l.proofs[n].since+l.cfg.GuardTime
		if theirs := rank(number, n); !gone && (theirs > mine || theirs == mine && n < l.cfg.Own) {
			return false
		}
	}
	return true
}

// rank orders the successors of a number by rendezvous hashing, the same at every dispatcher: the highest comes first.
func rank(number, successor int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(number))
	binary.LittleEndian.PutUint64(b[8:], uint64(successor))
	return xxhash.Sum64(b[:])
}

// Package quota decides which numbers a dispatcher owns. A budget that a fleet shares is divided into as many equal quotas as
// the fleet has numbers, one number to a dispatcher. When a dispatcher is proven dead, exactly one other may use its quota;
// nobody may on a guess.
//
// # The rule
//
// A dispatcher owns its number as long as its socket is bound to the number's address, and owns another number only while it
// has a proof that nobody does: the other machine's own kernel refused a datagram to that address. A timeout proves nothing,
// so a partition moves no quota. A proof is valid for Lease from the moment its datagram was sent; a dispatcher that starts
// waits Lease and then GuardTime after it bound its socket before it uses any number. For each number all dispatchers have
// the same order of successors, and one owns it only if every dispatcher before it in that order is proven dead.
//
// Then no number has two owners: of two, the later one in its order has a proof that the earlier one has no socket or bound
// it less than Lease ago, and such a one owns nothing. GuardTime separates the uses of two owners by as long as the window
// that a budget is counted in, so that nothing counted in one window is spent twice.
//
// The package has no I/O, clock or goroutine, and a Tracker is not safe for concurrent use. Times are read off one clock of
// this machine that never jumps and goes on while the machine sleeps (CLOCK_BOOTTIME).
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

// maxClockDrift is how much two machines' clocks may differ in speed, as a fraction: a dispatcher that starts waits that much longer.
const maxClockDrift = 0.01

// Config is how budgets are divided and how long proofs are valid. All dispatchers of a fleet must have the same, but for Own.
type Config struct {
	// Size is the number of quotas, and so the largest number of dispatchers. The numbers are 0 to Size-1.
	Size int
	// Own is this dispatcher's number.
	Own int
	// Lease is how long a proof of death is valid, from the moment its datagram was sent.
	Lease time.Duration
	// GuardTime is the longest window in which a user of the quotas counts what it spends.
	GuardTime time.Duration
}

// ConfigError is a field of a configuration that no tracker can work with.
type ConfigError struct {
	Field string
	Value any
	Want  string
}

// Error names the field, its value and what it has to be.
func (e *ConfigError) Error() string { return fmt.Sprintf("%s: %v, but %s", e.Field, e.Value, e.Want) }

// Proof is the evidence that no socket was bound to a number's address.
type Proof struct {
	Number int
	// Age is how long before this proof was passed on its datagram had been sent.
	Age time.Duration
}

// Tracker keeps one dispatcher's proofs of death. Use New.
type Tracker struct {
	cfg     Config
	boundAt time.Duration
	proofs  []proof // by number
}

// proof is what is known of one number. sentAt and since only count where isValid is set.
type proof struct {
	isValid bool
	sentAt  time.Duration // of the datagram of the newest proof
	since   time.Duration // from here on there was always a valid proof
}

// New returns the tracker of a dispatcher that bound its socket at boundAt. Its error is a *ConfigError.
func New(cfg Config, boundAt time.Duration) (*Tracker, error) {
	switch {
	case cfg.Size < 1:
		return nil, &ConfigError{"Size", cfg.Size, "a fleet has one dispatcher at least"}
	case cfg.Own < 0 || cfg.Own >= cfg.Size:
		return nil, &ConfigError{"Own", cfg.Own, fmt.Sprintf("numbers run from 0 to %d", cfg.Size-1)}
	case cfg.Lease <= 0:
		return nil, &ConfigError{"Lease", cfg.Lease, "a proof has to be valid for some time"}
	case cfg.GuardTime < 0:
		return nil, &ConfigError{"GuardTime", cfg.GuardTime, "it cannot be negative"}
	}
	return &Tracker{cfg: cfg, boundAt: boundAt, proofs: make([]proof, cfg.Size)}, nil
}

// Restart makes the tracker that of a dispatcher that binds its socket now: it has no proofs and owns no number.
func (t *Tracker) Restart(now time.Duration) {
	t.boundAt = now
	clear(t.proofs)
}

// Refused records the proof that a datagram to a number's address, sent at the time sent, was refused there.
func (t *Tracker) Refused(now time.Duration, number int, sent time.Duration) {
	if number < 0 || number >= t.cfg.Size || number == t.cfg.Own || sent > now || now >= sent+t.cfg.Lease {
		return
	}
	p := &t.proofs[number]
	if !p.isValid || now >= p.sentAt+t.cfg.Lease {
		*p = proof{isValid: true, sentAt: sent, since: now}
	}
	p.sentAt = max(p.sentAt, sent)
}

// Merge records another dispatcher's proofs, which came with the answer to a request sent at requestedAt. Their ages count from when
// the answer was sent, which is not before the request was, so counting them from the request is safe.
func (t *Tracker) Merge(now, requestedAt time.Duration, proofs []Proof) {
	for _, p := range proofs {
		if p.Age >= 0 && p.Age < t.cfg.Lease {
			t.Refused(now, p.Number, requestedAt-p.Age)
		}
	}
}

// Proofs returns at most n of the valid proofs, the youngest first, to be sent now.
func (t *Tracker) Proofs(now time.Duration, n int) (out []Proof) {
	for i := range t.proofs {
		if t.isProvenDead(now, i) {
			out = append(out, Proof{i, now - t.proofs[i].sentAt})
		}
	}
	slices.SortFunc(out, func(a, b Proof) int { return cmp.Or(cmp.Compare(a.Age, b.Age), a.Number-b.Number) })
	return out[:min(n, len(out))]
}

// isProvenDead reports whether there is a valid proof for the number.
func (t *Tracker) isProvenDead(now time.Duration, number int) bool {
	p := &t.proofs[number]
	return p.isValid && now < p.sentAt+t.cfg.Lease
}

// Numbers returns the numbers that this dispatcher owns now, in rising order: none before ReadyAt, then its own and those that it
// isSuccessor to. Proofs end, so callers ask again at each use, or as often as ValidUntil says.
func (t *Tracker) Numbers(now time.Duration) (own []int) {
	if now < t.ReadyAt() {
		return nil
	}
	for n := range t.proofs {
		if n == t.cfg.Own || t.isProvenDead(now, n) && now >= t.proofs[n].since+t.cfg.GuardTime && t.isSuccessor(now, n) {
			own = append(own, n)
		}
	}
	return own
}

// ValidUntil returns the time until which the numbers returned now stay owned at least: when the first proof that they rest on expires.
func (t *Tracker) ValidUntil(now time.Duration) time.Duration {
	until := time.Duration(math.MaxInt64)
	for n := range t.proofs {
		if t.isProvenDead(now, n) {
			until = min(until, t.proofs[n].sentAt+t.cfg.Lease)
		}
	}
	return until
}

// ReadyAt returns the time from which this dispatcher may own numbers.
func (t *Tracker) ReadyAt() time.Duration {
	return t.boundAt + time.Duration(math.Ceil(float64(t.cfg.Lease)*(1+maxClockDrift))) + t.cfg.GuardTime
}

// isSuccessor reports whether every dispatcher before this one in the number's order has been proven dead for GuardTime.
func (t *Tracker) isSuccessor(now time.Duration, number int) bool {
	mine := rank(number, t.cfg.Own)
	for n := range t.proofs {
		if n == number || n == t.cfg.Own {
			continue
		}
		isDead := t.isProvenDead(now, n) && now >= t.proofs[n].since+t.cfg.GuardTime
		if theirs := rank(number, n); !isDead && (theirs > mine || theirs == mine && n < t.cfg.Own) {
			return false
		}
	}
	return true
}

// rank returns a successor's weight for a number by rendezvous hashing, the same at every dispatcher: the highest comes first.
func rank(number, successor int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(number))
	binary.LittleEndian.PutUint64(b[8:], uint64(successor))
	return xxhash.Sum64(b[:])
}

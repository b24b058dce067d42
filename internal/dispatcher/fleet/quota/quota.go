// Package quota decides which numbers a dispatcher owns. A budget that a fleet shares is divided into Config.Size equal
// quotas, each identified by a number, and each dispatcher has its own number. When a dispatcher is proven dead, at
// most one other dispatcher may use its quota. Without a proof none may.
//
// # Rules
//
//  1. A number has one address. A dispatcher may own its own number only while its socket is bound to that address.
//  2. A proof of death for a number is a datagram to the number's address that the kernel of the machine with that address
//     refused. It shows that no socket was bound to the address at some time after the datagram was sent. A timeout is no
//     proof, so a partition passes no number on.
//  3. A proof is valid for Lease from the time its datagram was sent.
//  4. After it has bound its socket, a dispatcher owns no number until Lease, lengthened by maxClockDrift, and GuardTime
//     have passed (ReadyAt).
//  5. The successors of a number have an order, which all dispatchers compute alike (rank). A dispatcher owns
//     another dispatcher's number while it has valid proofs for that number and for every dispatcher before itself in the
//     order, each without a gap for at least GuardTime.
//
// # Invariant
//
// No number has two owners. Suppose that dispatcher B owns a number by a proof, and that dispatcher A owns it too, where
// the number belongs to A or A comes before B in the order. B has a valid proof that A had no socket at some time since the
// proof's datagram was sent, less than Lease ago. So A, if it runs, bound its socket less than Lease ago and owns no number
// by rule 4. This contradicts the assumption. GuardTime lies between the last use by one owner and the first use by the
// next. It is at least the window in which the budget is counted, so that no budget is spent twice in one window.
//
// The invariant breaks, and two dispatchers may use the same number, if
//   - something other than the kernel of the addressed machine sends refusals in its name;
//   - the configurations differ in Size, Lease, GuardTime or the numbers' addresses, or two dispatchers at different
//     addresses have the same number;
//   - clocks of two machines differ in speed by more than maxClockDrift, or a clock jumps or stands still while the machine
//     sleeps;
//   - a caller keeps using numbers other than its own after ValidUntil, or any number after its socket was closed.
//
// The package has no I/O, clock or goroutine. A Tracker is not safe for concurrent use. All times passed to it come from one
// clock of this machine, which must never jump and must continue while the machine sleeps (CLOCK_BOOTTIME).
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

// maxClockDrift is the largest difference in speed between the clocks of two machines, as a fraction. A dispatcher that
// starts waits for the lease lengthened by this fraction, as a proof of its death may be timed by a slower clock.
const maxClockDrift = 0.01

// Config says how budgets are divided and how long proofs are valid. All dispatchers of a fleet must have the same values
// except for Own.
type Config struct {
	// Size is the number of quotas, and so the largest number of dispatchers. Numbers run from 0 to Size-1.
	Size int
	// Own is this dispatcher's number.
	Own int
	// Lease is how long a proof of death is valid, from the time its datagram was sent.
	Lease time.Duration
	// GuardTime is the time without any owner when a number passes to another dispatcher. It must be at least the longest
	// window in which the users of the quotas count their spending.
	GuardTime time.Duration
}

// ConfigError is an invalid field of a Config.
type ConfigError struct {
	Field string
	Value any
	Want  string
}

// Error names the field, its value and the allowed values.
func (e *ConfigError) Error() string { return fmt.Sprintf("%s: %v, but %s", e.Field, e.Value, e.Want) }

// Proof is a proof of death in the form sent to other dispatchers: no socket was bound to the number's address.
type Proof struct {
	Number int
	// Age is the time from sending the datagram that was refused to passing on this proof.
	Age time.Duration
}

// Tracker keeps the proofs of death that one dispatcher has, and derives its numbers from them. Use New.
type Tracker struct {
	cfg     Config
	boundAt time.Duration
	proofs  []proof // by number
}

// proof is the newest proof for one number. sentAt and since have a meaning only if isValid is set, which says that there
// ever was a proof; whether it has expired follows from sentAt.
type proof struct {
	isValid bool
	sentAt  time.Duration // when the datagram of the newest proof was sent
	since   time.Duration // since when there has been a valid proof without a gap
}

// New returns the tracker of a dispatcher that bound its socket at boundAt. Its error is a *ConfigError.
func New(cfg Config, boundAt time.Duration) (*Tracker, error) {
	switch {
	case cfg.Size < 1:
		return nil, &ConfigError{"Size", cfg.Size, "a fleet has at least one dispatcher"}
	case cfg.Own < 0 || cfg.Own >= cfg.Size:
		return nil, &ConfigError{"Own", cfg.Own, fmt.Sprintf("numbers run from 0 to %d", cfg.Size-1)}
	case cfg.Lease <= 0:
		return nil, &ConfigError{"Lease", cfg.Lease, "it must be over 0"}
	case cfg.GuardTime < 0:
		return nil, &ConfigError{"GuardTime", cfg.GuardTime, "it cannot be negative"}
	}
	return &Tracker{cfg: cfg, boundAt: boundAt, proofs: make([]proof, cfg.Size)}, nil
}

// Restart resets the tracker as if the socket were bound now: it has no proofs, and owns no number before ReadyAt.
func (t *Tracker) Restart(now time.Duration) {
	t.boundAt = now
	clear(t.proofs)
}

// Refused records a proof of death: the machine at the number's address refused a datagram that was sent at the time sent. A
// proof that has expired by now is ignored.
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

// Merge records the proofs of another dispatcher, received with the answer to a request that was sent at requestedAt. Their
// ages count from the time at which the answer was sent. That time is not known here, but it is not before requestedAt, so
// counting from requestedAt makes proofs expire too early rather than too late.
func (t *Tracker) Merge(now, requestedAt time.Duration, proofs []Proof) {
	for _, p := range proofs {
		if p.Age >= 0 && p.Age < t.cfg.Lease {
			t.Refused(now, p.Number, requestedAt-p.Age)
		}
	}
}

// Proofs returns at most n of the valid proofs, the newest first, with their ages at the time now.
func (t *Tracker) Proofs(now time.Duration, n int) (out []Proof) {
	for i := range t.proofs {
		if t.isProvenDead(now, i) {
			out = append(out, Proof{i, now - t.proofs[i].sentAt})
		}
	}
	slices.SortFunc(out, func(a, b Proof) int { return cmp.Or(cmp.Compare(a.Age, b.Age), a.Number-b.Number) })
	return out[:min(n, len(out))]
}

// isProvenDead reports whether there is a valid proof of death for the number.
func (t *Tracker) isProvenDead(now time.Duration, number int) bool {
	p := &t.proofs[number]
	return p.isValid && now < p.sentAt+t.cfg.Lease
}

// Numbers returns the numbers that this dispatcher owns now, in ascending order: none before ReadyAt, then its own number and
// the numbers that it owns as successor. Proofs expire, so callers must ask again before each use, or at the latest at
// ValidUntil.
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

// ValidUntil returns the earliest time at which a valid proof expires. Until then this dispatcher keeps all numbers that it
// owns now.
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

// isSuccessor reports whether every dispatcher before this one in the number's order of successors has been proven dead for
// at least GuardTime.
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

// rank returns the weight of a successor for a number by rendezvous hashing, which is the same at every dispatcher. The
// successor with the highest weight comes first, and of equal weights the successor with the lower number.
func rank(number, successor int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(number))
	binary.LittleEndian.PutUint64(b[8:], uint64(successor))
	return xxhash.Sum64(b[:])
}

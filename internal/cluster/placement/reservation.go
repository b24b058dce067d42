package placement

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	maxReservationAge  = 10 * time.Second // capacity is reserved for a unit for at most that long
	reservationBackoff = 3 * time.Second  // and then not for so long
	reservationExpiry  = 10 * time.Second // time after which the record of a unit that takes part no more is removed
	maxReservations    = 6                // units with a record at the same time
)

// Reservation is capacity of a runner that a round keeps for a unit that has to wait. The zero Reservation reserves nothing.
type Reservation struct {
	key      any // the unit's reservation key; nil: there is no reservation
	priority int
	neededIn float64            // seconds from now
	spare    protocol.Resources // what is free beside it once it is needed
}

// isForOther reports whether it is a reservation for another unit than that of the given key.
func (r *Reservation) isForOther(key any) bool { return r.key != nil && r.key != key }

// reservationRecord bounds, over the rounds, how long capacity is reserved for a unit.
type reservationRecord struct {
	startedAt, lastSeen time.Duration
}

// reserve reserves the capacity of a plan for later. Tasks of no more priority that would still run when it is needed can't
// take it: see Planner.respectsReservation.
func (p *Planner) reserve(u *unit, later *plan) {
	if !p.mayReserve(u) {
		return
	}
	needs := u.first().task.Needs
	for _, r := range later.runners {
		if r.reserved.key != u.reservationKey() {
			spare := r.free
			for _, release := range p.expectedReleases(r) {
				if release.in <= later.start {
					add(&spare, release.needs)
				}
			}
			r.reserved = Reservation{u.reservationKey(), u.first().task.Priority, later.start, spare}
		}
		subtract(&r.reserved.spare, needs)
	}
}

// listReservations adds the round's reservations to its result.
func (p *Planner) listReservations() {
	for i := range p.runnerStates {
		if r := &p.runnerStates[i]; r.reserved.key != nil {
			p.result.Reservations = append(p.result.Reservations, RunnerReservation{i, r.reserved})
		}
	}
}

// mayReserve reports whether capacity may be reserved for a unit now: for maxReservationAge, then not for
// reservationBackoff, so that a plan that is never fulfilled doesn't leave capacity idle forever.
func (p *Planner) mayReserve(u *unit) bool {
	record := p.reservations[u.reservationKey()]
	if record == nil {
		if len(p.reservations) >= maxReservations {
			return false
		}
		record = &reservationRecord{startedAt: p.now}
		p.reservations[u.reservationKey()] = record
	}
	record.lastSeen = p.now
	if p.now-record.startedAt >= maxReservationAge+reservationBackoff {
		record.startedAt = p.now
	}
	return p.now-record.startedAt < maxReservationAge
}

// expireReservations removes the records of units that no longer need one: they were assigned, have ended or can start
// nowhere.
func (p *Planner) expireReservations() {
	for key, record := range p.reservations {
		if p.now-record.lastSeen > reservationExpiry {
			delete(p.reservations, key)
		}
	}
}

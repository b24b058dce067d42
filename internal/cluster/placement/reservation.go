package placement

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	maxReservationAge  = 10 * time.Second // longest time that rounds reserve capacity for a unit without a pause
	reservationBackoff = 3 * time.Second  // length of the pause after that
	reservationExpiry  = 10 * time.Second // time since a unit last needed a reservation after which its record is removed
	maxReservations    = 6                // largest number of units with a record, and so with a reservation
)

// Reservation is capacity of one runner that a round reserves for a unit that must wait. It is a reservation as in EASY
// backfilling: neededIn is the shadow time, spare the extra capacity. The zero Reservation reserves no capacity.
type Reservation struct {
	key      any                // reservation key of the unit; nil: there is no reservation
	priority int                // priority of the unit
	neededIn float64            // time at which the unit is expected to start, in seconds from now
	spare    protocol.Resources // capacity expected to be free at that time beyond the unit's needs
}

// isForOther reports whether the runner is reserved for a unit with another key than the given one.
func (r *Reservation) isForOther(key any) bool { return r.key != nil && r.key != key }

// reservationRecord limits how long rounds reserve capacity for a unit. startedAt is the time of the first reservation
// since the latest pause, if any. lastSeen is the time of the latest round that tried to reserve capacity for the unit.
type reservationRecord struct {
	startedAt, lastSeen time.Duration
}

// reserve reserves the capacity of a plan for a later start, if mayReserve. A runner is reserved for one unit at most,
// because collectSlotsLater skips runners that are reserved for another unit. The rules for other tasks are in
// Planner.respectsReservation.
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

// listReservations adds the reservations of the round to its result.
func (p *Planner) listReservations() {
	for i := range p.runnerStates {
		if r := &p.runnerStates[i]; r.reserved.key != nil {
			p.result.Reservations = append(p.result.Reservations, RunnerReservation{i, r.reserved})
		}
	}
}

// mayReserve reports whether the round may reserve capacity for a unit. It may for maxReservationAge, then not for
// reservationBackoff, and so on, so that a unit that never starts doesn't keep capacity idle forever. It may not if
// maxReservations other units have a record.
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

// expireReservations removes the records of units that haven't needed a reservation for reservationExpiry, because they
// have ended or can't start anywhere.
func (p *Planner) expireReservations() {
	for key, record := range p.reservations {
		if p.now-record.lastSeen > reservationExpiry {
			delete(p.reservations, key)
		}
	}
}

package scheduler

import "time"

const (
	// maxConfirmationAge is the time from the request of a confirmation of leadership during which it allows the owner to
	// answer heartbeats.
	maxConfirmationAge = 900 * time.Millisecond
	// neverConfirmed is the confirmedAt of a leadership without a confirmation: at any time since 0 it is too old to count.
	neverConfirmed = -maxConfirmationAge
)

// leadership describes the current leadership of this process, or its last one.
type leadership struct {
	isLeader    bool
	term        uint64        // Raft term; the fencing token of the orders
	since       time.Duration // time of the call of BecomeLeader
	confirmedAt time.Duration // time at which the newest confirmation was requested
	timeOfDayMs int64         // estimated time of day at timeOfDayAt, in ms since 1970
	timeOfDayAt time.Duration
}

func (l *leadership) setTimeOfDay(now time.Duration, timeOfDayMs int64) {
	l.timeOfDayMs = timeOfDayMs
	l.timeOfDayAt = now
}

// timeOfDayMsAt returns the estimated time of day at now, in ms since 1970.
func (l *leadership) timeOfDayMsAt(now time.Duration) int64 {
	return l.timeOfDayMs + (now - l.timeOfDayAt).Milliseconds()
}

// isConfirmed reports whether the newest confirmation of leadership is recent enough to answer heartbeats. The process may
// have been replaced since that confirmation, but its answers do no harm: its leases are counted from the confirmation, the
// starts and ends in its answers are committed, and a runner that had contact with its successor refuses its fencing token.
func (l *leadership) isConfirmed(now time.Duration) bool {
	return now-l.confirmedAt < maxConfirmationAge
}

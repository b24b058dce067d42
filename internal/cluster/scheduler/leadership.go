package scheduler

import "time"

const (
	// maxConfirmationAge is the oldest confirmation of leadership on which a heartbeat is still answered.
	maxConfirmationAge = 900 * time.Millisecond
	// neverConfirmed is a time before all confirmations that count.
	neverConfirmed = -maxConfirmationAge
)

// leadership is what is known of the present, or last, leadership of this process.
type leadership struct {
	isLeader    bool
	term        uint64
	since       time.Duration
	confirmedAt time.Duration // when the newest confirmation was asked for
	timeOfDayMs int64         // estimate at timeOfDayAt
	timeOfDayAt time.Duration
}

func (l *leadership) setTimeOfDay(now time.Duration, timeOfDayMs int64) {
	l.timeOfDayMs = timeOfDayMs
	l.timeOfDayAt = now
}

// timeOfDayMsAt returns the estimated time of day at now.
func (l *leadership) timeOfDayMsAt(now time.Duration) int64 {
	return l.timeOfDayMs + (now - l.timeOfDayAt).Milliseconds()
}

// isConfirmed reports whether heartbeats may be answered. What an owner that was replaced since the confirmation answers
// does no harm: its leases count from the confirmation, its starts and ends are committed, and a runner that has had
// contact with its successor refuses its fencing token.
func (l *leadership) isConfirmed(now time.Duration) bool {
	return now-l.confirmedAt < maxConfirmationAge
}

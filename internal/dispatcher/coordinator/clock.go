package coordinator

import "time"

// clock is the time that the module sees: Unix time at the program's start plus monotonic time since, so that
// the starts of runners, which discovery lists as Unix time, compare with it, and a step of the machine's clock
// changes nothing.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

func (c clock) now() time.Duration { return c.at(time.Now()) }

// time converts a time of this clock.
func (c clock) time(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}

package coordinator

import "time"

// clock has the time that the decision module sees: the Unix time at the program's start plus the monotonic time since.
// It compares with the start times of runners, which discovery lists as Unix time, and steps of the machine's clock
// don't change it.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

// at converts a time of the machine to one of this clock.
func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

func (c clock) now() time.Duration { return c.at(time.Now()) }

// time converts a time of this clock to one of the machine.
func (c clock) time(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}

package routetable

import "time"

// The terms on which a list counts as told, whether lists are pushed or asked for. What a watch that fell silent
// misses counts as told silenceTerm after the silence began, or holdTerm after the wait of its call is over, if that is
// later.
const (
	silenceTerm = 6 * time.Second
	holdTerm    = 2 * time.Second
)

const (
	// callGrace is how much longer than its hold a call to discovery may take. Discovery serves its callers one
	// after another and a call may wait its turn; a cut network is silent, so without this a call never ends.
	callGrace = 1500 * time.Millisecond
	// mostHold is the longest that a watch is held for. With it, a call that brings nothing is broken off a second
	// before anything that it missed counts as told, which leaves time for the next call's answer, and for one
	// more call where that one fails.
	mostHold = silenceTerm - callGrace - time.Second
)

// clock holds the times of the watch that those terms are counted from. Its methods are given the time; only the watcher
// uses it.
type clock struct {
	heard time.Time     // the last whole answer, or the start
	began time.Time     // the call under way; zero: none
	hold  time.Duration // of that call
}

// call notes that a call goes out that discovery may hold for so long. It returns when the call is to be broken off.
func (c *clock) call(now time.Time, hold time.Duration) (until time.Time) {
	c.began, c.hold = now, hold
	if c.heard.IsZero() {
		c.heard = now
	}
	return now.Add(hold + callGrace)
}

// answer notes that a list came.
func (c *clock) answer(now time.Time) { c.heard, c.began = now, time.Time{} }

// told returns from when on a change that was made right after the last sign of discovery counts as told, though no
// call brought it.
func (c *clock) told() time.Time {
	told := c.heard.Add(silenceTerm)
	if held := c.began.Add(c.hold + holdTerm); !c.began.IsZero() && c.hold > 0 && held.After(told) {
		return held
	}
	return told
}

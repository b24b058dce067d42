package routetable

import "time"

// The terms on which a list counts as told, whether lists are pushed or asked for. What a watch that fell silent
// misses counts as told noticeAfterSilence after the silence began, or noticeAfterHold after the wait of its call is over, if that is
// later.
const (
	noticeAfterSilence = 6 * time.Second
	noticeAfterHold    = 2 * time.Second
)

const (
	// callSlack is how much longer than its hold a call to discovery may take. Discovery serves its callers one
	// after another and a call may wait its turn; a cut network is silent, so without this a call never ends.
	callSlack = 1500 * time.Millisecond
	// maxHold is the longest that a watch is held for. With it, a call that brings nothing is broken off a second
	// before anything that it missed counts as told, which leaves time for the next call's answer, and for one
	// more call where that one fails.
	maxHold = noticeAfterSilence - callSlack - time.Second
)

// watchClock holds the times of the watch that those terms are counted from. Its methods are given the time; only the watcher
// uses it.
type watchClock struct {
	lastResponse time.Time     // the last whole answer, or the start
	callStarted  time.Time     // the call under way; zero: none
	hold         time.Duration // of that call
}

// startCall notes that a call goes out that discovery may hold for so long. It returns when the call is to be broken off.
func (c *watchClock) startCall(now time.Time, hold time.Duration) (until time.Time) {
	c.callStarted, c.hold = now, hold
	if c.lastResponse.IsZero() {
		c.lastResponse = now
	}
	return now.Add(hold + callSlack)
}

// responded notes that a list came.
func (c *watchClock) responded(now time.Time) { c.lastResponse, c.callStarted = now, time.Time{} }

// noticedAt returns from when on a change that was made right after the last sign of discovery counts as told, though no
// call brought it.
func (c *watchClock) noticedAt() time.Time {
	told := c.lastResponse.Add(noticeAfterSilence)
	if held := c.callStarted.Add(c.hold + noticeAfterHold); !c.callStarted.IsZero() && c.hold > 0 && held.After(told) {
		return held
	}
	return told
}

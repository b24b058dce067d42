package routetable

import "time"

// By the platform's rules a dispatcher counts as notified of a change that its watch missed, because the network
// carried nothing, noticeAfterSilence after the last response, or noticeAfterHold after the end of the hold of the
// call in progress, whichever is later. They apply to lists that are pushed and that are requested.
const (
	noticeAfterSilence = 6 * time.Second
	noticeAfterHold    = 2 * time.Second
)

const (
	// callSlack is how much longer than its hold a call to discovery may take. Discovery serves its callers one after
	// another, so a call may be queued; and without a bound a call through a partitioned network never ends.
	callSlack = 1500 * time.Millisecond
	// maxHold is the longest hold of a watch. With it, a call without a response is cancelled a second before the
	// dispatcher counts as notified of what it missed. That leaves time for the next call's response, and for one
	// more call if that one fails.
	maxHold = noticeAfterSilence - callSlack - time.Second
)

// watchClock holds the times of the watch that those rules count from. It is of the goroutine of Watcher.Run.
type watchClock struct {
	lastResponse time.Time     // the last complete response, or the first call
	callStarted  time.Time     // of the call in progress; zero: none
	hold         time.Duration // of that call
}

// startCall notes the start of a call that discovery may hold for so long, and returns when the call is to be
// cancelled.
func (c *watchClock) startCall(now time.Time, hold time.Duration) (until time.Time) {
	c.callStarted, c.hold = now, hold
	if c.lastResponse.IsZero() {
		c.lastResponse = now
	}
	return now.Add(hold + callSlack)
}

// responded notes that a list was received.
func (c *watchClock) responded(now time.Time) { c.lastResponse, c.callStarted = now, time.Time{} }

// noticedAt returns when the dispatcher counts as notified of a change that discovery made right after its last
// response, though no call brought it.
func (c *watchClock) noticedAt() time.Time {
	at := c.lastResponse.Add(noticeAfterSilence)
	if afterHold := c.callStarted.Add(c.hold + noticeAfterHold); !c.callStarted.IsZero() && c.hold > 0 && afterHold.After(at) {
		return afterHold
	}
	return at
}

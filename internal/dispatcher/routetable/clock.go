package routetable

import "time"

// If no call brings a change, as in a network partition, the platform still treats the dispatcher as notified of the change
// at some time: noticeAfterSilence after the last response, or noticeAfterHold after the end of the hold of the call in
// progress, whichever is later. This rule of the platform applies both where lists are pushed and where they are requested.
const (
	noticeAfterSilence = 6 * time.Second
	noticeAfterHold    = 2 * time.Second
)

const (
	// callSlack is how much longer than its hold a call to discovery may take. Some time is needed, as discovery serves its
	// callers one after another and a call may be queued. A bound is needed, as a call in a partitioned network would
	// never end.
	callSlack = 1500 * time.Millisecond
	// maxHold is the longest hold of a call, 3.5 s. A call without a response is cancelled after its hold and callSlack,
	// and so at least a second before the platform treats the dispatcher as notified of the changes that it missed. The
	// second is for the response to the next call, and for one more call if that one fails.
	maxHold = noticeAfterSilence - callSlack - time.Second
)

// watchClock holds the times from which that rule counts. Only the goroutine of Watcher.Run uses it.
type watchClock struct {
	lastResponse time.Time     // when the last list was received; before that, when the first call started
	callStarted  time.Time     // when the call in progress started; zero: there is none
	hold         time.Duration // the hold of that call
}

// startCall records the start of a call that discovery may hold for the given time, and returns when the call is to be
// cancelled.
func (c *watchClock) startCall(now time.Time, hold time.Duration) (until time.Time) {
	c.callStarted, c.hold = now, hold
	if c.lastResponse.IsZero() {
		c.lastResponse = now
	}
	return now.Add(hold + callSlack)
}

// responded records that a list was received.
func (c *watchClock) responded(now time.Time) { c.lastResponse, c.callStarted = now, time.Time{} }

// noticedAt returns when the platform treats the dispatcher as notified of a change that discovery made right after its
// last response, if no call brings the change.
func (c *watchClock) noticedAt() time.Time {
	at := c.lastResponse.Add(noticeAfterSilence)
	if afterHold := c.callStarted.Add(c.hold + noticeAfterHold); !c.callStarted.IsZero() && c.hold > 0 && afterHold.After(at) {
		return afterHold
	}
	return at
}

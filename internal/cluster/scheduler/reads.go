package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
)

// readTimeout is the longest time that a read waits for a confirmation of leadership.
const readTimeout = 800 * time.Millisecond

// confirmedRead is a request that is answered only after a confirmation of leadership. The confirmation is a round of
// messages to the replicas, sent after the request arrived.
type confirmedRead struct {
	requestedAt time.Duration   // time of arrival
	deadline    time.Duration   // time at which the request fails if there was no such confirmation
	reply       func(err error) // called with nil if the leadership was confirmed
}

// confirmedReads are the requests that wait for a confirmation of leadership.
type confirmedReads struct{ waiting []confirmedRead }

func (c *confirmedReads) add(now time.Duration, reply func(err error)) {
	c.waiting = append(c.waiting, confirmedRead{requestedAt: now, deadline: now + readTimeout, reply: reply})
}

func (c *confirmedReads) isEmpty() bool { return len(c.waiting) == 0 }

// complete answers the reads that are covered by a confirmation that was requested at confirmedAt. It fails other reads
// if their deadline has passed. A confirmation covers a read that has arrived at the same time: the engine sends the
// messages of a step after it has processed the step's requests, see replica.Engine.ConfirmLeadership.
func (c *confirmedReads) complete(now, confirmedAt time.Duration) {
	var remaining, confirmed, expired []confirmedRead
	for _, r := range c.waiting {
		switch {
		case confirmedAt >= r.requestedAt:
			confirmed = append(confirmed, r)
		case now >= r.deadline:
			expired = append(expired, r)
		default:
			remaining = append(remaining, r)
		}
	}
	c.waiting = remaining
	for _, r := range confirmed {
		r.reply(nil)
	}
	for _, r := range expired {
		r.reply(failure.New(failure.NotLeader, "leadership could not be confirmed"))
	}
}

// fail replies err to all reads.
func (c *confirmedReads) fail(err error) {
	for _, r := range c.waiting {
		r.reply(err)
	}
}

package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
)

// readTimeout is how long a read waits for a confirmation of leadership.
const readTimeout = 800 * time.Millisecond

// confirmedRead is a question that is answered once leadership was confirmed by a round of messages that left after it
// came.
type confirmedRead struct {
	requestedAt time.Duration
	deadline    time.Duration
	reply       func(err error) // nil: leadership was confirmed
}

// confirmedReads are the questions that wait for a confirmation of leadership.
type confirmedReads struct{ waiting []confirmedRead }

func (c *confirmedReads) add(now time.Duration, reply func(err error)) {
	c.waiting = append(c.waiting, confirmedRead{requestedAt: now, deadline: now + readTimeout, reply: reply})
}

func (c *confirmedReads) isEmpty() bool { return len(c.waiting) == 0 }

// complete answers the reads that a confirmation covers, and those whose time is over by an error. A confirmation that was
// asked for at the time of the step in which a read came left after the read, see replica.Engine.ConfirmLeadership.
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

// fail answers all reads by err.
func (c *confirmedReads) fail(err error) {
	for _, r := range c.waiting {
		r.reply(err)
	}
}

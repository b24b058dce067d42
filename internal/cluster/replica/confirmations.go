package replica

import (
	"time"
)

// confirmTimeout is how long a confirmation is waited for.
const confirmTimeout = time.Second

// confirmation is a pending call of ConfirmLeadership. It waits for a quorum's answers to a round of heartbeats that
// left after the call. Rounds carry the time of the step that sends them, the times of steps rise, and what a step
// sends leaves at its end, after all of its inputs were handled: so a round with the time requestedAt or a later one
// left after the call.
type confirmation struct {
	requestedAt time.Duration
	done        func(err error)
}

// ConfirmLeadership confirms that this process still leads the group (Raft's read index; thesis, section 6.4). done is
// called on the loop exactly once: with nil once a quorum has answered a round of heartbeats that left after this
// call, or with failure.NotLeader, after confirmTimeout at the latest.
func (e *Engine) ConfirmLeadership(id GroupID, done func(err error)) {
	g := e.byID[id]
	if g == nil || g.leadingTerm == 0 {
		done(e.notLeader(id))
		return
	}
	g.node.ConfirmLeadership(e.now)
	g.confirmations = append(g.confirmations, confirmation{requestedAt: e.now, done: done})
}

// resolveConfirmations calls back the confirmations that a quorum has answered, and those that timed out.
func (g *group) resolveConfirmations() {
	if len(g.confirmations) == 0 {
		return
	}
	confirmedAt := g.node.Status().ConfirmedAt
	count := 0 // of those that are resolved: the oldest ones
	for count < len(g.confirmations) {
		c := &g.confirmations[count]
		if confirmedAt < c.requestedAt && g.engine.now-c.requestedAt < confirmTimeout {
			break
		}
		count++
	}
	resolved := g.confirmations[:count:count]
	g.confirmations = g.confirmations[count:]
	for _, c := range resolved {
		if confirmedAt >= c.requestedAt {
			c.done(nil)
		} else {
			c.done(g.engine.notLeader(g.id))
		}
	}
}

// confirmationDeadline returns when the oldest pending confirmation times out.
func (g *group) confirmationDeadline() time.Duration {
	if len(g.confirmations) == 0 {
		return never
	}
	return g.confirmations[0].requestedAt + confirmTimeout
}

func (g *group) failConfirmations() {
	confirms := g.confirmations
	g.confirmations = nil
	for _, c := range confirms {
		c.done(g.engine.notLeader(g.id))
	}
}

package replica

import (
	"time"
)

// confirmTimeout is the time after which ConfirmLeadership fails if no quorum has responded.
const confirmTimeout = time.Second

// confirmation is a pending call of ConfirmLeadership. It is resolved once a quorum has responded to a round of heartbeats
// that was sent after the call.
//
// A round with a time of at least requestedAt, the time of the call's step, was sent after the call:
//  1. A round has the time of the step that sends it.
//  2. The times of steps rise strictly, see Engine.advance. So no earlier step has sent the round.
//  3. A step sends its messages at its end, when it has handled all inputs. So in the call's own step, too, the round was
//     sent after the call.
type confirmation struct {
	requestedAt time.Duration // time of the step in which ConfirmLeadership was called
	done        func(err error)
}

// ConfirmLeadership confirms that this process still leads the group (the read index of Raft; thesis, section 6.4). The
// engine calls done on the loop exactly once: with nil once a quorum has responded to a round of heartbeats that was sent
// after this call, or with failure.NotLeader, after confirmTimeout at the latest.
func (e *Engine) ConfirmLeadership(id GroupID, done func(err error)) {
	g := e.byID[id]
	if g == nil || g.leadingTerm == 0 {
		done(e.notLeader(id))
		return
	}
	g.node.ConfirmLeadership(e.now)
	g.confirmations = append(g.confirmations, confirmation{requestedAt: e.now, done: done})
}

// resolveConfirmations resolves pending confirmations: with nil once a quorum has responded, or with failure.NotLeader
// after confirmTimeout. Confirmations are in the order of their calls, so the oldest are resolved first.
func (g *group) resolveConfirmations() {
	if len(g.confirmations) == 0 {
		return
	}
	confirmedAt := g.node.Status().ConfirmedAt
	count := 0 // how many are resolved
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

// confirmationDeadline returns when the oldest pending confirmation times out. It is infinite if none is pending.
func (g *group) confirmationDeadline() time.Duration {
	if len(g.confirmations) == 0 {
		return infinite
	}
	return g.confirmations[0].requestedAt + confirmTimeout
}

// failConfirmations fails all pending confirmations.
func (g *group) failConfirmations() {
	pending := g.confirmations
	g.confirmations = nil
	for _, c := range pending {
		c.done(g.engine.notLeader(g.id))
	}
}

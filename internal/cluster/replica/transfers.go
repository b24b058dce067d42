package replica

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
)

const (
	// balanceInterval is the time between two transfers that this process starts to balance leaderships.
	balanceInterval = time.Second
	// groupBalanceInterval is the time between two transfers of the same group's leadership to balance leaderships.
	groupBalanceInterval = 10 * time.Second
	// minSteadyContact is how long there must have been steady contact with a process, see peer.steadySince, before
	// leaderships are balanced to it.
	minSteadyContact = 5 * time.Second
	// maxPreferredLag is the number of entries that a member may lack at most if a leadership is balanced to it.
	maxPreferredLag = 64
	// transferRetryInterval is the time between two attempts to transfer a leadership because the disk is unhealthy.
	transferRetryInterval = 1500 * time.Millisecond
	// resignRetryInterval is the time between two attempts to transfer a leadership because the process resigns. It is
	// shorter, since the process waits for at most resignTimeout.
	resignRetryInterval = 500 * time.Millisecond
	// resignTimeout is the time that Resign allows for its transfers.
	resignTimeout = 1500 * time.Millisecond
)

// leadershipTransfers is the state of the transfers that this process starts, and of Resign.
type leadershipTransfers struct {
	resigning       bool          // Resign or Decommission was called
	resignDeadline  time.Duration // when the callbacks are called in any case
	resignCallbacks []func()      // not called yet
	lastBalancedAt  time.Duration // when a leadership was last transferred to balance leaderships; 0 if none was
}

// Resign transfers the leaderships of all groups that this process leads, each to the voter that lacks the fewest entries.
// From then on this process campaigns only in a group that has had no leader for resignedCampaignTimeout, since it may be
// the only member with the newest entries. The engine calls done on the loop once this process leads no group, or after
// resignTimeout.
func (e *Engine) Resign(done func()) {
	if !e.transfers.resigning {
		e.transfers.resigning = true
		e.transfers.resignDeadline = e.now + resignTimeout
		e.setCampaigns()
	}
	e.transfers.resignCallbacks = append(e.transfers.resignCallbacks, done)
	e.maintainAt = e.now
}

// avoidsLeadership reports whether this process transfers its leaderships to others and accepts none, because it has
// resigned or its disk is unhealthy.
func (e *Engine) avoidsLeadership() bool { return e.transfers.resigning || e.writer.health.unhealthy }

// transferLeaderships starts the transfers of leadership that are due: of all groups if this process avoids leadership,
// else at most one to balance leaderships.
func (e *Engine) transferLeaderships() {
	led := 0
	for _, g := range e.groups {
		if g.node.Status().IsLeader {
			led++
		}
	}
	if e.avoidsLeadership() {
		for _, g := range e.groups {
			g.transferLeadership()
		}
	} else {
		e.balanceLeaderships(led)
	}
	e.finishResigning(led)
}

// finishResigning calls the callbacks of Resign and Decommission once this process may end, or at their deadline. led is
// the number of groups that it leads.
func (e *Engine) finishResigning(led int) {
	if !e.transfers.resigning || len(e.transfers.resignCallbacks) == 0 {
		return
	}
	ready := led == 0
	decommissioned := e.decommission.phase != notDecommissioned
	if decommissioned {
		ready = e.continueDecommission(led)
	}
	if !ready && e.now < e.transfers.resignDeadline {
		return
	}
	if !ready && decommissioned {
		e.warnUnapproved()
	}
	callbacks := e.transfers.resignCallbacks
	e.transfers.resignCallbacks = nil
	for _, done := range callbacks {
		done()
	}
}

// transferLeadership starts a transfer of the group's leadership to its successor. It does not start one if this member
// does not lead, a transfer is in progress or was started recently, or no other voter can lead.
func (g *group) transferLeadership() {
	now := g.engine.now
	status := g.node.Status()
	interval := transferRetryInterval
	if g.engine.transfers.resigning {
		interval = resignRetryInterval
	}
	recent := g.lastTransferAt > 0 && now-g.lastTransferAt < interval
	if !status.IsLeader || status.Transferee != consensus.None || recent {
		return
	}
	successor := g.successor(status.Members)
	if successor == consensus.None {
		return
	}
	g.lastTransferAt = now
	_ = g.node.TransferLeadership(now, successor)
}

// successor returns, of the other voters that can lead and are not losing their vote, the voter that lacks the fewest
// entries. It returns consensus.None if there is no such voter.
func (g *group) successor(members []consensus.Member) consensus.MemberID {
	successor, minBehind := consensus.None, uint64(math.MaxUint64)
	for _, member := range stayingVoters(members) {
		if member.ID == g.engine.self.ID {
			continue
		}
		behind, answeredAt, known := g.node.Lag(member.ID)
		if known && g.canLead(member.ID, answeredAt) && behind < minBehind {
			successor, minBehind = member.ID, behind
		}
	}
	return successor
}

// canLead reports whether a member is alive and does not avoid leadership.
func (g *group) canLead(id consensus.MemberID, answeredAt time.Duration) bool {
	e := g.engine
	unresponsive := max(e.now-answeredAt, e.peers.sinceContact(id, e.now))
	return unresponsive < aliveTimeout && e.peers.acceptsLeadership(id, e.now)
}

// balanceLeaderships transfers the leadership of one group to the group's preferred leader, if this process leads more
// groups than its share. led is the number of groups that it leads.
func (e *Engine) balanceLeaderships(led int) {
	if e.now-e.transfers.lastBalancedAt < balanceInterval {
		return
	}
	for _, g := range e.groups {
		if preferred := g.balanceTarget(led); preferred != consensus.None {
			e.transfers.lastBalancedAt = e.now
			g.lastTransferAt = e.now
			_ = level.Info(e.options.Logger).Log("msg", "transferring leadership to the preferred member", "group", g.id)
			_ = g.node.TransferLeadership(e.now, preferred)
			return
		}
	}
}

// balanceTarget returns the member to which the group's leadership should be transferred to balance leaderships, or
// consensus.None.
//
// A group's preferred leader is the voter at position id modulo n in the order of their IDs, for the group's id and n
// voters. All processes compute the same one. A process's share is the number of groups divided by n, rounded up.
func (g *group) balanceTarget(led int) consensus.MemberID {
	e := g.engine
	status := g.node.Status()
	recent := g.lastTransferAt > 0 && e.now-g.lastTransferAt < groupBalanceInterval
	if g.leadingTerm == 0 || status.Transferee != consensus.None || recent {
		return consensus.None
	}
	voters := sortedVoters(stayingVoters(status.Members))
	if len(voters) == 0 || led <= (len(e.groups)+len(voters)-1)/len(voters) {
		return consensus.None
	}
	preferred := voters[int(g.id)%len(voters)]
	behind, answeredAt, known := g.node.Lag(preferred)
	ready := known && behind <= maxPreferredLag && g.canLead(preferred, answeredAt)
	steady := e.peers.steadyFor(preferred, e.now) >= minSteadyContact
	if preferred == e.self.ID || !ready || !steady || g.defersTransfer() {
		return consensus.None
	}
	return preferred
}

// defersTransfer reports whether the group's state machine defers a transfer of leadership.
func (g *group) defersTransfer() bool {
	deferrer, ok := g.machine.(TransferDeferrer)
	return ok && deferrer.DefersTransfer()
}

// isStayingVoter reports whether a member votes, and will still vote when a change that is in progress is complete.
func isStayingVoter(member consensus.Member) bool {
	isLeaving := member.Transition == consensus.TransitionRemoved || member.Transition == consensus.TransitionDemoted
	return !member.Learner && !isLeaving
}

// stayingVoters returns the members that vote and are not losing their vote by a joint membership.
func stayingVoters(members []consensus.Member) []consensus.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member consensus.Member) bool { return !isStayingVoter(member) })
}

// sortedVoters returns the IDs of the members that vote, in rising order.
func sortedVoters(members []consensus.Member) []consensus.MemberID {
	var voters []consensus.MemberID
	for _, member := range members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	slices.Sort(voters)
	return voters
}

package replica

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
)

const (
	// balanceInterval is the time between two transfers that balance leaderships, groupBalanceInterval between two of the
	// same group.
	balanceInterval      = time.Second
	groupBalanceInterval = 10 * time.Second
	// minSteadyContact is how long a process must have been in steady contact before leaderships are balanced to it.
	minSteadyContact = 5 * time.Second
	// maxPreferredLag is how many entries a member may lack to which a leadership is balanced.
	maxPreferredLag = 64
	// transferRetryInterval is the time between two attempts to transfer a leadership because the disk is unhealthy,
	// resignRetryInterval because the process resigns, which has no time to lose.
	transferRetryInterval = 1500 * time.Millisecond
	resignRetryInterval   = 500 * time.Millisecond
	// resignTimeout is how long Resign waits for its transfers.
	resignTimeout = 1500 * time.Millisecond
)

// leadershipTransfers is the state of planned transfers of leaderships, and of Resign.
type leadershipTransfers struct {
	resigning       bool
	resignDeadline  time.Duration
	resignCallbacks []func()
	lastBalancedAt  time.Duration // when a leadership was last transferred to balance
}

// Resign transfers all leaderships, each to the voter that lacks least, and has this process campaign again only where
// there has long been no leader: it may be the only one with the newest entries. done is called on the loop once this
// process leads nothing, or after resignTimeout.
func (e *Engine) Resign(done func()) {
	if !e.transfers.resigning {
		e.transfers.resigning = true
		e.transfers.resignDeadline = e.now + resignTimeout
		e.setCampaigns()
	}
	e.transfers.resignCallbacks = append(e.transfers.resignCallbacks, done)
	e.maintainAt = e.now
}

// avoidsLeadership reports whether this process gives up leaderships and takes none.
func (e *Engine) avoidsLeadership() bool { return e.transfers.resigning || e.writer.health.unhealthy }

// transferLeaderships transfers leaderships to other members where that is due.
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

// finishResigning calls back Resign and Decommission once this process may end, or at their deadline. led is the
// number of groups that it leads.
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

// transferLeadership starts a transfer of the group's leadership to the voter that lacks least.
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

// successor returns the voter that can lead and lacks least, or None.
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

// balanceLeaderships transfers one leadership to its group's preferred leader if this process leads more groups than
// its part of them.
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

// balanceTarget returns the member that should lead the group instead of this process, and can; or None. Each group
// prefers one of its voters by its number, the same in all processes.
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

func (g *group) defersTransfer() bool {
	deferrer, ok := g.machine.(TransferDeferrer)
	return ok && deferrer.DefersTransfer()
}

// isStayingVoter reports whether a member votes, and goes on voting after a joint membership.
func isStayingVoter(member consensus.Member) bool {
	isLeaving := member.Transition == consensus.TransitionRemoved || member.Transition == consensus.TransitionDemoted
	return !member.Learner && !isLeaving
}

// stayingVoters returns the voters that are not leaving.
func stayingVoters(members []consensus.Member) []consensus.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member consensus.Member) bool { return !isStayingVoter(member) })
}

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

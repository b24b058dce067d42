package replica

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
)

const (
	// decommissionInterval is the time between two requests of a process that is decommissioned.
	decommissionInterval = 20 * time.Millisecond
	// quiesceTimeout is how long a process stays quiesced while it waits for the second approval.
	quiesceTimeout = 2 * slowWriteTime
	// approvalLifetime is for how long an approved member counts as gone unless there is contact with it.
	approvalLifetime = 10 * time.Second
)

// DecommissionRequest asks a group's leader whether a member may end for good. A leader approves once the member is
// replaced, if a replacement is there, and the others have on disk what the member has. It is part of Envelope and
// encoded by gob: the field names are the wire format.
type DecommissionRequest struct {
	Group   GroupID
	Attempt uint64 // repeated in the approval
	Quiet   bool   // the member is quiesced: it takes no part any more, and its log does not grow
	Last    uint64 // if Quiet, the last index of its log
}

// DecommissionApproval is a leader's approval that a member may end for good. It is part of Envelope and encoded by
// gob: the field names are the wire format.
type DecommissionApproval struct {
	Group   GroupID
	Attempt uint64
	Term    uint64 // the leader's
}

// decommission is how this process ends for good with its groups' consent. It has two phases. In the first this
// process takes part as before, until the leaders of all groups approve: the others follow what is committed without
// it. In the second it is quiesced: it acknowledges nothing, so that nothing more can be committed by its vote, and
// asks again. It ends once all leaders approve: a quorum of the others has on disk all that it has. If that takes
// long, it goes back to the first phase, since a group may need it.
type decommission struct {
	phase           decommissionPhase
	attempt         uint64 // number of the phase; higher than those of earlier incarnations
	quiesceDeadline time.Duration
	leaders         map[GroupID]string // addresses, as of the start of the second phase
	approved        map[GroupID]bool   // in this phase
}

// decommissionPhase is how far a decommission is.
type decommissionPhase int

const (
	notDecommissioned decommissionPhase = iota
	participating                       // the first phase
	quiesced                            // the second phase
)

// Decommission does what Resign does, and then waits until this process can be spared in all groups, at most for
// timeout. done is called on the loop in either case. The process must end then: it takes no part in its groups any
// more.
func (e *Engine) Decommission(timeout time.Duration, done func()) {
	e.Resign(done)
	e.transfers.resignDeadline = e.now + timeout
	if e.decommission.phase == notDecommissioned {
		e.decommission.attempt = uint64(e.started.UnixNano())
		e.decommission.enter(participating)
	}
}

// enter starts a phase.
func (d *decommission) enter(phase decommissionPhase) {
	d.phase = phase
	d.attempt++ // approvals of earlier phases don't count
	d.approved = map[GroupID]bool{}
}

// continueDecommission asks the leaders for their approval, moves on to the next phase when that is due, and reports
// whether this process may end. led is the number of groups that it leads.
func (e *Engine) continueDecommission(led int) bool {
	d := &e.decommission
	e.maintainAt = e.now + decommissionInterval
	switch {
	case led > 0:
		return false
	case d.phase == quiesced && e.now >= d.quiesceDeadline:
		e.endQuiesce() // even if all have approved: this process was frozen, and the others may need it by now
	case len(d.approved) == len(e.groups) && d.phase == quiesced:
		return true
	case len(d.approved) == len(e.groups):
		e.quiesce()
	}
	for _, g := range e.groups {
		g.requestDecommission()
	}
	return false
}

// endQuiesce goes back to the first phase.
func (e *Engine) endQuiesce() {
	e.decommission.enter(participating)
	for _, g := range e.groups {
		g.leaderSeenAt = e.now // leaders were not tracked meanwhile
	}
}

// quiesce enters the second phase. Its requests go to the leaders as of now: this process learns of no others.
func (e *Engine) quiesce() {
	d := &e.decommission
	d.enter(quiesced)
	d.quiesceDeadline = e.now + quiesceTimeout
	d.leaders = map[GroupID]string{}
	for _, g := range e.groups {
		d.leaders[g.id] = e.LeaderAddress(g.id)
	}
}

// requestDecommission sends a request to the group's leader unless that has approved.
func (g *group) requestDecommission() {
	e := g.engine
	d := &e.decommission
	leader := e.LeaderAddress(g.id)
	if d.phase == quiesced {
		leader = d.leaders[g.id]
	}
	if d.approved[g.id] || leader == "" || leader == e.self.Address {
		return
	}
	e.outbox.addDecommissionRequest(leader, DecommissionRequest{
		Group:   g.id,
		Attempt: d.attempt,
		Quiet:   d.phase == quiesced,
		Last:    g.node.Status().LastIndex,
	})
}

// handleApproval records a leader's approval. That of a leader of an earlier term does not count: it may not know all
// that was committed with this process's vote.
func (e *Engine) handleApproval(approval *DecommissionApproval) {
	d := &e.decommission
	g := e.byID[approval.Group]
	if g == nil || d.phase == notDecommissioned || approval.Attempt != d.attempt ||
		approval.Term < g.node.Status().Term {
		return
	}
	d.approved[approval.Group] = true
	e.maintainAt = e.now
}

// handleDecommissionRequest approves the decommission of a member that can be spared.
func (e *Engine) handleDecommissionRequest(from consensus.MemberID, request *DecommissionRequest) {
	g := e.byID[request.Group]
	if g == nil || g.leadingTerm == 0 || e.transfers.resigning {
		return
	}
	e.maintainAt = e.now // its replacement may be due
	if !g.canSpare(from, request) {
		return
	}
	e.approvedAt[from] = e.now
	approval := DecommissionApproval{Group: g.id, Attempt: request.Attempt, Term: g.leadingTerm}
	e.outbox.addApproval(e.peers.address(from), approval)
}

// canSpare reports whether a member may end for good. If it is to be replaced first, it waits for that. Else a quorum
// of the others must have what it has, not counting those whose decommission was approved already.
func (g *group) canSpare(leaving consensus.MemberID, request *DecommissionRequest) bool {
	status := g.node.Status()
	if status.ChangePending {
		return false
	}
	voters := sortedVoters(status.Members)
	if !slices.Contains(voters, leaving) {
		return true
	}
	if g.expectsSuccessor(status.Members, len(voters)) {
		return false
	}
	g.updateCatchUps(status.Members)
	holders := 0
	for _, id := range voters {
		if id != leaving && g.remainsWithLog(id, request, status.LastIndex) {
			holders++
		}
	}
	return holders > len(voters)/2
}

// expectsSuccessor reports whether a voter that is decommissioned should lose its vote first: the number of voters is
// even, or a learner can replace it.
func (g *group) expectsSuccessor(members []consensus.Member, voters int) bool {
	if voters > minVoters && voters%2 == 0 {
		return true
	}
	return slices.ContainsFunc(members, func(member consensus.Member) bool {
		seen := g.memberView(member)
		return member.Learner && seen.alive() && !seen.avoidsLeadership
	})
}

// remainsWithLog reports whether a voter stays and has what a member that is decommissioned has. That it stays is
// shown by answers to what was sent lately only: what it sent before it ended may arrive late.
func (g *group) remainsWithLog(id consensus.MemberID, request *DecommissionRequest, last uint64) bool {
	behind, _, known := g.node.Lag(id)
	if !known || g.engine.approvedRecently(id) {
		return false
	}
	seen := g.memberView(consensus.Member{ID: id})
	if !seen.reachable() {
		return false
	}
	if request.Quiet {
		return last-behind >= min(request.Last, last)
	}
	return g.replicationAge(id) <= maxCaughtUpAge
}

// approvedRecently reports whether this process has approved a member's decommission in any group, and the member may
// have ended since. Of two members that are decommissioned at once only one can be spared in all groups.
func (e *Engine) approvedRecently(id consensus.MemberID) bool {
	at, approved := e.approvedAt[id]
	if !approved || e.now-at >= approvalLifetime {
		return false
	}
	back := e.peers.acceptsLeadership(id, e.now) && e.peers.get(id).lastContact > at
	return !back
}

// warnUnapproved logs the groups that this process leaves without approval.
func (e *Engine) warnUnapproved() {
	for _, g := range e.groups {
		if e.decommission.phase == quiesced && e.decommission.approved[g.id] {
			continue
		}
		status := g.node.Status()
		_ = level.Warn(e.options.Logger).Log("msg", "the group did not approve the decommission in time; the process ends anyway",
			"group", g.id, "leads", status.IsLeader, "leader", uint64(status.Leader))
	}
}

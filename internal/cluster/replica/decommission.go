package replica

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
)

const (
	// decommissionInterval is the time between two requests of a process that is being decommissioned.
	decommissionInterval = 20 * time.Millisecond
	// quiesceTimeout is how long a process stays quiesced while it waits for the approvals of the second phase.
	quiesceTimeout = 2 * slowWriteTime
	// A leader that has approved a member's decommission assumes for approvalLifetime that the member has ended, unless it
	// receives a later envelope from the member and the member accepts leadership again.
	approvalLifetime = 10 * time.Second
)

// DecommissionRequest asks a group's leader whether a member may end and never return; see group.canSpare for when the
// leader approves. It is part of Envelope, which gob encodes: the names of the fields are the wire format.
type DecommissionRequest struct {
	Group   GroupID
	Attempt uint64 // the approval repeats it, so that the member recognizes outdated approvals
	Quiet   bool   // the member is quiesced: it handles only approvals, so its log does not grow
	Last    uint64 // last index of the member's log; used only if Quiet is set
}

// DecommissionApproval is a leader's approval that a member may end and never return. It is part of Envelope, which gob
// encodes: the names of the fields are the wire format.
type DecommissionApproval struct {
	Group   GroupID
	Attempt uint64 // the request's Attempt
	Term    uint64 // the leader's term
}

// decommission is the state of this process's decommission: it ends and never returns, so each group must be able to do
// without its disk. There are two phases:
//  1. The process participates in its groups as before, and asks the leaders of all groups. A leader approves once a quorum
//     without this process has caught up, see catchUp.
//  2. The process is quiesced: it handles only approvals, and acknowledges no entries, so no further entry can be committed
//     with its vote. It asks the leaders again. A leader approves once a quorum without this process has on disk all
//     entries that this process has.
//
// When all leaders have approved the second phase, the process may end: all entries that were committed with its vote are
// on the disks of a quorum without it. If the approvals take longer than quiesceTimeout, the process returns to the first
// phase, since a group may need it to commit entries.
type decommission struct {
	phase           decommissionPhase
	attempt         uint64             // number of the current phase; higher than every number of earlier processes here
	quiesceDeadline time.Duration      // when the second phase ends
	leaders         map[GroupID]string // addresses of the groups' leaders at the start of the second phase
	approved        map[GroupID]bool   // the groups whose leaders have approved the current phase
}

// decommissionPhase is the phase of a decommission.
type decommissionPhase int

const (
	notDecommissioned decommissionPhase = iota
	participating                       // the first phase
	quiesced                            // the second phase
)

// Decommission resigns as Resign does, and then waits until all groups can do without this process, but not longer than
// timeout. In either case the engine then calls done on the loop. The process must end after that, since it may be quiesced
// and no longer participate in its groups.
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
	d.attempt++ // makes the approvals of earlier phases invalid
	d.approved = map[GroupID]bool{}
}

// continueDecommission requests the approvals that are missing, changes the phase when that is due, and reports whether
// this process may end. led is the number of groups that it leads.
func (e *Engine) continueDecommission(led int) bool {
	d := &e.decommission
	e.maintainAt = e.now + decommissionInterval
	switch {
	case led > 0:
		return false
	case d.phase == quiesced && e.now >= d.quiesceDeadline:
		e.endQuiesce() // even if all have approved: this process may have been frozen since, and a disk may have been lost
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

// endQuiesce returns to the first phase.
func (e *Engine) endQuiesce() {
	e.decommission.enter(participating)
	for _, g := range e.groups {
		g.leaderSeenAt = e.now // a quiesced process ignores messages of leaders, so it cannot tell how long there was none
	}
}

// quiesce enters the second phase. Its requests go to the leaders that are known now, since a quiesced process does not
// learn of new leaders.
func (e *Engine) quiesce() {
	d := &e.decommission
	d.enter(quiesced)
	d.quiesceDeadline = e.now + quiesceTimeout
	d.leaders = map[GroupID]string{}
	for _, g := range e.groups {
		d.leaders[g.id] = e.LeaderAddress(g.id)
	}
}

// requestDecommission sends a request to the group's leader. It sends none if the group has approved the current phase, or
// if the leader is unknown or has this process's address.
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

// handleApproval records a leader's approval. It ignores approvals for other attempts. It also ignores approvals by leaders
// of earlier terms, which may not know all entries that were committed with this process's vote.
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

// handleDecommissionRequest approves the decommission of a member if the group can do without it. A leader that is itself
// resigning sends no approvals.
func (e *Engine) handleDecommissionRequest(from consensus.MemberID, request *DecommissionRequest) {
	g := e.byID[request.Group]
	if g == nil || g.leadingTerm == 0 || e.transfers.resigning {
		return
	}
	e.maintainAt = e.now // the member now avoids leadership, so it may be replaced or dropped at once
	if !g.canSpare(from, request) {
		return
	}
	e.approvedAt[from] = e.now
	approval := DecommissionApproval{Group: g.id, Attempt: request.Attempt, Term: g.leadingTerm}
	e.outbox.addApproval(e.peers.address(from), approval)
}

// canSpare reports whether the group can do without a member that wants to end:
//   - While a change of the membership is pending, it cannot.
//   - A member that does not vote is not needed.
//   - A voter that is about to be replaced or dropped has to wait for that.
//   - Otherwise a majority of all current voters must retain the member's entries, see retainsLog. This majority includes
//     neither the member itself nor voters whose own decommission was approved recently.
func (g *group) canSpare(leaving consensus.MemberID, request *DecommissionRequest) bool {
	status := g.node.Status()
	if status.ChangePending {
		return false
	}
	voters := sortedVoters(status.Members)
	if !slices.Contains(voters, leaving) {
		return true
	}
	if g.awaitsReplacement(status.Members, len(voters)) {
		return false
	}
	g.updateCatchUps(status.Members)
	holders := 0
	for _, id := range voters {
		if id != leaving && g.retainsLog(id, request, status.LastIndex) {
			holders++
		}
	}
	return holders > len(voters)/2
}

// awaitsReplacement reports whether a voter that is being decommissioned loses its vote soon, because the number of voters
// is even or there is a learner that can replace it. voters is the number of voters.
func (g *group) awaitsReplacement(members []consensus.Member, voters int) bool {
	if voters > minVoters && voters%2 == 0 {
		return true
	}
	return slices.ContainsFunc(members, func(member consensus.Member) bool {
		seen := g.memberView(member)
		return member.Learner && seen.alive() && !seen.avoidsLeadership
	})
}

// retainsLog reports whether a voter still runs and has on disk the entries of a member that is being decommissioned. If
// the member is not quiesced, its log still grows; then it is enough that the voter has caught up. last is the last index
// of this leader's log.
//
// Only a response to a message that was sent lately shows that the voter still runs. Messages that it sent before it ended
// may arrive late.
func (g *group) retainsLog(id consensus.MemberID, request *DecommissionRequest, last uint64) bool {
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

// approvedRecently reports whether this process has lately approved a member's decommission in any group, so that the
// member may have ended. Without this check two members that are decommissioned at the same time could both be approved,
// each because the other has the entries. A member that has since been in contact and accepts leadership again has not
// ended.
func (e *Engine) approvedRecently(id consensus.MemberID) bool {
	at, approved := e.approvedAt[id]
	if !approved || e.now-at >= approvalLifetime {
		return false
	}
	back := e.peers.acceptsLeadership(id, e.now) && e.peers.get(id).lastContact > at
	return !back
}

// warnUnapproved logs the groups without an approval of the second phase. It is called if the process ends because of its
// timeout.
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

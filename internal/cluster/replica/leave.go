package replica

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
)

const (
	leaveInterval = 20 * time.Millisecond // between two requests of a process that leaves
	quietPatience = 2 * slowWrite         // how long a process that leaves takes no part while it waits for the last word
	releaseCounts = 10 * time.Second      // for how long a member that may leave counts as gone if it isn't heard
)

// Decommission asks a group's leader whether a member may end for good. A leader says yes once the member's place is taken, if
// somebody is there to take it, and the others hold what it holds.
type Leave struct {
	Group   GroupID
	Attempt uint64 // told again by the Release
	Quiet   bool   // the member takes no part any more, and nothing is added to its log
	Last    uint64 // then the last index of its log
}

// Release says that a member may leave.
type Release struct {
	Group   GroupID
	Attempt uint64
	Term    uint64 // the leader's
}

// departure is the end of this process by plan. It has two phases. In the first this process takes part as before, until
// the leaders of all groups say that the others follow what is committed without it. In the second it is quiet: it
// acknowledges nothing more, so that nothing more can be committed on its word, and asks again. It ends once the leaders
// say that a quorum of the others has on disk all that it has. Should that take long, it goes back to the first phase,
// since the group may need it.
type departure struct {
	begun    bool
	attempt  uint64
	quiet    bool
	quietEnd time.Duration
	leaders  map[GroupID]string // as of the second phase's start
	released map[GroupID]bool
}

// Decommission does what Resign does, and then waits until this process can be spared in all groups, at most for patience. done is
// called on the loop. The process is to end then: it takes no part in its groups any more.
func (e *Engine) Decommission(patience time.Duration, done func()) {
	e.Resign(done)
	e.shifts.resignUntil = e.now + patience
	if !e.departure.begun {
		e.departure.begun = true
		e.departure.attempt = uint64(e.started.UnixNano())
		e.departure.enter(false)
	}
}

// enter begins a phase.
func (d *departure) enter(quiet bool) {
	d.quiet = quiet
	d.attempt++ // releases of earlier phases don't count
	d.released = map[GroupID]bool{}
}

// depart goes on with the departure, and tells whether this process may end.
func (e *Engine) depart(led int) bool {
	d := &e.departure
	e.manage = e.now + leaveInterval
	switch {
	case led > 0:
		return false
	case d.quiet && e.now >= d.quietEnd:
		e.takePart() // also if all have said yes: this process was frozen, and the others may need it by now
	case len(d.released) == len(e.groups) && d.quiet:
		return true
	case len(d.released) == len(e.groups):
		e.beQuiet()
	}
	for _, g := range e.groups {
		g.askToLeave()
	}
	return false
}

// takePart goes back to the first phase.
func (e *Engine) takePart() {
	e.departure.enter(false)
	for _, g := range e.groups {
		g.leaderSeenAt = e.now // nothing was looked at meanwhile
	}
}

func (e *Engine) beQuiet() {
	d := &e.departure
	d.enter(true)
	d.quietEnd = e.now + quietPatience
	d.leaders = map[GroupID]string{}
	for _, g := range e.groups {
		d.leaders[g.id] = e.LeaderAddress(g.id)
	}
}

// askToLeave asks the group's leader, if it has not said yes.
func (g *group) askToLeave() {
	e := g.engine
	d := &e.departure
	leader := e.LeaderAddress(g.id)
	if d.quiet {
		leader = d.leaders[g.id]
	}
	if d.released[g.id] || leader == "" || leader == e.self.Address {
		return
	}
	e.outbox.leave(leader, Leave{Group: g.id, Attempt: d.attempt, Quiet: d.quiet, Last: g.node.Status().LastIndex})
}

// takeRelease notes that a leader can do without this process. The leader of an earlier term may not know all that was
// committed with this one's help.
func (e *Engine) takeRelease(release *Release) {
	d := &e.departure
	g := e.byID[release.Group]
	if g == nil || !d.begun || release.Attempt != d.attempt || release.Term < g.node.Status().Term {
		return
	}
	d.released[release.Group] = true
	e.manage = e.now
}

// takeLeave answers a member that wants to leave, if it can be spared.
func (e *Engine) takeLeave(from consensus.MemberID, leave *Leave) {
	g := e.byID[leave.Group]
	if g == nil || g.leadingTerm == 0 || e.shifts.resigning {
		return
	}
	e.manage = e.now // its place may be due
	if !g.canSpare(from, leave) {
		return
	}
	e.released[from] = e.now
	e.outbox.release(e.peers.address(from), Release{Group: g.id, Attempt: leave.Attempt, Term: g.leadingTerm})
}

// canSpare tells whether a member may leave for good. Where somebody may take its place, it waits for that. Else as many
// of the others as decide must hold what it holds, not counting those that were told already that they may leave.
func (g *group) canSpare(leaving consensus.MemberID, leave *Leave) bool {
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
	g.followMembers(status.Members)
	holders := 0
	for _, id := range voters {
		if id != leaving && g.staysHolding(id, leave, status.LastIndex) {
			holders++
		}
	}
	return holders > len(voters)/2
}

// expectsSuccessor tells whether a voter that leaves is to lose its vote first: one too many vote, or a learner is there.
func (g *group) expectsSuccessor(members []consensus.Member, voters int) bool {
	if voters > enoughVoters && voters%2 == 0 {
		return true
	}
	return slices.ContainsFunc(members, func(member consensus.Member) bool {
		seen := g.memberView(member)
		return member.Learner && seen.alive() && !seen.leaving
	})
}

// staysHolding tells whether a voter stays and holds what one that leaves holds. That it stays is told by its answers to
// what was sent lately only: what it sent before it ended may come late.
func (g *group) staysHolding(id consensus.MemberID, leave *Leave, last uint64) bool {
	behind, _, known := g.node.Lag(id)
	if !known || g.engine.releasedLately(id) {
		return false
	}
	seen := g.memberView(consensus.Member{ID: id})
	if !seen.reachable() {
		return false
	}
	if leave.Quiet {
		return last-behind >= min(leave.Last, last)
	}
	return g.ageOf(id) <= caughtUpAge
}

// releasedLately tells whether this process has told a member that it may leave, in whatever group, and it may have done
// so. Of two that leave at once only one can go in all groups.
func (e *Engine) releasedLately(id consensus.MemberID) bool {
	at, released := e.released[id]
	if !released || e.now-at >= releaseCounts {
		return false
	}
	back := e.peers.willing(id, e.now) && e.peers.get(id).heardAt > at
	return !back
}

// warnOfLeaving says for which groups the end comes although it may cost something.
func (e *Engine) warnOfLeaving() {
	for _, g := range e.groups {
		if !e.departure.quiet || !e.departure.released[g.id] {
			_ = level.Warn(e.options.Logger).Log("msg", "the group could not spare this process in time; it ends all the same",
				"group", g.id, "leads", g.node.Status().IsLeader, "leader", uint64(g.node.Status().Leader))
		}
	}
}

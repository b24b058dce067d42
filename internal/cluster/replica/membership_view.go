package replica

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/consensus"
)

// membershipView is what a leader knows when it reviews the membership.
type membershipView struct {
	self    consensus.Member
	members []memberView
	joiners []consensus.Member
}

// memberView is what a leader knows of one member. Times are the leader's.
type memberView struct {
	consensus.Member
	replicationAge   time.Duration // since the newest time by which its disk is known to have had all that was committed
	sinceAnswer      time.Duration // since it last answered in this term, or since the start of the term
	sinceContact     time.Duration // since the last contact, in whatever group
	avoidsLeadership bool          // it said so just now: it is about to end, or its disk is unhealthy

	currentAddress string        // the newest address known of it
	addressSince   time.Duration // when that became known
	lastContact    time.Duration // when anything was last received from it, in whatever group
	reachedAt      time.Duration // when the newest message was sent that it has answered in this term; 0: none
	sinceReached   time.Duration // since then; unlike sinceAnswer it is not shortened by late or duplicated answers
}

// membershipView returns what planMembership decides on.
func (g *group) membershipView(members []consensus.Member) membershipView {
	view := membershipView{self: g.engine.self}
	for _, member := range members {
		view.members = append(view.members, g.memberView(member))
	}
	now := g.engine.now
	for id, j := range g.joiners {
		granted := slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == id && sameMachine(m, j.member) })
		if granted || now-j.receivedAt > joinRequestLifetime {
			delete(g.joiners, id) // a request that was granted must not bring back a member that is dropped later
			continue
		}
		view.joiners = append(view.joiners, j.member)
	}
	slices.SortFunc(view.joiners, func(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) })
	return view
}

// memberView returns what this leader knows of one member.
func (g *group) memberView(member consensus.Member) memberView {
	now := g.engine.now
	_, answeredAt, _ := g.node.Lag(member.ID)
	known := g.engine.peers.get(member.ID)
	reachedAt := g.node.ReachedAt(member.ID)
	if member.ID == g.engine.self.ID {
		reachedAt = now // no other process has this one's address
	}
	sinceReached := unknownDuration
	if reachedAt > 0 {
		sinceReached = now - reachedAt
	}
	return memberView{
		Member:           member,
		replicationAge:   g.replicationAge(member.ID),
		sinceAnswer:      now - answeredAt,
		sinceContact:     g.engine.peers.sinceContact(member.ID, now),
		avoidsLeadership: !g.engine.peers.acceptsLeadership(member.ID, now),
		currentAddress:   cmp.Or(g.engine.peers.address(member.ID), member.Address),
		addressSince:     known.addressSince,
		lastContact:      known.lastContact,
		reachedAt:        reachedAt,
		sinceReached:     sinceReached,
	}
}

// promotable returns the learners that may become voters.
func (v *membershipView) promotable() []memberView {
	var learners []memberView
	for _, member := range v.members {
		if member.Learner && member.caughtUp() && !member.avoidsLeadership && !v.superseded(member) {
			learners = append(learners, member)
		}
	}
	return learners
}

// replaceableVoter returns the voter that a learner may replace: the one whose machine it has, else one that avoids
// leadership, else the one that is unresponsive for longest.
func (v *membershipView) replaceableVoter(learner memberView) (consensus.MemberID, bool) {
	replaceable, unresponsive := consensus.None, replaceVoterTimeout
	found := false
	for _, member := range v.voters() {
		switch {
		case member.ID == v.self.ID:
		case member.supersededBy(learner):
			return member.ID, true
		case member.avoidsLeadership && member.alive():
			replaceable, found = member.ID, true
		case !found && member.unresponsiveFor() >= unresponsive:
			replaceable, unresponsive = member.ID, member.unresponsiveFor()
		}
	}
	return replaceable, replaceable != consensus.None
}

// superseded reports whether a member is gone because another identity has its machine.
func (v *membershipView) superseded(member memberView) bool {
	return slices.ContainsFunc(v.members, member.supersededBy)
}

// remainsAlive reports whether the voters without one member and with another have a majority that is alive.
func (v *membershipView) remainsAlive(without, with consensus.MemberID) bool {
	var voters []memberView
	for _, member := range v.members {
		if member.ID != without && (!member.Learner || member.ID == with) {
			voters = append(voters, member)
		}
	}
	return v.alive(voters)
}

// alive reports whether a majority of voters is alive.
func (v *membershipView) alive(voters []memberView) bool {
	alive := 0
	for _, member := range voters {
		if member.ID == v.self.ID || member.alive() {
			alive++
		}
	}
	return alive > len(voters)/2
}

// caughtUp reports whether a member is alive and has on disk nearly all that is committed.
func (m *memberView) caughtUp() bool { return m.replicationAge <= maxCaughtUpAge && m.alive() }

// reachable reports whether a member has lately answered something that was sent lately.
func (m *memberView) reachable() bool { return m.sinceReached < aliveTimeout }

// alive reports whether a member has lately answered in this term, and been in contact.
func (m *memberView) alive() bool { return max(m.sinceAnswer, m.sinceContact) < aliveTimeout }

// unresponsiveFor returns for how long a member has been unresponsive. At a new leader, to which the member owes some
// answers since the start of the term, contact before the term counts too.
func (m *memberView) unresponsiveFor() time.Duration {
	if m.sinceAnswer < aliveTimeout {
		return m.sinceAnswer
	}
	return max(m.sinceAnswer, m.sinceContact)
}

// sameMachineAs reports whether another identity has this member's address or the name of its machine.
func (m memberView) sameMachineAs(other memberView) bool {
	if m.ID == other.ID {
		return false
	}
	return m.currentAddress == other.currentAddress || m.Node != "" && m.Node == other.Node
}

// supersededBy reports whether a member is gone because another identity has its machine.
//
// At the same address one answer proves it: the other has answered something that this leader sent to the address
// after the last contact with the member, so at some time after that the address was the other's. Requests to join and
// envelopes of identities that are gone do not answer anything that was sent lately, however late they arrive.
//
// The machine's name at another address proves nothing, since both processes may exist: then the member must be
// unresponsive too, and the other must have answered something that was sent lately.
func (m memberView) supersededBy(other memberView) bool {
	if !m.sameMachineAs(other) {
		return false
	}
	if m.currentAddress == other.currentAddress && other.reachedAt > max(m.lastContact, other.addressSince) {
		return true
	}
	return m.Node != "" && m.Node == other.Node && other.alive() && other.reachable() &&
		m.sinceAnswer >= supersededAnswerTimeout && m.sinceContact >= supersededTimeout
}

// voters returns the members that vote.
func (v *membershipView) voters() []memberView {
	var voters []memberView
	for _, member := range v.members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

func (v *membershipView) has(id consensus.MemberID) bool {
	return slices.ContainsFunc(v.members, func(m memberView) bool { return m.ID == id })
}

// with returns the membership with a member added or changed.
func (v *membershipView) with(changed consensus.Member) membershipPlan {
	plan := membershipPlan{}
	for _, member := range v.members {
		if member.ID != changed.ID {
			plan.members = append(plan.members, member.Member)
			continue
		}
		plan.members = append(plan.members, changed)
	}
	if !v.has(changed.ID) {
		plan.members = append(plan.members, changed)
	}
	return plan
}

// without returns the membership without a member.
func (v *membershipView) without(id consensus.MemberID) membershipPlan {
	plan := membershipPlan{}
	for _, member := range v.members {
		if member.ID != id {
			plan.members = append(plan.members, member.Member)
		}
	}
	return plan
}

package replica

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/consensus"
)

// membershipView is the information that planMembership uses.
type membershipView struct {
	self    consensus.Member   // the leader
	members []memberView       // all members, also the leader
	joiners []consensus.Member // processes that request to join or to be corrected, by rising ID
}

// memberView is a leader's information about one member. All times are by the leader's clock.
type memberView struct {
	consensus.Member
	replicationAge   time.Duration // age of its catchUp: its disk has all entries committed at least this long ago
	sinceAnswer      time.Duration // time since the member's last response in this term, or since the start of the term
	sinceContact     time.Duration // time since the last contact with the member in any group
	avoidsLeadership bool          // the member has stated lately that its disk is unhealthy or it is about to end

	currentAddress string        // the newest known address of the member
	addressSince   time.Duration // when currentAddress became known
	lastContact    time.Duration // when the newest envelope from the member was received; 0 if none was
	reachedAt      time.Duration // sending time of the newest message that the member answered in this term; 0: none
	sinceReached   time.Duration // time since reachedAt; a late or duplicated response does not shorten it, unlike sinceAnswer
}

// membershipView returns the information for planMembership. It also forgets requests to join that were granted or that
// are older than joinRequestLifetime.
func (g *group) membershipView(members []consensus.Member) membershipView {
	view := membershipView{self: g.engine.self}
	for _, member := range members {
		view.members = append(view.members, g.memberView(member))
	}
	now := g.engine.now
	for id, j := range g.joiners {
		granted := slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == id && sameMachine(m, j.member) })
		if granted || now-j.receivedAt > joinRequestLifetime {
			delete(g.joiners, id) // if a granted request stayed, it would add the member again after it is dropped
			continue
		}
		view.joiners = append(view.joiners, j.member)
	}
	slices.SortFunc(view.joiners, func(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) })
	return view
}

// memberView returns this leader's information about one member.
func (g *group) memberView(member consensus.Member) memberView {
	now := g.engine.now
	_, answeredAt, _ := g.node.Lag(member.ID)
	known := g.engine.peers.get(member.ID)
	reachedAt := g.node.ReachedAt(member.ID)
	if member.ID == g.engine.self.ID {
		reachedAt = now // this process is at its own address, so it supersedes any other member with that address
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

// promotable returns the learners that may become voters: they are alive and have caught up, accept leadership, and are not
// superseded.
func (v *membershipView) promotable() []memberView {
	var learners []memberView
	for _, member := range v.members {
		if member.Learner && member.caughtUp() && !member.avoidsLeadership && !v.superseded(member) {
			learners = append(learners, member)
		}
	}
	return learners
}

// replaceableVoter returns the voter that a learner may replace, or false if there is none. It prefers the voter that the
// learner supersedes, then a voter that is alive and avoids leadership, and then the voter that has been unresponsive for
// longest, if that is at least replaceVoterTimeout. It never returns the leader.
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

// superseded reports whether any other member supersedes this one.
func (v *membershipView) superseded(member memberView) bool {
	return slices.ContainsFunc(v.members, member.supersededBy)
}

// majorityRemainsAlive reports whether a majority of the voters is alive after a change that removes the member without and
// promotes the learner with. Either may be consensus.None.
func (v *membershipView) majorityRemainsAlive(without, with consensus.MemberID) bool {
	var voters []memberView
	for _, member := range v.members {
		if member.ID != without && (!member.Learner || member.ID == with) {
			voters = append(voters, member)
		}
	}
	return v.majorityAlive(voters)
}

// majorityAlive reports whether a majority of these voters is alive. It takes the leader, which is this process, as alive.
func (v *membershipView) majorityAlive(voters []memberView) bool {
	alive := 0
	for _, member := range voters {
		if member.ID == v.self.ID || member.alive() {
			alive++
		}
	}
	return alive > len(voters)/2
}

// caughtUp reports whether a member is alive, and its disk has all entries that were committed maxCaughtUpAge ago.
func (m *memberView) caughtUp() bool { return m.replicationAge <= maxCaughtUpAge && m.alive() }

// reachable reports whether a member has responded to a message that was sent less than aliveTimeout ago. Unlike alive, it
// does not trust responses that may have been sent long ago and have arrived late.
func (m *memberView) reachable() bool { return m.sinceReached < aliveTimeout }

// alive reports whether the last response of this term and the last contact are both less than aliveTimeout ago.
func (m *memberView) alive() bool { return max(m.sinceAnswer, m.sinceContact) < aliveTimeout }

// unresponsiveFor returns how long a member has been unresponsive. A new leader knows responses only since the start of its
// term. Once the member has not responded to it for aliveTimeout, unresponsiveFor also considers the last contact, which
// may have been before the term.
func (m *memberView) unresponsiveFor() time.Duration {
	if m.sinceAnswer < aliveTimeout {
		return m.sinceAnswer
	}
	return max(m.sinceAnswer, m.sinceContact)
}

// sameMachineAs reports whether another member has this member's address, or the name of its machine.
func (m memberView) sameMachineAs(other memberView) bool {
	if m.ID == other.ID {
		return false
	}
	return m.currentAddress == other.currentAddress || m.Node != "" && m.Node == other.Node
}

// supersededBy reports whether this member no longer exists, because another member has taken over its machine. Usually
// the process lost its disk and started again with another ID.
//
// With the same address, one response proves that: the other member has responded to a message that this leader sent to
// the address after the last contact with this member. So the address belonged to the other member at some time after that
// contact. Late requests to join and late envelopes of a member that no longer exists are no such responses.
//
// With the same name of the machine but another address, both processes may exist. Then this member must also be
// unresponsive, and the other member must be alive and have responded to a message that was sent recently.
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

// voters returns the members that are not learners.
func (v *membershipView) voters() []memberView {
	var voters []memberView
	for _, member := range v.members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

// has reports whether there is a member with an ID.
func (v *membershipView) has(id consensus.MemberID) bool {
	return slices.ContainsFunc(v.members, func(m memberView) bool { return m.ID == id })
}

// with returns a plan that adds a member, or replaces the member with the same ID.
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

// without returns a plan that removes a member.
func (v *membershipView) without(id consensus.MemberID) membershipPlan {
	plan := membershipPlan{}
	for _, member := range v.members {
		if member.ID != id {
			plan.members = append(plan.members, member.Member)
		}
	}
	return plan
}

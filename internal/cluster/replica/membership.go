package replica

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ospreypond/internal/cluster/consensus"
)

const (
	caughtUpAge        = 2 * slowWrite           // a learner has caught up that holds all that was committed this long ago
	aliveSilence       = 700 * time.Millisecond  // a member silent for less is alive
	succeededSilence   = time.Second             // a member unheard for this whose machine's name is another's counts as gone
	succeededTerm      = 300 * time.Millisecond  // the same, counted from the start of the leader's term
	replaceableSilence = 3 * time.Second         // a voter silent for this gives its place to a learner
	surplusSilence     = 1500 * time.Millisecond // a voter silent for this is dropped if an even number vote
	learnerSilence     = 30 * time.Second        // a learner silent for this is dropped
	voterSilence       = time.Minute             // a voter silent for this is dropped if enough others remain
	enoughVoters       = 3                       // no voter is dropped without replacement if fewer would remain
	unknownAge         = time.Duration(math.MaxInt64)
)

// membershipView is what a leader knows when it looks at the membership.
type membershipView struct {
	self    consensus.Member
	members []memberView
	joiners []consensus.Member
}

// memberView is what a leader knows of one member. Times are its own.
type memberView struct {
	consensus.Member
	age     time.Duration // since the newest moment of which it is known to hold on disk all that was committed
	silent  time.Duration // since its newest answer in this term, or since the term's start
	unheard time.Duration // since anything came from it, in whatever group
	leaving bool          // it has just said that it does not want to lead: it ends soon, or its disk is sick

	location  string        // where it was last heard to be
	movedAt   time.Duration // when that became known
	heardAt   time.Duration // when anything last came from it, in whatever group
	reachedAt time.Duration // when the newest message left that it has answered in this term; 0: none
	unreached time.Duration // since then; unlike silent it is not shortened by answers that come late or twice
}

// membershipPlan is the next membership; with nil members nothing is to be changed.
type membershipPlan struct {
	members []consensus.Member
	reason  string
}

// planMembership decides on the next change. Consensus carries out each as a whole: a change of more than one voter needs
// majorities of the voters before it and of those after it.
func planMembership(view membershipView) membershipPlan {
	steps := []func(membershipView) (membershipPlan, bool){
		correctMember,
		replaceVoter,
		promoteLearner,
		dropLearner,
		addLearner,
		dropVoter,
		dropSurplusVoter,
	}
	for _, step := range steps {
		if plan, due := step(view); due {
			return plan
		}
	}
	return membershipPlan{}
}

// correctMember takes over what a member says of its machine.
func correctMember(view membershipView) (membershipPlan, bool) {
	for _, claim := range append(slices.Clone(view.joiners), view.self) {
		for _, member := range view.members {
			if member.ID != claim.ID || sameMachine(member.Member, claim) {
				continue
			}
			claim.Learner = member.Learner
			plan := view.with(claim)
			plan.reason = fmt.Sprintf("member %x is %s at %s", uint64(claim.ID), claim.Node, claim.Address)
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// replaceVoter gives the place of a lost voter to a learner that has caught up, in one change.
func replaceVoter(view membershipView) (membershipPlan, bool) {
	for _, learner := range view.promotable() {
		lost, found := view.lostVoter(learner)
		if !found || !view.alive(view.voters()) {
			continue // else as many live afterwards, for the learner is alive
		}
		plan := view.with(voting(learner))
		plan.members = slices.DeleteFunc(plan.members, func(m consensus.Member) bool { return m.ID == lost })
		plan.reason = fmt.Sprintf("voter %x gives its place to %x", uint64(lost), uint64(learner.ID))
		return plan, true
	}
	return membershipPlan{}, false
}

// promoteLearner lets a learner vote that has caught up. While it is not sure that the voter whose machine it has is lost,
// it waits.
func promoteLearner(view membershipView) (membershipPlan, bool) {
	for _, learner := range view.promotable() {
		waits := slices.ContainsFunc(view.voters(), func(voter memberView) bool { return voter.sameMachineAs(learner) })
		if waits || view.alive(view.voters()) && !view.staysAlive(consensus.None, learner.ID) {
			continue
		}
		plan := view.with(voting(learner))
		plan.reason = fmt.Sprintf("learner %x votes", uint64(learner.ID))
		return plan, true
	}
	return membershipPlan{}, false
}

// dropLearner drops a learner that is gone for good.
func dropLearner(view membershipView) (membershipPlan, bool) {
	for _, member := range view.members {
		if member.Learner && (view.succeeded(member) || member.silent >= learnerSilence) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("learner %x is gone", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// addLearner takes a process in.
func addLearner(view membershipView) (membershipPlan, bool) {
	for _, claim := range view.joiners {
		if view.has(claim.ID) {
			continue
		}
		claim.Learner = true
		plan := view.with(claim)
		plan.reason = fmt.Sprintf("learner %x joins: %s at %s", uint64(claim.ID), claim.Node, claim.Address)
		return plan, true
	}
	return membershipPlan{}, false
}

// dropVoter drops a voter that is gone for good, if enough remain: its machine votes as another, or it has long been
// silent.
func dropVoter(view membershipView) (membershipPlan, bool) {
	voters := view.voters()
	if len(voters) <= enoughVoters {
		return membershipPlan{}, false
	}
	for _, member := range voters {
		gone := view.succeeded(member) || member.silent >= voterSilence
		if gone && member.ID != view.self.ID && view.staysAlive(member.ID, consensus.None) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("voter %x is gone", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// dropSurplusVoter drops a voter that is away or leaves while an even number vote, as after its successor came: the
// others need as many voices without it as with it, less one. Should it come back, it joins again.
func dropSurplusVoter(view membershipView) (membershipPlan, bool) {
	voters := view.voters()
	if len(voters) <= enoughVoters || len(voters)%2 != 0 {
		return membershipPlan{}, false
	}
	for _, member := range voters {
		goes := member.leaving || member.away() >= surplusSilence
		if goes && member.ID != view.self.ID && view.staysAlive(member.ID, consensus.None) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("voter %x is one too many", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// promotable are the learners that may vote.
func (v *membershipView) promotable() []memberView {
	var learners []memberView
	for _, member := range v.members {
		if member.Learner && member.caughtUp() && !member.leaving && !v.succeeded(member) {
			learners = append(learners, member)
		}
	}
	return learners
}

// lostVoter is the voter whose place a learner takes: the one its machine was before, else one that leaves, else the one
// silent for longest.
func (v *membershipView) lostVoter(learner memberView) (consensus.MemberID, bool) {
	lost, silent := consensus.None, replaceableSilence
	leaves := false
	for _, member := range v.voters() {
		switch {
		case member.ID == v.self.ID:
		case member.succeededBy(learner):
			return member.ID, true
		case member.leaving && member.alive():
			lost, leaves = member.ID, true
		case !leaves && member.away() >= silent:
			lost, silent = member.ID, member.away()
		}
	}
	return lost, lost != consensus.None
}

// succeeded tells whether a member is gone because another has its machine.
func (v *membershipView) succeeded(member memberView) bool {
	return slices.ContainsFunc(v.members, member.succeededBy)
}

// staysAlive tells whether the voters without one and with another have a majority that is alive.
func (v *membershipView) staysAlive(without, with consensus.MemberID) bool {
	var voters []memberView
	for _, member := range v.members {
		if member.ID != without && (!member.Learner || member.ID == with) {
			voters = append(voters, member)
		}
	}
	return v.alive(voters)
}

// alive tells whether a majority of voters is alive.
func (v *membershipView) alive(voters []memberView) bool {
	alive := 0
	for _, member := range voters {
		if member.ID == v.self.ID || member.alive() {
			alive++
		}
	}
	return alive > len(voters)/2
}

func (m *memberView) caughtUp() bool { return m.age <= caughtUpAge && m.alive() }

// reachable tells whether a member has lately answered something that was sent lately.
func (m *memberView) reachable() bool { return m.unreached < aliveSilence }

func (m *memberView) alive() bool { return max(m.silent, m.unheard) < aliveSilence }

// away is for how long a member has been silent. A new leader that it owes some answers may count what this process heard
// from it before.
func (m *memberView) away() time.Duration {
	if m.silent < aliveSilence {
		return m.silent
	}
	return max(m.silent, m.unheard)
}

// sameMachineAs tells whether another identity runs where this member ran.
func (m memberView) sameMachineAs(other memberView) bool {
	if m.ID == other.ID {
		return false
	}
	return m.location == other.location || m.Node != "" && m.Node == other.Node
}

// succeededBy tells whether a member is gone because another identity has its machine.
//
// At the same address one answer is proof: the other has answered something that this leader sent to the address after
// the member was last heard, so that at some moment after that the address was the other's. Wishes to join and envelopes
// of identities that are gone answer nothing that was sent of late, however late they come.
//
// The machine's name at another address is none, since both processes may be there: then the member must be silent too.
// The other must have answered something that was sent lately.
func (m memberView) succeededBy(other memberView) bool {
	if !m.sameMachineAs(other) {
		return false
	}
	if m.location == other.location && other.reachedAt > max(m.heardAt, other.movedAt) {
		return true
	}
	return m.Node != "" && m.Node == other.Node && other.alive() && other.reachable() &&
		m.silent >= succeededTerm && m.unheard >= succeededSilence
}

func (v *membershipView) voters() []memberView {
	var voters []memberView
	for _, member := range v.members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

// voting is a learner as a voter.
func voting(learner memberView) consensus.Member {
	voter := learner.Member
	voter.Learner = false
	return voter
}

func (v *membershipView) has(id consensus.MemberID) bool {
	return slices.ContainsFunc(v.members, func(m memberView) bool { return m.ID == id })
}

// with is the membership with a member added or changed.
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

// without is the membership without a member.
func (v *membershipView) without(id consensus.MemberID) membershipPlan {
	plan := membershipPlan{}
	for _, member := range v.members {
		if member.ID != id {
			plan.members = append(plan.members, member.Member)
		}
	}
	return plan
}

package replica

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ospreypond/internal/consensus"
)

const (
	caughtUpLag        = 64                      // entries that a member that has caught up may lack
	aliveSilence       = 700 * time.Millisecond  // a member silent for less is alive
	wipedSilence       = time.Second             // a member unheard for this whose machine has come back as another is lost
	wipedTermSilence   = 300 * time.Millisecond  // the same, counted from the start of the leader's term
	replaceableSilence = 3 * time.Second         // a voter silent for this gives its place to a learner
	surplusSilence     = 1500 * time.Millisecond // a voter silent for this is dropped if an even number vote
	learnerSilence     = 30 * time.Second        // a learner silent for this is dropped
	voterSilence       = time.Minute             // a voter silent for this is dropped if enough others remain
	enoughVoters       = 3                       // no voter is dropped without replacement if fewer would remain
	unknownLag         = math.MaxUint64
)

// membershipView is what a leader knows when it looks at the membership.
type membershipView struct {
	self      consensus.Member
	members   []memberView
	joiners   []consensus.Member
	replacing consensus.MemberID // learner in whose favour a voter was removed
}

type memberView struct {
	consensus.Member
	behind  uint64
	silent  time.Duration // since its newest answer in this term, or since the term's start
	unheard time.Duration // since anything came from it, in whatever group
	leaving bool          // it has just said that it does not want to lead: it ends soon, or its disk is sick
}

// membershipPlan is the next membership; with nil members nothing is to be changed.
type membershipPlan struct {
	members   []consensus.Member
	replacing consensus.MemberID
	reason    string
}

// planMembership decides on the next single change.
func planMembership(view membershipView) membershipPlan {
	steps := []func(membershipView) (membershipPlan, bool){
		correctMember,
		dropLearner,
		promoteLearner,
		addLearner,
		dropVoter,
		dropSurplusVoter,
	}
	for _, step := range steps {
		if plan, due := step(view); due {
			return plan
		}
	}
	return membershipPlan{replacing: view.replacing}
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

// dropLearner drops a learner that is gone for good.
func dropLearner(view membershipView) (membershipPlan, bool) {
	for _, member := range view.members {
		if !member.Learner {
			continue
		}
		replaced := member.wiped() && slices.ContainsFunc(view.joiners, member.succeededBy)
		if replaced || member.silent >= learnerSilence {
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

// promoteLearner lets a learner vote that has caught up. A voter whose place it takes goes first; while it is not sure
// that the one whose machine it has is lost, the learner waits.
func promoteLearner(view membershipView) (membershipPlan, bool) {
	for _, member := range view.members {
		if !member.Learner || !member.caughtUp() || member.leaving {
			continue
		}
		if view.replacing != member.ID {
			if lost, found := view.lostVoter(member); found && view.canSpare(lost) {
				plan := view.without(lost)
				plan.replacing = member.ID
				plan.reason = fmt.Sprintf("voter %x gives its place to %x", uint64(lost), uint64(member.ID))
				return plan, true
			}
			if slices.ContainsFunc(view.voters(), func(voter memberView) bool { return voter.succeededBy(member.Member) }) {
				continue
			}
		}
		voter := member.Member
		voter.Learner = false
		plan := view.with(voter)
		plan.replacing = consensus.None
		plan.reason = fmt.Sprintf("learner %x votes", uint64(member.ID))
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
		succeeded := member.wiped() && slices.ContainsFunc(voters, func(other memberView) bool {
			return member.succeededBy(other.Member)
		})
		gone := succeeded || member.silent >= voterSilence
		if gone && member.ID != view.self.ID && view.canSpare(member.ID) {
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
		away := member.leaving || member.silent >= surplusSilence
		if away && member.ID != view.self.ID && view.canSpare(member.ID) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("voter %x is one too many", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// lostVoter is the voter whose place a learner takes: the one its machine was before, else the one silent for longest.
func (v *membershipView) lostVoter(learner memberView) (consensus.MemberID, bool) {
	lost, silent := consensus.None, replaceableSilence
	for _, member := range v.voters() {
		if member.ID == v.self.ID {
			continue
		}
		if member.succeededBy(learner.Member) && member.wiped() {
			return member.ID, true
		}
		if member.silent >= silent {
			lost, silent = member.ID, member.silent
		}
	}
	return lost, lost != consensus.None
}

// canSpare tells whether the voters that remain without one have a quorum that is alive.
func (v *membershipView) canSpare(id consensus.MemberID) bool {
	voters, alive := 0, 0
	for _, member := range v.voters() {
		if member.ID == id {
			continue
		}
		voters++
		if member.ID == v.self.ID || member.alive() {
			alive++
		}
	}
	return alive > voters/2
}

func (m *memberView) caughtUp() bool {
	return m.behind <= caughtUpLag && m.alive()
}

func (m *memberView) alive() bool { return max(m.silent, m.unheard) < aliveSilence }

// wiped tells whether a member is silent enough to be lost, if its machine has come back as another.
func (m *memberView) wiped() bool {
	return m.silent >= wipedTermSilence && m.unheard >= wipedSilence
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

// succeededBy tells whether another identity runs where this member ran: its disk was lost.
func (m memberView) succeededBy(other consensus.Member) bool {
	if m.ID == other.ID {
		return false
	}
	return m.Address == other.Address || m.Node != "" && m.Node == other.Node
}

func (v *membershipView) has(id consensus.MemberID) bool {
	return slices.ContainsFunc(v.members, func(m memberView) bool { return m.ID == id })
}

// with is the membership with a member added or changed.
func (v *membershipView) with(changed consensus.Member) membershipPlan {
	plan := membershipPlan{replacing: v.replacing}
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
	plan := membershipPlan{replacing: v.replacing}
	for _, member := range v.members {
		if member.ID != id {
			plan.members = append(plan.members, member.Member)
		}
	}
	return plan
}

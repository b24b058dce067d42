package replica

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
)

const (
	// A learner has caught up if its replicationAge is at most maxCaughtUpAge.
	maxCaughtUpAge = 2 * slowWriteTime
	// A member is alive if both its last response and the last contact with it are more recent than aliveTimeout.
	aliveTimeout = 700 * time.Millisecond
	// A member is superseded if another ID has its machine's name, the last contact with the member was at least
	// supersededTimeout ago, and its last response, or the start of the leader's term, at least supersededAnswerTimeout.
	supersededTimeout       = time.Second
	supersededAnswerTimeout = 300 * time.Millisecond
	// A learner may replace a voter that has been unresponsive for replaceVoterTimeout.
	replaceVoterTimeout = 3 * time.Second
	// A voter that has been unresponsive for surplusVoterTimeout may be dropped if the number of voters is even.
	surplusVoterTimeout = 1500 * time.Millisecond
	// A learner is dropped learnerTimeout after its last response.
	learnerTimeout = 30 * time.Second
	// A voter may be dropped without replacement voterTimeout after its last response.
	voterTimeout = time.Minute
	// minVoters is the number of voters that no drop without replacement may go below.
	minVoters = 3
	// unknownDuration stands for the time since an event that has not happened.
	unknownDuration = time.Duration(math.MaxInt64)
)

// membershipPlan is the next membership of a group. If members is nil, no change is due.
type membershipPlan struct {
	members []consensus.Member
	reason  string // for the log
}

// reviewMembership proposes the next change of the membership if this member leads, no change or transfer of leadership is
// in progress, and one is due.
func (g *group) reviewMembership() {
	status := g.node.Status()
	if g.leadingTerm == 0 {
		return
	}
	g.updateCatchUps(status.Members)
	if status.ChangePending || status.Transferee != consensus.None || g.engine.transfers.resigning {
		return
	}
	plan := planMembership(g.membershipView(status.Members))
	if plan.members == nil {
		return
	}
	if err := g.node.ProposeMembers(g.engine.now, plan.members); err != nil {
		return // the next review plans the change again
	}
	_ = level.Info(g.engine.options.Logger).Log("msg", "membership change proposed", "group", g.id, "change", plan.reason)
}

// planMembership returns the next change of the membership: the first of the steps below that is due. Package consensus
// carries out each change atomically. A change of more than one voter is joint (Raft, section 6): it needs a majority of
// the old voters and a majority of the new voters.
//
// The invariants that every plan keeps:
//   - If the voters that are alive have a majority, they can commit the change, and afterwards the group tolerates the loss
//     of at least as many living voters as before.
//   - No voter is dropped without replacement from minVoters or fewer.
//   - No learner becomes a voter before it has caught up.
//   - The leader keeps its vote, and so does every voter that is alive, accepts leadership and is not superseded.
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

// correctMember adopts the node, zone and address that a member itself has announced, if the membership has other values.
func correctMember(view membershipView) (membershipPlan, bool) {
	for _, announced := range append(slices.Clone(view.joiners), view.self) {
		for _, member := range view.members {
			if member.ID != announced.ID || sameMachine(member.Member, announced) {
				continue
			}
			announced.Learner = member.Learner
			plan := view.with(announced)
			plan.reason = fmt.Sprintf("member %x is now %s at %s", uint64(announced.ID), announced.Node, announced.Address)
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// replaceVoter replaces a lost voter with a learner that has caught up, in one change. A majority of the voters must be
// alive, since a minority cannot commit a change. The change does not lower the number of living voters, because the
// learner is alive.
func replaceVoter(view membershipView) (membershipPlan, bool) {
	for _, learner := range view.promotable() {
		lost, found := view.replaceableVoter(learner)
		if !found || !view.majorityAlive(view.voters()) {
			continue
		}
		plan := view.with(voting(learner))
		plan.members = slices.DeleteFunc(plan.members, func(m consensus.Member) bool { return m.ID == lost })
		plan.reason = fmt.Sprintf("voter %x is replaced by %x", uint64(lost), uint64(learner.ID))
		return plan, true
	}
	return membershipPlan{}, false
}

// promoteLearner makes a learner that has caught up a voter. It waits while there is a voter that seems to have the
// learner's machine: once that voter is known to be lost, replaceVoter replaces it. It does not promote the learner if a
// majority of the voters is alive now but would not be afterwards.
func promoteLearner(view membershipView) (membershipPlan, bool) {
	for _, learner := range view.promotable() {
		waits := slices.ContainsFunc(view.voters(), func(voter memberView) bool { return voter.sameMachineAs(learner) })
		if waits || view.majorityAlive(view.voters()) && !view.majorityRemainsAlive(consensus.None, learner.ID) {
			continue
		}
		plan := view.with(voting(learner))
		plan.reason = fmt.Sprintf("learner %x becomes a voter", uint64(learner.ID))
		return plan, true
	}
	return membershipPlan{}, false
}

// dropLearner drops a learner that is superseded or has not responded for learnerTimeout.
func dropLearner(view membershipView) (membershipPlan, bool) {
	for _, member := range view.members {
		if member.Learner && (view.superseded(member) || member.sinceAnswer >= learnerTimeout) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("learner %x is dropped", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// addLearner adds a process that has requested to join, as a learner.
func addLearner(view membershipView) (membershipPlan, bool) {
	for _, joining := range view.joiners {
		if view.has(joining.ID) {
			continue
		}
		joining.Learner = true
		plan := view.with(joining)
		plan.reason = fmt.Sprintf("learner %x joins: %s at %s", uint64(joining.ID), joining.Node, joining.Address)
		return plan, true
	}
	return membershipPlan{}, false
}

// dropVoter drops a voter that is superseded or has not responded for voterTimeout, if at least minVoters remain and a
// majority of the remaining voters is alive.
func dropVoter(view membershipView) (membershipPlan, bool) {
	voters := view.voters()
	if len(voters) <= minVoters {
		return membershipPlan{}, false
	}
	for _, member := range voters {
		gone := view.superseded(member) || member.sinceAnswer >= voterTimeout
		if gone && member.ID != view.self.ID && view.majorityRemainsAlive(member.ID, consensus.None) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("voter %x is dropped", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// dropSurplusVoter drops a voter that is unresponsive or avoids leadership while the number of voters is even, for example
// because its replacement was added already. The drop makes the quorum one vote smaller, so the remaining voters tolerate
// the loss of as many voters as before. A majority of them must be alive, and at least minVoters remain. If the dropped
// voter comes back, it joins again.
func dropSurplusVoter(view membershipView) (membershipPlan, bool) {
	voters := view.voters()
	if len(voters) <= minVoters || len(voters)%2 != 0 {
		return membershipPlan{}, false
	}
	for _, member := range voters {
		isSurplus := member.avoidsLeadership || member.unresponsiveFor() >= surplusVoterTimeout
		if isSurplus && member.ID != view.self.ID && view.majorityRemainsAlive(member.ID, consensus.None) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("voter %x is dropped from an even number of voters", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// voting returns a learner's member as a voter.
func voting(learner memberView) consensus.Member {
	voter := learner.Member
	voter.Learner = false
	return voter
}

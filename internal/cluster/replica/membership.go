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
	// maxCaughtUpAge limits the replicationAge of a learner that has caught up.
	maxCaughtUpAge = 2 * slowWriteTime
	// A member is alive if both its last answer and the last contact with it are more recent than aliveTimeout.
	aliveTimeout = 700 * time.Millisecond
	// A member counts as gone if another identity has its machine's name, and the last contact with it is
	// supersededTimeout ago and its last answer, or the start of the leader's term, supersededAnswerTimeout.
	supersededTimeout       = time.Second
	supersededAnswerTimeout = 300 * time.Millisecond
	// replaceVoterTimeout is for how long a voter must be unresponsive before a learner replaces it.
	replaceVoterTimeout = 3 * time.Second
	// surplusVoterTimeout is for how long a voter must be unresponsive before it is dropped from an even number of voters.
	surplusVoterTimeout = 1500 * time.Millisecond
	// learnerTimeout is how long after its last answer a learner is dropped.
	learnerTimeout = 30 * time.Second
	// voterTimeout is how long after its last answer a voter is dropped if enough others remain.
	voterTimeout = time.Minute
	// minVoters is the number of voters up to which none is dropped without replacement.
	minVoters = 3
	// unknownDuration stands for a time since something that never happened.
	unknownDuration = time.Duration(math.MaxInt64)
)

// membershipPlan is the next membership. With nil members there is nothing to change.
type membershipPlan struct {
	members []consensus.Member
	reason  string
}

// reviewMembership proposes the next change of the membership, if one is due.
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
		return // the next review finds this change again
	}
	_ = level.Info(g.engine.options.Logger).Log("msg", "membership change proposed", "group", g.id, "change", plan.reason)
}

// planMembership decides on the next change. Consensus carries out each one atomically: a change of more than one
// voter is joint (Raft, section 6) and needs majorities of the voters before it and of those after it.
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

// correctMember adopts a member's own statement of its node, zone and address.
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

// replaceVoter replaces a lost voter by a learner that has caught up, in one change.
func replaceVoter(view membershipView) (membershipPlan, bool) {
	for _, learner := range view.promotable() {
		lost, found := view.replaceableVoter(learner)
		if !found || !view.alive(view.voters()) {
			continue // a minority cannot change anything; else no fewer voters are alive afterwards, as the learner is
		}
		plan := view.with(voting(learner))
		plan.members = slices.DeleteFunc(plan.members, func(m consensus.Member) bool { return m.ID == lost })
		plan.reason = fmt.Sprintf("voter %x is replaced by %x", uint64(lost), uint64(learner.ID))
		return plan, true
	}
	return membershipPlan{}, false
}

// promoteLearner makes a learner that has caught up a voter. It waits as long as a voter that seems to have the same
// machine is not known to be lost: replaceVoter may come to replace that one.
func promoteLearner(view membershipView) (membershipPlan, bool) {
	for _, learner := range view.promotable() {
		waits := slices.ContainsFunc(view.voters(), func(voter memberView) bool { return voter.sameMachineAs(learner) })
		if waits || view.alive(view.voters()) && !view.remainsAlive(consensus.None, learner.ID) {
			continue
		}
		plan := view.with(voting(learner))
		plan.reason = fmt.Sprintf("learner %x becomes a voter", uint64(learner.ID))
		return plan, true
	}
	return membershipPlan{}, false
}

// dropLearner drops a learner that is gone for good.
func dropLearner(view membershipView) (membershipPlan, bool) {
	for _, member := range view.members {
		if member.Learner && (view.superseded(member) || member.sinceAnswer >= learnerTimeout) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("learner %x is gone", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// addLearner adds a process that requested to join.
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

// dropVoter drops a voter that is gone for good, if enough remain: another identity has its machine, or it has not
// answered for long.
func dropVoter(view membershipView) (membershipPlan, bool) {
	voters := view.voters()
	if len(voters) <= minVoters {
		return membershipPlan{}, false
	}
	for _, member := range voters {
		gone := view.superseded(member) || member.sinceAnswer >= voterTimeout
		if gone && member.ID != view.self.ID && view.remainsAlive(member.ID, consensus.None) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("voter %x is gone", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// dropSurplusVoter drops a voter that is unresponsive or avoids leadership while the number of voters is even, as
// after its successor was added: without it, the quorum is one vote smaller. If it comes back, it joins again.
func dropSurplusVoter(view membershipView) (membershipPlan, bool) {
	voters := view.voters()
	if len(voters) <= minVoters || len(voters)%2 != 0 {
		return membershipPlan{}, false
	}
	for _, member := range voters {
		isSurplus := member.avoidsLeadership || member.unresponsiveFor() >= surplusVoterTimeout
		if isSurplus && member.ID != view.self.ID && view.remainsAlive(member.ID, consensus.None) {
			plan := view.without(member.ID)
			plan.reason = fmt.Sprintf("voter %x is surplus", uint64(member.ID))
			return plan, true
		}
	}
	return membershipPlan{}, false
}

// voting returns a learner as a voter.
func voting(learner memberView) consensus.Member {
	voter := learner.Member
	voter.Learner = false
	return voter
}

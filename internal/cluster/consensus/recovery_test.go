package consensus

import (
	"cmp"
	"slices"
)

// recoveryTerms is how many elections a check of a state may need.
const recoveryTerms = 12

// copiedWhole copies a state to change all of its members.
func (e *explored) copiedWhole() *explored {
	twin := e.copied(0)
	for index := range twin.members {
		member := &twin.members[index]
		member.node = copyNode(member.node)
		member.writes = slices.Clip(member.writes)
		member.sums = keys{}
	}
	return twin
}

// settle syncs all disks and delivers all messages, to the oldest first.
func (e *explored) settle() {
	for index := range e.members {
		e.drain(index, false)
		e.sync(index)
		e.drain(index, false)
	}
	for len(e.network) > 0 && e.broken == "" {
		message := e.network[0]
		e.network = slices.Delete(e.network, 0, 1)
		index := e.find(message.To)
		if index < 0 {
			continue
		}
		e.members[index].node.Step(message.Message, exploredTime)
		e.drain(index, false)
	}
}

// checkRecovery checks that the group can go on from here if all messages on their way are lost: within some elections a
// member leads, has committed an entry of its term, and has finished a change of the membership that was under way. It is
// meant for states in which no more disks are lost than the group stands.
func (e *explored) checkRecovery() {
	if e.broken != "" {
		return
	}
	twin := e.copiedWhole()
	twin.network = nil
	for range recoveryTerms / len(twin.members) {
		for _, index := range twin.newestLogsFirst() {
			if twin.standsAndLeads(index) {
				return
			}
		}
	}
	e.broken = twin.broken
	e.breaks("the group can't go on")
}

// newestLogsFirst gives the members in an order in which one that can be elected comes early.
func (e *explored) newestLogsFirst() []int {
	order := make([]int, len(e.members))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int {
		first, second := &e.members[a].node.log, &e.members[b].node.log
		return cmp.Or(cmp.Compare(second.lastTerm(), first.lastTerm()), cmp.Compare(second.last(), first.last()))
	})
	return order
}

// standsAndLeads lets a member stand for election, and tells whether the group works then.
func (e *explored) standsAndLeads(index int) bool {
	node := e.members[index].node
	for _, member := range e.members {
		node.becomeFollower(max(node.term, member.node.term), None)
	}
	if !node.mayCampaign() {
		return false
	}
	node.campaign(campaignTransfer)
	e.settle()
	return slices.ContainsFunc(e.members, func(member exploredMember) bool {
		return member.node.isReady() && !member.node.changePending()
	})
}

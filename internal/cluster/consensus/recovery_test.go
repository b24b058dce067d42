package consensus

import (
	"cmp"
	"slices"
)

// recoveryTerms is how many elections the check of a state may need.
const recoveryTerms = 12

// cloneAll returns a copy of a state in which all members may be modified.
func (s *groupState) cloneAll() *groupState {
	copied := s.clone(0)
	for index := range copied.members {
		member := &copied.members[index]
		member.node = cloneNode(member.node)
		member.writes = slices.Clip(member.writes)
		member.fingerprints = fingerprints{}
	}
	return copied
}

// deliverAll syncs all disks and delivers all messages, oldest first.
func (s *groupState) deliverAll() {
	for index := range s.members {
		s.processOutput(index, syncAtOnce)
		s.sync(index)
		s.processOutput(index, syncAtOnce)
	}
	for len(s.network) > 0 && s.violation == "" {
		message := s.network[0]
		s.network = slices.Delete(s.network, 0, 1)
		index := s.indexOf(message.To)
		if index < 0 {
			continue
		}
		s.members[index].node.Step(message.Message, frozenTime)
		s.processOutput(index, syncAtOnce)
	}
}

// checkRecovery checks that the group can go on from here if all messages in flight are lost: within some elections a
// member leads, has committed an entry of its term, and has finished a change of the membership that was under way. It
// applies to states in which no more disks are lost than the group tolerates.
func (s *groupState) checkRecovery() {
	if s.violation != "" {
		return
	}
	copied := s.cloneAll()
	copied.network = nil
	for range recoveryTerms / len(copied.members) {
		for _, index := range copied.newestLogsFirst() {
			if copied.recoversUnder(index) {
				return
			}
		}
	}
	s.violation = copied.violation
	s.violate("the group can't recover")
}

// newestLogsFirst returns the positions of the members, ordered so that one that can be elected comes early.
func (s *groupState) newestLogsFirst() []int {
	order := make([]int, len(s.members))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int {
		first, second := &s.members[a].node.log, &s.members[b].node.log
		return cmp.Or(cmp.Compare(second.lastTerm(), first.lastTerm()), cmp.Compare(second.last(), first.last()))
	})
	return order
}

// recoversUnder has a member campaign, and reports whether the group works afterwards.
func (s *groupState) recoversUnder(index int) bool {
	node := s.members[index].node
	for _, member := range s.members {
		node.becomeFollower(max(node.term, member.node.term), None)
	}
	if !node.mayCampaign() {
		return false
	}
	node.campaign(campaignTransfer)
	s.deliverAll()
	return slices.ContainsFunc(s.members, func(member memberState) bool {
		return member.node.isReady() && !member.node.changePending()
	})
}

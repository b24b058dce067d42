package consensus

import (
	"cmp"
	"slices"
)

// recoveryTerms is the number of elections that the recovery check of a state may need.
const recoveryTerms = 12

// cloneAll returns a copy of a state. All members of the copy may be modified.
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

// deliverAll syncs all disks, delivers all messages, oldest first, and carries out the output that follows.
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

// checkRecovery checks that the group can recover from a state after the loss of all messages in flight: after some elections
// a ready leader has finished the pending change of the membership. It guards against states in which no member can ever be
// elected, for example because only a removed member has the newest log. It requires that the group tolerated each loss of
// a disk.
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
	s.violate("the group can't elect a leader that finishes the membership change")
}

// newestLogsFirst returns the positions of the members, ordered by log: one of the first can be elected.
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

// recoversUnder has a member campaign in a term that no member has entered. It reports whether some member is a ready leader
// afterwards, without a change of the membership under way.
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

package consensus

import (
	"fmt"
	"slices"
)

// successorID is the ID of the learner that may replace a voter.
const successorID MemberID = 4

// replacedBySuccessor returns members with the member at a position removed and the successor made a voter.
func replacedBySuccessor(members []Member, position int) []Member {
	next := without(members, position)
	next[slices.IndexFunc(next, func(member Member) bool { return member.ID == successorID })].Learner = false
	return next
}

// stepFunc takes one step from a state: it copies the state, and calls do with the copy and the copy's member at index. The
// path of the copy describes the step by action.
type stepFunc func(action string, index int, do func(state *groupState, member *memberState))

// nextStates returns all states to which one step leads.
func (s *groupState) nextStates(limits bounds) []*groupState {
	var found []*groupState
	step := func(action string, index int, do func(state *groupState, member *memberState)) {
		state := s.clone(index)
		state.path = &pathStep{previous: s.path, action: action, member: s.members[index].node.config.ID}
		do(state, &state.members[index])
		state.processOutput(index, limits.syncs)
		state.network = slices.DeleteFunc(state.network, state.isIrrelevant)
		found = append(found, state)
	}
	for index := range s.members {
		s.memberSteps(index, limits, step)
	}
	for position, message := range s.network {
		index := s.indexOf(message.To)
		if message.Kind == MessageTimeoutNow && message.Term >= limits.terms {
			continue
		}
		step("deliver to", index, func(state *groupState, member *memberState) {
			state.path.message = message.Message
			state.network = slices.Delete(state.network, position, position+1)
			member.node.Step(message.Message, frozenTime)
		})
	}
	return found
}

// isIrrelevant reports whether the delivery of a message can no longer have an effect. It relies on terms that never decrease,
// and on members that campaign at most once in a term.
func (s *groupState) isIrrelevant(message inFlightMessage) bool {
	index := s.indexOf(message.To)
	if index < 0 {
		return true
	}
	node := s.members[index].node
	if message.Term != node.term {
		return message.Term < node.term
	}
	switch message.Kind {
	case MessageVoteResponse:
		return node.role != roleCandidate || message.Reject
	case MessageVote:
		return node.vote != None && node.vote != message.From
	case MessageAppendResponse:
		return node.role != roleLeader || !message.Reject && isAcknowledged(node, message.From, message.Index)
	case MessageAppend:
		return s.isRedundantAppend(&message.Message, &s.members[index])
	case MessageTimeoutNow:
		return !node.mayCampaign() || node.role == roleLeader
	default:
		return false
	}
}

// isAcknowledged reports whether a leader already knows that a member has the entries up to an index on disk.
func isAcknowledged(leader *Node, id MemberID, index uint64) bool {
	peer := leader.peer(id)
	return peer != nil && peer.state == progressReplicate && peer.match >= index
}

// isRedundantAppend reports whether an append of the current term changes neither its receiver nor, by the acknowledgement,
// the leader.
func (s *groupState) isRedundantAppend(message *Message, receiver *memberState) bool {
	node := receiver.node
	end := message.Index + uint64(len(message.Entries))
	if node.leader != message.From || node.verified < end || node.commit < message.Commit || len(receiver.writes) > 0 {
		return false
	}
	sender := s.indexOf(message.From)
	if sender < 0 || s.members[sender].node.term != message.Term || s.members[sender].node.role != roleLeader {
		return true
	}
	return isAcknowledged(s.members[sender].node, message.To, end)
}

// memberSteps takes each step that a member may take without a message.
func (s *groupState) memberSteps(index int, limits bounds, step stepFunc) {
	member := &s.members[index]
	node := member.node
	// All members are equal at first, so it suffices that the first member begins the first election.
	mayBeFirst := index == 0 || slices.ContainsFunc(s.members, func(other memberState) bool { return other.node.term > 0 })
	if node.role != roleLeader && node.term < limits.terms && node.mayCampaign() && mayBeFirst {
		step("campaign", index, func(_ *groupState, member *memberState) { member.node.campaign(campaignTransfer) })
	}
	if node.role == roleLeader && s.proposals < limits.proposals {
		step("propose", index, func(state *groupState, member *memberState) {
			state.proposals++
			_, _, _ = member.node.Propose(frozenTime, []byte{byte(state.proposals)})
		})
	}
	if len(member.writes) > 0 {
		step("sync", index, func(state *groupState, _ *memberState) { state.sync(index) })
	}
	if s.crashes < limits.crashes && (len(member.writes) > 0 || node.role == roleLeader) {
		step("crash", index, func(state *groupState, _ *memberState) { state.crash(index) })
	}
	if s.losses < limits.diskLosses && len(s.committed) > 0 && s.toleratesLossOf(index) {
		step("lose the disk of", index, func(state *groupState, _ *memberState) { state.loseDisk(index) })
	}
	if next := s.membersAfterLoss(node); next != nil {
		step("change members", index, func(_ *groupState, member *memberState) {
			_ = member.node.ProposeMembers(frozenTime, next)
		})
	}
	if s.removals < limits.removals && node.role == roleLeader {
		step("remove 2 at", index, func(state *groupState, member *memberState) { state.proposeRemoval(member.node) })
	}
	if node.role == roleLeader && limits.transfers > 0 {
		s.transferSteps(index, limits, step)
	}
}

// proposeRemoval has a leader propose to remove member 2, even while another change is under way.
func (s *groupState) proposeRemoval(leader *Node) {
	next := FinalMembers(leader.memberships.current())
	position := slices.IndexFunc(next, func(member Member) bool { return member.ID == 2 })
	if position < 0 {
		return
	}
	if leader.ProposeMembers(frozenTime, without(next, position)) == nil {
		s.removals++
	}
}

// transferSteps begins a leadership transfer to each other voter, or lets the transfer under way reach its deadline.
func (s *groupState) transferSteps(index int, limits bounds, step stepFunc) {
	node := s.members[index].node
	if node.leadership.transferee != None {
		step("end the transfer at", index, func(_ *groupState, member *memberState) {
			member.node.leadership.transferee = None
			member.node.finishJointChange()
		})
		return
	}
	for _, member := range node.memberships.current() {
		if s.transfers >= limits.transfers || member.ID == node.config.ID || member.Learner {
			continue
		}
		step(fmt.Sprintf("transfer to %d at", member.ID), index, func(state *groupState, leader *memberState) {
			state.transfers++
			_ = leader.node.TransferLeadership(frozenTime, member.ID)
		})
	}
}

// crash restarts a member from its disk, without the writes that were not synced.
func (s *groupState) crash(index int) {
	s.crashes++
	member := &s.members[index]
	member.writes = nil
	member.applied = 0
	member.node = startNode(member.node.config.ID, member.disk)
}

// loseDisk restarts a machine with an empty disk, under the ID of the lost member plus 10.
func (s *groupState) loseDisk(index int) {
	s.losses++
	lost := s.members[index].node.config.ID
	s.members[index] = memberState{node: startNode(lost+10, disk{})}
	s.network = slices.DeleteFunc(s.network, func(message inFlightMessage) bool { return message.To == lost })
}

// toleratesLossOf reports whether the group tolerates the loss of a member's disk. It tolerates the first loss. It tolerates
// a further loss if a quorum is left, and the leader of the newest term is ready and has finished all membership changes.
func (s *groupState) toleratesLossOf(index int) bool {
	if s.losses == 0 {
		return true
	}
	var newest *Node
	for _, member := range s.members {
		if member.node.isReady() && (newest == nil || member.node.term > newest.term) {
			newest = member.node
		}
	}
	if newest == nil || newest.changePending() || slices.ContainsFunc(s.members, func(member memberState) bool {
		return member.node.term > newest.term
	}) {
		return false
	}
	lost := s.members[index].node.config.ID
	return HasQuorum(newest.memberships.current(), func(id MemberID) bool { return id != lost && s.indexOf(id) >= 0 })
}

// membersAfterLoss returns the membership that a leader proposes next after the loss of a disk, or nil if no change is
// needed. Without a successor, three changes follow each other: the leader removes the lost member, adds the machine's new
// member as a learner, and promotes the learner.
func (s *groupState) membersAfterLoss(node *Node) []Member {
	if !node.isReady() || node.changePending() || s.losses == 0 {
		return nil
	}
	members := node.memberships.current()
	lost := slices.IndexFunc(members, func(member Member) bool { return s.indexOf(member.ID) < 0 })
	switch {
	case s.successor:
		return s.successorMembers(node, lost)
	case lost >= 0:
		return without(members, lost)
	}
	for _, other := range s.members {
		id := other.node.config.ID
		position := slices.IndexFunc(members, func(member Member) bool { return member.ID == id })
		if position < 0 {
			return append(slices.Clone(members), Member{ID: id, Learner: true})
		}
		if behind, _, _ := node.Lag(id); members[position].Learner && behind == 0 {
			next := slices.Clone(members)
			next[position].Learner = false
			return next
		}
	}
	return nil
}

// successorMembers returns the membership with the successor as a voter instead of a lost voter. It returns nil if no voter
// is lost or the successor does not have the complete log yet.
func (s *groupState) successorMembers(node *Node, lost int) []Member {
	members := node.memberships.current()
	successor, known := findMember(members, successorID)
	if lost < 0 || !known || !successor.Learner || s.indexOf(successorID) < 0 {
		return nil
	}
	if behind, _, _ := node.Lag(successorID); behind > 0 {
		return nil
	}
	return replacedBySuccessor(members, lost)
}

package consensus

import (
	"encoding/hex"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// changeKind is the result of proposing a membership: refused, a simple change, or a joint change.
type changeKind int

const (
	refusedChange changeKind = iota
	simpleChange
	jointChange
)

var _ = ginkgo.DescribeTable("a change from voters 1 to 3 and learner 4",
	func(next []Member, expected changeKind) {
		present := append(memberList(1, 2, 3), learner(4))
		first, err := FirstStepMembers(present, next)
		if expected == refusedChange {
			Expect(err).To(MatchError(ErrChangeRefused))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(IsJoint(first)).To(Equal(expected == jointChange))
		Expect(FinalMembers(first)).To(ConsistOf(next))
		if expected == simpleChange {
			Expect(first).To(Equal(next))
			return
		}
		Expect(votersOf(first, outgoingConfig)).To(ConsistOf(MemberID(1), MemberID(2), MemberID(3)))
		Expect(votersOf(first, incomingConfig)).To(ConsistOf(votersOf(next, incomingConfig)))
	},
	ginkgo.Entry("that adds a voter is simple", append(memberList(1, 2, 3, 5), learner(4)), simpleChange),
	ginkgo.Entry("that removes a voter is simple", append(memberList(1, 3), learner(4)), simpleChange),
	ginkgo.Entry("that adds a learner is simple", append(memberList(1, 2, 3), learner(4), learner(5)), simpleChange),
	ginkgo.Entry("that removes a learner is simple", memberList(1, 2, 3), simpleChange),
	ginkgo.Entry("that promotes a learner is simple", memberList(1, 2, 3, 4), simpleChange),
	ginkgo.Entry("that demotes a voter is simple", append(memberList(1, 2), learner(3), learner(4)), simpleChange),
	ginkgo.Entry("that changes an address is simple", append(memberList(1, 2), Member{ID: 3, Address: "a"}, learner(4)), simpleChange),
	ginkgo.Entry("that adds a voter is simple in any order of the members", append([]Member{learner(4), {ID: 5}}, memberList(3, 2, 1)...), simpleChange),
	ginkgo.Entry("that adds two learners is simple", append(memberList(1, 2, 3), learner(4), learner(5), learner(6)), simpleChange),
	ginkgo.Entry("that removes a voter and replaces a learner is simple", append(memberList(1, 2), learner(5)), simpleChange),
	ginkgo.Entry("that changes nothing is refused", append(memberList(1, 2, 3), learner(4)), refusedChange),
	ginkgo.Entry("that changes only the order of the members is refused", append([]Member{learner(4)}, memberList(3, 2, 1)...), refusedChange),
	ginkgo.Entry("that replaces a voter by a new member is joint", append(memberList(1, 2, 5), learner(4)), jointChange),
	ginkgo.Entry("that replaces a voter by the learner is joint", memberList(1, 2, 4), jointChange),
	ginkgo.Entry("that exchanges a voter and the learner is joint", append(memberList(1, 2, 4), learner(3)), jointChange),
	ginkgo.Entry("that adds two voters is joint", append(memberList(1, 2, 3, 5, 6), learner(4)), jointChange),
	ginkgo.Entry("that removes two voters is joint", append(memberList(1), learner(4)), jointChange),
	ginkgo.Entry("that demotes two voters is joint", append(memberList(1), learner(2), learner(3), learner(4)), jointChange),
	ginkgo.Entry("that replaces all voters is joint", memberList(5, 6, 7), jointChange),
	ginkgo.Entry("that replaces a voter and changes an address is joint", append(memberList(1, 4), Member{ID: 2, Address: "a"}), jointChange),
	ginkgo.Entry("that lists a member twice is refused", append(memberList(1, 2, 3, 3), learner(4)), refusedChange),
	ginkgo.Entry("that lists a member without an ID is refused", append(memberList(1, 2, 3, None), learner(4)), refusedChange),
	ginkgo.Entry("that leaves no members is refused", []Member{}, refusedChange),
	ginkgo.Entry("that leaves no voters is refused", []Member{learner(1), learner(4)}, refusedChange),
	ginkgo.Entry("to a joint membership is refused", append(memberList(1, 2), Member{ID: 3, Transition: TransitionRemoved}), refusedChange),
)

// votersOf returns the voters of one configuration.
func votersOf(members []Member, configuration configSet) []MemberID {
	var voters []MemberID
	for _, member := range members {
		if member.votesIn()&configuration != 0 {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// jointReplacing3By4 returns the joint membership for the replacement of voter 3, of three voters, by learner 4.
func jointReplacing3By4() []Member {
	return jointMembers(append(memberList(1, 2, 3), learner(4)), memberList(1, 2, 4))
}

var _ = ginkgo.Describe("membership entries encoded by a version without joint memberships", func() {
	// The data of a membership entry as a version without joint memberships encoded it.
	const written = "0dff81020102ff820001ff800000447f030101064d656d62657201ff800001050102494401060001044e6f6465010c0001045a" +
		"6f6e65010c00010741646472657373010c0001074c6561726e6572010200000062ff82000301010106636f72652d31010161010d31302e30" +
		"2e302e313a373030300001020106636f72652d32010162010d31302e302e302e323a373030300001f880000000000000000106636f72652d" +
		"33020d31302e302e302e333a37303030010100"
	members := []Member{
		{ID: 1, Node: "core-1", Zone: "a", Address: "10.0.0.1:7000"},
		{ID: 2, Node: "core-2", Zone: "b", Address: "10.0.0.2:7000"},
		{ID: 1 << 63, Node: "core-3", Address: "10.0.0.3:7000", Learner: true},
	}

	ginkgo.It("are decoded unchanged", func() {
		data, err := hex.DecodeString(written)
		Expect(err).NotTo(HaveOccurred())
		read, err := DecodeMembers(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(members))
		Expect(IsJoint(read)).To(BeFalse())
	})

	ginkgo.It("are not the only ones: joint memberships are decoded as this version encodes them", func() {
		data, err := EncodeMembers(jointReplacing3By4())
		Expect(err).NotTo(HaveOccurred())
		Expect(DecodeMembers(data)).To(Equal(jointReplacing3By4()))
	})
})

var _ = ginkgo.Describe("a joint change of the membership", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(append(memberList(1, 2, 3), learner(4))...)
		leader = g.elect(1)
	})

	ginkgo.It("replaces a lost voter by one call of ProposeMembers", func() {
		g.drop = fromOrTo(3)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 4))).To(Succeed())
		Expect(leader.Status().ChangePending).To(BeTrue())
		Expect(leader.Status().Members).To(ConsistOf(jointReplacing3By4()))
		g.deliverAll()
		Expect(leader.Status().ChangePending).To(BeFalse())
		for _, id := range []MemberID{1, 2, 4} {
			Expect(g.member(id).Status().Members).To(Equal(memberList(1, 2, 4)), "member %d", id)
		}
	})

	ginkgo.It("refuses another change until the final membership is committed", func() {
		refusesAnother := func() {
			Expect(leader.Status().ChangePending).To(BeTrue())
			Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(MatchError(ErrChangePending))
		}
		g.drop = ofKind(MessageAppendResponse)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 4))).To(Succeed())
		g.deliverAll()
		refusesAnother()

		// The joint entry is committed, and the final one appended.
		jointIndex := leader.log.last()
		g.drop = func(message Message) bool { return message.Kind == MessageAppendResponse && message.Index > jointIndex }
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(Equal(jointIndex))
		Expect(leader.Status().Members).To(Equal(memberList(1, 2, 4)))
		refusesAnother()

		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().ChangePending).To(BeFalse())
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
	})
})

var _ = ginkgo.Describe("changes of the membership", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	ginkgo.It("are effective once they are appended, and no longer once they are truncated", func() {
		g.drop = fromOrTo(1)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		g.deliverAll()
		Expect(leader.Status().Members).To(Equal(memberList(1, 2)))
		g.expireLeaderContacts()
		g.elect(2)
		g.drop = nil
		g.elapse(3 * electionTimeout)
		Expect(leader.Status().Members).To(Equal(memberList(1, 2, 3)))
	})

	ginkgo.It("are refused while an earlier one is not committed", func() {
		g.drop = fromOrTo(1)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		Expect(leader.ProposeMembers(g.now, memberList(1))).To(MatchError(ErrChangePending))
		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		Expect(leader.ProposeMembers(g.now, memberList(1))).To(Succeed())
	})

	ginkgo.It("are refused unless the member is a ready leader", func() {
		Expect(g.member(2).ProposeMembers(g.now, memberList(1, 2))).To(MatchError(ErrNotLeader))
		g.drop = ofKind(MessageAppendResponse)
		other := g.member(2)
		g.expireLeaderContacts()
		g.now = max(g.now, other.electionDeadline)
		leader.becomeFollower(leader.term, None)
		other.Tick(g.now)
		g.deliverAll()
		Expect(other.Status().IsLeader).To(BeTrue())
		Expect(other.ProposeMembers(g.now, memberList(1, 2))).To(MatchError(ErrNotReady))
	})

	ginkgo.It("are sent to a member that they remove, which no longer campaigns then", func() {
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		g.deliverAll()
		Expect(g.member(3).Status().Members).To(Equal(memberList(1, 2)))
		g.drop = fromOrTo(3)
		g.clearSent()
		g.elapse(5 * electionTimeout)
		Expect(g.countSent(MessagePreVote)).To(BeZero())
		Expect(leader.Status().Ready).To(BeTrue())
	})

	ginkgo.It("add a learner and promote it to a voter", func() {
		g.propose(leader, "a")
		g.deliverAll()
		fresh := g.add(4, Restored{})
		Expect(leader.ProposeMembers(g.now, append(memberList(1, 2, 3), learner(4)))).To(Succeed())
		g.elapse(3 * heartbeatInterval)
		behind, _, known := leader.Lag(4)
		Expect(known).To(BeTrue())
		Expect(behind).To(BeZero())
		Expect(commandsOf(fresh.committed)).To(Equal([]string{"a"}))
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 3, 4))).To(Succeed())
		g.elapse(3 * heartbeatInterval)
		Expect(isVoter(fresh.Status().Members, 4)).To(BeTrue())
	})

	ginkgo.It("do not make a learner count towards a quorum", func() {
		g.add(4, Restored{})
		Expect(leader.ProposeMembers(g.now, append(memberList(1, 2, 3), learner(4)))).To(Succeed())
		g.elapse(3 * heartbeatInterval)
		g.drop = from(2, 3)
		before := leader.Status().Commit
		g.propose(leader, "a")
		g.deliverAll()
		Expect(leader.Status().Commit).To(Equal(before))
	})

	ginkgo.It("do not make learners count towards a quorum, however many there are", func() {
		next := append(memberList(1, 2, 3), learner(4), learner(5), learner(6))
		for _, id := range []MemberID{4, 5, 6} {
			g.add(id, Restored{})
		}
		Expect(leader.ProposeMembers(g.now, next)).To(Succeed())
		g.elapse(3 * heartbeatInterval)
		g.drop = from(2, 3)
		g.now += heartbeatInterval
		before, requestedAt := leader.Status().Commit, g.now
		g.propose(leader, "a")
		leader.ConfirmLeadership(requestedAt)
		g.deliverAll()
		Expect(leader.Status().Commit).To(Equal(before))
		Expect(leader.Status().ConfirmedAt).To(BeNumerically("<", requestedAt))
		for _, id := range []MemberID{4, 5, 6} {
			leader.Step(Message{Kind: MessageAppendResponse, From: id, To: 1, Term: 1, Index: leader.log.last()}, g.now)
		}
		Expect(leader.Status().Commit).To(Equal(before))
	})

	ginkgo.It("make a leader that they remove step down once they are committed, and another member leads soon after", func() {
		g.drop = ofKind(MessageAppendResponse)
		Expect(leader.ProposeMembers(g.now, memberList(2, 3))).To(Succeed())
		g.deliverAll()
		Expect(leader.Status().IsLeader).To(BeTrue())
		g.drop = nil
		g.elapse(5 * heartbeatInterval)
		Expect(leader.Status().IsLeader).To(BeFalse())
		Expect(g.member(2).Status().Ready || g.member(3).Status().Ready).To(BeTrue())
	})

	ginkgo.It("remain known when the log is compacted beyond their entries", func() {
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		g.deliverAll()
		g.propose(leader, "a")
		g.deliverAll()
		leader.Compact(leader.Status().Commit)
		Expect(leader.MembersAt(leader.Status().Commit)).To(Equal(memberList(1, 2)))
	})
})

var _ = ginkgo.Describe("a member that has not received the change that removes it", func() {
	ginkgo.It("does not interrupt the leader, and is not elected", func() {
		g := newGroup(memberList(1, 2, 3, 4)...)
		leader := g.elect(1)
		g.drop = fromOrTo(4)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 3))).To(Succeed())
		g.deliverAll()
		g.propose(leader, "a")
		g.deliverAll()
		removed := g.member(4)
		Expect(isVoter(removed.Status().Members, 4)).To(BeTrue())
		g.drop = nil
		g.elapse(5 * electionTimeout)
		Expect(leader.Status().Ready).To(BeTrue())
		Expect(leader.term).To(Equal(uint64(1)))

		g.expireLeaderContacts()
		leader.becomeFollower(leader.term, None)
		removed.campaign(campaignTransfer)
		g.deliverAll()
		Expect(removed.Status().IsLeader).To(BeFalse())
		g.elapse(4 * electionTimeout)
		Expect(removed.Status().IsLeader).To(BeFalse())
		Expect(g.countReady(1, 2, 3)).To(Equal(1))
	})
})

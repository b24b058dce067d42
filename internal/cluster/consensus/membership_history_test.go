package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("the membership as of an index",
	func(index uint64, ids ...MemberID) {
		history := membershipHistory{
			{index: 2, members: memberList(1)},
			{index: 5, members: memberList(1, 2)},
			{index: 9, members: memberList(1, 2, 3)},
		}
		Expect(history.at(index)).To(Equal(memberList(ids...)))
	},
	ginkgo.Entry("before all", uint64(1)),
	ginkgo.Entry("at a change", uint64(5), MemberID(1), MemberID(2)),
	ginkgo.Entry("between", uint64(8), MemberID(1), MemberID(2)),
	ginkgo.Entry("after all", uint64(20), MemberID(1), MemberID(2), MemberID(3)),
)

var _ = ginkgo.Describe("changes of the membership", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	ginkgo.It("are in force when appended, and come back when replaced", func() {
		g.drop = fromOrTo(1)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		g.deliverAll()
		Expect(leader.Status().Members).To(Equal(memberList(1, 2)))
		for _, id := range []MemberID{2, 3} {
			g.member(id).lastLeaderContact = 0
		}
		g.elect(2)
		g.drop = nil
		g.elapse(3 * electionTimeout)
		Expect(leader.Status().Members).To(Equal(memberList(1, 2, 3)))
	})

	ginkgo.It("come one at a time", func() {
		g.drop = fromOrTo(1)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		Expect(leader.ProposeMembers(g.now, memberList(1))).To(MatchError(ErrChangePending))
		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		Expect(leader.ProposeMembers(g.now, memberList(1))).To(Succeed())
	})

	ginkgo.It("are refused by others than a ready leader", func() {
		Expect(g.member(2).ProposeMembers(g.now, memberList(1, 2))).To(MatchError(ErrNotLeader))
		g.drop = ofKind(MessageAppendResponse)
		other := g.member(2)
		for _, member := range g.members {
			member.lastLeaderContact = 0
		}
		g.now = max(g.now, other.electionDeadline)
		leader.becomeFollower(leader.term, None)
		other.Tick(g.now)
		g.deliverAll()
		Expect(other.Status().IsLeader).To(BeTrue())
		Expect(other.ProposeMembers(g.now, memberList(1, 2))).To(MatchError(ErrNotReady))
	})

	ginkgo.It("tell a removed member, which then stands no more", func() {
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		g.deliverAll()
		Expect(g.member(3).Status().Members).To(Equal(memberList(1, 2)))
		g.drop = fromOrTo(3)
		g.clearSent()
		g.elapse(5 * electionTimeout)
		Expect(g.countSent(MessagePreVote)).To(BeZero())
		Expect(leader.Status().Ready).To(BeTrue())
	})

	ginkgo.It("take a learner in, and promote it", func() {
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

	ginkgo.It("do not count a learner", func() {
		g.add(4, Restored{})
		Expect(leader.ProposeMembers(g.now, append(memberList(1, 2, 3), learner(4)))).To(Succeed())
		g.elapse(3 * heartbeatInterval)
		g.drop = func(message Message) bool { return message.From == 2 || message.From == 3 }
		before := leader.Status().Commit
		g.propose(leader, "a")
		g.deliverAll()
		Expect(leader.Status().Commit).To(Equal(before))
	})

	ginkgo.It("do not count learners, however many", func() {
		next := append(memberList(1, 2, 3), learner(4), learner(5), learner(6))
		for _, id := range []MemberID{4, 5, 6} {
			g.add(id, Restored{})
		}
		Expect(leader.ProposeMembers(g.now, next)).To(Succeed())
		g.elapse(3 * heartbeatInterval)
		g.drop = func(message Message) bool { return message.From == 2 || message.From == 3 }
		g.now += heartbeatInterval
		before, asked := leader.Status().Commit, g.now
		g.propose(leader, "a")
		leader.ConfirmLeadership(asked)
		g.deliverAll()
		Expect(leader.Status().Commit).To(Equal(before))
		Expect(leader.Status().ConfirmedAt).To(BeNumerically("<", asked))
		for _, id := range []MemberID{4, 5, 6} {
			leader.Step(Message{Kind: MessageAppendResponse, From: id, To: 1, Term: 1, Index: leader.log.last()}, g.now)
		}
		Expect(leader.Status().Commit).To(Equal(before))
	})

	ginkgo.It("let a leader that removes itself step down once that is committed, and another lead soon", func() {
		g.drop = ofKind(MessageAppendResponse)
		Expect(leader.ProposeMembers(g.now, memberList(2, 3))).To(Succeed())
		g.deliverAll()
		Expect(leader.Status().IsLeader).To(BeTrue())
		g.drop = nil
		g.elapse(5 * heartbeatInterval)
		Expect(leader.Status().IsLeader).To(BeFalse())
		Expect(g.member(2).Status().Ready || g.member(3).Status().Ready).To(BeTrue())
	})

	ginkgo.It("are not forgotten with the log before them", func() {
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		g.deliverAll()
		g.propose(leader, "a")
		g.deliverAll()
		leader.Compact(leader.Status().Commit)
		Expect(leader.MembersAt(leader.Status().Commit)).To(Equal(memberList(1, 2)))
	})
})

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
	var leader *scripted
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	ginkgo.It("are in force when appended, and come back when replaced", func() {
		g.lost = isolate(1)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		g.settle()
		Expect(leader.Status().Members).To(Equal(memberList(1, 2)))
		for _, id := range []MemberID{2, 3} {
			g.of(id).lastLeaderContact = 0
		}
		g.elect(2)
		g.lost = nil
		g.pass(3 * timeout)
		Expect(leader.Status().Members).To(Equal(memberList(1, 2, 3)))
	})

	ginkgo.It("come one at a time", func() {
		g.lost = isolate(1)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		Expect(leader.ProposeMembers(g.now, memberList(1))).To(MatchError(ErrChangePending))
		g.lost = nil
		g.pass(3 * heartbeat)
		Expect(leader.ProposeMembers(g.now, memberList(1))).To(Succeed())
	})

	ginkgo.It("are refused by others than a ready leader", func() {
		Expect(g.of(2).ProposeMembers(g.now, memberList(1, 2))).To(MatchError(ErrNotLeader))
		g.lost = lose(MessageAppendResponse)
		other := g.of(2)
		for _, member := range g.members {
			member.lastLeaderContact = 0
		}
		g.now = max(g.now, other.electionDeadline)
		leader.becomeFollower(leader.term, None)
		other.Tick(g.now)
		g.settle()
		Expect(other.Status().IsLeader).To(BeTrue())
		Expect(other.ProposeMembers(g.now, memberList(1, 2))).To(MatchError(ErrNotReady))
	})

	ginkgo.It("tell a removed member, which then stands no more", func() {
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		g.settle()
		Expect(g.of(3).Status().Members).To(Equal(memberList(1, 2)))
		g.lost = isolate(3)
		g.forget()
		g.pass(5 * timeout)
		Expect(g.sent(MessagePreVote)).To(BeZero())
		Expect(leader.Status().Ready).To(BeTrue())
	})

	ginkgo.It("take a learner in, and promote it", func() {
		g.propose(leader, "a")
		g.settle()
		fresh := g.add(4, Restored{})
		Expect(leader.ProposeMembers(g.now, append(memberList(1, 2, 3), learner(4)))).To(Succeed())
		g.pass(3 * heartbeat)
		behind, _, known := leader.Lag(4)
		Expect(known).To(BeTrue())
		Expect(behind).To(BeZero())
		Expect(texts(fresh.committed)).To(Equal([]string{"a"}))
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 3, 4))).To(Succeed())
		g.pass(3 * heartbeat)
		Expect(isVoter(fresh.Status().Members, 4)).To(BeTrue())
	})

	ginkgo.It("do not count a learner", func() {
		g.add(4, Restored{})
		Expect(leader.ProposeMembers(g.now, append(memberList(1, 2, 3), learner(4)))).To(Succeed())
		g.pass(3 * heartbeat)
		g.lost = func(message Message) bool { return message.From == 2 || message.From == 3 }
		before := leader.Status().Commit
		g.propose(leader, "a")
		g.settle()
		Expect(leader.Status().Commit).To(Equal(before))
	})

	ginkgo.It("do not count learners, however many", func() {
		next := append(memberList(1, 2, 3), learner(4), learner(5), learner(6))
		for _, id := range []MemberID{4, 5, 6} {
			g.add(id, Restored{})
		}
		Expect(leader.ProposeMembers(g.now, next)).To(Succeed())
		g.pass(3 * heartbeat)
		g.lost = func(message Message) bool { return message.From == 2 || message.From == 3 }
		g.now += heartbeat
		before, asked := leader.Status().Commit, g.now
		g.propose(leader, "a")
		leader.ConfirmLeadership(asked)
		g.settle()
		Expect(leader.Status().Commit).To(Equal(before))
		Expect(leader.Status().ConfirmedAt).To(BeNumerically("<", asked))
		for _, id := range []MemberID{4, 5, 6} {
			leader.Step(Message{Kind: MessageAppendResponse, From: id, To: 1, Term: 1, Index: leader.log.last()}, g.now)
		}
		Expect(leader.Status().Commit).To(Equal(before))
	})

	ginkgo.It("let a leader that removes itself step down once that is committed, and another lead soon", func() {
		g.lost = lose(MessageAppendResponse)
		Expect(leader.ProposeMembers(g.now, memberList(2, 3))).To(Succeed())
		g.settle()
		Expect(leader.Status().IsLeader).To(BeTrue())
		g.lost = nil
		g.pass(5 * heartbeat)
		Expect(leader.Status().IsLeader).To(BeFalse())
		Expect(g.of(2).Status().Ready || g.of(3).Status().Ready).To(BeTrue())
	})

	ginkgo.It("are not forgotten with the log before them", func() {
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
		g.settle()
		g.propose(leader, "a")
		g.settle()
		leader.Compact(leader.Status().Commit)
		Expect(leader.MembersAt(leader.Status().Commit)).To(Equal(memberList(1, 2)))
	})
})

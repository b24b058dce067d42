package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a leadership transfer", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(append(memberList(1, 2, 3), learner(4))...)
		leader = g.elect(1)
	})

	ginkgo.It("makes a member that has the complete log the leader at once", func() {
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.deliverAll()
		Expect(g.member(2).Status().Ready).To(BeTrue())
		Expect(leader.Status().IsLeader).To(BeFalse())
	})

	ginkgo.It("waits until the transferee has the complete log, and the leader refuses proposals until then", func() {
		g.drop = fromOrTo(2)
		g.propose(leader, "a")
		g.deliverAll()
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.deliverAll()
		Expect(leader.Status().Transferee).To(Equal(MemberID(2)))
		_, _, err := leader.Propose(g.now, nil)
		Expect(err).To(MatchError(ErrNotLeader))
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 3))).To(MatchError(ErrNotLeader))
		g.drop = nil
		g.elapse(5 * heartbeatInterval)
		Expect(g.member(2).Status().Ready).To(BeTrue())
		Expect(commandsOf(g.member(2).committed)).To(Equal([]string{"a"}))
	})

	ginkgo.It("is given up after an election timeout", func() {
		g.drop = fromOrTo(2)
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.elapse(electionTimeout + heartbeatInterval)
		Expect(leader.Status().Transferee).To(Equal(None))
		g.propose(leader, "a")
	})

	ginkgo.It("fails if the transferee is not allowed to campaign", func() {
		g.member(2).SetCampaignAllowed(false)
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.elapse(electionTimeout + heartbeatInterval)
		Expect(leader.Status().Ready).To(BeTrue())
		Expect(leader.term).To(Equal(uint64(1)))
	})

	ginkgo.DescribeTable("is refused",
		func(from, to MemberID, expected error) {
			Expect(g.member(from).TransferLeadership(g.now, to)).To(MatchError(expected))
		},
		ginkgo.Entry("by a follower", MemberID(2), MemberID(3), ErrNotLeader),
		ginkgo.Entry("to itself", MemberID(1), MemberID(1), ErrUnknownMember),
		ginkgo.Entry("to a learner", MemberID(1), MemberID(4), ErrUnknownMember),
		ginkgo.Entry("to a member that is not known", MemberID(1), MemberID(9), ErrUnknownMember),
	)
})

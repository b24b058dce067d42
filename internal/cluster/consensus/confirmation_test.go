package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("what a majority has reached",
	func(expected uint64, values ...uint64) {
		Expect(reachedByMajority(values)).To(Equal(expected))
	},
	ginkgo.Entry("nobody", uint64(0)),
	ginkgo.Entry("one", uint64(7), uint64(7)),
	ginkgo.Entry("both of two", uint64(3), uint64(7), uint64(3)),
	ginkgo.Entry("two of three", uint64(5), uint64(5), uint64(9), uint64(1)),
	ginkgo.Entry("three of four", uint64(2), uint64(9), uint64(2), uint64(8), uint64(1)),
	ginkgo.Entry("three of five", uint64(4), uint64(1), uint64(9), uint64(4), uint64(2), uint64(8)),
)

var _ = ginkgo.Describe("a confirmation of the leadership", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
		g.now += 30 * time.Millisecond
		leader.Tick(g.now)
		g.deliverAll()
		g.clearSent()
	})

	ginkgo.It("is there once a quorum has answered", func() {
		g.drop = fromOrTo(3)
		leader.ConfirmLeadership(g.now)
		Expect(leader.Status().ConfirmedAt).To(BeNumerically("<", g.now))
		g.deliverAll()
		Expect(leader.Status().ConfirmedAt).To(Equal(g.now))
	})

	ginkgo.It("does not come from a minority, nor by time", func() {
		g.drop = fromOrTo(1)
		before := leader.Status().ConfirmedAt
		leader.ConfirmLeadership(g.now)
		g.deliverAll()
		g.now += 10 * electionTimeout
		leader.Tick(g.now)
		leader.ConfirmLeadership(g.now)
		Expect(leader.Status().ConfirmedAt).To(Equal(before))
	})

	ginkgo.It("does not come from answers to what was sent before", func() {
		leader.ConfirmLeadership(g.now)
		g.processOutput(leader)
		delayed := g.inTransit
		g.inTransit = nil
		asked := g.now
		g.now += 500 * time.Millisecond
		leader.ConfirmLeadership(g.now)
		g.processOutput(leader)
		g.inTransit = delayed
		g.drop = func(message Message) bool { return message.SentAt != asked }
		g.deliverAll()
		Expect(leader.Status().ConfirmedAt).To(Equal(asked))
	})

	ginkgo.It("does not come from a learner", func() {
		g.add(4, Restored{})
		Expect(leader.ProposeMembers(g.now, append(memberList(1, 2, 3), learner(4)))).To(Succeed())
		g.deliverAll()
		g.elapse(3 * heartbeatInterval)
		g.drop = func(message Message) bool { return message.From == 2 || message.From == 3 }
		g.elapse(heartbeatInterval)
		before := leader.Status().ConfirmedAt
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().ConfirmedAt).To(Equal(before))
	})

	ginkgo.It("does not wait for disks", func() {
		for _, member := range g.members {
			member.diskPaused = true
		}
		g.propose(leader, "a")
		leader.ConfirmLeadership(g.now)
		g.deliverAll()
		Expect(leader.Status().ConfirmedAt).To(Equal(g.now))
	})

	ginkgo.It("comes with acknowledgements too", func() {
		g.drop = func(message Message) bool { return message.Kind == MessageHeartbeat }
		g.propose(leader, "a")
		g.deliverAll()
		Expect(leader.Status().ConfirmedAt).To(Equal(g.now))
	})

	ginkgo.It("is shared by all that ask while a round is out", func() {
		for range 10 {
			leader.ConfirmLeadership(g.now)
		}
		g.processOutput(leader)
		Expect(g.countSent(MessageHeartbeat)).To(Equal(2))
		g.now += time.Millisecond
		leader.ConfirmLeadership(g.now)
		leader.ConfirmLeadership(g.now)
		g.deliverAll()
		Expect(g.countSent(MessageHeartbeat)).To(Equal(2))
		Expect(leader.NextDeadline()).To(BeNumerically("<=", g.now+confirmationTimeout))
		g.now = leader.NextDeadline()
		leader.Tick(g.now)
		g.deliverAll()
		Expect(g.countSent(MessageHeartbeat)).To(Equal(4))
		Expect(leader.Status().ConfirmedAt).To(Equal(g.now))
	})

	ginkgo.It("is asked for anew when a round seems lost", func() {
		g.drop = ofKind(MessageHeartbeat)
		leader.ConfirmLeadership(g.now)
		g.deliverAll()
		g.drop = nil
		g.now += time.Millisecond
		leader.ConfirmLeadership(g.now)
		g.now = leader.NextDeadline()
		leader.Tick(g.now)
		g.deliverAll()
		Expect(leader.Status().ConfirmedAt).To(Equal(g.now))
	})

	ginkgo.It("is forgotten with the leadership", func() {
		leader.becomeFollower(leader.term+1, None)
		Expect(leader.Status().ConfirmedAt).To(BeZero())
		leader.ConfirmLeadership(g.now)
		Expect(leader.HasOutput()).To(BeTrue(), "only the new term is to be written")
		Expect(leader.Output().Immediate).To(BeEmpty())
	})
})

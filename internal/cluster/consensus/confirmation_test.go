package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

	ginkgo.It("is complete once a quorum has responded", func() {
		g.drop = fromOrTo(3)
		leader.ConfirmLeadership(g.now)
		Expect(leader.Status().ConfirmedAt).To(BeNumerically("<", g.now))
		g.deliverAll()
		Expect(leader.Status().ConfirmedAt).To(Equal(g.now))
	})

	ginkgo.It("is completed neither by a minority nor by the passage of time", func() {
		g.drop = fromOrTo(1)
		before := leader.Status().ConfirmedAt
		leader.ConfirmLeadership(g.now)
		g.deliverAll()
		g.now += 10 * electionTimeout
		leader.Tick(g.now)
		leader.ConfirmLeadership(g.now)
		Expect(leader.Status().ConfirmedAt).To(Equal(before))
	})

	ginkgo.It("is not completed by responses to heartbeats sent before the request", func() {
		leader.ConfirmLeadership(g.now)
		g.processOutput(leader)
		delayed := g.inTransit
		g.inTransit = nil
		requestedAt := g.now
		g.now += 500 * time.Millisecond
		leader.ConfirmLeadership(g.now)
		g.processOutput(leader)
		g.inTransit = delayed
		g.drop = func(message Message) bool { return message.SentAt != requestedAt }
		g.deliverAll()
		Expect(leader.Status().ConfirmedAt).To(Equal(requestedAt))
	})

	ginkgo.It("is not completed by responses of a learner", func() {
		g.add(4, Restored{})
		Expect(leader.ProposeMembers(g.now, append(memberList(1, 2, 3), learner(4)))).To(Succeed())
		g.deliverAll()
		g.elapse(3 * heartbeatInterval)
		g.drop = from(2, 3)
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

	ginkgo.It("is completed also by acknowledgements of appends", func() {
		g.drop = ofKind(MessageHeartbeat)
		g.propose(leader, "a")
		g.deliverAll()
		Expect(leader.Status().ConfirmedAt).To(Equal(g.now))
	})

	ginkgo.It("shares a round of heartbeats with other requests until a quorum has acknowledged the round", func() {
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

	ginkgo.It("is completed by another round of heartbeats if the last one was lost", func() {
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

	ginkgo.It("is neither reported nor requested once the member no longer leads", func() {
		leader.becomeFollower(leader.term+1, None)
		Expect(leader.Status().ConfirmedAt).To(BeZero())
		leader.ConfirmLeadership(g.now)
		Expect(leader.HasOutput()).To(BeTrue(), "the output contains only the new term")
		Expect(leader.Output().Immediate).To(BeEmpty())
	})
})

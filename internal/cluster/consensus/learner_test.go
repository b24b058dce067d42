package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a learner", func() {
	ginkgo.It("receives committed entries at once, and no others", func() {
		g := newGroup(append(memberList(1, 2, 3), learner(4))...)
		leader := g.elect(1)
		g.drop = ofKind(MessageAppendResponse)
		g.propose(leader, "a")
		g.deliverAll()
		Expect(g.member(2).log.last()).To(Equal(leader.log.last()))
		Expect(g.member(4).log.last()).To(BeNumerically("<", leader.log.last()))
		g.drop = nil
		g.now += 2 * time.Millisecond
		g.propose(leader, "b")
		g.deliverAll()
		Expect(g.member(4).log.last()).To(Equal(leader.log.last()))
	})

	ginkgo.It("does not campaign, even if a leader asks it to", func() {
		g := newGroup(append(memberList(1, 2, 3), learner(4))...)
		g.elect(1)
		g.drop = func(Message) bool { return true }
		g.clearSent()
		g.member(4).Step(Message{Kind: MessageTimeoutNow, From: 1, To: 4, Term: 1}, g.now)
		for range 100 {
			g.now += heartbeatInterval
			g.member(4).Tick(g.now)
			g.processOutput(g.member(4))
		}
		Expect(g.countSent(MessagePreVote) + g.countSent(MessageVote)).To(BeZero())
	})
})

package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// After a stall, a leader gives the members time to respond before it steps down. If it gave this time after every stall, a
// partitioned leader whose process stalls repeatedly would never step down.
var _ = ginkgo.Describe("a leader whose process stalls repeatedly", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	// stall lets the clock advance, a number of times, by more than half an election timeout without an input to the leader.
	stall := func(times int) {
		for range times {
			g.now += electionTimeout/2 + heartbeatInterval
			leader.Tick(g.now)
			g.deliverAll()
			g.elapse(10 * time.Millisecond)
		}
	}

	ginkgo.It("remains the leader while members respond", func() {
		stall(20)
		Expect(leader.Status().IsLeader).To(BeTrue())
	})

	ginkgo.It("steps down when it is partitioned", func() {
		g.drop = fromOrTo(1)
		for range 5 {
			g.now += electionTimeout/2 + heartbeatInterval
			leader.Tick(g.now)
			g.processOutput(leader)
		}
		Expect(leader.Status().IsLeader).To(BeFalse())
	})
})

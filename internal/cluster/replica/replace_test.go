package replica

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A machine that is replaced", func() {
	It("has a successor that votes within a second, also in groups without proposals", func() {
		c := newCluster(31, 5)
		c.startFirst(3)
		c.awaitVoters("core-1", "core-2", "core-3")
		c.run(10 * time.Second)
		c.add("core-4", "10.0.0.4:7380").start(nil)
		Expect(c.until(time.Second, c.votersAre("core-1", "core-2", "core-3", "core-4"))).To(BeTrue())
	})

	// After the first machine has ended, two voters and its successor remain. If the first machine's member kept its vote,
	// the loss of the successor would leave two of four voters, which is no quorum.
	DescribeTable("loses its vote once it has ended, so that the loss of its successor does no harm",
		func(end func(m *machine)) {
			for seed := range uint64(10) {
				c := newCluster(seed, 5)
				c.startFirst(3)
				c.awaitVoters("core-1", "core-2", "core-3")
				c.run(3 * time.Second)
				second := c.add("core-4", "10.0.0.4:7380")
				second.start(nil)
				c.awaitVoters("core-1", "core-2", "core-3", "core-4")

				end(c.machines[0])
				c.awaitVoters("core-2", "core-3", "core-4")
				second.kill()
				for id := range GroupID(5) {
					c.commit(id, 2, 10)
				}
				third := c.add("core-5", "10.0.0.5:7380")
				third.start(nil)
				c.awaitVoters("core-2", "core-3", "core-5")
				c.check()
			}
		},
		Entry("when it has resigned before", func(m *machine) {
			ended := false
			m.engine.Do(func() { m.engine.Resign(func() { ended = true }) })
			m.wakeAt = m.cluster.now()
			Expect(m.cluster.until(3*time.Second, func() bool { return ended })).To(BeTrue(), fmt.Sprint(m.name))
			m.kill()
		}),
		Entry("when it was killed", func(m *machine) { m.kill() }),
	)
})

package replica

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Engine", func() {
	It("elects leaders and commits in every group", func() {
		c := newCluster(1, 5)
		c.startFirst(3)
		c.awaitLeaders()
		for id := range GroupID(5) {
			c.commit(id, 3, 10)
		}
		c.converge()
	})

	It("takes in machines beyond the seeds and learns all names", func() {
		c := newCluster(2, 5)
		c.startFirst(5)
		c.awaitVoters("core-1", "core-2", "core-3", "core-4", "core-5")
		GinkgoWriter.Println("settled at", c.now())
		c.run(20 * time.Second)
		leaders := map[*machine]bool{}
		for id := range GroupID(5) {
			leaders[c.leader(id)] = true
		}
		Expect(leaders).To(HaveLen(5), "each leads one group")
	})
})

package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("compaction", func() {
	ginkgo.It("keeps every entry that Output has not returned as committed", func() {
		g := newGroup(memberList(1, 2, 3)...)
		leader := g.elect(1)
		g.drop = fromOrTo(1)
		g.propose(leader, "a")
		g.deliverAll()
		leader.Compact(99)
		Expect(leader.Status().FirstIndex).To(Equal(leader.Status().Commit + 1))
		Expect(leader.Status().LastIndex).To(Equal(leader.Status().Commit + 1))
	})
})

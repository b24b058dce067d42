package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("the largest value that a majority has reached",
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

var _ = ginkgo.DescribeTable("who is a quorum while voter 4 replaces voter 3",
	func(expected bool, ids ...MemberID) {
		said := voteTally{granted: ids}
		Expect(HasQuorum(threeToFour(), said.grantedBy)).To(Equal(expected))
	},
	ginkgo.Entry("both voters of both configurations", true, MemberID(1), MemberID(2)),
	ginkgo.Entry("one voter of both configurations, the removed and the added one", true, MemberID(1), MemberID(3), MemberID(4)),
	ginkgo.Entry("all", true, MemberID(1), MemberID(2), MemberID(3), MemberID(4)),
	ginkgo.Entry("a majority of the outgoing voters only", false, MemberID(1), MemberID(3)),
	ginkgo.Entry("a majority of the incoming voters only", false, MemberID(2), MemberID(4)),
	ginkgo.Entry("the removed and the added voter", false, MemberID(3), MemberID(4)),
	ginkgo.Entry("one voter of both configurations, and two that are no members", false, MemberID(1), MemberID(8), MemberID(9)),
	ginkgo.Entry("nobody", false),
)

package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("the largest value that a majority reaches",
	func(expected uint64, values ...uint64) {
		Expect(reachedByMajority(values)).To(Equal(expected))
	},
	ginkgo.Entry("is 0 without values", uint64(0)),
	ginkgo.Entry("is the only value", uint64(7), uint64(7)),
	ginkgo.Entry("is the smaller of two values", uint64(3), uint64(7), uint64(3)),
	ginkgo.Entry("is the second largest of three values", uint64(5), uint64(5), uint64(9), uint64(1)),
	ginkgo.Entry("is the third largest of four values", uint64(2), uint64(9), uint64(2), uint64(8), uint64(1)),
	ginkgo.Entry("is the third largest of five values", uint64(4), uint64(1), uint64(9), uint64(4), uint64(2), uint64(8)),
)

var _ = ginkgo.DescribeTable("while voter 4 replaces voter 3,",
	func(expected bool, ids ...MemberID) {
		tally := voteTally{granted: ids}
		Expect(HasQuorum(jointReplacing3By4(), tally.grantedBy)).To(Equal(expected))
	},
	ginkgo.Entry("both voters of both configurations are a quorum", true, MemberID(1), MemberID(2)),
	ginkgo.Entry("one voter of both configurations with the removed and the added voter are a quorum", true, MemberID(1), MemberID(3), MemberID(4)),
	ginkgo.Entry("all voters are a quorum", true, MemberID(1), MemberID(2), MemberID(3), MemberID(4)),
	ginkgo.Entry("a majority of the outgoing configuration only is no quorum", false, MemberID(1), MemberID(3)),
	ginkgo.Entry("a majority of the incoming configuration only is no quorum", false, MemberID(2), MemberID(4)),
	ginkgo.Entry("the removed and the added voter are no quorum", false, MemberID(3), MemberID(4)),
	ginkgo.Entry("one voter of both configurations with two that are no members are no quorum", false, MemberID(1), MemberID(8), MemberID(9)),
	ginkgo.Entry("no voters are no quorum", false),
)

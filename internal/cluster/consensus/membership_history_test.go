package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("the membership as of an index",
	func(index uint64, ids ...MemberID) {
		history := membershipHistory{
			{index: 2, members: memberList(1)},
			{index: 5, members: memberList(1, 2)},
			{index: 9, members: memberList(1, 2, 3)},
		}
		Expect(history.at(index)).To(Equal(memberList(ids...)))
	},
	ginkgo.Entry("before all", uint64(1)),
	ginkgo.Entry("at a change", uint64(5), MemberID(1), MemberID(2)),
	ginkgo.Entry("between", uint64(8), MemberID(1), MemberID(2)),
	ginkgo.Entry("after all", uint64(20), MemberID(1), MemberID(2), MemberID(3)),
)

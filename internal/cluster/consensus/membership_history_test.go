package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("the membership as of an index is",
	func(index uint64, ids ...MemberID) {
		history := membershipHistory{
			{index: 2, members: memberList(1)},
			{index: 5, members: memberList(1, 2)},
			{index: 9, members: memberList(1, 2, 3)},
		}
		Expect(history.at(index)).To(Equal(memberList(ids...)))
	},
	ginkgo.Entry("unknown before the first membership", uint64(1)),
	ginkgo.Entry("the one that a change at the index introduced", uint64(5), MemberID(1), MemberID(2)),
	ginkgo.Entry("the one before the index if that is between two changes", uint64(8), MemberID(1), MemberID(2)),
	ginkgo.Entry("the newest one if the index is after all changes", uint64(20), MemberID(1), MemberID(2), MemberID(3)),
)

package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// logOf returns a log after a base of term 1.
func logOf(base uint64, terms ...uint64) *entryLog {
	made := &entryLog{base: base, baseTerm: 1, lastOutput: base}
	made.entries = entriesOf(base+1, terms...)
	return made
}

var _ = ginkgo.DescribeTable("the term at an index",
	func(index, term uint64, known bool) {
		held, found := logOf(5, 1, 2, 2).term(index)
		Expect(found).To(Equal(known))
		Expect(held).To(Equal(term))
	},
	ginkgo.Entry("compacted away", uint64(4), uint64(0), false),
	ginkgo.Entry("last of the compacted", uint64(5), uint64(1), true),
	ginkgo.Entry("first held", uint64(6), uint64(1), true),
	ginkgo.Entry("last", uint64(8), uint64(2), true),
	ginkgo.Entry("beyond", uint64(9), uint64(0), false),
)

var _ = ginkgo.DescribeTable("how many entries travel together",
	func(after uint64, maxBytes, count int) {
		made := logOf(5, 1, 1, 1)
		for position := range made.entries {
			made.entries[position].Data = make([]byte, 100-entryOverheadBytes)
		}
		Expect(made.batch(after, made.last(), maxBytes)).To(HaveLen(count))
	},
	ginkgo.Entry("all that fit", uint64(5), 200, 2),
	ginkgo.Entry("at least one", uint64(5), 10, 1),
	ginkgo.Entry("all there are", uint64(6), 1000, 2),
	ginkgo.Entry("none", uint64(8), 1000, 0),
)

var _ = ginkgo.DescribeTable("where logs may still agree",
	func(from, term, index uint64) {
		Expect(logOf(5, 2, 2, 4, 4).findAgreement(from, term)).To(Equal(index))
	},
	ginkgo.Entry("the same term", uint64(8), uint64(4), uint64(8)),
	ginkgo.Entry("an earlier term", uint64(9), uint64(3), uint64(7)),
	ginkgo.Entry("before all", uint64(9), uint64(1), uint64(5)),
	ginkgo.Entry("beyond the end", uint64(20), uint64(9), uint64(9)),
)

var _ = ginkgo.Describe("the log", func() {
	ginkgo.It("never overwrites what it has given out", func() {
		made := logOf(0, 1, 1, 1)
		given := made.between(0, 3)
		made.lastOutput = 3
		made.truncateAndAppend(entriesOf(2, 5, 5, 5))
		Expect(given).To(Equal(entriesOf(1, 1, 1, 1)))
		Expect(made.entries).To(Equal(entriesOf(1, 1, 5, 5, 5)))
		Expect(made.lastOutput).To(Equal(uint64(1)))
	})

	ginkgo.It("keeps the term before what was compacted", func() {
		made := logOf(0, 1, 2, 3)
		made.compact(2)
		Expect(made.matches(2, 2)).To(BeTrue())
		Expect(made.entries).To(Equal(entriesOf(3, 3)))
		made.compact(1)
		made.compact(9)
		Expect(made.base).To(Equal(uint64(2)))
	})
})

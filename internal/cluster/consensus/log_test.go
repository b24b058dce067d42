package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// logOf returns a log after a base of term 1.
func logOf(base uint64, terms ...uint64) *entryLog {
	l := &entryLog{base: base, baseTerm: 1, lastOutput: base}
	l.entries = entriesOf(base+1, terms...)
	return l
}

var _ = ginkgo.DescribeTable("the term at an index",
	func(index, term uint64, known bool) {
		foundTerm, found := logOf(5, 1, 2, 2).term(index)
		Expect(found).To(Equal(known))
		Expect(foundTerm).To(Equal(term))
	},
	ginkgo.Entry("of a compacted entry", uint64(4), uint64(0), false),
	ginkgo.Entry("of the last compacted entry", uint64(5), uint64(1), true),
	ginkgo.Entry("of the first entry", uint64(6), uint64(1), true),
	ginkgo.Entry("of the last entry", uint64(8), uint64(2), true),
	ginkgo.Entry("after the last entry", uint64(9), uint64(0), false),
)

var _ = ginkgo.DescribeTable("how many entries are sent in one append",
	func(after uint64, maxBytes, count int) {
		l := logOf(5, 1, 1, 1)
		for position := range l.entries {
			l.entries[position].Data = make([]byte, 100-entryOverheadBytes)
		}
		Expect(l.batch(after, l.last(), maxBytes)).To(HaveLen(count))
	},
	ginkgo.Entry("all that fit", uint64(5), 200, 2),
	ginkgo.Entry("at least one", uint64(5), 10, 1),
	ginkgo.Entry("all there are", uint64(6), 1000, 2),
	ginkgo.Entry("none", uint64(8), 1000, 0),
)

var _ = ginkgo.DescribeTable("the newest index at which logs may agree",
	func(from, term, index uint64) {
		Expect(logOf(5, 2, 2, 4, 4).findAgreement(from, term)).To(Equal(index))
	},
	ginkgo.Entry("the same term", uint64(8), uint64(4), uint64(8)),
	ginkgo.Entry("an earlier term", uint64(9), uint64(3), uint64(7)),
	ginkgo.Entry("before all", uint64(9), uint64(1), uint64(5)),
	ginkgo.Entry("beyond the end", uint64(20), uint64(9), uint64(9)),
)

var _ = ginkgo.Describe("the log", func() {
	ginkgo.It("never overwrites entries that it has returned", func() {
		l := logOf(0, 1, 1, 1)
		given := l.between(0, 3)
		l.lastOutput = 3
		l.truncateAndAppend(entriesOf(2, 5, 5, 5))
		Expect(given).To(Equal(entriesOf(1, 1, 1, 1)))
		Expect(l.entries).To(Equal(entriesOf(1, 1, 5, 5, 5)))
		Expect(l.lastOutput).To(Equal(uint64(1)))
	})

	ginkgo.It("keeps the term of the last compacted entry", func() {
		l := logOf(0, 1, 2, 3)
		l.compact(2)
		Expect(l.matches(2, 2)).To(BeTrue())
		Expect(l.entries).To(Equal(entriesOf(3, 3)))
		l.compact(1)
		l.compact(9)
		Expect(l.base).To(Equal(uint64(2)))
	})
})

package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// logOf returns a log with entries of these terms after base. The term of base is 1.
func logOf(base uint64, terms ...uint64) *entryLog {
	l := &entryLog{base: base, baseTerm: 1, lastOutput: base}
	l.entries = entriesOf(base+1, terms...)
	return l
}

var _ = ginkgo.DescribeTable("a log with its base at index 5 and entries 6 to 8",
	func(index, term uint64, known bool) {
		foundTerm, found := logOf(5, 1, 2, 2).term(index)
		Expect(found).To(Equal(known))
		Expect(foundTerm).To(Equal(term))
	},
	ginkgo.Entry("does not have the term of a compacted entry", uint64(4), uint64(0), false),
	ginkgo.Entry("has the term of the last compacted entry", uint64(5), uint64(1), true),
	ginkgo.Entry("has the term of the first entry", uint64(6), uint64(1), true),
	ginkgo.Entry("has the term of the last entry", uint64(8), uint64(2), true),
	ginkgo.Entry("has no term after the last entry", uint64(9), uint64(0), false),
)

var _ = ginkgo.DescribeTable("one append contains",
	func(after uint64, maxBytes, count int) {
		l := logOf(5, 1, 1, 1)
		for position := range l.entries {
			l.entries[position].Data = make([]byte, 100-entryOverheadBytes)
		}
		Expect(l.batch(after, l.last(), maxBytes)).To(HaveLen(count))
	},
	ginkgo.Entry("as many entries as fit into its maximum size", uint64(5), 200, 2),
	ginkgo.Entry("one entry even if that exceeds its maximum size", uint64(5), 10, 1),
	ginkgo.Entry("all remaining entries if they fit", uint64(6), 1000, 2),
	ginkgo.Entry("no entries if none remain", uint64(8), 1000, 0),
)

var _ = ginkgo.DescribeTable("the newest index at which logs may agree is",
	func(from, term, index uint64) {
		Expect(logOf(5, 2, 2, 4, 4).findAgreement(from, term)).To(Equal(index))
	},
	ginkgo.Entry("the given one if both logs have the same term there", uint64(8), uint64(4), uint64(8)),
	ginkgo.Entry("the last one of an earlier term if this log does not have the given term", uint64(9), uint64(3), uint64(7)),
	ginkgo.Entry("the base if all entries of this log have later terms", uint64(9), uint64(1), uint64(5)),
	ginkgo.Entry("the last one if this log ends before the given one", uint64(20), uint64(9), uint64(9)),
)

var _ = ginkgo.Describe("the log", func() {
	ginkgo.It("never overwrites entries that it has returned before", func() {
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

package transport

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Liveness", func() {
	type probe struct {
		waiting bool
		heard   uint64
		verdict verdict
	}
	DescribeTable("judges",
		func(probes ...probe) {
			var l liveness
			for i, p := range probes {
				Expect(l.probe(p.waiting, p.heard)).To(Equal(p.verdict), "probe %d", i)
			}
		},
		Entry("nothing out", probe{false, 0, verdictCalm}, probe{false, 5, verdictCalm}),
		Entry("silence from the start", probe{true, 0, verdictGood}, probe{true, 0, verdictPing},
			probe{true, 0, verdictPing}, probe{true, 0, verdictCut}),
		Entry("answers to pings", probe{true, 0, verdictGood}, probe{true, 0, verdictPing}, probe{true, 1, verdictGood},
			probe{true, 1, verdictPing}, probe{true, 2, verdictGood}, probe{true, 2, verdictPing}),
		Entry("silence after a while", probe{true, 7, verdictGood}, probe{true, 9, verdictGood},
			probe{true, 9, verdictPing}, probe{true, 9, verdictPing}, probe{true, 9, verdictCut}),
		Entry("silence that is forgotten when nothing is out", probe{true, 1, verdictGood}, probe{true, 1, verdictPing},
			probe{false, 1, verdictCalm}, probe{true, 1, verdictGood}, probe{true, 1, verdictPing}),
	)
})

package transport

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Liveness", func() {
	type probe struct {
		pending bool
		reads   uint64
		verdict verdict
	}
	DescribeTable("judges",
		func(probes ...probe) {
			var l liveness
			for i, p := range probes {
				Expect(l.probe(p.pending, p.reads)).To(Equal(p.verdict), "probe %d", i)
			}
		},
		Entry("no call pending", probe{false, 0, verdictIdle}, probe{false, 5, verdictIdle}),
		Entry("no read from the start", probe{true, 0, verdictAlive}, probe{true, 0, verdictPing},
			probe{true, 0, verdictPing}, probe{true, 0, verdictDead}),
		Entry("answers to pings", probe{true, 0, verdictAlive}, probe{true, 0, verdictPing}, probe{true, 1, verdictAlive},
			probe{true, 1, verdictPing}, probe{true, 2, verdictAlive}, probe{true, 2, verdictPing}),
		Entry("no read after a while", probe{true, 7, verdictAlive}, probe{true, 9, verdictAlive},
			probe{true, 9, verdictPing}, probe{true, 9, verdictPing}, probe{true, 9, verdictDead}),
		Entry("a missing read that is forgotten when no call is pending", probe{true, 1, verdictAlive}, probe{true, 1, verdictPing},
			probe{false, 1, verdictIdle}, probe{true, 1, verdictAlive}, probe{true, 1, verdictPing}),
	)
})

package transport

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The liveness of a connection", func() {
	type probe struct {
		pending bool
		reads   uint64
		verdict verdict
	}
	DescribeTable("is judged from the reads between probes",
		func(probes ...probe) {
			var l liveness
			for i, p := range probes {
				Expect(l.probe(p.pending, p.reads)).To(Equal(p.verdict), "probe %d", i)
			}
		},
		Entry("as idle while no call is pending", probe{false, 0, verdictIdle}, probe{false, 5, verdictIdle}),
		Entry("as dead after three intervals without a read", probe{true, 0, verdictAlive}, probe{true, 0, verdictPing},
			probe{true, 0, verdictPing}, probe{true, 0, verdictDead}),
		Entry("as alive while pings are answered", probe{true, 0, verdictAlive}, probe{true, 0, verdictPing},
			probe{true, 1, verdictAlive},
			probe{true, 1, verdictPing}, probe{true, 2, verdictAlive}, probe{true, 2, verdictPing}),
		Entry("as dead after earlier reads", probe{true, 7, verdictAlive}, probe{true, 9, verdictAlive},
			probe{true, 9, verdictPing}, probe{true, 9, verdictPing}, probe{true, 9, verdictDead}),
		Entry("without earlier intervals once no call was pending", probe{true, 1, verdictAlive}, probe{true, 1, verdictPing},
			probe{false, 1, verdictIdle}, probe{true, 1, verdictAlive}, probe{true, 1, verdictPing}),
	)
})

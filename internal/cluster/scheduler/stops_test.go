package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("A run on a runner that drains", func(percents []float64, remaining time.Duration, wantStop bool) {
	w := newWorld()
	w.submit("00000000000000a1", protocol.Step{Count: 1, CPU: 500, MemoryMB: 100, EstimatedMs: 10_000})
	started := w.orders(heartbeatOf("i1", 1)).Start
	Expect(started).To(HaveLen(1))
	report := func(sequence int, percent float64) *protocol.Heartbeat {
		heartbeat := heartbeatOf("i1", uint64(sequence))
		heartbeat.Active = activeRuns(started)
		heartbeat.Active[0].Percent = percent
		return heartbeat
	}
	for i, percent := range percents {
		w.orders(report(2+i, percent))
		w.pass(time.Second - 10*time.Millisecond)
	}
	draining := report(10, percents[len(percents)-1])
	draining.State, draining.RemainingMs = protocol.RunnerDraining, remaining.Milliseconds()
	Expect(w.orders(draining).Stop).To(HaveLen(map[bool]int{true: 1}[wantStop]))
},
	Entry("continues if its predicted runtime ends before the runner does", []float64{0, 5}, 11*time.Second, false),
	Entry("is stopped if its predicted runtime ends after the runner does", []float64{0, 5}, 9*time.Second, true),
	Entry("is stopped if its predicted runtime ends too late to be reported", []float64{0, 5}, 9700*time.Millisecond, true),
	Entry("is stopped if its progress shows that it ends after the runner does", []float64{0, 5, 10, 15, 20}, 11*time.Second, true),
	Entry("continues if its progress shows that it ends before the runner does", []float64{0, 20, 40, 60}, 4*time.Second, false),
	Entry("is stopped if its progress shows that it ends too late to be reported", []float64{0, 20, 40, 60}, 3*time.Second, true),
)

package runner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/localcluster/runner"
	"ospreypond/internal/cluster/protocol"
)

const second = time.Second

// newCore returns a core without runs, with a heartbeat interval of 1.5 s and a maximal lease of 6 s.
func newCore() *runner.Core {
	return runner.NewCore(runner.Options{
		Instance: "i-1", Service: "s", Interval: 1500 * time.Millisecond, MaxLease: 6 * second,
		Capacity: protocol.Resources{CPU: 1000}, Labels: []string{"k"},
	})
}

// startedCore returns a core that got a lease and the order to start run 1 of task "t" at 1 s.
func startedCore(spec string, lease time.Duration) *runner.Core {
	core := newCore()
	core.Report(second)
	core.Apply(second, second, &protocol.Orders{
		HoldMs: lease.Milliseconds(), FenceToken: 3,
		Start: []protocol.StartOrder{{Task: "t", Run: 1, Spec: spec}},
	})
	return core
}

// endsOf returns the ended runs of a heartbeat, each as a text of its number, task, run and kind of end.
func endsOf(heartbeat *protocol.Heartbeat) []string {
	ends := []string{}
	for _, end := range heartbeat.Finished {
		ends = append(ends, fmt.Sprint(end.N, " ", end.Task, " ", end.Run, " ", end.How))
	}
	return ends
}

var _ = DescribeTable("a task ends as its spec says:",
	func(spec string, at time.Duration, how string) {
		core := startedCore(spec, 6*second)
		if how == "" {
			Expect(core.Report(second + 5*second).Active).To(HaveLen(1))
			return
		}
		Expect(core.Report(second + at - time.Millisecond).Finished).To(BeEmpty())
		Expect(endsOf(core.Report(second + at))).To(Equal([]string{"1 t 1 " + how}))
	},
	Entry(nil, "sleep 2s", 2*second, protocol.EndDone),
	Entry(nil, "sleep", 300*time.Millisecond, protocol.EndDone),
	Entry(nil, "sleep long", 300*time.Millisecond, protocol.EndDone),
	Entry(nil, "sleep -2s", 300*time.Millisecond, protocol.EndDone),
	Entry(nil, "fail 1s", second, protocol.EndFailed),
	Entry(nil, "", 300*time.Millisecond, protocol.EndDone),
	Entry(nil, "anything at all", 300*time.Millisecond, protocol.EndDone),
	Entry(nil, "last", 0*second, ""),
)

var _ = Describe("a stand-in runner", func() {
	It("reports its service and state, with a sequence number that rises with each heartbeat", func() {
		core := newCore()
		first, next := core.Report(0), core.Report(second)
		Expect(first.Service).To(Equal("s"))
		Expect(first.State).To(Equal(protocol.RunnerReady))
		Expect(next.Sequence).To(BeNumerically(">", first.Sequence))
		core.Drain()
		Expect(core.Report(2 * second).State).To(Equal(protocol.RunnerDraining))
	})

	It("reports the progress of an active run", func() {
		core := startedCore("sleep 4s", 6*second)
		Expect(core.Report(3 * second).Active).To(Equal([]protocol.ActiveRun{{Task: "t", Run: 1, Percent: 50}}))
	})

	It("ends all runs when the lease expires, which starts when the heartbeat was sent", func() {
		core := newCore()
		core.Apply(second, 500*time.Millisecond, &protocol.Orders{HoldMs: 1000,
			Start: []protocol.StartOrder{{Task: "t", Run: 1, Spec: "last"}}})
		Expect(core.Report(1499 * time.Millisecond).Active).To(HaveLen(1))
		Expect(endsOf(core.Report(1500 * time.Millisecond))).To(Equal([]string{"1 t 1 lapsed"}))
	})

	It("accepts no lease longer than its maximum, and never shortens a lease", func() {
		core := startedCore("last", time.Hour)
		core.Apply(second, second, &protocol.Orders{HoldMs: 1, FenceToken: 3})
		Expect(core.Report(6900 * time.Millisecond).Active).To(HaveLen(1))
		Expect(core.Report(7 * second).Active).To(BeEmpty())
	})

	It("starts no run without a lease, or with one that has expired", func() {
		core := newCore()
		core.Apply(second, second, &protocol.Orders{Start: []protocol.StartOrder{{Task: "t", Run: 1}}})
		Expect(core.Busy()).To(BeFalse())
		core.Apply(9*second, second, &protocol.Orders{HoldMs: 1000, Start: []protocol.StartOrder{{Task: "t", Run: 1}}})
		Expect(core.Busy()).To(BeFalse())
	})

	It("ignores orders with a lower fencing token", func() {
		core := startedCore("last", 6*second)
		core.Apply(2*second, 2*second, &protocol.Orders{FenceToken: 2, HoldMs: 6000, Stop: []protocol.StopOrder{{Task: "t", Run: 1}}})
		Expect(core.Report(2 * second).Active).To(HaveLen(1))
		core.Apply(2*second, 2*second, &protocol.Orders{FenceToken: 4, Stop: []protocol.StopOrder{{Task: "t", Run: 1}}})
		Expect(endsOf(core.Report(2 * second))).To(Equal([]string{"1 t 1 stopped"}))
	})

	It("starts a run once, and never starts a run that is not above a stopped or ended run of its task", func() {
		core := startedCore("sleep 1s", 6*second)
		repeated := &protocol.Orders{HoldMs: 6000, FenceToken: 3, Start: []protocol.StartOrder{{Task: "t", Run: 1}}}
		core.Apply(second, second, repeated)
		Expect(core.Report(1500 * time.Millisecond).Active).To(HaveLen(1))
		Expect(core.Report(2 * second).Finished).To(HaveLen(1))
		core.Apply(2*second, 2*second, repeated)
		Expect(endsOf(core.Report(2 * second))).To(Equal([]string{"1 t 1 done", "2 t 1 refused"}))
		core.Apply(3*second, 3*second, &protocol.Orders{HoldMs: 6000, FenceToken: 3,
			Stop:  []protocol.StopOrder{{Task: "u", Run: 4}},
			Start: []protocol.StartOrder{{Task: "u", Run: 4}, {Task: "u", Run: 5}}})
		Expect(core.Report(3 * second).Active).To(ConsistOf(HaveField("Run", uint64(5))))
	})

	It("reports at most 500 ended runs in a heartbeat, and repeats them until they are recorded", func() {
		core := newCore()
		orders := &protocol.Orders{HoldMs: 6000}
		for i := range 600 {
			orders.Start = append(orders.Start, protocol.StartOrder{Task: fmt.Sprint("t", i), Run: 1, Spec: "sleep 1s"})
		}
		core.Apply(second, second, orders)
		Expect(core.Report(2 * second).Finished).To(HaveLen(500))
		core.Apply(2*second, 2*second, &protocol.Orders{LastSeen: 450})
		remaining := core.Report(2 * second).Finished
		Expect(remaining).To(HaveLen(150))
		Expect(remaining[0].N).To(Equal(uint64(451)))
	})

	It("sends the next heartbeat after the usual interval, after an ordered delay, soon after the end of a run, or after a backoff", func() {
		core := newCore()
		core.Apply(second, second, &protocol.Orders{})
		Expect(core.NextHeartbeat()).To(Equal(2500 * time.Millisecond))
		core = startedCore("sleep 1s", 6*second)
		core.Apply(second, second, &protocol.Orders{RetryDelayMs: 5000, FenceToken: 3})
		end, ok := core.NextEnd()
		Expect(ok).To(BeTrue())
		Expect(end).To(Equal(2 * second))
		core.Advance(2 * second)
		Expect(core.NextHeartbeat()).To(Equal(2050 * time.Millisecond))
		core.HeartbeatFailed(3*second, 200*time.Millisecond)
		Expect(core.NextHeartbeat()).To(Equal(3200 * time.Millisecond))
	})
})

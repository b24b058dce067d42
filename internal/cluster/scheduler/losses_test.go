package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("a start that a runner rejects", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// rejectFirstStart submits a job, and sends a heartbeat that rejects its start, after it has changed that by change.
	rejectFirstStart := func(change func(heartbeat *protocol.Heartbeat)) *protocol.Orders {
		w.submit(id, small())
		first := w.orders(heartbeatOf("i1", 1))
		next := heartbeatOf("i1", 2)
		next.Rejected = activeRuns(first.Start)
		change(next)
		orders := w.orders(next)
		return orders
	}

	It("is declared lost, and its task is started again as another run", func() {
		orders := rejectFirstStart(func(*protocol.Heartbeat) {})
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(2)))
		Expect(w.owner.Counters().Losses).To(Equal(uint64(1)))
	})

	It("is not declared lost if the runner lists the run as active", func() {
		orders := rejectFirstStart(func(heartbeat *protocol.Heartbeat) { heartbeat.Active = heartbeat.Rejected })
		Expect(orders.Start).To(BeEmpty())
		Expect(orders.Stop).To(BeEmpty())
	})

	It("is not declared lost if the run has ended", func() {
		rejectFirstStart(func(heartbeat *protocol.Heartbeat) {
			heartbeat.Finished = []protocol.FinishedRun{{N: 1, Task: heartbeat.Rejected[0].Task, Run: 1, How: protocol.EndDone}}
		})
		state, _ := w.state.StateOf(id)
		Expect(string(state)).To(Equal(protocol.JobCompleted))
		Expect(w.owner.Counters().Losses).To(BeZero())
	})

	It("is not declared lost while the heartbeat may omit ends of runs", func() {
		orders := rejectFirstStart(func(heartbeat *protocol.Heartbeat) {
			for n := range 500 {
				heartbeat.Finished = append(heartbeat.Finished, protocol.FinishedRun{N: uint64(n + 1), Task: "00000000000000bb.0.0.0", Run: 1, How: protocol.EndStopped})
			}
		})
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(1)))
	})

	It("is not declared lost if another run of its task is rejected", func() {
		orders := rejectFirstStart(func(heartbeat *protocol.Heartbeat) { heartbeat.Rejected[0].Run = 7 })
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(1)))
	})
})

var _ = Describe("a start on a runner that its agent calls", func() {
	// If an agent is killed right after it has sent a start, no other agent knows of the start, and the runner may still
	// read it at any later time.
	var w *world
	calledHeartbeat := func(sequence uint64) *protocol.Heartbeat {
		heartbeat := heartbeatOf("i1", sequence)
		heartbeat.Called = true
		return heartbeat
	}
	BeforeEach(func() { w = newWorld() })

	DescribeTable("that is withdrawn before the runner lists the run is declared lost only after the runner has rejected it",
		func(withdrawn func(heartbeat *protocol.Heartbeat)) {
			w.submit(id, small())
			first := w.orders(calledHeartbeat(1))
			Expect(first.Start).To(HaveLen(1))
			next := calledHeartbeat(2)
			withdrawn(next)
			orders := w.orders(next)
			Expect(orders.Start).To(BeEmpty())
			Expect(orders.Stop).To(HaveLen(1))
			elsewhere := w.orders(heartbeatOf("i2", 1))
			Expect(elsewhere.Start).To(BeEmpty())
			Expect(w.owner.Counters().Losses).To(BeZero())
			again := calledHeartbeat(3) // from another agent, which knows of neither the start nor the stop
			withdrawn(again)
			orders = w.orders(again)
			Expect(orders.Stop).To(HaveLen(1))

			refused := calledHeartbeat(4)
			withdrawn(refused)
			refused.Rejected = activeRuns(first.Start)
			orders = w.orders(refused)
			Expect(orders.Stop).To(BeEmpty())
			Expect(w.owner.Counters().Losses).To(Equal(uint64(1)))
		},
		Entry("because the runner drains", func(heartbeat *protocol.Heartbeat) { heartbeat.State = protocol.RunnerDraining }),
		Entry("because the start is overdue", func(*protocol.Heartbeat) { w.pass(5 * time.Second) }),
		Entry("because its job is cancelled", func(*protocol.Heartbeat) {
			w.owner.Cancel(w.now, id, func(error) {})
			w.commitAll()
		}),
	)

	It("uses capacity until the runner has rejected it", func() {
		w.submit(id, protocol.Step{Count: 1, CPU: 16000, MemoryMB: 10, EstimatedMs: 500})
		w.orders(calledHeartbeat(1))
		w.owner.Cancel(w.now, id, func(error) {})
		w.commitAll()
		w.submit("00000000000000bb", small())
		orders := w.orders(calledHeartbeat(2))
		Expect(orders.Stop).To(HaveLen(1))
		Expect(orders.Start).To(BeEmpty())
	})
})

var _ = Describe("a request for the fencing token", func() {
	It("is answered with the token alone and does not change the record of the runner", func() {
		w := newWorld()
		w.submit(id, small())
		first := w.orders(heartbeatOf("i1", 1))
		Expect(first.Start).To(HaveLen(1))
		orders := w.orders(&protocol.Heartbeat{Instance: "i1", Service: service, FenceOnly: true})
		Expect(*orders).To(Equal(protocol.Orders{FenceToken: 7}))
		again := w.orders(heartbeatOf("i1", 2))
		Expect(again.Start).To(Equal(first.Start))
	})

	It("is answered with an error if the leadership was not confirmed recently", func() {
		w := newWorld()
		w.pass(0)
		w.passUnconfirmed(2 * time.Second)
		_, err := w.heartbeat(&protocol.Heartbeat{Instance: "i1", Service: service, FenceOnly: true})
		Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
	})
})

package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("a start that a runner certainly never carries out", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// rejecting is the heartbeat after the first start, which rejects it, changed by change.
	rejecting := func(change func(beat *protocol.Heartbeat)) *protocol.Orders {
		w.submit(id, small())
		first, err := w.beat(beatOf("i1", 1))
		Expect(err).NotTo(HaveOccurred())
		next := beatOf("i1", 2)
		next.Rejected = active(first.Start)
		change(next)
		orders, err := w.beat(next)
		Expect(err).NotTo(HaveOccurred())
		return orders
	}

	It("is given up and made again under another number", func() {
		orders := rejecting(func(*protocol.Heartbeat) {})
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(2)))
		Expect(w.owner.Counters().Losses).To(Equal(uint64(1)))
	})

	It("is not given up if the runner lists it", func() {
		orders := rejecting(func(beat *protocol.Heartbeat) { beat.Active = beat.Rejected })
		Expect(orders.Start).To(BeEmpty())
		Expect(orders.Stop).To(BeEmpty())
	})

	It("is not given up if it has ended", func() {
		rejecting(func(beat *protocol.Heartbeat) {
			beat.Finished = []protocol.FinishedRun{{N: 1, Task: beat.Rejected[0].Task, Run: 1, How: protocol.EndDone}}
		})
		state, _ := w.state.StateOf(id)
		Expect(state).To(Equal(protocol.JobCompleted))
		Expect(w.owner.Counters().Losses).To(BeZero())
	})

	It("is not given up while ends may be missing from the heartbeat", func() {
		orders := rejecting(func(beat *protocol.Heartbeat) {
			for n := range 500 {
				beat.Finished = append(beat.Finished, protocol.FinishedRun{N: uint64(n + 1), Task: "00000000000000bb.0.0.0", Run: 1, How: protocol.EndStopped})
			}
		})
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(1)))
	})

	It("is not given up for what another run of the task had", func() {
		orders := rejecting(func(beat *protocol.Heartbeat) { beat.Rejected[0].Run = 7 })
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(1)))
	})
})

var _ = Describe("a start to a runner that is called", func() {
	// An agent that is killed right after it has sent a start leaves no word of it, and the runner may read it any time later.
	var w *world
	calledBeat := func(sequence uint64) *protocol.Heartbeat {
		beat := beatOf("i1", sequence)
		beat.Called = true
		return beat
	}
	BeforeEach(func() { w = newWorld() })

	DescribeTable("that is withdrawn before the runner lists it is given up only once the runner has refused it",
		func(withdrawn func(beat *protocol.Heartbeat)) {
			w.submit(id, small())
			first, _ := w.beat(calledBeat(1))
			Expect(first.Start).To(HaveLen(1))
			next := calledBeat(2)
			withdrawn(next)
			orders, _ := w.beat(next)
			Expect(orders.Start).To(BeEmpty())
			Expect(orders.Stop).To(HaveLen(1))
			elsewhere, _ := w.beat(beatOf("i2", 1))
			Expect(elsewhere.Start).To(BeEmpty())
			Expect(w.owner.Counters().Losses).To(BeZero())
			again := calledBeat(3) // of yet another agent, which has heard of neither start nor stop
			withdrawn(again)
			orders, _ = w.beat(again)
			Expect(orders.Stop).To(HaveLen(1))

			refused := calledBeat(4)
			withdrawn(refused)
			refused.Rejected = active(first.Start)
			orders, _ = w.beat(refused)
			Expect(orders.Stop).To(BeEmpty())
			Expect(w.owner.Counters().Losses).To(Equal(uint64(1)))
		},
		Entry("since the runner drains", func(beat *protocol.Heartbeat) { beat.State = protocol.RunnerDraining }),
		Entry("since it comes late", func(*protocol.Heartbeat) { w.pass(5 * time.Second) }),
		Entry("since its job is cancelled", func(*protocol.Heartbeat) {
			w.owner.Cancel(w.now, id, func(error) {})
			w.settle()
		}),
	)

	It("keeps its room until then", func() {
		w.submit(id, protocol.Step{Count: 1, CPU: 16000, MemoryMB: 10, EstimatedMs: 500})
		w.beat(calledBeat(1))
		w.owner.Cancel(w.now, id, func(error) {})
		w.settle()
		w.submit("00000000000000bb", small())
		orders, _ := w.beat(calledBeat(2))
		Expect(orders.Stop).To(HaveLen(1))
		Expect(orders.Start).To(BeEmpty())
	})
})

var _ = Describe("a question for the fence token", func() {
	It("is answered by it alone, and says nothing of the runner", func() {
		w := newWorld()
		w.submit(id, small())
		first, _ := w.beat(beatOf("i1", 1))
		Expect(first.Start).To(HaveLen(1))
		orders, err := w.beat(&protocol.Heartbeat{Instance: "i1", Service: service, FenceOnly: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(*orders).To(Equal(protocol.Orders{FenceToken: 7}))
		again, err := w.beat(beatOf("i1", 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Start).To(Equal(first.Start))
	})

	It("is not answered without a confirmation", func() {
		w := newWorld()
		w.pass(0)
		w.passUnconfirmed(2 * time.Second)
		_, err := w.beat(&protocol.Heartbeat{Instance: "i1", Service: service, FenceOnly: true})
		Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
	})
})

package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const id = "00000000000000aa"

var _ = Describe("An owner", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	It("orders a start only after its entry is committed", func() {
		w.submit(id, small())
		w.stalled = true
		orders, err := w.beat(beatOf("i1", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.Start).To(BeEmpty())
		w.stalled = false
		w.commit()
		orders, err = w.beat(beatOf("i1", 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(1)))
		Expect(orders.FenceToken).To(Equal(uint64(7)))
	})

	It("sends an order again until the runner lists the run", func() {
		w.submit(id, small())
		first, _ := w.beat(beatOf("i1", 1))
		second, _ := w.beat(beatOf("i1", 2))
		Expect(second.Start).To(Equal(first.Start))
		listed := beatOf("i1", 3)
		listed.Active = active(first.Start)
		third, _ := w.beat(listed)
		Expect(third.Start).To(BeEmpty())
	})

	It("acknowledges ends only after they are committed", func() {
		w.submit(id, small())
		first, _ := w.beat(beatOf("i1", 1))
		w.stalled = true
		ended := beatOf("i1", 2)
		ended.Finished = []protocol.FinishedRun{{N: 1, Task: first.Start[0].Task, Run: 1, How: protocol.EndDone}}
		orders, _ := w.beat(ended)
		Expect(orders.LastSeen).To(BeZero())
		w.stalled = false
		w.commit()
		ended.Sequence = 3
		orders, _ = w.beat(ended)
		Expect(orders.LastSeen).To(Equal(uint64(1)))
		state, _ := w.state.StateOf(id)
		Expect(state).To(Equal(protocol.JobCompleted))
	})

	It("never orders more than a runner holds, stops included", func() {
		w.submit(id, protocol.Step{Count: 40, CPU: 1000, MemoryMB: 10, EstimatedMs: 500})
		orders, _ := w.beat(beatOf("i1", 1))
		Expect(orders.Start).To(HaveLen(16))
		w.owner.Cancel(w.now, id, func(error) {})
		w.settle()
		w.submit("00000000000000bb", small())
		listed := beatOf("i1", 2)
		listed.Active = active(orders.Start)
		orders, _ = w.beat(listed)
		Expect(orders.Stop).To(HaveLen(16))
		Expect(orders.Start).To(BeEmpty(), "what is being stopped still takes its room")
	})

	It("gives holds that end no later than the newest confirmation and the longest hold", func() {
		w.pass(0)
		w.passUnconfirmed(300 * time.Millisecond)
		orders, err := w.beat(beatOf("i1", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.HoldMs).To(BeNumerically("<=", (hold - 300*time.Millisecond).Milliseconds()))
	})

	It("answers no heartbeat on an old confirmation", func() {
		w.pass(0)
		w.passUnconfirmed(2 * time.Second)
		_, err := w.beat(beatOf("i1", 1))
		Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
	})

	It("starts nothing on a draining runner and takes back what has not arrived", func() {
		w.submit(id, small())
		w.beat(beatOf("i1", 1))
		leaving := beatOf("i1", 2)
		leaving.State = protocol.RunnerDraining
		orders, _ := w.beat(leaving)
		Expect(orders.Start).To(BeEmpty())
		orders, _ = w.beat(beatOf("i2", 1))
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(2)))
	})

	DescribeTable("starts a silent runner's work elsewhere only once no hold may last",
		func(silence time.Duration, started bool) {
			w.submit(id, small())
			first, _ := w.beat(beatOf("i1", 1))
			listed := beatOf("i1", 2)
			listed.Active = active(first.Start)
			w.beat(listed)
			w.pass(silence)
			orders, _ := w.beat(beatOf("i2", 1))
			Expect(len(orders.Start) > 0).To(Equal(started))
		},
		Entry("early", 3*time.Second, false),
		Entry("at the hold's end on an exact clock", hold, false),
		Entry("at the hold's end on a slow clock", hold*102/100, false),
		Entry("after that", hold*104/100+50*time.Millisecond, true),
	)

	It("waits for the holds of the owner before it", func() {
		w.submit(id, small())
		first, _ := w.beat(beatOf("i1", 1))
		w.owner.BecomeFollower()
		w.lead(8)
		w.pass(hold)
		orders, _ := w.beat(beatOf("i2", 1))
		Expect(orders.Start).To(BeEmpty())
		w.pass(hold / 10)
		orders, _ = w.beat(beatOf("i2", 2))
		Expect(orders.Start).To(HaveLen(1))
		Expect(first.Start).To(HaveLen(1))
	})

	It("knows that an incarnation is over once another stands at its address", func() {
		w.submit(id, small())
		w.beat(beatOf("i1", 1))
		again := beatOf("i2", 1)
		again.Address = beatOf("i1", 1).Address
		_, early := w.beat(again)
		Expect(failure.KindOf(early)).To(Equal(failure.Conflict), "it may be older than the other")
		w.pass(time.Second)
		again.Sequence++
		orders, _ := w.beat(again)
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(2)))
		_, err := w.beat(beatOf("i1", 2))
		Expect(failure.KindOf(err)).To(Equal(failure.Gone))
	})

	It("knows from the shard where the incarnations stood that it has never heard of", func() {
		w.submit(id, small())
		w.beat(beatOf("i1", 1))
		w.owner.BecomeFollower()
		w.lead(8)
		again := beatOf("i2", 1)
		again.Address = beatOf("i1", 1).Address
		_, early := w.beat(again)
		Expect(failure.KindOf(early)).To(Equal(failure.Conflict), "it may be older than the other")
		w.pass(time.Second)
		again.Sequence++
		orders, _ := w.beat(again)
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(2)))
	})

	It("does not take the word of a relay that an incarnation has followed another", func() {
		w.submit(id, small())
		w.beat(beatOf("i1", 1))
		w.pass(2 * time.Second)
		again := beatOf("i2", 1)
		again.Address = beatOf("i1", 1).Address
		again.Relayed = true
		_, err := w.beat(again)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
		Expect(w.state.RunsOn("i1")).To(HaveLen(1))
		again.Sequence, again.Relayed = 2, false
		orders, _ := w.beat(again)
		Expect(orders.Start).To(HaveLen(1))
	})

	It("asks for a relayed heartbeat less often", func() {
		w.submit(id, small())
		relayed := beatOf("i1", 1)
		relayed.Relayed = true
		orders, _ := w.beat(relayed)
		Expect(orders.RetryDelayMs).To(Equal(int64(100)))
	})

	It("answers a late heartbeat with an error", func() {
		w.beat(beatOf("i1", 5))
		_, err := w.beat(beatOf("i1", 4))
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
	})

	It("says that a job is unknown only after a confirmation", func() {
		w.pass(0)
		w.now++ // the next turn: their times rise
		var got error
		answered := false
		w.owner.Status(w.now, id, func(_ string, err error) { answered, got = true, err })
		w.passUnconfirmed(10 * time.Millisecond)
		Expect(answered).To(BeFalse())
		w.pass(10 * time.Millisecond)
		Expect(answered).To(BeTrue())
		Expect(failure.KindOf(got)).To(Equal(failure.Gone))
	})

	It("tells a hand-in in doubt from one that was never proposed when leadership ends", func() {
		w.stalled = true
		var first, second error
		w.owner.Submit(w.now, submitOf(id), func(_ bool, err error) { first = err })
		w.settle()
		w.owner.Submit(w.now, submitOf("00000000000000bb"), func(_ bool, err error) { second = err })
		w.owner.BecomeFollower()
		Expect(failure.KindOf(first)).To(Equal(failure.UnknownOutcome))
		Expect(failure.KindOf(second)).To(Equal(failure.NotLeader))
	})

	It("pauses after a command that could not be proposed, whatever is due", func() {
		refused := failure.New(failure.NotLeader, "leadership is being given away")
		w.submit(id, small())
		w.beat(beatOf("i1", 1))
		w.owner.Cancel(w.now, id, func(error) {})
		command := w.owner.NextCommand(w.now)
		Expect(command).NotTo(BeNil())
		w.owner.Failed(w.now, command, refused)
		w.owner.Cancel(w.now, id, func(error) {})
		Expect(w.owner.NextCommand(w.now)).To(BeNil())
		w.now += 100 * time.Millisecond
		Expect(w.owner.NextCommand(w.now)).NotTo(BeNil())
	})

	It("starts a gang's members together with one run", func() {
		w.beat(beatOf("i1", 1))
		w.beat(beatOf("i2", 1))
		w.submit(id, protocol.Step{Count: 2, CPU: 15000, MemoryMB: 100, GPU: 8, EstimatedMs: 500, Gang: true})
		one, _ := w.beat(beatOf("i1", 2))
		two, _ := w.beat(beatOf("i2", 2))
		Expect(one.Start).To(HaveLen(1))
		Expect(two.Start).To(HaveLen(1))
		Expect(one.Start[0].Run).To(Equal(two.Start[0].Run))
	})

	It("stops the members left of a gang of which one has ended", func() {
		w.beat(beatOf("i1", 1))
		w.beat(beatOf("i2", 1))
		w.submit(id, protocol.Step{Count: 2, CPU: 15000, MemoryMB: 100, GPU: 8, EstimatedMs: 500, Gang: true})
		one, _ := w.beat(beatOf("i1", 2))
		two, _ := w.beat(beatOf("i2", 2))
		ended := beatOf("i1", 3)
		ended.Finished = []protocol.FinishedRun{{N: 1, Task: one.Start[0].Task, Run: 1, How: protocol.EndAlone}}
		w.beat(ended)
		left := beatOf("i2", 3)
		left.Active = active(two.Start)
		orders, _ := w.beat(left)
		Expect(orders.Stop).To(HaveLen(1))
		Expect(orders.Start).To(BeEmpty())
	})

	It("stops a run that makes no progress, and goes on elsewhere after its end", func() {
		w.submit(id, small())
		first, _ := w.beat(beatOf("i1", 1))
		var orders *protocol.Orders
		for sequence := uint64(2); sequence < 60; sequence++ {
			listed := beatOf("i1", sequence)
			listed.Active = active(first.Start)
			orders, _ = w.beat(listed)
			if len(orders.Stop) > 0 {
				break
			}
			w.pass(100 * time.Millisecond)
		}
		Expect(orders.Stop).To(HaveLen(1))
	})
})

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
		orders := w.orders(heartbeatOf("i1", 1))
		Expect(orders.Start).To(BeEmpty())
		w.stalled = false
		w.commit()
		orders = w.orders(heartbeatOf("i1", 2))
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(1)))
		Expect(orders.FenceToken).To(Equal(uint64(7)))
	})

	It("repeats a start until the runner lists the run", func() {
		w.submit(id, small())
		first := w.orders(heartbeatOf("i1", 1))
		second := w.orders(heartbeatOf("i1", 2))
		Expect(second.Start).To(Equal(first.Start))
		listed := heartbeatOf("i1", 3)
		listed.Active = activeRuns(first.Start)
		third := w.orders(listed)
		Expect(third.Start).To(BeEmpty())
	})

	It("acknowledges ends only after they are committed", func() {
		w.submit(id, small())
		first := w.orders(heartbeatOf("i1", 1))
		w.stalled = true
		ended := heartbeatOf("i1", 2)
		ended.Finished = []protocol.FinishedRun{{N: 1, Task: first.Start[0].Task, Run: 1, How: protocol.EndDone}}
		orders := w.orders(ended)
		Expect(orders.LastSeen).To(BeZero())
		w.stalled = false
		w.commit()
		ended.Sequence = 3
		orders = w.orders(ended)
		Expect(orders.LastSeen).To(Equal(uint64(1)))
		state, _ := w.state.StateOf(id)
		Expect(string(state)).To(Equal(protocol.JobCompleted))
	})

	It("never orders more runs than fit on a runner together with those that are being stopped", func() {
		w.submit(id, protocol.Step{Count: 40, CPU: 1000, MemoryMB: 10, EstimatedMs: 500})
		orders := w.orders(heartbeatOf("i1", 1))
		Expect(orders.Start).To(HaveLen(16))
		w.owner.Cancel(w.now, id, func(error) {})
		w.commitAll()
		w.submit("00000000000000bb", small())
		listed := heartbeatOf("i1", 2)
		listed.Active = activeRuns(orders.Start)
		orders = w.orders(listed)
		Expect(orders.Stop).To(HaveLen(16))
		Expect(orders.Start).To(BeEmpty(), "runs that are being stopped still use capacity")
	})

	It("grants leases that end at most the longest lease after the newest confirmation", func() {
		w.pass(0)
		w.passUnconfirmed(300 * time.Millisecond)
		orders := w.orders(heartbeatOf("i1", 1))
		Expect(orders.HoldMs).To(BeNumerically("<=", (lease - 300*time.Millisecond).Milliseconds()))
	})

	It("answers no heartbeat on an old confirmation", func() {
		w.pass(0)
		w.passUnconfirmed(2 * time.Second)
		_, err := w.heartbeat(heartbeatOf("i1", 1))
		Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
	})

	It("starts nothing on a draining runner, and withdraws starts of runs that the runner does not list", func() {
		w.submit(id, small())
		w.orders(heartbeatOf("i1", 1))
		draining := heartbeatOf("i1", 2)
		draining.State = protocol.RunnerDraining
		orders := w.orders(draining)
		Expect(orders.Start).To(BeEmpty())
		orders = w.orders(heartbeatOf("i2", 1))
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(2)))
	})

	DescribeTable("starts the tasks of an unresponsive runner elsewhere only after every lease has expired",
		func(elapsed time.Duration, started bool) {
			w.submit(id, small())
			first := w.orders(heartbeatOf("i1", 1))
			listed := heartbeatOf("i1", 2)
			listed.Active = activeRuns(first.Start)
			w.orders(listed)
			w.pass(elapsed)
			orders := w.orders(heartbeatOf("i2", 1))
			Expect(len(orders.Start) > 0).To(Equal(started))
		},
		Entry("before the lease ends", 3*time.Second, false),
		Entry("when the lease ends on an exact clock", lease, false),
		Entry("when the lease ends on a slow clock", lease*102/100, false),
		Entry("when the lease has ended on the slowest clock", lease*104/100+50*time.Millisecond, true),
	)

	It("waits until the leases of the previous owner have expired", func() {
		w.submit(id, small())
		first := w.orders(heartbeatOf("i1", 1))
		w.owner.BecomeFollower()
		w.lead(8)
		w.pass(lease)
		orders := w.orders(heartbeatOf("i2", 1))
		Expect(orders.Start).To(BeEmpty())
		w.pass(lease / 10)
		orders = w.orders(heartbeatOf("i2", 2))
		Expect(orders.Start).To(HaveLen(1))
		Expect(first.Start).To(HaveLen(1))
	})

	It("ends an incarnation after another one has reported from its address", func() {
		w.submit(id, small())
		w.orders(heartbeatOf("i1", 1))
		again := heartbeatOf("i2", 1)
		again.Address = heartbeatOf("i1", 1).Address
		_, early := w.heartbeat(again)
		Expect(failure.KindOf(early)).To(Equal(failure.Conflict), "the heartbeat may be older than the first incarnation's")
		w.pass(time.Second)
		again.Sequence++
		orders := w.orders(again)
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(2)))
		_, err := w.heartbeat(heartbeatOf("i1", 2))
		Expect(failure.KindOf(err)).To(Equal(failure.Gone))
	})

	It("takes from the shard's state the addresses of incarnations that have not reported to it", func() {
		w.submit(id, small())
		w.orders(heartbeatOf("i1", 1))
		w.owner.BecomeFollower()
		w.lead(8)
		again := heartbeatOf("i2", 1)
		again.Address = heartbeatOf("i1", 1).Address
		_, early := w.heartbeat(again)
		Expect(failure.KindOf(early)).To(Equal(failure.Conflict), "the heartbeat may be older than the first incarnation's")
		w.pass(time.Second)
		again.Sequence++
		orders := w.orders(again)
		Expect(orders.Start).To(HaveLen(1))
		Expect(orders.Start[0].Run).To(Equal(uint64(2)))
	})

	It("does not end an incarnation because of another one's relayed heartbeat", func() {
		w.submit(id, small())
		w.orders(heartbeatOf("i1", 1))
		w.pass(2 * time.Second)
		again := heartbeatOf("i2", 1)
		again.Address = heartbeatOf("i1", 1).Address
		again.Relayed = true
		_, err := w.heartbeat(again)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
		Expect(w.state.RunsOn("i1")).To(HaveLen(1))
		again.Sequence, again.Relayed = 2, false
		orders := w.orders(again)
		Expect(orders.Start).To(HaveLen(1))
	})

	It("asks for heartbeats less often if they are relayed", func() {
		w.submit(id, small())
		relayed := heartbeatOf("i1", 1)
		relayed.Relayed = true
		orders := w.orders(relayed)
		Expect(orders.RetryDelayMs).To(Equal(int64(100)))
	})

	It("answers an outdated heartbeat with an error", func() {
		w.orders(heartbeatOf("i1", 5))
		_, err := w.heartbeat(heartbeatOf("i1", 4))
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
	})

	It("answers that a job is unknown only after a confirmation of leadership", func() {
		w.pass(0)
		w.now++ // so that the next step has a later time
		var got error
		answered := false
		w.owner.Status(w.now, id, func(_ protocol.JobState, err error) { answered, got = true, err })
		w.passUnconfirmed(10 * time.Millisecond)
		Expect(answered).To(BeFalse())
		w.pass(10 * time.Millisecond)
		Expect(answered).To(BeTrue())
		Expect(failure.KindOf(got)).To(Equal(failure.Gone))
	})

	It("tells submits with an unknown outcome from submits that were never proposed when leadership ends", func() {
		w.stalled = true
		var first, second error
		w.owner.Submit(w.now, submitOf(id), func(_ bool, err error) { first = err })
		w.commitAll()
		w.owner.Submit(w.now, submitOf("00000000000000bb"), func(_ bool, err error) { second = err })
		w.owner.BecomeFollower()
		Expect(failure.KindOf(first)).To(Equal(failure.UnknownOutcome))
		Expect(failure.KindOf(second)).To(Equal(failure.NotLeader))
	})

	It("proposes nothing for a while after a command could not be proposed", func() {
		refused := failure.New(failure.NotLeader, "leadership is being transferred")
		w.submit(id, small())
		w.orders(heartbeatOf("i1", 1))
		w.owner.Cancel(w.now, id, func(error) {})
		command := w.owner.NextCommand(w.now)
		Expect(command).NotTo(BeNil())
		w.owner.Failed(w.now, command, refused)
		w.owner.Cancel(w.now, id, func(error) {})
		Expect(w.owner.NextCommand(w.now)).To(BeNil())
		w.now += 100 * time.Millisecond
		Expect(w.owner.NextCommand(w.now)).NotTo(BeNil())
	})

	It("starts the members of a gang together, with the same run number", func() {
		w.orders(heartbeatOf("i1", 1))
		w.orders(heartbeatOf("i2", 1))
		w.submit(id, protocol.Step{Count: 2, CPU: 15000, MemoryMB: 100, GPU: 8, EstimatedMs: 500, Gang: true})
		one := w.orders(heartbeatOf("i1", 2))
		two := w.orders(heartbeatOf("i2", 2))
		Expect(one.Start).To(HaveLen(1))
		Expect(two.Start).To(HaveLen(1))
		Expect(one.Start[0].Run).To(Equal(two.Start[0].Run))
	})

	It("stops the other members of a gang when one has ended without completing it", func() {
		w.orders(heartbeatOf("i1", 1))
		w.orders(heartbeatOf("i2", 1))
		w.submit(id, protocol.Step{Count: 2, CPU: 15000, MemoryMB: 100, GPU: 8, EstimatedMs: 500, Gang: true})
		one := w.orders(heartbeatOf("i1", 2))
		two := w.orders(heartbeatOf("i2", 2))
		ended := heartbeatOf("i1", 3)
		ended.Finished = []protocol.FinishedRun{{N: 1, Task: one.Start[0].Task, Run: 1, How: protocol.EndAlone}}
		w.orders(ended)
		left := heartbeatOf("i2", 3)
		left.Active = activeRuns(two.Start)
		orders := w.orders(left)
		Expect(orders.Stop).To(HaveLen(1))
		Expect(orders.Start).To(BeEmpty())
	})

	It("stops a run that makes no progress", func() {
		w.submit(id, small())
		first := w.orders(heartbeatOf("i1", 1))
		var orders *protocol.Orders
		for sequence := uint64(2); sequence < 60; sequence++ {
			listed := heartbeatOf("i1", sequence)
			listed.Active = activeRuns(first.Start)
			orders = w.orders(listed)
			if len(orders.Stop) > 0 {
				break
			}
			w.pass(100 * time.Millisecond)
		}
		Expect(orders.Stop).To(HaveLen(1))
	})
})

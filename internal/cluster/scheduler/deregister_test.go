package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("A runner that keeps running after it has deregistered", func() {
	const heartbeatInterval = 100 * time.Millisecond
	var (
		w      *world
		orders *protocol.Orders
	)
	// reportRun sends heartbeats that list the run for a time, and calls check with the answer to each.
	reportRun := func(span time.Duration, check func(*protocol.Orders)) {
		for sequence := uint64(10); span > 0; sequence++ {
			w.pass(heartbeatInterval)
			span -= heartbeatInterval
			heartbeat := heartbeatOf("i1", sequence)
			heartbeat.Active = activeRuns(orders.Start)
			got := w.orders(heartbeat)
			check(got)
		}
	}

	BeforeEach(func() {
		w = newWorld()
		w.submit(id, small())
		orders = w.orders(heartbeatOf("i1", 1))
		Expect(orders.Start).To(HaveLen(1))
		heartbeat := heartbeatOf("i1", 2)
		heartbeat.Active = activeRuns(orders.Start)
		w.orders(heartbeat)
		w.owner.Deregister("i1", func(err error) { Expect(err).NotTo(HaveOccurred()) })
		w.commitAll()
	})

	DescribeTable("keeps its runs until its lease has expired, and no longer",
		func(elapsed time.Duration, starts int) {
			w.pass(elapsed)
			other := w.orders(heartbeatOf("i2", 1))
			Expect(other.Start).To(HaveLen(starts))
		},
		Entry("after a second", time.Second, 0),
		Entry("when the lease ends on a slow clock", lease*102/100, 0),
		Entry("when the lease has ended on the slowest clock", lease*104/100, 1),
	)

	It("makes its owner defer leadership transfers until its lease has expired", func() {
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeTrue())
		w.pass(lease)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeTrue())
		w.pass(lease / 10)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeFalse())
	})

	It("gets neither leases nor work, even long after its last lease", func() {
		reportRun(4*lease, func(got *protocol.Orders) {
			Expect(got.HoldMs).To(BeZero())
			Expect(got.Start).To(BeEmpty())
		})
	})
})

var _ = Describe("Deregistering", func() {
	var (
		w   *world
		got *result
	)
	BeforeEach(func() {
		w = newWorld()
		got = &result{}
	})
	deregister := func(instance string) {
		w.owner.Deregister(instance, got.acknowledged)
		w.commitAll()
	}

	It("is acknowledged only after it is committed", func() {
		w.stalled = true
		deregister("i1")
		w.pass(time.Second)
		Expect(got.replied).To(BeFalse())
		w.commit()
		Expect(*got).To(Equal(result{replied: true}))
	})

	It("fails if leadership is lost before the commit", func() {
		w.stalled = true
		deregister("i1")
		w.owner.BecomeFollower()
		Expect(got.replied).To(BeTrue())
		Expect(got.kind).NotTo(Equal(failure.None))
	})

	DescribeTable("holds for every later owner, even if the runner had not reported to this one",
		func(reported bool) {
			if reported {
				w.orders(heartbeatOf("i1", 1))
			}
			deregister("i1")
			data, err := w.state.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			next := newWorld()
			Expect(next.state.Restore(data)).To(Succeed())
			next.owner.BecomeFollower()
			next.lead(8)
			next.submit(id, small())
			for sequence := uint64(2); sequence < 100; sequence++ {
				orders := next.orders(heartbeatOf("i1", sequence))
				Expect(orders.Start).To(BeEmpty())
				Expect(orders.HoldMs).To(BeZero())
				next.pass(100 * time.Millisecond)
			}
			orders := next.orders(heartbeatOf("i2", 1))
			Expect(orders.Start).To(HaveLen(1))
		},
		Entry("a runner that had reported", true),
		Entry("a runner that had not reported", false),
	)
})

var _ = Describe("A runner that becomes unresponsive", func() {
	It("makes its owner defer leadership transfers while its runs may exist", func() {
		w := newWorld()
		w.orders(heartbeatOf("i2", 1))
		w.pass(time.Second)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeFalse(), "it has no runs")
		w.submit(id, small())
		orders := w.orders(heartbeatOf("i1", 1))
		Expect(orders.Start).To(HaveLen(1))
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeFalse(), "it is responsive")
		w.pass(time.Second)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeTrue())
		w.pass(lease)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeFalse(), "its run is lost")
	})
})

var _ = Describe("An owner that has just been elected", func() {
	It("answers no heartbeat before its leadership was confirmed, even right after the election", func() {
		w := newWorld()
		w.owner.BecomeFollower()
		w.owner.BecomeLeader(w.now, w.clock(), 8)
		_, err := w.heartbeat(heartbeatOf("i1", 1))
		Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
	})

	It("counts leases from the request of the confirmation, not from the time at which it became the leader", func() {
		const frozen = 500 * time.Millisecond
		w := newWorld()
		w.owner.BecomeFollower()
		elected := w.now
		w.now += frozen
		w.owner.BecomeLeader(w.now, w.clock(), 8)
		w.owner.Tick(w.now, w.clock(), elected)
		orders := w.orders(heartbeatOf("i1", 1))
		Expect(orders.HoldMs).To(BeNumerically("<=", (lease - frozen).Milliseconds()))
		Expect(orders.HoldMs).To(BeNumerically(">", 0))
	})

	It("answers no heartbeat if the confirmation is older than a freeze of its process", func() {
		w := newWorld()
		w.owner.BecomeFollower()
		elected := w.now
		w.now += 20 * time.Second
		w.owner.BecomeLeader(w.now, w.clock(), 8)
		w.owner.Tick(w.now, w.clock(), elected)
		_, err := w.heartbeat(heartbeatOf("i1", 1))
		Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
	})
})

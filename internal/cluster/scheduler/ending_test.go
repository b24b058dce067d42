package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("A runner that says that it ends, and serves on", func() {
	const beatGap = 100 * time.Millisecond
	var (
		w      *world
		orders *protocol.Orders
	)
	// beatAll sends heartbeats that list the run, for so long.
	beatAll := func(span time.Duration, seen func(*protocol.Orders)) {
		for sequence := uint64(10); span > 0; sequence++ {
			w.pass(beatGap)
			span -= beatGap
			beat := beatOf("i1", sequence)
			beat.Active = active(orders.Start)
			got, err := w.beat(beat)
			Expect(err).NotTo(HaveOccurred())
			seen(got)
		}
	}

	BeforeEach(func() {
		w = newWorld()
		w.submit(id, small())
		var err error
		orders, err = w.beat(beatOf("i1", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.Start).To(HaveLen(1))
		beat := beatOf("i1", 2)
		beat.Active = active(orders.Start)
		_, err = w.beat(beat)
		Expect(err).NotTo(HaveOccurred())
		w.owner.Deregister("i1", func(err error) { Expect(err).NotTo(HaveOccurred()) })
		w.settle()
	})

	DescribeTable("keeps what it runs until its hold is over, and no longer",
		func(silence time.Duration, starts int) {
			w.pass(silence)
			other, _ := w.beat(beatOf("i2", 1))
			Expect(other.Start).To(HaveLen(starts))
		},
		Entry("after a second", time.Second, 0),
		Entry("at the hold's end on a slow clock", hold*102/100, 0),
		Entry("after that", hold*104/100, 1),
	)

	It("has its owner keep the leadership until its hold is over: a successor would wait anew", func() {
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeTrue())
		w.pass(hold)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeTrue())
		w.pass(hold / 10)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeFalse())
	})

	It("is given no hold and no work any more, even long after its hold", func() {
		beatAll(4*hold, func(got *protocol.Orders) {
			Expect(got.HoldMs).To(BeZero())
			Expect(got.Start).To(BeEmpty())
		})
	})
})

var _ = Describe("A runner's word that it ends", func() {
	var (
		w   *world
		got *answer
	)
	BeforeEach(func() {
		w = newWorld()
		got = &answer{}
	})
	tell := func(instance string) {
		w.owner.Deregister(instance, got.acknowledged)
		w.settle()
	}

	It("is acknowledged once it is committed, and not before", func() {
		w.stalled = true
		tell("i1")
		w.pass(time.Second)
		Expect(got.given).To(BeFalse())
		w.commit()
		Expect(*got).To(Equal(answer{given: true}))
	})

	It("is in doubt when leadership is lost before", func() {
		w.stalled = true
		tell("i1")
		w.owner.BecomeFollower()
		Expect(got.given).To(BeTrue())
		Expect(got.kind).NotTo(Equal(failure.None))
	})

	DescribeTable("holds for every later owner, also if this one had never heard of the runner",
		func(heard bool) {
			if heard {
				w.beat(beatOf("i1", 1))
			}
			tell("i1")
			data, err := w.state.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			next := newWorld()
			Expect(next.state.Restore(data)).To(Succeed())
			next.owner.BecomeFollower()
			next.lead(8)
			next.submit(id, small())
			for sequence := uint64(2); sequence < 100; sequence++ {
				orders, err := next.beat(beatOf("i1", sequence))
				Expect(err).NotTo(HaveOccurred())
				Expect(orders.Start).To(BeEmpty())
				Expect(orders.HoldMs).To(BeZero())
				next.pass(100 * time.Millisecond)
			}
			orders, err := next.beat(beatOf("i2", 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(orders.Start).To(HaveLen(1))
		},
		Entry("heard", true),
		Entry("not heard", false),
	)
})

var _ = Describe("A runner that falls silent", func() {
	It("has its owner keep the leadership while it may still run something", func() {
		w := newWorld()
		_, err := w.beat(beatOf("i2", 1))
		Expect(err).NotTo(HaveOccurred())
		w.pass(time.Second)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeFalse(), "a silent one that runs nothing is not waited for")
		w.submit(id, small())
		orders, err := w.beat(beatOf("i1", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.Start).To(HaveLen(1))
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeFalse(), "it is heard")
		w.pass(time.Second)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeTrue())
		w.pass(hold)
		Expect(w.owner.AwaitsLeaseExpiry(w.now)).To(BeFalse(), "what it ran is lost")
	})
})

var _ = Describe("An owner that has just been elected", func() {
	It("answers no heartbeat before leadership was confirmed, however lately it was elected", func() {
		w := newWorld()
		w.owner.BecomeFollower()
		w.owner.BecomeLeader(w.now, w.clock(), 8)
		_, err := w.beat(beatOf("i1", 1))
		Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
	})

	It("counts holds from the asking of the confirmation, and not from when it learnt that it leads", func() {
		const frozen = 500 * time.Millisecond
		w := newWorld()
		w.owner.BecomeFollower()
		elected := w.now
		w.now += frozen
		w.owner.BecomeLeader(w.now, w.clock(), 8)
		w.owner.Tick(w.now, w.clock(), elected)
		orders, err := w.beat(beatOf("i1", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.HoldMs).To(BeNumerically("<=", (hold - frozen).Milliseconds()))
		Expect(orders.HoldMs).To(BeNumerically(">", 0))
	})

	It("answers no heartbeat on the confirmation that elected it, if it was frozen since", func() {
		w := newWorld()
		w.owner.BecomeFollower()
		elected := w.now
		w.now += 20 * time.Second
		w.owner.BecomeLeader(w.now, w.clock(), 8)
		w.owner.Tick(w.now, w.clock(), elected)
		_, err := w.beat(beatOf("i1", 1))
		Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
	})
})

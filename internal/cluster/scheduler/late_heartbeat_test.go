package scheduler_test

import (
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("A delayed heartbeat", func() {
	var (
		w      *world
		listed *protocol.Heartbeat // newest heartbeat of the current incarnation, which lists its run
	)
	BeforeEach(func() {
		w = newWorld()
		w.submit(id, small())
		orders := w.orders(heartbeatOf("i1", 7))
		Expect(orders.Start).To(HaveLen(1))
		listed = heartbeatOf("i1", 8)
		listed.Active = activeRuns(orders.Start)
		w.orders(listed)
	})

	It("from an earlier incarnation does not end the current one if neither has reported to the new owner", func() {
		w.owner.BecomeFollower()
		w.lead(8)
		late := heartbeatOf("i0", 40)
		late.Address = listed.Address
		_, err := w.heartbeat(late)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
		listed.Sequence++
		orders := w.orders(listed)
		Expect(orders.Stop).To(BeEmpty())
		Expect(orders.HoldMs).To(BeNumerically(">", 0))
		other := w.orders(heartbeatOf("i2", 1))
		Expect(other.Start).To(BeEmpty(), "the run must not be started elsewhere")
	})

	DescribeTable("that is the first one to a new owner does not make a run lost while the runner's lease lasts",
		func(before func(), wait time.Duration) {
			before()
			w.owner.BecomeFollower()
			w.lead(8)
			w.pass(wait)
			w.orders(heartbeatOf("i1", 6)) // sent before the start, so it does not list the run
			other := w.orders(heartbeatOf("i2", 1))
			Expect(other.Start).To(BeEmpty(), "the run must not be started elsewhere")
			runs := w.state.RunsOn("i1")
			Expect(runs).To(HaveLen(1))
			Expect(runs[0].Run).To(Equal(listed.Active[0].Run))
			w.pass(lease) // after twice the lease, the earlier owner's leases have expired and no heartbeat has listed the run
			w.pass(lease)
			third := w.orders(heartbeatOf("i3", 1))
			Expect(third.Start).To(HaveLen(1))
		},
		Entry("right after the election", func() {}, time.Duration(0)),
		Entry("after the start has become overdue", func() {}, 4500*time.Millisecond),
		Entry("from a runner that has deregistered", func() {
			w.owner.Deregister("i1", func(err error) { Expect(err).NotTo(HaveOccurred()) })
			w.commitAll()
		}, time.Duration(0)),
	)

	It("from the same incarnation is answered with an error and ignored", func() {
		late := heartbeatOf("i1", 6) // sent before the start, so it does not list the run
		late.State = protocol.RunnerDraining
		_, err := w.heartbeat(late)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
		other := w.orders(heartbeatOf("i2", 1))
		Expect(other.Start).To(BeEmpty())
		listed.Sequence++
		orders := w.orders(listed)
		Expect(orders.Stop).To(BeEmpty(), "the runner does not count as draining")
	})

	It("with the sequence number of an answered one is answered with an error", func() {
		_, err := w.heartbeat(listed)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
	})
})

var _ = Describe("An answer to a heartbeat", func() {
	const (
		maxResponseBytes = 4 << 20
		tasks            = 400
	)

	It("is never larger than a runner accepts, and the next answers have the remaining starts", func() {
		w := newWorld()
		spec := strings.Repeat("\x01", 4000) // JSON escapes each byte as six
		step := protocol.Step{Count: tasks, MemoryMB: 1, EstimatedMs: 500}
		w.owner.Submit(w.now, jobs.Submit{ID: id, Queue: protocol.Queue{Key: queue, Service: service, MaxAttempts: 2},
			Job: protocol.JobSpec{Spec: spec, Steps: []protocol.Step{step}}}, func(_ bool, err error) { Expect(err).NotTo(HaveOccurred()) })
		w.commitAll()

		var running []protocol.ActiveRun
		for sequence := uint64(1); sequence <= 20 && len(running) < tasks; sequence++ {
			heartbeat := heartbeatOf("i1", sequence)
			heartbeat.Active = running
			orders := w.orders(heartbeat)
			body, err := json.Marshal(orders)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(body)).To(BeNumerically("<", maxResponseBytes))
			running = append(running, activeRuns(orders.Start)...)
			w.pass(50 * time.Millisecond)
		}
		Expect(running).To(HaveLen(tasks))
	})
})

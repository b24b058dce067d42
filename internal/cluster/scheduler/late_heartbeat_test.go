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

var _ = Describe("A heartbeat that comes late", func() {
	var (
		w      *world
		listed *protocol.Heartbeat // of the runner that serves there now, with its run
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

	It("from an earlier incarnation does not end the current one at an owner to which neither has reported", func() {
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
		Expect(other.Start).To(BeEmpty(), "the run is where it was")
	})

	DescribeTable("to a new owner, before any other, does not make a run lost that its runner's lease still covers",
		func(before func(), wait time.Duration) {
			before()
			w.owner.BecomeFollower()
			w.lead(8)
			w.pass(wait)
			w.orders(heartbeatOf("i1", 6)) // from before the start: it does not list the run
			other := w.orders(heartbeatOf("i2", 1))
			Expect(other.Start).To(BeEmpty(), "the run is where it was")
			runs := w.state.RunsOn("i1")
			Expect(runs).To(HaveLen(1))
			Expect(runs[0].Run).To(Equal(listed.Active[0].Run))
			w.pass(lease) // longer than the earlier owner's leases: the run is not there if nothing lists it
			w.pass(lease)
			third := w.orders(heartbeatOf("i3", 1))
			Expect(third.Start).To(HaveLen(1))
		},
		Entry("at once", func() {}, time.Duration(0)),
		Entry("after a start is overdue", func() {}, 4500*time.Millisecond),
		Entry("of a runner that has deregistered", func() {
			w.owner.Deregister("i1", func(err error) { Expect(err).NotTo(HaveOccurred()) })
			w.commitAll()
		}, time.Duration(0)),
	)

	It("from the same incarnation changes nothing and grants nothing", func() {
		late := heartbeatOf("i1", 6) // from before the start: it does not list the run
		late.State = protocol.RunnerDraining
		_, err := w.heartbeat(late)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
		other := w.orders(heartbeatOf("i2", 1))
		Expect(other.Start).To(BeEmpty())
		listed.Sequence++
		orders := w.orders(listed)
		Expect(orders.Stop).To(BeEmpty(), "it is not taken for draining")
	})

	It("with the sequence of one that was answered is not answered again", func() {
		_, err := w.heartbeat(listed)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
	})
})

var _ = Describe("An answer to a heartbeat", func() {
	const (
		maxResponseBytes = 4 << 20
		tasks            = 400
	)

	It("is never larger than a runner accepts, and the rest comes with the next", func() {
		w := newWorld()
		spec := strings.Repeat("\x01", 4000) // six bytes each in JSON
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

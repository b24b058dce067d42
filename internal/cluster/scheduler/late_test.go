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
		listed *protocol.Heartbeat // of the runner that stands there now, with its run
	)
	BeforeEach(func() {
		w = newWorld()
		w.submit(id, small())
		orders, err := w.beat(beatOf("i1", 7))
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.Start).To(HaveLen(1))
		listed = beatOf("i1", 8)
		listed.Active = active(orders.Start)
		_, err = w.beat(listed)
		Expect(err).NotTo(HaveOccurred())
	})

	It("from an incarnation of before does not end the present one at an owner that has not heard of either", func() {
		w.owner.BecomeFollower()
		w.lead(8)
		late := beatOf("i0", 40)
		late.Address = listed.Address
		_, err := w.beat(late)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
		listed.Sequence++
		orders, err := w.beat(listed)
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.Stop).To(BeEmpty())
		Expect(orders.HoldMs).To(BeNumerically(">", 0))
		other, err := w.beat(beatOf("i2", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Start).To(BeEmpty(), "the run is where it was")
	})

	DescribeTable("to a new owner, before any other, does not make a run lost that its runner's hold still covers",
		func(before func(), wait time.Duration) {
			before()
			w.owner.BecomeFollower()
			w.lead(8)
			w.pass(wait)
			_, err := w.beat(beatOf("i1", 6)) // of before the start: it does not list the run
			Expect(err).NotTo(HaveOccurred())
			other, err := w.beat(beatOf("i2", 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(other.Start).To(BeEmpty(), "the run is where it was")
			runs := w.state.RunsOn("i1")
			Expect(runs).To(HaveLen(1))
			Expect(runs[0].Run).To(Equal(listed.Active[0].Run))
			w.pass(hold) // longer than the earlier owner's holds: it is not there if nothing lists it
			w.pass(hold)
			third, err := w.beat(beatOf("i3", 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(third.Start).To(HaveLen(1))
		},
		Entry("at once", func() {}, time.Duration(0)),
		Entry("after more than a start may wait", func() {}, 4500*time.Millisecond),
		Entry("of a runner that has said that it ends", func() {
			w.owner.Deregister("i1", func(err error) { Expect(err).NotTo(HaveOccurred()) })
			w.settle()
		}, time.Duration(0)),
	)

	It("from the same incarnation changes nothing and grants nothing", func() {
		late := beatOf("i1", 6) // of before the start: it does not list the run
		late.State = protocol.RunnerDraining
		_, err := w.beat(late)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
		other, err := w.beat(beatOf("i2", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Start).To(BeEmpty())
		listed.Sequence++
		orders, err := w.beat(listed)
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.Stop).To(BeEmpty(), "it is not taken to be draining")
	})

	It("with the number of one that was answered is not answered again", func() {
		_, err := w.beat(listed)
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
	})
})

var _ = Describe("An answer to a heartbeat", func() {
	const (
		mostAnswer = 4 << 20
		tasks      = 400
	)

	It("is never larger than a runner takes, and the rest comes with the next", func() {
		w := newWorld()
		spec := strings.Repeat("\x01", 4000) // six bytes each in JSON
		step := protocol.Step{Count: tasks, MemoryMB: 1, EstimatedMs: 500}
		w.owner.Submit(w.now, jobs.Submit{ID: id, Queue: protocol.Queue{Key: queue, Service: service, MaxAttempts: 2},
			Job: protocol.JobSpec{Spec: spec, Steps: []protocol.Step{step}}}, func(_ bool, err error) { Expect(err).NotTo(HaveOccurred()) })
		w.settle()

		var running []protocol.ActiveRun
		for sequence := uint64(1); sequence <= 20 && len(running) < tasks; sequence++ {
			beat := beatOf("i1", sequence)
			beat.Active = running
			orders, err := w.beat(beat)
			Expect(err).NotTo(HaveOccurred())
			body, err := json.Marshal(orders)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(body)).To(BeNumerically("<", mostAnswer))
			running = append(running, active(orders.Start)...)
			w.pass(50 * time.Millisecond)
		}
		Expect(running).To(HaveLen(tasks))
	})
})

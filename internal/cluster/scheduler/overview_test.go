package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/scheduler"
)

var _ = Describe("the overview of runners", func() {
	It("shows what the runners reported, and the runs that may exist on them", func() {
		w := newWorld()
		w.submit("00000000000000aa", small())
		orders := w.orders(heartbeatOf("b", 1))
		Expect(orders.Start).To(HaveLen(1))
		w.orders(heartbeatOf("a", 1))
		runners := w.owner.Runners(w.now)
		Expect(runners).To(HaveLen(2))
		Expect(runners[0].Instance).To(Equal("a"))
		Expect(runners[0].Free).To(Equal(runners[0].Capacity))
		Expect(runners[1].Runs).To(Equal(1))
		Expect(runners[1].Free).To(Equal(protocol.Resources{CPU: 15500, MemoryMB: 32668, GPU: 8}))
		Expect(runners[1].State).To(Equal(string(protocol.RunnerReady)))
		Expect(runners[1].LeaseRemaining).To(BeNumerically(">", 0))
		Expect(runners[1].Labels).To(Equal([]string{"a", "r1"}))
	})

	It("shows which runners are draining, unresponsive or deregistered", func() {
		w := newWorld()
		draining := heartbeatOf("a", 1)
		draining.State = protocol.RunnerDraining
		w.orders(draining)
		states := func() []string {
			var list []string
			for _, r := range w.owner.Runners(w.now) {
				list = append(list, r.State)
			}
			return list
		}
		Expect(states()).To(Equal([]string{string(protocol.RunnerDraining)}))
		w.pass(4 * time.Second)
		Expect(states()).To(Equal([]string{scheduler.StateUnresponsive}))
		w.owner.Deregister("a", func(err error) { Expect(err).NotTo(HaveOccurred()) })
		Expect(states()).To(Equal([]string{scheduler.StateEnded}))
	})
})

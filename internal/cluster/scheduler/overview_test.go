package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/scheduler"
)

var _ = Describe("what operators are told of runners", func() {
	It("is what they reported, and what may run there", func() {
		w := newWorld()
		_, err := w.submit("00000000000000aa", small())
		Expect(err).NotTo(HaveOccurred())
		orders, err := w.beat(beatOf("b", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(orders.Start).To(HaveLen(1))
		_, err = w.beat(beatOf("a", 1))
		Expect(err).NotTo(HaveOccurred())
		runners := w.owner.Runners(w.now)
		Expect(runners).To(HaveLen(2))
		Expect(runners[0].Instance).To(Equal("a"))
		Expect(runners[0].Free).To(Equal(runners[0].Capacity))
		Expect(runners[1].Runs).To(Equal(1))
		Expect(runners[1].Free).To(Equal(protocol.Resources{CPU: 15500, MemoryMB: 32668, GPU: 8}))
		Expect(runners[1].State).To(Equal(protocol.RunnerReady))
		Expect(runners[1].LeaseRemaining).To(BeNumerically(">", 0))
		Expect(runners[1].Labels).To(Equal([]string{"a", "r1"}))
	})

	It("says who drains, who is silent and who has ended", func() {
		w := newWorld()
		leaving := beatOf("a", 1)
		leaving.State = protocol.RunnerDraining
		_, err := w.beat(leaving)
		Expect(err).NotTo(HaveOccurred())
		states := func() []string {
			var list []string
			for _, r := range w.owner.Runners(w.now) {
				list = append(list, r.State)
			}
			return list
		}
		Expect(states()).To(Equal([]string{protocol.RunnerDraining}))
		w.pass(4 * time.Second)
		Expect(states()).To(Equal([]string{scheduler.StateSilent}))
		w.owner.Deregister("a", func(err error) { Expect(err).NotTo(HaveOccurred()) })
		Expect(states()).To(Equal([]string{scheduler.StateEnded}))
	})
})

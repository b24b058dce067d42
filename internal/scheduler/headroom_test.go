package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/protocol"
)

var _ = Describe("Room for urgent work", func() {
	urgent := protocol.Queue{Key: "host/urgent/", Service: service, Priority: 0, MaxAttempts: 3, Extension: 1.5, TargetLatencyMs: 800}
	patient := protocol.Queue{Key: "host/patient/", Service: service, Priority: 2, MaxAttempts: 3, Extension: 4, TargetLatencyMs: 4000}
	wide := protocol.Step{Count: 40, CPU: 1000, MemoryMB: 10, EstimatedMs: 5000}

	It("is kept free once urgent work has been seen", func() {
		w := newWorld()
		w.submitTo(urgent, "00000000000000a1", protocol.Step{Count: 3, CPU: 1000, MemoryMB: 10, EstimatedMs: 500})
		first, _ := w.beat(beatOf("i1", 1))
		Expect(first.Start).To(HaveLen(3))
		ended := beatOf("i1", 2)
		for i, o := range first.Start {
			ended.Finished = append(ended.Finished, protocol.FinishedRun{N: uint64(i + 1), Task: o.Task, Run: o.Run, How: protocol.EndDone})
		}
		w.beat(ended)
		w.submitTo(patient, "00000000000000b1", wide)
		orders, _ := w.beat(beatOf("i1", 3))
		running := len(orders.Start)
		listed := beatOf("i1", 4)
		listed.Active = active(orders.Start)
		w.pass(50 * time.Millisecond)
		orders, _ = w.beat(listed)
		running += len(orders.Start)
		Expect(running).To(BeNumerically(">=", 10))
		Expect(running).To(BeNumerically("<", 16))
	})

	It("is all given to others where there is no urgent work", func() {
		w := newWorld()
		w.submitTo(patient, "00000000000000b1", wide)
		orders, _ := w.beat(beatOf("i1", 1))
		Expect(orders.Start).To(HaveLen(16))
	})
})

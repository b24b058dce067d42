package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
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

	It("is not kept from the first task of a job that stands still while most of the service is free", func() {
		w := newWorld()
		rare := func(sequence uint64) *protocol.Heartbeat {
			beat := beatOf("i1", sequence)
			beat.Labels = []string{"b", "r1"}
			return beat
		}
		step := func(count int) protocol.Step {
			return protocol.Step{Count: count, CPU: 1000, MemoryMB: 10, EstimatedMs: 5000, Requirements: "b"}
		}
		others := func(sequence uint64) {
			for _, instance := range []string{"i2", "i3"} {
				idle, _ := w.beat(beatOf(instance, sequence))
				Expect(idle.Start).To(BeEmpty())
			}
		}
		others(1)
		w.submitTo(urgent, "00000000000000a1", step(5))
		first, _ := w.beat(rare(1))
		Expect(first.Start).To(HaveLen(5))
		ended := rare(2)
		for i, o := range first.Start {
			ended.Finished = append(ended.Finished, protocol.FinishedRun{N: uint64(i + 1), Task: o.Task, Run: o.Run, How: protocol.EndDone})
		}
		w.beat(ended)
		w.submitTo(patient, "00000000000000b1", step(16))
		wide, _ := w.beat(rare(3))
		Expect(wide.Start).To(HaveLen(14), "room for two is kept")
		others(2)
		w.submitTo(patient, "00000000000000b2", step(5))
		listed := rare(4)
		listed.Active = active(wide.Start)
		late, _ := w.beat(listed)
		Expect(late.Start).To(HaveLen(1))
		Expect(late.Start[0].Task).To(HavePrefix("00000000000000b2"))
	})

	It("is all given to others where there is no urgent work", func() {
		w := newWorld()
		w.submitTo(patient, "00000000000000b1", wide)
		orders, _ := w.beat(beatOf("i1", 1))
		Expect(orders.Start).To(HaveLen(16))
	})
})

package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("Headroom for urgent tasks", func() {
	urgent := protocol.Queue{Key: "host/urgent/", Service: service, Priority: 0, MaxAttempts: 3, Extension: 1.5, TargetLatencyMs: 800}
	patient := protocol.Queue{Key: "host/patient/", Service: service, Priority: 2, MaxAttempts: 3, Extension: 4, TargetLatencyMs: 4000}
	wide := protocol.Step{Count: 40, CPU: 1000, MemoryMB: 10, EstimatedMs: 5000}

	It("is reserved from other tasks after urgent tasks have run", func() {
		w := newWorld()
		w.submitTo(urgent, "00000000000000a1", protocol.Step{Count: 3, CPU: 1000, MemoryMB: 10, EstimatedMs: 500})
		first := w.orders(heartbeatOf("i1", 1))
		Expect(first.Start).To(HaveLen(3))
		ended := heartbeatOf("i1", 2)
		for i, o := range first.Start {
			ended.Finished = append(ended.Finished, protocol.FinishedRun{N: uint64(i + 1), Task: o.Task, Run: o.Run, How: protocol.EndDone})
		}
		w.orders(ended)
		w.submitTo(patient, "00000000000000b1", wide)
		orders := w.orders(heartbeatOf("i1", 3))
		running := len(orders.Start)
		listed := heartbeatOf("i1", 4)
		listed.Active = activeRuns(orders.Start)
		w.pass(50 * time.Millisecond)
		orders = w.orders(listed)
		running += len(orders.Start)
		Expect(running).To(BeNumerically(">=", 10))
		Expect(running).To(BeNumerically("<", 16))
	})

	It("is not reserved from the first task of a job without a running task while most of the service is free", func() {
		w := newWorld()
		rare := func(sequence uint64) *protocol.Heartbeat {
			heartbeat := heartbeatOf("i1", sequence)
			heartbeat.Labels = []string{"b", "r1"}
			return heartbeat
		}
		step := func(count int) protocol.Step {
			return protocol.Step{Count: count, CPU: 1000, MemoryMB: 10, EstimatedMs: 5000, Requirements: "b"}
		}
		others := func(sequence uint64) {
			for _, instance := range []string{"i2", "i3"} {
				idle := w.orders(heartbeatOf(instance, sequence))
				Expect(idle.Start).To(BeEmpty())
			}
		}
		others(1)
		w.submitTo(urgent, "00000000000000a1", step(5))
		first := w.orders(rare(1))
		Expect(first.Start).To(HaveLen(5))
		ended := rare(2)
		for i, o := range first.Start {
			ended.Finished = append(ended.Finished, protocol.FinishedRun{N: uint64(i + 1), Task: o.Task, Run: o.Run, How: protocol.EndDone})
		}
		w.orders(ended)
		w.submitTo(patient, "00000000000000b1", step(16))
		wide := w.orders(rare(3))
		Expect(wide.Start).To(HaveLen(14), "the headroom is two cores")
		others(2)
		w.submitTo(patient, "00000000000000b2", step(5))
		listed := rare(4)
		listed.Active = activeRuns(wide.Start)
		late := w.orders(listed)
		Expect(late.Start).To(HaveLen(1))
		Expect(late.Start[0].Task).To(HavePrefix("00000000000000b2"))
	})

	It("is not reserved if there have been no urgent tasks", func() {
		w := newWorld()
		w.submitTo(patient, "00000000000000b1", wide)
		orders := w.orders(heartbeatOf("i1", 1))
		Expect(orders.Start).To(HaveLen(16))
	})
})

package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("Expired tasks", func() {
	urgent := protocol.Queue{Key: "host/urgent/", Service: service, Priority: 0, MaxAttempts: 3, Extension: 1.5, TargetLatencyMs: 800}
	patient := protocol.Queue{Key: "host/patient/", Service: service, Priority: 2, MaxAttempts: 3, Extension: 4, TargetLatencyMs: 60_000}
	oneCore := func(count int) protocol.Step {
		return protocol.Step{Count: count, CPU: 1000, MemoryMB: 10, EstimatedMs: 500}
	}
	// submitExpired submits urgent jobs of one step each, and advances the time beyond their expiry.
	submitExpired := func(w *world, count int, step protocol.Step) {
		for i := range count {
			w.submitTo(urgent, fmt.Sprintf("expd%012x", i), step)
		}
		w.pass(20 * time.Second)
		w.pass(200 * time.Millisecond)
	}
	// jobsOf counts starts by the first four letters of their job's ID.
	jobsOf := func(orders *protocol.Orders) map[string]int {
		counts := map[string]int{}
		for _, order := range orders.Start {
			counts[order.Task[:4]]++
		}
		return counts
	}

	It("are placed after tasks that can be on time, whatever their number and priority", func() {
		w := newWorld()
		submitExpired(w, 100, oneCore(100))
		w.submitTo(patient, "fresh00000000001", oneCore(8))
		Expect(jobsOf(w.orders(heartbeatOf("i1", 1)))).To(HaveKeyWithValue("fres", 8))
	})

	It("are placed on the capacity that other tasks leave", func() {
		w := newWorld()
		submitExpired(w, 1, oneCore(100))
		w.submitTo(patient, "fresh00000000001", oneCore(4))
		started := jobsOf(w.orders(heartbeatOf("i1", 1)))
		Expect(started).To(HaveKeyWithValue("fres", 4))
		Expect(started["expd"]).To(BeNumerically(">=", 6))
	})

	It("are considered by a round up to a limit, whatever their number", func() {
		w := newWorld()
		submitExpired(w, 100, oneCore(100))
		Expect(w.owner.TakeExpired(service, 200)).To(HaveLen(200))
	})

	It("are considered up to the same limit if they belong to a wide aged step", func() {
		w := newWorld()
		submitExpired(w, 1, oneCore(5000))
		w.pass(15 * time.Second)
		Expect(w.owner.AgedTasks(w.now, service)).To(HaveLen(200))
	})

	It("do not keep others that could start from taking part in a round if they cannot start themselves", func() {
		w := newWorld()
		nowhere := oneCore(100)
		nowhere.Requirements = "nowhere"
		for i := range 10 {
			w.submitTo(urgent, fmt.Sprintf("none%012x", i), nowhere)
		}
		submitExpired(w, 1, oneCore(1))
		w.submitTo(patient, "fresh00000000001", protocol.Step{Count: 1, CPU: 15_000, MemoryMB: 10, EstimatedMs: 60_000})
		started := jobsOf(w.orders(heartbeatOf("i1", 1)))
		for i := uint64(2); i < 12 && started["expd"] == 0; i++ {
			w.pass(200 * time.Millisecond)
			listed := heartbeatOf("i1", i)
			listed.Active = activeRuns([]protocol.StartOrder{{Task: "fresh00000000001.0.0.0", Run: 1}})
			started = jobsOf(w.orders(listed))
		}
		Expect(started).To(HaveKeyWithValue("expd", 1))
	})

	It("are started within seconds if most of the service is free, whatever waits before them", func() {
		w := newWorld()
		nowhere := oneCore(100)
		nowhere.Requirements = "nowhere"
		for i := range 50 {
			w.submitTo(urgent, fmt.Sprintf("none%012x", i), nowhere)
		}
		submitExpired(w, 1, oneCore(1))
		Expect(startsWithin(w, 3*time.Second)).To(ContainElement(HavePrefix("expd")))
	})

	It("are placed before late tasks once they have aged, so that each accepted job ends", func() {
		w := newWorld()
		submitExpired(w, 1, oneCore(1))
		w.pass(15 * time.Second)
		w.submitTo(urgent, "late000000000001", oneCore(100))
		w.pass(2 * time.Second) // after its objective and before its expiry
		started := jobsOf(w.orders(heartbeatOf("i1", 1)))
		Expect(started).To(HaveKeyWithValue("expd", 1))
		Expect(started["late"]).To(BeNumerically(">", 0))
	})

	It("are placed after tasks that can be on time even if they have aged", func() {
		w := newWorld()
		submitExpired(w, 1, oneCore(1))
		w.pass(15 * time.Second)
		w.submitTo(patient, "fresh00000000001", oneCore(100))
		Expect(jobsOf(w.orders(heartbeatOf("i1", 1)))).NotTo(HaveKey("expd"))
	})

	It("have the wait reason Outranked while others use the capacity", func() {
		w := newWorld()
		w.submitTo(patient, "fresh00000000001", protocol.Step{Count: 1, CPU: 16_000, MemoryMB: 10, EstimatedMs: 60_000})
		w.orders(heartbeatOf("i1", 1))
		listed := heartbeatOf("i1", 2)
		listed.Active = activeRuns([]protocol.StartOrder{{Task: "fresh00000000001.0.0.0", Run: 1}})
		w.submitTo(urgent, "expd000000000001", oneCore(1))
		for sequence := uint64(3); sequence < 80; sequence++ {
			listed.Sequence = sequence
			w.orders(listed)
			w.pass(250 * time.Millisecond)
		}
		ended := heartbeatOf("i1", 80)
		ended.Finished = []protocol.FinishedRun{{N: 1, Task: "fresh00000000001.0.0.0", Run: 1, How: protocol.EndDone}}
		Expect(jobsOf(w.orders(ended))).To(HaveKeyWithValue("expd", 1))
		waited := w.owner.Queues()[urgent.Key].Tasks
		Expect(waited[latency.Outranked]).To(BeNumerically(">", 6*time.Second))
	})

	It("are in the index of a new owner", func() {
		w := newWorld()
		submitExpired(w, 10, oneCore(10))
		indexed := w.owner.IndexedTasks()
		w.lead(8)
		Expect(w.owner.IndexedTasks()).To(Equal(indexed))
		Expect(indexed).To(HaveLen(100))
	})
})

var _ = It("A task that can be on time is started within seconds, however many tasks that cannot start wait before it", func() {
	w := newWorld()
	patient := protocol.Queue{Key: "host/patient/", Service: service, MaxAttempts: 3, Extension: 4, TargetLatencyMs: 600_000}
	nowhere := protocol.Step{Count: 100, CPU: 1000, EstimatedMs: 500, Requirements: "nowhere"}
	for i := range 50 {
		w.submitTo(patient, fmt.Sprintf("none%012x", i), nowhere)
	}
	w.submitTo(patient, "fresh00000000001", small())
	Expect(startsWithin(w, 3*time.Second)).To(ContainElement(HavePrefix("fresh")))
})

var _ = It("Among jobs that can be on time, the one with the least remaining work is placed first", func() {
	w := newWorld()
	patient := protocol.Queue{Key: "host/patient/", Service: service, MaxAttempts: 3, Extension: 4, TargetLatencyMs: 600_000}
	step := func(count int) protocol.Step { return protocol.Step{Count: count, CPU: 1000, EstimatedMs: 500} }
	w.submitTo(patient, "large00000000001", step(40))
	w.submitTo(patient, "chain00000000001", step(3), protocol.Step{Count: 30, CPU: 1000, EstimatedMs: 500, DependsOn: []int{0}})
	w.submitTo(patient, "small00000000001", step(3), protocol.Step{Count: 1, CPU: 1000, EstimatedMs: 500, DependsOn: []int{0}})
	started := map[string]int{}
	for _, order := range w.orders(heartbeatOf("i1", 1)).Start {
		started[order.Task[:5]]++
	}
	Expect(started).To(Equal(map[string]int{"small": 3, "chain": 3, "large": 10}))
})

// startsWithin returns the tasks that a runner without runs is ordered to start within a time. It sends a heartbeat every
// 200 ms.
func startsWithin(w *world, limit time.Duration) (tasks []string) {
	var active []protocol.ActiveRun
	sequence := uint64(0)
	for until := w.now + limit; w.now < until; w.pass(200 * time.Millisecond) {
		sequence++
		report := heartbeatOf("i1", sequence)
		report.Active = active
		for _, order := range w.orders(report).Start {
			tasks = append(tasks, order.Task)
			active = append(active, protocol.ActiveRun{Task: order.Task, Run: order.Run})
		}
	}
	return tasks
}

// pendingTasks returns the pending tasks of the shard's state, sorted.
func (w *world) pendingTasks() (tasks []string) {
	w.state.EachPending(func(task *jobs.Task) bool {
		tasks = append(tasks, task.ID.String())
		return true
	})
	slices.Sort(tasks)
	return tasks
}

var _ = It("The index of pending steps has exactly the pending tasks of the shard's state after any sequence of events", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		w := newWorld()
		sequence, ends, term, submitted := uint64(0), uint64(0), uint64(7), 0
		var active []protocol.ActiveRun
		heartbeat := func() *protocol.Heartbeat {
			sequence++
			report := heartbeatOf("i1", sequence)
			report.Active = active
			return report
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				submitted++
				step := protocol.Step{Count: rapid.IntRange(1, 9).Draw(t, "count"), CPU: 2000, MemoryMB: 10, EstimatedMs: 500,
					Gang: rapid.Bool().Draw(t, "gang")}
				w.submit(fmt.Sprintf("%016x", submitted), step, protocol.Step{Count: 2, CPU: 1000, DependsOn: []int{0}})
			},
			"report": func(t *rapid.T) {
				orders := w.orders(heartbeat())
				active = append(active, activeRuns(orders.Start)...)
			},
			"end": func(t *rapid.T) {
				if len(active) == 0 {
					t.Skip("nothing runs")
				}
				outcome := rapid.SampledFrom([]protocol.RunEnd{protocol.EndDone, protocol.EndDone, protocol.EndFailed, protocol.EndStopped}).Draw(t, "outcome")
				ends++
				ended := active[0]
				active = slices.Clone(active[1:])
				report := heartbeat()
				report.Finished = []protocol.FinishedRun{{N: ends, Task: ended.Task, Run: ended.Run, How: outcome}}
				active = append(active, activeRuns(w.orders(report).Start)...)
			},
			"cancel": func(t *rapid.T) {
				// No job is submitted under 0: a job that is cancelled before its submission is not accepted.
				id := fmt.Sprintf("%016x", rapid.IntRange(0, submitted).Draw(t, "job"))
				w.owner.Cancel(w.now, id, func(error) {})
				w.commitAll()
				active = slices.DeleteFunc(active, func(run protocol.ActiveRun) bool { return strings.HasPrefix(run.Task, id) })
			},
			"wait": func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond) },
			"elect": func(*rapid.T) {
				term++
				w.lead(term)
			},
			"": func(t *rapid.T) {
				if got, want := w.owner.IndexedTasks(), w.pendingTasks(); !slices.Equal(got, want) {
					t.Fatalf("index %v, state %v", got, want)
				}
			},
		})
	})
})

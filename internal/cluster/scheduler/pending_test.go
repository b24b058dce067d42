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

var _ = Describe("Pending work that has lost its value", func() {
	urgent := protocol.Queue{Key: "host/urgent/", Service: service, Priority: 0, MaxAttempts: 3, Extension: 1.5, TargetLatencyMs: 800}
	patient := protocol.Queue{Key: "host/patient/", Service: service, Priority: 2, MaxAttempts: 3, Extension: 4, TargetLatencyMs: 60_000}
	oneCore := func(count int) protocol.Step {
		return protocol.Step{Count: count, CPU: 1000, MemoryMB: 10, EstimatedMs: 500}
	}
	// submitDead submits urgent jobs of 100 tasks each, and lets so much time pass that they earn nothing any more.
	submitDead := func(w *world, count int, step protocol.Step) {
		for i := range count {
			w.submitTo(urgent, fmt.Sprintf("dead%012x", i), step)
		}
		w.pass(20 * time.Second)
		w.pass(200 * time.Millisecond)
	}
	// jobsOf counts orders by the first letters of their jobs.
	jobsOf := func(orders *protocol.Orders) map[string]int {
		counts := map[string]int{}
		for _, order := range orders.Start {
			counts[order.Task[:4]]++
		}
		return counts
	}

	It("goes behind a fresh job, however much of it there is and whatever the priorities are", func() {
		w := newWorld()
		submitDead(w, 100, oneCore(100))
		w.submitTo(patient, "fresh00000000001", oneCore(8))
		Expect(jobsOf(w.orders(heartbeatOf("i1", 1)))).To(HaveKeyWithValue("fres", 8))
	})

	It("runs on what the others leave over", func() {
		w := newWorld()
		submitDead(w, 1, oneCore(100))
		w.submitTo(patient, "fresh00000000001", oneCore(4))
		started := jobsOf(w.orders(heartbeatOf("i1", 1)))
		Expect(started).To(HaveKeyWithValue("fres", 4))
		Expect(started["dead"]).To(BeNumerically(">=", 6))
	})

	It("does not cost a round more the more of it there is", func() {
		w := newWorld()
		submitDead(w, 100, oneCore(100))
		Expect(w.owner.TakeWorthless(service, 200)).To(HaveLen(200))
	})

	It("costs a round no more if it has aged and is wide", func() {
		w := newWorld()
		submitDead(w, 1, oneCore(5000))
		w.pass(15 * time.Second)
		Expect(w.owner.AgedTasks(w.now, service)).To(HaveLen(200))
	})

	It("does not hide what is behind it and could start", func() {
		w := newWorld()
		nowhere := oneCore(100)
		nowhere.Requirements = "nowhere"
		for i := range 10 {
			w.submitTo(urgent, fmt.Sprintf("none%012x", i), nowhere)
		}
		submitDead(w, 1, oneCore(1))
		w.submitTo(patient, "fresh00000000001", protocol.Step{Count: 1, CPU: 15_000, MemoryMB: 10, EstimatedMs: 60_000})
		started := jobsOf(w.orders(heartbeatOf("i1", 1)))
		for i := uint64(2); i < 12 && started["dead"] == 0; i++ {
			w.pass(200 * time.Millisecond)
			listed := heartbeatOf("i1", i)
			listed.Active = activeRuns([]protocol.StartOrder{{Task: "fresh00000000001.0.0.0", Run: 1}})
			started = jobsOf(w.orders(listed))
		}
		Expect(started).To(HaveKeyWithValue("dead", 1))
	})

	It("is started within seconds where most of the service is free, whatever waits before it", func() {
		w := newWorld()
		nowhere := oneCore(100)
		nowhere.Requirements = "nowhere"
		for i := range 50 {
			w.submitTo(urgent, fmt.Sprintf("none%012x", i), nowhere)
		}
		submitDead(w, 1, oneCore(1))
		Expect(startsWithin(w, 3*time.Second)).To(ContainElement(HavePrefix("dead")))
	})

	It("gets a share ahead of late work once it has waited for long, so that each accepted job ends", func() {
		w := newWorld()
		submitDead(w, 1, oneCore(1))
		w.pass(15 * time.Second)
		w.submitTo(urgent, "late000000000001", oneCore(100))
		w.pass(2 * time.Second) // beyond its objective, and not beyond its value
		started := jobsOf(w.orders(heartbeatOf("i1", 1)))
		Expect(started).To(HaveKeyWithValue("dead", 1))
		Expect(started["late"]).To(BeNumerically(">", 0))
	})

	It("does not get that share ahead of work that can be on time", func() {
		w := newWorld()
		submitDead(w, 1, oneCore(1))
		w.pass(15 * time.Second)
		w.submitTo(patient, "fresh00000000001", oneCore(100))
		Expect(jobsOf(w.orders(heartbeatOf("i1", 1)))).NotTo(HaveKey("dead"))
	})

	It("waits for the reason that others go first", func() {
		w := newWorld()
		w.submitTo(patient, "fresh00000000001", protocol.Step{Count: 1, CPU: 16_000, MemoryMB: 10, EstimatedMs: 60_000})
		w.orders(heartbeatOf("i1", 1))
		listed := heartbeatOf("i1", 2)
		listed.Active = activeRuns([]protocol.StartOrder{{Task: "fresh00000000001.0.0.0", Run: 1}})
		w.submitTo(urgent, "dead000000000001", oneCore(1))
		for sequence := uint64(3); sequence < 80; sequence++ {
			listed.Sequence = sequence
			w.orders(listed)
			w.pass(250 * time.Millisecond)
		}
		ended := heartbeatOf("i1", 80)
		ended.Finished = []protocol.FinishedRun{{N: 1, Task: "fresh00000000001.0.0.0", Run: 1, How: protocol.EndDone}}
		Expect(jobsOf(w.orders(ended))).To(HaveKeyWithValue("dead", 1))
		waited := w.owner.Queues()[urgent.Key].Tasks
		Expect(waited[latency.Outranked]).To(BeNumerically(">", 6*time.Second))
	})

	It("is known to a new owner", func() {
		w := newWorld()
		submitDead(w, 10, oneCore(10))
		indexed := w.owner.IndexedTasks()
		w.lead(8)
		Expect(w.owner.IndexedTasks()).To(Equal(indexed))
		Expect(indexed).To(HaveLen(100))
	})
})

var _ = It("Work that can be on time is started within seconds, however much that can't start waits before it", func() {
	w := newWorld()
	patient := protocol.Queue{Key: "host/patient/", Service: service, MaxAttempts: 3, Extension: 4, TargetLatencyMs: 600_000}
	nowhere := protocol.Step{Count: 100, CPU: 1000, EstimatedMs: 500, Requirements: "nowhere"}
	for i := range 50 {
		w.submitTo(patient, fmt.Sprintf("none%012x", i), nowhere)
	}
	w.submitTo(patient, "fresh00000000001", small())
	Expect(startsWithin(w, 3*time.Second)).To(ContainElement(HavePrefix("fresh")))
})

var _ = It("The job with the least work left goes first among those that can be on time", func() {
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

// startsWithin returns the tasks that an empty runner is ordered to start within a time, at heartbeats each 200 ms.
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

// pendingTasks returns the tasks that are pending by the shard's state, sorted.
func (w *world) pendingTasks() (tasks []string) {
	w.state.EachPending(func(task *jobs.Task) bool {
		tasks = append(tasks, task.ID.String())
		return true
	})
	slices.Sort(tasks)
	return tasks
}

var _ = It("The index of pending work has what the shard's state has, whatever happens", func() {
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
				id := fmt.Sprintf("%016x", rapid.IntRange(1, max(submitted, 1)).Draw(t, "job"))
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

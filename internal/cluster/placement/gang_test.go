package placement

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

// gangOf returns the members of a gang. Each needs 15 cores.
func gangOf(count int, change ...func(*Task)) []Task {
	return tasksOfStep("g", count, func(t *Task) {
		t.Gang, t.Needs, t.SizeMs = true, cpu(15), 4000
		for _, apply := range change {
			apply(t)
		}
	})
}

// busyFor gives a runner a run that uses all its capacity for the given time.
func busyFor(left time.Duration) func(*Runner) {
	return func(r *Runner) {
		r.Running = []Run{{Needs: r.Capacity, Priority: 0, Predicted: 20 * second, Elapsed: 20*second - left}}
	}
}

var _ = DescribeTable("the runners on which a gang is placed", func(members []Task, runners []Runner, want map[string]int) {
	counts := perRunner(round(members, runners))
	if len(want) == 0 {
		Expect(counts).To(BeEmpty())
		return
	}
	Expect(counts).To(Equal(want))
},
	Entry("several runners if it does not fit on one", gangOf(2), []Runner{runnerOf("a"), runnerOf("b"), runnerOf("c", fullRunner)},
		map[string]int{"a": 1, "b": 1}),
	Entry("one runner if it fits there", gangOf(3, func(t *Task) { t.Needs = cpu(5) }), []Runner{runnerOf("a")},
		map[string]int{"a": 3}),
	Entry("none if one member does not fit", gangOf(3), []Runner{runnerOf("a"), runnerOf("b"), runnerOf("c", fullRunner)}, nil),
	Entry("runners in one rack if it is rack-local", gangOf(2, func(t *Task) { t.RackLocal = true }),
		[]Runner{runnerOf("a"), runnerOf("b", inRack("r2")), runnerOf("c", inRack("r2"))}, map[string]int{"b": 1, "c": 1}),
	Entry("runners in several racks if no rack is large enough", gangOf(2, func(t *Task) { t.RackLocal = true }),
		[]Runner{runnerOf("a"), runnerOf("b", inRack("r2"))}, map[string]int{"a": 1, "b": 1}),
	Entry("runners in several racks if one rack would be free too late", gangOf(2, func(t *Task) { t.RackLocal = true }),
		[]Runner{runnerOf("a"), runnerOf("b", inRack("r2")), runnerOf("c", inRack("r2"), busyFor(9*second))},
		map[string]int{"a": 1, "b": 1}),
	Entry("none yet if one rack will be free soon", gangOf(2, func(t *Task) { t.RackLocal = true }),
		[]Runner{runnerOf("a"), runnerOf("b", inRack("r2")), runnerOf("c", inRack("r2"), busyFor(second))}, nil),
	Entry("runners in several racks once it has waited for as long as it can gain", gangOf(2, func(t *Task) {
		t.RackLocal, t.Waited = true, 2100*time.Millisecond
	}), []Runner{runnerOf("a"), runnerOf("b", inRack("r2")), runnerOf("c", inRack("r2"), busyFor(second))},
		map[string]int{"a": 1, "b": 1}),
	Entry("runners in the rack of its data", gangOf(2, func(t *Task) { t.Affinity = "r2" }),
		[]Runner{runnerOf("a"), runnerOf("b"), runnerOf("c", inRack("r2")), runnerOf("d", inRack("r2"))},
		map[string]int{"c": 1, "d": 1}),
	Entry("different runners if anti-affinity requires it", gangOf(2, func(t *Task) { t.Needs, t.AntiAffinity = cpu(1), 1 }),
		[]Runner{runnerOf("a"), runnerOf("b")}, map[string]int{"a": 1, "b": 1}),
	Entry("none if anti-affinity cannot be met", gangOf(2, func(t *Task) { t.Needs, t.AntiAffinity = cpu(1), 1 }),
		[]Runner{runnerOf("a")}, nil),
	Entry("reliable runners if there are enough", gangOf(2),
		[]Runner{runnerOf("a"), runnerOf("b"), runnerOf("c", func(r *Runner) { r.FailureScore = 1 })}, map[string]int{"a": 1, "b": 1}),
)

var _ = Describe("a gang", func() {
	It("is predicted to run longer if it is rack-local and spans racks", func() {
		tasks := gangOf(2, func(t *Task) { t.RackLocal = true })
		result := NewPlanner(testOptions).Round(0, tasks, []Runner{runnerOf("a"), runnerOf("b", inRack("r2"))})
		Expect(result.Placements).To(HaveLen(2))
		Expect(result.Placements[0].Predicted).To(Equal(6 * second))
	})

	It("is placed where the fewest accelerators are left over, so that empty runners stay empty", func() {
		gpus := func(used int64) func(*Runner) {
			return func(r *Runner) {
				r.Capacity = withGPU(8)
				if used > 0 {
					r.Running = []Run{{Needs: withGPU(used), Predicted: 9 * second}}
				}
			}
		}
		small := gangOf(2, func(t *Task) { t.Needs = withGPU(2) })
		Expect(perRunner(round(small, []Runner{runnerOf("whole", gpus(0)), runnerOf("half", gpus(4))}))).
			To(Equal(map[string]int{"half": 2}))
	})

	It("may have its members in any order among other tasks", func() {
		members, others := gangOf(2), tasksOfStep("t", 4, func(t *Task) { t.Priority = 1 })
		tasks := []Task{others[0], members[1], others[1], others[2], members[0], others[3]}
		Expect(round(tasks, []Runner{runnerOf("a"), runnerOf("b")})).To(HaveLen(4)) // the gang and two other tasks that fit
	})
})

var _ = Describe("capacity reserved for a gang", func() {
	// The gang needs both runners; a is free, b has no free capacity for 3 s.
	runners := func() []Runner { return []Runner{runnerOf("a"), runnerOf("b", busyFor(3*second))} }
	withSmall := func(size float64, change ...func(*Task)) []Task {
		small := taskOf("small", append(change, func(t *Task) { t.SizeMs, t.Needs, t.Priority = size, cpu(4), 1 })...)
		return append(gangOf(2), small)
	}
	It("may be used by a task that ends before the gang needs it", func() {
		Expect(round(withSmall(2500), runners())).To(Equal(map[string]string{"small": "a"}))
	})
	It("may not be used by a task that ends later", func() {
		Expect(round(withSmall(3500), runners())).To(BeEmpty())
	})
	It("may not be used by a long-running task", func() {
		Expect(round(withSmall(100, func(t *Task) { t.LongRunning = true }), runners())).To(BeEmpty())
	})
	It("may be used by a task that fits in addition to the gang", func() {
		tasks := append(gangOf(2), taskOf("small", func(t *Task) { t.SizeMs, t.Priority = 9000, 1 }))
		Expect(round(tasks, runners())).To(Equal(map[string]string{"small": "a"}))
	})
	It("may be used by a task of higher priority", func() {
		tasks := gangOf(2, func(t *Task) { t.Priority = 1 })
		tasks = append(tasks, taskOf("urgent", func(t *Task) { t.SizeMs, t.Needs = 9000, cpu(4) }))
		Expect(round(tasks, runners())).To(Equal(map[string]string{"urgent": "a"}))
	})
	It("may be used by a starving step", func() {
		tasks := append(gangOf(2), tasksOfStep("late", 3, func(t *Task) {
			t.SizeMs, t.Needs, t.Priority, t.Waited = 9000, cpu(4), 1, 2*second
		})...)
		three := append(runners(), runnerOf("c", func(r *Runner) { r.Labels = nil; r.FailureScore = 1 }), runnerOf("d", fullRunner))
		Expect(round(tasks, three)).NotTo(BeEmpty())
	})
	It("is reserved for a limited time, and again after a pause", func() {
		p := NewPlanner(testOptions)
		tasks := withSmall(3500)
		at := func(now time.Duration) int { return len(p.Round(now, tasks, runners()).Placements) }
		Expect(at(0)).To(BeZero())
		Expect(at(maxReservationAge - 1)).To(BeZero())
		Expect(at(maxReservationAge)).To(Equal(1))
		Expect(at(maxReservationAge + reservationBackoff)).To(BeZero())
	})
	It("is no longer recorded when the gang has not taken part for a while", func() {
		p := NewPlanner(testOptions)
		p.Round(0, withSmall(3500), runners())
		Expect(p.reservations).To(HaveLen(1))
		p.Round(reservationExpiry+1, []Task{taskOf("t")}, runners())
		Expect(p.reservations).To(BeEmpty())
	})
	It("is not reserved for a gang that can never run", func() {
		tasks := append(gangOf(9), taskOf("t", func(t *Task) { t.Needs, t.SizeMs = cpu(16), 9000 }))
		Expect(round(tasks, runners())).To(Equal(map[string]string{"t": "a"}))
	})
	It("is not reserved for an expired gang", func() {
		tasks := append(gangOf(2, func(t *Task) { t.TimeLeft = -60 * second }), taskOf("t", func(t *Task) { t.Needs, t.SizeMs = cpu(10), 9000 }))
		Expect(round(tasks, runners())).To(HaveKey("t"))
	})
	It("stays reserved from expired tasks, but not from late ones, in another round at the same time", func() {
		p, fleet := NewPlanner(testOptions), runners()
		for _, reserved := range p.Round(0, gangOf(2), fleet).Reservations {
			fleet[reserved.Runner].Reserved = reserved.Reservation
		}
		long := func(t *Task) { t.Needs, t.SizeMs, t.TimeLeft, t.TimeToExpiry = cpu(10), 9000, 0, 20*second }
		late, expired := taskOf("late", long), taskOf("expired", long, func(t *Task) { t.TimeToExpiry = 0 })
		Expect(p.Round(0, []Task{expired}, fleet).Placements).To(BeEmpty())
		Expect(p.Round(0, []Task{late}, fleet).Placements).To(HaveLen(1))
	})
	It("is reserved for a large task that has waited as well", func() {
		tasks := []Task{
			taskOf("large", func(t *Task) { t.Needs, t.Waited = cpu(16), 400*time.Millisecond }),
			taskOf("small", func(t *Task) { t.Needs, t.SizeMs, t.Priority = cpu(1), 9000, 1 }),
		}
		used := runnerOf("r", func(r *Runner) { r.Running = []Run{{Needs: cpu(12), Predicted: 3 * second}} })
		Expect(round(tasks, []Runner{used})).To(BeEmpty())
	})
})

var _ = Describe("successive rounds", func() {
	It("start a gang that needs 8 accelerators on each runner though tasks that need one keep arriving", func() {
		p := NewPlanner(testOptions)
		fleet := newTestFleet(3)
		members := tasksOfStep("g", 2, func(t *Task) { t.Gang, t.Needs, t.SizeMs, t.Priority = true, withGPU(8), 4000, 1 })
		started := time.Duration(-1)
		for now := time.Duration(0); now < 20*second && started < 0; now += 250 * time.Millisecond {
			fleet.end(now)
			tasks := []Task{}
			if now >= second {
				for _, member := range members {
					member.Waited = now - second
					tasks = append(tasks, member)
				}
			}
			for k := range 2 {
				tasks = append(tasks, taskOf(fmt.Sprint("s", now, k), func(t *Task) {
					t.Needs, t.SizeMs, t.Priority = withGPU(1), 3000, 2
				}))
			}
			runners := fleet.runners(now)
			for _, placement := range p.Round(now, tasks, runners).Placements {
				task := &tasks[placement.Task]
				if task.Gang {
					started = now
				}
				fleet.start(placement, task, now)
			}
		}
		Expect(started).To(BeNumerically(">=", second))
		Expect(started).To(BeNumerically("<=", 5*second))
	})
})

// testFleet simulates runners. Each task runs for its predicted runtime.
type testFleet struct {
	running [][]testRun
}

type testRun struct {
	needs              protocol.Resources
	startedAt, runtime time.Duration
}

func newTestFleet(size int) *testFleet { return &testFleet{running: make([][]testRun, size)} }

func (f *testFleet) start(p Placement, task *Task, now time.Duration) {
	f.running[p.Runner] = append(f.running[p.Runner], testRun{task.Needs, now, p.Predicted})
}

func (f *testFleet) end(now time.Duration) {
	for i, runs := range f.running {
		var left []testRun
		for _, run := range runs {
			if run.startedAt+run.runtime > now {
				left = append(left, run)
			}
		}
		f.running[i] = left
	}
}

func (f *testFleet) runners(now time.Duration) []Runner {
	var runners []Runner
	for i, runs := range f.running {
		runners = append(runners, runnerOf(fmt.Sprint("r", i), func(r *Runner) {
			r.Capacity = withGPU(8)
			for _, run := range runs {
				r.Running = append(r.Running, Run{Needs: run.needs, Priority: 2, Gang: run.needs.GPU == 8,
					Predicted: run.runtime, Elapsed: now - run.startedAt})
			}
		}))
	}
	return runners
}

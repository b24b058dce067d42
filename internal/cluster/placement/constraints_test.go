package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("whether a task may start on the only runner", func(task func(*Task), runner func(*Runner), want bool) {
	_, placed := round([]Task{taskOf("t", task)}, []Runner{runnerOf("r", runner)})["t"]
	Expect(placed).To(Equal(want))
},
	Entry("the runner has free capacity", func(*Task) {}, func(*Runner) {}, true),
	Entry("it needs exactly the cores of the runner", func(t *Task) { t.Needs = cpu(16) }, func(*Runner) {}, true),
	Entry("it needs one millicore more than the runner has", func(t *Task) { t.Needs.CPU = 16001 }, func(*Runner) {}, false),
	Entry("the runner has too little memory", func(t *Task) { t.Needs.MemoryMB = 16001 }, func(*Runner) {}, false),
	Entry("the runner has no accelerator", func(t *Task) { t.Needs.GPU = 1 }, func(*Runner) {}, false),
	Entry("the runner has enough accelerators", func(t *Task) { t.Needs.GPU = 2 }, func(r *Runner) { r.Capacity.GPU = 2 }, true),
	Entry("the runner has enough capacity, but it is not free", func(*Task) {}, fullRunner, false),
	Entry("the runner is overcommitted already", func(t *Task) { t.Needs = protocol.Resources{} },
		func(r *Runner) { r.Free = protocol.Resources{MemoryMB: -5, CPU: 9} }, false),
	Entry("the runner has the required label", func(t *Task) { t.Requirements = "a" }, func(*Runner) {}, true),
	Entry("the required label is the runner's rack", func(t *Task) { t.Requirements = "r1" }, func(*Runner) {}, true),
	Entry("the runner does not have the required label", func(t *Task) { t.Requirements = "b" }, func(*Runner) {}, false),
	Entry("the runner is draining", func(*Task) {}, func(r *Runner) { r.Draining = true }, false),
	Entry("the runner has fewer tasks of its step than anti-affinity allows", func(t *Task) { t.AntiAffinity = 2 },
		func(r *Runner) { r.GroupCount["t-step"] = 1 }, true),
	Entry("the runner has as many tasks of its step as anti-affinity allows", func(t *Task) { t.AntiAffinity = 2 },
		func(r *Runner) { r.GroupCount["t-step"] = 2 }, false),
	Entry("the runner has only tasks of other steps", func(t *Task) { t.AntiAffinity = 1 }, func(r *Runner) { r.GroupCount["u-step"] = 5 }, true),
	Entry("the runner is unreliable, and there is no other", func(*Task) {}, func(r *Runner) { r.FailureScore = 1 }, true),
)

// tasksOfStep returns count tasks of one step.
func tasksOfStep(name string, count int, change func(*Task)) []Task {
	var tasks []Task
	for i := range count {
		tasks = append(tasks, taskOf(name+string(rune('0'+i)), func(t *Task) { t.Group = name }, change))
	}
	return tasks
}

// perRunner counts the placed tasks by runner.
func perRunner(where map[string]string) map[string]int {
	counts := map[string]int{}
	for _, runner := range where {
		counts[runner]++
	}
	return counts
}

var _ = Describe("several tasks", func() {
	It("fill a runner up to its capacity, then the next", func() {
		tasks := tasksOfStep("t", 7, func(t *Task) { t.Needs = cpu(4) })
		counts := perRunner(round(tasks, []Runner{runnerOf("r"), runnerOf("s"), runnerOf("u", fullRunner)}))
		Expect(counts).To(Equal(map[string]int{"r": 4, "s": 3}))
	})
	It("stay pending if they don't fit", func() {
		tasks := tasksOfStep("t", 9, func(t *Task) { t.Needs = cpu(5) })
		Expect(perRunner(round(tasks, []Runner{runnerOf("r"), runnerOf("s")}))).To(Equal(map[string]int{"r": 3, "s": 3}))
	})
	It("obey anti-affinity within one round", func() {
		tasks := tasksOfStep("t", 9, func(t *Task) { t.AntiAffinity = 2 })
		Expect(perRunner(round(tasks, []Runner{runnerOf("r"), runnerOf("s")}))).To(Equal(map[string]int{"r": 2, "s": 2}))
	})
	It("are packed on the runner with the least capacity left over, so that large tasks fit on others", func() {
		used := runnerOf("used", func(r *Runner) { r.Running = []Run{{Needs: cpu(10), Predicted: 5 * second}} })
		tasks := tasksOfStep("t", 4, func(*Task) {})
		Expect(perRunner(round(tasks, []Runner{runnerOf("empty"), used}))).To(Equal(map[string]int{"used": 4}))
	})
	It("leave runners with accelerators to tasks that need them", func() {
		gpu := runnerOf("gpu", func(r *Runner) { r.Capacity = withGPU(8) })
		Expect(round([]Task{taskOf("t")}, []Runner{gpu, runnerOf("plain")})).To(Equal(map[string]string{"t": "plain"}))
	})
	It("are spread over runners and racks if they are long-running", func() {
		tasks := tasksOfStep("t", 4, func(t *Task) { t.LongRunning = true })
		runners := []Runner{runnerOf("a"), runnerOf("b"), runnerOf("c", inRack("r2")), runnerOf("d", inRack("r3"))}
		Expect(perRunner(round(tasks, runners))).To(Equal(map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}))
		Expect(perRunner(round(tasks[:2], runners[:3]))).To(HaveKey("c"))
	})
})

var _ = Describe("the order in which tasks are placed", func() {
	one := func() []Runner { return []Runner{runnerOf("r", func(r *Runner) { r.Capacity = cpu(1) })} }
	DescribeTable("if there is a slot for one task only", func(change func(first, second *Task), want string) {
		tasks := []Task{taskOf("first"), taskOf("second")}
		change(&tasks[0], &tasks[1])
		Expect(round(tasks, one())).To(Equal(map[string]string{want: "r"}))
	},
		Entry("a task of lower priority goes last, however little time it has left", func(first, other *Task) {
			first.Priority, first.TimeLeft = 1, 1500*time.Millisecond
		}, "second"),
		Entry("a task of lower priority goes last, even after a late task", func(first, other *Task) { first.Priority, other.TimeLeft = 1, -9*second }, "second"),
		Entry("the task with less time left goes first", func(first, other *Task) { other.TimeLeft = 4 * second }, "second"),
		Entry("the task whose job has less remaining work goes first, whatever time is left", func(first, other *Task) {
			first.RemainingWork, other.RemainingWork, first.TimeLeft = 20, 10, 4*second
		}, "second"),
		Entry("late tasks go by rank, whatever work remains", func(first, other *Task) {
			first.TimeLeft, first.TimeToExpiry, first.RemainingWork, first.Waited = 0, 9*second, 20, 4*second
			other.TimeLeft, other.TimeToExpiry, other.RemainingWork = 0, 9*second, 10
		}, "first"),
		Entry("the shorter task goes first at equal time left", func(first, other *Task) { first.SizeMs = 5000 }, "second"),
		Entry("a late task goes after one that is on time", func(first, other *Task) { first.TimeLeft = 0 }, "second"),
		Entry("a late task that has waited long goes first", func(first, other *Task) {
			first.TimeLeft, first.TimeToExpiry, first.Waited = 0, 16*second, 8*second
		}, "first"),
	)
	mostlyUsed := func() []Runner {
		return []Runner{runnerOf("r", func(r *Runner) {
			r.Capacity, r.Running = cpu(10), []Run{{Needs: cpu(9), Predicted: 9 * second}}
		})}
	}
	DescribeTable("if there is a slot for one task only and most of the service is in use", func(change func(first, second *Task), want string) {
		tasks := []Task{taskOf("first"), taskOf("second")}
		change(&tasks[0], &tasks[1])
		Expect(round(tasks, mostlyUsed())).To(Equal(map[string]string{want: "r"}))
	},
		Entry("an expired task goes after a late one, however long it has waited", func(first, other *Task) {
			first.TimeLeft, first.Waited = -60*second, 80*second
			other.TimeLeft, other.TimeToExpiry = 0, 2*second
		}, "second"),
		Entry("a task that would end after its expiry goes after a late one", func(first, other *Task) {
			first.TimeLeft, first.TimeToExpiry, first.Waited = -2*second, 900*time.Millisecond, 8*second
			other.TimeLeft, other.TimeToExpiry = 0, 2*second
		}, "second"),
		Entry("an aged task goes before a late one", func(first, other *Task) {
			first.TimeLeft, first.Waited, first.Aged = -60*second, 80*second, true
			other.TimeLeft, other.TimeToExpiry = 0, 2*second
		}, "first"),
		Entry("an aged task goes after one that is on time", func(first, other *Task) {
			first.TimeLeft, first.Waited, first.Aged = -60*second, 80*second, true
		}, "second"),
	)
	It("does not let tasks for which there is no capacity keep others out of the round", func() {
		tasks := tasksOfStep("t", 9, func(t *Task) { t.Requirements = "nowhere" })
		for len(tasks) < 3*maxSingles {
			tasks = append(tasks, tasks[:9]...)
		}
		tasks = append(tasks, taskOf("last", func(t *Task) { t.Priority = 2 }))
		Expect(round(tasks, []Runner{runnerOf("r")})).To(Equal(map[string]string{"last": "r"}))
	})
})

var _ = Describe("waiting for a better runner", func() {
	// near returns a runner in the rack of the data without free capacity until its run ends.
	near := func(left time.Duration) Runner {
		return runnerOf("near", func(r *Runner) {
			r.Running = []Run{{Needs: cpu(16), Predicted: 10 * second, Elapsed: 10*second - left}}
		})
	}
	far := runnerOf("far", inRack("r2"))
	task := func(waited time.Duration) []Task {
		return []Task{taskOf("t", func(t *Task) { t.Affinity, t.SizeMs, t.Waited = "r1", 4000, waited })}
	}
	DescribeTable("a task whose data is in a rack without free capacity", func(left, waited time.Duration, want string) {
		Expect(round(task(waited), []Runner{near(left), far})["t"]).To(Equal(want))
	},
		Entry("waits if a runner in the rack will be free soon", 1*second, time.Duration(0), ""),
		Entry("starts in another rack if waiting would take longer than it gains", 5*second, time.Duration(0), "far"),
		Entry("starts in another rack once it has waited for as long as it can gain", 1*second, 2100*time.Millisecond, "far"),
	)
	It("starts in the rack of its data at once if there is capacity", func() {
		Expect(round(task(0), []Runner{far, runnerOf("near")})).To(Equal(map[string]string{"t": "near"}))
	})
	It("waits for a normal runner instead of starting on a much slower one", func() {
		slow := runnerOf("slow", func(r *Runner) { r.Slowness = 6 })
		Expect(round(task(0), []Runner{near(1 * second), slow})).To(BeEmpty())
	})
})

var _ = Describe("an unreliable runner", func() {
	bad := runnerOf("bad", func(r *Runner) { r.FailureScore = 0.9 })
	good := func(change func(*Runner)) []Runner {
		return []Runner{bad, runnerOf("good1", change), runnerOf("good2", change)}
	}
	soon := func(r *Runner) { r.Running = []Run{{Needs: cpu(16), Predicted: 20 * second}} }
	It("is avoided while others have free capacity", func() {
		Expect(perRunner(round(tasksOfStep("t", 20, func(*Task) {}), good(func(*Runner) {})))).NotTo(HaveKey("bad"))
	})
	It("gets one task as a probe while the others are full", func() {
		Expect(perRunner(round(tasksOfStep("t", 5, func(*Task) {}), good(soon)))).To(Equal(map[string]int{"bad": 1}))
	})
	It("gets no second task while it has a run", func() {
		runners := good(soon)
		runners[0].Running = []Run{{Needs: cpu(1), Predicted: second}}
		Expect(round(tasksOfStep("t", 5, func(*Task) {}), runners)).To(BeEmpty())
	})
	It("is treated as reliable if nearly all are unreliable", func() {
		runners := good(func(r *Runner) { r.FailureScore = 0.9 })
		Expect(round(tasksOfStep("t", 20, func(*Task) {}), runners)).To(HaveLen(20))
	})
	It("gets the tasks that no other runner can run", func() {
		runners := good(func(*Runner) {})
		runners[0].Labels = []string{"only"}
		Expect(round(tasksOfStep("t", 5, func(t *Task) { t.Requirements = "only" }), runners)).To(HaveLen(5))
	})
	It("gets one task of a starving step", func() {
		runners := good(func(r *Runner) { r.Capacity = cpu(1) })
		runners[0].Running = []Run{{Needs: cpu(1), Predicted: second}}
		tasks := tasksOfStep("t", 3, func(t *Task) { t.Needs, t.Waited = cpu(2), 2*second })
		tasks = append(tasks, tasksOfStep("u", 1, func(t *Task) { t.Waited = 2 * second })...)
		Expect(round(tasks, runners)).To(HaveKeyWithValue("t0", "bad"))
	})
})

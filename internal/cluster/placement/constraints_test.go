package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("where a task may go", func(task func(*Task), runner func(*Runner), want bool) {
	_, placed := round([]Task{taskOf("t", task)}, []Runner{runnerOf("r", runner)})["t"]
	Expect(placed).To(Equal(want))
},
	Entry("room", func(*Task) {}, func(*Runner) {}, true),
	Entry("exactly its cores", func(t *Task) { t.Needs = cpu(16) }, func(*Runner) {}, true),
	Entry("a thousandth of a core too few", func(t *Task) { t.Needs.CPU = 16001 }, func(*Runner) {}, false),
	Entry("too little memory", func(t *Task) { t.Needs.MemoryMB = 16001 }, func(*Runner) {}, false),
	Entry("no accelerator", func(t *Task) { t.Needs.GPU = 1 }, func(*Runner) {}, false),
	Entry("accelerators", func(t *Task) { t.Needs.GPU = 2 }, func(r *Runner) { r.Capacity.GPU = 2 }, true),
	Entry("capacity, but not free", func(*Task) {}, full, false),
	Entry("over its capacity already", func(t *Task) { t.Needs = protocol.Resources{} },
		func(r *Runner) { r.Free = protocol.Resources{MemoryMB: -5, CPU: 9} }, false),
	Entry("its label", func(t *Task) { t.Requirements = "a" }, func(*Runner) {}, true),
	Entry("a rack as label", func(t *Task) { t.Requirements = "r1" }, func(*Runner) {}, true),
	Entry("not its label", func(t *Task) { t.Requirements = "b" }, func(*Runner) {}, false),
	Entry("draining", func(*Task) {}, func(r *Runner) { r.Draining, r.RemainingLeft = true, 60*second }, false),
	Entry("beside fewer of its step than allowed", func(t *Task) { t.AntiAffinity = 2 },
		func(r *Runner) { r.GroupCount["t-step"] = 1 }, true),
	Entry("beside as many as allowed", func(t *Task) { t.AntiAffinity = 2 },
		func(r *Runner) { r.GroupCount["t-step"] = 2 }, false),
	Entry("beside others", func(t *Task) { t.AntiAffinity = 1 }, func(r *Runner) { r.GroupCount["u-step"] = 5 }, true),
	Entry("on a distrusted runner if there is no other", func(*Task) {}, func(r *Runner) { r.FailureScore = 1 }, true),
)

// steps returns count tasks of one step.
func steps(name string, count int, change func(*Task)) []Task {
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

var _ = Describe("several places", func() {
	It("fills a runner as far as its room goes, and the next", func() {
		tasks := steps("t", 7, func(t *Task) { t.Needs = cpu(4) })
		counts := perRunner(round(tasks, []Runner{runnerOf("r"), runnerOf("s"), runnerOf("u", full)}))
		Expect(counts).To(Equal(map[string]int{"r": 4, "s": 3}))
	})
	It("places no more than fit, the rest waits", func() {
		tasks := steps("t", 9, func(t *Task) { t.Needs = cpu(5) })
		Expect(perRunner(round(tasks, []Runner{runnerOf("r"), runnerOf("s")}))).To(Equal(map[string]int{"r": 3, "s": 3}))
	})
	It("keeps within the anti-affinity of what it places at once", func() {
		tasks := steps("t", 9, func(t *Task) { t.AntiAffinity = 2 })
		Expect(perRunner(round(tasks, []Runner{runnerOf("r"), runnerOf("s")}))).To(Equal(map[string]int{"r": 2, "s": 2}))
	})
	It("leaves large holes whole: small tasks go where least is left", func() {
		used := runnerOf("used", func(r *Runner) { r.Running = []Run{{Needs: cpu(10), Predicted: 5 * second}} })
		tasks := steps("t", 4, func(*Task) {})
		Expect(perRunner(round(tasks, []Runner{runnerOf("empty"), used}))).To(Equal(map[string]int{"used": 4}))
	})
	It("keeps runners with accelerators for what needs them", func() {
		gpu := runnerOf("gpu", func(r *Runner) { r.Capacity = withGPU(8) })
		Expect(round([]Task{taskOf("t")}, []Runner{gpu, runnerOf("plain")})).To(Equal(map[string]string{"t": "plain"}))
	})
	It("spreads what lasts over runners and racks", func() {
		tasks := steps("t", 4, func(t *Task) { t.LongRunning = true })
		runners := []Runner{runnerOf("a"), runnerOf("b"), runnerOf("c", inRack("r2")), runnerOf("d", inRack("r3"))}
		Expect(perRunner(round(tasks, runners))).To(Equal(map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}))
		Expect(perRunner(round(tasks[:2], runners[:3]))).To(HaveKey("c"))
	})
})

var _ = Describe("the order when room is short", func() {
	one := func() []Runner { return []Runner{runnerOf("r", func(r *Runner) { r.Capacity = cpu(1) })} }
	DescribeTable("one place", func(change func(first, second *Task), want string) {
		tasks := []Task{taskOf("first"), taskOf("second")}
		change(&tasks[0], &tasks[1])
		Expect(round(tasks, one())).To(Equal(map[string]string{want: "r"}))
	},
		Entry("less priority goes last, however urgent", func(first, other *Task) {
			first.Priority, first.TimeLeft = 1, 1500*time.Millisecond
		}, "second"),
		Entry("also behind what is late", func(first, other *Task) { first.Priority, other.TimeLeft = 1, -9*second }, "second"),
		Entry("what has less time left goes first", func(first, other *Task) { other.TimeLeft = 4 * second }, "second"),
		Entry("the shorter goes first at equal time left", func(first, other *Task) { first.SizeMs = 5000 }, "second"),
		Entry("what is late goes after what is not", func(first, other *Task) { first.TimeLeft = 0 }, "second"),
		Entry("unless it has waited for long", func(first, other *Task) {
			first.TimeLeft, first.Waited = 0, 8*second
		}, "first"),
	)
	It("lets tasks without room hide none behind them", func() {
		tasks := steps("t", 9, func(t *Task) { t.Requirements = "nowhere" })
		for len(tasks) < 3*chosenMost {
			tasks = append(tasks, tasks[:9]...)
		}
		tasks = append(tasks, taskOf("last", func(t *Task) { t.Priority = 2 }))
		Expect(round(tasks, []Runner{runnerOf("r")})).To(Equal(map[string]string{"last": "r"}))
	})
})

var _ = Describe("waiting for a better room", func() {
	// near has no room until its run ends.
	near := func(left time.Duration) Runner {
		return runnerOf("near", func(r *Runner) {
			r.Running = []Run{{Needs: cpu(16), Predicted: 10 * second, Elapsed: 10*second - left}}
		})
	}
	far := runnerOf("far", inRack("r2"))
	task := func(waited time.Duration) []Task {
		return []Task{taskOf("t", func(t *Task) { t.Affinity, t.SizeMs, t.Waited = "r1", 4000, waited })}
	}
	DescribeTable("near its data", func(left, waited time.Duration, want string) {
		Expect(round(task(waited), []Runner{near(left), far})["t"]).To(Equal(want))
	},
		Entry("waits if that soon has room", 1*second, time.Duration(0), ""),
		Entry("goes far if that takes longer than it gains", 5*second, time.Duration(0), "far"),
		Entry("goes far if it has waited for as much as it gains", 1*second, 2100*time.Millisecond, "far"),
	)
	It("goes near at once if there is room", func() {
		Expect(round(task(0), []Runner{far, runnerOf("near")})).To(Equal(map[string]string{"t": "near"}))
	})
	It("waits for a sound runner rather than go to one that is much slower", func() {
		slow := runnerOf("slow", func(r *Runner) { r.Slowness = 6 })
		Expect(round(task(0), []Runner{near(1 * second), slow})).To(BeEmpty())
	})
})

var _ = Describe("a distrusted runner", func() {
	bad := runnerOf("bad", func(r *Runner) { r.FailureScore = 0.9 })
	good := func(change func(*Runner)) []Runner {
		return []Runner{bad, runnerOf("good1", change), runnerOf("good2", change)}
	}
	soon := func(r *Runner) { r.Running = []Run{{Needs: cpu(16), Predicted: 20 * second}} }
	It("is avoided while others have room", func() {
		Expect(perRunner(round(steps("t", 20, func(*Task) {}), good(func(*Runner) {})))).NotTo(HaveKey("bad"))
	})
	It("gets one task to try when others are full", func() {
		Expect(perRunner(round(steps("t", 5, func(*Task) {}), good(soon)))).To(Equal(map[string]int{"bad": 1}))
	})
	It("gets no other while it has one", func() {
		runners := good(soon)
		runners[0].Running = []Run{{Needs: cpu(1), Predicted: second}}
		Expect(round(steps("t", 5, func(*Task) {}), runners)).To(BeEmpty())
	})
	It("takes all if nearly all are distrusted", func() {
		runners := good(func(r *Runner) { r.FailureScore = 0.9 })
		Expect(round(steps("t", 20, func(*Task) {}), runners)).To(HaveLen(20))
	})
	It("takes what can run nowhere else", func() {
		runners := good(func(*Runner) {})
		runners[0].Labels = []string{"only"}
		Expect(round(steps("t", 5, func(t *Task) { t.Requirements = "only" }), runners)).To(HaveLen(5))
	})
	It("takes one of a step that waits too long while much is free", func() {
		runners := good(func(r *Runner) { r.Capacity = cpu(1) })
		runners[0].Running = []Run{{Needs: cpu(1), Predicted: second}}
		tasks := steps("t", 3, func(t *Task) { t.Needs, t.Waited = cpu(2), 2*second })
		tasks = append(tasks, steps("u", 1, func(t *Task) { t.Waited = 2 * second })...)
		Expect(round(tasks, runners)).To(HaveKeyWithValue("t0", "bad"))
	})
})

package placement

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("the cost of a pairing", func(weight, runtime, left, largest, want float64) {
	Expect(pairingCost(weight, runtime, left, largest)).To(BeNumerically("~", want, 1e-12))
},
	Entry("is C x L", 0.5, 3.0, 10.0, 20.0, 1.5),
	Entry("is C x L for a runtime of exactly 0.98 of the time left", 1.0, 9.8, 10.0, 20.0, 9.8),
	Entry("is ten times the round's largest time left for a longer runtime", 1.0, 9.81, 10.0, 20.0, 200.0),
	Entry("is ten times the round's largest time left if no time is left", 0.5, 0.1, -3.0, 20.0, 200.0),
)

// prepareRound runs the steps of a round before the placement of tasks.
func prepareRound(p *Planner, tasks []Task, runners []Runner) {
	p.tasks, p.runners = tasks, runners
	p.takeSnapshot()
	p.predictRuntimes()
	p.selectCandidates()
}

// observeKinds reports runs of a queue. Their runtimes equal their hints on kind a, and slower times their hints on
// kind b.
func observeKinds(p *Planner, queue string, slower float64) {
	for range 60 {
		for _, size := range []float64{500, 1000, 2000, 4000} {
			took := time.Duration(size * float64(time.Millisecond))
			p.Predictor().Observe(queue, "a", size, took, false)
			p.Predictor().Observe(queue, "b", size, time.Duration(float64(took)*slower), false)
		}
	}
}

func ofKind(kind string) func(*Runner) { return func(r *Runner) { r.Kind = kind } }

var _ = Describe("the weight of a kind", func() {
	It("is the largest task's runtime on the fastest kind over its runtime on this one", func() {
		p := NewPlanner(testOptions)
		observeKinds(p, "q", 2)   // small tasks run twice as long on b
		observeKinds(p, "big", 4) // the largest task runs four times as long on b
		tasks := []Task{taskOf("small"), taskOf("large", func(t *Task) { t.Queue, t.SizeMs = "big", 4000 })}
		prepareRound(p, tasks, []Runner{runnerOf("fast"), runnerOf("slow", ofKind("b"))})
		onA, onB := p.Predictor().Predict("big", "a", 4000), p.Predictor().Predict("big", "b", 4000)
		Expect(p.weights).To(HaveLen(2))
		Expect(p.weights[0]).To(Equal(1.0))
		Expect(p.weights[1]).To(BeNumerically("~", float64(onA)/float64(onB), 1e-6))
		Expect(p.weights[1]).To(BeNumerically("~", 0.25, 0.02))
	})

	It("makes a small task, which the slow kind slows least, leave the fast kind to a large task", func() {
		p := NewPlanner(testOptions)
		observeKinds(p, "q", 1.2)
		observeKinds(p, "big", 4)
		tasks := []Task{taskOf("small"), taskOf("large", func(t *Task) { t.Queue, t.SizeMs = "big", 4000 })}
		runners := []Runner{runnerOf("fast"), runnerOf("slow", ofKind("b"))}
		where := placed(tasks, runners, p.Round(0, tasks, runners))
		Expect(where["small"]).To(Equal("slow"))
		Expect(where["large"]).To(Equal("fast")) // it takes 4 s on kind a and 16 s on kind b, and has 10 s left
	})
})

var _ = DescribeTable("the predicted runtime of a task on a runner", func(task func(*Task), runner func(*Runner), want float64) {
	p := NewPlanner(testOptions)
	tasks := []Task{taskOf("t", task)}
	runners := []Runner{runnerOf("r", runner)}
	prepareRound(p, tasks, runners)
	Expect(p.runtime(&p.candidates[0], &p.runnerStates[0])).To(BeNumerically("~", want, 1e-9))
},
	Entry("equals the predictor's", func(*Task) {}, func(*Runner) {}, 1.0),
	Entry("is not longer in the rack of its data", func(t *Task) { t.Affinity = "r1" }, func(*Runner) {}, 1.0),
	Entry("is longer outside the rack of its data", func(t *Task) { t.Affinity = "r2" }, func(*Runner) {}, 1.5),
	Entry("is longer on a slow runner", func(*Task) {}, func(r *Runner) { r.Slowness = 4 }, 4.0),
	Entry("is not longer on a runner without a known slowness", func(*Task) {}, func(r *Runner) { r.Slowness = 0 }, 1.0),
	Entry("is longer on a runner that is warming up", func(*Task) {}, func(r *Runner) { r.WarmingUp = 2 * second }, 2.0),
	Entry("is that of the remaining work and of restoring a checkpoint", func(t *Task) { t.HasCheckpoint, t.Remaining = true, 0.5 }, func(*Runner) {}, 1.1),
	Entry("is that of the complete work if the remaining fraction is unknown", func(t *Task) { t.Remaining = 0 }, func(*Runner) {}, 1.0),
)

var _ = Describe("the penalty for a late pairing", func() {
	It("places a task on a runner on which it ends in time, though another one would have a lower cost by runtime", func() {
		p := NewPlanner(testOptions)
		observeKinds(p, "q", 1.2)
		observeKinds(p, "big", 4)
		tight := taskOf("tight", func(t *Task) { t.TimeLeft = 1100 * time.Millisecond })
		large := taskOf("large", func(t *Task) { t.Queue, t.SizeMs, t.TimeLeft = "big", 4000, 60*second })
		tasks, runners := []Task{tight, large}, []Runner{runnerOf("fast"), runnerOf("slow", ofKind("b"))}
		Expect(placed(tasks, runners, p.Round(0, tasks, runners))["tight"]).To(Equal("fast"))
	})

	It("places a task that is late on all runners on the fastest one", func() {
		late := taskOf("late", func(t *Task) { t.TimeLeft = -second })
		runners := []Runner{runnerOf("slow", func(r *Runner) { r.Slowness = 1.5 }), runnerOf("fast")}
		Expect(round([]Task{late}, runners)).To(Equal(map[string]string{"late": "fast"}))
	})
})

// runnersForOneEach returns runners of the given slowness, each with free capacity for one task.
func runnersForOneEach(slowness []float64) []Runner {
	var runners []Runner
	for i, slow := range slowness {
		runners = append(runners, runnerOf(string(rune('A'+i)), func(r *Runner) {
			r.Free = cpu(1)
			r.Slowness = slow
		}))
	}
	return runners
}

var _ = DescribeTable("the placements of a small round have the lowest total cost", func(sizes, slowness []float64) {
	p := NewPlanner(testOptions)
	var tasks []Task
	for i, size := range sizes {
		tasks = append(tasks, taskOf(string(rune('a'+i)), func(t *Task) {
			t.SizeMs, t.Waited = size, 60*second // too long to wait longer for a better runner
			t.TimeLeft = 20 * second
			if i%2 == 1 {
				t.Affinity = "r2"
			}
		}))
	}
	runners := runnersForOneEach(slowness)
	for i := range runners {
		if i%2 == 0 {
			inRack("r2")(&runners[i])
		}
	}
	result := p.Round(0, tasks, runners)
	Expect(result.Placements).To(HaveLen(min(len(tasks), len(runners))))
	sum := 0.0
	prepareRound(p, tasks, runners)
	byTask := map[int]*candidate{}
	for i := range p.candidates {
		byTask[p.candidates[i].index] = &p.candidates[i]
	}
	for _, placement := range result.Placements {
		sum += p.cost(byTask[placement.Task], &p.runnerStates[placement.Runner])
	}
	Expect(sum).To(BeNumerically("~", minCost(p, byTask, 0, 0), 1e-9))
},
	Entry("for one task", []float64{1000}, []float64{2, 1, 3}),
	Entry("for as many tasks as slots", []float64{1000, 3000, 500}, []float64{1, 2, 4}),
	Entry("if the greedy choice is not the best", []float64{4000, 3000, 1000, 2500}, []float64{1, 1.1, 1.2, 4}),
	Entry("if some tasks are late", []float64{9000, 8000, 1000, 500}, []float64{1, 2, 3, 4, 5}),
	Entry("if half of the tasks have data in another rack", []float64{2000, 2000, 2000, 2000, 2000}, []float64{1, 1, 1.6, 1.4, 2}),
)

// minCost returns the lowest total cost of placing each task on a different runner, by trying all possibilities.
func minCost(p *Planner, tasks map[int]*candidate, next int, used uint) float64 {
	if next == len(tasks) {
		return 0
	}
	best := math.Inf(1)
	for k := range p.runnerStates {
		if used>>k&1 == 0 {
			best = min(best, p.cost(tasks[next], &p.runnerStates[k])+minCost(p, tasks, next+1, used|1<<k))
		}
	}
	return best
}

package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runOf returns a run of 4 cores and priority 2 with 10 s to go, of which 200 ms would be lost.
func runOf(change ...func(*Run)) Run {
	run := Run{Needs: cpu(4), Priority: 2, Predicted: 15 * second, Elapsed: 5 * second, CheckpointAge: 200 * time.Millisecond}
	for _, apply := range change {
		apply(&run)
	}
	return run
}

// fullOf returns a runner full of four such runs.
func fullOf(id string, change ...func(*Run)) Runner {
	return runnerOf(id, func(r *Runner) {
		for range 4 {
			r.Running = append(r.Running, runOf(change...))
		}
	})
}

// urgent returns a task of 4 cores that takes a second and has three left.
func urgent(change ...func(*Task)) Task {
	task := taskOf("urgent", func(t *Task) { t.Needs, t.TimeLeft = cpu(4), 3*second })
	for _, apply := range change {
		apply(&task)
	}
	return task
}

func stops(tasks []Task, runners []Runner) []Stop {
	return NewPlanner(testOptions).Round(0, tasks, runners).Stops
}

var _ = DescribeTable("stopping runs for an urgent task", func(task func(*Task), run func(*Run), want int) {
	Expect(stops([]Task{urgent(task)}, []Runner{fullOf("r", run)})).To(HaveLen(want))
},
	Entry("one that makes the room", func(*Task) {}, func(*Run) {}, 1),
	Entry("as many as make the room", func(t *Task) { t.Needs = cpu(7) }, func(*Run) {}, 2),
	Entry("for any priority above theirs", func(t *Task) { t.Priority = 1 }, func(*Run) {}, 1),
	Entry("not for the same priority", func(t *Task) { t.Priority = 2 }, func(*Run) {}, 0),
	Entry("not for less", func(t *Task) { t.Priority = 3 }, func(*Run) {}, 0),
	Entry("not if one ends in time by itself", func(*Task) {}, func(r *Run) { r.Elapsed = 13500 * time.Millisecond }, 0),
	Entry("not if it would be late all the same", func(t *Task) { t.TimeLeft = 1800 * time.Millisecond }, func(*Run) {}, 0),
	Entry("not if it is late", func(t *Task) { t.TimeLeft = -second }, func(*Run) {}, 0),
	Entry("never a member of a gang", func(*Task) {}, func(r *Run) { r.Gang = true }, 0),
	Entry("never what lasts", func(*Task) {}, func(r *Run) { r.LongRunning = true }, 0),
	Entry("not what is being stopped, whose room comes anyway", func(*Task) {}, func(r *Run) { r.Stopping = true }, 0),
	Entry("not what would lose far more than is won", func(*Task) {}, func(r *Run) { r.CheckpointAge = 5 * second }, 0),
	Entry("at most a quarter of what is won, and half a core-second", func(*Task) {},
		func(r *Run) { r.CheckpointAge = 370 * time.Millisecond }, 1),
	Entry("no more than that", func(*Task) {}, func(r *Run) { r.CheckpointAge = 380 * time.Millisecond }, 0),
	Entry("not for a task that lasts", func(t *Task) { t.LongRunning = true }, func(*Run) {}, 0),
	Entry("not for what no runner can take", func(t *Task) { t.Requirements = "none" }, func(*Run) {}, 0),
)

var _ = Describe("what is stopped", func() {
	It("is what loses least", func() {
		runner := fullOf("r")
		runner.Running[2].CheckpointAge = 100 * time.Millisecond
		Expect(stops([]Task{urgent()}, []Runner{fullOf("s"), runner})).To(Equal([]Stop{{Runner: 1, Run: 2}}))
	})
	It("counts an accelerator as eight cores", func() {
		gpu := runnerOf("gpu", func(r *Runner) {
			r.Capacity = withGPU(8)
			r.Running = []Run{
				runOf(func(r *Run) { r.Needs, r.CheckpointAge = withGPU(4), 20*time.Millisecond }),
				runOf(func(r *Run) { r.Needs, r.CheckpointAge = cpu(4), 150*time.Millisecond }),
			}
		})
		Expect(stops([]Task{urgent()}, []Runner{gpu})).To(Equal([]Stop{{Runner: 0, Run: 1}}))
	})
	It("is no more than needed: small ones are spared where a large one makes all the room", func() {
		runner := runnerOf("r", func(r *Runner) {
			r.Running = []Run{
				runOf(func(r *Run) { r.Needs, r.CheckpointAge = cpu(1), 0 }),
				runOf(func(r *Run) { r.Needs, r.CheckpointAge = cpu(15), 50*time.Millisecond }),
			}
		})
		Expect(stops([]Task{urgent()}, []Runner{runner})).To(Equal([]Stop{{Runner: 0, Run: 1}}))
	})
	It("is nothing while others' room is on its way and is enough", func() {
		runner := fullOf("r")
		runner.Running[0].Stopping = true
		Expect(stops([]Task{urgent()}, []Runner{runner})).To(BeEmpty())
	})
	It("is one more for a second task", func() {
		runner := fullOf("r")
		runner.Running[0].Stopping = true
		second := urgent(func(t *Task) { t.Key = "second" })
		Expect(stops([]Task{urgent(), second}, []Runner{runner})).To(HaveLen(1))
	})
	It("is bounded in one round", func() {
		var tasks []Task
		for range 60 {
			tasks = append(tasks, urgent())
		}
		var runners []Runner
		for range 20 {
			runners = append(runners, fullOf("r"))
		}
		Expect(len(stops(tasks, runners))).To(And(BeNumerically(">", 0), BeNumerically("<=", stopsMost)))
	})
	It("makes room for a whole gang in one rack, or for none of it", func() {
		members := func(count int) []Task {
			return steps("g", count, func(t *Task) {
				t.Gang, t.RackLocal, t.Needs, t.TimeLeft = true, true, cpu(4), 3*second
			})
		}
		runners := []Runner{fullOf("a"), fullOf("b"), fullOf("c")}
		inRack("r2")(&runners[1])
		inRack("r2")(&runners[2])
		Expect(stops(members(2), runners)).To(Equal([]Stop{{Runner: 1, Run: 0}, {Runner: 2, Run: 0}}))
		Expect(stops(members(3), runners)).To(BeEmpty())
	})
	It("does not happen for what has found a place", func() {
		Expect(stops([]Task{urgent()}, []Runner{fullOf("r"), runnerOf("s")})).To(BeEmpty())
	})
})

package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runOf returns a run of 4 cores and priority 2 that is expected to end in 10 s and would lose 200 ms of runtime by a stop.
func runOf(change ...func(*Run)) Run {
	run := Run{Needs: cpu(4), Priority: 2, Predicted: 15 * second, Elapsed: 5 * second, CheckpointAge: 200 * time.Millisecond}
	for _, apply := range change {
		apply(&run)
	}
	return run
}

// fullOf returns a runner that is filled by four runs of runOf.
func fullOf(id string, change ...func(*Run)) Runner {
	return runnerOf(id, func(r *Runner) {
		for range 4 {
			r.Running = append(r.Running, runOf(change...))
		}
	})
}

// urgent returns a task that needs 4 cores, has a hint of one second and three seconds left to its objective.
func urgent(change ...func(*Task)) Task {
	task := taskOf("urgent", func(t *Task) { t.Needs, t.TimeLeft = cpu(4), 3*second })
	for _, apply := range change {
		apply(&task)
	}
	return task
}

// stops returns the stops of one round of a new planner.
func stops(tasks []Task, runners []Runner) []Stop {
	return NewPlanner(testOptions).Round(0, tasks, runners).Stops
}

var _ = DescribeTable("the number of runs that are preempted for an urgent task", func(task func(*Task), run func(*Run), want int) {
	Expect(stops([]Task{urgent(task)}, []Runner{fullOf("r", run)})).To(HaveLen(want))
},
	Entry("one if that is enough", func(*Task) {}, func(*Run) {}, 1),
	Entry("two if both are needed", func(t *Task) { t.Needs = cpu(7) }, func(*Run) {}, 2),
	Entry("one if the task has any higher priority", func(t *Task) { t.Priority = 1 }, func(*Run) {}, 1),
	Entry("none if the task has the same priority", func(t *Task) { t.Priority = 2 }, func(*Run) {}, 0),
	Entry("none if the task has a lower priority", func(t *Task) { t.Priority = 3 }, func(*Run) {}, 0),
	Entry("none if one is expected to end in time", func(*Task) {}, func(r *Run) { r.Elapsed = 13500 * time.Millisecond }, 0),
	Entry("none if the task would be late even then", func(t *Task) { t.TimeLeft = 1800 * time.Millisecond }, func(*Run) {}, 0),
	Entry("none if the task is late", func(t *Task) { t.TimeLeft = -second }, func(*Run) {}, 0),
	Entry("none if the task is aged", func(t *Task) { t.TimeLeft, t.Waited, t.Aged = -60*second, 80*second, true }, func(*Run) {}, 0),
	Entry("none if all are members of gangs", func(*Task) {}, func(r *Run) { r.Gang = true }, 0),
	Entry("none if all are long-running", func(*Task) {}, func(r *Run) { r.LongRunning = true }, 0),
	Entry("none if all are being stopped already", func(*Task) {}, func(r *Run) { r.Stopping = true }, 0),
	Entry("none if each would lose far more work than the task has", func(*Task) {}, func(r *Run) { r.CheckpointAge = 5 * second }, 0),
	Entry("one if it loses just less than a quarter of the task's work plus half a core-second", func(*Task) {},
		func(r *Run) { r.CheckpointAge = 370 * time.Millisecond }, 1),
	Entry("none if each loses more than that", func(*Task) {}, func(r *Run) { r.CheckpointAge = 380 * time.Millisecond }, 0),
	Entry("none if the task is long-running", func(t *Task) { t.LongRunning = true }, func(*Run) {}, 0),
	Entry("none if no runner can run the task", func(t *Task) { t.Requirements = "none" }, func(*Run) {}, 0),
)

var _ = Describe("the victim of a preemption", func() {
	It("is the run that loses the least work", func() {
		runner := fullOf("r")
		runner.Running[2].CheckpointAge = 100 * time.Millisecond
		Expect(stops([]Task{urgent()}, []Runner{fullOf("s"), runner})).To(Equal([]Stop{{Runner: 1, Run: 2}}))
	})
	It("is chosen by lost work, for which an accelerator counts as eight cores", func() {
		gpu := runnerOf("gpu", func(r *Runner) {
			r.Capacity = withGPU(8)
			r.Running = []Run{
				runOf(func(r *Run) { r.Needs, r.CheckpointAge = withGPU(4), 20*time.Millisecond }),
				runOf(func(r *Run) { r.Needs, r.CheckpointAge = cpu(4), 150*time.Millisecond }),
			}
		})
		Expect(stops([]Task{urgent()}, []Runner{gpu})).To(Equal([]Stop{{Runner: 0, Run: 1}}))
	})
	It("is not stopped if the stop of a larger victim is enough", func() {
		runner := runnerOf("r", func(r *Runner) {
			r.Running = []Run{
				runOf(func(r *Run) { r.Needs, r.CheckpointAge = cpu(1), 0 }),
				runOf(func(r *Run) { r.Needs, r.CheckpointAge = cpu(15), 50*time.Millisecond }),
			}
		})
		Expect(stops([]Task{urgent()}, []Runner{runner})).To(Equal([]Stop{{Runner: 0, Run: 1}}))
	})
	It("is not needed if a run is being stopped whose capacity is enough", func() {
		runner := fullOf("r")
		runner.Running[0].Stopping = true
		Expect(stops([]Task{urgent()}, []Runner{runner})).To(BeEmpty())
	})
	It("is stopped for a second task if the run that is being stopped is enough for one task only", func() {
		runner := fullOf("r")
		runner.Running[0].Stopping = true
		second := urgent(func(t *Task) { t.Key = "second" })
		Expect(stops([]Task{urgent(), second}, []Runner{runner})).To(HaveLen(1))
	})
	It("is one of at most maxStops in one round", func() {
		var tasks []Task
		for range 60 {
			tasks = append(tasks, urgent())
		}
		var runners []Runner
		for range 20 {
			runners = append(runners, fullOf("r"))
		}
		Expect(len(stops(tasks, runners))).To(And(BeNumerically(">", 0), BeNumerically("<=", maxStops)))
	})
	It("is one of several in one rack that make room for a complete rack-local gang, or there is none", func() {
		members := func(count int) []Task {
			return tasksOfStep("g", count, func(t *Task) {
				t.Gang, t.RackLocal, t.Needs, t.TimeLeft = true, true, cpu(4), 3*second
			})
		}
		runners := []Runner{fullOf("a"), fullOf("b"), fullOf("c")}
		inRack("r2")(&runners[1])
		inRack("r2")(&runners[2])
		Expect(stops(members(2), runners)).To(Equal([]Stop{{Runner: 1, Run: 0}, {Runner: 2, Run: 0}}))
		Expect(stops(members(3), runners)).To(BeEmpty())
	})
	It("is not needed for a task that was placed", func() {
		Expect(stops([]Task{urgent()}, []Runner{fullOf("r"), runnerOf("s")})).To(BeEmpty())
	})
})

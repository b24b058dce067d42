package placement

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

const second = time.Second

var testOptions = Options{
	NonLocalFactor: 1.5, StopTime: 900 * time.Millisecond, RestoreTime: 600 * time.Millisecond,
}

// cpu returns needs of some cores, with 1 GB for each.
func cpu(cores int64) protocol.Resources {
	return protocol.Resources{CPU: 1000 * cores, MemoryMB: 1000 * cores}
}

// withGPU returns needs of some accelerators, with a core and 1 GB for each.
func withGPU(count int64) protocol.Resources {
	return protocol.Resources{CPU: 1000 * count, MemoryMB: 1000 * count, GPU: count}
}

// taskOf returns a task that needs one core, has a hint of one second and ten seconds left to its objective.
func taskOf(key string, change ...func(*Task)) Task {
	task := Task{Key: key, Queue: "q", SizeMs: 1000, Needs: cpu(1), TimeLeft: 10 * second, Group: key + "-step", Remaining: 1}
	for _, apply := range change {
		apply(&task)
	}
	return task
}

// runnerOf returns a runner of 16 cores without runs. Its free capacity is its capacity less the needs of the runs that
// change adds.
func runnerOf(id string, change ...func(*Runner)) Runner {
	runner := Runner{ID: id, Kind: "a", Rack: "r1", Zone: "z1", Labels: []string{"a", "r1"},
		Capacity: cpu(16), Slowness: 1, GroupCount: map[any]int{}}
	for _, apply := range change {
		apply(&runner)
	}
	if runner.Free == (protocol.Resources{}) {
		runner.Free = runner.Capacity
		for _, run := range runner.Running {
			subtract(&runner.Free, run.Needs)
		}
	}
	return runner
}

// fullRunner removes the free capacity of a runner.
func fullRunner(r *Runner) { r.Free = protocol.Resources{CPU: -1} }

// inRack returns a change that puts a runner into a rack.
func inRack(rack string) func(*Runner) {
	return func(r *Runner) { r.Rack, r.Labels = rack, []string{r.Kind, rack} }
}

// placed returns the IDs of the runners on which tasks were placed, by the keys of the tasks.
func placed(tasks []Task, runners []Runner, result Result) map[string]string {
	where := map[string]string{}
	for _, p := range result.Placements {
		where[tasks[p.Task].Key.(string)] = runners[p.Runner].ID
	}
	return where
}

// round returns the placements of one round of a new planner, as placed does.
func round(tasks []Task, runners []Runner) map[string]string {
	return placed(tasks, runners, NewPlanner(testOptions).Round(0, tasks, runners))
}

var _ = Describe("a round", func() {
	It("places a task on the only runner", func() {
		Expect(round([]Task{taskOf("t")}, []Runner{runnerOf("r")})).To(Equal(map[string]string{"t": "r"}))
	})
	It("decides nothing without tasks or without runners", func() {
		Expect(round(nil, []Runner{runnerOf("r")})).To(BeEmpty())
		Expect(round([]Task{taskOf("t")}, nil)).To(BeEmpty())
	})
})

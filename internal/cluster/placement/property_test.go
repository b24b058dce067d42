package placement

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"ospreypond/internal/cluster/protocol"
)

// drawRunners draws some runners with runs.
func drawRunners(t *rapid.T) []Runner {
	runners := make([]Runner, rapid.IntRange(1, 8).Draw(t, "runners"))
	gpus := rapid.Bool().Draw(t, "gpus")
	for i := range runners {
		runner := Runner{ID: fmt.Sprint("r", i), Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"),
			Rack: rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "rack"), Capacity: cpu(16),
			Slowness:     rapid.SampledFrom([]float64{0, 1, 1, 1, 5}).Draw(t, "slowness"),
			FailureScore: rapid.SampledFrom([]float64{0, 0, 0, 0.3, 0.9}).Draw(t, "failureScore"),
			Draining:     rapid.IntRange(0, 5).Draw(t, "draining") == 0,
			GroupCount:   map[any]int{}}
		runner.Labels = []string{runner.Kind, runner.Rack}
		if gpus {
			runner.Capacity.GPU = 8
		}
		runner.Free = runner.Capacity
		for range rapid.IntRange(0, 5).Draw(t, "runs") {
			run := drawRun(t, gpus)
			subtract(&runner.Free, run.Needs)
			runner.GroupCount[run.Group]++
			runner.Running = append(runner.Running, run)
		}
		runners[i] = runner
	}
	return runners
}

func drawNeeds(t *rapid.T, gpus bool) protocol.Resources {
	needs := cpu(int64(rapid.IntRange(0, 15).Draw(t, "cores")))
	if gpus {
		needs.GPU = int64(rapid.SampledFrom([]int{0, 1, 2, 8}).Draw(t, "gpu"))
	}
	return needs
}

func drawRun(t *rapid.T, gpus bool) Run {
	return Run{Queue: "q", Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Needs: drawNeeds(t, gpus),
		Predicted:     time.Duration(rapid.IntRange(0, 9000).Draw(t, "predicted")) * time.Millisecond,
		Elapsed:       time.Duration(rapid.IntRange(0, 9000).Draw(t, "elapsed")) * time.Millisecond,
		CheckpointAge: time.Duration(rapid.IntRange(0, 3000).Draw(t, "checkpointAge")) * time.Millisecond,
		LongRunning:   rapid.IntRange(0, 5).Draw(t, "longRunning") == 0,
		Gang:          rapid.IntRange(0, 5).Draw(t, "gang") == 0,
		Stopping:      rapid.IntRange(0, 5).Draw(t, "stopping") == 0,
		Group:         fmt.Sprint("g", rapid.IntRange(0, 5).Draw(t, "group")),
	}
}

// drawTasks draws some steps of pending tasks each, in a random order.
func drawTasks(t *rapid.T) []Task {
	var tasks []Task
	for g := range rapid.IntRange(0, 8).Draw(t, "steps") {
		step := Task{Queue: rapid.SampledFrom([]string{"q", "p"}).Draw(t, "queue"),
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			SizeMs:   float64(rapid.IntRange(0, 9000).Draw(t, "size")), Needs: drawNeeds(t, true),
			TimeLeft:     time.Duration(rapid.IntRange(-5000, 20000).Draw(t, "left")) * time.Millisecond,
			Waited:       time.Duration(rapid.IntRange(0, 9000).Draw(t, "waited")) * time.Millisecond,
			Requirements: rapid.SampledFrom([]string{"", "", "a", "b", "none"}).Draw(t, "label"),
			Affinity:     rapid.SampledFrom([]string{"", "k1", "k2", "k9"}).Draw(t, "affinity"),
			Group:        fmt.Sprint("g", g), AntiAffinity: rapid.IntRange(0, 2).Draw(t, "apart"), Remaining: 1,
		}
		switch rapid.IntRange(0, 3).Draw(t, "sort") {
		case 0:
			step.Gang, step.RackLocal = true, rapid.Bool().Draw(t, "rackLocal")
		case 1:
			step.LongRunning = true
		}
		for k := range rapid.IntRange(1, 12).Draw(t, "count") {
			step.Key = fmt.Sprint(g, ".", k)
			tasks = append(tasks, step)
		}
	}
	return rapid.Permutation(tasks).Draw(t, "order")
}

// checkRules checks that the decisions of a round violate no constraint.
func checkRules(t *rapid.T, tasks []Task, runners []Runner, result Result) {
	t.Helper()
	rules := placementRules{tasks: tasks, runners: runners, free: map[int]protocol.Resources{}, started: map[int]bool{},
		members: map[any]int{}, together: map[string]int{}}
	for _, p := range result.Placements {
		rules.check(t, p)
	}
	for i := range tasks {
		if tasks[i].Gang && rules.started[i] != (rules.members[tasks[i].Group] > 0) {
			t.Fatalf("gang %v started in part", tasks[i].Group)
		}
	}
	checkStops(t, tasks, runners, result)
}

// placementRules checks the placements of a round one by one, and records the effects of the checked placements.
type placementRules struct {
	tasks    []Task
	runners  []Runner
	free     map[int]protocol.Resources // remaining free capacity, by index of the runner
	started  map[int]bool               // whether a task was placed, by its index
	members  map[any]int                // number of placed tasks, by group
	together map[string]int             // number of placed tasks, by group and runner
}

// check checks a placement, given the placements that were checked before.
func (c *placementRules) check(t *rapid.T, p Placement) {
	t.Helper()
	task, runner := &c.tasks[p.Task], &c.runners[p.Runner]
	if c.started[p.Task] {
		t.Fatalf("task %v started twice", task.Key)
	}
	c.started[p.Task] = true
	c.members[task.Group]++
	left, known := c.free[p.Runner]
	if !known {
		left = runner.Free
	}
	subtract(&left, task.Needs)
	c.free[p.Runner] = left
	if left.CPU < 0 || left.MemoryMB < 0 || left.GPU < 0 {
		t.Fatalf("runner %v is overcommitted: %+v", runner.ID, left)
	}
	if runner.Draining {
		t.Fatalf("task %v on a draining runner", task.Key)
	}
	if task.Requirements != "" && task.Requirements != runner.Kind && task.Requirements != runner.Rack {
		t.Fatalf("task %v on a runner without its label", task.Key)
	}
	at := fmt.Sprint(task.Group, " on ", runner.ID)
	c.together[at]++
	if task.AntiAffinity > 0 && runner.GroupCount[task.Group]+c.together[at] > task.AntiAffinity {
		t.Fatalf("%v tasks of %v", c.together[at], at)
	}
	if p.Predicted <= 0 {
		t.Fatalf("task %v predicted to run %v", task.Key, p.Predicted)
	}
}

// checkStops checks that each stopped run may be preempted, and is stopped once.
func checkStops(t *rapid.T, tasks []Task, runners []Runner, result Result) {
	t.Helper()
	seen, highest := map[Stop]bool{}, 9
	for i := range tasks {
		highest = min(highest, tasks[i].Priority)
	}
	for _, stop := range result.Stops {
		run := runners[stop.Runner].Running[stop.Run]
		if seen[stop] || run.Stopping || run.Gang || run.LongRunning || run.Priority <= highest {
			t.Fatalf("a run that must not be preempted: %+v", run)
		}
		seen[stop] = true
	}
}

var _ = Describe("any round", func() {
	It("violates no constraint, and makes the same decisions if it is repeated", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			planner, again := NewPlanner(testOptions), NewPlanner(testOptions)
			now := time.Duration(0)
			for range 3 { // later rounds reuse buffers and reservation records
				tasks, runners := drawTasks(t), drawRunners(t)
				result := planner.Round(now, tasks, runners)
				checkRules(t, tasks, runners, result)
				if same := again.Round(now, tasks, runners); fmt.Sprint(same) != fmt.Sprint(result) {
					t.Fatalf("%v, and then %v", result, same)
				}
				now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "gap")) * time.Millisecond
			}
		})
	})

	It("leaves no task without soft constraints pending for which there is capacity", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			tasks, runners := drawTasks(t), drawRunners(t)
			for i := range tasks {
				task := &tasks[i]
				task.Gang, task.Affinity, task.AntiAffinity, task.Waited = false, "", 0, 0
			}
			for i := range runners {
				runners[i].Slowness, runners[i].FailureScore = 1, 0
			}
			result := NewPlanner(testOptions).Round(0, tasks, runners)
			checkRules(t, tasks, runners, result)
			checkNothingFits(t, tasks, runners, result)
		})
	})
})

// checkNothingFits checks that no runner has capacity for a task that is still pending.
func checkNothingFits(t *rapid.T, tasks []Task, runners []Runner, result Result) {
	t.Helper()
	started := map[int]bool{}
	for _, p := range result.Placements {
		started[p.Task] = true
		subtract(&runners[p.Runner].Free, tasks[p.Task].Needs)
	}
	for i := range tasks {
		for k := range runners {
			r := runnerState{runner: &runners[k], free: runners[k].Free}
			if !started[i] && r.hasCapacityFor(&tasks[i]) {
				t.Fatalf("task %+v is pending though %v has capacity for it: %+v", tasks[i], runners[k].ID, runners[k].Free)
			}
		}
	}
}

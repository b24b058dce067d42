package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// busyFleet returns pending tasks of all sorts, and runners with about half of their capacity in use.
func busyFleet(taskCount, runnerCount int) ([]Task, []Runner) {
	rng := rand.New(rand.NewPCG(1, 2))
	runners := make([]Runner, runnerCount)
	for i := range runners {
		rack := fmt.Sprint("rack", i/3)
		kind := string(rune('a' + i%2))
		runners[i] = Runner{ID: fmt.Sprint(i), Kind: kind, Rack: rack, Labels: []string{kind, rack}, Slowness: 1,
			Capacity: protocol.Resources{CPU: 32000, MemoryMB: 131072, GPU: 8}, GroupCount: map[any]int{}}
		runners[i].Free = runners[i].Capacity
		for k := range rng.IntN(12) {
			run := Run{Priority: rng.IntN(3), Needs: protocol.Resources{CPU: 1500, MemoryMB: 4000, GPU: int64(k % 2)},
				Predicted: 5 * time.Second, Elapsed: time.Duration(rng.IntN(5000)) * time.Millisecond, Group: rng.IntN(99)}
			subtract(&runners[i].Free, run.Needs)
			runners[i].GroupCount[run.Group]++
			runners[i].Running = append(runners[i].Running, run)
		}
	}
	tasks := make([]Task, 0, taskCount)
	for group := 100; len(tasks) < taskCount; group++ {
		step := Task{Queue: fmt.Sprint("q", group%5), Priority: group % 3, SizeMs: 500 + 5000*rng.Float64(),
			Needs:    protocol.Resources{CPU: int64(200 + rng.IntN(3000)), MemoryMB: int64(400 + rng.IntN(9000))},
			TimeLeft: time.Duration(rng.IntN(9000)) * time.Millisecond, Group: group, Remaining: 1,
			Gang: group%9 == 0, RackLocal: group%2 == 0, LongRunning: group%10 == 1}
		if group%4 == 0 {
			step.Affinity = fmt.Sprint("rack", group%(runnerCount/3))
		}
		for k := range min(1+rng.IntN(12), taskCount-len(tasks)) {
			step.Key = [2]int{group, k}
			tasks = append(tasks, step)
		}
	}
	return tasks, runners
}

func benchmarkRound(b *testing.B, taskCount, runnerCount int) {
	b.Helper()
	tasks, runners := busyFleet(taskCount, runnerCount)
	planner := NewPlanner(testOptions)
	for _, kind := range []string{"a", "b"} {
		for i := range 100 {
			planner.Predictor().Observe(fmt.Sprint("q", i%5), kind, float64(100+50*i), time.Duration(100+40*i)*time.Millisecond, false)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		planner.Round(time.Duration(i)*time.Second, tasks, runners)
	}
	b.StopTimer()
	b.ReportMetric(float64(len(planner.result.Placements)), "placed")
}

func BenchmarkRound20x6(b *testing.B)      { benchmarkRound(b, 20, 6) }
func BenchmarkRound200x80(b *testing.B)    { benchmarkRound(b, 200, 80) }
func BenchmarkRound2000x80(b *testing.B)   { benchmarkRound(b, 2000, 80) }
func BenchmarkRound2000x1000(b *testing.B) { benchmarkRound(b, 2000, 1000) }

package simulation

import (
	"fmt"
	"math"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Class is a kind of jobs that clients hand in.
type Class struct {
	Name      string
	Route     string // whose queue it goes to
	Share     float64
	WorkMs    float64
	Steps     int // mean
	Width     float64
	CPU       int64
	MemoryMB  int64
	GPU       []int64
	Uneven    float64
	Faults    float64
	Gang      bool
	Tight     float64 // share that is rackLocal
	Near      float64 // share with affinity
	Apart     float64 // share with antiAffinity
	Needs     float64 // share that requires a kind
	Twice     float64 // share that may run twice
	Timed     float64 // share with repetitions
	Saves     float64 // share that checkpoints
	Cancelled float64 // share that is cancelled
	Lasts     bool
}

// Classes are jobs as the small deployments have them, with work short enough for short days. The first three go to
// the first service, whose runners have no GPU.
func Classes() []Class {
	return []Class{
		{Name: "quick", Route: "quick", Share: 0.70, WorkMs: 350, Steps: 2, Width: 3, CPU: 240, MemoryMB: 440,
			Uneven: 0.2, Faults: 0.05, Near: 0.4, Twice: 0.3, Timed: 0.06, Needs: 0.12},
		{Name: "batch", Route: "batch", Share: 0.10, WorkMs: 2500, Steps: 2, Width: 6, CPU: 520, MemoryMB: 960,
			Uneven: 0.33, Faults: 0.02, Saves: 0.8, Cancelled: 0.15, Needs: 0.12, Timed: 0.1},
		{Name: "lasting", Route: "lasting", Share: 0.03, WorkMs: 400, Steps: 1, Width: 4, CPU: 640, MemoryMB: 920,
			Uneven: 0.33, Faults: 0.1, Lasts: true, Apart: 0.6, Needs: 0.12, Cancelled: 1},
		{Name: "training", Route: "training", Share: 0.08, WorkMs: 2500, Steps: 1, Width: 2, CPU: 15000, MemoryMB: 61000,
			GPU: []int64{2, 4, 8}, Uneven: 0.33, Faults: 0.05, Gang: true, Tight: 0.5, Saves: 0.9, Needs: 0.12,
			Cancelled: 0.1},
		{Name: "reading", Route: "reading", Share: 0.09, WorkMs: 1500, Steps: 1, Width: 4, CPU: 2800, MemoryMB: 15000,
			GPU: []int64{1}, Uneven: 0.33, Faults: 0.02, Saves: 0.8, Needs: 0.12, Cancelled: 0.05},
	}
}

// drawJob makes up a job of a class.
func drawJob(w *World, class *Class, racks, kinds []string) (protocol.JobSpec, Work) {
	work := Work{MeanMs: class.WorkMs * (0.5 + w.Random.Float64()), Uneven: class.Uneven, Faults: class.Faults}
	job := protocol.JobSpec{Spec: fmt.Sprintf("%s-%016x", class.Name, w.Random.Uint64())}
	if w.Chance(class.Timed) {
		job.Repetitions = 1 + w.Random.IntN(4)
		job.FirstRunMs = w.TimeOfDayMs() + int64(w.Random.IntN(2500)) - 500
		job.IntervalMs = 500 + int64(w.Random.IntN(1500))
	}
	steps := 1
	if class.Steps > 1 {
		steps = 1 + w.Random.IntN(2*class.Steps-1)
	}
	for s := range steps {
		job.Steps = append(job.Steps, drawStep(w, class, s, work.MeanMs, racks, kinds))
	}
	return job, work
}

func drawStep(w *World, class *Class, number int, workMs float64, racks, kinds []string) protocol.Step {
	step := protocol.Step{
		Count: width(w, class.Width), CPU: class.CPU, MemoryMB: class.MemoryMB,
		EstimatedMs: math.Round(workMs * (0.3 + 1.4*w.Random.Float64())),
		Gang:        class.Gang, RackLocal: class.Gang && w.Chance(class.Tight), LongRunning: class.Lasts,
		AtMostOnce: w.Chance(class.Twice), Checkpoints: w.Chance(class.Saves),
	}
	if len(class.GPU) > 0 {
		step.GPU = Pick(w, class.GPU)
	}
	for before := range number {
		if w.Chance(0.6) {
			step.DependsOn = append(step.DependsOn, before)
		}
	}
	if w.Chance(class.Near) {
		step.Affinity = Pick(w, racks)
	}
	if w.Chance(class.Apart) {
		step.AntiAffinity = 1 + w.Random.IntN(2)
	}
	if w.Chance(class.Needs) {
		step.Requirements = Pick(w, kinds)
	}
	if step.Gang {
		step.Count = min(step.Count, 3)
		step.Requirements = ""
	}
	return step
}

func width(w *World, mean float64) int {
	return max(1, int(w.Exponential(time.Duration(mean*float64(time.Second)))/time.Second))
}

package simulation

import (
	"fmt"
	"math"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// runTraffic submits drawn jobs from now until a time. Their arrivals are a Poisson process.
func (d *Deployment) runTraffic(until time.Duration) {
	if d.World.now >= until {
		return
	}
	class := drawClass(d.World)
	d.submitJob(class, QueueName{ClientHost, "/" + class.Route + "/"})
	mean := time.Duration(float64(time.Second) / (d.Size.JobsPerSecond * d.loadFactor))
	d.World.After(d.World.Exponential(mean), func() { d.runTraffic(until) })
}

// submitJob draws a job of a class and submits it to a queue.
func (d *Deployment) submitJob(class *JobClass, queue QueueName) {
	w := d.World
	kinds := []string{"a", "b"}
	spec, work := drawJob(w, class, d.Racks, kinds)
	work.AlwaysFails = w.Chance(d.failingFraction)
	cancelAfter := Never
	if w.Chance(max(class.Cancelled, d.cancelFraction)) {
		cancelAfter = w.Between(200*time.Millisecond, 6*time.Second)
	}
	d.Clients.Submit(queue, spec, work, cancelAfter)
}

// drawClass draws a class of jobs with the probabilities of JobClass.Weight.
func drawClass(w *World) *JobClass {
	classes := JobClasses()
	drawn := w.Random.Float64()
	for i := range classes {
		if drawn < classes[i].Weight {
			return &classes[i]
		}
		drawn -= classes[i].Weight
	}
	return &classes[0]
}

// JobClass is a class of jobs that clients submit. A float64 field with the name of a field of protocol.Step is the
// fraction of steps that have this field set.
type JobClass struct {
	Name            string
	Route           string  // the jobs are submitted to this route's queue
	Weight          float64 // fraction of all jobs
	WorkMs          float64 // mean work of a task, in ms on a runner of speed 1
	MeanSteps       int     // of a job
	MeanWidth       float64 // mean number of tasks of a step
	CPU             int64   // resources of a task, in the units of protocol.Step
	MemoryMB        int64
	GPU             []int64 // one of these numbers is drawn; nil: no GPU
	Spread          float64 // see Work
	FirstStartFails float64 // see Work
	Gang            bool
	RackLocal       float64
	Affinity        float64
	AntiAffinity    float64
	Requirements    float64
	AtMostOnce      float64
	Repeated        float64 // fraction of jobs with repetitions
	Checkpoints     float64
	Cancelled       float64 // fraction of jobs that are cancelled
	LongRunning     bool
}

// JobClasses returns the classes of jobs in the users' small deployments, with less work, so that jobs end in short
// scenarios. The first three are routed to the first service, which has runners without GPUs.
func JobClasses() []JobClass {
	return []JobClass{
		{Name: "quick", Route: "quick", Weight: 0.70, WorkMs: 350, MeanSteps: 2, MeanWidth: 3, CPU: 240, MemoryMB: 440,
			Spread: 0.2, FirstStartFails: 0.05, Affinity: 0.4, AtMostOnce: 0.3, Repeated: 0.06, Requirements: 0.12},
		{Name: "batch", Route: "batch", Weight: 0.10, WorkMs: 2500, MeanSteps: 2, MeanWidth: 6, CPU: 520, MemoryMB: 960,
			Spread: 0.33, FirstStartFails: 0.02, Checkpoints: 0.8, Cancelled: 0.15, Requirements: 0.12, Repeated: 0.1},
		{Name: "lasting", Route: "lasting", Weight: 0.03, WorkMs: 400, MeanSteps: 1, MeanWidth: 4, CPU: 640, MemoryMB: 920,
			Spread: 0.33, FirstStartFails: 0.1, LongRunning: true, AntiAffinity: 0.6, Requirements: 0.12, Cancelled: 1},
		{Name: "training", Route: "training", Weight: 0.08, WorkMs: 2500, MeanSteps: 1, MeanWidth: 2, CPU: 15000, MemoryMB: 61000,
			GPU: []int64{2, 4, 8}, Spread: 0.33, FirstStartFails: 0.05, Gang: true, RackLocal: 0.5, Checkpoints: 0.9, Requirements: 0.12,
			Cancelled: 0.1},
		{Name: "reading", Route: "reading", Weight: 0.09, WorkMs: 1500, MeanSteps: 1, MeanWidth: 4, CPU: 2800, MemoryMB: 15000,
			GPU: []int64{1}, Spread: 0.33, FirstStartFails: 0.02, Checkpoints: 0.8, Requirements: 0.12, Cancelled: 0.05},
	}
}

// drawJob draws a job of a class and the work of its tasks.
func drawJob(w *World, class *JobClass, racks, kinds []string) (protocol.JobSpec, Work) {
	work := Work{MeanMs: class.WorkMs * (0.5 + w.Random.Float64()), Spread: class.Spread, FirstStartFails: class.FirstStartFails}
	job := protocol.JobSpec{Spec: fmt.Sprintf("%s-%016x", class.Name, w.Random.Uint64())}
	if w.Chance(class.Repeated) {
		job.Repetitions = 1 + w.Random.IntN(4)
		job.FirstRunMs = w.TimeOfDayMs() + int64(w.Random.IntN(2500)) - 500
		job.IntervalMs = 500 + int64(w.Random.IntN(1500))
	}
	steps := 1
	if class.MeanSteps > 1 {
		steps = 1 + w.Random.IntN(2*class.MeanSteps-1)
	}
	for s := range steps {
		job.Steps = append(job.Steps, drawStep(w, class, s, work.MeanMs, racks, kinds))
	}
	return job, work
}

// drawStep draws the step of a number, which depends on each earlier step with a probability of 60 %.
func drawStep(w *World, class *JobClass, number int, workMs float64, racks, kinds []string) protocol.Step {
	step := protocol.Step{
		Count: drawWidth(w, class.MeanWidth), CPU: class.CPU, MemoryMB: class.MemoryMB,
		EstimatedMs: math.Round(workMs * (0.3 + 1.4*w.Random.Float64())),
		Gang:        class.Gang, RackLocal: class.Gang && w.Chance(class.RackLocal), LongRunning: class.LongRunning,
		AtMostOnce: w.Chance(class.AtMostOnce), Checkpoints: w.Chance(class.Checkpoints),
	}
	if len(class.GPU) > 0 {
		step.GPU = Pick(w, class.GPU)
	}
	for before := range number {
		if w.Chance(0.6) {
			step.DependsOn = append(step.DependsOn, before)
		}
	}
	if w.Chance(class.Affinity) {
		step.Affinity = Pick(w, racks)
	}
	if w.Chance(class.AntiAffinity) {
		step.AntiAffinity = 1 + w.Random.IntN(2)
	}
	if w.Chance(class.Requirements) {
		step.Requirements = Pick(w, kinds)
	}
	if step.Gang {
		step.Count = min(step.Count, 3)
		step.Requirements = ""
	}
	return step
}

// drawWidth draws the number of tasks of a step, at least one.
func drawWidth(w *World, mean float64) int {
	return max(1, int(w.Exponential(time.Duration(mean*float64(time.Second)))/time.Second))
}

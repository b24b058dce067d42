package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

func newScenario(seed uint64, classes []*class, fleet []Runner) *scenario {
	return &scenario{rng: rand.New(rand.NewPCG(seed, 7)), classes: classes, fleet: fleet, running: make([][]*scenarioRun, len(fleet)),
		planner: NewPlanner(Options{NonLocalFactor: trueNonLocalFactor, StopTime: stopDelay})}
}

func lightFleet() (fleet []Runner) {
	for i, size := range []float64{1, 1, 0.5, 2, 1} {
		r := runnerOf(fmt.Sprint("c", i), ofKind([]string{"a", "a", "b"}[i%3]), inRack(fmt.Sprint("r", i/3)))
		r.Capacity = protocol.Resources{CPU: int64(16000 * size), MemoryMB: int64(32768 * size)}
		fleet = append(fleet, r)
	}
	return fleet
}

func lightClasses() []*class {
	return []*class{
		{name: "small", perSecond: 10.8, steps: 1.5, width: 6, maxWidth: 36, workMs: 700, needs: protocol.Resources{CPU: 240, MemoryMB: 440},
			hintError: 0.9, spread: 0.18, target: 800 * time.Millisecond, extension: 1.5, localFraction: 0.4, value: 1, lateValue: 0.3,
			runtimeByKind: map[string]float64{"a": 1, "b": 1.2}},
		{name: "batch", perSecond: 0.359, steps: 2, width: 14, maxWidth: 84, workMs: 5600, needs: protocol.Resources{CPU: 520, MemoryMB: 960},
			hintError: 0.5, spread: 0.33, priority: 2, target: 4 * second, extension: 4, checkpointing: 0.8, value: 1, lateValue: 0.3,
			runtimeByKind: map[string]float64{"a": 1, "b": 0.8}},
		{name: "longRunning", perSecond: 0.06, steps: 1, width: 6, maxWidth: 36, workMs: 400, needs: protocol.Resources{CPU: 640, MemoryMB: 920},
			hintError: 0.9, spread: 0.33, priority: 1, target: 3 * second, extension: 2.2, longRunning: true, value: 0.5, lateValue: 0.15},
	}
}

func heavyFleet() (fleet []Runner) {
	for i := range 6 {
		r := runnerOf(fmt.Sprint("v", i), ofKind([]string{"a", "b"}[i%2]), inRack(fmt.Sprint("r", i/3)))
		r.Capacity = protocol.Resources{CPU: 32000, MemoryMB: 131072, GPU: 8}
		fleet = append(fleet, r)
	}
	return fleet
}

func heavyClasses() []*class {
	return []*class{
		{name: "gang", perSecond: 0.42, steps: 1, width: 1.5, maxWidth: 6, workMs: 5600, needs: protocol.Resources{CPU: 15000, MemoryMB: 81000},
			gpus: []int64{2, 4, 8, 8}, hintError: 0.5, spread: 0.33, priority: 1, target: 1500 * time.Millisecond, extension: 2.2,
			checkpointing: 0.9, gang: true, rackLocalFraction: 0.5, value: 3, lateValue: 0.9, runtimeByKind: map[string]float64{"a": 1, "b": 1.25}},
		{name: "single", perSecond: 0.58, steps: 1, width: 6, maxWidth: 36, workMs: 3000, needs: protocol.Resources{CPU: 2800, MemoryMB: 15000},
			gpus: []int64{1}, hintError: 0.5, spread: 0.33, priority: 2, target: 3 * second, extension: 4, checkpointing: 0.8,
			value: 1, lateValue: 0.3, runtimeByKind: map[string]float64{"a": 1, "b": 0.8}},
	}
}

// earnedFraction returns the fraction of the jobs' value that is earned in some scenarios, and the mean work that
// preemption loses in one, in core-seconds.
func earnedFraction(classes []*class, fleet []Runner, rate float64) (fraction, lost float64) {
	const scenarios = 2
	value, earned := 0.0, 0.0
	for seed := range uint64(scenarios) {
		d := newScenario(seed, classes, fleet)
		d.run(arrivalPeriod, rate)
		for _, job := range d.jobs {
			v, e := d.valueOf(job)
			value += v
			earned += e
		}
		lost += d.lost / scenarios
	}
	return earned / value, lost
}

var _ = DescribeTable("a simulated service earns most of its jobs' value", func(classes []*class, fleet []Runner, rate, minEarned, maxLost float64) {
	earned, lost := earnedFraction(classes, fleet, rate)
	GinkgoWriter.Printf("earned %.3f, lost %.1f core-seconds\n", earned, lost)
	Expect(earned).To(BeNumerically(">=", minEarned))
	Expect(lost).To(BeNumerically("<=", maxLost))
},
	Entry("with small, batch and long-running jobs", lightClasses(), lightFleet(), 1.0, 0.98, 1.0),
	Entry("with these jobs at 1.4 times the load", lightClasses(), lightFleet(), 1.4, 0.96, 5.0),
	Entry("with gangs and single tasks that need accelerators", heavyClasses(), heavyFleet(), 1.0, 0.75, 50.0),
	Entry("with these jobs at half the load", heavyClasses(), heavyFleet(), 0.5, 0.88, 50.0),
)

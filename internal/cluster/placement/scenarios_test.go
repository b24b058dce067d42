package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

func newDay(seed uint64, classes []*class, fleet []Runner) *day {
	return &day{rng: rand.New(rand.NewPCG(seed, 7)), classes: classes, fleet: fleet, running: make([][]*dayRun, len(fleet)),
		planner: NewPlanner(Options{FarFactor: farActually, GangWait: 3 * second, StopTime: stopTakes, SaveEvery: 2 * second})}
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
		{name: "small", perSecond: 10.8, steps: 1.5, width: 6, widest: 36, workMs: 700, needs: protocol.Resources{CPU: 240, MemoryMB: 440},
			hintOff: 0.9, uneven: 0.18, target: 800 * time.Millisecond, extension: 1.5, near: 0.4, worth: 1, late: 0.3,
			slower: map[string]float64{"a": 1, "b": 1.2}},
		{name: "batch", perSecond: 0.359, steps: 2, width: 14, widest: 84, workMs: 5600, needs: protocol.Resources{CPU: 520, MemoryMB: 960},
			hintOff: 0.5, uneven: 0.33, priority: 2, target: 4 * second, extension: 4, saves: 0.8, worth: 1, late: 0.3,
			slower: map[string]float64{"a": 1, "b": 0.8}},
		{name: "lasting", perSecond: 0.06, steps: 1, width: 6, widest: 36, workMs: 400, needs: protocol.Resources{CPU: 640, MemoryMB: 920},
			hintOff: 0.9, uneven: 0.33, priority: 1, target: 3 * second, extension: 2.2, lasts: true, worth: 0.5, late: 0.15},
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
		{name: "gang", perSecond: 0.42, steps: 1, width: 1.5, widest: 6, workMs: 5600, needs: protocol.Resources{CPU: 15000, MemoryMB: 81000},
			gpus: []int64{2, 4, 8, 8}, hintOff: 0.5, uneven: 0.33, priority: 1, target: 1500 * time.Millisecond, extension: 2.2,
			saves: 0.9, gang: true, tight: 0.5, worth: 3, late: 0.9, slower: map[string]float64{"a": 1, "b": 1.25}},
		{name: "single", perSecond: 0.58, steps: 1, width: 6, widest: 36, workMs: 3000, needs: protocol.Resources{CPU: 2800, MemoryMB: 15000},
			gpus: []int64{1}, hintOff: 0.5, uneven: 0.33, priority: 2, target: 3 * second, extension: 4, saves: 0.8,
			worth: 1, late: 0.3, slower: map[string]float64{"a": 1, "b": 0.8}},
	}
}

// share returns the part of the worth that is earned over some days.
func share(classes []*class, fleet []Runner, rate float64) (share, lost float64) {
	const days = 2
	owed, earned := 0.0, 0.0
	for seed := range uint64(days) {
		d := newDay(seed, classes, fleet)
		d.play(dayLength, rate)
		for _, job := range d.jobs {
			o, e := d.earned(job)
			owed += o
			earned += e
		}
		lost += d.lost / days
	}
	return earned / owed, lost
}

var _ = DescribeTable("whole days", func(classes []*class, fleet []Runner, rate, least, lostMost float64) {
	earned, lost := share(classes, fleet, rate)
	GinkgoWriter.Printf("earned %.3f, lost %.1f core-seconds\n", earned, lost)
	Expect(earned).To(BeNumerically(">=", least))
	Expect(lost).To(BeNumerically("<=", lostMost))
},
	Entry("small, batch and lasting tasks", lightClasses(), lightFleet(), 1.0, 0.98, 1.0),
	Entry("the same under more load", lightClasses(), lightFleet(), 1.4, 0.96, 5.0),
	Entry("gangs and single tasks with accelerators", heavyClasses(), heavyFleet(), 1.0, 0.75, 50.0),
	Entry("the same at half the load", heavyClasses(), heavyFleet(), 0.5, 0.88, 50.0),
)

package cluster

import (
	"time"

	"ospreypond/internal/cluster/simulation"
)

// Options choose a run. What is left at its zero value is drawn from the seed, except as noted.
type Options struct {
	Faults      []string              // names of kinds; nil: drawn
	Quiet       bool                  // there are no faults, whatever the other fields say
	Overlapping bool                  // the faults begin within a short time of each other; false: drawn
	FinalFault  simulation.FinalFault // or WithoutFinalFault
	Length      time.Duration         // of the traffic; 0: 9 s
	Invocation  bool                  // agents invoke their runners (commands = invocation) instead of responding to heartbeats
	Size        *simulation.Size
	Bounds      *simulation.Bounds
}

// WithoutFinalFault is the Options.FinalFault of a run that has none; its zero value is drawn.
const WithoutFinalFault simulation.FinalFault = "none"

// Run plays one scenario from a seed. It must be called in a testing/synctest bubble of its own, and the same seed with
// the same options gives the same run.
func Run(seed uint64, options Options) *Outcome {
	world := simulation.NewWorld(seed)
	size, bounds := simulation.SmallSize(), drawBounds(world)
	if world.Chance(0.1) {
		size.Controls = 5
	}
	if options.Size != nil {
		size = *options.Size
	}
	if options.Bounds != nil {
		bounds = *options.Bounds
	}
	scenario := drawScenario(world, options)
	deployment := simulation.NewDeployment(world, size, bounds)
	c := New(deployment)
	c.diskBytes, c.snapshotEvery = drawDiskBytes(world), simulation.Pick(world, []uint64{10, 40, 300})
	if options.Invocation {
		c.invokeRunners()
	}
	deployment.Play(scenario)
	c.endShells()
	return c.outcome(seed, scenario)
}

// invokeRunners has agents invoke their runners.
func (c *Cluster) invokeRunners() {
	c.invocation = true
	for _, runner := range c.deployment.AllRunners() {
		runner.Invoked = true
	}
}

// ShortBounds returns the default bounds, shortened for short scenarios.
func ShortBounds() simulation.Bounds {
	bounds := simulation.DefaultBounds()
	bounds.MaxLease = 3 * time.Second
	bounds.Contact = 2 * time.Second
	bounds.Recovery = 8 * time.Second
	bounds.Finish = 8 * time.Second
	return bounds
}

// drawBounds draws the short bounds mostly, and otherwise the default ones.
func drawBounds(w *simulation.World) simulation.Bounds {
	if w.Chance(0.2) {
		bounds := simulation.DefaultBounds()
		bounds.Finish = 11 * time.Second
		return bounds
	}
	return ShortBounds()
}

// drawDiskBytes draws the size of the control machines' disks, mostly one so small that snapshots replace logs often.
func drawDiskBytes(w *simulation.World) int64 {
	const small, usual = 1 << 20, 128 << 20
	if w.Chance(0.2) {
		return usual
	}
	return small
}

func drawScenario(w *simulation.World, options Options) simulation.Scenario {
	const warmup, length = 2500 * time.Millisecond, 9 * time.Second
	scenario := simulation.Scenario{Warmup: warmup, Length: length, Faults: options.Faults, FinalFault: options.FinalFault}
	if options.Length > 0 {
		scenario.Length = options.Length
	}
	if scenario.FinalFault == "" && w.Chance(0.15) {
		scenario.FinalFault = simulation.Pick(w, simulation.FinalFaults())
	}
	if options.Quiet || scenario.FinalFault == WithoutFinalFault {
		scenario.FinalFault = simulation.NoFinalFault
	}
	scenario.Overlapping = options.Overlapping || w.Chance(0.4)
	if scenario.Faults == nil && !options.Quiet {
		scenario.Faults = drawFaults(w)
	}
	return scenario
}

// drawFaults draws none to six kinds, and with them often a change of the configuration.
func drawFaults(w *simulation.World) []string {
	kinds := simulation.FaultKinds()
	var names []string
	for range w.Random.IntN(7) {
		names = append(names, simulation.Pick(w, kinds).Name)
	}
	if w.Chance(0.5) {
		names = append(names, "config_change")
	}
	return names
}

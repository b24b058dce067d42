package cluster

import (
	"time"

	"ospreypond/internal/cluster/simulation"
)

// Options configure a run. A field with its zero value is drawn from the seed, unless its comment says otherwise.
type Options struct {
	Faults      []string              // names of fault kinds; nil: drawn
	Quiet       bool                  // disables all faults, also those named by Faults and FinalFault
	Overlapping bool                  // faults begin within a short time of each other; false: drawn
	FinalFault  simulation.FinalFault // empty: drawn; WithoutFinalFault: none
	Length      time.Duration         // duration of the traffic; 0: 9 s
	Invocation  bool                  // agents call runners (setting commands = invocation); false: runners send heartbeats
	Size        *simulation.Size      // nil: SmallSize, with a probability of 10% with 5 control machines
	Bounds      *simulation.Bounds    // nil: drawn
}

// WithoutFinalFault is the value of Options.FinalFault for a run without a final fault. The zero value has another
// meaning: the final fault is drawn.
const WithoutFinalFault simulation.FinalFault = "none"

// Run plays the scenario of a seed and returns its outcome. It must be called in a testing/synctest bubble that it does
// not share with another run. The same seed with the same options gives the same run.
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
	c.diskBytes, c.snapshotThreshold = drawDiskBytes(world), simulation.Pick(world, []uint64{10, 40, 300})
	if options.Invocation {
		c.invokeRunners()
	}
	deployment.Play(scenario)
	c.endHarnesses()
	return c.outcome(seed, scenario)
}

// invokeRunners makes agents call their runners, and runners expect these calls, instead of using heartbeats.
func (c *Cluster) invokeRunners() {
	c.invocation = true
	for _, runner := range c.deployment.AllRunners() {
		runner.Invoked = true
	}
}

// ShortBounds returns the default bounds with shorter leases and recovery times, which suit scenarios of a few seconds.
func ShortBounds() simulation.Bounds {
	bounds := simulation.DefaultBounds()
	bounds.MaxLease = 3 * time.Second
	bounds.Contact = 2 * time.Second
	bounds.Recovery = 8 * time.Second
	bounds.Finish = 8 * time.Second
	return bounds
}

// drawBounds returns ShortBounds with a probability of 80%, and otherwise the default bounds with a shorter Finish.
func drawBounds(w *simulation.World) simulation.Bounds {
	if w.Chance(0.2) {
		bounds := simulation.DefaultBounds()
		bounds.Finish = 11 * time.Second
		return bounds
	}
	return ShortBounds()
}

// drawDiskBytes draws the disk capacity of the control machines, in bytes. With a probability of 80% it is small, so that
// snapshots replace logs often.
func drawDiskBytes(w *simulation.World) int64 {
	const small, usual = 1 << 20, 128 << 20
	if w.Chance(0.2) {
		return usual
	}
	return small
}

// drawScenario returns the scenario that the options describe, with the rest drawn. The order of the draws must stay the
// same, because it determines which scenario a seed stands for.
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

// drawFaults draws zero to six fault kinds, which may repeat, and adds a configuration change with a probability of 50%.
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

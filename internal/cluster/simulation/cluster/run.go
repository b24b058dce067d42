package cluster

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// Options are what a run may be told; what is left out is drawn from the seed.
type Options struct {
	Faults      []string // kinds of trouble; nil: drawn
	Quiet       bool     // no trouble at all
	Overlapping bool     // troubles begin close to each other in any case
	FinalFault  string   // final fault; "none": none; empty: drawn
	Length      time.Duration
	Invocation  bool // agents call their runners, instead of answering them
	Size        *simulation.Size
	Bounds      *simulation.Bounds
}

// Outcome is what came of a run.
type Outcome struct {
	Seed              uint64
	Scenario          simulation.Scenario
	Violations        []simulation.Violation
	Divergences       []string // replicas that applied different entries
	History           *simulation.History
	Submitted         int // handed in
	Accepted          int
	Ended             int // accepted and shown as ended at the end, lasting ones apart
	Runs              int
	SnapshotsRestored int // snapshots that control processes restored, their own and those of others
}

// Failed tells whether anything is wrong.
func (r *Outcome) Failed() bool { return len(r.Violations)+len(r.Divergences) > 0 }

// String tells what is wrong and how to see it again.
func (r *Outcome) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, troubles %v, closing %q: %d jobs, %d accepted, %d ended, %d runs", r.Seed, r.Scenario.Faults,
		r.Scenario.FinalFault, r.Submitted, r.Accepted, r.Ended, r.Runs)
	const most = 12
	for i, violation := range r.Violations {
		if i == most {
			fmt.Fprintf(&text, "\n  and %d more", len(r.Violations)-most)
			break
		}
		fmt.Fprintf(&text, "\n  %v", violation)
	}
	for _, diverged := range r.Divergences {
		fmt.Fprintf(&text, "\n  diverged: %s", diverged)
	}
	if r.Failed() {
		fmt.Fprintf(&text, "\n  replay: SIMULATION_SEED=%d go test ./internal/cluster/simulation/cluster", r.Seed)
	}
	return text.String()
}

// Fingerprint is a number that differs where two runs differ in what runners did or clients were told, and when.
func (r *Outcome) Fingerprint() uint64 {
	hash := fnv.New64a()
	for _, job := range r.History.JobOrder {
		fmt.Fprintln(hash, job.ID, job.Submissions, job.Queries, job.Cancels)
	}
	for _, run := range r.History.Runs {
		fmt.Fprintln(hash, run.TaskText, run.Number, run.Runner.Instance, run.Started, run.Ended, run.EndReason)
	}
	return hash.Sum64()
}

// Run plays one day from a seed.
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
	day := drawScenario(world, options)
	deployment := simulation.NewDeployment(world, size, bounds)
	c := New(deployment)
	c.diskBytes, c.snapshotEvery = drawDiskBytes(world), simulation.Pick(world, []uint64{10, 40, 300})
	if options.Invocation {
		c.invokeRunners()
	}
	deployment.Play(day)
	c.endShells()
	return c.outcome(seed, day)
}

// invokeRunners has agents call their runners (commands = invocation).
func (c *Cluster) invokeRunners() {
	c.invocation = true
	for _, runners := range [][]*simulation.Runner{c.deployment.Runners, c.deployment.Spares} {
		for _, runner := range runners {
			runner.Invoked = true
		}
	}
}

// ShortBounds are the bounds of short days.
func ShortBounds() simulation.Bounds {
	bounds := simulation.DefaultBounds()
	bounds.MaxLease = 3 * time.Second
	bounds.Contact = 2 * time.Second
	bounds.Recovery = 8 * time.Second
	bounds.Finish = 8 * time.Second
	return bounds
}

// drawBounds draws short bounds mostly, and now and then those of the small deployments.
func drawBounds(w *simulation.World) simulation.Bounds {
	if w.Chance(0.2) {
		bounds := simulation.DefaultBounds()
		bounds.Finish = 11 * time.Second
		return bounds
	}
	return ShortBounds()
}

// drawDiskBytes draws the size of the control processes' disks: small ones mostly, on which snapshots replace the log often.
func drawDiskBytes(w *simulation.World) int64 {
	const smallest, usual = 1 << 20, 128 << 20
	if w.Chance(0.2) {
		return usual
	}
	return smallest
}

func drawScenario(w *simulation.World, options Options) simulation.Scenario {
	const lead, length = 2500 * time.Millisecond, 9 * time.Second
	day := simulation.Scenario{Warmup: lead, Length: length, Faults: options.Faults, FinalFault: options.FinalFault}
	if options.Length > 0 {
		day.Length = options.Length
	}
	if day.FinalFault == "" && w.Chance(0.15) {
		day.FinalFault = simulation.Pick(w, []string{"power_off_all", "kill_all", "wipe_after_ack"})
	}
	if options.Quiet || day.FinalFault == "none" {
		day.FinalFault = ""
	}
	day.Overlapping = options.Overlapping || w.Chance(0.4)
	if day.Faults == nil && !options.Quiet {
		day.Faults = drawFaults(w)
	}
	return day
}

// drawFaults draws none to six kinds, and often a change of the configuration along with them.
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

func (c *Cluster) outcome(seed uint64, day simulation.Scenario) *Outcome {
	ledger := c.deployment.History
	report := &Outcome{Seed: seed, Scenario: day, History: ledger, Divergences: c.divergences, Submitted: len(ledger.JobOrder), Runs: len(ledger.Runs),
		SnapshotsRestored: c.snapshotsRestored}
	report.Violations = append(simulation.Audit(ledger), simulation.AuditPromises(ledger)...)
	for _, job := range ledger.JobOrder {
		if job.Accepted == simulation.Never {
			continue
		}
		report.Accepted++
		switch job.LastState() {
		case protocol.JobCompleted, protocol.JobFailed, protocol.JobCancelled:
			report.Ended++
		}
	}
	return report
}

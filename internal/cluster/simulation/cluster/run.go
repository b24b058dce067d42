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
	Troubles []string // kinds of trouble; nil: drawn
	Quiet    bool     // no trouble at all
	Together bool     // troubles begin close to each other in any case
	Closing  string   // final fault; "none": none; empty: drawn
	Length   time.Duration
	Called   bool // agents call their runners, instead of answering them
	Size     *simulation.Size
	Bounds   *simulation.Bounds
}

// Outcome is what came of a run.
type Outcome struct {
	Seed       uint64
	Day        simulation.Day
	Violations []simulation.Violation
	Diverged   []string // replicas that applied different entries
	Ledger     *simulation.Ledger
	Jobs       int // handed in
	Accepted   int
	Finished   int // accepted and shown as ended at the end, lasting ones apart
	Runs       int
	Restored   int // snapshots that control processes restored, their own and those of others
}

// Failed tells whether anything is wrong.
func (r *Outcome) Failed() bool { return len(r.Violations)+len(r.Diverged) > 0 }

// String tells what is wrong and how to see it again.
func (r *Outcome) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, troubles %v, closing %q: %d jobs, %d accepted, %d ended, %d runs", r.Seed, r.Day.Troubles,
		r.Day.Closing, r.Jobs, r.Accepted, r.Finished, r.Runs)
	const most = 12
	for i, violation := range r.Violations {
		if i == most {
			fmt.Fprintf(&text, "\n  and %d more", len(r.Violations)-most)
			break
		}
		fmt.Fprintf(&text, "\n  %v", violation)
	}
	for _, diverged := range r.Diverged {
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
	for _, job := range r.Ledger.JobOrder {
		fmt.Fprintln(hash, job.ID, job.HandIns, job.Asks, job.Cancels)
	}
	for _, run := range r.Ledger.Runs {
		fmt.Fprintln(hash, run.Text, run.Run, run.Runner.Instance, run.Started, run.Ended, run.How)
	}
	return hash.Sum64()
}

// Run plays one day from a seed.
func Run(seed uint64, options Options) *Outcome {
	world := simulation.NewWorld(seed)
	size, bounds := simulation.SmallSize(), drawBounds(world)
	if world.Chance(0.1) {
		size.Cores = 5
	}
	if options.Size != nil {
		size = *options.Size
	}
	if options.Bounds != nil {
		bounds = *options.Bounds
	}
	day := drawDay(world, options)
	deployment := simulation.NewDeployment(world, size, bounds)
	c := New(deployment)
	c.diskBytes, c.snapshotEvery = drawDiskBytes(world), simulation.Pick(world, []uint64{10, 40, 300})
	if options.Called {
		c.callRunners()
	}
	deployment.Play(day)
	c.endShells()
	return c.report(seed, day)
}

// callRunners has agents call their runners (commands = invocation).
func (c *Cluster) callRunners() {
	c.called = true
	for _, runners := range [][]*simulation.Runner{c.deployment.Runners, c.deployment.Spares} {
		for _, runner := range runners {
			runner.Called = true
		}
	}
}

// DayBounds are the bounds of short days.
func DayBounds() simulation.Bounds {
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
	return DayBounds()
}

// drawDiskBytes draws the size of the control processes' disks: small ones mostly, on which snapshots replace the log often.
func drawDiskBytes(w *simulation.World) int64 {
	const smallest, usual = 1 << 20, 128 << 20
	if w.Chance(0.2) {
		return usual
	}
	return smallest
}

func drawDay(w *simulation.World, options Options) simulation.Day {
	const lead, length = 2500 * time.Millisecond, 9 * time.Second
	day := simulation.Day{Lead: lead, Length: length, Troubles: options.Troubles, Closing: options.Closing}
	if options.Length > 0 {
		day.Length = options.Length
	}
	if day.Closing == "" && w.Chance(0.15) {
		day.Closing = simulation.Pick(w, []string{"power_off_all", "kill_all", "wipe_after_ack"})
	}
	if options.Quiet || day.Closing == "none" {
		day.Closing = ""
	}
	day.Together = options.Together || w.Chance(0.4)
	if day.Troubles == nil && !options.Quiet {
		day.Troubles = drawTroubles(w)
	}
	return day
}

// drawTroubles draws none to six kinds, and often a change of the configuration along with them.
func drawTroubles(w *simulation.World) []string {
	kinds := simulation.TroubleKinds()
	var names []string
	for range w.Random.IntN(7) {
		names = append(names, simulation.Pick(w, kinds).Name)
	}
	if w.Chance(0.5) {
		names = append(names, "config_change")
	}
	return names
}

func (c *Cluster) report(seed uint64, day simulation.Day) *Outcome {
	ledger := c.deployment.Ledger
	report := &Outcome{Seed: seed, Day: day, Ledger: ledger, Diverged: c.diverged, Jobs: len(ledger.JobOrder), Runs: len(ledger.Runs),
		Restored: c.restored}
	report.Violations = append(simulation.Audit(ledger), simulation.AuditPromises(ledger)...)
	for _, job := range ledger.JobOrder {
		if job.Accepted == simulation.Never {
			continue
		}
		report.Accepted++
		switch job.LastState() {
		case protocol.JobCompleted, protocol.JobFailed, protocol.JobCancelled:
			report.Finished++
		}
	}
	return report
}

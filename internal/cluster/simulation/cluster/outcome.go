package cluster

import (
	"fmt"
	"hash/fnv"
	"strings"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// Outcome is what came of a run.
type Outcome struct {
	Seed              uint64
	Scenario          simulation.Scenario
	Violations        []simulation.Violation // of the rules and promises
	Divergences       []string               // where replicas differ, or a process took its disk for lost
	History           *simulation.History
	Submitted         int // jobs
	Accepted          int
	Ended             int // accepted and shown as ended
	Runs              int
	SnapshotsRestored int // by control processes, their own and those of others
}

// Failed reports whether anything is wrong.
func (o *Outcome) Failed() bool { return len(o.Violations)+len(o.Divergences) > 0 }

// String returns a summary: the counts, what is wrong, and how to play the run again.
func (o *Outcome) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, faults %v, final fault %q: %d jobs, %d accepted, %d ended, %d runs", o.Seed, o.Scenario.Faults,
		o.Scenario.FinalFault, o.Submitted, o.Accepted, o.Ended, o.Runs)
	const maxViolations = 12
	for i, violation := range o.Violations {
		if i == maxViolations {
			fmt.Fprintf(&text, "\n  and %d more", len(o.Violations)-maxViolations)
			break
		}
		fmt.Fprintf(&text, "\n  %v", violation)
	}
	for _, divergence := range o.Divergences {
		fmt.Fprintf(&text, "\n  diverged: %s", divergence)
	}
	if o.Failed() {
		fmt.Fprintf(&text, "\n  replay: SIMULATION_SEED=%d go test ./internal/cluster/simulation/cluster", o.Seed)
	}
	return text.String()
}

// Fingerprint returns a hash of what runners did and clients saw, and when. Runs of different behaviour have different
// ones, but for chance.
func (o *Outcome) Fingerprint() uint64 {
	hash := fnv.New64a()
	for _, job := range o.History.JobOrder {
		hash.Write(fmt.Appendln(nil, job.ID, job.Submissions, job.Queries, job.Cancels))
	}
	for _, run := range o.History.Runs {
		hash.Write(fmt.Appendln(nil, run.TaskText, run.Number, run.Runner.Instance, run.Started, run.Ended, run.EndReason))
	}
	return hash.Sum64()
}

// outcome audits the history and counts what is in it.
func (c *Cluster) outcome(seed uint64, scenario simulation.Scenario) *Outcome {
	history := c.deployment.History
	outcome := &Outcome{Seed: seed, Scenario: scenario, History: history, Divergences: c.divergences,
		Submitted: len(history.JobOrder), Runs: len(history.Runs), SnapshotsRestored: c.snapshotsRestored}
	outcome.Violations = append(simulation.Audit(history), simulation.AuditPromises(history)...)
	for _, job := range history.JobOrder {
		if job.Accepted == simulation.Never {
			continue
		}
		outcome.Accepted++
		switch job.LastState() {
		case protocol.JobCompleted, protocol.JobFailed, protocol.JobCancelled:
			outcome.Ended++
		}
	}
	return outcome
}

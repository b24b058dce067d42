package cluster

import (
	"fmt"
	"hash/fnv"
	"strings"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// Outcome is the result of a run.
type Outcome struct {
	Seed              uint64
	Scenario          simulation.Scenario
	Violations        []simulation.Violation // of the rules that Audit and AuditPromises check
	Divergences       []string               // between replicas, or in a member's identity after a restart
	History           *simulation.History
	Submitted         int // number of jobs that clients submitted
	Accepted          int // submitted jobs with an accepting response
	Ended             int // accepted jobs with a final state in the last query
	Runs              int // started by runners
	SnapshotsRestored int // by control processes: after a restart, or received from another replica
}

// Failed reports whether the run broke a rule or its replicas diverged.
func (o *Outcome) Failed() bool { return len(o.Violations)+len(o.Divergences) > 0 }

// String returns a summary of the run: its counts, up to maxViolations violations, all divergences and, if it failed, the
// command that plays the seed again.
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

// Fingerprint returns a hash of the runs that runners executed and the calls that clients made, with their times. Two
// plays of the same seed must have the same fingerprint; plays that differ in these records have different fingerprints
// unless the hashes collide.
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

// outcome audits the history of a finished run and counts its jobs and runs.
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

package simulation

import (
	"fmt"
	"strings"
)

// Explain returns all that a history records of a job, and all faults, as text for the diagnosis of a violation.
func (h *History) Explain(id string) string {
	job := h.Jobs[id]
	if job == nil {
		return fmt.Sprintf("the history has no job %q", id)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "job %s in %s, accepted %v: %+v\n", id, job.Queue.Key(), job.Accepted, job.Spec)
	for _, calls := range []struct {
		kind     string
		attempts []Attempt
	}{{"submission", job.Submissions}, {"cancel", job.Cancels}, {"query", job.Queries}} {
		for _, a := range calls.attempts {
			fmt.Fprintf(&text, "  %s at %s sent %v answered %v: %d %s\n", calls.kind, a.Machine, a.Sent, a.Answered, a.Status, a.State)
		}
	}
	runners := map[*RunnerIncarnation]bool{}
	for _, run := range h.Runs {
		if run.Task.Job == id {
			runners[run.Runner] = true
			fmt.Fprintf(&text, "  %s run %d on %s sent %v started %v from %q ended %v %s, end %d acknowledged %v (lease expired before: %v)\n",
				run.TaskText, run.Number, run.Runner.Instance, run.Sent, run.Started, run.Checkpoint, run.Ended, run.EndReason,
				run.EndSequence, run.Acknowledged, run.LapsedBeforeAck)
		}
	}
	for _, runner := range h.Runners {
		if runners[runner] {
			fmt.Fprintf(&text, "  runner %s started %v ended %v draining acknowledged %v leases expired %v\n", runner.Instance,
				runner.Started, runner.Ended, runner.DrainAcknowledged, runner.LeaseExpiries)
		}
	}
	for _, fault := range h.Faults {
		fmt.Fprintf(&text, "  fault %s %v to %v %v control plane %v\n", fault.Kind, fault.From, fault.To, fault.Machines,
			fault.ControlPlane)
	}
	return text.String()
}

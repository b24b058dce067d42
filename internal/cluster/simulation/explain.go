package simulation

import (
	"fmt"
	"strings"
)

// Explain tells all that a ledger holds of a job, and what was done to the deployment: to find out why a rule broke.
func (l *History) Explain(id string) string {
	var text strings.Builder
	job := l.Jobs[id]
	if job == nil {
		return "no such job"
	}
	fmt.Fprintf(&text, "job %s in %s, accepted %v: %+v\n", id, job.Queue.Key(), job.Accepted, job.Spec)
	for _, tries := range []struct {
		name  string
		tries []Attempt
	}{{"hand-in", job.Submissions}, {"cancel", job.Cancels}, {"ask", job.Queries}} {
		for _, try := range tries.tries {
			fmt.Fprintf(&text, "  %s at %s sent %v answered %v: %d %s\n", tries.name, try.Machine, try.Sent, try.Answered, try.Status, try.State)
		}
	}
	runners := map[*RunnerIncarnation]bool{}
	for _, run := range l.Runs {
		if run.Task.Job == id {
			runners[run.Runner] = true
			fmt.Fprintf(&text, "  %s run %d on %s sent %v started %v from %q ended %v %s, N %d noted %v (lapsed before: %v)\n", run.TaskText,
				run.Number, run.Runner.Instance, run.Sent, run.Started, run.Checkpoint, run.Ended, run.EndReason, run.EndSequence, run.Acknowledged, run.LapsedBeforeAck)
		}
	}
	for _, life := range l.Runners {
		if runners[life] {
			fmt.Fprintf(&text, "  runner %s up %v down %v draining acknowledged %v lapses %v\n", life.Instance, life.Started, life.Ended,
				life.DrainAcknowledged, life.LeaseExpiries)
		}
	}
	for _, t := range l.Faults {
		fmt.Fprintf(&text, "  trouble %s %v to %v %v core %v\n", t.Kind, t.From, t.To, t.Machines, t.ControlPlane)
	}
	return text.String()
}

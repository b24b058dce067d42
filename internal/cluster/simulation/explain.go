package simulation

import (
	"fmt"
	"strings"
)

// Explain tells all that a ledger holds of a job, and what was done to the deployment: to find out why a rule broke.
func (l *Ledger) Explain(id string) string {
	var text strings.Builder
	job := l.Jobs[id]
	if job == nil {
		return "no such job"
	}
	fmt.Fprintf(&text, "job %s in %s, accepted %v: %+v\n", id, job.Queue.Key(), job.Accepted, job.Spec)
	for _, tries := range []struct {
		name  string
		tries []Try
	}{{"hand-in", job.HandIns}, {"cancel", job.Cancels}, {"ask", job.Asks}} {
		for _, try := range tries.tries {
			fmt.Fprintf(&text, "  %s at %s sent %v answered %v: %d %s\n", tries.name, try.Machine, try.Sent, try.Answered, try.Status, try.State)
		}
	}
	runners := map[*RunnerLife]bool{}
	for _, run := range l.Runs {
		if run.Task.Job == id {
			runners[run.Runner] = true
			fmt.Fprintf(&text, "  %s run %d on %s sent %v started %v from %q ended %v %s, N %d noted %v (lapsed before: %v)\n", run.Text,
				run.Run, run.Runner.Instance, run.Sent, run.Started, run.Saved, run.Ended, run.How, run.N, run.Noted, run.NoteLost)
		}
	}
	for _, life := range l.Runners {
		if runners[life] {
			fmt.Fprintf(&text, "  runner %s up %v down %v draining acknowledged %v lapses %v\n", life.Instance, life.Up, life.Down,
				life.DrainAck, life.Lapses)
		}
	}
	for _, t := range l.Troubles {
		fmt.Fprintf(&text, "  trouble %s %v to %v %v core %v\n", t.Kind, t.From, t.To, t.Machines, t.Core)
	}
	return text.String()
}

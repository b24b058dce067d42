package jobs_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"ospreypond/internal/cluster/jobs"
)

// otherReplica is a second replica. It decodes each command from its encoding and applies it. At random times it is replaced
// by a State that was restored from its snapshot.
type otherReplica struct{ state *jobs.State }

// apply applies a command and fails the test if its effects differ from the effects at the first replica.
func (r *otherReplica) apply(t *rapid.T, c *jobs.Command, want *jobs.Effects) {
	data, err := jobs.Encode(c)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	decoded, err := jobs.Decode(data)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	got := r.state.Apply(decoded)
	if a, b := describe(got), describe(want); a != b {
		t.Fatalf("effects differ between replicas:\n%s\n%s", a, b)
	}
	if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
		fresh := jobs.New(jobs.Options{})
		if err := fresh.Restore(snapshotOf(t, r.state)); err != nil {
			t.Fatalf("restore: %v", err)
		}
		r.state = fresh
	}
}

func snapshotOf(t *rapid.T, state *jobs.State) []byte {
	data, err := state.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	return data
}

// describe returns the effects of a command as text, which two replicas must have in common.
func describe(e *jobs.Effects) string {
	text := fmt.Sprintf("%v %v %v %v %v %v %v", e.Submits, e.Cancels, e.Fences, e.Ends, e.Losses, e.Starts, e.FreedRuns)
	for _, task := range slices.Concat(e.Pending, e.EndedRuns) {
		text += fmt.Sprint("\n", task.ID, task.Phase, task.Run, task.Runner, task.Checkpoint, task.Attempts, task.PendingSinceMs,
			task.Group.Unfinished, task.Group.Run, task.Group.Attempts, task.Group.Running, task.Group.Checkpoint)
	}
	for _, job := range e.EndedJobs {
		text += fmt.Sprint("\n", job.ID, job.State, job.EndedMs)
	}
	return text
}

// view returns the results of the state's accessors as text, which two replicas must have in common.
func view(s *jobs.State) string {
	text := fmt.Sprint(s.ClockMs(), s.Counters(), s.Runners())
	text += fmt.Sprint(s.NextDueMs())
	s.EachPending(func(task *jobs.Task) bool {
		text += fmt.Sprint("\n", task.ID, task.Run, task.Checkpoint, task.PendingSinceMs, attemptsOf(task))
		return true
	})
	for _, runner := range modelRunners {
		text += fmt.Sprint("\n", runner, s.LastSeen(runner), s.LingeringOn(runner), s.Departed(runner))
		for _, task := range s.RunsOn(runner) {
			text += fmt.Sprint(" ", task.ID, task.Run, task.Runner, task.Checkpoint)
		}
	}
	return text
}

var _ = Describe("Random commands", func() {
	It("have effects that agree with the model, and leave two replicas equal", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			m := newModel()
			other := &otherReplica{state: jobs.New(jobs.Options{})}
			for range rapid.IntRange(1, 60).Draw(t, "commands") {
				c := m.drawCommand(t)
				effects := m.state.Apply(c)
				m.observe(t, c, effects)
				m.check(t)
				other.apply(t, c, effects)
				if a, b := view(m.state), view(other.state); a != b {
					t.Fatalf("states differ between replicas:\n%s\n%s", a, b)
				}
			}
			if string(snapshotOf(t, m.state)) != string(snapshotOf(t, other.state)) {
				t.Fatalf("snapshots differ")
			}
		})
	})
})

// attemptsOf returns the failed attempts of a task or, if it is in a gang, of its gang.
func attemptsOf(task *jobs.Task) int {
	if task.Group.Spec().Gang {
		return task.Group.Attempts
	}
	return task.Attempts
}

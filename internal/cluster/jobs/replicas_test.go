package jobs_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"ospreypond/internal/cluster/jobs"
)

// twin is another replica: it applies each command from its encoded form, and is at times restored from its own snapshot.
type twin struct{ state *jobs.State }

func (w *twin) follow(t *rapid.T, c *jobs.Command, want *jobs.Effects) {
	data, err := jobs.Encode(c)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	decoded, err := jobs.Decode(data)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	got := w.state.Apply(decoded)
	if a, b := describe(got), describe(want); a != b {
		t.Fatalf("replicas differ:\n%s\n%s", a, b)
	}
	if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
		fresh := jobs.New(jobs.Options{})
		if err := fresh.Restore(snapshotOf(t, w.state)); err != nil {
			t.Fatalf("restore: %v", err)
		}
		w.state = fresh
	}
}

func snapshotOf(t *rapid.T, state *jobs.State) []byte {
	data, err := state.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	return data
}

// describe returns effects as text, in their order.
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

// view returns all that the state shows as text, in order.
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

var _ = Describe("random commands", func() {
	It("break no rule, and leave replicas equal", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			m := newModel()
			other := &twin{state: jobs.New(jobs.Options{})}
			for range rapid.IntRange(1, 60).Draw(t, "commands") {
				c := m.drawCommand(t)
				effects := m.state.Apply(c)
				m.observe(t, c, effects)
				m.check(t)
				other.follow(t, c, effects)
				if a, b := view(m.state), view(other.state); a != b {
					t.Fatalf("replicas show:\n%s\n%s", a, b)
				}
			}
			if string(snapshotOf(t, m.state)) != string(snapshotOf(t, other.state)) {
				t.Fatalf("snapshots differ")
			}
		})
	})
})

// attemptsOf returns how many failed runs count against a task: its own, or those of its gang.
func attemptsOf(task *jobs.Task) int {
	if task.Group.Spec().Gang {
		return task.Group.Attempts
	}
	return task.Attempts
}

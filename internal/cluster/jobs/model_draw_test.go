package jobs_test

import (
	"fmt"

	"pgregory.net/rapid"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var modelRunners = []string{"r1", "r2", "r3"}

// drawID draws one of eight job ids, so that ids often repeat.
func drawID(t *rapid.T) string { return fmt.Sprintf("%016x", rapid.IntRange(1, 8).Draw(t, "job")) }

// drawSpec draws a valid spec of one to three steps.
func drawSpec(t *rapid.T) protocol.JobSpec {
	spec := protocol.JobSpec{Spec: rapid.StringN(0, 10, 40).Draw(t, "spec")}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		s := step(rapid.IntRange(1, 3).Draw(t, "count"))
		s.Gang = rapid.Bool().Draw(t, "gang")
		s.LongRunning = rapid.IntRange(0, 7).Draw(t, "longRunning") == 0
		s.Checkpoints = rapid.Bool().Draw(t, "checkpoints")
		s.AtMostOnce = rapid.Bool().Draw(t, "atMostOnce")
		s.GPU = int64(rapid.IntRange(0, 1).Draw(t, "gpu"))
		s.AntiAffinity = rapid.IntRange(0, 1).Draw(t, "antiAffinity")
		s.Affinity = rapid.SampledFrom([]string{"", "rack"}).Draw(t, "affinity")
		if i > 0 && rapid.Bool().Draw(t, "dependsOn") {
			s.DependsOn = []int{rapid.IntRange(0, i-1).Draw(t, "earlier")}
		}
		spec.Steps = append(spec.Steps, s)
	}
	if rapid.IntRange(0, 3).Draw(t, "repeated") == 0 {
		spec.Repetitions = rapid.IntRange(1, 3).Draw(t, "repetitions")
		spec.FirstRunMs = startMs + int64(rapid.IntRange(-100, 400).Draw(t, "first"))
		spec.IntervalMs = int64(rapid.IntRange(0, 300).Draw(t, "interval"))
	}
	return spec
}

// drawVersion draws a version of the configuration.
func drawVersion(t *rapid.T) uint64 { return uint64(rapid.IntRange(1, 6).Draw(t, "version")) }

// drawFence draws a fence. One in six withdraws the id.
func drawFence(t *rapid.T) jobs.Fence {
	fence := jobs.Fence{ID: drawID(t), Version: drawVersion(t)}
	if rapid.IntRange(0, 5).Draw(t, "withdraw") == 0 {
		fence.Version = protocol.EveryVersion
	}
	return fence
}

// drawCommand draws a command. Most of its items are valid in the current state.
func (m *model) drawCommand(t *rapid.T) *jobs.Command {
	m.nowMs += int64(rapid.SampledFrom([]int{0, 0, 10, 50, 200, 6000, -300}).Draw(t, "elapsedMs"))
	c := &jobs.Command{TimeOfDayMs: m.nowMs}
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0, 1:
		c.Submits = append(c.Submits, jobs.Submit{
			ID:      drawID(t),
			Queue:   protocol.Queue{Key: "q", Priority: rapid.IntRange(0, 2).Draw(t, "priority"), MaxAttempts: rapid.IntRange(0, 2).Draw(t, "attempts")},
			Job:     drawSpec(t),
			Version: drawVersion(t),
		})
	case 2:
		c.Cancels = append(c.Cancels, drawID(t))
		c.Departures = rapid.SliceOfN(rapid.SampledFrom(modelRunners), 0, 1).Draw(t, "departures")
	case 3:
		c.Fences = append(c.Fences, drawFence(t))
	case 4, 5, 6, 7:
		m.drawStarts(t, c)
	default:
		m.drawEnds(t, c)
	}
	return c
}

// drawStarts draws starts of most Pending tasks; a few have a wrong run number or are in the command twice.
func (m *model) drawStarts(t *rapid.T, c *jobs.Command) {
	var pending []*jobs.Task
	m.state.EachPending(func(task *jobs.Task) bool {
		pending = append(pending, task)
		return true
	})
	for _, task := range pending {
		if rapid.IntRange(0, 3).Draw(t, "skip") == 0 && len(c.Starts) > 0 {
			continue
		}
		run := task.Run + 1
		if rapid.IntRange(0, 19).Draw(t, "wrong run") == 0 {
			run = uint64(rapid.IntRange(0, 3).Draw(t, "run"))
		}
		runner := rapid.SampledFrom(modelRunners).Draw(t, "runner")
		c.Starts = append(c.Starts, jobs.Start{Task: task.ID, Run: run, Runner: runner})
	}
	if len(c.Starts) > 0 && rapid.IntRange(0, 9).Draw(t, "again") == 0 {
		c.Starts = append(c.Starts, rapid.SampledFrom(c.Starts).Draw(t, "double"))
	}
}

// drawEnds draws ends and losses of runs that may exist; a few have a wrong run number or an N that was applied before.
func (m *model) drawEnds(t *rapid.T, c *jobs.Command) {
	alive := m.sortedPossible()
	for range rapid.IntRange(0, 3).Draw(t, "ends") {
		if len(alive) == 0 {
			return
		}
		run := rapid.SampledFrom(alive).Draw(t, "alive")
		if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
			run.run = uint64(rapid.IntRange(0, 4).Draw(t, "stale run"))
		}
		checkpoint := rapid.SampledFrom([]string{"", "s1", "s2"}).Draw(t, "checkpoint")
		if rapid.IntRange(0, 3).Draw(t, "loss") == 0 {
			c.Losses = append(c.Losses, jobs.Loss{Runner: run.runner, Task: run.task, Run: run.run, Checkpoint: checkpoint})
			continue
		}
		outcome := rapid.SampledFrom([]protocol.RunEnd{
			protocol.EndDone, protocol.EndDone, protocol.EndDone, protocol.EndFailed,
			protocol.EndStopped, protocol.EndLapsed, protocol.EndBroken, protocol.EndAlone, protocol.EndRefused, "other",
		}).Draw(t, "outcome")
		n := m.lastSeen[run.runner] + uint64(len(c.Ends)) + 1
		if rapid.IntRange(0, 9).Draw(t, "old") == 0 {
			n = m.lastSeen[run.runner]
		}
		c.Ends = append(c.Ends, jobs.End{Runner: run.runner, N: n, Task: run.task, Run: run.run, Outcome: outcome, Checkpoint: checkpoint})
	}
}

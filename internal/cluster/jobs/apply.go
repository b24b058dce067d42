package jobs

import (
	"strings"

	"ospreypond/internal/cluster/protocol"
)

// maxAgeStepMs is by how much one command can advance the age by which retention is measured. A time of day that jumps
// by an hour must not make the shard forget its jobs.
const maxAgeStepMs = 5000

// Apply applies a command and returns what it did. The command's parts are applied in the order of its fields. The State
// keeps none of the command's memory.
func (s *State) Apply(c *Command) *Effects {
	effects := &Effects{}
	s.effects = effects
	s.advanceClock(c.TimeOfDayMs)
	for i := range c.Submits {
		effects.Submits = append(effects.Submits, s.applySubmit(&c.Submits[i]))
	}
	for _, id := range c.Cancels {
		effects.Cancels = append(effects.Cancels, s.applyCancel(id))
	}
	for _, fence := range c.Fences {
		effects.Fences = append(effects.Fences, s.applyFence(fence))
	}
	for i := range c.Ends {
		effects.Ends = append(effects.Ends, s.applyEnd(&c.Ends[i]))
	}
	for i := range c.Losses {
		effects.Losses = append(effects.Losses, s.applyLoss(&c.Losses[i]))
	}
	for i := range c.RunnerAddresses {
		s.runners.touch(c.RunnerAddresses[i].Runner, s.ageMs).address = strings.Clone(c.RunnerAddresses[i].Address)
	}
	for _, runner := range c.Departures {
		s.runners.touch(runner, s.ageMs).departed = true
	}
	s.applyStarts(c.Starts)
	s.expireRetained()
	s.effects = nil
	return effects
}

// advanceClock moves the clock and opens all repetitions that fall due.
func (s *State) advanceClock(timeOfDayMs int64) {
	if timeOfDayMs > s.clockMs {
		s.ageMs += min(timeOfDayMs-s.clockMs, maxAgeStepMs)
		s.clockMs = timeOfDayMs
	}
	for len(s.dueJobs) > 0 && s.isRepetitionDue(s.dueJobs[0]) {
		s.openDueRepetitions(s.dueJobs[0])
	}
}

// applyCancel ends a job as cancelled unless it has ended, and reports whether the job is known.
func (s *State) applyCancel(id string) bool {
	job := s.jobs[id]
	if job == nil {
		return false
	}
	if !job.Ended() {
		s.counters.Cancelled++
		s.abandon(job, protocol.JobCancelled)
	}
	return true
}

// applyFence reports whether the shard has or had the job. If not, the shard will never accept it by the fence's version
// of the configuration or an older one.
func (s *State) applyFence(fence Fence) bool {
	if s.jobs[fence.ID] != nil {
		return true
	}
	known := s.tombstones.get(fence.ID)
	if known.kind == forgottenJob {
		return true
	}
	s.tombstones.put(fence.ID, tombstone{
		kind:    fencedID,
		version: max(known.version, fence.Version),
		untilMs: s.ageMs + s.retention.tombstoneMs,
	})
	return false
}

package jobs

import (
	"strings"

	"ospreypond/internal/cluster/protocol"
)

// maxAgeStepMs limits how many ms of age one command can add to State.ageMs. Retention times are measured in this age.
// Without the limit, a time of day that jumps forward by an hour would make the shard forget its ended jobs and fences at
// once.
const maxAgeStepMs = 5000

// Apply applies a command and returns its effects. The order of application is the order of the loops below and is the same
// on every replica: Starts come last, after the ends that make their tasks Pending again and after the runners' departures.
// The State keeps no reference to the command's memory.
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

// advanceClock advances the shard's clock and age, unless the time of day is behind the clock, and opens the repetitions
// that are due by then.
func (s *State) advanceClock(timeOfDayMs int64) {
	if timeOfDayMs > s.clockMs {
		s.ageMs += min(timeOfDayMs-s.clockMs, maxAgeStepMs)
		s.clockMs = timeOfDayMs
	}
	for len(s.dueJobs) > 0 && s.isRepetitionDue(s.dueJobs[0]) {
		s.openDueRepetitions(s.dueJobs[0])
	}
}

// applyCancel ends the job as cancelled if it has not ended, and reports whether the State has a job with this id.
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

// applyFence reports whether the shard has or had the job. If not, it stores a tombstone: while that is retained,
// applySubmit rejects the job if its queue was chosen by the fence's version of the configuration or an older one. A
// withdrawn id stays withdrawn: every other fence has a lower version.
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

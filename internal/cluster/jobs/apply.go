package jobs

import (
	"strings"

	"ospreypond/internal/cluster/protocol"
)

// mostAgeMs is by how much one command can make what is kept older. A time of day that jumps by an hour must not make
// the shard forget its jobs.
const mostAgeMs = 5000

// mostQueues bounds how many forms of queues are remembered for sharing their texts.
const mostQueues = 4096

// Apply carries out a command and tells what it did. The command's parts are applied in the order of its fields.
func (s *State) Apply(c *Command) *Effects {
	effects := &Effects{}
	s.effects = effects
	s.advance(c.TimeOfDayMs)
	for i := range c.Submits {
		effects.Submits = append(effects.Submits, s.submit(&c.Submits[i]))
	}
	for _, id := range c.Cancels {
		effects.Cancels = append(effects.Cancels, s.cancel(id))
	}
	for _, fence := range c.Fences {
		effects.Fences = append(effects.Fences, s.fence(fence))
	}
	for i := range c.Ends {
		effects.Ends = append(effects.Ends, s.end(&c.Ends[i]))
	}
	for i := range c.Losses {
		effects.Losses = append(effects.Losses, s.lose(&c.Losses[i]))
	}
	for i := range c.RunnerAddresses {
		s.runners.hear(c.RunnerAddresses[i].Runner, s.ageMs).place = strings.Clone(c.RunnerAddresses[i].Address)
	}
	for _, runner := range c.Departures {
		s.runners.hear(runner, s.ageMs).departed = true
	}
	s.startAll(c.Starts)
	s.forget()
	s.effects = nil
	return effects
}

// advance moves the clock and makes the groups of all times that fall due.
func (s *State) advance(timeOfDayMs int64) {
	if timeOfDayMs > s.clockMs {
		s.ageMs += min(timeOfDayMs-s.clockMs, mostAgeMs)
		s.clockMs = timeOfDayMs
	}
	for len(s.due) > 0 && s.isDue(s.due[0]) {
		s.open(s.due[0])
	}
}

func (s *State) submit(submit *Submit) SubmitEffect {
	if s.jobs[submit.ID] != nil {
		return Known
	}
	known := s.tombstones.of(submit.ID)
	switch {
	case known.kind == hadJob:
		return Known
	case known.kind == fencing && submit.Version <= known.version:
		return Fenced
	}
	if s.Validate(&submit.Job) != nil {
		return Rejected
	}
	s.take(submit)
	return Taken
}

// take makes a job of a hand-in.
func (s *State) take(submit *Submit) {
	job := &Job{
		ID:         strings.Clone(submit.ID),
		Queue:      s.queue(submit.Queue),
		Spec:       ownSpec(&submit.Job),
		State:      protocol.JobQueued,
		AcceptedMs: s.clockMs,
		dueIndex:   notWaiting,
	}
	s.tombstones.remove(job.ID)
	s.jobs[job.ID] = job
	s.pending[job.Queue.Key]++
	s.counters.Jobs++
	s.counters.Accepted++
	s.open(job)
}

// queue returns q with texts that all jobs of the queue share.
func (s *State) queue(q protocol.Queue) protocol.Queue {
	known, ok := s.queues[q]
	if !ok {
		if len(s.queues) >= mostQueues {
			clear(s.queues)
		}
		known = q
		known.Key = strings.Clone(q.Key)
		known.Service = strings.Clone(q.Service)
		s.queues[known] = known
	}
	return known
}

// ownSpec copies a spec, so that the command's bytes aren't kept alive.
func ownSpec(spec *protocol.JobSpec) protocol.JobSpec {
	own := *spec
	own.Spec = strings.Clone(spec.Spec)
	own.Steps = nil
	if len(spec.Steps) == 0 {
		return own
	}
	own.Steps = make([]protocol.Step, len(spec.Steps))
	for i, step := range spec.Steps {
		step.Requirements = strings.Clone(step.Requirements)
		step.Affinity = strings.Clone(step.Affinity)
		step.DependsOn = append([]int(nil), step.DependsOn...)
		own.Steps[i] = step
	}
	return own
}

// cancel ends a job for good, unless it has ended; it returns whether the job is known.
func (s *State) cancel(id string) bool {
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

// fence returns whether the shard has or had the job; if not, it will never take it by the fence's version of the
// configuration or an older one.
func (s *State) fence(fence Fence) bool {
	if s.jobs[fence.ID] != nil {
		return true
	}
	known := s.tombstones.of(fence.ID)
	if known.kind == hadJob {
		return true
	}
	s.tombstones.put(fence.ID, tombstone{
		kind:    fencing,
		version: max(known.version, fence.Version),
		untilMs: s.ageMs + s.forgetMs,
	})
	return false
}

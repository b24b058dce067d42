package jobs

import (
	"strings"

	"ospreypond/internal/cluster/protocol"
)

// maxSharedQueues limits the number of queues in State.sharedQueues. Beyond it, all are dropped and collected again: jobs
// that have their texts already keep them.
const maxSharedQueues = 4096

// applySubmit accepts a job unless its id is known, is withdrawn, is fenced for the submit's version of the configuration, or
// its spec is invalid. An id stays known after its job ended: first by the job's state, then by a tombstone.
func (s *State) applySubmit(submit *Submit) SubmitEffect {
	if s.jobs[submit.ID] != nil {
		return Duplicate
	}
	known := s.tombstones.get(submit.ID)
	switch {
	case known.kind == forgottenJob:
		return Duplicate
	case known.isWithdrawn():
		return Withdrawn
	case known.kind == fencedID && submit.Version <= known.version:
		return Fenced
	}
	if Validate(&submit.Job) != nil {
		return Rejected
	}
	s.acceptJob(submit)
	return Accepted
}

// acceptJob adds a queued job and opens the repetitions that are due.
func (s *State) acceptJob(submit *Submit) {
	job := &Job{
		ID:         strings.Clone(submit.ID),
		Queue:      s.sharedQueue(submit.Queue),
		Spec:       cloneSpec(&submit.Job),
		State:      protocol.JobQueued,
		AcceptedMs: s.clockMs,
		dueIndex:   notScheduled,
	}
	s.tombstones.remove(job.ID)
	s.jobs[job.ID] = job
	s.unfinishedJobs[job.Queue.Key]++
	s.counters.Jobs++
	s.counters.Accepted++
	s.openDueRepetitions(job)
}

// sharedQueue returns a queue that equals q. The jobs of a queue share the strings of the result, so that their memory is
// needed once per queue instead of once per job. The sharing doesn't affect snapshots.
func (s *State) sharedQueue(q protocol.Queue) protocol.Queue {
	known, ok := s.sharedQueues[q]
	if !ok {
		if len(s.sharedQueues) >= maxSharedQueues {
			clear(s.sharedQueues)
		}
		known = q
		known.Key = strings.Clone(q.Key)
		known.Service = strings.Clone(q.Service)
		s.sharedQueues[known] = known
	}
	return known
}

// cloneSpec returns a deep copy of a spec. A decoded spec shares memory with the complete entry of the log. Without the
// copy, the entry would stay in memory until the job is dropped.
func cloneSpec(spec *protocol.JobSpec) protocol.JobSpec {
	clone := *spec
	clone.Spec = strings.Clone(spec.Spec)
	clone.Steps = nil
	if len(spec.Steps) == 0 {
		return clone
	}
	clone.Steps = make([]protocol.Step, len(spec.Steps))
	for i, step := range spec.Steps {
		step.Requirements = strings.Clone(step.Requirements)
		step.Affinity = strings.Clone(step.Affinity)
		step.DependsOn = append([]int(nil), step.DependsOn...)
		clone.Steps[i] = step
	}
	return clone
}

package jobs

import (
	"strings"

	"ospreypond/internal/cluster/protocol"
)

// maxSharedQueues limits how many queues are remembered for sharing their texts.
const maxSharedQueues = 4096

func (s *State) applySubmit(submit *Submit) SubmitEffect {
	if s.jobs[submit.ID] != nil {
		return Duplicate
	}
	known := s.tombstones.get(submit.ID)
	switch {
	case known.kind == forgottenJob:
		return Duplicate
	case known.kind == fencedID && submit.Version <= known.version:
		return Fenced
	}
	if Validate(&submit.Job) != nil {
		return Rejected
	}
	s.acceptJob(submit)
	return Accepted
}

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

// sharedQueue returns q with texts that all jobs of the queue share.
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

// cloneSpec copies a spec, so that it doesn't keep the command's bytes alive.
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

package scheduler

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// Steps without value run on what the others leave over. So that each accepted job ends even if that is nothing, the
// oldest of them get a share of the service's capacity: they are placed as late tasks of the lowest priority.
const (
	agedAfter    = 30 * time.Second // that a step has been pending before it gets part of the share
	agedFraction = 0.05             // of the service's processors, or accelerators, that aged steps may use
	agedTimeout  = 10 * time.Second // after which an aged step that could not start gives its place to the next one
)

// age chooses the steps that are run though they have no value, and returns pending tasks of them: at most
// maxWorthlessPerRound, but a gang is complete.
func (p *pendingSteps) age(now time.Duration, clockMs int64, service string, capacity protocol.Resources) (tasks []*jobs.Task) {
	s := p.service(service)
	used := 0.0
	s.aged = slices.DeleteFunc(s.aged, func(step *pendingStep) bool { return p.losesShare(now, s, step) })
	for _, step := range s.aged {
		used += dominantFraction(step.group.Spec().Needs(), step.group.Unfinished, capacity)
	}
	for front := s.worthless.Front(); front != nil; front = s.worthless.Front() {
		step := front.Value.(*pendingStep)
		needs := dominantFraction(step.group.Spec().Needs(), step.group.Unfinished, capacity)
		if len(s.aged) > 0 && used+needs > agedFraction || clockMs-oldestPendingMs(step.group) < agedAfter.Milliseconds() {
			break
		}
		s.worthless.Remove(front)
		step.list, step.element = nil, nil
		step.aged, step.agedSince = true, now
		s.aged = append(s.aged, step)
		used += needs
	}
	for _, step := range s.aged {
		tasks = appendPending(tasks, step.group, maxWorthlessPerRound)
	}
	return tasks
}

// losesShare reports whether a step no longer uses the share of the aged: it is done, or it could not start for long, and
// waits for its next turn.
func (p *pendingSteps) losesShare(now time.Duration, s *servicePending, step *pendingStep) bool {
	group := step.group
	switch {
	case group.Unfinished == 0 || group.Job.Ended():
		delete(p.steps, group)
	case group.Running == 0 && now-step.agedSince >= agedTimeout:
		step.list, step.element = &s.worthless, s.worthless.PushBack(step)
	default:
		return false
	}
	step.aged = false
	return true
}

// isAged reports whether a group is run though it has no value.
func (p *pendingSteps) isAged(group *jobs.Group) bool {
	step := p.steps[group]
	return step != nil && step.aged
}

// oldestPendingMs returns the time of day at which the first of a group's pending tasks became so.
func oldestPendingMs(group *jobs.Group) int64 {
	for _, task := range group.Tasks {
		if task.Phase == jobs.Pending {
			return task.PendingSinceMs
		}
	}
	return group.Job.AcceptedMs
}

// dominantFraction returns the largest fraction of any resource of a service that count tasks of the same needs use.
func dominantFraction(needs protocol.Resources, count int, capacity protocol.Resources) float64 {
	largest := 0.0
	for _, pair := range [][2]int64{{needs.CPU, capacity.CPU}, {needs.MemoryMB, capacity.MemoryMB}, {needs.GPU, capacity.GPU}} {
		if pair[1] > 0 {
			largest = max(largest, float64(pair[0])*float64(count)/float64(pair[1]))
		}
	}
	return largest
}

// isWorthless reports whether a group's pending tasks have no value any more.
func (p *pendingSteps) isWorthless(group *jobs.Group) bool {
	step := p.steps[group]
	return step != nil && step.class == noValue
}

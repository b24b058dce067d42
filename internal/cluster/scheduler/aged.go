package scheduler

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// Expired steps run only on capacity that unexpired ones leave, so under constant load they would starve. Aging prevents
// that: expired steps that have waited long are promoted (they are aged) until they use a small share of the service's
// capacity. The planner ranks aged tasks like late tasks of the lowest priority, so each accepted job ends even if the
// unexpired steps need all capacity.
const (
	agingThreshold   = 30 * time.Second // time for which an expired step must have been pending before it is promoted
	agedShare        = 0.05             // largest sum of the aged steps' dominant fractions of the service's capacity
	agedStartTimeout = 10 * time.Second // time after its promotion at which an aged step with no running task is demoted
)

// promoteAged demotes aged steps that are done or couldn't start (see demoteAged). It then promotes expired steps from
// the front of their queue. It stops at the first step that hasn't reached agingThreshold, or that would raise the
// needs of the unfinished tasks of all aged steps above agedShare of the capacity. If no step is aged, it promotes the
// first step that has reached agingThreshold whatever its needs, because a step wider than the share would otherwise
// never be promoted.
//
// It returns pending tasks of the aged steps: at most maxExpiredPerRound, but the last gang completely.
func (p *pendingSteps) promoteAged(now time.Duration, clockMs int64, service string, capacity protocol.Resources) (tasks []*jobs.Task) {
	s := p.service(service)
	used := 0.0
	s.aged = slices.DeleteFunc(s.aged, func(step *pendingStep) bool { return p.demoteAged(now, s, step) })
	for _, step := range s.aged {
		used += dominantFraction(step.group.Spec().Needs(), step.group.Unfinished, capacity)
	}
	for front := s.expired.Front(); front != nil; front = s.expired.Front() {
		step := front.Value.(*pendingStep)
		needs := dominantFraction(step.group.Spec().Needs(), step.group.Unfinished, capacity)
		if len(s.aged) > 0 && used+needs > agedShare || clockMs-oldestPendingMs(step.group) < agingThreshold.Milliseconds() {
			break
		}
		s.expired.Remove(front)
		step.list, step.element = nil, nil
		step.aged, step.promotedAt = true, now
		s.aged = append(s.aged, step)
		used += needs
	}
	for _, step := range s.aged {
		tasks = appendPending(tasks, step.group, maxExpiredPerRound)
	}
	return tasks
}

// demoteAged reports whether a step is no longer aged. If all tasks of the step are done or its job has ended, it
// removes the step from the index. If no task of the step is running agedStartTimeout after the promotion, it moves the
// step to the end of the expired steps, where the step waits for its next promotion.
func (p *pendingSteps) demoteAged(now time.Duration, s *servicePending, step *pendingStep) bool {
	group := step.group
	switch {
	case group.Unfinished == 0 || group.Job.Ended():
		delete(p.steps, group)
	case group.Running == 0 && now-step.promotedAt >= agedStartTimeout:
		step.list, step.element = &s.expired, s.expired.PushBack(step)
	default:
		return false
	}
	step.aged = false
	return true
}

// isAged reports whether a group's step is aged, that is, expired and promoted.
func (p *pendingSteps) isAged(group *jobs.Group) bool {
	step := p.steps[group]
	return step != nil && step.aged
}

// oldestPendingMs returns the time of day, in ms since 1970, at which the first pending task in the group's list became
// pending; without one, the time at which the job was accepted.
func oldestPendingMs(group *jobs.Group) int64 {
	for _, task := range group.Tasks {
		if task.Phase == jobs.Pending {
			return task.PendingSinceMs
		}
	}
	return group.Job.AcceptedMs
}

// dominantFraction returns the largest fraction of any resource of a service's capacity that count tasks with the same
// needs use.
func dominantFraction(needs protocol.Resources, count int, capacity protocol.Resources) float64 {
	largest := 0.0
	for _, pair := range [][2]int64{{needs.CPU, capacity.CPU}, {needs.MemoryMB, capacity.MemoryMB}, {needs.GPU, capacity.GPU}} {
		if pair[1] > 0 {
			largest = max(largest, float64(pair[0])*float64(count)/float64(pair[1]))
		}
	}
	return largest
}

// isExpired reports whether a group's step is in classExpired, aged or not.
func (p *pendingSteps) isExpired(group *jobs.Group) bool {
	step := p.steps[group]
	return step != nil && step.class == classExpired
}

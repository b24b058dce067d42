package placement

import (
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// runnerState is a runner in the present round: as the caller described it, less what the round has assigned to it.
type runnerState struct {
	runner          *Runner
	index           int // in the planner's runners
	kind            int // index into the snapshot's kinds
	rack            int // index into the snapshot's racks
	free            protocol.Resources
	slowness        float64
	unreliable      bool
	longRunning     int          // long-running tasks there
	assumed         []groupCount // tasks assigned in this round, by group
	assumedReleases []release    // of the tasks assigned in this round
	releases        []release    // of all that runs there, by time; see Planner.expectedReleases
	releasesKnown   bool
	committed       protocol.Resources // capacity yet to be released that unschedulable tasks already wait for
	reserved        Reservation        // in this round
	reservedBefore  Reservation        // in earlier rounds of the same moment
}

type groupCount struct {
	group any
	count int
}

// reset makes r the state of a runner at the start of a round, in the buffers of an earlier one. Kind and rack are left
// to the caller.
func (r *runnerState) reset(runner *Runner, index int) {
	*r = runnerState{runner: runner, index: index, free: runner.Free, reservedBefore: runner.Reserved, slowness: 1,
		unreliable: runner.FailureScore >= minUnreliableScore,
		assumed:    r.assumed[:0], assumedReleases: r.assumedReleases[:0], releases: r.releases[:0]}
	if runner.Slowness > 0 {
		r.slowness = max(runner.Slowness, minSlowness)
	}
	for i := range runner.Running {
		if runner.Running[i].LongRunning {
			r.longRunning++
		}
	}
}

// assume counts in a task that is assigned in this round. runtime is in seconds.
func (r *runnerState) assume(c *candidate, runtime float64) {
	task := c.task
	subtract(&r.free, task.Needs)
	if task.LongRunning {
		r.longRunning++
		runtime = math.Inf(1)
	}
	for _, reserved := range []*Reservation{&r.reserved, &r.reservedBefore} {
		if reserved.isForOther(c.reservationKey()) && runtime > reserved.neededIn {
			subtract(&reserved.spare, task.Needs)
		}
	}
	r.assumedReleases = append(r.assumedReleases, release{runtime, task.Needs, assumedRun})
	r.releasesKnown = false
	for i := range r.assumed {
		if r.assumed[i].group == task.Group {
			r.assumed[i].count++
			return
		}
	}
	r.assumed = append(r.assumed, groupCount{task.Group, 1})
}

// count returns how many tasks of a group run there or are assigned to it.
func (r *runnerState) count(group any) int {
	count := 0
	if len(r.runner.GroupCount) > 0 {
		count = r.runner.GroupCount[group]
	}
	for i := range r.assumed {
		if r.assumed[i].group == group {
			return count + r.assumed[i].count
		}
	}
	return count
}

// couldRun reports whether the runner could take the task if all its capacity were free.
func (r *runnerState) couldRun(task *Task) bool {
	if r.runner.Draining || !fits(r.runner.Capacity, task.Needs) {
		return false
	}
	return task.Requirements == "" || slices.Contains(r.runner.Labels, task.Requirements)
}

// hasCapacityFor reports whether the constraints let the task start there now: free capacity, label, anti-affinity and
// no draining.
func (r *runnerState) hasCapacityFor(task *Task) bool {
	if !fits(r.free, task.Needs) || !r.couldRun(task) {
		return false
	}
	return task.AntiAffinity <= 0 || r.count(task.Group) < task.AntiAffinity
}

// capacityFor returns how many tasks like this one fit into the free capacity, at most limit.
func (r *runnerState) capacityFor(task *Task, limit int) int {
	return max(r.limitByAntiAffinity(task, maxFitting(r.free, task.Needs, limit)), 0)
}

// limitByAntiAffinity returns how many more tasks of the task's group may go there, at most limit. It is negative if there
// are too many already.
func (r *runnerState) limitByAntiAffinity(task *Task, limit int) int {
	if task.AntiAffinity > 0 {
		return min(limit, task.AntiAffinity-r.count(task.Group))
	}
	return limit
}

package placement

import (
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// runnerState is the state of a runner in the current round: the state that the caller passed, with the tasks that the
// round has placed there.
type runnerState struct {
	runner          *Runner
	index           int                // index into the planner's runners
	kind            int                // index into the snapshot's kinds
	rack            int                // index into the snapshot's racks
	free            protocol.Resources // free capacity, less the needs of the tasks placed in this round
	slowness        float64            // Runner.Slowness, at least minSlowness; 1 if it is unknown
	unreliable      bool               // the failure score is at least minUnreliableScore
	longRunning     int                // number of long-running tasks on the runner
	assumed         []groupCount       // number of tasks placed in this round, by group
	assumedReleases []release          // expected releases of the tasks placed in this round
	releases        []release          // all expected releases, by time; see Planner.expectedReleases
	releasesKnown   bool               // releases is up to date
	committed       protocol.Resources // capacity, free or still to be released, on which preempt counts for units that wait
	reserved        Reservation        // made in this round
	reservedBefore  Reservation        // made in an earlier round at the same time
}

// groupCount is a number of tasks of a group.
type groupCount struct {
	group any
	count int
}

// reset sets r to the state of a runner at the start of a round, and reuses the buffers of r. The caller sets kind and
// rack.
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

// assume updates the state for a task that the round places on the runner. runtime is the task's predicted runtime in
// seconds. The task also uses the spare capacity of another unit's reservation if it still runs when that needs its
// capacity.
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

// count returns the number of tasks of a group that run on the runner or that the round has placed there.
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

// couldRun reports whether the task could start on the runner if all its capacity were free. It doesn't check
// anti-affinity.
func (r *runnerState) couldRun(task *Task) bool {
	if r.runner.Draining || !fits(r.runner.Capacity, task.Needs) {
		return false
	}
	return task.Requirements == "" || slices.Contains(r.runner.Labels, task.Requirements)
}

// hasCapacityFor reports whether the runner meets the hard constraints of the task now: it has the free capacity and the
// label, isn't draining, and may have another task of the group by its anti-affinity.
func (r *runnerState) hasCapacityFor(task *Task) bool {
	if !fits(r.free, task.Needs) || !r.couldRun(task) {
		return false
	}
	return task.AntiAffinity <= 0 || r.count(task.Group) < task.AntiAffinity
}

// capacityFor returns the number of tasks like the given one that fit into the free capacity and that anti-affinity
// allows on the runner, at most limit.
func (r *runnerState) capacityFor(task *Task, limit int) int {
	return max(r.limitByAntiAffinity(task, maxFitting(r.free, task.Needs, limit)), 0)
}

// limitByAntiAffinity returns the number of further tasks of the task's group that anti-affinity allows on the runner, at
// most limit. It is negative if there are too many already.
func (r *runnerState) limitByAntiAffinity(task *Task, limit int) int {
	if task.AntiAffinity > 0 {
		return min(limit, task.AntiAffinity-r.count(task.Group))
	}
	return limit
}

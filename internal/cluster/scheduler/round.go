package scheduler

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/placement"
)

const (
	// minRoundInterval is the shortest time between two rounds.
	minRoundInterval = 10 * time.Millisecond
	// maxRoundInterval is the longest time between two rounds while tasks are pending. Rounds are repeated even without
	// changes, because reservations, aging and the wait for a better runner depend on time.
	maxRoundInterval = 200 * time.Millisecond
	// maxPendingPerRound is the largest number of unexpired tasks of one service that a round considers, and of expired
	// ones while the service is mostly free. The last gang is considered completely beyond it.
	maxPendingPerRound = 2000
	// maxExpiredPerRound is the largest number of expired tasks of one service that a round considers while the service
	// isn't mostly free, and of aged ones. The last gang is considered completely beyond it.
	maxExpiredPerRound = 200
)

// round places pending tasks of all services on runners, if a round is due: maxRoundInterval after the last one, or
// minRoundInterval after it if something has changed.
func (o *Owner) round(now time.Duration) {
	if o.state.PendingCount() == 0 {
		return
	}
	sinceLast := now - o.lastRound
	isDue := sinceLast >= maxRoundInterval || o.roundRequested && sinceLast >= minRoundInterval
	if !isDue {
		return
	}
	o.roundRequested = false
	o.lastRound = now
	o.counters.Rounds++
	o.pending.reclassify(now)
	for _, service := range o.pending.serviceNames() {
		o.roundOfService(now, service)
	}
}

// roundOfService places the pending tasks of one service.
//
//  1. It takes the first unexpired tasks; tasks that can be on time come before late ones.
//  2. It promotes expired steps that have waited long (see aged.go), and places their tasks together with the unexpired
//     ones.
//  3. It places expired tasks on the capacity that is left.
//  4. If there are more steps than one round considers, it moves each step of which it has started no task to the end of
//     its queue, so that all steps take part in turn (round robin). Expired steps always rotate in this way.
func (o *Owner) roundOfService(now time.Duration, service string) {
	unexpired, truncated := o.pending.takeUnexpired(service, maxPendingPerRound)
	runners := o.snapshotRunners(now, service)
	if len(runners) == 0 {
		o.explainNoRunner(now, append(unexpired, o.pending.takeExpired(service, maxExpiredPerRound)...))
		return
	}
	o.capacities[service] = totalCapacity(runners)
	aged := o.pending.promoteAged(now, o.clockMs(now), service, o.capacities[service])
	reserved, started := o.roundOfUnexpired(now, service, slices.Concat(unexpired, aged), runners)
	if truncated {
		o.pending.requeueUnstarted(now, unexpired, started)
	}
	limit := maxExpiredPerRound
	if isMostlyFree(runners) {
		limit = maxPendingPerRound
	}
	expired := o.pending.takeExpired(service, limit)
	started = o.roundOfExpired(now, expired, runners, reserved)
	o.pending.requeueUnstarted(now, expired, started)
}

// roundOfUnexpired places unexpired and aged tasks in three passes, each on the capacity that the earlier ones have left:
// first urgent tasks; then tasks that are exempt from the headroom for urgent work (see splitExempt); then, without that
// headroom, all others.
//
// It returns the fraction of each runner's processors that is reserved as headroom, and the groups with tasks that it
// has started. When it returns, the headroom is subtracted from Free of the runners.
func (o *Owner) roundOfUnexpired(now time.Duration, service string, tasks []*jobs.Task, runners []placement.Runner) (reserved float64, started map[*jobs.Group]bool) {
	started = map[*jobs.Group]bool{}
	urgent, reserved := o.headroom.update(now, service, tasks, runners)
	exempt, others := splitExempt(tasks[urgent:], runners)
	addGroups(started, tasks[:urgent], o.assign(now, tasks[:urgent], runners, 0))
	addGroups(started, exempt, o.assign(now, exempt, runners, 0))
	reserve(runners, reserved)
	addGroups(started, others, o.assign(now, others, runners, reserved))
	return reserved, started
}

// roundOfExpired places expired tasks and returns the groups with tasks that it has started. It places most of them
// without the headroom for urgent work, then adds the headroom to Free again and places the exempt ones (see
// splitExempt). reserved is the fraction of each runner's processors that roundOfUnexpired has reserved as headroom.
func (o *Owner) roundOfExpired(now time.Duration, tasks []*jobs.Task, runners []placement.Runner, reserved float64) map[*jobs.Group]bool {
	started := map[*jobs.Group]bool{}
	if len(tasks) == 0 {
		return started
	}
	exempt, others := splitExempt(tasks, runners)
	addGroups(started, others, o.assign(now, others, runners, reserved))
	reserve(runners, -reserved)
	addGroups(started, exempt, o.assign(now, exempt, runners, 0))
	return started
}

// addGroups adds the groups of the placed tasks to groups.
func addGroups(groups map[*jobs.Group]bool, tasks []*jobs.Task, result placement.Result) {
	for _, p := range result.Placements {
		groups[tasks[p.Task].Group] = true
	}
}

// assign runs a round of the planner for some pending tasks, and applies its decisions. reserved is the fraction of each
// runner's processors that is not available to these tasks; it only affects their wait reasons. The result is valid until
// the next call.
func (o *Owner) assign(now time.Duration, pending []*jobs.Task, runners []placement.Runner, reserved float64) placement.Result {
	if len(pending) == 0 {
		return placement.Result{}
	}
	result := o.planner.Round(now, o.candidates(now, pending), runners)
	o.explain(now, pending, runners, result, reserved)
	o.apply(pending, runners, result)
	return result
}

// candidates describes pending tasks to the planner. It gives aged tasks the lowest priority of all tasks in pending. As
// the planner treats aged tasks as late, they rank after all tasks that can be on time, and compete with late tasks of
// that priority.
func (o *Owner) candidates(now time.Duration, pending []*jobs.Task) []placement.Task {
	clockMs := o.clockMs(now)
	tasks := make([]placement.Task, len(pending))
	lowestPriority := 0 // the largest number
	for _, task := range pending {
		lowestPriority = max(lowestPriority, task.Group.Job.Queue.Priority)
	}
	var left timeLeft
	work := 0.0
	for i, task := range pending {
		if i == 0 || task.Group != pending[i-1].Group {
			left, work = o.timeLeftOf(clockMs, task.Group), o.remainingWork(task.Group)
		}
		tasks[i] = candidate(clockMs, task, left)
		tasks[i].RemainingWork = work
		if o.pending.isAged(task.Group) {
			tasks[i].Aged = true
			tasks[i].Priority = lowestPriority
		}
	}
	return tasks
}

// apply adds the planner's placements to the next command as starts, and decides the stops of the runs that it preempts. It
// updates Free, GroupCount and Reserved of the runners for the next pass of the round.
func (o *Owner) apply(pending []*jobs.Task, runners []placement.Runner, result placement.Result) {
	for _, p := range result.Placements {
		task := pending[p.Task]
		runner := &runners[p.Runner]
		subtract(&runner.Free, task.Group.Spec().Needs())
		runner.GroupCount[task.Group]++
		o.proposals.addStart(jobs.Start{Task: task.ID, Run: nextRun(task), Runner: runner.ID})
	}
	for _, r := range result.Reservations {
		runners[r.Runner].Reserved = r.Reservation
	}
	for _, s := range result.Stops {
		victimRunner := &runners[s.Runner]
		key, ok := victimRunner.Running[s.Run].Key.(runKey)
		if r := o.runners.current[victimRunner.ID]; ok && r != nil {
			o.counters.Preempted++
			o.stop(r, key)
		}
	}
}

// nextRun returns the number of the task's next run. All members of a gang have the same.
func nextRun(task *jobs.Task) uint64 {
	if task.Group.Spec().Gang {
		return task.Group.Run + 1
	}
	return task.Run + 1
}

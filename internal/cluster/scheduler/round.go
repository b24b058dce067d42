package scheduler

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/placement"
)

const (
	// minRoundInterval is the least time between two rounds of placement.
	minRoundInterval = 10 * time.Millisecond
	// maxRoundInterval is the longest time between two rounds while tasks are pending.
	maxRoundInterval = 200 * time.Millisecond
	// maxPendingPerRound is how many pending tasks of one service a round considers. A gang that has begun is considered
	// completely.
	maxPendingPerRound = 2000
	// maxWorthlessPerRound is how many of them may have no value any more while most of the service is in use.
	maxWorthlessPerRound = 200
)

// round assigns pending tasks to runners, if something has changed or the last round was long ago.
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

// roundOfService assigns the pending tasks of one service: those that can earn something, then those that have no value
// any more on what is left over. Where there are more than a round considers, they take turns.
func (o *Owner) roundOfService(now time.Duration, service string) {
	earning, truncated := o.pending.takeEarning(service, maxPendingPerRound)
	runners := o.snapshotRunners(now, service)
	if len(runners) == 0 {
		o.explainNoRunner(now, append(earning, o.pending.takeWorthless(service, maxWorthlessPerRound)...))
		return
	}
	o.capacities[service] = totalCapacity(runners)
	aged := o.pending.age(now, o.clockMs(now), service, o.capacities[service])
	reserved, started := o.roundOfEarning(now, service, slices.Concat(earning, aged), runners)
	if truncated {
		o.pending.passOver(now, earning, started)
	}
	limit := maxWorthlessPerRound
	if isMostlyFree(runners) {
		limit = maxPendingPerRound
	}
	worthless := o.pending.takeWorthless(service, limit)
	started = o.roundOfWorthless(now, worthless, runners, reserved)
	o.pending.passOver(now, worthless, started)
}

// roundOfEarning assigns the tasks that can earn something, and the aged ones: urgent ones first, then those from which no
// capacity is reserved, then the others, to which the headroom for urgent work is not available. It returns the fraction
// of the processors that is reserved for urgent work, which is subtracted from what is free on the runners, and the groups
// of which it started some.
func (o *Owner) roundOfEarning(now time.Duration, service string, tasks []*jobs.Task, runners []placement.Runner) (reserved float64, started map[*jobs.Group]bool) {
	started = map[*jobs.Group]bool{}
	urgent, reserved := o.headroom.update(now, service, tasks, runners)
	exempt, others := splitExempt(tasks[urgent:], runners)
	addGroups(started, tasks[:urgent], o.assign(now, tasks[:urgent], runners, 0))
	addGroups(started, exempt, o.assign(now, exempt, runners, 0))
	reserve(runners, reserved)
	addGroups(started, others, o.assign(now, others, runners, reserved))
	return reserved, started
}

// roundOfWorthless assigns tasks that have no value any more, and returns the groups of which it started some. The headroom
// for urgent work is not available to them, but to those that might never fit otherwise.
func (o *Owner) roundOfWorthless(now time.Duration, tasks []*jobs.Task, runners []placement.Runner, reserved float64) map[*jobs.Group]bool {
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

// addGroups adds the groups of the tasks that a round has placed.
func addGroups(groups map[*jobs.Group]bool, tasks []*jobs.Task, result placement.Result) {
	for _, p := range result.Placements {
		groups[tasks[p.Task].Group] = true
	}
}

// assign has the planner assign some pending tasks to runners, and applies what it decides. reserved is the fraction of
// the processors that is reserved from them. The result is valid until the next call.
func (o *Owner) assign(now time.Duration, pending []*jobs.Task, runners []placement.Runner, reserved float64) placement.Result {
	if len(pending) == 0 {
		return placement.Result{}
	}
	result := o.planner.Round(now, o.candidates(now, pending), runners)
	o.explain(now, pending, runners, result, reserved)
	o.apply(pending, runners, result)
	return result
}

// candidates describes pending tasks to the planner. Aged ones go behind all others that can be on time, as late ones of
// the lowest priority.
func (o *Owner) candidates(now time.Duration, pending []*jobs.Task) []placement.Task {
	clockMs := o.clockMs(now)
	tasks := make([]placement.Task, len(pending))
	lowest := 0
	for _, task := range pending {
		lowest = max(lowest, task.Group.Job.Queue.Priority)
	}
	var times valueTimes
	work := 0.0
	for i, task := range pending {
		if i == 0 || task.Group != pending[i-1].Group {
			times, work = o.valueTimesOf(clockMs, task.Group), o.remainingWork(task.Group)
		}
		tasks[i] = candidate(clockMs, task, times)
		tasks[i].RemainingWork = work
		if o.pending.isAged(task.Group) {
			tasks[i].Aged = true
			tasks[i].Priority = lowest
		}
	}
	return tasks
}

// apply turns the planner's decisions into starts of the next command and stops, and updates the snapshots of the runners
// by them.
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

// nextRun returns the number of the task's next run; all members of a gang have the same.
func nextRun(task *jobs.Task) uint64 {
	if task.Group.Spec().Gang {
		return task.Group.Run + 1
	}
	return task.Run + 1
}

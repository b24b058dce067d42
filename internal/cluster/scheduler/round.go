package scheduler

import (
	"maps"
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
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
	services := o.pendingByService()
	for _, service := range slices.Sorted(maps.Keys(services)) {
		o.roundOfService(now, service, services[service])
	}
}

// pendingByService returns the pending tasks that a round considers, in order of priority.
func (o *Owner) pendingByService() map[string][]*jobs.Task {
	services := map[string][]*jobs.Task{}
	o.state.EachPending(func(task *jobs.Task) bool {
		service := task.Group.Job.Queue.Service
		pending := services[service]
		if len(pending) < maxPendingPerRound || continuesGang(pending, task) {
			services[service] = append(pending, task)
		}
		return true
	})
	return services
}

// continuesGang reports whether a task belongs to the gang whose member was taken last.
func continuesGang(taken []*jobs.Task, task *jobs.Task) bool {
	return task.Group.Spec().Gang && taken[len(taken)-1].Group == task.Group
}

// roundOfService assigns the pending tasks of one service: urgent ones first, then those from which no capacity is
// reserved, then the others, to which the headroom for urgent work is not available.
func (o *Owner) roundOfService(now time.Duration, service string, pending []*jobs.Task) {
	runners := o.snapshotRunners(now, service)
	if len(runners) == 0 {
		o.reasons.recorder.SetReason(now, pending[0].Group, latency.NoRunner)
		return
	}
	urgent, reserved := o.headroom.update(now, service, pending, runners)
	if urgent == len(pending) {
		o.assign(now, pending, runners, 0)
		return
	}
	exempt, others := splitExempt(pending[urgent:], runners)
	o.assign(now, pending[:urgent], runners, 0)
	o.assign(now, exempt, runners, 0)
	reserve(runners, reserved)
	o.assign(now, others, runners, reserved)
}

// assign has the planner assign some pending tasks to runners, and applies what it decides. reserved is the fraction of
// the processors that is reserved from them.
func (o *Owner) assign(now time.Duration, pending []*jobs.Task, runners []placement.Runner, reserved float64) {
	if len(pending) == 0 {
		return
	}
	tasks := make([]placement.Task, len(pending))
	for i, task := range pending {
		tasks[i] = o.candidate(now, task)
	}
	result := o.planner.Round(now, tasks, runners)
	o.explain(now, pending, runners, result, reserved)
	o.apply(pending, runners, result)
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

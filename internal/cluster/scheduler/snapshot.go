package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

// snapshotRunners describes the service's schedulable runners to the planner, sorted by instance. Free is the capacity that
// certainly no run uses.
func (o *Owner) snapshotRunners(now time.Duration, service string) []placement.Runner {
	instances := o.runners.sorted(func(r *runner) bool { return r.report.Service == service && r.isSchedulable(now) })
	snapshots := make([]placement.Runner, len(instances))
	for i, instance := range instances {
		snapshots[i] = o.snapshotRunner(now, o.runners.current[instance])
	}
	return snapshots
}

// snapshotRunner describes a runner to the planner. Each run that may exist on the runner uses capacity, whether the shard
// wants it there or not: see hasReleasedCapacity.
func (o *Owner) snapshotRunner(now time.Duration, r *runner) placement.Runner {
	snapshot := placement.Runner{
		ID:           r.instance,
		Kind:         r.kind(),
		Rack:         r.rack(),
		Zone:         r.report.Zone,
		Labels:       r.report.Labels,
		Capacity:     r.report.Capacity,
		Free:         r.report.Capacity,
		Slowness:     r.history.slowness(),
		FailureScore: r.history.failureScore(),
		WarmingUp:    time.Duration(r.report.ColdRemainingMs) * time.Millisecond,
		GroupCount:   map[any]int{},
	}
	known := map[runKey]bool{}
	for _, task := range o.state.RunsOn(r.instance) {
		key := runKey{task.ID, task.Run}
		known[key] = true
		if o.hasReleasedCapacity(r, key) {
			continue
		}
		subtract(&snapshot.Free, task.Group.Spec().Needs())
		snapshot.GroupCount[task.Group]++
		if r.lists(key) { // a run that the runner hasn't listed is no candidate for preemption
			snapshot.Running = append(snapshot.Running, o.snapshotRun(now, r, task, key))
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		key := runKey{l.Task, l.Run}
		known[key] = true
		if !o.hasReleasedCapacity(r, key) {
			subtract(&snapshot.Free, l.Needs)
		}
	}
	o.subtractUnwanted(r, known, &snapshot)
	return snapshot
}

// hasReleasedCapacity reports whether the run no longer uses capacity of the runner: its end or loss has been proposed,
// and the runner doesn't list it as active.
func (o *Owner) hasReleasedCapacity(r *runner, key runKey) bool {
	return o.proposals.isEnding(key) && !r.lists(key)
}

// subtractUnwanted subtracts the needs of runs that the runner lists and that the shard doesn't have there. They are
// being stopped and use capacity until they end. If a run's needs are unknown because its job is no longer in the
// state, the runner is treated as full.
func (o *Owner) subtractUnwanted(r *runner, known map[runKey]bool, snapshot *placement.Runner) {
	for key := range r.listed {
		if known[key] {
			continue
		}
		task := o.state.Task(key.task)
		if task == nil || len(task.Group.Job.Spec.Steps) <= task.Group.Step {
			snapshot.Free = protocol.Resources{}
			return
		}
		subtract(&snapshot.Free, task.Group.Spec().Needs())
	}
}

func subtract(free *protocol.Resources, needs protocol.Resources) {
	free.CPU -= needs.CPU
	free.MemoryMB -= needs.MemoryMB
	free.GPU -= needs.GPU
}

// snapshotRun describes a run to the planner, which may preempt it.
func (o *Owner) snapshotRun(now time.Duration, r *runner, task *jobs.Task, key runKey) placement.Run {
	step := task.Group.Spec()
	run := placement.Run{
		Key:         key,
		Queue:       task.Group.Job.Queue.Key,
		Priority:    task.Group.Job.Queue.Priority,
		Needs:       step.Needs(),
		Predicted:   o.predict(r, task),
		LongRunning: step.LongRunning,
		Gang:        step.Gang,
		Group:       task.Group,
		Stopping:    r.isStopping(key),
	}
	if entry := r.listed[key]; entry != nil {
		run.Elapsed = now - entry.since
		run.CheckpointAge = run.Elapsed
		if step.Checkpoints {
			run.CheckpointAge = 0 // the run writes a checkpoint when it is stopped, so no work is lost
		}
	}
	return run
}

// candidate describes a pending task to the planner. left is the time left of its group.
func candidate(clockMs int64, task *jobs.Task, left timeLeft) placement.Task {
	group := task.Group
	step := group.Spec()
	job := group.Job
	return placement.Task{
		Key:           task.ID,
		Queue:         job.Queue.Key,
		Priority:      job.Queue.Priority,
		SizeMs:        step.EstimatedMs,
		Needs:         step.Needs(),
		TimeLeft:      left.toObjective,
		TimeToExpiry:  left.toExpiry,
		Waited:        time.Duration(clockMs-task.PendingSinceMs) * time.Millisecond,
		Requirements:  step.Requirements,
		Affinity:      step.Affinity,
		Group:         group,
		AntiAffinity:  step.AntiAffinity,
		Gang:          step.Gang,
		RackLocal:     step.RackLocal,
		LongRunning:   step.LongRunning,
		HasCheckpoint: task.Checkpoint != "",
		Remaining:     1,
	}
}

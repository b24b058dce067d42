package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

// snapshotRunners returns the service's schedulable runners with the capacity that is certainly free on them, sorted.
func (o *Owner) snapshotRunners(now time.Duration, service string) []placement.Runner {
	instances := o.runners.sorted(func(r *runner) bool { return r.report.Service == service && r.isSchedulable(now) })
	snapshots := make([]placement.Runner, len(instances))
	for i, instance := range instances {
		snapshots[i] = o.snapshotRunner(now, o.runners.current[instance])
	}
	return snapshots
}

// snapshotRunner describes a runner to the planner. A run uses its capacity until its end is listed, or it is certain
// that it is not there.
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
		if o.hasVacated(r, key) {
			continue
		}
		subtract(&snapshot.Free, task.Group.Spec().Needs())
		snapshot.GroupCount[task.Group]++
		if r.lists(key) { // a run whose start is under way is not worth preempting
			snapshot.Running = append(snapshot.Running, o.snapshotRun(now, r, task, key))
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		key := runKey{l.Task, l.Run}
		known[key] = true
		if !o.hasVacated(r, key) {
			subtract(&snapshot.Free, l.Needs)
		}
	}
	o.subtractUnknown(r, known, &snapshot)
	return snapshot
}

// hasVacated reports whether the runner has listed the run's end, or the run certainly is not there: its capacity is free.
func (o *Owner) hasVacated(r *runner, key runKey) bool {
	return o.proposals.isEnding(key) && !r.lists(key)
}

// subtractUnknown subtracts the needs of runs that the runner lists and the shard does not want there: they are being
// stopped. If the needs of one are unknown, the runner has no free capacity.
func (o *Owner) subtractUnknown(r *runner, known map[runKey]bool, snapshot *placement.Runner) {
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

// snapshotRun describes a run to the planner, as a possible victim of preemption.
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
			run.CheckpointAge = 0 // a stop writes a checkpoint
		}
	}
	return run
}

// candidate describes a pending task to the planner. The value times are those of its group.
func candidate(clockMs int64, task *jobs.Task, times valueTimes) placement.Task {
	group := task.Group
	step := group.Spec()
	job := group.Job
	return placement.Task{
		Key:           task.ID,
		Queue:         job.Queue.Key,
		Priority:      job.Queue.Priority,
		SizeMs:        step.EstimatedMs,
		Needs:         step.Needs(),
		TimeLeft:      times.toObjective,
		ValueLeft:     times.toWorthless,
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

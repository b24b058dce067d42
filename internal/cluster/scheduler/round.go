package scheduler

import (
	"sort"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

// round places held tasks, if there is cause for it.
func (o *Owner) round(now time.Duration) {
	if o.state.PendingCount() == 0 {
		return
	}
	since := now - o.lastRound
	if !(o.dirty && since >= roundGap) && since < roundAgain {
		return
	}
	o.dirty = false
	o.lastRound = now
	o.counters.Rounds++
	services := o.heldByService()
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		o.roundOf(now, name, services[name])
	}
}

// heldMost is how many held tasks of one service a round looks at; a gang that has begun is taken whole.
const heldMost = 2000

func (o *Owner) heldByService() map[string][]*jobs.Task {
	services := map[string][]*jobs.Task{}
	o.state.EachPending(func(task *jobs.Task) bool {
		service := task.Group.Job.Queue.Service
		held := services[service]
		if len(held) < heldMost || continuesGang(held, task) {
			services[service] = append(held, task)
		}
		return true
	})
	return services
}

// continuesGang tells that a task belongs to the gang whose member was taken last.
func continuesGang(taken []*jobs.Task, task *jobs.Task) bool {
	return task.Group.Spec().Gang && taken[len(taken)-1].Group == task.Group
}

func (o *Owner) roundOf(now time.Duration, service string, held []*jobs.Task) {
	runners := o.offers(now, service)
	if len(runners) == 0 {
		o.ledger.Waits(now, held[0].Group, latency.Runner)
		return
	}
	urgent, spare := o.urgentPart(now, service, held, runners)
	if urgent == len(held) {
		o.place(now, held, runners, 0)
		return
	}
	free, others := byNeed(held[urgent:], runners)
	o.place(now, held[:urgent], runners, 0)
	o.place(now, free, runners, 0)
	keepFree(runners, spare)
	o.place(now, others, runners, spare)
}

// place has the planner place some held tasks, and carries out what it decides. kept is the share of the processors that is
// kept from them.
func (o *Owner) place(now time.Duration, held []*jobs.Task, runners []placement.Runner, kept float64) {
	if len(held) == 0 {
		return
	}
	tasks := make([]placement.Task, len(held))
	for i, task := range held {
		tasks[i] = o.candidate(now, task)
	}
	result := o.planner.Round(now, tasks, runners)
	o.explain(now, held, runners, result, kept)
	o.carryOut(now, held, runners, result)
}

// carryOut makes commands and stops of what a round decided.
func (o *Owner) carryOut(now time.Duration, held []*jobs.Task, runners []placement.Runner, result placement.Result) {
	for _, p := range result.Placements {
		task := held[p.Task]
		offer := &runners[p.Runner]
		subtract(&offer.Free, task.Group.Spec().Needs())
		offer.GroupCount[task.Group]++
		o.next.Starts = append(o.next.Starts, jobs.Start{Task: task.ID, Run: o.nextRun(task), Runner: offer.ID})
	}
	for _, s := range result.Stops {
		offer := &runners[s.Runner]
		key, ok := offer.Running[s.Run].Key.(runKey)
		if r := o.runners[offer.ID]; ok && r != nil {
			o.counters.Preempted++
			o.stop(now, r, key)
		}
	}
}

func (o *Owner) nextRun(task *jobs.Task) uint64 {
	if task.Group.Spec().Gang {
		return task.Group.Run + 1
	}
	return task.Run + 1
}

// offers are the service's runners with the room that is surely free on them.
func (o *Owner) offers(now time.Duration, service string) []placement.Runner {
	var names []string
	for instance, r := range o.runners {
		if r.report.Service == service && r.usable(now) {
			names = append(names, instance)
		}
	}
	sort.Strings(names)
	offers := make([]placement.Runner, len(names))
	for i, instance := range names {
		offers[i] = o.offer(now, o.runners[instance])
	}
	return offers
}

func (o *Owner) offer(now time.Duration, r *runner) placement.Runner {
	offer := placement.Runner{
		ID:           r.instance,
		Kind:         r.kind(),
		Rack:         r.rack(),
		Zone:         r.report.Zone,
		Labels:       r.report.Labels,
		Capacity:     r.report.Capacity,
		Free:         r.report.Capacity,
		Slowness:     r.record.slowness(),
		FailureScore: r.record.distrust(),
		WarmingUp:    time.Duration(r.report.ColdRemainingMs) * time.Millisecond,
		GroupCount:   map[any]int{},
	}
	known := map[runKey]bool{}
	for _, task := range o.state.RunsOn(r.instance) {
		key := runKey{task.ID, task.Run}
		known[key] = true
		if o.listedEnd(r, key) {
			continue
		}
		needs := task.Group.Spec().Needs()
		subtract(&offer.Free, needs)
		offer.GroupCount[task.Group]++
		if r.listed[key] != nil { // one on its way is not worth stopping
			offer.Running = append(offer.Running, o.running(now, r, task, key))
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		key := runKey{l.Task, l.Run}
		known[key] = true
		if !o.listedEnd(r, key) {
			subtract(&offer.Free, l.Needs)
		}
	}
	o.subtractUnknown(r, known, &offer)
	return offer
}

// listedEnd tells that the runner has listed the run's end, or that it certainly is not there: its room is free.
func (o *Owner) listedEnd(r *runner, key runKey) bool {
	if !o.isEnding(key) {
		return false
	}
	_, there := r.listed[key]
	return !there
}

// subtractUnknown counts what the runner lists and the shard does not want there: it is being stopped. If its needs are not
// known, the runner offers nothing.
func (o *Owner) subtractUnknown(r *runner, known map[runKey]bool, offer *placement.Runner) {
	for key := range r.listed {
		if known[key] {
			continue
		}
		task := o.state.Task(key.task)
		if task == nil || len(task.Group.Job.Spec.Steps) <= task.Group.Step {
			offer.Free = protocol.Resources{}
			return
		}
		subtract(&offer.Free, task.Group.Spec().Needs())
	}
}

func subtract(free *protocol.Resources, needs protocol.Resources) {
	free.CPU -= needs.CPU
	free.MemoryMB -= needs.MemoryMB
	free.GPU -= needs.GPU
}

func (o *Owner) running(now time.Duration, r *runner, task *jobs.Task, key runKey) placement.Run {
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
	}
	if entry := r.listed[key]; entry != nil {
		run.Elapsed = now - entry.since
		run.CheckpointAge = run.Elapsed
		if step.Checkpoints {
			run.CheckpointAge = 0 // a stop saves
		}
	}
	_, run.Stopping = r.stops[key]
	return run
}

// candidate describes a held task to the planner.
func (o *Owner) candidate(now time.Duration, task *jobs.Task) placement.Task {
	group := task.Group
	step := group.Spec()
	job := group.Job
	clock := o.clockMs(now)
	return placement.Task{
		Key:           task.ID,
		Queue:         job.Queue.Key,
		Priority:      job.Queue.Priority,
		SizeMs:        step.EstimatedMs,
		Needs:         step.Needs(),
		TimeLeft:      o.timeLeft(clock, group),
		Waited:        time.Duration(clock-task.PendingSinceMs) * time.Millisecond,
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

// timeLeft is the time until the job's objective, less what its later steps will take.
func (o *Owner) timeLeft(clock int64, group *jobs.Group) time.Duration {
	job := group.Job
	begun := job.AcceptedMs
	if job.Spec.Repetitions > 0 {
		begun = job.Spec.FirstRunMs + int64(group.Repetition)*job.Spec.IntervalMs
	}
	whole, after := o.chain(job, group.Step)
	extension := max(job.Queue.Extension, 1)
	objective := time.Duration(job.Queue.TargetLatencyMs)*time.Millisecond + time.Duration(extension*float64(whole))
	return time.Duration(begun-clock)*time.Millisecond + objective - after
}

// chain is the predicted time of the job's longest chain of steps, and of the longest chain that follows a step.
func (o *Owner) chain(job *jobs.Job, step int) (whole, after time.Duration) {
	steps := job.Spec.Steps
	following := make([]time.Duration, len(steps)) // longest chain from the step's start to the end
	for i := len(steps) - 1; i >= 0; i-- {
		own := o.planner.Predictor().Predict(job.Queue.Key, "", steps[i].EstimatedMs)
		following[i] += own
		whole = max(whole, following[i])
		for _, earlier := range steps[i].DependsOn {
			if earlier >= 0 && earlier < i {
				following[earlier] = max(following[earlier], following[i])
			}
		}
		if i == step {
			after = following[i] - own
		}
	}
	return whole, after
}

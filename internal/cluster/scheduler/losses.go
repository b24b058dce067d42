package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
)

// startTimeout is the time from the commit of a start after which the owner withdraws it if its runner hasn't listed the
// run. For members of a gang, which must start together, it is at most half of Options.GangWait.
const startTimeout = 4 * time.Second

// resolveUnlisted decides about the runs that the shard has on the runner and that its newest heartbeat doesn't list.
//
// A runner that polls the owner ignores the answers to earlier heartbeats once it has sent this one. An unlisted run
// therefore doesn't exist unless the answer to this heartbeat orders its start. The owner repeats the start in that
// answer, or withdraws it and declares the run lost. It withdraws the start if the job was cancelled or has failed, the
// runner is draining, the run was ordered to stop, or the start is overdue. Except for a cancelled or failed job, it
// waits while mayRunUnlisted. A lingering run that isn't listed is declared lost at once.
//
// A runner that its agent calls (Heartbeat.Called) may still receive a start from an agent that has ended. The owner
// orders it to stop such a run, and declares the run lost only after the runner has rejected it (proposeRejectedLosses).
//
// The function returns early while ends may be missing from the heartbeat, because an unlisted run may have ended.
func (o *Owner) resolveUnlisted(now time.Duration, r *runner) {
	if r.mayHaveMoreEnds() {
		return
	}
	for _, task := range o.state.RunsOn(r.instance) {
		key := runKey{task.ID, task.Run}
		if task.Phase != jobs.Running || o.proposals.isEnding(key) || r.lists(key) {
			continue
		}
		abandoned := task.Group.Job.Abandoned()
		withdrawn := r.isDraining || r.isStopping(key) || o.isStartOverdue(now, r, task)
		switch {
		case !abandoned && !withdrawn:
		case r.report.Called:
			o.stop(r, key)
		case abandoned || !o.mayRunUnlisted(now, r, key):
			o.proposeLoss(r, task)
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		key := runKey{l.Task, l.Run}
		switch {
		case r.lists(key) || o.proposals.isEnding(key):
		case r.report.Called:
			o.stop(r, key)
		default:
			o.proposeLingeringLoss(r, key)
		}
	}
}

// mayRunUnlisted reports whether a run that an earlier owner started may exist although the newest heartbeat here doesn't
// list it. That heartbeat may have been sent before the run started, and have arrived only after the earlier owner had
// answered a newer one. Once all leases of the earlier owner have expired, such a run exists only if a heartbeat to this
// owner has listed it.
func (o *Owner) mayRunUnlisted(now time.Duration, r *runner, key runKey) bool {
	return r.inherited[key] && now < o.leadership.since+o.maxLeaseTime()
}

// isStartOverdue reports whether a run hasn't been listed by its runner for so long after the commit of its start that it
// should be started elsewhere. The time counts from this leadership's start if an earlier owner started the run.
func (o *Owner) isStartOverdue(now time.Duration, r *runner, task *jobs.Task) bool {
	at, ok := r.startedAt[runKey{task.ID, task.Run}]
	if !ok {
		at = o.leadership.since
	}
	limit := startTimeout
	if task.Group.Spec().Gang {
		limit = min(limit, o.options.GangWait/2)
	}
	return now-at > limit
}

// proposeLoss proposes to declare a run lost: it no longer exists, and its task may be started again.
func (o *Owner) proposeLoss(r *runner, task *jobs.Task) {
	key := runKey{task.ID, task.Run}
	if o.proposals.isEnding(key) {
		return
	}
	o.counters.Losses++
	checkpoint := ""
	if entry := r.listed[key]; entry != nil {
		checkpoint = entry.checkpoint
	}
	delete(r.stops, key)
	delete(r.startedAt, key)
	o.roundRequested = true
	o.proposals.addLoss(
		jobs.Loss{Runner: r.instance, Task: task.ID, Run: task.Run, Checkpoint: checkpoint},
		r.runRecord(r.lastContact, key, latency.Lost),
	)
}

// proposeLingeringLoss proposes that a lingering run no longer exists: its task is already done, by the end of another
// member of its gang.
func (o *Owner) proposeLingeringLoss(r *runner, key runKey) {
	delete(r.stops, key)
	o.proposals.addLoss(
		jobs.Loss{Runner: r.instance, Task: key.task, Run: key.run},
		r.runRecord(r.lastContact, key, latency.Lost),
	)
}

// proposeAllLosses proposes to declare lost all runs of the runner, lingering ones included.
func (o *Owner) proposeAllLosses(r *runner) {
	for _, task := range o.state.RunsOn(r.instance) {
		if task.Phase == jobs.Running {
			o.proposeLoss(r, task)
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		if key := (runKey{l.Task, l.Run}); !o.proposals.isEnding(key) {
			o.proposeLingeringLoss(r, key)
		}
	}
}

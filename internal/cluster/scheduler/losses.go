package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
)

// startTimeout is how long a start may take to reach its runner. Members of a gang must start together, and so get less.
const startTimeout = 4 * time.Second

// resolveUnlisted decides on runs that were to start on the runner and that its newest heartbeat does not list. Every
// earlier answer is void by now, so such a run exists only if this heartbeat's answer orders it. A runner that is called
// may still be reached by a start of an agent that has ended since: there a run is over only once the runner has refused
// it for good.
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
			o.lose(r, task)
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		key := runKey{l.Task, l.Run}
		switch {
		case r.lists(key) || o.proposals.isEnding(key):
		case r.report.Called:
			o.stop(r, key)
		default:
			o.loseLingering(r, key)
		}
	}
}

// mayRunUnlisted reports whether a run that an earlier owner started may exist although the newest heartbeat here does not
// list it: that heartbeat may have been delayed until after the earlier owner had answered a newer one. No such run exists
// any more once the leases of that owner are over, unless a heartbeat lists it here.
func (o *Owner) mayRunUnlisted(now time.Duration, r *runner, key runKey) bool {
	return r.inherited[key] && now < o.leadership.since+o.maxLeaseTime()
}

// isStartOverdue reports whether a start has not reached its runner for so long that it is better made elsewhere.
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

// lose proposes that a run exists no more.
func (o *Owner) lose(r *runner, task *jobs.Task) {
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

// loseLingering proposes that a run, of a gang's member that is done, exists no more.
func (o *Owner) loseLingering(r *runner, key runKey) {
	delete(r.stops, key)
	o.proposals.addLoss(
		jobs.Loss{Runner: r.instance, Task: key.task, Run: key.run},
		r.runRecord(r.lastContact, key, latency.Lost),
	)
}

// loseAll proposes that no run of the runner exists any more.
func (o *Owner) loseAll(r *runner) {
	for _, task := range o.state.RunsOn(r.instance) {
		if task.Phase == jobs.Running {
			o.lose(r, task)
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		if key := (runKey{l.Task, l.Run}); !o.proposals.isEnding(key) {
			o.loseLingering(r, key)
		}
	}
}

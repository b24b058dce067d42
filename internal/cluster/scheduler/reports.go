package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// maxFinishedPerHeartbeat is the most ends that one heartbeat lists: with that many there may be more.
const maxFinishedPerHeartbeat = 500

// takeFinished proposes the ends that the shard has not applied yet.
func (o *Owner) takeFinished(now time.Duration, r *runner) {
	seen := o.state.LastSeen(r.instance)
	slices.SortFunc(r.report.Finished, func(a, b protocol.FinishedRun) int { return cmp.Compare(a.N, b.N) })
	for i := range r.report.Finished {
		finished := &r.report.Finished[i]
		if finished.N <= seen {
			continue
		}
		id, err := jobs.ParseTaskID(finished.Task)
		if err != nil {
			continue
		}
		key, outcome := runKey{id, finished.Run}, finished.How
		o.learn(now, r, key, outcome)
		run := r.runRecord(now, key, reasonOf(outcome))
		delete(r.stops, key)
		delete(r.listed, key)
		delete(r.startedAt, key)
		if o.proposals.isEnding(key) {
			continue
		}
		o.roundRequested = true
		o.proposals.addEnd(jobs.End{
			Runner: r.instance, N: finished.N, Task: id, Run: finished.Run, Outcome: outcome, Checkpoint: finished.Saved,
		}, run)
	}
}

// takeActive records which runs the runner lists as active, and orders stops for those that should not run.
func (o *Owner) takeActive(now time.Duration, r *runner) {
	before := r.listed
	r.listed = make(map[runKey]*listedRun, len(r.report.Active))
	for i := range r.report.Active {
		active := &r.report.Active[i]
		id, err := jobs.ParseTaskID(active.Task)
		if err != nil {
			continue
		}
		key := runKey{id, active.Run}
		entry := before[key]
		if entry == nil {
			_, startedHere := r.startedAt[key]
			entry = &listedRun{since: now, progressAt: now, percent: active.Percent, firstPercent: active.Percent, startedHere: startedHere}
		}
		if active.Percent > entry.percent {
			entry.percent = active.Percent
			entry.progressAt = now
		}
		entry.checkpoint = active.Saved
		r.listed[key] = entry
		delete(r.inherited, key)
		if !o.shouldGoOn(r, key) {
			o.stop(r, key)
		}
	}
}

// shouldGoOn reports whether a run that a runner lists is to go on.
func (o *Owner) shouldGoOn(r *runner, key runKey) bool {
	task := o.state.Task(key.task)
	if task == nil || task.Run != key.run || task.Runner != r.instance {
		return o.isLingering(r, key)
	}
	return task.Phase == jobs.Running && !task.Group.Job.Abandoned()
}

// isLingering reports whether the gang of a run is done: it ends by itself.
func (o *Owner) isLingering(r *runner, key runKey) bool {
	for _, l := range o.state.LingeringOn(r.instance) {
		if l.Task == key.task && l.Run == key.run {
			return true
		}
	}
	return false
}

// takeRejected gives up the runs that the runner certainly never starts. While ends may be missing from the heartbeat,
// that is left to a later one: the run may have ended.
func (o *Owner) takeRejected(r *runner) {
	if r.mayHaveMoreEnds() {
		return
	}
	for i := range r.report.Rejected {
		rejected := &r.report.Rejected[i]
		id, err := jobs.ParseTaskID(rejected.Task)
		if err != nil {
			continue
		}
		key := runKey{id, rejected.Run}
		if r.lists(key) || o.proposals.isEnding(key) {
			continue
		}
		delete(r.stops, key)
		if o.isLingering(r, key) {
			o.loseLingering(r, key)
			continue
		}
		task := o.state.Task(id)
		if task != nil && task.Run == key.run && task.Runner == r.instance && task.Phase == jobs.Running {
			o.lose(r, task)
		}
	}
}

// mayHaveMoreEnds reports whether ends may be missing from the newest heartbeat.
func (r *runner) mayHaveMoreEnds() bool { return len(r.report.Finished) >= maxFinishedPerHeartbeat }

package scheduler

import (
	"sort"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// takeFinished proposes the ends that the shard has not got yet.
func (o *Owner) takeFinished(now time.Duration, r *runner) {
	seen := o.state.LastSeen(r.instance)
	sort.Slice(r.report.Finished, func(i, j int) bool { return r.report.Finished[i].N < r.report.Finished[j].N })
	for i := range r.report.Finished {
		finished := &r.report.Finished[i]
		if finished.N <= seen {
			continue
		}
		id, err := jobs.ParseTaskID(finished.Task)
		if err != nil {
			continue
		}
		key := runKey{id, finished.Run}
		o.learn(now, r, key, finished)
		run := r.runOf(now, key, outcomeOf(string(finished.How)))
		delete(r.stops, key)
		delete(r.listed, key)
		delete(r.ordered, key)
		if o.isEnding(key) {
			continue
		}
		o.ending[key] = run
		o.dirty = true
		o.next.Ends = append(o.next.Ends, jobs.End{
			Runner: r.instance, N: finished.N, Task: id, Run: finished.Run, Outcome: string(finished.How), Checkpoint: finished.Saved,
		})
	}
}

// finishedPage is the most ends that one heartbeat lists: with that many there may be more.
const finishedPage = 500

// takeActive notes what the runner lists as active, and orders stops for what should not run.
func (o *Owner) takeActive(now time.Duration, r *runner) {
	before := r.listed
	r.listed = make(map[runKey]*listing, len(r.report.Active))
	for i := range r.report.Active {
		active := &r.report.Active[i]
		id, err := jobs.ParseTaskID(active.Task)
		if err != nil {
			continue
		}
		key := runKey{id, active.Run}
		entry := before[key]
		if entry == nil {
			_, ordered := r.ordered[key]
			entry = &listing{since: now, movedAt: now, savedAt: now, observed: ordered}
			entry.percent = active.Percent
		}
		if active.Percent > entry.percent {
			entry.percent = active.Percent
			entry.movedAt = now
		}
		if active.Saved != entry.saved {
			entry.saved = active.Saved
			entry.savedAt = now
		}
		r.listed[key] = entry
		delete(r.inherited, key)
		if !o.wanted(r, key) {
			o.stop(now, r, key)
		}
	}
}

// wanted tells whether a run that a runner lists is one that the shard wants to go on.
func (o *Owner) wanted(r *runner, key runKey) bool {
	task := o.state.Task(key.task)
	if task == nil || task.Run != key.run || task.Runner != r.instance {
		return o.lingering(r, key)
	}
	return task.Phase == jobs.Running && !over(task.Group.Job.State)
}

// lingering tells of a run whose gang is done: it ends by itself.
func (o *Owner) lingering(r *runner, key runKey) bool {
	for _, l := range o.state.LingeringOn(r.instance) {
		if l.Task == key.task && l.Run == key.run {
			return true
		}
	}
	return false
}

func over(state string) bool { return state == protocol.JobCancelled || state == protocol.JobFailed }

// stop orders a run to be stopped, again and again until its end is listed.
func (o *Owner) stop(now time.Duration, r *runner, key runKey) {
	if _, already := r.stops[key]; already {
		return
	}
	r.stops[key] = now
	o.counters.Stops++
}

// takeRejected gives up the runs that the runner certainly never starts. Where ends may be missing from the heartbeat,
// it is left to a later one: the run may have ended.
func (o *Owner) takeRejected(r *runner) {
	if len(r.report.Finished) >= finishedPage {
		return
	}
	for i := range r.report.Rejected {
		rejected := &r.report.Rejected[i]
		id, err := jobs.ParseTaskID(rejected.Task)
		if err != nil {
			continue
		}
		key := runKey{id, rejected.Run}
		if _, there := r.listed[key]; there || o.isEnding(key) {
			continue
		}
		delete(r.stops, key)
		if o.lingering(r, key) {
			o.loseLingering(r, key)
			continue
		}
		task := o.state.Task(id)
		if task != nil && task.Run == key.run && task.Runner == r.instance && task.Phase == jobs.Running {
			o.lose(r, task)
		}
	}
}

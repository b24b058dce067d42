package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// maxFinishedPerHeartbeat is the number of ends at which a runner cuts off the list in its heartbeat. A heartbeat with that
// many may omit further ends.
const maxFinishedPerHeartbeat = 500

// proposeEnds proposes the ends in the heartbeat that the shard hasn't applied yet.
func (o *Owner) proposeEnds(now time.Duration, r *runner) {
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
		o.recordOutcome(now, r, key, outcome)
		run := r.runRecord(now, key, reasonOfOutcome(outcome))
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

// recordActive records the runs that the runner lists as active, with their progress, and orders a stop for each that
// should not continue.
func (o *Owner) recordActive(now time.Duration, r *runner) {
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
		if !o.shouldContinue(r, key) {
			o.stop(r, key)
		}
	}
}

// shouldContinue reports whether a run that a runner lists may continue: it is the current run of its task on this runner
// and its job was neither cancelled nor has failed, or it lingers and ends without an order.
func (o *Owner) shouldContinue(r *runner, key runKey) bool {
	task := o.state.Task(key.task)
	if task == nil || task.Run != key.run || task.Runner != r.instance {
		return o.isLingering(r, key)
	}
	return task.Phase == jobs.Running && !task.Group.Job.Abandoned()
}

// isLingering reports whether the gang of a run is done by the end of another member. The run then ends without an order.
func (o *Owner) isLingering(r *runner, key runKey) bool {
	for _, l := range o.state.LingeringOn(r.instance) {
		if l.Task == key.task && l.Run == key.run {
			return true
		}
	}
	return false
}

// proposeRejectedLosses proposes to declare lost the runs that the runner has reported it will never start. It returns
// early while ends may be missing from the heartbeat, because a rejected run may have ended; a later heartbeat rejects
// it again.
func (o *Owner) proposeRejectedLosses(r *runner) {
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
			o.proposeLingeringLoss(r, key)
			continue
		}
		task := o.state.Task(id)
		if task != nil && task.Run == key.run && task.Runner == r.instance && task.Phase == jobs.Running {
			o.proposeLoss(r, task)
		}
	}
}

// mayHaveMoreEnds reports whether the newest heartbeat may omit ends because its list is full.
func (r *runner) mayHaveMoreEnds() bool { return len(r.report.Finished) >= maxFinishedPerHeartbeat }

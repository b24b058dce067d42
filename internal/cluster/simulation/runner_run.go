package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// startOrdered begins a run as ordered, or lists it as refused.
func (r *Runner) startOrdered(order *protocol.StartOrder, sent time.Duration) {
	if why := r.startRun(order, sent); why != "" {
		r.reject(order.Task, order.Run)
	}
}

// startRun begins a run as ordered, or tells why not.
func (r *Runner) startRun(order *protocol.StartOrder, sent time.Duration) (why string) {
	for _, e := range r.active {
		if e.record.TaskText == order.Task && e.record.Number == order.Run {
			return ""
		}
	}
	name, readable := ParseTaskName(order.Task)
	group, task := r.groundTruth.find(name)
	if !readable || r.highestEnded[order.Task] >= order.Run {
		return rejectedOld
	}
	if r.EnforcesCapacity && group != nil && !r.fits(group.spec) {
		r.incarnation.Rejected++
		return rejectedCapacity
	}
	record := &Run{TaskText: order.Task, Task: name, Number: order.Run, Runner: r.incarnation, Sent: sent, Started: r.world.now,
		Spec: order.Spec, Checkpoint: order.Saved, Ended: Never, Acknowledged: Never}
	r.groundTruth.History.Runs = append(r.groundTruth.History.Runs, record)
	e := &execution{runner: r, record: record, step: group, task: task, checkpoint: order.Saved, doneAsOf: r.world.now}
	r.active = append(r.active, e)
	r.prepare(e)
	if r.leaseExpiry <= r.world.now {
		r.endRun(e, protocol.EndLapsed)
	}
	return ""
}

// prepare decides what a run will come to and sets it to work.
func (r *Runner) prepare(e *execution) {
	if e.step == nil {
		e.totalMs = 1000
		e.beginWork(1)
		return
	}
	e.totalMs = e.task.workMs
	if done, ok := parseCheckpoint(e.record.Task, e.step.spec.Gang, e.record.Checkpoint); ok {
		e.doneMs = min(done, e.totalMs)
	}
	e.task.starts++
	r.drawOutcome(e)
	if e.isGang() {
		r.groundTruth.joinGang(e)
		return
	}
	far := 1.0
	if e.step.spec.Affinity != "" && e.step.spec.Affinity != r.Rack {
		far = r.groundTruth.History.Bounds.Far
	}
	e.beginWork(far)
}

// drawOutcome draws whether a run fails, stands still or (of lasting tasks) how long it lasts.
func (r *Runner) drawOutcome(e *execution) {
	w := r.world
	left := e.totalMs - e.doneMs
	if e.step.spec.LongRunning {
		e.totalMs = float64(w.Exponential(20*time.Second)) / milliseconds
		e.willFail = w.Chance(0.5)
		e.failsAtMs = e.totalMs
		return
	}
	switch {
	case w.Chance(r.failFraction):
		e.willFail = true
		e.failsAtMs = e.doneMs + min(left, 20+200*w.Random.Float64())
	case w.Chance(r.hangFraction):
		e.isHung = true
	case e.step.job.alwaysFails || e.task.starts <= e.task.failingStarts:
		e.willFail = true
		e.failsAtMs = e.doneMs + left*w.Random.Float64()
	}
}

// stopOrdered ends a run within the time a stop takes, or bars it if it is not there.
func (r *Runner) stopOrdered(order protocol.StopOrder) {
	for _, e := range r.active {
		if e.record.TaskText == order.Task && e.record.Number == order.Run {
			r.stopRun(e)
			return
		}
	}
	if r.highestEnded[order.Task] >= order.Run {
		return
	}
	r.highestEnded[order.Task] = order.Run
	if r.listsUnknownStops {
		r.reject(order.Task, order.Run)
	}
}

func (r *Runner) stopRun(e *execution) {
	if e.isStopping {
		return
	}
	e.isStopping = true
	took := r.world.Between(0, r.groundTruth.History.Bounds.Stop*95/100)
	e.stopTimer = r.world.After(took, func() {
		if e.isWorking && e.step != nil && e.step.spec.Checkpoints && !e.isHung {
			e.advance(r.world.now)
			e.checkpoint = formatCheckpoint(e.record.Task, e.step.spec.Gang, e.doneMs)
		}
		r.endRun(e, protocol.EndStopped)
	})
}

// reject lists a run as not started.
func (r *Runner) reject(task string, run uint64) {
	r.appendFinished(task, run, protocol.EndRefused, "", nil)
	r.highestEnded[task] = max(r.highestEnded[task], run)
	r.reportEnd()
}

func (r *Runner) appendFinished(task string, run uint64, how, saved string, record *Run) uint64 {
	r.endSequence++
	row := protocol.FinishedRun{N: r.endSequence, Task: task, Run: run, How: how, Saved: saved}
	r.finished = append(r.finished, finishedRun{row: row, record: record, leaseExpiries: len(r.incarnation.LeaseExpiries)})
	return r.endSequence
}

// endProcess ends a run on this runner and lists it.
func (r *Runner) endRun(e *execution, how string) {
	position := slices.Index(r.active, e)
	if position < 0 || r.incarnation == nil {
		return
	}
	r.active = slices.Delete(r.active, position, position+1)
	e.updateCheckpoint(r.world.now)
	e.stopTimers()
	record := e.record
	record.Ended, record.EndReason = r.world.now, how
	saved := e.checkpoint
	if how == protocol.EndDone {
		saved = ""
		if e.step != nil {
			r.groundTruth.completeTask(e.step, e.task)
		}
	}
	record.EndSequence = r.appendFinished(record.TaskText, record.Number, how, saved, record)
	r.highestEnded[record.TaskText] = max(r.highestEnded[record.TaskText], record.Number)
	if e.isGang() && how != protocol.EndDone {
		r.groundTruth.leaveGang(e)
	}
	r.reportEnd()
}

package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// startOrdered starts a run that the response to a heartbeat orders, or lists it as rejected.
func (r *Runner) startOrdered(order *protocol.StartOrder, sent time.Duration) {
	if r.startRun(order, sent) != "" {
		r.reject(order.Task, order.Run)
	}
}

// startRun starts a run, or returns the reason for rejecting it. sent is the time at which the runner sent the heartbeat
// that was answered with the order, or received the call. startRun ignores an order for an active run, because orders are
// repeated. Without a valid lease, the run ends with EndLapsed at once.
func (r *Runner) startRun(order *protocol.StartOrder, sent time.Duration) rejection {
	if r.find(order.Task, order.Run) != nil {
		return ""
	}
	name, ok := ParseTaskName(order.Task)
	step, task := r.groundTruth.find(name)
	if !ok || r.highestEnded[order.Task] >= order.Run {
		return rejectedOld
	}
	if r.EnforcesCapacity && step != nil && !r.fits(step.spec) {
		return rejectedCapacity
	}
	record := &Run{TaskText: order.Task, Task: name, Number: order.Run, Runner: r.incarnation, Sent: sent, Started: r.world.now,
		Spec: order.Spec, Checkpoint: order.Saved, Ended: Never, Acknowledged: Never}
	r.groundTruth.History.Runs = append(r.groundTruth.History.Runs, record)
	e := &execution{runner: r, record: record, step: step, task: task, checkpoint: order.Saved, doneAsOf: r.world.now}
	r.active = append(r.active, e)
	r.prepare(e)
	if r.leaseExpiry <= r.world.now {
		r.endRun(e, protocol.EndLapsed)
	}
	return ""
}

// find returns the execution of an active run, or nil.
func (r *Runner) find(task string, run uint64) *execution {
	for _, e := range r.active {
		if e.record.TaskText == task && e.record.Number == run {
			return e
		}
	}
	return nil
}

// prepare draws the outcome of a run and begins its work. A gang's member first waits for the other members.
func (r *Runner) prepare(e *execution) {
	if e.step == nil {
		const unknownTaskMs = 1000 // work of a task that no client submitted
		e.totalMs = unknownTaskMs
		e.beginWork(1)
		return
	}
	e.totalMs = e.task.workMs
	if doneMs, ok := parseCheckpoint(e.record.Task, e.step.spec.Gang, e.record.Checkpoint); ok {
		e.doneMs = min(doneMs, e.totalMs)
	}
	e.task.starts++
	r.drawOutcome(e)
	if e.isGang() {
		r.groundTruth.joinGang(e)
		return
	}
	slowdown := 1.0
	if e.step.spec.Affinity != "" && e.step.spec.Affinity != r.Rack {
		slowdown = r.bounds().Far
	}
	e.beginWork(slowdown)
}

// drawOutcome draws whether a run fails or hangs, and when. For a long-running task it also draws how long it runs.
func (r *Runner) drawOutcome(e *execution) {
	w := r.world
	remainingMs := e.totalMs - e.doneMs
	if e.step.spec.LongRunning {
		e.totalMs = float64(w.Exponential(20*time.Second)) / milliseconds
		e.willFail = w.Chance(0.5)
		e.failsAtMs = e.totalMs
		return
	}
	switch {
	case w.Chance(r.failFraction):
		e.willFail = true
		e.failsAtMs = e.doneMs + min(remainingMs, 20+200*w.Random.Float64())
	case w.Chance(r.hangFraction):
		e.isHung = true
	case e.step.job.alwaysFails || e.task.starts <= e.task.failingStarts:
		e.willFail = true
		e.failsAtMs = e.doneMs + remainingMs*w.Random.Float64()
	}
}

// stopOrdered stops a run. If the run is not active, the runner rejects later orders to start it.
func (r *Runner) stopOrdered(order protocol.StopOrder) {
	if e := r.find(order.Task, order.Run); e != nil {
		r.stopRun(e)
		return
	}
	if r.highestEnded[order.Task] >= order.Run {
		return
	}
	r.highestEnded[order.Task] = order.Run
	if r.listsUnknownStops {
		r.reject(order.Task, order.Run)
	}
}

// stopRun ends a run at a drawn time within Bounds.Stop, with a last checkpoint if its step makes them.
func (r *Runner) stopRun(e *execution) {
	if e.isStopping {
		return
	}
	e.isStopping = true
	took := r.world.Between(0, r.bounds().Stop*95/100)
	e.stopTimer = r.world.After(took, func() {
		if e.makesCheckpoints() {
			e.advance(r.world.now)
			e.checkpoint = formatCheckpoint(e.record.Task, e.step.spec.Gang, e.doneMs)
		}
		r.endRun(e, protocol.EndStopped)
	})
}

// reject lists a run as ended with EndRefused, and marks it so that it never starts.
func (r *Runner) reject(task string, run uint64) {
	r.appendFinished(protocol.FinishedRun{Task: task, Run: run, How: protocol.EndRefused}, nil)
	r.markEnded(task, run)
	r.reportEnd()
}

// endRun ends a run and lists its end. It has no effect if the run has ended already. Done ends report no checkpoint.
func (r *Runner) endRun(e *execution, reason string) {
	position := slices.Index(r.active, e)
	if position < 0 || r.incarnation == nil {
		return
	}
	r.active = slices.Delete(r.active, position, position+1)
	e.updateCheckpoint(r.world.now)
	e.stopTimers()
	record := e.record
	record.Ended, record.EndReason = r.world.now, reason
	checkpoint := e.checkpoint
	if reason == protocol.EndDone {
		checkpoint = ""
		if e.step != nil {
			r.groundTruth.completeTask(e.step, e.task)
		}
	}
	row := protocol.FinishedRun{Task: record.TaskText, Run: record.Number, How: protocol.RunEnd(reason), Saved: checkpoint}
	record.EndSequence = r.appendFinished(row, record)
	r.markEnded(record.TaskText, record.Number)
	if e.isGang() && reason != protocol.EndDone {
		r.groundTruth.leaveGang(e)
	}
	r.reportEnd()
}

// appendFinished gives an end the next number, lists it, and returns the number.
func (r *Runner) appendFinished(row protocol.FinishedRun, record *Run) uint64 {
	r.endSequence++
	row.N = r.endSequence
	r.finished = append(r.finished, finishedRun{row: row, record: record, leaseExpiries: len(r.incarnation.LeaseExpiries)})
	return row.N
}

// markEnded records that from now on the runner must not start any run of a task up to that number.
func (r *Runner) markEnded(task string, run uint64) {
	r.highestEnded[task] = max(r.highestEnded[task], run)
}

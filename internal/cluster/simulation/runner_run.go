package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// start begins a run as ordered, or lists it as refused.
func (r *Runner) start(order *protocol.StartOrder, sent time.Duration) {
	if why := r.begin(order, sent); why != "" {
		r.refuse(order.Task, order.Run)
	}
}

// begin begins a run as ordered, or tells why not.
func (r *Runner) begin(order *protocol.StartOrder, sent time.Duration) (why string) {
	for _, e := range r.active {
		if e.record.Text == order.Task && e.record.Run == order.Run {
			return ""
		}
	}
	name, readable := ParseTaskName(order.Task)
	group, task := r.plant.find(name)
	if !readable || r.barred[order.Task] >= order.Run {
		return whyOld
	}
	if r.Guards && group != nil && !r.fits(group.step) {
		r.instance.Refused++
		return whyRoom
	}
	record := &Run{Text: order.Task, Task: name, Run: order.Run, Runner: r.instance, Sent: sent, Started: r.world.now,
		Spec: order.Spec, Saved: order.Saved, Ended: Never, Noted: Never}
	r.plant.Ledger.Runs = append(r.plant.Ledger.Runs, record)
	e := &execution{runner: r, record: record, group: group, task: task, saved: order.Saved, since: r.world.now}
	r.active = append(r.active, e)
	r.prepare(e)
	if r.heldUntil <= r.world.now {
		r.end(e, protocol.EndLapsed)
	}
	return ""
}

// prepare decides what a run will come to and sets it to work.
func (r *Runner) prepare(e *execution) {
	if e.group == nil {
		e.total = 1000
		e.begin(1)
		return
	}
	e.total = e.task.workMs
	if done, ok := readCheckpoint(e.record.Task, e.group.step.Gang, e.record.Saved); ok {
		e.done = min(done, e.total)
	}
	e.task.started++
	r.foresee(e)
	if e.isGang() {
		r.plant.arrive(e)
		return
	}
	far := 1.0
	if e.group.step.Affinity != "" && e.group.step.Affinity != r.Rack {
		far = r.plant.Ledger.Bounds.Far
	}
	e.begin(far)
}

// foresee draws whether a run fails, stands still or (of lasting tasks) how long it lasts.
func (r *Runner) foresee(e *execution) {
	w := r.world
	left := e.total - e.done
	if e.group.step.LongRunning {
		e.total = float64(w.Exponential(20*time.Second)) / milliseconds
		e.fails = w.Chance(0.5)
		e.failAt = e.total
		return
	}
	switch {
	case w.Chance(r.failShare):
		e.fails = true
		e.failAt = e.done + min(left, 20+200*w.Random.Float64())
	case w.Chance(r.hangShare):
		e.hangs = true
	case e.group.job.poisoned || e.task.started <= e.task.faults:
		e.fails = true
		e.failAt = e.done + left*w.Random.Float64()
	}
}

// stop ends a run within the time a stop takes, or bars it if it is not there.
func (r *Runner) stop(order protocol.StopOrder) {
	for _, e := range r.active {
		if e.record.Text == order.Task && e.record.Run == order.Run {
			r.stopRun(e)
			return
		}
	}
	if r.barred[order.Task] >= order.Run {
		return
	}
	r.barred[order.Task] = order.Run
	if r.listStopped {
		r.refuse(order.Task, order.Run)
	}
}

func (r *Runner) stopRun(e *execution) {
	if e.stopping {
		return
	}
	e.stopping = true
	took := r.world.Between(0, r.plant.Ledger.Bounds.Stop*95/100)
	e.stopAt = r.world.After(took, func() {
		if e.working && e.group != nil && e.group.step.Checkpoints && !e.hangs {
			e.settle(r.world.now)
			e.saved = checkpointText(e.record.Task, e.group.step.Gang, e.done)
		}
		r.end(e, protocol.EndStopped)
	})
}

// refuse lists a run as not started.
func (r *Runner) refuse(task string, run uint64) {
	r.list(task, run, protocol.EndRefused, "", nil)
	r.barred[task] = max(r.barred[task], run)
	r.tell()
}

func (r *Runner) list(task string, run uint64, how, saved string, record *Run) uint64 {
	r.counter++
	row := protocol.FinishedRun{N: r.counter, Task: task, Run: run, How: protocol.RunEnd(how), Saved: saved}
	r.finished = append(r.finished, finishedEnd{row: row, record: record, lapses: len(r.instance.Lapses)})
	return r.counter
}

// end ends a run on this runner and lists it.
func (r *Runner) end(e *execution, how string) {
	position := slices.Index(r.active, e)
	if position < 0 || r.instance == nil {
		return
	}
	r.active = slices.Delete(r.active, position, position+1)
	e.refreshSaved(r.world.now)
	e.forget()
	record := e.record
	record.Ended, record.How = r.world.now, how
	saved := e.saved
	if how == protocol.EndDone {
		saved = ""
		if e.group != nil {
			r.plant.markDone(e.group, e.task)
		}
	}
	record.N = r.list(record.Text, record.Run, how, saved, record)
	r.barred[record.Text] = max(r.barred[record.Text], record.Run)
	if e.isGang() && how != protocol.EndDone {
		r.plant.leaveGang(e)
	}
	r.tell()
}

package policy

// The attempts of a request: how each starts and ends, and what is done about late ones.

import "slices"

const (
	moveWeight     = 0.2  // weight of the newest moved attempt in moveSuccess
	startWeight    = 0.01 // weight of any other attempt that starts, so that moves are tried again
	minMoveSuccess = 0.5  // no attempt is moved below this moveSuccess
)

func (d *Dispatcher) cancel(a *attempt) {
	if d.set.Cancel && !a.cancelled && !a.j.streaming {
		a.cancelled = true
		d.out = append(d.out, Action{Kind: Cancel, ID: a.j.id, Attempt: a.n})
	}
}

func (d *Dispatcher) attempt(e *Event) *attempt {
	if j := d.jobs[e.ID]; j != nil && e.Attempt >= 0 && e.Attempt < len(j.attempts) {
		return j.attempts[e.Attempt]
	}
	return nil
}

func (d *Dispatcher) start(a *attempt) {
	a.w.lastProgress = d.now
	if !a.running {
		a.running, a.started, a.w.rejections = true, d.now, a.w.rejections/2
		d.moveSuccess += max(a.moveWeight, startWeight) * (1 - d.moveSuccess)
		a.w.running += a.j.slots
		a.w.maxRunning = max(a.w.maxRunning, a.w.running)
		a.w.kind.seen = max(a.w.kind.seen, a.w.maxRunning)
		if free := max(0, d.slots(a.w)-a.w.running); d.now <= a.sent+d.minTarget/2 {
			a.w.others = min(a.w.others, free)
		} else { // it waited for a slot, so others used all the rest
			a.w.others, a.w.othersAt = max(a.w.others, free), d.now
		}
		a.j.check = a.j.due + d.set.ResponseGrace/2
		d.scheduleRound()
	}
}

func (d *Dispatcher) endAttempt(e *Event) {
	a := d.attempt(e)
	if a == nil || a.ended {
		return
	}
	j, w := a.j, a.w
	a.ended, a.neverRan = true, NeverRan(e.Outcome) && (!e.Indeterminate || j.class.Semantics != Unsafe)
	w.removeAttempt(a, d.now)
	d.report(w, e.Report)
	switch e.Outcome {
	case OK:
		w.lastProgress, w.idle = d.now, append(w.idle, d.now)
		w.fails, w.brokenConns = max(0, w.fails-0.5), 0
		d.learn(a)
	case Full:
		w.rejections++
		w.others, w.othersAt = d.slots(w)-w.busy+1, d.now
	case Reset:
		if d.connectionBroke(w) && a.running {
			w.suspectedAt = d.now
		}
	case Failed, TimedOut, ConnectFailed:
		if e.Outcome == ConnectFailed && e.Elapsed < d.set.ConnectTimeout/2 {
			w.suspectedAt = d.now
		}
		if e.Outcome != TimedOut || w.lastProgress < a.sent {
			d.recordFailure(w)
		}
	}
	d.closeDrained(w)
	if e.Complete || j.ended {
		d.end(j)
	} else if !j.streaming {
		d.retryOrFinish(j)
	}
	d.scheduleRound()
}

// retryOrFinish makes j pending for another attempt, or finishes it where none can follow.
func (d *Dispatcher) retryOrFinish(j *job) {
	last := d.now >= j.due-d.set.Period || len(j.attempts) >= d.set.MaxAttempts
	if last || slices.ContainsFunc(j.attempts, d.barsRetry) {
		d.finish(j)
	} else {
		j.pending, j.check = true, j.due-d.set.Period
		d.scanAt = min(d.scanAt, j.check)
	}
}

// scan checks the open jobs whose check time has come.
func (d *Dispatcher) scan() {
	d.scanAt = never
	d.open = slices.DeleteFunc(d.open, func(j *job) bool { return j.ended })
	for _, j := range d.open {
		if d.now >= j.check && !j.streaming {
			d.checkJob(j)
		}
		if !j.ended && !j.streaming {
			d.scanAt = min(d.scanAt, j.check)
		}
	}
}

// checkJob finishes j if it is out of time, and gives up or moves its late attempts.
func (d *Dispatcher) checkJob(j *job) {
	last := d.set.ResponseGrace / 2
	if j.pending || d.now >= j.due+last {
		d.finish(j)
		return
	}
	j.check = min(j.due+last, d.now+max(d.minTarget/checksPerTarget, d.set.Period))
	for _, a := range j.attempts {
		if a.ended || a.cancelled || a.running && d.set.ReportsStarts { // a job that started may just be long
			continue
		}
		if d.set.Cancel && !a.running && d.shouldGiveUp(j, a.predicted) { // uncancelled, it would run in vain
			d.finish(j)
			return
		}
		d.moveSuccess, a.moveWeight = d.moveSuccess*(1-a.moveWeight), 0
		// Guards against hung, paused and vanished workers. One that is only slow misses some sends.
		timeout := j.class.LatencyTarget >> min(2, a.w.rejections)
		unresponsive := a.w.lastProgress < a.sent && d.now >= a.sent+timeout
		if unresponsive {
			d.recordFailure(a.w)
		}
		if (unresponsive || !a.running) && d.canMove(a) {
			a.w.rejections++
			d.cancel(a)
		}
	}
}

// canMove reports whether a may be cancelled as another worker, by a fresh report, has a slot for its job.
func (d *Dispatcher) canMove(a *attempt) bool {
	a.ended = true
	defer func() { a.ended = false }()
	allowed := d.set.Cancel && a.j.class.Semantics != Unsafe && d.moveSuccess >= minMoveSuccess
	return allowed && slices.ContainsFunc(d.near(), func(w *worker) bool {
		return w != a.w && d.now <= w.othersAt+reportAge && d.fits(w, a.j) && d.maySend(a.j, w)
	})
}

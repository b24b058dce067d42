package policy

// This file handles the attempts of a request: how they start and end, and late attempts.
//
// A late attempt may be moved: it is cancelled, and its job gets another attempt at another worker. Moves
// help only where workers drop cancelled jobs. Where they run them all the same, each move costs a complete
// job, and the next worker is as full. So moveSuccess estimates how many moved attempts start before their
// next check, and there are no moves while it is below minMoveSuccess. Other attempts that start raise it
// slowly, so that moves are tried again.

import "slices"

const (
	movedAttemptWeight = 0.2  // weight of a moved attempt in moveSuccess
	otherAttemptWeight = 0.01 // weight in moveSuccess of any other attempt that starts
	minMoveSuccess     = 0.5  // least moveSuccess with which attempts are moved
)

// cancel cancels a, unless that isn't allowed, was done, or would cut off a response that streams to the
// client.
func (d *Dispatcher) cancel(a *attempt) {
	if d.cfg.MayCancel && !a.cancelled && !a.j.streaming {
		a.cancelled = true
		d.actions = append(d.actions, Action{Kind: Cancel, ID: a.j.id, Attempt: a.index})
	}
}

// attempt returns the attempt that an event concerns, or nil if the attempt is unknown.
func (d *Dispatcher) attempt(e *Event) *attempt {
	if j := d.jobs[e.ID]; j != nil && e.Attempt >= 0 && e.Attempt < len(j.attempts) {
		return j.attempts[e.Attempt]
	}
	return nil
}

// recordStart records a sign that a is running. The first one shows how many slots other schedulers use at
// the worker: if the job started promptly, at most the slots that own jobs leave; if it had to wait, all of
// these.
func (d *Dispatcher) recordStart(a *attempt) {
	a.w.lastProgress = d.now
	if !a.running {
		a.running, a.started, a.w.rejections = true, d.now, a.w.rejections/2
		d.moveSuccess += max(a.moveWeight, otherAttemptWeight) * (1 - d.moveSuccess)
		a.w.runningSlots += a.j.slots
		a.w.maxRunningSlots = max(a.w.maxRunningSlots, a.w.runningSlots)
		a.w.kind.maxSlots = max(a.w.kind.maxSlots, a.w.maxRunningSlots)
		if free := max(0, d.slots(a.w)-a.w.runningSlots); d.now <= a.sent+d.minTarget/2 {
			a.w.othersSlots = min(a.w.othersSlots, free)
		} else {
			a.w.othersSlots, a.w.othersSlotsAt = max(a.w.othersSlots, free), d.now
		}
		a.j.nextCheck = a.j.deadline + d.cfg.ResponseGrace/2
		d.scheduleRound()
	}
}

// endAttempt records the end of an attempt, and the state of the worker that its outcome shows. Then it
// drops the job, makes it pending again, or finishes it.
//
// A rejection shows that no slot is free. A connection that is refused at once shows a restart, and so
// does the break of a running job's connection if it is the worker's second without a success in between.
// A timeout is a failure of the worker only if the worker has shown no progress since the send.
func (d *Dispatcher) endAttempt(e *Event) {
	a := d.attempt(e)
	if a == nil || a.ended {
		return
	}
	j, w := a.j, a.w
	a.ended, a.neverRan = true, NeverRan(e.Outcome) && (!e.Indeterminate || j.class.Semantics != Unsafe)
	w.removeAttempt(a, d.now)
	d.applyReport(w, e.Report)
	switch e.Outcome {
	case OK:
		w.lastProgress, w.idleConns = d.now, append(w.idleConns, d.now)
		w.failures, w.brokenConns = max(0, w.failures-0.5), 0
		d.learnRuntime(a)
	case Full:
		w.rejections++
		w.othersSlots, w.othersSlotsAt = d.slots(w)-w.busySlots+1, d.now
	case Reset:
		if d.connectionBroke(w) && a.running {
			w.suspectedRestartAt = d.now
		}
	case Failed, TimedOut, ConnectFailed:
		if e.Outcome == ConnectFailed && e.Elapsed < d.cfg.ConnectTimeout/2 {
			w.suspectedRestartAt = d.now
		}
		if e.Outcome != TimedOut || w.lastProgress < a.sent {
			d.recordFailure(w)
		}
	}
	d.closeDrained(w)
	if e.Responded || j.ended {
		d.end(j)
	} else if !j.streaming {
		d.retryOrFinish(j)
	}
	d.scheduleRound()
}

// retryOrFinish makes j pending for another attempt, or finishes it if none can follow.
func (d *Dispatcher) retryOrFinish(j *job) {
	noneLeft := d.now >= j.deadline-d.cfg.MinStepInterval || len(j.attempts) >= d.cfg.MaxAttempts
	if noneLeft || slices.ContainsFunc(j.attempts, d.barsRetry) {
		d.finish(j)
	} else {
		j.pending, j.nextCheck = true, j.deadline-d.cfg.MinStepInterval
		d.scanAt = min(d.scanAt, j.nextCheck)
	}
}

// scan makes the due checks of open jobs, and schedules the next scan for the next check.
func (d *Dispatcher) scan() {
	d.scanAt = never
	d.openJobs = slices.DeleteFunc(d.openJobs, func(j *job) bool { return j.ended })
	for _, j := range d.openJobs {
		if d.now >= j.nextCheck && !j.streaming {
			d.checkJob(j)
		}
		if !j.ended && !j.streaming {
			d.scanAt = min(d.scanAt, j.nextCheck)
		}
	}
}

// checkJob finishes j if it is out of time. Otherwise it takes j's attempt in flight for late and does one of
// these:
//   - It finishes j if the attempt hasn't started, can be cancelled and shouldGiveUp. If it couldn't be
//     cancelled, the worker would run it all the same and its response would be discarded.
//   - It moves j to another worker, if canMove and the attempt hasn't started or the worker is unresponsive.
//
// A worker is unresponsive if it has shown no progress since the send for too long: the class's latency
// target, halved for each of the worker's recent rejections, twice at most. It hangs, is paused or has
// vanished, so checkJob records a failure of it. A worker that is only slow passes this test for most sends.
func (d *Dispatcher) checkJob(j *job) {
	grace := d.cfg.ResponseGrace / 2
	if j.pending || d.now >= j.deadline+grace {
		d.finish(j)
		return
	}
	j.nextCheck = min(j.deadline+grace, d.now+max(d.minTarget/checksPerTarget, d.cfg.MinStepInterval))
	for _, a := range j.attempts {
		if a.ended || a.cancelled || a.running && d.cfg.ReportsStarts { // a job that started may just be long
			continue
		}
		if d.cfg.MayCancel && !a.running && d.shouldGiveUp(j, a.predicted) {
			d.finish(j)
			return
		}
		d.moveSuccess, a.moveWeight = d.moveSuccess*(1-a.moveWeight), 0 // once per moved attempt
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

// canMove reports whether a may be cancelled so that its job moves to another worker: moves are allowed and
// mostly succeed, and a worker known by fresh signs to have a free slot may get the job once a has ended.
func (d *Dispatcher) canMove(a *attempt) bool {
	a.ended = true
	defer func() { a.ended = false }()
	allowed := d.cfg.MayCancel && a.j.class.Semantics != Unsafe && d.moveSuccess >= minMoveSuccess
	return allowed && slices.ContainsFunc(d.candidates(), func(w *worker) bool {
		return w != a.w && d.now <= w.othersSlotsAt+assumedReportAge && d.fits(w, a.j) && d.maySend(a.j, w)
	})
}

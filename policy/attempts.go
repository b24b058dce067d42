package policy

// The attempts of a request: how each starts and ends, and what is done about late ones.

import "slices"

const (
	moveMemory  = 0.2  // weight of the newest moved attempt in whether moving helps
	moveReturns = 0.01 // the same of each other attempt that starts: moves are tried again
	movesLeast  = 0.5  // share of moved attempts that start soon, or none is moved
)

func (d *Dispatcher) withdraw(a *attempt) {
	if d.set.Cancel && !a.withdraw && !a.j.streaming {
		a.withdraw = true
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
	a.w.alive = d.now
	if !a.running {
		a.running, a.started, a.w.turned = true, d.now, a.w.turned/2
		d.moves += max(a.tells, moveReturns) * (1 - d.moves)
		a.w.running += a.j.slots
		a.w.most = max(a.w.most, a.w.running)
		a.w.kind.seen = max(a.w.kind.seen, a.w.most)
		if rest := max(0, d.slots(a.w)-a.w.running); d.now <= a.sent+d.minAim/2 {
			a.w.others = min(a.w.others, rest)
		} else { // it waited for a place, so others had all the rest
			a.w.others, a.w.othersAt = max(a.w.others, rest), d.now
		}
		a.j.check = a.j.due + d.set.AnswerSlack/2
		d.wantRound()
	}
}

func (d *Dispatcher) endAttempt(e *Event) {
	a := d.attempt(e)
	if a == nil || a.over {
		return
	}
	j, w := a.j, a.w
	a.over, a.neverRan = true, NeverRan(e.Outcome) && !(e.Doubtful && j.class.Semantics == Unsafe)
	w.drop(a, d.now)
	d.report(w, e.Report)
	switch e.Outcome {
	case OK:
		w.alive, w.idle = d.now, append(w.idle, d.now)
		w.fails, w.broken = max(0, w.fails-0.5), 0
		d.learn(a)
	case Full:
		w.turned++
		w.others, w.othersAt = d.slots(w)-w.busy+1, d.now
	case Reset:
		if d.broke(w) && a.running {
			w.suspect = d.now
		}
	case Failed, TimedOut, ConnectFailed:
		if e.Outcome == ConnectFailed && e.Elapsed < d.set.ConnectTimeout/2 {
			w.suspect = d.now
		}
		if e.Outcome != TimedOut || w.alive < a.sent {
			d.fail(w)
		}
	}
	d.closeDrained(w)
	if e.Complete || j.ended {
		d.end(j)
	} else if !j.streaming {
		d.again(j)
	}
	d.wantRound()
}

// again holds j for another attempt, or ends it where none can follow.
func (d *Dispatcher) again(j *job) {
	over := d.now >= j.due-d.set.Period || len(j.attempts) >= d.set.MaxAttempts
	if over || slices.ContainsFunc(j.attempts, d.settled) {
		d.finish(j)
	} else {
		j.held, j.check = true, j.due-d.set.Period
		d.scanAt = min(d.scanAt, j.check)
	}
}

// scan looks at the open jobs whose moment has come: it ends those out of time and deals with late attempts.
func (d *Dispatcher) scan() {
	d.scanAt = never
	d.open = slices.DeleteFunc(d.open, func(j *job) bool { return j.ended })
	for _, j := range d.open {
		if d.now >= j.check && !j.streaming {
			d.look(j)
		}
		if !j.ended && !j.streaming {
			d.scanAt = min(d.scanAt, j.check)
		}
	}
}

// look deals with a job whose check time has come.
func (d *Dispatcher) look(j *job) {
	last := d.set.AnswerSlack / 2
	if j.held || d.now >= j.due+last {
		d.finish(j)
		return
	}
	j.check = min(j.due+last, d.now+max(d.minAim/firstLook, d.set.Period))
	for _, a := range j.attempts {
		if a.over || a.withdraw || a.running && d.set.TellsStart { // one that runs for long may just be long
			continue
		}
		if d.set.Cancel && !a.running && d.hopeless(j, a.predicted) { // else it would run in vain
			d.finish(j)
			return
		}
		d.moves, a.tells = d.moves*(1-a.tells), 0
		// Guards against hung, paused and vanished workers: nothing was heard from it since the send.
		// A worker that is only slow loses some sends until its next sign of life.
		silent := a.w.alive < a.sent && d.now >= a.sent+j.class.Aim>>min(2, a.w.turned)
		if silent {
			d.fail(a.w)
		}
		if (silent || !a.running) && d.canMove(a) {
			a.w.turned++
			d.withdraw(a)
		}
	}
}

// canMove tells whether a cancelled attempt could be made up for on another worker that has room now.
func (d *Dispatcher) canMove(a *attempt) bool {
	a.over = true
	defer func() { a.over = false }()
	again := d.set.Cancel && a.j.class.Semantics != Unsafe && d.moves >= movesLeast
	return again && slices.ContainsFunc(d.near(), func(w *worker) bool {
		return w != a.w && d.now <= w.othersAt+reportAge && d.fits(w, a.j) && d.maySend(a.j, w)
	})
}

package policy

// A request from its arrival to its final response, and the guards on every attempt for it.

import "slices"

const maxKeys = 1 << 14 // keys with a record of demand; one more clears them all

func (d *Dispatcher) arrive(e *Event) {
	row, ok := d.classes[e.Class]
	if d.jobs[e.ID] != nil {
		return
	} else if !ok { // no class of the settings, so it never ran
		d.out = append(d.out, Action{Kind: Refuse, ID: e.ID})
		return
	}
	c := &d.set.Classes[row]
	j := &job{id: e.ID, arrived: d.now, due: d.now + e.Left, class: c, row: row, pending: true,
		size: d.means[row], slots: max(1, e.Slots), memory: max(0, e.Memory)}
	if e.Work > 0 {
		j.size = e.Work.Seconds()
		d.largest = max(d.largest, j.size)
	}
	if e.Key != "" {
		hash := hashOf(e.Key)
		if d.keys[hash] == nil {
			if len(d.keys) >= maxKeys {
				clear(d.keys)
			}
			d.keys[hash] = &key{hash: hash}
		}
		j.key = d.keys[hash]
		j.key.work = j.key.demand(d.now) + j.size*j.slots
		j.key.at = d.now
	}
	j.targetBy = d.now + c.LatencyTarget + seconds(c.Stretch*j.size)
	// The target counts from the first attempt. A retry, marked or not, shows by the time that it has left.
	d.maxLeft[row] = max(d.maxLeft[row], e.Left)
	original := d.maxLeft[row]
	if e.Retry {
		original = max(c.Deadline, e.Left)
	}
	j.targetBy -= original - e.Left
	if t, ok := d.tenants[e.Tenant]; ok {
		b, rate := &d.buckets[t], d.set.Tenants[t].Allowance*d.quota()
		b.tokens, b.at = min(max(1, rate), b.tokens+rate*(d.now-b.at).Seconds()), d.now
		if j.overQuota = b.tokens < 1; !j.overQuota {
			b.tokens--
		}
	}
	d.jobs[j.id] = j
	d.open = append(d.open, j)
	j.check = j.due - d.set.Period
	d.scanAt = min(d.scanAt, j.check)
	d.probesDue += d.probesPerJob
	if d.scheduleRound(); e.Left <= 0 || d.closing || d.set.MaxOpen > 0 && len(d.jobs) >= d.set.MaxOpen {
		d.finish(j)
	}
}

// maySend reports whether an attempt for j may go to w now. Every send is checked by it.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	if j.ended || j.streaming || d.now >= j.due || w.state != Ready ||
		len(j.attempts) >= d.set.MaxAttempts || j.class.Kind != "" && j.class.Kind != w.kind.name {
		return false
	}
	for _, a := range j.attempts {
		other := j.class.Semantics == Keyed && !sameGroup(j.class.Scope, a.w, w)
		if !a.neverRan && (!a.ended || other) || d.barsRetry(a) {
			return false
		}
	}
	return d.inWarmingBudget(w, w.kind.runtime(j.size)*j.slots)
}

// barsRetry reports whether a may have run and none may follow: it is unsafe, or its key may be forgotten.
func (d *Dispatcher) barsRetry(a *attempt) bool {
	c := a.j.class
	late := d.now+d.set.ConnectTimeout >= a.sent+c.Window
	return !a.neverRan && (c.Semantics == Unsafe || c.Semantics == Keyed && late)
}

// mayRefuse reports whether j may be refused, which promises its client that a retry is harmless.
func (d *Dispatcher) mayRefuse(j *job) bool {
	harmless := j.class.Semantics == Safe || j.class.Semantics == Keyed && j.class.Scope == ScopeAll
	return !j.ended && !j.streaming && (harmless || !slices.ContainsFunc(j.attempts, mayHaveRun))
}

func mayHaveRun(a *attempt) bool { return !a.neverRan }

func sameGroup(s Scope, a, b *worker) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// finish gives j its final response.
func (d *Dispatcher) finish(j *job) {
	if j.ended || j.streaming {
		return
	}
	response := Action{Kind: Fail, ID: j.id}
	if d.mayRefuse(j) {
		response.Kind, response.RetryAfter = Refuse, d.set.MaxRetryAfter
	}
	d.out = append(d.out, response)
	d.end(j)
}

// end forgets j and cancels its attempts in flight, so that workers don't run them in vain.
func (d *Dispatcher) end(j *job) {
	j.ended, j.pending = true, false
	delete(d.jobs, j.id)
	for _, a := range j.attempts {
		if !a.ended {
			d.jobs[j.id] = j // until its outcome arrives
			d.cancel(a)
		}
	}
}

// shouldGiveUp reports whether j, not started yet, is given up, as it would miss its target if it ran for so
// many seconds: where a late response is worth nothing, or under overload, where it would make others late.
func (d *Dispatcher) shouldGiveUp(j *job, run float64) bool {
	return (d.overload || j.class.LateValue == 0) && d.now+seconds(run) > j.targetBy
}

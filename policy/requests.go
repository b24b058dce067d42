package policy

// A request from its arrival to its final answer, and what may be sent for it.

import "slices"

const keysMost = 1 << 14 // keys whose demand is known; then all are learnt anew

func (d *Dispatcher) arrive(e *Event) {
	row, ok := d.classes[e.Class]
	if d.jobs[e.ID] != nil {
		return
	} else if !ok { // the settings do not know its class: nothing ever ran of it
		d.out = append(d.out, Action{Kind: Refuse, ID: e.ID})
		return
	}
	c := &d.set.Classes[row]
	j := &job{id: e.ID, arrived: d.now, due: d.now + e.Left, class: c, row: row, held: true,
		size: d.means[row], slots: max(1, e.Slots), memory: max(0, e.Memory)}
	if e.Work > 0 {
		j.size = e.Work.Seconds()
		d.largest = max(d.largest, j.size)
	}
	if e.Key != "" {
		hash := hashOf(e.Key)
		if d.keys[hash] == nil {
			if len(d.keys) >= keysMost {
				clear(d.keys)
			}
			d.keys[hash] = &key{hash: hash}
		}
		j.key = d.keys[hash]
		j.key.work = j.key.demand(d.now) + j.size*j.slots
		j.key.at = d.now
	}
	j.aimBy = d.now + c.Aim + seconds(c.Stretch*j.size)
	// The aim runs from the first try. A retry has less time left, and shows by that where none is marked.
	d.longest[row] = max(d.longest[row], e.Left)
	whole := d.longest[row]
	if e.Retry {
		whole = max(c.Deadline, e.Left)
	}
	j.aimBy -= whole - e.Left
	if t, ok := d.tenants[e.Tenant]; ok {
		b, rate := &d.buckets[t], d.set.Tenants[t].Allowance*d.share()
		b.tokens, b.at = min(max(1, rate), b.tokens+rate*(d.now-b.at).Seconds()), d.now
		if j.over = b.tokens < 1; !j.over {
			b.tokens--
		}
	}
	d.jobs[j.id] = j
	d.open = append(d.open, j)
	j.check = j.due - d.set.Period
	d.scanAt = min(d.scanAt, j.check)
	d.toAsk += d.perJob
	if d.wantRound(); e.Left <= 0 || d.closing || d.set.MaxOpen > 0 && len(d.jobs) >= d.set.MaxOpen {
		d.finish(j)
	}
}

// maySend decides whether an attempt for j may go to w now. Every send passes here.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	if j.ended || j.streaming || d.now >= j.due || w.state != Ready ||
		len(j.attempts) >= d.set.MaxAttempts || j.class.Kind != "" && j.class.Kind != w.kind.name {
		return false
	}
	for _, a := range j.attempts {
		other := j.class.Semantics == Keyed && !sameGroup(j.class.Scope, a.w, w)
		if !a.neverRan && (!a.over || other) || d.settled(a) {
			return false
		}
	}
	return d.coldRoom(w, w.kind.runtime(j.size)*j.slots)
}

// settled tells whether a may have run and nothing may follow it: workers may no longer know its key by then.
func (d *Dispatcher) settled(a *attempt) bool {
	c := a.j.class
	late := d.now+d.set.ConnectTimeout >= a.sent+c.Window
	return !a.neverRan && (c.Semantics == Unsafe || c.Semantics == Keyed && late)
}

// mayRefuse decides whether j may be refused, which tells its client that a retry is harmless.
func (d *Dispatcher) mayRefuse(j *job) bool {
	harmless := j.class.Semantics == Safe || j.class.Semantics == Keyed && j.class.Scope == ScopeAll
	return !j.ended && !j.streaming && (harmless || !slices.ContainsFunc(j.attempts, mayHaveRun))
}

func mayHaveRun(a *attempt) bool { return !a.neverRan }

func sameGroup(s Scope, a, b *worker) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// finish gives j its final answer.
func (d *Dispatcher) finish(j *job) {
	if j.ended || j.streaming {
		return
	}
	answer := Action{Kind: Fail, ID: j.id}
	if d.mayRefuse(j) {
		answer.Kind, answer.RetryAfter = Refuse, d.set.MaxRetryAfter
	}
	d.out = append(d.out, answer)
	d.end(j)
}

// end forgets j and cancels the attempts that are still out, so that workers do not run them in vain.
func (d *Dispatcher) end(j *job) {
	j.ended, j.held = true, false
	delete(d.jobs, j.id)
	for _, a := range j.attempts {
		if !a.over {
			d.jobs[j.id] = j // its outcome has yet to come
			d.withdraw(a)
		}
	}
}

// hopeless tells whether j, not started yet, is given up: it would end late and, where workers are full on
// the whole, make others late. It gives up the part of the worth that late answers earn.
func (d *Dispatcher) hopeless(j *job, l float64) bool {
	return (d.overload || j.class.LateWorth == 0) && d.now+seconds(l) > j.aimBy
}

package policy

// This file has a request's way from its arrival to its final response, and the rules on which attempts are
// allowed for it.

import "slices"

const maxKeys = 1 << 14 // most keys with a recorded demand; one more key clears all records

// arrive makes a job of a request that arrived and schedules a round for it. A request gets its final
// response at once if its class is unknown, it has no time left, it makes the number of jobs reach
// MaxOpenRequests, or Closing was received. A request with an id in use is ignored.
func (d *Dispatcher) arrive(e *Event) {
	index, ok := d.classes[e.Class]
	if d.jobs[e.ID] != nil {
		return
	} else if !ok { // the settings have no such class; it never ran, so a retry is harmless
		d.actions = append(d.actions, Action{Kind: Refuse, ID: e.ID})
		return
	}
	c := &d.cfg.Classes[index]
	j := &job{id: e.ID, arrived: d.now, deadline: d.now + e.TimeLeft, class: c, classIndex: index,
		pending: true, size: d.classMeanRuntime[index], slots: max(1, e.Slots), memory: max(0, e.Memory)}
	if e.Work > 0 {
		j.size = e.Work.Seconds()
		d.largestSize = max(d.largestSize, j.size)
	}
	if e.Key != "" {
		hash := hashName(e.Key)
		if d.keys[hash] == nil {
			if len(d.keys) >= maxKeys {
				clear(d.keys)
			}
			d.keys[hash] = &key{hash: hash}
		}
		j.key = d.keys[hash]
		j.key.work = j.key.demand(d.now) + j.size*j.slots
		j.key.workAt = d.now
	}
	j.targetBy = d.now + c.LatencyTarget + seconds(c.Stretch*j.size)
	// The latency target counts from the client's first attempt. Clients may not mark retries, but a retry
	// has less time left than the client had at first: the target is earlier by the difference. For a marked
	// retry the time at first is the class's deadline, otherwise the most that a request of the class had
	// left so far.
	d.maxTimeLeft[index] = max(d.maxTimeLeft[index], e.TimeLeft)
	firstTimeLeft := d.maxTimeLeft[index]
	if e.IsRetry {
		firstTimeLeft = max(c.Deadline, e.TimeLeft)
	}
	j.targetBy -= firstTimeLeft - e.TimeLeft
	if t, ok := d.tenants[e.Tenant]; ok {
		b, rate := &d.buckets[t], d.cfg.Tenants[t].Allowance*d.budgetShare()
		b.tokens, b.refilledAt = min(max(1, rate), b.tokens+rate*(d.now-b.refilledAt).Seconds()), d.now
		if j.overQuota = b.tokens < 1; !j.overQuota {
			b.tokens--
		}
	}
	d.jobs[j.id] = j
	d.openJobs = append(d.openJobs, j)
	j.nextCheck = j.deadline - d.cfg.MinStepInterval
	d.scanAt = min(d.scanAt, j.nextCheck)
	d.probesDue += d.probesPerJob
	if d.scheduleRound(); e.TimeLeft <= 0 || d.closing ||
		d.cfg.MaxOpenRequests > 0 && len(d.jobs) >= d.cfg.MaxOpenRequests {
		d.finish(j)
	}
}

// maySend reports whether an attempt for j may go to w now. Every send is checked with it. It keeps these
// rules:
//   - A job has one attempt in flight at a time, MaxAttempts in total, and none after its deadline or its
//     response's first part.
//   - If an attempt may have run, the class's semantics must allow another attempt: see barsRetry. For a
//     keyed job the new attempt must go to the dedup group of every attempt that may have run.
//   - The worker is ready and, if the class needs one machine kind, of that kind.
//   - The job's work is within the budget of a worker that is warming up.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	if j.ended || j.streaming || d.now >= j.deadline || w.state != Ready ||
		len(j.attempts) >= d.cfg.MaxAttempts || j.class.Kind != "" && j.class.Kind != w.kind.name {
		return false
	}
	for _, a := range j.attempts {
		other := j.class.Semantics == Keyed && !inSameDedupGroup(j.class.DedupScope, a.w, w)
		if !a.neverRan && (!a.ended || other) || d.barsRetry(a) {
			return false
		}
	}
	return d.inWarmUpBudget(w, w.kind.runtime(j.size)*j.slots)
}

// barsRetry reports whether a rules out another attempt: it may have run, and its class is unsafe, or is
// keyed and the workers may have forgotten the key before another attempt has a connection.
func (d *Dispatcher) barsRetry(a *attempt) bool {
	c := a.j.class
	late := d.now+d.cfg.ConnectTimeout >= a.sent+c.DedupWindow
	return !a.neverRan && (c.Semantics == Unsafe || c.Semantics == Keyed && late)
}

// mayRefuse reports whether j may be refused, which promises its client that a retry is harmless. That holds
// if no attempt may have run, if the class is safe, or if all workers share their memory of its key.
func (d *Dispatcher) mayRefuse(j *job) bool {
	harmless := j.class.Semantics == Safe || j.class.Semantics == Keyed && j.class.DedupScope == ScopeAll
	return !j.ended && !j.streaming && (harmless || !slices.ContainsFunc(j.attempts, mayHaveRun))
}

// mayHaveRun reports whether a may have run: an attempt that hasn't ended counts.
func mayHaveRun(a *attempt) bool { return !a.neverRan }

// inSameDedupGroup reports whether two workers share their memory of keys.
func inSameDedupGroup(s DedupScope, a, b *worker) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// finish gives j its final response, Refuse if that is allowed, unless j has one or its response is
// streaming.
func (d *Dispatcher) finish(j *job) {
	if j.ended || j.streaming {
		return
	}
	response := Action{Kind: Fail, ID: j.id}
	if d.mayRefuse(j) {
		response.Kind, response.RetryAfter = Refuse, d.cfg.MaxRetryAfter
	}
	d.actions = append(d.actions, response)
	d.end(j)
}

// end drops j and cancels its attempts in flight, because no client waits for their results. j stays in
// jobs until those attempts have ended.
func (d *Dispatcher) end(j *job) {
	j.ended, j.pending = true, false
	delete(d.jobs, j.id)
	for _, a := range j.attempts {
		if !a.ended {
			d.jobs[j.id] = j // until a's outcome arrives
			d.cancel(a)
		}
	}
}

// shouldGiveUp reports whether to give up j, which hasn't started. j is given up if it would miss its target
// by running for run seconds from now, and either a late response has no value, or there is an overload, in
// which j would make other jobs late.
func (d *Dispatcher) shouldGiveUp(j *job, run float64) bool {
	return (d.overloaded || j.class.LateValue == 0) && d.now+seconds(run) > j.targetBy
}

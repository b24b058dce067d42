package policy

// Requests for information: calls for the list, and probes.

import "math"

const surveyPrice = 2.5 // probes that one counts for if no pending job would go to its worker

// requestUpdates makes the list calls and probes that are due.
func (d *Dispatcher) requestUpdates() {
	if !d.set.ListOnDemand {
		d.listCallAt = never
	} else if d.now >= d.listCallAt {
		d.listRequested, d.listCallAt = true, d.now+max(d.set.MaxListAge/2, d.roundInterval)
		d.out = append(d.out, Action{Kind: Subscribe})
	}
	d.probe()
}

// probe asks workers near by for reports. As requests pay for probes, each brings a few, whose reports arrive
// before the round that places it.
func (d *Dispatcher) probe() {
	for d.probesDue >= 1 && d.set.Probes && d.set.Reports {
		next, price := d.probeTarget(d.near())
		if next == nil || price > d.probesDue {
			d.probesDue = min(d.probesDue, surveyPrice)
			return
		}
		d.probesDue -= price
		next.probing, next.probedAt = true, d.now
		d.out = append(d.out, Action{Kind: Probe, Worker: next.name})
	}
}

// probeTarget returns the worker to probe, and how many probes that counts for: where the newest pending job
// would go, if the report from there is old, or else the one that was probed longest ago.
func (d *Dispatcher) probeTarget(near []*worker) (next *worker, price float64) {
	var newest *job
	for _, j := range d.open {
		if j.pending {
			newest = j
		}
	}
	best := math.Inf(1)
	for _, w := range near {
		age := d.now - w.probedAt
		if w.state != Ready || w.probing || age < reportAge/4 {
			continue
		}
		score, counts := 1e9-age.Seconds(), surveyPrice
		if newest != nil && (age >= 2*reportAge || d.warmth(w) < 1) && d.freeSlots(w) >= 1 {
			score, counts = d.predict(w, newest)*d.factor(w), 1
		}
		if score < best {
			next, best, price = w, score, counts
		}
	}
	return next, price
}

func (d *Dispatcher) probeEnded(e *Event) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	d.closeDrained(w)
	if w.probing = false; e.Outcome == OK {
		w.brokenConns = 0
		d.report(w, e.Report)
	} else if e.Outcome == Reset {
		d.connectionBroke(w)
	} else if o := e.Outcome; w.lastProgress < d.now-e.Elapsed && o != Full && o != Moot && o != Failed {
		d.recordFailure(w)
	}
}

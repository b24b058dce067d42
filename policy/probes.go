package policy

// What goes to others than job queues: calls for the list, and probes.

import "math"

const surveyPrice = 2.5 // how many of those one probe counts that no job at hand asks for

// outside sends what goes to others than workers' job queues: list calls and probes.
func (d *Dispatcher) outside() {
	if !d.set.AskList {
		d.askAt = never
	} else if d.now >= d.askAt {
		d.asking, d.askAt = true, d.now+max(d.set.AskWithin/2, d.roundGap)
		d.out = append(d.out, Action{Kind: Subscribe})
	}
	d.probe()
}

// probe asks workers near by for reports, those that were asked longest ago first. It is tied to requests, as
// its price is: each brings a few, which come back before the round that places it.
func (d *Dispatcher) probe() {
	for d.toAsk >= 1 && d.set.Probes && d.set.Reports {
		next, price := d.toProbe(d.near())
		if next == nil || price > d.toAsk {
			d.toAsk = min(d.toAsk, surveyPrice)
			return
		}
		d.toAsk -= price
		next.probing, next.askedAt = true, d.now
		d.out = append(d.out, Action{Kind: Probe, Worker: next.name})
	}
}

// toProbe returns the worker whose report tells most and how many probes it counts as: the one that the
// newest held job would go to, if what is known of it is old, or else the one that was asked longest ago.
func (d *Dispatcher) toProbe(near []*worker) (next *worker, price float64) {
	var newest *job
	for _, j := range d.open {
		if j.held {
			newest = j
		}
	}
	least := math.Inf(1)
	for _, w := range near {
		age := d.now - w.askedAt
		if w.state != Ready || w.probing || age < reportAge/4 {
			continue
		}
		l, counts := 1e9-age.Seconds(), surveyPrice
		if newest != nil && (age >= 2*reportAge || d.warmth(w) < 1) && d.room(w) >= 1 {
			l, counts = d.predict(w, newest)*d.factor(w), 1
		}
		if l < least {
			next, least, price = w, l, counts
		}
	}
	return next, price
}

func (d *Dispatcher) probed(e *Event) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	d.closeDrained(w)
	if w.probing = false; e.Outcome == OK {
		w.broken = 0
		d.report(w, e.Report)
	} else if e.Outcome == Reset {
		d.broke(w)
	} else if w.alive < d.now-e.Elapsed && e.Outcome != Full && e.Outcome != Moot && e.Outcome != Failed {
		d.fail(w)
	}
}

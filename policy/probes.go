package policy

// This file decides when to call for the list of workers, and which workers to probe for load reports.

import "math"

const surveyProbePrice = 2.5 // how many probes one counts for that helps no pending job

// requestUpdates calls for the list of workers if that is due, and sends the probes that are due. A call that
// brings no answer is repeated after half of MaxListAge.
func (d *Dispatcher) requestUpdates() {
	if !d.cfg.ListOnDemand {
		d.listCallAt = never
	} else if d.now >= d.listCallAt {
		d.listRequested, d.listCallAt = true, d.now+max(d.cfg.MaxListAge/2, d.roundInterval)
		d.actions = append(d.actions, Action{Kind: Subscribe})
	}
	d.probe()
}

// probe probes candidate workers while probes are due. Each job that arrives adds probesPerJob due
// probes. So the cost of probes is bounded per request, and the reports can arrive before the round that
// places the job. If no worker is worth a probe, or the price of the next probe exceeds the due probes,
// at most surveyProbePrice probes stay due.
func (d *Dispatcher) probe() {
	for d.probesDue >= 1 && d.cfg.MayProbe && d.cfg.LoadReports {
		next, price := d.probeTarget(d.candidates())
		if next == nil || price > d.probesDue {
			d.probesDue = min(d.probesDue, surveyProbePrice)
			return
		}
		d.probesDue -= price
		next.probing, next.probedAt = true, d.now
		d.actions = append(d.actions, Action{Kind: Probe, Worker: next.name})
	}
}

// probeTarget returns the worker to probe next, or nil, and the price of the probe, in due probes. If a
// job is pending, it prefers workers with a free slot that were last probed at least 2 x assumedReportAge
// ago, or that are warming up, so that their load changes fast. Of these it returns the cheapest worker
// for the newest pending job, at a price of 1. If there are none, it returns the worker that was probed
// longest ago, at a price of surveyProbePrice.
func (d *Dispatcher) probeTarget(workers []*worker) (next *worker, price float64) {
	var newest *job
	for _, j := range d.openJobs {
		if j.pending {
			newest = j
		}
	}
	best := math.Inf(1)
	for _, w := range workers {
		age := d.now - w.probedAt
		if w.state != Ready || w.probing || age < assumedReportAge/4 {
			continue
		}
		score, counts := 1e9-age.Seconds(), surveyProbePrice
		if newest != nil && (age >= 2*assumedReportAge || d.minCapacity(w) < 1) && d.freeSlots(w) >= 1 {
			score, counts = d.predictRuntime(w, newest)*d.costFactor(w), 1
		}
		if score < best {
			next, best, price = w, score, counts
		}
	}
	return next, price
}

// probeEnded records the end of a probe, and the state of the worker that its outcome shows. An outcome
// is no failure if it comes from a live worker or from this scheduler itself, or if the worker showed
// progress since the probe was sent.
func (d *Dispatcher) probeEnded(e *Event) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	d.closeDrained(w)
	if w.probing = false; e.Outcome == OK {
		w.brokenConns = 0
		d.applyReport(w, e.Report)
	} else if e.Outcome == Reset {
		d.connectionBroke(w)
	} else if o := e.Outcome; w.lastProgress < d.now-e.Elapsed && o != Full && o != Moot && o != Failed {
		d.recordFailure(w)
	}
}

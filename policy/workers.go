package policy

// What is known of workers: the list, load reports, free slots and signs of failure.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	assumedQueue  = 0.15 // queued jobs per slot at a full worker whose reports omit the queue
	blockTargets  = 4    // shortest latency targets for which a failing worker is first blocked
	maxFails      = 4    // failures that count; each after the first doubles that time
	minNear       = 12   // least number of workers considered at first
	maxNearFactor = 4    // considered at most, in multiples of those at first
	nearOverlap   = 8    // or so many times a scheduler's even part of the workers, if more
)

func (d *Dispatcher) handleList(e *Event) {
	d.logChange(&d.listLost, e.Kind == ListUnavailable, listLost)
	switch maxBackoff := max(d.set.MaxListAge/2, d.roundInterval); {
	case e.Kind == ListUnavailable: // jitter that grows, as all schedulers may have lost it at once
		wait := d.roundInterval + time.Duration(d.rng.Int64N(int64(d.listBackoff)))
		d.listRequested, d.listCallAt, d.listBackoff = false, d.now+wait, min(2*d.listBackoff, maxBackoff)
		return
	case e.Kind == ListRestored: // all may have started at once
		d.listBackoff = min(maxBackoff, d.roundInterval*time.Duration(d.set.Schedulers))
		d.listCallAt = d.now + time.Duration(d.rng.Int64N(int64(d.listBackoff)))
	case d.listRequested:
		d.listRequested, d.listCallAt, d.listBackoff = false, never, d.roundInterval
	}
	if e.Kind != ListChanged {
		for _, w := range d.order {
			w.state = Removed
		}
	}
	for _, m := range e.Members {
		d.applyMember(m)
	}
	d.order = slices.DeleteFunc(d.order, func(w *worker) bool {
		d.closeDrained(w)
		removed := w.state == Removed && len(w.inFlight) == 0 && !w.probing && d.warmth(w) >= 1
		if removed {
			delete(d.workers, w.name)
		}
		return removed
	})
	slices.SortFunc(d.order, func(a, b *worker) int { return cmp.Compare(a.rank, b.rank) })
	d.warming = append(d.warming[:0], d.order...)
	d.warming = slices.DeleteFunc(d.warming, func(w *worker) bool { return d.warmth(w) >= 1 })
	d.homes = sort.Search(len(d.order), func(i int) bool { return d.order[i].rank >= otherZoneRank })
	d.scheduleRound()
}

// near returns the workers that this scheduler considers, in an order of its own: those of its own zone, and
// others where crossing is cheap. After a round that left jobs pending the next considers more, of all zones.
func (d *Dispatcher) near() []*worker {
	first := max(minNear, nearOverlap*len(d.order)/d.live)
	d.reach = min(max(d.reach, first), maxNearFactor*first)
	abroad := d.reach - min(d.homes, first)
	if d.set.CrossZonePrice <= cheapCrossing {
		abroad += first
	}
	end := min(len(d.order), d.homes+abroad)
	d.view = append(append(d.view[:0], d.order[:min(d.homes, d.reach)]...), d.order[d.homes:end]...)
	for _, w := range d.warming {
		if d.inWarmingBudget(w, d.meanRun) && !slices.Contains(d.view, w) {
			d.view = append(d.view, w)
		}
	}
	return d.view
}

func (d *Dispatcher) applyMember(m Member) {
	w := d.workers[m.Worker]
	if w == nil {
		w = &worker{name: m.Worker, hash: hashOf(m.Worker) & 0xffffff, slow: 1, started: m.Started,
			othersAt: -time.Hour, probedAt: -time.Hour}
		d.workers[m.Worker] = w
		w.rank = int64(hashOf(fmt.Sprint(m.Worker, d.set.Number)))
		d.order = append(d.order, w)
	}
	if m.Started != w.started { // a new process, which its predecessor's failures don't count against
		w.started, w.suspectedAt, w.fails, w.blockedUntil, w.slow, w.idle = m.Started, 0, 0, 0, 1, nil
		w.brokenConns, w.rejections = 0, 0
	}
	w.state = m.State
	if m.State == Removed && w.kind != nil {
		return // a removal may give the name only
	}
	if w.zone, w.cell, w.rank = m.Zone, m.Cell, w.rank%otherZoneRank; w.zone != d.set.Zone {
		w.rank += otherZoneRank
	}
	if d.kinds[m.Kind] == nil {
		d.kinds[m.Kind] = &kind{name: m.Kind}
		d.fleet = append(d.fleet, d.kinds[m.Kind])
	}
	w.kind = d.kinds[m.Kind]
}

// closeDrained closes idle connections to a draining or removed worker, whenever one may have become idle.
func (d *Dispatcher) closeDrained(w *worker) {
	if d.set.DrainClose > 0 && w.state != Ready {
		w.idle = nil
		d.out = append(d.out, Action{Kind: CloseIdle, Worker: w.name})
	}
}

func (w *worker) removeAttempt(a *attempt, now time.Duration) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(x *attempt) bool { return x == a })
	w.busy -= a.j.slots
	w.memory -= a.j.memory
	if a.running {
		w.running -= a.j.slots
	}
	w.past = slices.DeleteFunc(w.past, func(p span) bool { return now-p.ended > reportAge })
	w.past = append(w.past, span{a.sent, now, a.j.slots})
}

// report applies a load report. It is assumed to show the worker as it was reportAge ago: slots that own jobs
// used at that time are subtracted, so that no job counts twice.
func (d *Dispatcher) report(w *worker, r Report) {
	w.seenMemory = max(w.seenMemory, math.Round(r.FreeMemory))
	if !(r.FreeSlots >= 0 && r.FreeSlots < 1e6) { // not reported, or implausible
		return
	}
	free := math.Round(r.FreeSlots)
	then, own := d.now-reportAge, 0.0
	for _, a := range w.inFlight {
		if a.sent < then {
			own += a.j.slots
		}
	}
	for _, p := range w.past {
		if p.sent < then && p.ended > then {
			own += p.slots
		}
	}
	if d.lastReport, w.seen, w.freeAt = d.now, max(w.seen, free), 0; free >= 1 {
		w.freeAt = d.now
	}
	w.kind.seen = max(w.kind.seen, free)
	w.others, w.othersAt = max(0, d.slots(w)-free-own+max(0, math.Round(r.Queued))), d.now
	d.othersUse += reportWeight * (min(1, w.others/d.slots(w)) - d.othersUse)
	used := 1 + (max(0, r.Queued)-free)/d.slots(w)
	if r.Queued < 0 && free < 1 {
		used += assumedQueue
	}
	d.use += reportWeight * (min(2, used) - d.use)
	d.scheduleRound()
}

// slots estimates how many slots w has: the most that it or its kind reported free or ran of ours at once.
func (d *Dispatcher) slots(w *worker) float64 {
	if !d.set.Reports {
		return w.maxRunning + 1 // allow one more; a late start shows if there is none
	}
	return max(1, w.seen, w.kind.seen, w.maxRunning)
}

// freeSlots estimates the free slots of w: none while an own job or probe waits there, whether w hangs or is
// paused, or others' jobs fill it.
func (d *Dispatcher) freeSlots(w *worker) float64 {
	waits := func(a *attempt) bool { return !a.running }
	if w.state != Ready || d.now < w.blockedUntil && !d.failOpen || slices.ContainsFunc(w.inFlight, waits) ||
		w.probing && d.now > w.probedAt+d.minTarget/2 {
		return 0
	}
	free := d.slots(w) - w.busy - d.othersSlots(w)
	if w.fails > 0 && !d.failOpen { // recovering from failures: one job at a time
		free = min(free, 1-float64(len(w.inFlight)))
	}
	return math.Floor(free + 0.5)
}

// othersSlots estimates the slots that other schedulers use at w. What a report or a start showed decays,
// within about a job's runtime, to the mean of all workers, and that to 0 while no report arrives: where only
// responses bring reports, a scheduler that takes all for full sends nothing and would never learn better.
func (d *Dispatcher) othersSlots(w *worker) float64 {
	age, unheard := (d.now - w.othersAt).Seconds(), (d.now - max(d.lastReport, d.born)).Seconds()
	usual := d.othersUse * d.slots(w) * d.meanRun / (d.meanRun + unheard)
	return w.others + (usual-w.others)*age/(age+d.meanRun)
}

// recordFailure blocks w after a sign that it fails, each time for twice as long. Then it gets single jobs
// that may be repeated. Where nearly all workers look unhealthy, none is avoided.
func (d *Dispatcher) recordFailure(w *worker) {
	if d.now >= w.blockedUntil {
		w.fails = min(maxFails, math.Floor(w.fails)+1)
		w.blockedUntil = d.now + blockTargets*d.minTarget<<int(w.fails-1)
	}
}

// connectionBroke counts a broken connection. One may break by itself; the next without a success fails w.
func (d *Dispatcher) connectionBroke(w *worker) bool {
	if w.brokenConns++; w.brokenConns > 1 {
		d.recordFailure(w)
	}
	return w.brokenConns > 1
}

// estimatedUse returns the fraction of slots in use, without reports, as if all schedulers used as many.
func (d *Dispatcher) estimatedUse() float64 {
	busy, all := 0.0, 1.0
	for _, w := range d.order {
		if w.state == Ready {
			busy, all = busy+w.busy, all+w.kind.seen*d.likelyWarmth(w)
		}
	}
	return min(2, busy*float64(d.live)/all)
}

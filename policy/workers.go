package policy

// This file keeps the state of the workers: the list, load reports, the estimates of free slots, and
// signs of failure.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	assumedQueuePerSlot  = 0.15 // assumed queued jobs per slot of a full worker, if reports omit the queue
	firstBlockTargets    = 4    // how long the first failure blocks a worker, in shortest latency targets
	maxFailures          = 4    // most failures that count; each after the first doubles the block
	minCandidates        = 12   // least number of candidate workers, if there are that many
	maxCandidateFactor   = 4    // most candidates, as a multiple of their usual number
	candidateShareFactor = 8    // how many schedulers consider each worker on average, at least
)

// handleList applies a list, a change of it, or its loss. All schedulers may have started or lost the
// list together. So each calls for it after a random delay, within a bound that doubles with each loss.
// After a start the bound is proportional to the number of schedulers. It is half of MaxListAge at most.
//
// A worker that isn't on a complete list is treated as removed. It is dropped once no attempt or probe is in
// flight to it and it has warmed up, so that a worker that is removed and listed again in between keeps its
// state.
func (d *Dispatcher) handleList(e *Event) {
	d.logChange(&d.listLost, e.Kind == ListUnavailable, listLostText)
	switch maxBackoff := max(d.cfg.MaxListAge/2, d.roundInterval); {
	case e.Kind == ListUnavailable:
		wait := d.roundInterval + time.Duration(d.rng.Int64N(int64(d.listBackoff)))
		d.listRequested, d.listCallAt, d.listBackoff = false, d.now+wait, min(2*d.listBackoff, maxBackoff)
		return
	case e.Kind == ListRestored:
		d.listBackoff = min(maxBackoff, d.roundInterval*time.Duration(d.cfg.Schedulers))
		d.listCallAt = d.now + time.Duration(d.rng.Int64N(int64(d.listBackoff)))
	case d.listRequested:
		d.listRequested, d.listCallAt, d.listBackoff = false, never, d.roundInterval
	}
	if e.Kind != ListChanged {
		for _, w := range d.byRank {
			w.state = Removed
		}
	}
	for _, m := range e.Members {
		d.applyMember(m)
	}
	d.byRank = slices.DeleteFunc(d.byRank, func(w *worker) bool {
		d.closeDrained(w)
		removed := w.state == Removed && len(w.inFlight) == 0 && !w.probing && d.minCapacity(w) >= 1
		if removed {
			delete(d.workers, w.name)
		}
		return removed
	})
	slices.SortFunc(d.byRank, func(a, b *worker) int { return cmp.Compare(a.rank, b.rank) })
	d.warmingWorkers = append(d.warmingWorkers[:0], d.byRank...)
	d.warmingWorkers = slices.DeleteFunc(d.warmingWorkers,
		func(w *worker) bool { return d.minCapacity(w) >= 1 })
	d.ownZoneWorkers = sort.Search(len(d.byRank),
		func(i int) bool { return d.byRank[i].rank >= otherZoneRankOffset })
	d.scheduleRound()
}

// candidates returns the candidates: the workers that the next round or probe considers. Each scheduler
// has its own order of the workers, so different schedulers have different candidates, and a step costs
// little where there are many schedulers.
//
//   - At first there are minCandidates, or candidateShareFactor times the scheduler's even part of the
//     workers if that is more. They are in the own zone, and in other zones only if the own zone has
//     fewer workers.
//   - Where crossing zones is cheap, as many workers of other zones are added.
//   - A round that left jobs without a pairing doubles the number, up to maxCandidateFactor times as many,
//     and adds workers of other zones. Each round takes an eighth off again.
//   - Any worker that is warming up is added if a job of mean runtime fits its budget.
func (d *Dispatcher) candidates() []*worker {
	base := max(minCandidates, candidateShareFactor*len(d.byRank)/d.liveSchedulers)
	d.candidateLimit = min(max(d.candidateLimit, base), maxCandidateFactor*base)
	otherZones := d.candidateLimit - min(d.ownZoneWorkers, base)
	if d.cfg.CrossZonePrice <= cheapCrossZonePrice {
		otherZones += base
	}
	end := min(len(d.byRank), d.ownZoneWorkers+otherZones)
	d.candidateBuffer = append(append(d.candidateBuffer[:0],
		d.byRank[:min(d.ownZoneWorkers, d.candidateLimit)]...), d.byRank[d.ownZoneWorkers:end]...)
	for _, w := range d.warmingWorkers {
		if d.inWarmUpBudget(w, d.meanRuntime) && !slices.Contains(d.candidateBuffer, w) {
			d.candidateBuffer = append(d.candidateBuffer, w)
		}
	}
	return d.candidateBuffer
}

// applyMember applies an entry of the list.
func (d *Dispatcher) applyMember(m Member) {
	w := d.workers[m.Worker]
	if w == nil {
		w = &worker{name: m.Worker, nameHash: hashName(m.Worker) & 0xffffff, learnedSlowness: 1,
			started: m.Started, othersSlotsAt: -time.Hour, probedAt: -time.Hour}
		d.workers[m.Worker] = w
		w.rank = int64(hashName(fmt.Sprint(m.Worker, d.cfg.Number)))
		d.byRank = append(d.byRank, w)
	}
	if m.Started != w.started { // a new process: observations of its predecessor are no longer valid
		w.started, w.suspectedRestartAt, w.failures, w.blockedUntil, w.learnedSlowness, w.idleConns =
			m.Started, 0, 0, 0, 1, nil
		w.brokenConns, w.rejections = 0, 0
	}
	w.state = m.State
	if m.State == Removed && w.kind != nil {
		return // a removal may have no field but the name
	}
	if w.zone, w.cell, w.rank = m.Zone, m.Cell, w.rank%otherZoneRankOffset; w.zone != d.cfg.Zone {
		w.rank += otherZoneRankOffset
	}
	if d.kinds[m.Kind] == nil {
		d.kinds[m.Kind] = &kind{name: m.Kind}
		d.kindList = append(d.kindList, d.kinds[m.Kind])
	}
	w.kind = d.kinds[m.Kind]
}

// closeDrained closes the idle connections to a draining or removed worker, if DrainCloseTimeout asks for
// that. It must be called whenever a connection to w may have become idle, or w's state may have changed.
func (d *Dispatcher) closeDrained(w *worker) {
	if d.cfg.DrainCloseTimeout > 0 && w.state != Ready {
		w.idleConns = nil
		d.actions = append(d.actions, Action{Kind: CloseIdle, Worker: w.name})
	}
}

// removeAttempt removes an attempt that ended now from the attempts in flight to w.
func (w *worker) removeAttempt(a *attempt, now time.Duration) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(x *attempt) bool { return x == a })
	w.busySlots -= a.j.slots
	w.ownMemory -= a.j.memory
	if a.running {
		w.runningSlots -= a.j.slots
	}
	w.recentlyEnded = slices.DeleteFunc(w.recentlyEnded,
		func(p attemptSpan) bool { return now-p.ended > assumedReportAge })
	w.recentlyEnded = append(w.recentlyEnded, attemptSpan{a.sent, now, a.j.slots})
}

// applyReport applies a load report, which is assumed to show the worker as it was assumedReportAge ago.
// To get the slots that others used then, it subtracts the free slots and the slots of own jobs at that
// time from all slots, and adds the queue. Without subtracting own jobs it would count them twice, as own
// and as others'.
func (d *Dispatcher) applyReport(w *worker, r Report) {
	w.maxFreeMemory = max(w.maxFreeMemory, math.Round(r.FreeMemory))
	if !(r.FreeSlots >= 0 && r.FreeSlots < 1e6) { // not reported, or implausible
		return
	}
	free := math.Round(r.FreeSlots)
	measuredAt, ownSlots := d.now-assumedReportAge, 0.0
	for _, a := range w.inFlight {
		if a.sent < measuredAt {
			ownSlots += a.j.slots
		}
	}
	for _, p := range w.recentlyEnded {
		if p.sent < measuredAt && p.ended > measuredAt {
			ownSlots += p.slots
		}
	}
	if d.lastReport, w.maxFreeSlots, w.freeSlotReportAt = d.now, max(w.maxFreeSlots, free), 0; free >= 1 {
		w.freeSlotReportAt = d.now
	}
	w.kind.maxSlots = max(w.kind.maxSlots, free)
	w.othersSlots, w.othersSlotsAt = max(0, d.slots(w)-free-ownSlots+max(0, math.Round(r.Queued))), d.now
	d.othersSlotUse += reportWeight * (min(1, w.othersSlots/d.slots(w)) - d.othersSlotUse)
	used := 1 + (max(0, r.Queued)-free)/d.slots(w)
	if r.Queued < 0 && free < 1 {
		used += assumedQueuePerSlot
	}
	d.slotUse += reportWeight * (min(2, used) - d.slotUse)
	d.scheduleRound()
}

// slots estimates how many slots w has: the most that were seen free, or in use by own jobs at once, at w or
// at any worker of its kind. Without reports it is one more than the most in own use at w.
func (d *Dispatcher) slots(w *worker) float64 {
	if !d.cfg.LoadReports {
		return w.maxRunningSlots + 1 // one more, to try whether there is one: if not, the job starts late
	}
	return max(1, w.maxFreeSlots, w.kind.maxSlots, w.maxRunningSlots)
}

// freeSlots estimates the free slots of w. There are none while w is not ready or blocked, while an own job
// there hasn't started, or while a probe is unanswered for half the shortest latency target: either w hangs,
// or the jobs of others fill it. A worker that is recovering from failures gets one job at a time.
func (d *Dispatcher) freeSlots(w *worker) float64 {
	waits := func(a *attempt) bool { return !a.running }
	if w.state != Ready || d.now < w.blockedUntil && !d.failOpen || slices.ContainsFunc(w.inFlight, waits) ||
		w.probing && d.now > w.probedAt+d.minTarget/2 {
		return 0
	}
	free := d.slots(w) - w.busySlots - d.estimateOthersSlots(w)
	if w.failures > 0 && !d.failOpen {
		free = min(free, 1-float64(len(w.inFlight)))
	}
	return math.Floor(free + 0.5)
}

// estimateOthersSlots estimates the slots that other schedulers use at w. Let a be the time since they were
// last observed there, u the time since any worker's last report, and r the mean runtime. The estimate goes
// from the observed value to the usual one, and the usual one goes to 0 while no report arrives:
//
//	usual = othersSlotUse x slots x r/(r+u)
//	estimate = observed + (usual - observed) x a/(a+r)
//
// The decay of the usual value guards against a scheduler that stops sending forever. If only responses
// bring reports, a scheduler that takes all workers for full sends no jobs, so it gets no report that shows
// free slots.
func (d *Dispatcher) estimateOthersSlots(w *worker) float64 {
	age, sinceReport := (d.now - w.othersSlotsAt).Seconds(),
		(d.now - max(d.lastReport, d.firstStepAt)).Seconds()
	usual := d.othersSlotUse * d.slots(w) * d.meanRuntime / (d.meanRuntime + sinceReport)
	return w.othersSlots + (usual-w.othersSlots)*age/(age+d.meanRuntime)
}

// recordFailure blocks w after a sign of failure, unless it is blocked. The block lasts twice as long with
// each failure. After the block w gets one job at a time, and no job of an unsafe class, until enough
// attempts there succeeded. While nearly all candidates look unhealthy, these rules are suspended
// (failOpen).
func (d *Dispatcher) recordFailure(w *worker) {
	if d.now >= w.blockedUntil {
		w.failures = min(maxFailures, math.Floor(w.failures)+1)
		w.blockedUntil = d.now + firstBlockTargets*d.minTarget<<int(w.failures-1)
	}
}

// connectionBroke records a broken connection, and reports whether it is a failure of w. A single
// connection may break without w's fault. The next one is a failure if there was no success between them.
func (d *Dispatcher) connectionBroke(w *worker) bool {
	if w.brokenConns++; w.brokenConns > 1 {
		d.recordFailure(w)
	}
	return w.brokenConns > 1
}

// estimateSlotUse estimates the fraction of slots in use where there are no reports: it takes all live
// schedulers to use as many slots as this one. It returns at most 2.
func (d *Dispatcher) estimateSlotUse() float64 {
	busy, all := 0.0, 1.0
	for _, w := range d.byRank {
		if w.state == Ready {
			busy, all = busy+w.busySlots, all+w.kind.maxSlots*d.typicalCapacity(w)
		}
	}
	return min(2, busy*float64(d.liveSchedulers)/all)
}

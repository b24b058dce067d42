package policy

// This file is about workers that are warming up after a start: how much of its full capacity such a worker
// has, and how much work all schedulers together may send it.
//
// A worker that is warming up fails if it is sent too much within OverloadWindow. Let C be the work, in
// slot-seconds, that its least present capacity completes in that time. The schedulers don't talk to each
// other about a worker; each keeps to its share of the budget, so that all together send at most
//
//	budgetMargin x OverloadFactor x C
//
// in any time of length OverloadWindow. As C grows, the budget of each interval uses the C at its time.
// inWarmUpBudget lists the two exceptions from this rule.

import (
	"math"
	"slices"
	"time"
)

const (
	budgetMargin = 0.6 // fraction of the budget to use, as predicted runtimes err
	// A typical worker warms up so fast that it would get from MinStartCapacity to 1 in this fraction of
	// MaxWarmUpTime.
	typicalWarmUpFraction = 0.7
	// A typical worker starts at this fraction of the way from MinStartCapacity to 1.
	typicalStartFraction = 0.15
	intervalsPerWindow   = 4                      // intervals in an OverloadWindow
	freshReportAge       = 200 * time.Millisecond // a load report is fresh for this time after its arrival
)

// minCapacity returns the least fraction of its full capacity that w has now. It grows linearly from
// MinStartCapacity at the start to 1 after MaxWarmUpTime. If a worker refused a connection at once or
// dropped running jobs, that time is taken as its start until the list shows a later one: many workers may
// have restarted together.
func (d *Dispatcher) minCapacity(w *worker) float64 {
	since := max(w.started, w.suspectedRestartAt)
	if since == 0 || d.cfg.MaxWarmUpTime <= 0 || d.now >= since+d.cfg.MaxWarmUpTime {
		return 1
	}
	return d.cfg.MinStartCapacity +
		(1-d.cfg.MinStartCapacity)*max(0, d.now-since).Seconds()/d.cfg.MaxWarmUpTime.Seconds()
}

// typicalCapacity returns the fraction of its full capacity that a worker like w typically has now. The
// settings have the lowest start and the longest warm-up of any worker, and few workers have both. If w
// differs from the typical worker, its slowness shows that.
func (d *Dispatcher) typicalCapacity(w *worker) float64 {
	atLeast := d.minCapacity(w)
	return min(1, (atLeast-d.cfg.MinStartCapacity)/typicalWarmUpFraction+d.cfg.MinStartCapacity+
		typicalStartFraction*(1-d.cfg.MinStartCapacity))
}

// inWarmUpBudget reports whether a job of this much work, in slot-seconds, may be sent to w now. A worker
// that has warmed up has no limit. For a worker that is warming up the rules are:
//
//  1. Time is divided into intervals, intervalsPerWindow to an OverloadWindow. A time of that length overlaps
//     at most intervalsPerWindow + 1 intervals, so the budget of one interval is the whole budget divided by
//     that number.
//  2. Each scheduler number has an equal share of an interval's budget. After its first job in an
//     interval, a scheduler sends another job only if all its work in the interval fits the shares of its
//     active numbers.
//  3. The first job may be larger than the share S of a number. Of all numbers, the fraction S/work may send
//     it, so that all together still send the budget. Which ones these are differs between intervals and
//     workers: each number has a position in [0, 1), the positions are evenly spaced, and those below S/work
//     may send. A job that is not larger than S may always be sent.
//
// There are two exceptions:
//
//   - A scheduler that started after w uses a third of its share for an OverloadWindow, as it doesn't know
//     how much its predecessor sent.
//   - A fresh report of a free slot shows that no earlier work waits at w, so only the work sent until
//     the next report must be limited. The share is raised to that of a budget of (OverloadFactor - 1) x
//     C for each freshReportAge, less the margin.
func (d *Dispatcher) inWarmUpBudget(w *worker, work float64) bool {
	capacity := d.minCapacity(w)
	if capacity >= 1 || d.cfg.OverloadFactor <= 0 || d.cfg.OverloadWindow <= 0 {
		return true
	}
	window := d.cfg.OverloadWindow.Seconds()
	// This scheduler's share of C, less the margin.
	ownWork := budgetMargin * capacity * max(1, w.kind.maxSlots) * window * d.budgetShare()
	share := ownWork * d.cfg.OverloadFactor / (intervalsPerWindow + 1)
	if d.now < d.firstStepAt+d.cfg.OverloadWindow && d.firstStepAt > w.started {
		share /= 3
	}
	if w.freeSlotReportAt > 0 && d.now < w.freeSlotReportAt+freshReportAge {
		share = max(share,
			ownWork*(d.cfg.OverloadFactor-1)*window/intervalsPerWindow/freshReportAge.Seconds())
	}
	interval := d.now / max(1, d.cfg.OverloadWindow/intervalsPerWindow)
	if w.budgetInterval != interval {
		w.budgetInterval, w.budgetUsed = interval, 0
	}
	if w.budgetUsed > 0 {
		return w.budgetUsed+work <= share
	}
	offset := float64(rendezvousHash(uint32(interval), w.nameHash)) / (math.MaxUint32 + 1)
	return slices.ContainsFunc(d.activeNumbers(), func(n int) bool {
		_, position := math.Modf(offset + float64(n)/float64(d.cfg.Schedulers))
		return position*work < share/float64(len(d.activeNumbers()))
	})
}

package policy

// Workers that are warming up after a start, and how much work all schedulers together may send them.

import (
	"math"
	"slices"
	"time"
)

const (
	budgetMargin    = 0.6                    // fraction of the warming budget to use, as predictions err
	warmsWithin     = 0.7                    // fraction of WarmUpTime within which most workers are warm
	startsAbove     = 0.15                   // fraction of the way from MinWarmth to 1 at which most start
	budgetIntervals = 4                      // intervals in an OverloadWindow, each with another order
	freshFor        = 200 * time.Millisecond // a load report that arrived within this time still holds
)

// warmth is the fraction of its capacity that w has at least. One that refused a connection at once, or
// dropped what ran there, counts as restarted before the list shows it: all may have restarted together.
func (d *Dispatcher) warmth(w *worker) float64 {
	since := max(w.started, w.suspectedAt)
	if since == 0 || d.set.WarmUpTime <= 0 || d.now >= since+d.set.WarmUpTime {
		return 1
	}
	return d.set.MinWarmth + (1-d.set.MinWarmth)*max(0, d.now-since).Seconds()/d.set.WarmUpTime.Seconds()
}

// likelyWarmth is the fraction of its capacity that w usually has: the settings have the worst start and
// the longest time, and hardly any worker has both. Its slowness corrects what w differs by.
func (d *Dispatcher) likelyWarmth(w *worker) float64 {
	warm := d.warmth(w)
	return min(1, (warm-d.set.MinWarmth)/warmsWithin+d.set.MinWarmth+startsAbove*(1-d.set.MinWarmth))
}

// inWarmingBudget reports whether so much work, in seconds, may go to w now. All schedulers together stay in
// the budget of a worker that warms up. Every number has an equal part of each interval; a job larger than it
// is sent by a fraction part/job of the numbers, the first in the interval's order. So any window's sum stays
// inside, with all intervals that overlap it. After an own restart a third is used for a window, as what a
// predecessor sends is unknown. After a fresh report of free slots only what is sent until the next counts.
func (d *Dispatcher) inWarmingBudget(w *worker, work float64) bool {
	warm := d.warmth(w)
	if warm >= 1 || d.set.OverloadFactor <= 0 || d.set.OverloadWindow <= 0 {
		return true
	}
	window := d.set.OverloadWindow.Seconds()
	mine := budgetMargin * warm * max(1, w.kind.seen) * window * d.quota()
	part := mine * d.set.OverloadFactor / (budgetIntervals + 1)
	if d.now < d.born+d.set.OverloadWindow && d.born > w.started {
		part /= 3
	}
	if w.freeAt > 0 && d.now < w.freeAt+freshFor {
		part = max(part, mine*(d.set.OverloadFactor-1)*window/budgetIntervals/freshFor.Seconds())
	}
	interval := d.now / max(1, d.set.OverloadWindow/budgetIntervals)
	if w.budgetInterval != interval {
		w.budgetInterval, w.budgetUsed = interval, 0
	}
	if w.budgetUsed > 0 {
		return w.budgetUsed+work <= part
	}
	first := float64(mix(uint32(interval), w.hash)) / (math.MaxUint32 + 1)
	return slices.ContainsFunc(d.activeNumbers(), func(n int) bool { // each has a chance of its own
		_, order := math.Modf(first + float64(n)/float64(d.set.Schedulers))
		return order*work < part/float64(len(d.activeNumbers()))
	})
}

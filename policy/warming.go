package policy

// Workers that started of late, and how much all schedulers together may send them.

import (
	"math"
	"slices"
	"time"
)

const (
	coldMargin  = 0.6                    // share of the cold budget that is used; predictions err
	warmsWithin = 0.7                    // part of the longest time within which most workers are warm
	startsAbove = 0.15                   // part of the way from coldest to full at which most start
	coldTurns   = 4                      // turns in the window of that budget; other schedulers lead in each
	freshFor    = 200 * time.Millisecond // so long after a report came a worker is still much as it shows
)

// warmth is the share of its capacity that w has at least. One that refused a connection at once, or dropped
// what ran there, counts as cold until the list tells of a start: all may have restarted together.
func (d *Dispatcher) warmth(w *worker) float64 {
	since := max(w.started, w.suspect)
	if since == 0 || d.set.ColdFor <= 0 || d.now >= since+d.set.ColdFor {
		return 1
	}
	return d.set.ColdFrom + (1-d.set.ColdFrom)*max(0, d.now-since).Seconds()/d.set.ColdFor.Seconds()
}

// likely is the share of its capacity that w has by the usual course: the settings tell the coldest start and
// the longest time, and hardly any worker has both. What w does then corrects it by its slowness.
func (d *Dispatcher) likely(w *worker) float64 {
	warm := d.warmth(w)
	return min(1, (warm-d.set.ColdFrom)/warmsWithin+d.set.ColdFrom+startsAbove*(1-d.set.ColdFrom))
}

// coldRoom tells whether so much work, in seconds, may go to a cold worker now: all schedulers together stay
// inside its budget. Time is cut into turns, in each of which every number has an equal part; a larger job
// goes out as often as the part is large, by the numbers whose places come first in this turn. In any
// window, turns that only touch it included, the sum stays inside. After an own restart a third is used for
// a window, as what a forerunner did, or does beside us, is unknown. A fresh report of room lets more
// through: only what all send until their reports show it comes beside what the worker does.
func (d *Dispatcher) coldRoom(w *worker, work float64) bool {
	warm := d.warmth(w)
	if warm >= 1 || d.set.FallMultiple <= 0 || d.set.TipAfter <= 0 {
		return true
	}
	window := d.set.TipAfter.Seconds()
	mine := coldMargin * warm * max(1, w.kind.seen) * window * d.share()
	part := mine * d.set.FallMultiple / (coldTurns + 1)
	if d.now < d.born+d.set.TipAfter && d.born > w.started {
		part /= 3
	}
	if w.roomAt > 0 && d.now < w.roomAt+freshFor {
		part = max(part, mine*(d.set.FallMultiple-1)*window/coldTurns/freshFor.Seconds())
	}
	turn := d.now / max(1, d.set.TipAfter/coldTurns)
	if w.coldTurn != turn {
		w.coldTurn, w.coldSent = turn, 0
	}
	if w.coldSent > 0 {
		return w.coldSent+work <= part
	}
	first := float64(mix(uint32(turn), w.hash)) / (math.MaxUint32 + 1)
	return slices.ContainsFunc(d.mine(), func(n int) bool { // each number has its own chance
		_, place := math.Modf(first + float64(n)/float64(d.set.Schedulers))
		return place*work < part/float64(len(d.mine()))
	})
}

package policy

// Rounds: pending jobs are priced against free slots and matched (the Kairos paper's batch matching).

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreypond/internal/assignment"
)

const (
	maxTimeLeftPart   = 0.98 // a pairing must end within this fraction of the job's time left (design)
	failPenalty       = 10   // cost of a pairing that fails the test, in largest times left
	crossZoneWait     = 5    // part of its slack that a job waits for its zone, per unit of price
	maxRoundJobs      = 24   // most jobs matched in one round, so that a round stays cheap
	overloadedAt      = 0.95 // fraction of slots in use, queues included, at which late jobs are given up
	overdueRuns       = 3    // an attempt is overdue after so many predicted runtimes and its target
	maxUnhealthyRatio = 4    // unhealthy workers for each healthy one beyond which none is avoided
	loadWeight        = 0.6  // how much more a full worker costs than an empty one
	crossZoneWeight   = 4    // how often the price of crossing zones counts in a pairing's cost
	rejectionWeight   = 1.0  // how much more each job that it recently rejected makes a worker cost
)

// scheduleRound schedules a round at the next point of the scheduler's time grid. Grids are shifted, so that
// schedulers in step don't all pick the same worker at once.
func (d *Dispatcher) scheduleRound() {
	shift := d.roundInterval * time.Duration(d.set.Number) / time.Duration(d.set.Schedulers)
	if d.roundAt == never {
		d.roundAt = (d.now-shift)/d.roundInterval*d.roundInterval + d.roundInterval + shift
	}
}

// round matches pending jobs to free slots at the least total cost and sends what fits, cheapest first.
func (d *Dispatcher) round() {
	jobs := d.pendingJobs()
	if len(jobs) == 0 {
		return
	}
	near, maxLeft := d.near(), 0.0
	d.assess(near)
	for _, j := range jobs {
		maxLeft = max(maxLeft, (j.due - d.now).Seconds())
	}
	costs, slots := d.costs(jobs, near, maxLeft)
	var pairs []pair
	maxCost := failPenalty * maxLeft
	if !d.set.Reports && d.use < lightLoad { // without reports the estimates may be wrong, and slots are free
		maxCost *= 10
	}
	for i, p := range assignment.Solve(costs, len(slots)) {
		if p >= 0 && costs[i][p] < maxCost {
			pairs = append(pairs, pair{jobs[i], slots[p], costs[i][p]})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return cmp.Compare(a.cost, b.cost) })
	for _, p := range pairs {
		if d.fits(p.w, p.j) && d.maySend(p.j, p.w) {
			d.send(p.j, p.w)
		}
	}
	for _, j := range jobs {
		if j.pending && d.shouldGiveUp(j, j.size) {
			d.finish(j)
		}
	}
	if d.reach -= d.reach / 8; len(pairs) < len(jobs) {
		d.reach *= 2
		d.scanAt = min(d.scanAt, d.now+d.minTarget/2) // time alone frees slots: blocks and warm-ups end
	}
}

// assess updates what the round takes for granted of the workers near by: who is avoided, and the overload.
func (d *Dispatcher) assess(near []*worker) {
	unhealthy, healthy := 0, 0
	d.zoneUsable = false
	for _, w := range near {
		if w.state == Ready && w.fails > 0 {
			unhealthy++
		} else if w.state == Ready {
			healthy++
			d.zoneUsable = d.zoneUsable || w.zone == d.set.Zone
		}
	}
	if !d.set.Reports {
		d.use += reportWeight * (d.estimatedUse() - d.use)
	}
	d.logChange(&d.failOpen, unhealthy > maxUnhealthyRatio*healthy, failingOpen)
	d.logChange(&d.overload, d.use > overloadedAt || d.overload && d.use > 0.9*overloadedAt, givingUpLate)
}

// costs returns the cost of each job in each free slot of near, and the worker of each slot.
func (d *Dispatcher) costs(jobs []*job, near []*worker, maxLeft float64) (_ [][]float64, slots []*worker) {
	fastest := math.Inf(1)
	for _, k := range d.fleet {
		fastest = min(fastest, k.runtime(d.largest))
	}
	costs := make([][]float64, len(jobs))
	for _, w := range near {
		n := min(int(d.freeSlots(w)), len(jobs))
		c := fastest / max(w.kind.runtime(d.largest), 1e-9)
		for i := 0; n > 0 && i < len(jobs); i++ {
			costs[i] = append(costs[i], slices.Repeat([]float64{d.cost(jobs[i], w, c, maxLeft)}, n)...)
		}
		slots = append(slots, slices.Repeat([]*worker{w}, max(0, n))...)
	}
	return costs, slots
}

// pendingJobs returns the jobs of this round by rank, and in order of arrival among equals.
func (d *Dispatcher) pendingJobs() []*job {
	jobs := slices.DeleteFunc(slices.Clone(d.open), func(j *job) bool { return !j.pending })
	rank := func(j *job) float64 { return d.rank(j, j.size) }
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(rank(a), rank(b)) })
	return jobs[:min(len(jobs), maxRoundJobs)]
}

// rank returns a job's rank, each step of which costs a pairing the round's largest time left: jobs within
// their tenant's allowance first, then those that make their target if they run so long. Others may starve.
func (d *Dispatcher) rank(j *job, run float64) (r float64) {
	if j.overQuota {
		r = 2
	}
	if d.now+seconds(run) > j.targetBy {
		r++
	}
	return r
}

// cost prices a pairing: C_j x L_ij with the design's test and penalty; small factors choose among equals.
// Without reports a fetch counts against the target only as far as workers are full.
func (d *Dispatcher) cost(j *job, w *worker, c, maxLeft float64) float64 {
	if !d.maySend(j, w) || j.class.Semantics == Unsafe && w.fails > 0 && !d.failOpen || d.staysInZone(j, w) {
		return 100 * failPenalty * maxLeft
	}
	l := d.predict(w, j)
	price := c*l*d.factor(w) + d.rank(j, l)*maxLeft
	if l > maxTimeLeftPart*(j.due-d.now).Seconds() {
		return 100 * failPenalty * maxLeft
	}
	if !d.set.Reports {
		l -= d.fetch(w, j) * max(0, 1-d.use)
	}
	if j.class.LateValue == 0 && d.now+seconds(l) > j.targetBy {
		return failPenalty*maxLeft + price
	}
	return price
}

// factor returns by how much prices, its jobs and its rejections raise the cost of a pairing with w.
func (d *Dispatcher) factor(w *worker) float64 {
	f := 1 + loadWeight*(w.busy+d.othersSlots(w))/d.slots(w) + rejectionWeight*float64(w.rejections)
	if w.zone != d.set.Zone {
		f += crossZoneWeight * d.set.CrossZonePrice
	}
	if n := len(w.idle); n == 0 || w.idle[n-1] <= d.now-d.set.ConnIdle {
		f += d.set.HandshakePrice
	}
	return f
}

// fits reports whether w has the slots and, where reported, the memory for j.
func (d *Dispatcher) fits(w *worker, j *job) bool {
	return d.freeSlots(w) >= min(j.slots, d.slots(w)) &&
		(w.seenMemory <= 0 || w.memory == 0 || w.memory+j.memory <= w.seenMemory)
}

// staysInZone keeps j from crossing zones for a part of its slack that grows with the price of crossing.
func (d *Dispatcher) staysInZone(j *job, w *worker) bool {
	if w.zone == d.set.Zone || d.set.CrossZonePrice <= cheapCrossing || !d.zoneUsable || len(j.attempts) > 0 {
		return false
	}
	slack := (j.targetBy - j.arrived).Seconds() - j.size
	return (d.now - j.arrived).Seconds() < min(1, crossZoneWait*d.set.CrossZonePrice)*slack
}

func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{j: j, w: w, n: len(j.attempts), sent: d.now, wasWarming: d.warmth(w) < 1}
	a.predicted, a.fetch, a.slow = d.predict(w, j), d.fetch(w, j), d.slowness(w)
	if a.n > 0 && j.attempts[a.n-1].cancelled {
		a.moveWeight = moveWeight
	}
	j.attempts = append(j.attempts, a)
	j.pending = false
	w.inFlight = append(w.inFlight, a)
	w.busy += j.slots
	w.memory += j.memory
	if n := len(w.idle); n > 0 {
		w.idle = w.idle[:n-1]
	}
	if a.wasWarming {
		w.budgetUsed += w.kind.runtime(j.size) * j.slots
	}
	j.check = d.now + j.class.LatencyTarget/checksPerTarget
	if !d.set.ReportsStarts { // it counts as running from the send on
		a.running, a.started = true, d.now
		j.check = d.now + seconds(overdueRuns*a.predicted) + j.class.LatencyTarget
		w.running += j.slots
	}
	j.check = min(j.check, j.due+d.set.ResponseGrace/2)
	d.scanAt = min(d.scanAt, j.check)
	by := time.Duration(0)
	first := j.attempts[slices.IndexFunc(j.attempts, mayHaveRun)]
	if first != a && j.class.Semantics == Keyed {
		by = first.sent + j.class.Window
	}
	d.out = append(d.out, Action{Kind: Send, ID: j.id, Worker: w.name, By: by})
}

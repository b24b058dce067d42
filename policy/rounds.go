package policy

// Rounds: the pending jobs are matched to free slots in batches, as in the Kairos paper. A round takes these
// steps:
//
//  1. It takes the pending jobs by rank, maxRoundJobs at most, and the free slots of the candidate workers.
//  2. It prices each pairing of a job and a slot. A forbidden pairing costs far more than the limit of step
//     4.
//  3. It finds the one-to-one assignment of jobs to slots with the least total cost.
//  4. It sends the pairings below a cost limit, the cheapest first, checking each again, as earlier sends of
//     the round use up slots and budgets.
//  5. It gives up the remaining jobs that can no longer meet their target, see shouldGiveUp.
//
// All costs scale with T, the longest time left of a job of the round in seconds. Each step in rank costs
// T, about as much as the longest runtime that fits. If a late response has no value, missing the target
// costs targetMissPenalty x T, more than all ranks.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreypond/internal/assignment"
)

const (
	maxTimeLeftFraction   = 0.98 // a pairing must end within this fraction of the job's time left
	targetMissPenalty     = 10   // cost, in T, of missing a target if a late response has no value
	crossZoneWaitPerPrice = 5    // fraction of its slack that a job waits for its zone, per point of price
	maxRoundJobs          = 24   // most jobs matched in one round; the matching takes cubic time
	overloadSlotUse       = 0.95 // slotUse above which late jobs are given up
	overdueRuntimes       = 3    // predicted runtimes, plus the target, after which an attempt is late
	maxUnhealthyRatio     = 4    // unhealthy workers per healthy one above which none is avoided
	loadWeight            = 0.6  // added to the cost factor of a full worker
	crossZoneWeight       = 4    // added to the cost factor of another zone, per point of price
	rejectionWeight       = 1.0  // added to a worker's cost factor per recent rejection
)

// scheduleRound schedules a round at the next point of the scheduler's time grid, unless one is scheduled.
// The points are roundInterval apart, and the grids of the schedulers are evenly shifted against each other.
// Otherwise schedulers that get reports or requests at the same time would all pick the same worker at once.
func (d *Dispatcher) scheduleRound() {
	shift := d.roundInterval * time.Duration(d.cfg.Number) / time.Duration(d.cfg.Schedulers)
	if d.roundAt == never {
		d.roundAt = (d.now-shift)/d.roundInterval*d.roundInterval + d.roundInterval + shift
	}
}

// round holds a round, by the steps at the head of this file.
func (d *Dispatcher) round() {
	jobs := d.pendingJobs()
	if len(jobs) == 0 {
		return
	}
	workers, maxLeft := d.candidates(), 0.0
	d.assessCandidates(workers)
	for _, j := range jobs {
		maxLeft = max(maxLeft, (j.deadline - d.now).Seconds())
	}
	costs, slots := d.costs(jobs, workers, maxLeft)
	var pairs []pair
	maxCost := targetMissPenalty * maxLeft
	// Without reports the estimates may be wrong: while slots are free, a job that seems to miss its target
	// is sent as well.
	if !d.cfg.LoadReports && d.slotUse < lightSlotUse {
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
	if d.candidateLimit -= d.candidateLimit / 8; len(pairs) < len(jobs) {
		d.candidateLimit *= 2
		d.scanAt = min(d.scanAt, d.now+d.minTarget/2) // blocks and warm-ups end without an event
	}
}

// assessCandidates updates the conditions that hold for the whole round: whether unhealthy workers are
// avoided, whether a worker in the own zone is healthy, and whether there is an overload. An overload ends
// only at nine tenths of overloadSlotUse, so that it doesn't begin and end with every report.
func (d *Dispatcher) assessCandidates(workers []*worker) {
	unhealthy, healthy := 0, 0
	d.ownZoneUsable = false
	for _, w := range workers {
		if w.state == Ready && w.failures > 0 {
			unhealthy++
		} else if w.state == Ready {
			healthy++
			d.ownZoneUsable = d.ownZoneUsable || w.zone == d.cfg.Zone
		}
	}
	if !d.cfg.LoadReports {
		d.slotUse += reportWeight * (d.estimateSlotUse() - d.slotUse)
	}
	d.logChange(&d.failOpen, unhealthy > maxUnhealthyRatio*healthy, failOpenText)
	d.logChange(&d.overloaded,
		d.slotUse > overloadSlotUse || d.overloaded && d.slotUse > 0.9*overloadSlotUse, overloadText)
}

// costs returns the cost of each job, by row, in each free slot, by column, and the worker of each slot. All
// free slots of a worker cost the same. The speed of a worker's kind, relative to the fastest kind, is taken
// from their runtimes for the largest job seen.
func (d *Dispatcher) costs(jobs []*job, workers []*worker, maxLeft float64) (_ [][]float64, slots []*worker) {
	fastest := math.Inf(1)
	for _, k := range d.kindList {
		fastest = min(fastest, k.runtime(d.largestSize))
	}
	costs := make([][]float64, len(jobs))
	for _, w := range workers {
		n := min(int(d.freeSlots(w)), len(jobs))
		speed := fastest / max(w.kind.runtime(d.largestSize), 1e-9)
		for i := 0; n > 0 && i < len(jobs); i++ {
			costs[i] = append(costs[i], slices.Repeat([]float64{d.cost(jobs[i], w, speed, maxLeft)}, n)...)
		}
		slots = append(slots, slices.Repeat([]*worker{w}, max(0, n))...)
	}
	return costs, slots
}

// pendingJobs returns the jobs of this round by rank, and in the order of arrival within a rank.
func (d *Dispatcher) pendingJobs() []*job {
	jobs := slices.DeleteFunc(slices.Clone(d.openJobs), func(j *job) bool { return !j.pending })
	rank := func(j *job) float64 { return d.rank(j, j.size) }
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(rank(a), rank(b)) })
	return jobs[:min(len(jobs), maxRoundJobs)]
}

// rank returns the rank of a job that would run for this many seconds. The lowest goes first:
//
//	0  within the tenant's allowance, meets its target
//	1  within the tenant's allowance, misses its target
//	2  beyond the tenant's allowance, meets its target
//	3  beyond the tenant's allowance, misses its target
//
// Under lasting load the higher ranks may starve.
func (d *Dispatcher) rank(j *job, run float64) (r float64) {
	if j.overQuota {
		r = 2
	}
	if d.now+seconds(run) > j.targetBy {
		r++
	}
	return r
}

// cost returns the cost of running j on w:
//
//	speed x runtime x costFactor(w) + rank x T
//
// speed is that of the worker's kind relative to the fastest kind. runtime is the predicted runtime in
// seconds. T is maxLeft. The speed makes time on fast kinds expensive, so that it is left for the jobs
// that need it (C_j x L_ij of the Kairos paper).
//
// A pairing costs 100 x targetMissPenalty x T if it is forbidden, or would end after maxTimeLeftFraction
// of the job's time left. If a late response has no value, a pairing that misses the target costs
// targetMissPenalty x T more. Without reports the predicted fetch is added to the runtime for this check
// only in proportion to the slots in use, because the prediction may be wrong.
func (d *Dispatcher) cost(j *job, w *worker, speed, maxLeft float64) float64 {
	if !d.maySend(j, w) || j.class.Semantics == Unsafe && w.failures > 0 && !d.failOpen ||
		d.staysInZone(j, w) {
		return 100 * targetMissPenalty * maxLeft
	}
	runtime := d.predictRuntime(w, j)
	cost := speed*runtime*d.costFactor(w) + d.rank(j, runtime)*maxLeft
	if runtime > maxTimeLeftFraction*(j.deadline-d.now).Seconds() {
		return 100 * targetMissPenalty * maxLeft
	}
	if !d.cfg.LoadReports {
		runtime -= d.fetchTime(w, j) * max(0, 1-d.slotUse)
	}
	if j.class.LateValue == 0 && d.now+seconds(runtime) > j.targetBy {
		return targetMissPenalty*maxLeft + cost
	}
	return cost
}

// costFactor returns the factor on the cost of each pairing with w: 1 for an idle worker in the own zone to
// which a connection is open. The use of its slots, rejections, a crossing of zones and a handshake add to
// it.
func (d *Dispatcher) costFactor(w *worker) float64 {
	f := 1 + loadWeight*(w.busySlots+d.estimateOthersSlots(w))/d.slots(w) +
		rejectionWeight*float64(w.rejections)
	if w.zone != d.cfg.Zone {
		f += crossZoneWeight * d.cfg.CrossZonePrice
	}
	if n := len(w.idleConns); n == 0 || w.idleConns[n-1] <= d.now-d.cfg.ConnIdleTimeout {
		f += d.cfg.HandshakePrice
	}
	return f
}

// fits reports whether w has the slots and the memory for j. A job that needs more slots than w has fits if
// all are free. Memory counts only if w reports it and own jobs already occupy some there.
func (d *Dispatcher) fits(w *worker, j *job) bool {
	return d.freeSlots(w) >= min(j.slots, d.slots(w)) &&
		(w.maxFreeMemory <= 0 || w.ownMemory == 0 || w.ownMemory+j.memory <= w.maxFreeMemory)
}

// staysInZone reports whether j must not go to w yet since w is in another zone. If crossing is expensive and
// a worker in the own zone is healthy, a job's first attempt waits for the own zone, for a fraction of its
// slack that grows with the price. The slack is the time from arrival to target less the job's expected work.
func (d *Dispatcher) staysInZone(j *job, w *worker) bool {
	if w.zone == d.cfg.Zone || d.cfg.CrossZonePrice <= cheapCrossZonePrice || !d.ownZoneUsable ||
		len(j.attempts) > 0 {
		return false
	}
	slack := (j.targetBy - j.arrived).Seconds() - j.size
	return (d.now - j.arrived).Seconds() < min(1, crossZoneWaitPerPrice*d.cfg.CrossZonePrice)*slack
}

// send sends an attempt for j to w and counts it among w's. For a keyed request, the first byte of a repeated
// attempt must be sent while the workers still drop duplicates of the first attempt that may have run.
func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{j: j, w: w, index: len(j.attempts), sent: d.now, wasWarming: d.minCapacity(w) < 1}
	a.predicted, a.predictedFetch, a.slowness = d.predictRuntime(w, j), d.fetchTime(w, j), d.slowness(w)
	if a.index > 0 && j.attempts[a.index-1].cancelled {
		a.moveWeight = movedAttemptWeight
	}
	j.attempts = append(j.attempts, a)
	j.pending = false
	w.inFlight = append(w.inFlight, a)
	w.busySlots += j.slots
	w.ownMemory += j.memory
	if n := len(w.idleConns); n > 0 {
		w.idleConns = w.idleConns[:n-1]
	}
	if a.wasWarming {
		w.budgetUsed += w.kind.runtime(j.size) * j.slots
	}
	j.nextCheck = d.now + j.class.LatencyTarget/checksPerTarget
	if !d.cfg.ReportsStarts { // the attempt is assumed to run from the send on
		a.running, a.started = true, d.now
		j.nextCheck = d.now + seconds(overdueRuntimes*a.predicted) + j.class.LatencyTarget
		w.runningSlots += j.slots
	}
	j.nextCheck = min(j.nextCheck, j.deadline+d.cfg.ResponseGrace/2)
	d.scanAt = min(d.scanAt, j.nextCheck)
	firstByteBy := time.Duration(0)
	earliest := j.attempts[slices.IndexFunc(j.attempts, mayHaveRun)]
	if earliest != a && j.class.Semantics == Keyed {
		firstByteBy = earliest.sent + j.class.DedupWindow
	}
	d.actions = append(d.actions, Action{Kind: Send, ID: j.id, Worker: w.name, FirstByteBy: firstByteBy})
}

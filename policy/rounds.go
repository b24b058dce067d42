package policy

// Rounds: held jobs are priced against places and matched.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreypond/internal/assignment"
)

const (
	timeLeftTest  = 0.98 // a pairing must end within this share of the job's time left (design)
	failPenalty   = 10   // a failing pairing costs so many times the round's largest time left
	crossPatience = 5    // part of its slack that a job waits for its own zone, per unit of price
	roundJobs     = 24   // held jobs looked at in one round, so that a round stays cheap
	packed        = 0.95 // share of slots in use, with queues, at which late jobs are given up
	overdueRuns   = 3    // an attempt is overdue after this many predicted runtimes plus its aim
	sickShare     = 4    // sick workers for each healthy one from which on none is avoided
	spread        = 0.6  // how much a full worker is dearer than an empty one, at equal runtimes
	crossWeight   = 4    // how often the price of a crossing counts in a pairing's cost
	turnedWeight  = 1.0  // how much each job that a worker turned away of late makes it dearer
)

// wantRound has held jobs matched at the next moment of the round's grid. Schedulers' grids are shifted
// against each other so that those in step do not all pick the same worker at once.
func (d *Dispatcher) wantRound() {
	shift := d.roundGap * time.Duration(d.set.Number) / time.Duration(d.set.Schedulers)
	if d.roundAt == never {
		d.roundAt = (d.now-shift)/d.roundGap*d.roundGap + d.roundGap + shift
	}
}

// round matches held jobs to places one-to-one at the least total cost and sends what fits, cheapest first.
func (d *Dispatcher) round() {
	jobs := d.pick()
	if len(jobs) == 0 {
		return
	}
	sick, ready := 0, 0
	d.home = false
	near := d.near()
	for _, w := range near {
		if w.state == Ready && w.fails > 0 {
			sick++
		} else if w.state == Ready {
			ready++
			d.home = d.home || w.zone == d.set.Zone
		}
	}
	if !d.set.Reports {
		d.full += reportWeight * (d.likelyFull() - d.full)
	}
	d.note(&d.failOpen, sick > sickShare*ready, "nearly all workers near by look sick and none is avoided")
	d.note(&d.overload, d.full > packed || d.overload && d.full > 0.9*packed, "late jobs are given up")
	fastest, maxLeft := math.Inf(1), 0.0
	for _, k := range d.fleet {
		fastest = min(fastest, k.runtime(d.largest))
	}
	for _, j := range jobs {
		maxLeft = max(maxLeft, (j.due - d.now).Seconds())
	}
	var places []*worker
	costs := make([][]float64, len(jobs))
	for _, w := range near {
		n := min(int(d.room(w)), len(jobs))
		c := fastest / max(w.kind.runtime(d.largest), 1e-9)
		for i := 0; n > 0 && i < len(jobs); i++ {
			costs[i] = append(costs[i], slices.Repeat([]float64{d.cost(jobs[i], w, c, maxLeft)}, n)...)
		}
		places = append(places, slices.Repeat([]*worker{w}, max(0, n))...)
	}
	var pairs []pair
	dearest := failPenalty * maxLeft
	if !d.set.Reports && d.full < calm { // such guesses may be wrong, and there is room
		dearest *= 10
	}
	for i, p := range assignment.Solve(costs, len(places)) {
		if p >= 0 && costs[i][p] < dearest {
			pairs = append(pairs, pair{jobs[i], places[p], costs[i][p]})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return cmp.Compare(a.cost, b.cost) })
	for _, p := range pairs {
		if d.fits(p.w, p.j) && d.maySend(p.j, p.w) {
			d.send(p.j, p.w)
		}
	}
	for _, j := range jobs {
		if j.held && d.hopeless(j, j.size) {
			d.finish(j)
		}
	}
	if d.reach -= d.reach / 8; len(pairs) < len(jobs) {
		d.reach *= 2
		d.scanAt = min(d.scanAt, d.now+d.minAim/2) // time alone may bring room: blocks and cold windows end
	}
}

// pick returns the jobs of this round: those inside their share first, in order of arrival.
func (d *Dispatcher) pick() (jobs []*job) {
	for _, j := range d.open {
		if j.held {
			jobs = append(jobs, j)
		}
	}
	rank := func(j *job) float64 { return d.rank(j, j.size) }
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(rank(a), rank(b)) })
	return jobs[:min(len(jobs), roundJobs)]
}

// rank tells what goes first, in units of the round's largest time left: jobs inside their tenant's share,
// and among them those that make their aim if they run for l seconds. Late ones may starve.
func (d *Dispatcher) rank(j *job, l float64) (r float64) {
	if j.over {
		r = 2
	}
	if d.now+seconds(l) > j.aimBy {
		r++
	}
	return r
}

// cost prices a pairing: C_j x L_ij with the design's test and penalty; small factors choose among equals.
// Where no reports are, a fetch counts against the aim as far as workers are full only.
func (d *Dispatcher) cost(j *job, w *worker, c, maxLeft float64) float64 {
	if !d.maySend(j, w) || j.class.Semantics == Unsafe && w.fails > 0 && !d.failOpen || d.stayHome(j, w) {
		return 100 * failPenalty * maxLeft
	}
	l := d.predict(w, j)
	price := c*l*d.factor(w) + d.rank(j, l)*maxLeft
	if l > timeLeftTest*(j.due-d.now).Seconds() {
		return 100 * failPenalty * maxLeft
	}
	if !d.set.Reports {
		l -= d.fetch(w, j) * max(0, 1-d.full)
	}
	if j.class.LateWorth == 0 && d.now+seconds(l) > j.aimBy {
		return failPenalty*maxLeft + price
	}
	return price
}

// factor tells how much dearer a pairing with w is made by prices and by how full it is.
func (d *Dispatcher) factor(w *worker) float64 {
	f := 1 + spread*(w.busy+d.held(w))/d.slots(w) + turnedWeight*float64(w.turned)
	if w.zone != d.set.Zone {
		f += crossWeight * d.set.CrossZonePrice
	}
	if n := len(w.idle); n == 0 || w.idle[n-1] <= d.now-d.set.ConnIdle {
		f += d.set.HandshakePrice
	}
	return f
}

// fits tells whether w has the slots and, where told, the memory for j.
func (d *Dispatcher) fits(w *worker, j *job) bool {
	return d.room(w) >= min(j.slots, d.slots(w)) &&
		(w.seenMemory <= 0 || w.memory == 0 || w.memory+j.memory <= w.seenMemory)
}

// stayHome keeps j from crossing zones for a part of its slack that grows with the price of a crossing.
func (d *Dispatcher) stayHome(j *job, w *worker) bool {
	if w.zone == d.set.Zone || d.set.CrossZonePrice <= cheapCrossing || !d.home || len(j.attempts) > 0 {
		return false
	}
	slack := (j.aimBy - j.arrived).Seconds() - j.size
	return (d.now - j.arrived).Seconds() < min(1, crossPatience*d.set.CrossZonePrice)*slack
}

func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{j: j, w: w, n: len(j.attempts), sent: d.now, wasCold: d.warmth(w) < 1}
	a.predicted, a.fetch, a.slow = d.predict(w, j), d.fetch(w, j), d.slowness(w)
	if a.n > 0 && j.attempts[a.n-1].withdraw {
		a.tells = moveMemory
	}
	j.attempts = append(j.attempts, a)
	j.held = false
	w.out = append(w.out, a)
	w.busy += j.slots
	w.memory += j.memory
	if n := len(w.idle); n > 0 {
		w.idle = w.idle[:n-1]
	}
	if a.wasCold {
		w.coldSent += w.kind.runtime(j.size) * j.slots
	}
	j.check = d.now + j.class.Aim/firstLook
	if !d.set.TellsStart { // as if it ran from the send on
		a.running, a.started, j.check = true, d.now, d.now+seconds(overdueRuns*a.predicted)+j.class.Aim
		w.running += j.slots
	}
	j.check = min(j.check, j.due+d.set.AnswerSlack/2)
	d.scanAt = min(d.scanAt, j.check)
	by := time.Duration(0)
	first := j.attempts[slices.IndexFunc(j.attempts, mayHaveRun)]
	if first != a && j.class.Semantics == Keyed {
		by = first.sent + j.class.Window
	}
	d.out = append(d.out, Action{Kind: Send, ID: j.id, Worker: w.name, By: by})
}

package policy

// api.go has the interface, state.go the types of the module's memory; this file holds every decision.

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"ospreypond/internal/assignment"
)

const (
	timeLeftTest  = 0.98            // a pairing must end within this share of the job's time left (design)
	failPenalty   = 10              // a failing pairing costs so many times the round's largest time left
	crossPatience = 5               // part of its slack that a job waits for its own zone, per unit of price
	cheapCrossing = 0.04            // up to this price a crossing only makes a pairing dearer by it
	roundsPerAim  = 8               // rounds within the shortest aim: waiting for a round costs little of it
	roundJobs     = 24              // held jobs looked at in one round, so that a round stays cheap
	tableMin      = 6               // samples of a size before its table row replaces the linear fit
	packed        = 0.95            // share of slots in use, with queues, at which late jobs are given up
	queueGuess    = 0.15            // queued jobs a slot at a full worker, where reports tell none
	crowdMemory   = 0.05            // weight of the newest report in how full workers are of others' jobs
	slowMemory    = 0.2             // weight of the newest runtime in a worker's own slowness
	moveMemory    = 0.2             // weight of the newest moved attempt in whether moving helps
	moveReturns   = 0.01            // the same of each other attempt that starts: moves are tried again
	movesLeast    = 0.5             // share of moved attempts that start soon, or none is moved
	firstLook     = 4               // parts of an aim after each of which an attempt is looked at
	overdueRuns   = 3               // an attempt is overdue after this many predicted runtimes plus its aim
	blockAims     = 4               // a failing worker is first left alone for this many of the shortest aims
	sickShare     = 4               // sick workers for each healthy one from which on none is avoided
	failsMax      = 4               // doublings of that time at most
	coldMargin    = 0.6             // share of the cold budget that is used; predictions err
	warmsWithin   = 0.7             // part of the longest time within which most workers are warm
	startsAbove   = 0.15            // part of the way from the coldest start to the full at which most start
	coldTurns     = 4               // turns in the window of that budget, each with other schedulers in front
	spread        = 0.6             // how much a full worker is dearer than an empty one, at equal runtimes
	nearWorkers   = 12              // workers looked at first, at least
	nearWidest    = 4               // times as many at most
	nearOverlap   = 8               // or this many times a scheduler's even share of the workers, if more
	keyMemory     = 5 * time.Second // over which the demand for a key is counted
	keysMost      = 1 << 14         // keys whose demand is known; then all are learnt anew
	homeShare     = 0.7             // share of a worker's slots that one key may fill; then it gets another
	calm          = 0.9             // share of slots in use up to which a key may have a home in each zone
	shortFetch    = 0.35            // mean runtimes up to which a fetch costs less than crossings, and it has
	crossWeight   = 4               // how often the price of a crossing counts in a pairing's cost
	turnedWeight  = 1.0             // how much each job that a worker turned away of late makes it dearer
	homeStep      = 0.2             // of a fetch: how much dearer the other workers that have the key are
	fetchRuns     = 1.2             // mean runtimes that it costs all to fetch what a job needs
	probeShare    = 0.015           // service that the probes for one request may cost
	surveyPrice   = 2.5             // how many of those one probe counts that no job at hand asks for
	probesMost    = 6               // probes for one request, whatever they cost
	reportAge     = time.Second     // assumed age of what a load report shows
)

const never, away = time.Duration(math.MaxInt64), 1 << 32 // later than any moment; added to ranks elsewhere

const freshFor = 200 * time.Millisecond // so long after a report came a worker is still much as it shows

const slowFades = 10 * time.Second // over which a great slowness fades while nothing new shows it

// New returns a dispatcher for one scheduler. The seed is the only source of chance.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if len(s.Classes) == 0 || s.Schedulers < 0 || s.Number < 0 || s.MaxAttempts < 0 {
		return nil, errors.New("policy: Settings: no Classes, or negative Schedulers, Number or MaxAttempts")
	}
	d := &Dispatcher{set: s, rng: rand.New(rand.NewPCG(seed, uint64(s.Number))), minAim: never, born: never,
		classes: map[string]int{}, tenants: map[string]int{}, jobs: map[uint32]*job{},
		workers: map[string]*worker{}, kinds: map[string]*kind{}, keys: map[uint32]*key{}, crowd: 0.5,
		moves: 1, roundAt: never, scanAt: never, askAt: never, armedAt: never}
	for i, c := range s.Classes {
		_, twice := d.classes[c.Name]
		if twice || c.Name == "" || c.Aim < 0 || c.Deadline < 0 || c.Window < 0 || c.Stretch < 0 {
			return nil, fmt.Errorf("policy: Classes[%d] %q: name not unique or a figure negative", i, c.Name)
		}
		d.classes[c.Name], d.means = i, append(d.means, c.Aim.Seconds()/2) // until runtimes are seen
		d.longest = append(d.longest, 0)
		if first := cmp.Or(c.Aim, c.Deadline); first > 0 {
			d.minAim = min(d.minAim, first)
		}
	}
	d.set.Schedulers, d.set.MaxAttempts = max(s.Schedulers, s.Number+1), cmp.Or(s.MaxAttempts, math.MaxInt)
	d.numbers, d.until, d.peers = []int{s.Number}, never, d.set.Schedulers
	d.perJob = min(probesMost, probeShare/max(s.ProbePrice, 1e-9))
	d.minAim = min(d.minAim, time.Minute)
	d.run, d.fetched = d.minAim.Seconds(), fetchRuns*d.minAim.Seconds()
	if !s.Reports { // nothing says that others hold any
		d.crowd = 0
	}
	d.roundGap = max(d.minAim/roundsPerAim, s.Period, time.Millisecond)
	d.backOff = d.roundGap
	for i, t := range s.Tenants {
		d.tenants[t.Name] = i
		d.buckets = append(d.buckets, bucket{tokens: t.Allowance / float64(d.set.Schedulers)})
	}
	return d, nil
}

// Step takes the events of one moment and appends what is to be done to actions.
func (d *Dispatcher) Step(now time.Duration, events []Event, actions []Action) []Action {
	d.now, d.out, d.born = now, actions, min(d.born, now)
	for i := range events {
		d.event(&events[i])
	}
	if now >= d.scanAt {
		d.scan()
		d.wantRound()
	}
	if now >= d.roundAt {
		d.roundAt = never
		d.round()
	}
	d.outside()
	next := min(d.roundAt, d.scanAt, d.askAt)
	if next < never && (d.armedAt > next || d.armedAt <= now) {
		d.armedAt = max(next, now+1)
		d.out = append(d.out, Action{Kind: Arm, At: d.armedAt})
	}
	return d.out
}

func (d *Dispatcher) event(e *Event) {
	switch e.Kind {
	case Request:
		d.arrive(e)
	case AnswerStarted, JobStarted, JobProgress:
		if a := d.attempt(e); a != nil && !a.over {
			a.j.streaming = a.j.streaming || e.Kind == AnswerStarted
			d.start(a)
		}
	case AttemptEnded:
		d.endAttempt(e)
	case ClientGone:
		if j := d.jobs[e.ID]; j != nil {
			d.end(j)
		}
	case ProbeEnded:
		d.probed(e)
	case ListChanged, ListReplaced, ListRestored, ListUnavailable:
		d.list(e)
	case FleetTold:
		d.numbers, d.until, d.peers = e.Numbers, e.Until, max(1, e.Living)
	case Closing:
		d.closing = true
		for _, j := range d.open {
			d.finish(j)
		}
	}
}

// note logs a change for on-call staff: what became true, or is over.
func (d *Dispatcher) note(was *bool, is bool, what string) {
	if *was != is {
		*was = is
		d.out = append(d.out, Action{Kind: Log, Text: fmt.Sprintf("%s: %v", what, is)})
	}
}

func (d *Dispatcher) arrive(e *Event) {
	row, ok := d.classes[e.Class]
	if d.jobs[e.ID] != nil {
		return
	} else if !ok { // the settings do not know its class: nothing ever ran of it
		d.out = append(d.out, Action{Kind: Refuse, ID: e.ID})
		return
	}
	c := &d.set.Classes[row]
	j := &job{id: e.ID, arrived: d.now, due: d.now + e.Left, class: c, row: row, held: true,
		size: d.means[row], slots: max(1, e.Slots), memory: max(0, e.Memory)}
	if e.Work > 0 {
		j.size = e.Work.Seconds()
		d.largest = max(d.largest, j.size)
	}
	if e.Key != "" {
		hash := hashOf(e.Key)
		if d.keys[hash] == nil {
			if len(d.keys) >= keysMost {
				clear(d.keys)
			}
			d.keys[hash] = &key{hash: hash}
		}
		j.key = d.keys[hash]
		j.key.work = j.key.demand(d.now) + j.size*j.slots
		j.key.at = d.now
	}
	j.aimBy = d.now + c.Aim + seconds(c.Stretch*j.size)
	// The aim runs from the first try. A retry has less time left, and shows by that where none is marked.
	d.longest[row] = max(d.longest[row], e.Left)
	whole := d.longest[row]
	if e.Retry {
		whole = max(c.Deadline, e.Left)
	}
	j.aimBy -= whole - e.Left
	if t, ok := d.tenants[e.Tenant]; ok {
		b, rate := &d.buckets[t], d.set.Tenants[t].Allowance*d.share()
		b.tokens, b.at = min(max(1, rate), b.tokens+rate*(d.now-b.at).Seconds()), d.now
		if j.over = b.tokens < 1; !j.over {
			b.tokens--
		}
	}
	d.jobs[j.id] = j
	d.open = append(d.open, j)
	j.check = j.due - d.set.Period
	d.scanAt = min(d.scanAt, j.check)
	d.toAsk += d.perJob
	if d.wantRound(); e.Left <= 0 || d.closing || d.set.MaxOpen > 0 && len(d.jobs) >= d.set.MaxOpen {
		d.finish(j)
	}
}

// maySend decides whether an attempt for j may go to w now. Every send passes here.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	if j.ended || j.streaming || d.now >= j.due || w.state != Ready ||
		len(j.attempts) >= d.set.MaxAttempts || j.class.Kind != "" && j.class.Kind != w.kind.name {
		return false
	}
	for _, a := range j.attempts {
		other := j.class.Semantics == Keyed && !sameGroup(j.class.Scope, a.w, w)
		if !a.neverRan && (!a.over || other) || d.settled(a) {
			return false
		}
	}
	return d.coldRoom(w, w.kind.runtime(j.size)*j.slots)
}

// settled tells whether a may have run and nothing may follow it: workers may no longer know its key by then.
func (d *Dispatcher) settled(a *attempt) bool {
	c := a.j.class
	late := d.now+d.set.ConnectTimeout >= a.sent+c.Window
	return !a.neverRan && (c.Semantics == Unsafe || c.Semantics == Keyed && late)
}

// mayRefuse decides whether j may be refused, which tells its client that a retry is harmless.
func (d *Dispatcher) mayRefuse(j *job) bool {
	harmless := j.class.Semantics == Safe || j.class.Semantics == Keyed && j.class.Scope == ScopeAll
	return !j.ended && !j.streaming && (harmless || !slices.ContainsFunc(j.attempts, mayHaveRun))
}

func mayHaveRun(a *attempt) bool { return !a.neverRan }

func sameGroup(s Scope, a, b *worker) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// finish gives j its final answer.
func (d *Dispatcher) finish(j *job) {
	if j.ended || j.streaming {
		return
	}
	answer := Action{Kind: Fail, ID: j.id}
	if d.mayRefuse(j) {
		answer.Kind, answer.RetryAfter = Refuse, d.set.MaxRetryAfter
	}
	d.out = append(d.out, answer)
	d.end(j)
}

// end forgets j and calls off what is still out for it, so that workers do not run it for nobody.
func (d *Dispatcher) end(j *job) {
	j.ended, j.held = true, false
	delete(d.jobs, j.id)
	for _, a := range j.attempts {
		if !a.over {
			d.jobs[j.id] = j // its outcome is still to come
			d.withdraw(a)
		}
	}
}

func (d *Dispatcher) withdraw(a *attempt) {
	if d.set.Cancel && !a.withdraw && !a.j.streaming {
		a.withdraw = true
		d.out = append(d.out, Action{Kind: Cancel, ID: a.j.id, Attempt: a.n})
	}
}

func (d *Dispatcher) attempt(e *Event) *attempt {
	if j := d.jobs[e.ID]; j != nil && e.Attempt >= 0 && e.Attempt < len(j.attempts) {
		return j.attempts[e.Attempt]
	}
	return nil
}

func (d *Dispatcher) start(a *attempt) {
	a.w.alive = d.now
	if !a.running {
		a.running, a.started, a.w.turned = true, d.now, a.w.turned/2
		d.moves += max(a.tells, moveReturns) * (1 - d.moves)
		a.w.running += a.j.slots
		a.w.most = max(a.w.most, a.w.running)
		a.w.kind.seen = max(a.w.kind.seen, a.w.most)
		if rest := max(0, d.slots(a.w)-a.w.running); d.now <= a.sent+d.minAim/2 {
			a.w.others = min(a.w.others, rest)
		} else { // it waited for a place, so others had all the rest
			a.w.others, a.w.othersAt = max(a.w.others, rest), d.now
		}
		a.j.check = a.j.due + d.set.AnswerSlack/2
		d.wantRound()
	}
}

func (d *Dispatcher) endAttempt(e *Event) {
	a := d.attempt(e)
	if a == nil || a.over {
		return
	}
	j, w := a.j, a.w
	a.over, a.neverRan = true, NeverRan(e.Outcome) && !(e.Doubtful && j.class.Semantics == Unsafe)
	w.drop(a, d.now)
	d.report(w, e.Report)
	switch e.Outcome {
	case OK:
		w.alive, w.idle = d.now, append(w.idle, d.now)
		w.fails, w.broken = max(0, w.fails-0.5), 0
		d.learn(a)
	case Full:
		w.turned++
		w.others, w.othersAt = d.slots(w)-w.busy+1, d.now
	case Reset:
		if d.broke(w) && a.running {
			w.suspect = d.now
		}
	case Failed, TimedOut, ConnectFailed:
		if e.Outcome == ConnectFailed && e.Elapsed < d.set.ConnectTimeout/2 {
			w.suspect = d.now
		}
		if e.Outcome != TimedOut || w.alive < a.sent {
			d.fail(w)
		}
	}
	d.closeDrained(w)
	if e.Complete || j.ended {
		d.end(j)
	} else if !j.streaming {
		d.again(j)
	}
	d.wantRound()
}

// again holds j for another attempt, or ends it where none can follow.
func (d *Dispatcher) again(j *job) {
	over := d.now >= j.due-d.set.Period || len(j.attempts) >= d.set.MaxAttempts
	if over || slices.ContainsFunc(j.attempts, d.settled) {
		d.finish(j)
	} else {
		j.held, j.check = true, j.due-d.set.Period
		d.scanAt = min(d.scanAt, j.check)
	}
}

// scan looks at the open jobs whose moment has come: it ends those out of time and deals with late attempts.
func (d *Dispatcher) scan() {
	d.scanAt = never
	d.open = slices.DeleteFunc(d.open, func(j *job) bool { return j.ended })
	for _, j := range d.open {
		if d.now >= j.check && !j.streaming {
			d.look(j)
		}
		if !j.ended && !j.streaming {
			d.scanAt = min(d.scanAt, j.check)
		}
	}
}

// look deals with a job whose check time has come.
func (d *Dispatcher) look(j *job) {
	last := d.set.AnswerSlack / 2
	if j.held || d.now >= j.due+last {
		d.finish(j)
		return
	}
	j.check = min(j.due+last, d.now+max(d.minAim/firstLook, d.set.Period))
	for _, a := range j.attempts {
		if a.over || a.withdraw || a.running && d.set.TellsStart { // one that runs for long may just be long
			continue
		}
		if d.set.Cancel && !a.running && d.hopeless(j, a.predicted) { // else it would run for nobody
			d.finish(j)
			return
		}
		d.moves, a.tells = d.moves*(1-a.tells), 0
		// Guards against hung, paused and vanished workers: nothing was heard from it since the send.
		// A worker that is only slow loses some sends until its next sign of life.
		silent := a.w.alive < a.sent && d.now >= a.sent+j.class.Aim>>min(2, a.w.turned)
		if silent {
			d.fail(a.w)
		}
		if (silent || !a.running) && d.canMove(a) {
			a.w.turned++
			d.withdraw(a)
		}
	}
}

// canMove tells whether a cancelled attempt could be made up for on another worker that has room now.
func (d *Dispatcher) canMove(a *attempt) bool {
	a.over = true
	defer func() { a.over = false }()
	again := d.set.Cancel && a.j.class.Semantics != Unsafe && d.moves >= movesLeast
	return again && slices.ContainsFunc(d.near(), func(w *worker) bool {
		return w != a.w && d.now <= w.othersAt+reportAge && d.fits(w, a.j) && d.maySend(a.j, w)
	})
}

func (d *Dispatcher) list(e *Event) {
	d.note(&d.listLost, e.Kind == ListUnavailable, listLost)
	switch patience := max(d.set.AskWithin/2, d.roundGap); {
	case e.Kind == ListUnavailable: // spread over longer and longer times, as all may have lost it at once
		d.asking, d.askAt = false, d.now+d.roundGap+time.Duration(d.rng.Int64N(int64(d.backOff)))
		d.backOff = min(2*d.backOff, patience)
		return
	case e.Kind == ListRestored: // all may have started at once
		d.backOff = min(patience, d.roundGap*time.Duration(d.set.Schedulers))
		d.askAt = d.now + time.Duration(d.rng.Int64N(int64(d.backOff)))
	case d.asking:
		d.asking, d.askAt, d.backOff = false, never, d.roundGap // the next loss starts with short waits again
	}
	if e.Kind != ListChanged {
		for _, w := range d.order {
			w.state = Gone
		}
	}
	for _, m := range e.Members {
		d.member(m)
	}
	d.order = slices.DeleteFunc(d.order, func(w *worker) bool {
		d.closeDrained(w)
		gone := w.state == Gone && len(w.out) == 0 && !w.probing && d.warmth(w) >= 1
		if gone {
			delete(d.workers, w.name)
		}
		return gone
	})
	slices.SortFunc(d.order, func(a, b *worker) int { return cmp.Compare(a.rank, b.rank) })
	d.cold = d.cold[:0]
	for _, w := range d.order {
		if d.warmth(w) < 1 {
			d.cold = append(d.cold, w)
		}
	}
	d.homes = sort.Search(len(d.order), func(i int) bool { return d.order[i].rank >= away })
	d.wantRound()
}

// near returns the workers that this scheduler looks at, in an order of its own: its own zone's, and others'
// where crossing is cheap. Where they have no place for a job, the next round looks at more, in all zones.
func (d *Dispatcher) near() []*worker {
	least := max(nearWorkers, nearOverlap*len(d.order)/d.peers)
	d.reach = min(max(d.reach, least), nearWidest*least)
	abroad := d.reach - min(d.homes, least)
	if d.set.CrossZonePrice <= cheapCrossing {
		abroad += least
	}
	end := min(len(d.order), d.homes+abroad)
	d.view = append(append(d.view[:0], d.order[:min(d.homes, d.reach)]...), d.order[d.homes:end]...)
	for _, w := range d.cold {
		if d.coldRoom(w, d.run) && !slices.Contains(d.view, w) {
			d.view = append(d.view, w)
		}
	}
	return d.view
}

func (d *Dispatcher) member(m Member) {
	w := d.workers[m.Worker]
	if w == nil {
		w = &worker{name: m.Worker, hash: hashOf(m.Worker) & 0xffffff, slow: 1, started: m.Started,
			othersAt: -time.Hour, askedAt: -time.Hour}
		d.workers[m.Worker] = w
		w.rank = int64(hashOf(fmt.Sprint(m.Worker, d.set.Number)))
		d.order = append(d.order, w)
	}
	if m.Started != w.started { // a new process: cold, and what its forerunner did does not count
		w.started, w.suspect, w.fails, w.blocked, w.slow, w.idle = m.Started, 0, 0, 0, 1, nil
		w.broken, w.turned = 0, 0
	}
	w.state = m.State
	if m.State == Gone && w.kind != nil {
		return // a removal may name the worker only
	}
	if w.zone, w.cell, w.rank = m.Zone, m.Cell, w.rank%away; w.zone != d.set.Zone {
		w.rank += away
	}
	if d.kinds[m.Kind] == nil {
		d.kinds[m.Kind] = &kind{name: m.Kind}
		d.fleet = append(d.fleet, d.kinds[m.Kind])
	}
	w.kind = d.kinds[m.Kind]
}

// closeDrained closes idle connections to a worker that drains or is gone, whenever one may have become idle.
func (d *Dispatcher) closeDrained(w *worker) {
	if d.set.DrainClose > 0 && w.state != Ready {
		w.idle = nil
		d.out = append(d.out, Action{Kind: CloseIdle, Worker: w.name})
	}
}

func (w *worker) drop(a *attempt, now time.Duration) {
	w.out = slices.DeleteFunc(w.out, func(x *attempt) bool { return x == a })
	w.busy -= a.j.slots
	w.memory -= a.j.memory
	if a.running {
		w.running -= a.j.slots
	}
	w.past = slices.DeleteFunc(w.past, func(p span) bool { return now-p.ended > reportAge })
	w.past = append(w.past, span{a.sent, now, a.j.slots})
}

// report takes in a load report. It is assumed to show the worker as it was reportAge ago: own slots held at
// that time are taken off, so that no job counts twice.
func (d *Dispatcher) report(w *worker, r Report) {
	w.seenMemory = max(w.seenMemory, math.Round(r.FreeMemory))
	if !(r.FreeSlots >= 0 && r.FreeSlots < 1e6) { // none, or nothing to believe
		return
	}
	free := math.Round(r.FreeSlots)
	then, own := d.now-reportAge, 0.0
	for _, a := range w.out {
		if a.sent < then {
			own += a.j.slots
		}
	}
	for _, p := range w.past {
		if p.sent < then && p.ended > then {
			own += p.slots
		}
	}
	if d.heardAt, w.seen, w.roomAt = d.now, max(w.seen, free), 0; free >= 1 {
		w.roomAt = d.now
	}
	w.kind.seen = max(w.kind.seen, free)
	w.others, w.othersAt = max(0, d.slots(w)-free-own+max(0, math.Round(r.Queued))), d.now
	d.crowd += crowdMemory * (min(1, w.others/d.slots(w)) - d.crowd)
	used := 1 + (max(0, r.Queued)-free)/d.slots(w)
	if r.Queued < 0 && free < 1 {
		used += queueGuess
	}
	d.full += crowdMemory * (min(2, used) - d.full)
	d.wantRound()
}

// slots estimates how many slots w has: the most it or its kind was seen to have free or ran of ours at once.
func (d *Dispatcher) slots(w *worker) float64 {
	if !d.set.Reports {
		return w.most + 1 // feel for more; a late start shows when there are none
	}
	return max(1, w.seen, w.kind.seen, w.most)
}

// room estimates the free slots of w. An own job or probe that waits there means none, whatever the reason it
// hangs, pauses, or others filled it.
func (d *Dispatcher) room(w *worker) float64 {
	waits := func(a *attempt) bool { return !a.running }
	if w.state != Ready || d.now < w.blocked && !d.failOpen || w.probing && d.now > w.askedAt+d.minAim/2 ||
		slices.ContainsFunc(w.out, waits) {
		return 0
	}
	free := d.slots(w) - w.busy - d.held(w)
	if w.fails > 0 && !d.failOpen { // the way back from failures: one job at a time
		free = min(free, 1-float64(len(w.out)))
	}
	return math.Floor(free + 0.5)
}

// held estimates the slots that others hold at w. What a report or a start showed fades, within about a job's
// runtime, into how full workers are on the whole. That fades as well once no worker is heard of: where only
// answers bring reports, a scheduler that holds all to be full sends nothing and would never learn better.
func (d *Dispatcher) held(w *worker) float64 {
	age, silence := (d.now - w.othersAt).Seconds(), (d.now - max(d.heardAt, d.born)).Seconds()
	crowd := d.crowd * d.slots(w) * d.run / (d.run + silence)
	return w.others + (crowd-w.others)*age/(age+d.run)
}

// fail notes a sign that w does not work. It is left alone for a while, twice as long each time, and then
// tried with single jobs that may be repeated. Where nearly all look sick, none is avoided.
func (d *Dispatcher) fail(w *worker) {
	if d.now >= w.blocked {
		w.fails = min(failsMax, math.Floor(w.fails)+1)
		w.blocked = d.now + blockAims*d.minAim<<int(w.fails-1)
	}
}

// broke notes a broken connection. One may break by itself; a second one, with nothing well between, counts.
func (d *Dispatcher) broke(w *worker) bool {
	if w.broken++; w.broken > 1 {
		d.fail(w)
	}
	return w.broken > 1
}

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

// mine returns the numbers whose parts of what all share are for this scheduler to use now.
func (d *Dispatcher) mine() []int {
	if own := slices.Index(d.numbers, d.set.Number); own >= 0 && d.now >= d.until {
		return d.numbers[own : own+1]
	}
	return d.numbers
}

func (d *Dispatcher) share() float64 { return float64(len(d.mine())) / float64(d.set.Schedulers) }

func row(size float64) int {
	return max(0, min(39, 24+int(math.Round(2*math.Log2(max(size, 1e-6))))))
}

// learn takes in the runtime of an attempt that was answered.
func (d *Dispatcher) learn(a *attempt) {
	x, y := a.j.size, (d.now - max(a.sent, a.started)).Seconds()
	if !a.running || y <= 0 {
		return
	}
	if a.fetch >= fetchRuns*d.run/2 {
		d.fetches = min(40, d.fetches+1)
		d.fetched += (y - a.predicted + a.fetch - d.fetched) / (d.fetches + 1)
	}
	k := a.w.kind
	ratio := max(0.25, min(4, y/max(a.predicted, 1e-4)*a.slow))
	slow := d.slowness(a.w)
	a.w.slow, a.w.learnt = slow*math.Pow(ratio/slow, slowMemory), d.now
	if a.wasCold { // its slowness tells how fast it really warms; its kind learns nothing
		return
	}
	d.run += 0.05 * (y - d.run)
	d.means[a.j.row] += 0.05 * (y - d.means[a.j.row])
	k.n, k.sx, k.sy, k.sxx, k.sxy = k.n+1, k.sx+x, k.sy+y, k.sxx+x*x, k.sxy+x*y
	r := &k.table[row(x)]
	r.n, r.size, r.run = r.n+1, r.size+x, r.run+y
}

// predict returns L_ij: the seconds that j would run on w now, with the fetch of what it needs.
func (d *Dispatcher) predict(w *worker, j *job) float64 {
	return w.kind.runtime(j.size)*d.slowness(w)/d.likely(w) + d.fetch(w, j)
}

// slowness returns w's runtimes over its kind's. A great one fades, as only jobs show that w is well again.
func (d *Dispatcher) slowness(w *worker) float64 {
	if w.slow < 2 {
		return w.slow
	}
	return max(2, w.slow*math.Exp(-float64(d.now-w.learnt)/float64(slowFades)))
}

// fetch returns the seconds that w is expected to fetch what j needs. Workers keep what they used last, and
// all fetch from one store, which slows down for all when too many do. So each key has an order of workers,
// the same at every scheduler without a word between them, and the first with room keeps what the key needs.
// While slots are left the own zone has a first one too: a second copy is cheaper than crossings.
func (d *Dispatcher) fetch(w *worker, j *job) float64 {
	if j.key == nil {
		return 0
	}
	before, mine, spare := 0, mix(j.key.hash, w.hash), d.full < calm && d.fetched < shortFetch*d.run
	own := spare && w.zone == d.set.Zone
	for _, o := range d.order {
		rival := o != w && o.state == Ready && d.now >= o.blocked && (!own || o.zone == w.zone)
		if rival && mix(j.key.hash, o.hash) > mine {
			before++
		}
	}
	// A key in great demand has several first workers, and schedulers start at different ones of them.
	demand := j.key.demand(d.now) / keyMemory.Seconds() * float64(d.peers)
	homes := 1 + int(demand/(homeShare*d.slots(w)))
	if before < homes {
		turn := (before + homes - d.set.Number%homes) % homes
		return fetchRuns * d.run * homeStep * float64(turn) / float64(homes)
	}
	over := float64(before - homes + 1)
	return fetchRuns * d.run * over / (over + 1)
}

// demand returns the work that came with a key of late, seconds at speed 1; it fades with time.
func (k *key) demand(now time.Duration) float64 {
	return k.work * math.Exp(-float64(now-k.at)/float64(keyMemory))
}

// mix returns a number that orders workers for a key.
func mix(key, worker uint32) uint32 {
	x := uint64(key)<<32 | uint64(worker)
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return uint32(x >> 32)
}

func hashOf(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// runtime returns the seconds that a job of this size runs on a warm worker of this kind.
func (k *kind) runtime(size float64) float64 {
	if r := &k.table[row(size)]; r.n >= tableMin {
		return r.run / r.size * size
	}
	if k.n < 2 {
		return size
	}
	if v := k.n*k.sxx - k.sx*k.sx; v > 1e-9*k.sxx && k.n >= tableMin {
		slope := (k.n*k.sxy - k.sx*k.sy) / v
		if y := k.sy/k.n + slope*(size-k.sx/k.n); slope > 0 && y > size*k.sy/k.sx/4 {
			return y
		}
	}
	return size * k.sy / k.sx
}

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
		d.full += crowdMemory * (d.likelyFull() - d.full)
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
	sort.SliceStable(pairs, func(a, b int) bool { return pairs[a].cost < pairs[b].cost })
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

// likelyFull returns the share of slots in use where no reports tell it, as if all schedulers held as much.
func (d *Dispatcher) likelyFull() float64 {
	busy, all := 0.0, 1.0
	for _, w := range d.order {
		if w.state == Ready {
			busy, all = busy+w.busy, all+w.kind.seen*d.likely(w)
		}
	}
	return min(2, busy*float64(d.peers)/all)
}

// hopeless tells whether j, not started yet, is given up: it would end late and, where workers are full on
// the whole, make others late. It gives up the part of the worth that late answers earn.
func (d *Dispatcher) hopeless(j *job, l float64) bool {
	return (d.overload || j.class.LateWorth == 0) && d.now+seconds(l) > j.aimBy
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

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

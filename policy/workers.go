package policy

// What is known of workers: the list, load reports, room and signs of failure.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	queueGuess  = 0.15 // queued jobs a slot at a full worker, where reports tell none
	blockAims   = 4    // a failing worker is first left alone for this many of the shortest aims
	failsMax    = 4    // doublings of that time at most
	nearWorkers = 12   // workers looked at first, at least
	nearWidest  = 4    // times as many at most
	nearOverlap = 8    // or this many times a scheduler's even share of the workers, if more
)

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
	d.othersHeld += reportWeight * (min(1, w.others/d.slots(w)) - d.othersHeld)
	used := 1 + (max(0, r.Queued)-free)/d.slots(w)
	if r.Queued < 0 && free < 1 {
		used += queueGuess
	}
	d.full += reportWeight * (min(2, used) - d.full)
	d.wantRound()
}

// slots estimates how many slots w has: the most it or its kind was seen to have free or ran of ours at once.
func (d *Dispatcher) slots(w *worker) float64 {
	if !d.set.Reports {
		return w.most + 1 // try one more; a late start shows when there is none
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
	usual := d.othersHeld * d.slots(w) * d.run / (d.run + silence)
	return w.others + (usual-w.others)*age/(age+d.run)
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

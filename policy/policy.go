package policy

// This file has the way of a step through the module. The decisions are in requests.go, attempts.go,
// workers.go, warming.go, runtimes.go, rounds.go and probes.go.

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	cheapCrossing = 0.04        // up to this price a crossing only makes a pairing dearer by it
	roundsPerAim  = 8           // rounds within the shortest aim: waiting for a round costs little of it
	reportWeight  = 0.05        // weight of the newest report in how full workers are of others' jobs
	firstLook     = 4           // parts of an aim after each of which an attempt is looked at
	calm          = 0.9         // share of slots in use up to which a key may have a home in each zone
	fetchRuns     = 1.2         // mean runtimes that it costs all to fetch what a job needs
	probeShare    = 0.015       // service that the probes for one request may cost
	probesMost    = 6           // probes for one request, whatever they cost
	reportAge     = time.Second // assumed age of what a load report shows
)

const never, away = time.Duration(math.MaxInt64), 1 << 32 // later than any moment; added to ranks elsewhere

// New returns a dispatcher for one scheduler. The seed is the only source of chance.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if len(s.Classes) == 0 || s.Schedulers < 0 || s.Number < 0 || s.MaxAttempts < 0 {
		return nil, errors.New("policy: Settings: no Classes, or negative Schedulers, Number or MaxAttempts")
	}
	d := &Dispatcher{set: s, rng: rand.New(rand.NewPCG(seed, uint64(s.Number))), minAim: never, born: never,
		classes: map[string]int{}, tenants: map[string]int{}, jobs: map[uint32]*job{},
		workers: map[string]*worker{}, kinds: map[string]*kind{}, keys: map[uint32]*key{}, othersHeld: 0.5,
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
		d.othersHeld = 0
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

// mine returns the numbers whose parts of what all share are for this scheduler to use now.
func (d *Dispatcher) mine() []int {
	if own := slices.Index(d.numbers, d.set.Number); own >= 0 && d.now >= d.until {
		return d.numbers[own : own+1]
	}
	return d.numbers
}

func (d *Dispatcher) share() float64 { return float64(len(d.mine())) / float64(d.set.Schedulers) }

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

package policy

// This file takes a step through the module. The decisions are in requests.go, attempts.go, workers.go,
// warming.go, runtimes.go, rounds.go and probes.go.

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
	cheapCrossing   = 0.04        // up to this price, crossing zones only adds to a pairing's cost
	roundsPerTarget = 8           // rounds within the shortest latency target
	reportWeight    = 0.05        // weight of the newest report in the means of slots in use
	checksPerTarget = 4           // an attempt is checked after each such part of its target
	lightLoad       = 0.9         // fraction of slots in use up to which a key has a home in each zone
	fetchRuns       = 1.2         // mean runtimes that a fetch costs the whole fleet
	maxProbeCost    = 0.015       // most that the probes for one request may cost, in points
	maxProbes       = 6           // most probes for one request, whatever they cost
	reportAge       = time.Second // assumed age of a load report's content
)

const never, otherZoneRank = time.Duration(math.MaxInt64), 1 << 32 // a time; added to ranks of other zones

// New returns a dispatcher for one scheduler; the same seed and events give the same actions.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if len(s.Classes) == 0 || s.Schedulers < 0 || s.Number < 0 || s.MaxAttempts < 0 {
		return nil, errors.New("policy: Settings: no Classes, or negative Schedulers, Number or MaxAttempts")
	}
	d := &Dispatcher{set: s, rng: rand.New(rand.NewPCG(seed, uint64(s.Number))), minTarget: never,
		born: never, classes: map[string]int{}, tenants: map[string]int{}, jobs: map[uint32]*job{},
		workers: map[string]*worker{}, kinds: map[string]*kind{}, keys: map[uint32]*key{}, othersUse: 0.5,
		moveSuccess: 1, roundAt: never, scanAt: never, listCallAt: never, armedAt: never}
	for i, c := range s.Classes {
		_, twice := d.classes[c.Name]
		if twice || c.Name == "" || c.LatencyTarget < 0 || c.Deadline < 0 || c.Window < 0 || c.Stretch < 0 {
			return nil, fmt.Errorf("policy: Classes[%d] %q: name not unique or a figure negative", i, c.Name)
		}
		d.classes[c.Name], d.maxLeft = i, append(d.maxLeft, 0)
		d.means = append(d.means, c.LatencyTarget.Seconds()/2) // until runtimes are observed
		if first := cmp.Or(c.LatencyTarget, c.Deadline); first > 0 {
			d.minTarget = min(d.minTarget, first)
		}
	}
	d.set.Schedulers, d.set.MaxAttempts = max(s.Schedulers, s.Number+1), cmp.Or(s.MaxAttempts, math.MaxInt)
	d.numbers, d.until, d.live = []int{s.Number}, never, d.set.Schedulers
	d.probesPerJob = min(maxProbes, maxProbeCost/max(s.ProbePrice, 1e-9))
	d.minTarget = min(d.minTarget, time.Minute)
	d.meanRun, d.meanFetch = d.minTarget.Seconds(), fetchRuns*d.minTarget.Seconds()
	if !s.Reports { // then nothing shows others' jobs
		d.othersUse = 0
	}
	d.roundInterval = max(d.minTarget/roundsPerTarget, s.Period, time.Millisecond)
	d.listBackoff = d.roundInterval
	for i, t := range s.Tenants {
		d.tenants[t.Name] = i
		d.buckets = append(d.buckets, bucket{tokens: t.Allowance / float64(d.set.Schedulers)})
	}
	return d, nil
}

// Step handles the events of one moment, of a clock that never goes back, and appends to actions what to do.
func (d *Dispatcher) Step(now time.Duration, events []Event, actions []Action) []Action {
	d.now, d.out, d.born = now, actions, min(d.born, now)
	for i := range events {
		d.handle(&events[i])
	}
	if now >= d.scanAt {
		d.scan()
		d.scheduleRound()
	}
	if now >= d.roundAt {
		d.roundAt = never
		d.round()
	}
	d.requestUpdates()
	next := min(d.roundAt, d.scanAt, d.listCallAt)
	if next < never && (d.armedAt > next || d.armedAt <= now) {
		d.armedAt = max(next, now+1)
		d.out = append(d.out, Action{Kind: Arm, At: d.armedAt})
	}
	return d.out
}

func (d *Dispatcher) handle(e *Event) {
	switch e.Kind {
	case Request:
		d.arrive(e)
	case ResponseStarted, JobStarted, JobProgress:
		if a := d.attempt(e); a != nil && !a.ended {
			a.j.streaming = a.j.streaming || e.Kind == ResponseStarted
			d.start(a)
		}
	case AttemptEnded:
		d.endAttempt(e)
	case ClientDisconnected:
		if j := d.jobs[e.ID]; j != nil {
			d.end(j)
		}
	case ProbeEnded:
		d.probeEnded(e)
	case ListChanged, ListReplaced, ListRestored, ListUnavailable:
		d.handleList(e)
	case FleetUpdated:
		d.numbers, d.until, d.live = e.Numbers, e.Until, max(1, e.Living)
	case Closing:
		d.closing = true
		for _, j := range d.open {
			d.finish(j)
		}
	}
}

// logChange logs for on-call staff that a condition begins or ends.
func (d *Dispatcher) logChange(was *bool, is bool, what string) {
	if *was != is {
		*was = is
		d.out = append(d.out, Action{Kind: Log, Text: fmt.Sprintf("%s: %v", what, is)})
	}
}

// activeNumbers returns the scheduler numbers whose parts of shared budgets this scheduler may use now.
func (d *Dispatcher) activeNumbers() []int {
	if own := slices.Index(d.numbers, d.set.Number); own >= 0 && d.now >= d.until {
		return d.numbers[own : own+1]
	}
	return d.numbers
}

func (d *Dispatcher) quota() float64 {
	return float64(len(d.activeNumbers())) / float64(d.set.Schedulers)
}

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

package policy

// This file creates a dispatcher and passes each step's events to the functions that handle them. The
// decisions are made in these files:
//
//	requests.go   a request from its arrival to its final response; which attempts are allowed
//	attempts.go   how attempts start and end; late attempts
//	workers.go    the list of workers, load reports, free slots, signs of failure
//	warming.go    workers that are warming up
//	runtimes.go   runtime estimates, and the workers that cache a request's data
//	rounds.go     the rounds: pending jobs are matched to free slots
//	probes.go     probes, and calls for the list of workers

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
	cheapCrossZonePrice    = 0.04        // points; up to this price, crossing only adds to a pairing's cost
	roundsPerTarget        = 8           // number of rounds within the shortest latency target
	reportWeight           = 0.05        // weight of the newest sample in slotUse and othersSlotUse
	checksPerTarget        = 4           // checks of an unstarted attempt within its latency target
	lightSlotUse           = 0.9         // slots are plentiful up to this fraction of slots in use
	fetchCostRuns          = 1.2         // assumed cost of a fetch to the whole fleet, in mean runtimes
	maxProbeCostPerRequest = 0.015       // points; most that the probes for one request may cost
	maxProbesPerRequest    = 6           // most probes for one request, even if they are cheaper
	assumedReportAge       = time.Second // assumed age of the data in a load report, at its arrival
)

// never, as a time, is later than every other time: a timer with it isn't set. As a duration it is longer
// than every other one. otherZoneRankOffset is added to the ranks of workers in other zones, so that they
// sort after all workers of the own zone: ranks without it are below 1<<32.
const never, otherZoneRankOffset = time.Duration(math.MaxInt64), 1 << 32

// New returns a dispatcher for one scheduler. It returns an error for settings without classes, for a class
// name that is empty or used twice, and for negative figures. Dispatchers with the same settings and seed
// return the same actions for the same events.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if len(s.Classes) == 0 || s.Schedulers < 0 || s.Number < 0 || s.MaxAttempts < 0 {
		return nil, errors.New("policy: Settings: no Classes, or negative Schedulers, Number or MaxAttempts")
	}
	d := &Dispatcher{cfg: s, rng: rand.New(rand.NewPCG(seed, uint64(s.Number))), minTarget: never,
		firstStepAt: never, classes: map[string]int{}, tenants: map[string]int{}, jobs: map[uint32]*job{},
		workers: map[string]*worker{}, kinds: map[string]*kind{}, keys: map[uint32]*key{}, othersSlotUse: 0.5,
		moveSuccess: 1, roundAt: never, scanAt: never, listCallAt: never, armedAt: never}
	for i, c := range s.Classes {
		_, isDuplicate := d.classes[c.Name]
		if isDuplicate || c.Name == "" || c.LatencyTarget < 0 || c.Deadline < 0 || c.DedupWindow < 0 ||
			c.Stretch < 0 {
			return nil, fmt.Errorf("policy: Classes[%d] %q: empty or duplicate name, or a negative figure",
				i, c.Name)
		}
		d.classes[c.Name], d.maxTimeLeft = i, append(d.maxTimeLeft, 0)
		d.classMeanRuntime = append(d.classMeanRuntime, c.LatencyTarget.Seconds()/2) // until runtimes show
		if target := cmp.Or(c.LatencyTarget, c.Deadline); target > 0 {
			d.minTarget = min(d.minTarget, target)
		}
	}
	d.cfg.Schedulers, d.cfg.MaxAttempts = max(s.Schedulers, s.Number+1), cmp.Or(s.MaxAttempts, math.MaxInt)
	d.numbers, d.numbersUntil, d.liveSchedulers = []int{s.Number}, never, d.cfg.Schedulers
	d.probesPerJob = min(maxProbesPerRequest, maxProbeCostPerRequest/max(s.ProbePrice, 1e-9))
	d.minTarget = min(d.minTarget, time.Minute) // also where no class has a target or a deadline
	d.meanRuntime, d.meanFetchTime = d.minTarget.Seconds(), fetchCostRuns*d.minTarget.Seconds()
	if !s.LoadReports { // without reports the slots that others use are unknown
		d.othersSlotUse = 0
	}
	d.roundInterval = max(d.minTarget/roundsPerTarget, s.MinStepInterval, time.Millisecond)
	d.listBackoff = d.roundInterval
	for i, t := range s.Tenants {
		d.tenants[t.Name] = i
		d.buckets = append(d.buckets, tokenBucket{tokens: t.Allowance / float64(d.cfg.Schedulers)})
	}
	return d, nil
}

// Step handles the events of the time now and returns actions with the actions to carry out appended. The
// times of successive calls must not decrease.
//
// A step first applies the events in their order. Then it checks the open jobs and holds a round, if these
// are due, and sends the calls and probes that are due. Finally it sets a timer for the next check, round or
// call for the list, unless one is already set for that time or before.
func (d *Dispatcher) Step(now time.Duration, events []Event, actions []Action) []Action {
	d.now, d.actions, d.firstStepAt = now, actions, min(d.firstStepAt, now)
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
		d.actions = append(d.actions, Action{Kind: ArmTimer, At: d.armedAt})
	}
	return d.actions
}

// handle applies an event to the state. TimerFired changes no state: it only causes the step.
func (d *Dispatcher) handle(e *Event) {
	switch e.Kind {
	case Request:
		d.arrive(e)
	case ResponseStarted, JobStarted, JobProgress:
		if a := d.attempt(e); a != nil && !a.ended {
			a.j.streaming = a.j.streaming || e.Kind == ResponseStarted
			d.recordStart(a)
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
		d.numbers, d.numbersUntil, d.liveSchedulers = e.Numbers, e.NumbersValidUntil, max(1, e.LiveSchedulers)
	case Closing:
		d.closing = true
		for _, j := range d.openJobs {
			d.finish(j)
		}
	}
}

// logChange records in was whether a condition holds, and logs its text for on-call staff if that has
// changed.
func (d *Dispatcher) logChange(was *bool, is bool, text string) {
	if *was != is {
		*was = is
		d.actions = append(d.actions, Action{Kind: Log, Text: fmt.Sprintf("%s: %v", text, is)})
	}
}

// activeNumbers returns the scheduler numbers that this scheduler may use now: it may use their shares of
// the shared budgets. They are the numbers of the last FleetUpdated until these expire, and only its own
// number after that. It returns none if the last FleetUpdated gave this scheduler no number.
func (d *Dispatcher) activeNumbers() []int {
	if own := slices.Index(d.numbers, d.cfg.Number); own >= 0 && d.now >= d.numbersUntil {
		return d.numbers[own : own+1]
	}
	return d.numbers
}

// budgetShare returns the fraction of the shared budgets that this scheduler may use now.
func (d *Dispatcher) budgetShare() float64 {
	return float64(len(d.activeNumbers())) / float64(d.cfg.Schedulers)
}

// seconds converts seconds to a duration, a million seconds at most, so that sums of durations don't
// overflow.
func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

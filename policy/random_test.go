package policy

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// TestRandomEvents feeds random but legal events to a dispatcher and checks every action: a request has one
// attempt in flight at a time, more attempts only where its semantics allow them, and one final response in
// time. The same events must give the same actions.
func TestRandomEvents(t *testing.T) {
	for seed := uint64(0); seed < 60; seed++ {
		a := newRandomWorld(t, seed).play()
		if seed < 5 && !reflect.DeepEqual(a, newRandomWorld(t, seed).play()) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}

// testAttempt is an attempt that the dispatcher sent.
type testAttempt struct {
	worker       string
	cell         int
	at           time.Duration
	open, mayRun bool // in flight; may have run
}

// testRequest is a request that was fed in.
type testRequest struct {
	class    Class
	due      time.Duration
	finished bool
	attempts []testAttempt
}

// randomWorld has the clients, the workers and the list of workers of one scheduler. Its seed determines all
// events.
type randomWorld struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	set      Settings
	d        *Dispatcher
	now      time.Duration
	members  []Member
	state    map[string]State
	requests map[uint32]*testRequest
	ids      []uint32 // of requests, in order of arrival

	mustClose []string // workers whose idle connections must be closed in this step if there is a DrainCloseTimeout
}

func newRandomWorld(t *testing.T, seed uint64) *randomWorld {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	s := testSettings()
	s.ReportsStarts, s.LoadReports, s.MayCancel = rng.IntN(3) > 0, rng.IntN(3) > 0, rng.IntN(3) > 0
	s.ListOnDemand, s.MayProbe = rng.IntN(2) > 0, rng.IntN(2) > 0
	if s.ListOnDemand {
		s.MaxListAge = 5 * time.Second
	}
	if seed%4 == 1 { // settings at their limits
		s.Schedulers, s.MaxAttempts, s.ConnIdleTimeout, s.MaxWarmUpTime = 1, 1, 0, 0
		s.Tenants = []Tenant{{Name: "t"}}
	}
	if seed%3 == 0 {
		s.DrainCloseTimeout = ms << (seed % 11)
	}
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &randomWorld{t: t, seed: seed, rng: rng, set: s, d: d, now: time.Second, members: testList().Members,
		state: map[string]State{}, requests: map[uint32]*testRequest{}}
}

// play makes 1500 steps, checks their actions and returns them.
func (w *randomWorld) play() (all []Action) {
	w.t.Helper()
	events := []Event{{Kind: ListRestored, Members: w.members}}
	for range 1500 {
		w.now += 5 * ms
		w.mustClose = nil
		events = w.arrive(events)
		events = w.progress(events)
		events = w.changeList(events)
		// Events on unknown timers, requests and attempts must have no effect.
		events = append(events, Event{Kind: TimerFired, Token: w.rng.Uint64N(99)}, Event{Kind: ClientDisconnected, ID: 1 << 30},
			Event{Kind: AttemptEnded, ID: uint32(w.rng.IntN(50)), Attempt: 9})
		actions := w.d.Step(w.now, events, nil)
		w.checkCloses(actions)
		for _, a := range actions {
			switch a.Kind {
			case Send:
				w.checkSend(a)
			case Refuse, Fail:
				w.checkFinal(a)
			}
		}
		all = append(all, actions...)
		for id, r := range w.requests {
			if !r.finished && w.now > r.due+w.set.ResponseGrace {
				w.fail("request %d has no final response in time", id)
			}
		}
		events = nil
	}
	return all
}

// fail ends the test with the seed and the time.
func (w *randomWorld) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %v: "+format, append([]any{w.seed, w.now}, args...)...)
}

// arrive appends a request with a probability of a quarter.
func (w *randomWorld) arrive(events []Event) []Event {
	if w.rng.IntN(4) != 0 {
		return events
	}
	id := uint32(len(w.ids) + 1)
	c := w.set.Classes[w.rng.IntN(3)]
	left := time.Duration(w.rng.IntN(int(c.Deadline)))
	e := Event{Kind: Request, ID: id, Class: c.Name, TimeLeft: left, Slots: float64(1 + w.rng.IntN(2)),
		Work: time.Duration(w.rng.IntN(int(300 * ms))), Tenant: "t"}
	if w.seed%5 == 2 {
		e.Work = 0 // no hints
	}
	w.requests[id] = &testRequest{class: c, due: w.now + left}
	w.ids = append(w.ids, id)
	return append(events, e)
}

// progress appends starts and ends of attempts in flight.
func (w *randomWorld) progress(events []Event) []Event {
	for _, id := range w.ids {
		r := w.requests[id]
		for k := range r.attempts {
			if a := &r.attempts[k]; a.open {
				events = w.progressAttempt(events, r, a, Event{ID: id, Attempt: k})
			}
		}
	}
	return events
}

// progressAttempt appends the end or the start of an attempt, or neither.
func (w *randomWorld) progressAttempt(events []Event, r *testRequest, a *testAttempt, e Event) []Event {
	switch {
	case w.now >= r.due && !r.finished:
		e.Outcome = TimedOut
	case w.rng.IntN(30) == 0:
		e.Outcome = []Outcome{OK, OK, OK, Failed, Full, Reset, ConnectFailed, Cancelled}[w.rng.IntN(8)]
	case w.rng.IntN(10) == 0:
		e.Kind = JobStarted
		return append(events, e)
	default:
		return events
	}
	a.open = false
	if w.state[a.worker] != Ready {
		w.mustClose = append(w.mustClose, a.worker)
	}
	a.mayRun = e.Outcome != Full && e.Outcome != ConnectFailed
	r.finished = r.finished || e.Outcome == OK
	e.Kind, e.Responded, e.Report = AttemptEnded, r.finished, NoReport
	return append(events, e)
}

// changeList appends changes and losses of the list of workers, and ends of probes.
func (w *randomWorld) changeList(events []Event) []Event {
	if w.rng.IntN(100) == 0 {
		m := w.members[w.rng.IntN(3)]
		m.State = State(w.rng.IntN(3))
		if w.rng.IntN(3) == 0 {
			m.Started = w.now
		}
		if w.state[m.Worker] = m.State; m.State == Draining {
			w.mustClose = append(w.mustClose, m.Worker)
		}
		events = append(events, Event{Kind: ListChanged, Members: []Member{m}})
	}
	if w.rng.IntN(60) == 0 {
		events = append(events, Event{Kind: ListUnavailable})
	}
	if w.rng.IntN(20) == 0 {
		events = append(events, Event{Kind: ProbeEnded, Worker: w.members[w.rng.IntN(3)].Worker,
			Outcome: Outcome(w.rng.IntN(6)), Report: Report{float64(w.rng.IntN(5)), -1, -1, -1, -1}})
	}
	return events
}

// checkCloses checks that the idle connections to the workers in mustClose are closed.
func (w *randomWorld) checkCloses(actions []Action) {
	w.t.Helper()
	closes := ofKind(CloseIdle, actions)
	for _, name := range w.mustClose {
		closed := slices.ContainsFunc(closes, func(a Action) bool { return a.Worker == name })
		if w.set.DrainCloseTimeout > 0 && !closed {
			w.fail("idle connections to %s are not closed", name)
		}
	}
}

// checkSend checks that a send is allowed, and records it.
func (w *randomWorld) checkSend(a Action) {
	w.t.Helper()
	r := w.requests[a.ID]
	if r.finished || w.state[a.Worker] != Ready || w.now > r.due {
		w.fail("an attempt must not be sent to %s: request finished %v", a.Worker, r.finished)
	}
	cell := 0
	if a.Worker == "c" {
		cell = 1
	}
	for _, e := range r.attempts {
		if e.open || e.mayRun && r.class.Semantics == Unsafe {
			w.fail("a second attempt for a request of class %s", r.class.Name)
		}
		if e.mayRun && r.class.Semantics == Keyed && (e.cell != cell || w.now > e.at+r.class.DedupWindow) {
			w.fail("a second attempt outside the first one's cell or window")
		}
	}
	r.attempts = append(r.attempts, testAttempt{a.Worker, cell, w.now, true, true})
	if len(r.attempts) > w.set.MaxAttempts {
		w.fail("%d attempts for a request", len(r.attempts))
	}
}

// checkFinal checks that a final response is allowed, and records it.
func (w *randomWorld) checkFinal(a Action) {
	w.t.Helper()
	r := w.requests[a.ID]
	if r.finished || w.now > r.due+w.set.ResponseGrace {
		w.fail("a second final response, or one too late (due %v)", r.due)
	}
	r.finished = true
	for _, e := range r.attempts {
		if a.Kind == Refuse && e.mayRun && r.class.Semantics != Safe {
			w.fail("refused a request of class %s that may have run", r.class.Name)
		}
	}
}

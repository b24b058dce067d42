package policy

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// TestRandomEvents plays random but legal worlds and checks the rules on every action: one attempt at a time, repeats
// only where the semantics allow them, one final response in time, and the same actions for the same events.
func TestRandomEvents(t *testing.T) {
	for seed := uint64(0); seed < 60; seed++ {
		a := newRandomWorld(t, seed).play()
		if seed < 5 && !reflect.DeepEqual(a, newRandomWorld(t, seed).play()) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}

type testAttempt struct {
	worker       string
	cell         int
	at           time.Duration
	open, mayRun bool
}

type testRequest struct {
	class    Class
	due      time.Duration
	finished bool
	attempts []testAttempt
}

// randomWorld is the clients, workers and list of one scheduler. All that happens follows from its seed.
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

	mustClose []string // workers with an idle connection that DrainClose wants closed in this step
}

func newRandomWorld(t *testing.T, seed uint64) *randomWorld {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	s := testSettings()
	s.ReportsStarts, s.Reports, s.Cancel = rng.IntN(3) > 0, rng.IntN(3) > 0, rng.IntN(3) > 0
	s.ListOnDemand, s.Probes = rng.IntN(2) > 0, rng.IntN(2) > 0
	if s.ListOnDemand {
		s.MaxListAge = 5 * time.Second
	}
	if seed%4 == 1 { // settings at their limits: one scheduler, one attempt, no warm-up, no allowance
		s.Schedulers, s.MaxAttempts, s.ConnIdle, s.WarmUpTime = 1, 1, 0, 0
		s.Tenants = []Tenant{{Name: "t"}}
	}
	if seed%3 == 0 {
		s.DrainClose = ms << (seed % 11)
	}
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &randomWorld{t: t, seed: seed, rng: rng, set: s, d: d, now: time.Second, members: testList().Members,
		state: map[string]State{}, requests: map[uint32]*testRequest{}}
}

// play steps 1500 times and returns all actions.
func (w *randomWorld) play() (all []Action) {
	w.t.Helper()
	events := []Event{{Kind: ListRestored, Members: w.members}}
	for range 1500 {
		w.now += 5 * ms
		w.mustClose = nil
		events = w.arrive(events)
		events = w.progress(events)
		events = w.changeList(events)
		// Events that refer to nothing are harmless.
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
				w.fail("request %d was lost", id)
			}
		}
		events = nil
	}
	return all
}

func (w *randomWorld) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %v: "+format, append([]any{w.seed, w.now}, args...)...)
}

// arrive appends a request now and then.
func (w *randomWorld) arrive(events []Event) []Event {
	if w.rng.IntN(4) != 0 {
		return events
	}
	id := uint32(len(w.ids) + 1)
	c := w.set.Classes[w.rng.IntN(3)]
	left := time.Duration(w.rng.IntN(int(c.Deadline)))
	e := Event{Kind: Request, ID: id, Class: c.Name, Left: left, Slots: float64(1 + w.rng.IntN(2)),
		Work: time.Duration(w.rng.IntN(int(300 * ms))), Tenant: "t"}
	if w.seed%5 == 2 {
		e.Work = 0 // no hints
	}
	w.requests[id] = &testRequest{class: c, due: w.now + left}
	w.ids = append(w.ids, id)
	return append(events, e)
}

// progress appends the starts and ends of open attempts.
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
	e.Kind, e.Complete, e.Report = AttemptEnded, r.finished, NoReport
	return append(events, e)
}

// changeList appends changes and losses of the list, and probes' ends.
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

func (w *randomWorld) checkCloses(actions []Action) {
	w.t.Helper()
	closes := ofKind(CloseIdle, actions)
	for _, name := range w.mustClose {
		closed := slices.ContainsFunc(closes, func(a Action) bool { return a.Worker == name })
		if w.set.DrainClose > 0 && !closed {
			w.fail("idle connections to %s stay open", name)
		}
	}
}

func (w *randomWorld) checkSend(a Action) {
	w.t.Helper()
	r := w.requests[a.ID]
	if r.finished || w.state[a.Worker] != Ready || w.now > r.due {
		w.fail("sent to %s: finished %v", a.Worker, r.finished)
	}
	cell := 0
	if a.Worker == "c" {
		cell = 1
	}
	for _, e := range r.attempts {
		if e.open || e.mayRun && r.class.Semantics == Unsafe {
			w.fail("a second attempt of %s", r.class.Name)
		}
		if e.mayRun && r.class.Semantics == Keyed && (e.cell != cell || w.now > e.at+r.class.Window) {
			w.fail("a repeat outside the cell or window")
		}
	}
	r.attempts = append(r.attempts, testAttempt{a.Worker, cell, w.now, true, true})
	if len(r.attempts) > w.set.MaxAttempts {
		w.fail("%d attempts", len(r.attempts))
	}
}

func (w *randomWorld) checkFinal(a Action) {
	w.t.Helper()
	r := w.requests[a.ID]
	if r.finished || w.now > r.due+w.set.ResponseGrace {
		w.fail("finished twice or too late (due %v)", r.due)
	}
	r.finished = true
	for _, e := range r.attempts {
		if a.Kind == Refuse && e.mayRun && r.class.Semantics != Safe {
			w.fail("refused a %s that may have run", r.class.Name)
		}
	}
}

package policy

import (
	"testing"
	"time"
)

func TestMaySendAndMayRefuse(t *testing.T) {
	type earlier struct {
		worker  int
		over    bool
		never   bool
		sentAgo time.Duration
	}
	tests := []struct {
		name          string
		class         string
		state         State
		earlier       []earlier
		to            int
		send, refused bool
	}{
		{"first attempt", "unsafe", Ready, nil, 0, true, true},
		{"worker draining", "safe", Draining, nil, 0, false, true},
		{"worker removed", "safe", Removed, nil, 0, false, true},
		{"unsafe, may have run", "unsafe", Ready, []earlier{{0, true, false, 0}}, 1, false, false},
		{"unsafe, never ran", "unsafe", Ready, []earlier{{0, true, true, 0}}, 1, true, true},
		{"another attempt in flight", "safe", Ready, []earlier{{0, false, false, 0}}, 1, false, true},
		{"safe, may have run", "safe", Ready, []earlier{{0, true, false, 0}}, 2, true, true},
		{"keyed, may have run in the same cell", "keyed", Ready, []earlier{{0, true, false, time.Second}}, 1, true, false},
		{"keyed, may have run in another cell", "keyed", Ready, []earlier{{0, true, false, time.Second}}, 2, false, false},
		{"keyed, never ran in another cell", "keyed", Ready, []earlier{{0, true, true, time.Second}}, 2, true, true},
		{"keyed, may have run before the window", "keyed", Ready, []earlier{{0, true, false, 3 * time.Second}}, 1, false, false},
		{"no attempts left", "safe", Ready, []earlier{{0, true, true, 0}, {0, true, true, 0}, {0, true, true, 0}},
			1, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := testDispatcher(t, nil)
			now := 10 * time.Second
			d.Step(now, []Event{request(1, tt.class)}, nil)
			j := d.jobs[1]
			if j == nil || !j.pending {
				t.Fatal("the request is not pending")
			}
			for n, e := range tt.earlier {
				j.attempts = append(j.attempts, &attempt{j: j, w: d.byRank[e.worker], index: n, sent: now - e.sentAgo,
					ended: e.over, neverRan: e.never})
			}
			d.byRank[tt.to].state = tt.state
			if got := d.maySend(j, d.byRank[tt.to]); got != tt.send {
				t.Errorf("maySend = %v", got)
			}
			if got := d.mayRefuse(j); got != tt.refused {
				t.Errorf("mayRefuse = %v", got)
			}
		})
	}
}

func TestFinalResponses(t *testing.T) {
	tests := []struct {
		name    string
		class   string
		outcome Outcome
		want    ActionKind
	}{
		{"unsafe timed out", "unsafe", TimedOut, Fail},
		{"unsafe failed", "unsafe", Failed, Fail},
		{"unsafe reset", "unsafe", Reset, Fail},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := testDispatcher(t, nil)
			d.Step(time.Second, []Event{request(1, tt.class)}, nil)
			sendsAt(d, time.Second+d.roundInterval)
			out := d.Step(2*time.Second, []Event{{Kind: AttemptEnded, ID: 1, Outcome: tt.outcome}}, nil)
			if len(ofKind(tt.want, out)) != 1 {
				t.Errorf("got %v", out)
			}
		})
	}
	t.Run("pending at its deadline", func(t *testing.T) {
		d := testDispatcher(t, nil)
		d.Step(time.Second, []Event{{Kind: ListReplaced}, request(1, "unsafe")}, nil)
		if out := d.Step(5*time.Second-5*ms, nil, nil); len(ofKind(Refuse, out)) != 1 {
			t.Errorf("got %v", out)
		}
	})
	t.Run("no time left at its arrival", func(t *testing.T) {
		d := testDispatcher(t, nil)
		e := request(1, "safe")
		e.TimeLeft = -1
		if out := d.Step(time.Second, []Event{e}, nil); len(ofKind(Refuse, out)) != 1 {
			t.Errorf("got %v", out)
		}
	})
}

// withLateValue returns a change of the settings that sets LateValue of each class.
func withLateValue(value float64) func(*Settings) {
	return func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].LateValue = value
		}
	}
}

// A job that misses its target before it starts is given up if there is an overload, or if a late
// response has no value. Otherwise it is served late. A job that has started is served late in any case.
func TestOverloadGivesUpJobsThatMissTheirTarget(t *testing.T) {
	for _, tt := range []struct {
		name         string
		full, late   float64
		sent, starts bool
		want         int
	}{
		{"pending, full", 1.2, 0.5, false, false, 1}, {"pending, slots free", 0.6, 0.5, false, false, 0},
		{"waits at a worker, full", 1.2, 0.5, true, false, 1},
		{"waits at a worker, slots free", 0.6, 0.5, true, false, 0},
		{"runs, full", 1.2, 0.5, true, true, 0},
		{"pending, late is worth nothing", 0.6, 0, false, false, 1},
		{"waits at a worker, late is worth nothing", 0.6, 0, true, false, 1},
		{"runs, late is worth nothing", 0.6, 0, true, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := testDispatcher(t, withLateValue(tt.late))
			d.slotUse, d.overloaded = tt.full, tt.full > overloadSlotUse
			if !tt.sent {
				for _, w := range d.byRank {
					w.busySlots = d.slots(w)
				}
			}
			d.Step(time.Second, []Event{request(1, "unsafe")}, nil)
			if got := len(sendsAt(d, time.Second+d.roundInterval)); (got == 1) != tt.sent {
				t.Fatalf("%d sent", got)
			}
			if tt.starts {
				d.Step(time.Second+50*ms, []Event{{Kind: JobStarted, ID: 1}}, nil)
			}
			responses := 0
			for at := time.Second + 50*ms; at < 2*time.Second; at += 5 * ms {
				out := d.Step(at, nil, nil)
				responses += len(ofKind(Refuse, out)) + len(ofKind(Fail, out))
			}
			if responses != tt.want {
				t.Errorf("%d final responses, want %d", responses, tt.want)
			}
		})
	}
}

// If a late response has no value, a job isn't sent to a worker where it would be late, but waits for a
// better worker. Without reports, predictions err more, so the job is sent while slots are free.
func TestLateJobIsNotSentWhereLateValueIsZero(t *testing.T) {
	for _, tt := range []struct {
		late, full float64
		reports    bool
		want       int
	}{{0, 0.5, true, 0}, {0.5, 0.5, true, 1}, {0, 1, false, 0}, {0, 0.5, false, 1}} {
		d := testDispatcher(t, func(s *Settings) {
			s.LoadReports = tt.reports
			withLateValue(tt.late)(s)
		})
		d.meanRuntime, d.slotUse = 0.01, tt.full
		for _, w := range d.byRank { // without reports, estimateSlotUse gives about tt.full
			w.busySlots = 4 * tt.full
			w.runningSlots, w.maxRunningSlots = w.busySlots, 8
		}
		for _, w := range d.byRank {
			w.learnedSlowness = 8
		}
		d.Step(time.Second, []Event{{Kind: Request, ID: 1, Class: "safe", TimeLeft: time.Second, Work: 50 * ms, Slots: 1}}, nil)
		if got := len(sendsAt(d, time.Second+d.roundInterval)); got != tt.want {
			t.Errorf("late value %v, %v of the slots in use, reports %v: %d sent, want %d", tt.late, tt.full, tt.reports, got, tt.want)
		}
	}
}

// The latency target of a retry counts from the client's first attempt, also if the client doesn't mark it:
// it shows by the time left.
func TestUnmarkedRetryKeepsItsTarget(t *testing.T) {
	d := testDispatcher(t, nil)
	d.Step(time.Second, []Event{request(1, "safe")}, nil)
	retry := request(2, "safe")
	retry.TimeLeft -= time.Second
	d.Step(time.Second, []Event{retry}, nil)
	if got := d.jobs[1].targetBy - d.jobs[2].targetBy; got != time.Second {
		t.Errorf("the target is %v earlier, want 1s", got)
	}
}

func TestSameGroup(t *testing.T) {
	a := &worker{zone: "x", cell: 1}
	for _, tt := range []struct {
		scope DedupScope
		b     worker
		want  bool
	}{
		{ScopeCell, worker{zone: "y", cell: 1}, true}, {ScopeCell, worker{zone: "x", cell: 2}, false},
		{ScopeZone, worker{zone: "x", cell: 2}, true}, {ScopeZone, worker{zone: "y", cell: 1}, false},
		{ScopeAll, worker{zone: "y", cell: 2}, true},
	} {
		if got := inSameDedupGroup(tt.scope, a, &tt.b); got != tt.want {
			t.Errorf("scope %v, %+v: %v", tt.scope, tt.b, got)
		}
	}
}

// A new dispatcher doesn't refuse jobs because it doesn't know how long they run: if there are neither
// estimates of clients nor responses, a job that has waited for its round isn't treated as late yet.
func TestJobsOfUnknownLengthAreNotLateAtOnce(t *testing.T) {
	d, err := New(Settings{MinStepInterval: time.Millisecond, ResponseGrace: 8 * time.Millisecond,
		Classes: []Class{{Name: "c", LatencyTarget: 3 * time.Second, Deadline: 6 * time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, kind := time.Hour, ActionKind(-1)
	events := []Event{{Kind: ListRestored, Members: []Member{{Worker: "w", Kind: "k", State: Draining}}},
		{Kind: Request, ID: 1, Class: "c", TimeLeft: 6 * time.Second, Slots: 1}}
	for n := range 600 {
		for _, a := range d.Step(now, events, nil) {
			if a.Kind == Send || a.Kind == Refuse || a.Kind == Fail {
				kind = a.Kind
			}
		}
		now, events = now+time.Millisecond, nil
		if n == 500 { // the worker becomes ready
			events = []Event{{Kind: ListChanged, Members: []Member{{Worker: "w", Kind: "k"}}}}
		}
	}
	for range 400 {
		for _, a := range d.Step(now, nil, nil) {
			if a.Kind == Send || a.Kind == Refuse || a.Kind == Fail {
				kind = a.Kind
			}
		}
		now += time.Millisecond
	}
	if kind != Send {
		t.Errorf("ended by %v, want sent", kind)
	}
}

// An outcome may say that an attempt never ran, but belong to another request. For an unsafe class it is
// no proof: there is no other attempt, and the request isn't refused. Requests of other classes are
// retried.
func TestIndeterminateOutcomeIsNoProofForUnsafeClass(t *testing.T) {
	for _, tt := range []struct {
		semantics     Semantics
		indeterminate bool
		sends         int
		end           ActionKind
	}{{Unsafe, false, 2, -1}, {Unsafe, true, 1, Fail}, {Safe, true, 2, -1}} {
		d, err := New(Settings{MinStepInterval: time.Millisecond, MaxAttempts: 3, ResponseGrace: 8 * time.Millisecond,
			Classes: []Class{{Name: "c", Semantics: tt.semantics, LatencyTarget: 400 * time.Millisecond, LateValue: 1, Deadline: 9 * time.Second}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, sends, end := time.Hour, 0, ActionKind(-1)
		events := []Event{{Kind: ListRestored, Members: []Member{{Worker: "v", Kind: "k"}, {Worker: "w", Kind: "k"}}},
			{Kind: Request, ID: 1, Class: "c", TimeLeft: 9 * time.Second, Work: 100 * time.Millisecond, Slots: 1}}
		for range 500 {
			out := d.Step(now, events, nil)
			now, events = now+time.Millisecond, nil
			for _, a := range out {
				switch a.Kind {
				case Send:
					if sends++; sends == 1 {
						events = append(events, Event{Kind: AttemptEnded, ID: 1, Worker: a.Worker, Outcome: Full,
							Indeterminate: tt.indeterminate, Report: NoReport})
					}
				case Fail, Refuse:
					end = a.Kind
				}
			}
		}
		if sends != tt.sends || end != tt.end {
			t.Errorf("%+v: %d sent, ended by %v", tt, sends, end)
		}
	}
}

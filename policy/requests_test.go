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
		{"first", "unsafe", Ready, nil, 0, true, true},
		{"draining", "safe", Draining, nil, 0, false, true},
		{"removed", "safe", Removed, nil, 0, false, true},
		{"unsafe may have run", "unsafe", Ready, []earlier{{0, true, false, 0}}, 1, false, false},
		{"unsafe never ran", "unsafe", Ready, []earlier{{0, true, true, 0}}, 1, true, true},
		{"one at a time", "safe", Ready, []earlier{{0, false, false, 0}}, 1, false, true},
		{"safe retry", "safe", Ready, []earlier{{0, true, false, 0}}, 2, true, true},
		{"keyed same cell", "keyed", Ready, []earlier{{0, true, false, time.Second}}, 1, true, false},
		{"keyed other cell", "keyed", Ready, []earlier{{0, true, false, time.Second}}, 2, false, false},
		{"keyed other cell, never ran", "keyed", Ready, []earlier{{0, true, true, time.Second}}, 2, true, true},
		{"keyed past its window", "keyed", Ready, []earlier{{0, true, false, 3 * time.Second}}, 1, false, false},
		{"attempts used up", "safe", Ready, []earlier{{0, true, true, 0}, {0, true, true, 0}, {0, true, true, 0}},
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
				j.attempts = append(j.attempts, &attempt{j: j, w: d.order[e.worker], n: n, sent: now - e.sentAgo,
					ended: e.over, neverRan: e.never})
			}
			d.order[tt.to].state = tt.state
			if got := d.maySend(j, d.order[tt.to]); got != tt.send {
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
	t.Run("pending until out of time", func(t *testing.T) {
		d := testDispatcher(t, nil)
		d.Step(time.Second, []Event{{Kind: ListReplaced}, request(1, "unsafe")}, nil)
		if out := d.Step(5*time.Second-5*ms, nil, nil); len(ofKind(Refuse, out)) != 1 {
			t.Errorf("got %v", out)
		}
	})
	t.Run("no time left", func(t *testing.T) {
		d := testDispatcher(t, nil)
		e := request(1, "safe")
		e.Left = -1
		if out := d.Step(time.Second, []Event{e}, nil); len(ofKind(Refuse, out)) != 1 {
			t.Errorf("got %v", out)
		}
	})
}

// withLateValue changes the value of late responses of each class.
func withLateValue(value float64) func(*Settings) {
	return func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].LateValue = value
		}
	}
}

// Under overload, or where a late response is worth nothing, a job that misses its target before it starts is given
// up. Otherwise, and once it runs, it is served late.
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
			d.use, d.overload = tt.full, tt.full > overloadedAt
			if !tt.sent {
				for _, w := range d.order {
					w.busy = d.slots(w)
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

// Where a late response is worth nothing, a job is not sent to a worker where it would be late; it waits for a better
// one. Without reports predictions err more, and it is sent while slots are free.
func TestLateJobIsNotSentWhereLateValueIsZero(t *testing.T) {
	for _, tt := range []struct {
		late, full float64
		reports    bool
		want       int
	}{{0, 0.5, true, 0}, {0.5, 0.5, true, 1}, {0, 1, false, 0}, {0, 0.5, false, 1}} {
		d := testDispatcher(t, func(s *Settings) {
			s.Reports = tt.reports
			withLateValue(tt.late)(s)
		})
		d.meanRun, d.use = 0.01, tt.full
		for _, w := range d.order { // about as full as estimated without reports
			w.busy = 4 * tt.full
			w.running, w.maxRunning = w.busy, 8
		}
		for _, w := range d.order {
			w.slow = 8
		}
		d.Step(time.Second, []Event{{Kind: Request, ID: 1, Class: "safe", Left: time.Second, Work: 50 * ms, Slots: 1}}, nil)
		if got := len(sendsAt(d, time.Second+d.roundInterval)); got != tt.want {
			t.Errorf("late value %v, %v of the slots in use, reports %v: %d sent, want %d", tt.late, tt.full, tt.reports, got, tt.want)
		}
	}
}

// The latency target of a retry counts from the first attempt, also where clients do not mark retries: they have less
// time left.
func TestUnmarkedRetryKeepsItsTarget(t *testing.T) {
	d := testDispatcher(t, nil)
	d.Step(time.Second, []Event{request(1, "safe")}, nil)
	retry := request(2, "safe")
	retry.Left -= time.Second
	d.Step(time.Second, []Event{retry}, nil)
	if got := d.jobs[1].targetBy - d.jobs[2].targetBy; got != time.Second {
		t.Errorf("the target is %v earlier, want 1s", got)
	}
}

func TestSameGroup(t *testing.T) {
	a := &worker{zone: "x", cell: 1}
	for _, tt := range []struct {
		scope Scope
		b     worker
		want  bool
	}{
		{ScopeCell, worker{zone: "y", cell: 1}, true}, {ScopeCell, worker{zone: "x", cell: 2}, false},
		{ScopeZone, worker{zone: "x", cell: 2}, true}, {ScopeZone, worker{zone: "y", cell: 1}, false},
		{ScopeAll, worker{zone: "y", cell: 2}, true},
	} {
		if got := sameGroup(tt.scope, a, &tt.b); got != tt.want {
			t.Errorf("scope %v, %+v: %v", tt.scope, tt.b, got)
		}
	}
}

// Guards against a fresh dispatcher that refuses what it knows nothing of: where neither hints nor responses show how
// long a job runs, one that waited for its round is not taken for late already.
func TestJobsOfUnknownLengthAreNotLateAtOnce(t *testing.T) {
	d, err := New(Settings{Period: time.Millisecond, ResponseGrace: 8 * time.Millisecond,
		Classes: []Class{{Name: "c", LatencyTarget: 3 * time.Second, Deadline: 6 * time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, kind := time.Hour, ActionKind(-1)
	events := []Event{{Kind: ListRestored, Members: []Member{{Worker: "w", Kind: "k", State: Draining}}},
		{Kind: Request, ID: 1, Class: "c", Left: 6 * time.Second, Slots: 1}}
	for n := range 600 {
		for _, a := range d.Step(now, events, nil) {
			if a.Kind == Send || a.Kind == Refuse || a.Kind == Fail {
				kind = a.Kind
			}
		}
		now, events = now+time.Millisecond, nil
		if n == 500 { // its worker is ready again
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

// An outcome which says that an attempt never ran, but may be another request's, is no proof for an unsafe class: no
// attempt follows, and the request is not refused. Other classes are retried.
func TestIndeterminateOutcomeIsNoProofForUnsafeClass(t *testing.T) {
	for _, tt := range []struct {
		semantics     Semantics
		indeterminate bool
		sends         int
		end           ActionKind
	}{{Unsafe, false, 2, -1}, {Unsafe, true, 1, Fail}, {Safe, true, 2, -1}} {
		d, err := New(Settings{Period: time.Millisecond, MaxAttempts: 3, ResponseGrace: 8 * time.Millisecond,
			Classes: []Class{{Name: "c", Semantics: tt.semantics, LatencyTarget: 400 * time.Millisecond, LateValue: 1, Deadline: 9 * time.Second}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, sends, end := time.Hour, 0, ActionKind(-1)
		events := []Event{{Kind: ListRestored, Members: []Member{{Worker: "v", Kind: "k"}, {Worker: "w", Kind: "k"}}},
			{Kind: Request, ID: 1, Class: "c", Left: 9 * time.Second, Work: 100 * time.Millisecond, Slots: 1}}
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

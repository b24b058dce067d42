package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// A worker that refuses a connection or drops running jobs is treated as warming up, as after a restart,
// before the list shows the restart: many workers may restart together. A connection that is only slow to
// set up, or a waiting job that is dropped, is no sign of a restart.
func TestRefusalsAndResetsCountAsRestarts(t *testing.T) {
	for _, tt := range []struct {
		name    string
		starts  bool
		outcome Outcome
		after   time.Duration
		warming bool
	}{
		{"connection refused at once", false, ConnectFailed, ms, true}, {"no connection in time", false, ConnectFailed, 100 * ms, false},
		{"second running job dropped", true, Reset, 50 * ms, true},
		{"second waiting job dropped", false, Reset, 50 * ms, false},
		{"error", true, Failed, 50 * ms, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := testDispatcher(t, nil)
			d.Step(time.Second, []Event{request(1, "safe")}, nil)
			w := d.workers[sendsAt(d, time.Second+d.roundInterval)[0].Worker]
			w.brokenConns = 1 // the next broken connection is a failure
			if tt.starts {
				d.Step(1100*ms, []Event{{Kind: JobStarted, ID: 1}}, nil)
			}
			d.Step(1200*ms, []Event{{Kind: AttemptEnded, ID: 1, Outcome: tt.outcome, Elapsed: tt.after, Report: NoReport}}, nil)
			if warming := d.minCapacity(w) < 1; warming != tt.warming {
				t.Errorf("warming up: %v", warming)
			}
		})
	}
}

// After a single broken connection a worker isn't treated as failing or restarted. After two it is, if no
// attempt or probe succeeds between them.
func TestSingleBrokenConnectionIsNotAFailure(t *testing.T) {
	d := testDispatcher(t, nil)
	at, w := time.Second, (*worker)(nil)
	attempt := func(id uint32, o Outcome) {
		d.Step(at, []Event{request(id, "safe")}, nil)
		at += d.roundInterval
		for _, a := range ofKind(Send, d.Step(at, nil, nil)) {
			w = d.workers[a.Worker]
		}
		d.Step(at+ms, []Event{{Kind: JobStarted, ID: id}}, nil)
		d.Step(at+2*ms, []Event{{Kind: AttemptEnded, ID: id, Outcome: o, Responded: true, Report: NoReport}}, nil)
		at += 100 * ms
	}
	probe := func(o Outcome) {
		d.Step(at, []Event{{Kind: ProbeEnded, Worker: w.name, Outcome: o, Report: NoReport}}, nil)
	}
	attempt(1, Reset)
	if d.now < w.blockedUntil || d.minCapacity(w) < 1 {
		t.Fatal("one broken connection fails its worker")
	}
	probe(OK)
	probe(Reset)
	if d.now < w.blockedUntil {
		t.Fatal("one broken connection after a successful probe fails its worker")
	}
	probe(Reset)
	if d.now >= w.blockedUntil {
		t.Fatal("two broken connections in a row do not fail their worker")
	}
}

// A worker with a job that hasn't started has no free slots.
func TestUnstartedJobLeavesNoFreeSlots(t *testing.T) {
	d := testDispatcher(t, nil)
	d.Step(time.Second, []Event{request(1, "unsafe")}, nil)
	first := sendsAt(d, time.Second+d.roundInterval)
	if len(first) != 1 {
		t.Fatal("nothing sent")
	}
	w := d.workers[first[0].Worker]
	d.now = time.Second + 300*ms
	if got := d.freeSlots(w); got != 0 {
		t.Errorf("%v free slots while a job has not started, want 0", got)
	}
	d.Step(d.now, []Event{{Kind: JobStarted, ID: 1, Attempt: 0}}, nil)
	w.failures, w.blockedUntil, w.othersSlots = 0, 0, 0
	if got := d.freeSlots(w); got < 1 {
		t.Errorf("%v free slots after the job started, want 1 at least", got)
	}
}

// A failing worker gets no jobs while it is blocked, then one at a time, and after successes as many as
// before.
func TestFailingWorkerIsBlockedAndRecovers(t *testing.T) {
	d := testDispatcher(t, nil)
	w := d.byRank[0]
	d.now = time.Second
	d.recordFailure(w)
	if d.freeSlots(w) != 0 {
		t.Error("a worker that has just failed has free slots")
	}
	d.now = w.blockedUntil
	if got := d.freeSlots(w); got != 1 {
		t.Errorf("%v free slots during recovery, want 1", got)
	}
	for i := 0; i < 2; i++ {
		w.failures = max(0, w.failures-0.5)
	}
	if got := d.freeSlots(w); got != 4 {
		t.Errorf("%v free slots after successes, want 4", got)
	}
}

// A worker gets no other job before the last one has started. That start shows the slots that other
// schedulers use: after a late start they are all slots that own jobs leave, after a prompt one at most
// these.
func TestStartsShowOthersSlots(t *testing.T) {
	d := testDispatcher(t, nil)
	w := d.byRank[0]
	for _, tt := range []struct {
		wait        time.Duration
		before, now float64
	}{{5 * ms, 4, 3}, {200 * ms, 0, 3}} {
		d.now += time.Second
		w.othersSlots, w.othersSlotsAt, w.failures = 0, d.now, 0
		j := &job{class: &d.cfg.Classes[0], size: 0.05, slots: 1}
		d.send(j, w)
		if got := d.freeSlots(w); got != 0 {
			t.Errorf("%v free slots while a job has not started, want 0", got)
		}
		w.othersSlots = tt.before
		d.now += tt.wait
		d.recordStart(j.attempts[0])
		if w.othersSlots != tt.now {
			t.Errorf("start after %v: other schedulers use %v slots, want %v", tt.wait, w.othersSlots, tt.now)
		}
		w.removeAttempt(j.attempts[0], d.now)
	}
}

// If there is a DrainCloseTimeout, idle connections to a draining worker are closed when the list shows that
// it drains, and again when an attempt or probe there has ended.
func TestIdleConnectionsCloseOnDrain(t *testing.T) {
	drain := Event{Kind: ListChanged, Members: []Member{{Worker: "a", Zone: "z0", Kind: "k", State: Draining}}}
	removed := Event{Kind: ListReplaced, Members: testList().Members[1:]}
	ended := Event{Kind: AttemptEnded, ID: 1, Outcome: OK, Responded: true, Report: NoReport}
	probe := Event{Kind: ProbeEnded, Worker: "a", Outcome: OK, Report: NoReport}
	for _, tt := range []struct {
		name   string
		within time.Duration
		open   bool // an attempt is in flight there at the drain
		events []Event
		want   []int // CloseIdle actions after each event
	}{
		{"nothing in flight", time.Second, false, []Event{drain}, []int{1}},
		{"no DrainCloseTimeout", 0, true, []Event{drain, ended}, []int{0, 0}},
		{"attempt in flight", time.Second, true, []Event{drain, ended}, []int{1, 1}},
		{"probe in flight", time.Second, false, []Event{drain, probe}, []int{1, 1}},
		{"not on the new list", time.Second, true, []Event{removed, ended}, []int{1, 1}},
		{"timeout shorter than the step interval", time.Millisecond, true, []Event{drain, ended}, []int{1, 1}},
		{"worker still ready", time.Second, true, []Event{testList(), ended}, []int{0, 0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := testDispatcher(t, func(s *Settings) { s.DrainCloseTimeout, s.MayProbe = tt.within, false })
			if tt.open {
				for _, w := range []*worker{d.workers["b"], d.workers["c"]} {
					w.state = Removed
				}
				d.Step(time.Second, []Event{request(1, "safe")}, nil)
				if got := sendsAt(d, time.Second+d.roundInterval); len(got) != 1 || got[0].Worker != "a" {
					t.Fatalf("sent %v", got)
				}
			}
			for n, e := range tt.events {
				got := ofKind(CloseIdle, d.Step(2*time.Second+time.Duration(n)*ms, []Event{e}, nil))
				got = slices.DeleteFunc(got, func(a Action) bool { return a.Worker != "a" })
				if len(got) != tt.want[n] {
					t.Errorf("event %d: %d closes, want %d", n, len(got), tt.want[n])
				}
			}
		})
	}
}

// Idle connections to a worker that the restored list shows as draining are closed after a restart.
func TestIdleConnectionsCloseOnDrainBeforeRestart(t *testing.T) {
	s := testSettings()
	s.DrainCloseTimeout = time.Second
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	restored := Event{Kind: ListRestored, Members: []Member{{Worker: "a", Zone: "z0", Kind: "k", State: Draining}}}
	if got := ofKind(CloseIdle, d.Step(0, []Event{restored}, nil)); len(got) != 1 {
		t.Errorf("got %v", got)
	}
}

// The mean use of slots is estimated from reports. If these omit the queue, a worker without a free slot
// is assumed to have queued jobs: otherwise no worker would ever look overloaded.
func TestUseFromReports(t *testing.T) {
	for _, tt := range []struct {
		name         string
		free, queued float64
		packed       bool
	}{
		{"half used", 2, 0, false}, {"one free", 1, 0, false}, {"full, one waits", 0, 1, true},
		{"full, queue not reported", 0, -1, true}, {"one free, queue not reported", 1, -1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := testDispatcher(t, nil)
			for range 200 {
				d.applyReport(d.byRank[0], Report{FreeSlots: tt.free, FreeMemory: -1, Queued: tt.queued})
			}
			if packed := d.slotUse > overloadSlotUse; packed != tt.packed || tt.free == 0 && tt.queued < 0 && d.slotUse <= 1 {
				t.Errorf("use %v", d.slotUse)
			}
		})
	}
}

// No list or report makes the dispatcher panic: lists may be empty, repeat a worker, change its kind, set its
// start back or lack a zone, and reports may have implausible figures. The next plausible list is used.
func TestImplausibleListsAndReports(t *testing.T) {
	d := testDispatcher(t, nil)
	m := Member{Worker: "a", Zone: "z0", Kind: "k"}
	other, early, bare := m, m, Member{Worker: "x"}
	other.Kind, other.Zone, early.Started = "other", "z9", 3*time.Second
	at := time.Second
	for _, members := range [][]Member{nil, {m, m}, {other}, {early}, {m}, {bare}, {{}}, nil, {m}} {
		for _, kind := range []EventKind{ListReplaced, ListChanged, ListRestored} {
			at += 100 * ms
			d.Step(at, []Event{{Kind: kind, Members: members}, request(uint32(at/ms), "keyed"),
				{Kind: ProbeEnded, Worker: "a", Report: Report{math.Inf(1), -7, 1e12, -1, -1}},
				{Kind: ProbeEnded, Worker: "nobody", Report: Report{1, 1, 1, 1, 1}}}, nil)
			d.Step(at+50*ms, nil, nil)
		}
	}
	at += time.Minute
	d.Step(at, []Event{testList(), request(1, "safe")}, nil)
	if got := sendsAt(d, at+d.roundInterval); len(got) != 1 {
		t.Errorf("sent %v", got)
	}
}

// If there are many workers, each scheduler has a few of them as candidates, in its own order, and more
// after a round that left jobs pending. Candidates are in the own zone if crossing is expensive, but in
// all zones if the scheduler is nearly the only one or has no worker in its zone.
func TestCandidates(t *testing.T) {
	list := Event{Kind: ListReplaced}
	for n := 0; n < 200; n++ {
		list.Members = append(list.Members, Member{Worker: fmt.Sprint("w", n), Zone: []string{"z0", "z1"}[n%2], Kind: "k"})
	}
	for _, tt := range []struct {
		name       string
		zone       string
		schedulers int
		price      float64
		limit      int
		want, own  int
	}{
		{"many, crossing expensive", "z0", 400, 0.1, 0, minCandidates, minCandidates},
		{"many, crossing cheap", "z0", 400, 0, 0, 2 * minCandidates, minCandidates},
		{"jobs left pending", "z0", 400, 0.1, 1000, 7 * minCandidates, maxCandidateFactor * minCandidates},
		{"own zone empty", "z2", 400, 0.1, 0, minCandidates, 0},
		{"nearly the only scheduler", "z0", 2, 0.1, 0, 200, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			seen := map[string]bool{}
			for number := range 2 {
				d := newWithoutReports(t, func(s *Settings) {
					s.Zone, s.Schedulers, s.Number, s.CrossZonePrice = tt.zone, tt.schedulers, number, tt.price
				})
				d.Step(0, []Event{list}, nil)
				d.candidateLimit = tt.limit
				for _, w := range d.candidates() {
					seen[w.name] = true
				}
				own := len(slices.DeleteFunc(slices.Clone(d.candidateBuffer), func(w *worker) bool { return w.zone != tt.zone }))
				if len(d.candidateBuffer) != tt.want || own != tt.own {
					t.Errorf("%d candidates, %d of them in the own zone; want %d, %d", len(d.candidateBuffer), own, tt.want, tt.own)
				}
			}
			if len(seen) == tt.want && tt.want < 200 {
				t.Error("two schedulers have the same candidates")
			}
		})
	}
}

// If hundreds of schedulers start or lose the list at the same time, their calls for the list are spread over
// time.
func TestListCallsAreSpread(t *testing.T) {
	for _, kind := range []EventKind{ListRestored, ListUnavailable} {
		calls := map[time.Duration]int{} // by quarter of a second since the start or the loss
		total := 0
		for number := range 200 {
			if at, ok := firstListCall(t, number, kind); ok {
				calls[at/(250*ms)]++
				total++
			}
		}
		for _, n := range calls {
			if n > 60 {
				t.Errorf("%d of 200 call within a quarter of a second", n)
			}
		}
		if total != 200 {
			t.Errorf("%d of 200 called", total)
		}
	}
}

// firstListCall returns when one of 200 schedulers calls for the list after its start or, if kind is
// ListUnavailable, after it lost the list. ok is false if it doesn't call within 10 s.
func firstListCall(t *testing.T, number int, kind EventKind) (at time.Duration, ok bool) {
	t.Helper()
	s := testSettings()
	s.ListOnDemand, s.MaxListAge, s.Schedulers, s.Number = true, 10*time.Second, 200, number
	d, err := New(s, uint64(number))
	if err != nil {
		t.Fatal(err)
	}
	d.Step(0, []Event{{Kind: ListRestored, Members: testList().Members}}, nil)
	if kind == ListUnavailable {
		d.Step(0, []Event{{Kind: kind}}, nil)
	}
	for at := 5 * ms; at <= 10*time.Second; at += 5 * ms {
		if len(ofKind(Subscribe, d.Step(at, nil, nil))) > 0 {
			return at, true
		}
	}
	return 0, false
}

// A scheduler doesn't take all workers for full forever. If only responses carry reports and the first
// ones show full workers, it sends no jobs and so gets no reports. Its estimate must decay, or it would
// refuse all requests. With that fault, in a deployment made up for the bench, on a day without other
// faults, a third of 300 dispatchers sent no jobs after their first second.
func TestFullEstimateDecaysWithoutReports(t *testing.T) {
	set := Settings{Schedulers: 30, MinStepInterval: time.Millisecond, LoadReports: true, MaxAttempts: 3,
		ResponseGrace: 8 * time.Millisecond, ConnectTimeout: 200 * time.Millisecond,
		Classes: []Class{{Name: "c", LatencyTarget: 300 * time.Millisecond, Stretch: 2, Deadline: 2 * time.Second}}}
	d, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	list := Event{Kind: ListRestored}
	for _, w := range []string{"a", "b", "c", "d", "e", "f"} {
		list.Members = append(list.Members, Member{Worker: w, Kind: "k"})
	}
	d.Step(now, []Event{list}, nil)
	full := now + 2*time.Second // until then jobs of other schedulers use every slot
	sent, refused := map[bool]int{}, 0
	var ends []Event                  // the ends of attempts in flight, each 100 ms after its send
	due := map[uint32]time.Duration{} // by id: when the attempt ends
	for n := range uint32(1000) {
		now += 10 * time.Millisecond
		ended := func(e Event) bool { return now >= due[e.ID] }
		events := slices.DeleteFunc(slices.Clone(ends), func(e Event) bool { return !ended(e) })
		ends = slices.DeleteFunc(ends, ended)
		if n%5 == 0 {
			events = append(events, Event{Kind: Request, ID: n + 1, Class: "c", TimeLeft: 2 * time.Second, Work: 100 * time.Millisecond, Slots: 1})
		}
		actions := d.Step(now, events, nil)
		for _, a := range ofKind(Send, actions) {
			sent[now >= full]++
			free := 0.0
			if now >= full {
				free = 4
			}
			due[a.ID] = now + 100*time.Millisecond
			ends = append(ends, Event{Kind: AttemptEnded, ID: a.ID, Worker: a.Worker, Outcome: OK, Responded: true,
				Elapsed: 100 * time.Millisecond, Report: Report{free, -1, -1, 4, 0.5}})
		}
		if now > full+time.Second {
			refused += len(ofKind(Refuse, actions))
		}
	}
	if sent[false] == 0 || sent[false] > 120 {
		t.Errorf("%d sent while workers are full, want 1 to 120", sent[false])
	}
	if sent[true] < 150 || refused > 0 { // 160 arrive in that time
		t.Errorf("%d sent and %d refused once slots are free, want 150 at least and 0", sent[true], refused)
	}
}

package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreypond/internal/assignment"
)

// cheapest returns the least cost of matching rows rows to the columns with an unset bit in used, by
// brute force.
func cheapest(costs [][]float64, cols int, used uint, rows int) float64 {
	if len(costs) == 0 {
		if rows > 0 {
			return math.Inf(1)
		}
		return 0
	}
	best := cheapest(costs[1:], cols, used, rows)
	for k := 0; k < cols && rows > 0; k++ {
		if used>>k&1 == 0 {
			best = min(best, costs[0][k]+cheapest(costs[1:], cols, used|1<<k, rows-1))
		}
	}
	return best
}

func TestAssignMatchesBruteForce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for n := 0; n < 400; n++ {
		rows, cols := 1+rng.IntN(5), 1+rng.IntN(5)
		c := make([][]float64, rows)
		for i := range c {
			for k := 0; k < cols; k++ {
				c[i] = append(c[i], math.Round(rng.Float64()*20))
			}
		}
		sum, matched, seen := 0.0, 0, map[int]bool{}
		for r, k := range assignment.Solve(c, cols) {
			if k < 0 {
				continue
			}
			if seen[k] {
				t.Fatalf("column %d assigned twice", k)
			}
			seen[k] = true
			sum += c[r][k]
			matched++
		}
		want := cheapest(c, cols, 0, min(rows, cols))
		if matched != min(rows, cols) || math.Abs(sum-want) > 1e-9 {
			t.Fatalf("%v: matched %d at %v, want %d at %v", c, matched, sum, min(rows, cols), want)
		}
	}
}

// Requests wait for the next round, which sends them together.
func TestRoundsBatchRequests(t *testing.T) {
	d := testDispatcher(t, nil)
	for _, w := range d.byRank {
		w.othersSlots, w.othersSlotsAt = d.slots(w)-1, time.Second // one slot each: a second job would wait for the first's start
	}
	two := []Event{request(1, "safe"), request(2, "safe")}
	if got := ofKind(Send, d.Step(time.Second, two, nil)); len(got) != 0 {
		t.Fatalf("sent before the round: %v", got)
	}
	if got := sendsAt(d, time.Second+d.roundInterval); len(got) != 2 {
		t.Fatalf("the round sent %d of 2 requests", len(got))
	}
}

// Jobs that have missed their targets don't delay a job that can still meet its target.
func TestJobsThatMakeTheirTargetGoFirst(t *testing.T) {
	d := testDispatcher(t, nil)
	for _, w := range d.byRank {
		w.busySlots = d.slots(w)
	}
	var old []Event
	for id := uint32(1); id <= 2*maxRoundJobs; id++ {
		old = append(old, request(id, "safe"))
	}
	d.Step(time.Second, old, nil)
	at := 3 * time.Second
	fresh := request(999, "safe")
	fresh.Work = 90 * ms // longer than the waiting jobs, so that by runtime alone these would go first
	d.Step(at, []Event{fresh}, nil)
	d.byRank[0].busySlots--
	d.scheduleRound()
	got := sendsAt(d, at+2*d.roundInterval)
	if len(got) != 1 || got[0].ID != 999 {
		t.Errorf("got %v, want request 999 alone", got)
	}
}

// If crossing zones is expensive, a job waits for a worker in its own zone while its slack allows, but not if
// that zone has no usable worker.
func TestStaysInZoneWhileSlackAllows(t *testing.T) {
	for _, tt := range []struct {
		name       string
		price      float64
		homeFailed bool
		after      time.Duration
		crosses    bool
	}{
		{"expensive, right after its arrival", 0.1, false, 20 * ms, false},
		{"expensive, half of its slack used", 0.1, false, 110 * ms, true},
		{"cheap", cheapCrossZonePrice, false, 20 * ms, true},
		{"free", 0, false, 20 * ms, true},
		{"own zone unusable", 0.1, true, 20 * ms, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := testDispatcher(t, func(s *Settings) { s.CrossZonePrice = tt.price })
			for _, w := range d.byRank[:2] {
				w.busySlots = d.slots(w)
				if tt.homeFailed {
					w.state = Removed
				}
			}
			d.Step(time.Second, []Event{request(1, "safe")}, nil)
			d.scheduleRound()
			got := sendsAt(d, time.Second+tt.after)
			if (len(got) == 1 && got[0].Worker == "c") != tt.crosses {
				t.Errorf("sent %v", got)
			}
		})
	}
}

// Unhealthy workers are avoided while other workers are healthy. Otherwise workers that fail fast would
// attract nearly all jobs, as their slots are free at once. No worker is avoided if nearly all look
// unhealthy.
func TestFailsOpenOnlyWhenNearlyAllAreUnhealthy(t *testing.T) {
	for failing, want := range map[int]bool{0: false, 1: false, 2: false, 3: true} {
		d := testDispatcher(t, nil)
		for _, w := range d.byRank[:failing] {
			d.now = time.Second
			d.recordFailure(w)
		}
		d.Step(time.Second, []Event{request(1, "safe")}, nil)
		if d.scheduleRound(); d.roundAt < never {
			d.Step(d.roundAt, nil, nil)
		}
		if d.failOpen != want {
			t.Errorf("%d of 3 fail: fail open is %v", failing, d.failOpen)
		}
	}
}

// A worker that reports free slots and still rejects jobs becomes more expensive with each rejection, so that
// the jobs go to others. Each job that it starts halves its rejections.
func TestRejectionsRaiseAWorkersCost(t *testing.T) {
	d := testDispatcher(t, nil)
	j := &job{key: d.keyFor(7), size: 0.05, class: &d.cfg.Classes[0], deadline: time.Hour, targetBy: time.Hour}
	best := func() *worker {
		return slices.MinFunc(d.byRank[:2], func(a, b *worker) int { return cmp.Compare(d.cost(j, a, 1, 1), d.cost(j, b, 1, 1)) })
	}
	home := best()
	home.rejections = 2
	if best() == home {
		t.Error("a worker that rejected two jobs is still the cheapest")
	}
	a := &attempt{j: j, w: home, sent: d.now}
	home.inFlight = append(home.inFlight, a)
	d.jobs[9] = &job{id: 9, attempts: []*attempt{a}}
	d.Step(d.now+ms, []Event{{Kind: JobStarted, ID: 9}}, nil)
	if home.rejections != 1 {
		t.Errorf("%d rejections after a start, want 1", home.rejections)
	}
	d.Step(d.now+ms, []Event{{Kind: AttemptEnded, ID: 9, Outcome: Full, Report: NoReport}}, nil)
	if home.rejections != 2 {
		t.Errorf("%d rejections after one more, want 2", home.rejections)
	}
}

// An empty worker is preferred to a fuller one unless it is much slower: a worker with one free slot of
// four loses to an empty worker that is a quarter slower, but not to an empty worker that is three times
// slower. Otherwise all dispatchers would send to the workers that look fastest, although the reports of
// their free slots are old by then.
func TestEmptyWorkerIsPreferredToSomewhatFasterOne(t *testing.T) {
	for slow, want := range map[float64]string{1: "empty", 1.25: "empty", 3: "full"} {
		d, err := New(Settings{MinStepInterval: time.Millisecond, LoadReports: true, MayProbe: true, ResponseGrace: 8 * time.Millisecond,
			Classes: []Class{{Name: "c", LatencyTarget: 400 * time.Millisecond, LateValue: 1, Deadline: 9 * time.Second}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, to := time.Hour, ""
		events := []Event{{Kind: ListRestored, Members: []Member{{Worker: "full", Kind: "k"}, {Worker: "empty", Kind: "k"}}},
			{Kind: ProbeEnded, Worker: "empty", Outcome: OK, Report: Report{4, -1, 0, 0, 0}},
			{Kind: ProbeEnded, Worker: "full", Outcome: OK, Report: Report{1, -1, 0, 3, 0.7}},
			{Kind: Request, ID: 1, Class: "c", TimeLeft: 9 * time.Second, Work: 100 * time.Millisecond, Slots: 1}}
		for range 100 {
			for _, a := range d.Step(now, events, nil) {
				if a.Kind == Send {
					to = a.Worker
				}
			}
			d.workers["empty"].learnedSlowness = slow
			now, events = now+time.Millisecond, nil
		}
		if to != want {
			t.Errorf("the empty worker is %v times as slow: sent to %q", slow, to)
		}
	}
}

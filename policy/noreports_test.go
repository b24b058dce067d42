package policy

import (
	"testing"
	"time"
)

// Tests of deployments whose workers report nothing: free slots, the use of slots and warming budgets are estimated
// from attempts in flight, starts and outcomes alone.

func withoutReports(t *testing.T, change func(*Settings)) *Dispatcher {
	t.Helper()
	return newWithoutReports(t, func(s *Settings) {
		s.Reports = false
		if change != nil {
			change(s)
		}
	})
}

// runJobs has w run n jobs that started as soon as they were sent.
func runJobs(d *Dispatcher, w *worker, n int) {
	for range n {
		j := &job{class: &d.set.Classes[0], size: 0.05, slots: 1, due: d.now + time.Hour, targetBy: d.now + time.Hour}
		d.send(j, w)
		d.start(j.attempts[len(j.attempts)-1])
	}
}

// A worker that started every job at once has a free slot for one more, however much time passes: nothing shows that
// others' jobs use it.
func TestPromptStartsLeaveFreeSlotsWithoutReports(t *testing.T) {
	d := withoutReports(t, nil)
	d.now = time.Second
	w := d.order[0]
	runJobs(d, w, 3)
	for _, later := range []time.Duration{0, 100 * ms, 2 * time.Second} {
		d.now = time.Second + later
		if got := d.freeSlots(w); got != 1 {
			t.Errorf("%v free slots beside three running jobs, %v after their start", got, later)
		}
	}
}

// How many slots a warming worker has is estimated from what ran at once at others of its kind: otherwise its part is
// that of one slot, and no job of usual size fits.
func TestWarmingBudgetFollowsTheKindWithoutReports(t *testing.T) {
	d := withoutReports(t, func(s *Settings) { s.Schedulers = 1 })
	d.now = 10 * time.Second
	fresh, other := d.order[0], d.order[1]
	fresh.started = d.now
	d.born = 0
	work := 3 * 0.2 * budgetMargin * 2.0 / (budgetIntervals + 1) // as much as two slots' part allows
	fresh.budgetInterval, fresh.budgetUsed = d.now/(d.set.OverloadWindow/budgetIntervals), 1e-9
	if d.inWarmingBudget(fresh, work) {
		t.Fatal("the job fits before any slot was observed")
	}
	runJobs(d, other, 4)
	if !d.inWarmingBudget(fresh, work) {
		t.Error("the job does not fit though four ran at once at another worker of its kind")
	}
}

// The fraction of slots in use is estimated as if all schedulers used as many as this one.
func TestUseWithoutReports(t *testing.T) {
	for _, tt := range []struct {
		schedulers, running int
		want                float64
	}{{1, 0, 0}, {1, 4, 4.0 / 13}, {3, 4, 12.0 / 13}, {30, 4, 2}} {
		d := withoutReports(t, func(s *Settings) { s.Schedulers = tt.schedulers })
		d.now = time.Second
		runJobs(d, d.order[0], tt.running)
		for _, w := range d.order {
			w.kind.seen = 4
		}
		if got := d.estimatedUse(); got != tt.want {
			t.Errorf("%d schedulers, %d own jobs: %v of the slots in use, want %v", tt.schedulers, tt.running, got, tt.want)
		}
		d.Step(time.Second, []Event{request(1, "safe")}, nil)
		sendsAt(d, time.Second+d.roundInterval)
		if (d.use > 0) != (tt.running > 0) {
			t.Errorf("%d own jobs: rounds take %v of the slots for in use", tt.running, d.use)
		}
	}
}

// Fetches that take long compared with runtimes justify crossing zones: a key then has one home for all zones. How
// long they take is learned from jobs that were not sent to a home of their key.
func TestLongFetchesGiveAKeyOneHome(t *testing.T) {
	for _, tt := range []struct {
		name string
		took float64 // seconds, beside 50 ms of running
		all  bool    // whether every key has a home in the own zone
	}{{"short", 0.052, true}, {"long", 0.15, false}} {
		d := withoutReports(t, func(s *Settings) { s.CrossZonePrice = 0.03 })
		d.now, d.meanRun = time.Second, 0.05
		for n := range 60 {
			w, j := d.order[0], &job{class: &d.set.Classes[0], size: 0.05, slots: 1, key: d.keyFor(uint32(n)), due: time.Hour}
			if d.fetch(w, j) < fetchRuns*d.meanRun/2 {
				continue // w is a home of the key, or counts as one
			}
			d.send(j, w)
			a := j.attempts[0]
			d.start(a)
			d.now += seconds(tt.took)
			w.removeAttempt(a, d.now)
			d.meanRun, w.slow, w.kind.n, w.kind.table = 0.05, 1, 0, [40]tableRow{}
			d.learn(a)
		}
		d.meanRun = 0.05
		homes := 0
		for n := range uint32(50) {
			j := &job{key: d.keyFor(1000 + n), size: 0.05, class: &d.set.Classes[0]}
			for _, w := range d.order {
				if w.zone == d.set.Zone && d.fetch(w, j) == 0 {
					homes++
				}
			}
		}
		if (homes == 50) != tt.all {
			t.Errorf("%s fetches: %d of 50 keys have a home in the own zone (learned %.3f s)", tt.name, homes, d.meanFetch)
		}
	}
}

// Without reports, a fetch counts against a job's target only as far as workers are full; with them, always: fetches
// from a busy store cost large fleets and bursts more than they give.
func TestFetchCountsAgainstTheTargetAsFarAsWorkersAreFull(t *testing.T) {
	for _, tt := range []struct {
		reports bool
		full    float64
		late    bool
	}{{false, 0, false}, {false, 1, true}, {true, 0, true}, {true, 1, true}} {
		d := withoutReports(t, func(s *Settings) { s.Reports = tt.reports })
		d.now, d.meanRun, d.use = time.Second, 0.2, tt.full
		j := &job{class: &d.set.Classes[0], size: 0.05, slots: 1, due: d.now + time.Second, targetBy: d.now + 150*ms}
		for hash := uint32(0); j.key == nil || d.fetch(d.order[0], j) < 0.12; hash++ {
			j.key = d.keyFor(hash)
		}
		if got := d.cost(j, d.order[0], 1, 1) >= failPenalty; got != tt.late {
			t.Errorf("reports %v, %v of the slots in use: fails the test %v, want %v", tt.reports, tt.full, got, tt.late)
		}
	}
}

package policy

import (
	"testing"
	"time"
)

// These tests are on deployments without load reports. There, free slots, the use of slots and the budgets
// of warming workers are estimated only from own attempts in flight, and from the starts and outcomes of own
// attempts.

func withoutReports(t *testing.T, change func(*Settings)) *Dispatcher {
	t.Helper()
	return newWithoutReports(t, func(s *Settings) {
		s.LoadReports = false
		if change != nil {
			change(s)
		}
	})
}

// runJobs sends n jobs to w that start as soon as they are sent.
func runJobs(d *Dispatcher, w *worker, n int) {
	for range n {
		j := &job{class: &d.cfg.Classes[0], size: 0.05, slots: 1, deadline: d.now + time.Hour, targetBy: d.now + time.Hour}
		d.send(j, w)
		d.recordStart(j.attempts[len(j.attempts)-1])
	}
}

// A worker that started every job at once has one more free slot, however much time passes: no observation
// shows that jobs of other schedulers use it.
func TestPromptStartsLeaveFreeSlotsWithoutReports(t *testing.T) {
	d := withoutReports(t, nil)
	d.now = time.Second
	w := d.byRank[0]
	runJobs(d, w, 3)
	for _, later := range []time.Duration{0, 100 * ms, 2 * time.Second} {
		d.now = time.Second + later
		if got := d.freeSlots(w); got != 1 {
			t.Errorf("%v free slots next to three running jobs, %v after their start", got, later)
		}
	}
}

// The slots of a warming worker are estimated from how many jobs ran at once at other workers of its
// kind. Otherwise it would have the budget of one slot, which is too small for any job of usual size.
func TestWarmingBudgetFollowsTheKindWithoutReports(t *testing.T) {
	d := withoutReports(t, func(s *Settings) { s.Schedulers = 1 })
	d.now = 10 * time.Second
	fresh, other := d.byRank[0], d.byRank[1]
	fresh.started = d.now
	d.firstStepAt = 0
	work := 3 * 0.2 * budgetMargin * 2.0 / (intervalsPerWindow + 1) // the share of a worker with two slots
	fresh.budgetInterval, fresh.budgetUsed = d.now/(d.cfg.OverloadWindow/intervalsPerWindow), 1e-9
	if d.inWarmUpBudget(fresh, work) {
		t.Fatal("the job fits before any slot was observed")
	}
	runJobs(d, other, 4)
	if !d.inWarmUpBudget(fresh, work) {
		t.Error("the job does not fit though four ran at once at another worker of its kind")
	}
}

// The fraction of slots in use is estimated as if all schedulers used as many slots as this one.
func TestUseWithoutReports(t *testing.T) {
	for _, tt := range []struct {
		schedulers, running int
		want                float64
	}{{1, 0, 0}, {1, 4, 4.0 / 13}, {3, 4, 12.0 / 13}, {30, 4, 2}} {
		d := withoutReports(t, func(s *Settings) { s.Schedulers = tt.schedulers })
		d.now = time.Second
		runJobs(d, d.byRank[0], tt.running)
		for _, w := range d.byRank {
			w.kind.maxSlots = 4
		}
		if got := d.estimateSlotUse(); got != tt.want {
			t.Errorf("%d schedulers, %d own jobs: %v of the slots in use, want %v", tt.schedulers, tt.running, got, tt.want)
		}
		d.Step(time.Second, []Event{request(1, "safe")}, nil)
		sendsAt(d, time.Second+d.roundInterval)
		if (d.slotUse > 0) != (tt.running > 0) {
			t.Errorf("%d own jobs: after a round the estimate is %v of the slots in use", tt.running, d.slotUse)
		}
	}
}

// If fetches take long compared with runtimes, they cost more than crossing zones, and a key has one home for
// all zones. How long they take is learned from jobs that were sent to a worker which is no home of their
// key.
func TestLongFetchesGiveAKeyOneHome(t *testing.T) {
	for _, tt := range []struct {
		name string
		took float64 // runtime in seconds: 50 ms and the fetch
		all  bool    // every key has a home in the own zone
	}{{"short", 0.052, true}, {"long", 0.15, false}} {
		d := withoutReports(t, func(s *Settings) { s.CrossZonePrice = 0.03 })
		d.now, d.meanRuntime = time.Second, 0.05
		for n := range 60 {
			w, j := d.byRank[0], &job{class: &d.cfg.Classes[0], size: 0.05, slots: 1, key: d.keyFor(uint32(n)), deadline: time.Hour}
			if d.fetchTime(w, j) < fetchCostRuns*d.meanRuntime/2 {
				continue // w is a home of the key
			}
			d.send(j, w)
			a := j.attempts[0]
			d.recordStart(a)
			d.now += seconds(tt.took)
			w.removeAttempt(a, d.now)
			d.meanRuntime, w.learnedSlowness, w.kind.n, w.kind.runtimeBySize = 0.05, 1, 0, [40]runtimeRow{}
			d.learnRuntime(a)
		}
		d.meanRuntime = 0.05
		homes := 0
		for n := range uint32(50) {
			j := &job{key: d.keyFor(1000 + n), size: 0.05, class: &d.cfg.Classes[0]}
			for _, w := range d.byRank {
				if w.zone == d.cfg.Zone && d.fetchTime(w, j) == 0 {
					homes++
				}
			}
		}
		if (homes == 50) != tt.all {
			t.Errorf("%s fetches: %d of 50 keys have a home in the own zone (learned %.3f s)", tt.name, homes, d.meanFetchTime)
		}
	}
}

// Without reports, a predicted fetch counts against a job's target only in proportion to the slots in use.
// With reports it always counts: in large fleets and in bursts, fetches from a busy store cost more than they
// gain.
func TestFetchCountsAgainstTheTargetAsFarAsWorkersAreFull(t *testing.T) {
	for _, tt := range []struct {
		reports bool
		full    float64
		late    bool
	}{{false, 0, false}, {false, 1, true}, {true, 0, true}, {true, 1, true}} {
		d := withoutReports(t, func(s *Settings) { s.LoadReports = tt.reports })
		d.now, d.meanRuntime, d.slotUse = time.Second, 0.2, tt.full
		j := &job{class: &d.cfg.Classes[0], size: 0.05, slots: 1, deadline: d.now + time.Second, targetBy: d.now + 150*ms}
		for hash := uint32(0); j.key == nil || d.fetchTime(d.byRank[0], j) < 0.12; hash++ {
			j.key = d.keyFor(hash)
		}
		if got := d.cost(j, d.byRank[0], 1, 1) >= targetMissPenalty; got != tt.late {
			t.Errorf("reports %v, %v of the slots in use: misses the target %v, want %v", tt.reports, tt.full, got, tt.late)
		}
	}
}

package policy

import (
	"testing"
	"time"
)

// sentWork is a job's work, in seconds, that was sent to the warming worker.
type sentWork struct {
	at      time.Duration
	seconds float64
}

// sentBetween returns the seconds of work that were sent at from or later and before until.
func sentBetween(sends []sentWork, from, until time.Duration) (seconds float64) {
	for _, s := range sends {
		if s.at >= from && s.at < until {
			seconds += s.seconds
		}
	}
	return seconds
}

// warmingLoad is the load of each of warmingSchedulers schedulers while worker "a" warms up from warmingStart
// on.
type warmingLoad struct {
	every    time.Duration // between two requests to one scheduler
	restarts bool          // every eighth scheduler restarts after 2 s
}

const (
	warmingSchedulers = 80
	warmingStart      = 10 * time.Second
)

// play steps scheduler n for 4 s and returns the work that it sent.
func (l warmingLoad) play(t *testing.T, n int) (sends []sentWork) {
	t.Helper()
	fresh := func(at time.Duration, kind EventKind) *Dispatcher {
		d := testDispatcher(t, func(s *Settings) { s.Schedulers, s.Number = warmingSchedulers, n })
		d.firstStepAt = never
		d.meanRuntime = 0.6 / float64(1+n) // different for each scheduler
		list := Event{Kind: kind, Members: []Member{{Worker: "a", Zone: "z0", Kind: "k", Started: warmingStart}}}
		d.Step(at, []Event{list}, nil)
		d.applyReport(d.workers["a"], Report{FreeSlots: 4})
		return d
	}
	d := fresh(warmingStart, ListReplaced)
	id := uint32(0)
	for at := warmingStart; at < warmingStart+4*time.Second; at += 10 * ms {
		if l.restarts && n%8 == 3 && at == warmingStart+2*time.Second { // while the worker is warming up
			d = fresh(at, ListRestored)
		}
		var events []Event
		if (at+time.Duration(n)*7*ms)%l.every < 10*ms {
			id++
			e := request(id, "safe")
			e.Work = 60 * ms
			events = append(events, e)
		}
		var ended []Event
		for _, a := range ofKind(Send, d.Step(at, events, nil)) {
			sends = append(sends, sentWork{at, 0.06})
			ended = append(ended, Event{Kind: AttemptEnded, ID: a.ID, Outcome: OK, Responded: true, Report: NoReport})
		}
		d.Step(at, ended, nil)
	}
	return sends
}

// All schedulers together send a warming worker no more than its budget in any OverloadWindow, even while
// some of them restart. They use most of the budget even if each has only a few requests.
func TestWarmingBudgetIsSharedByAllSchedulers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		load   warmingLoad
		minUse float64 // least fraction of the intended budget that is used in each window
	}{
		{"many requests", warmingLoad{every: 20 * ms}, 0.7},
		{"a few requests", warmingLoad{every: 330 * ms}, 0.6},
		{"every eighth restarts", warmingLoad{every: 20 * ms, restarts: true}, 0.5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var sends []sentWork
			senders := 0
			for n := range warmingSchedulers {
				own := tt.load.play(t, n)
				sends = append(sends, own...)
				senders += min(1, len(own))
			}
			for from := warmingStart; from < warmingStart+3*time.Second; from += 50 * ms {
				sum := sentBetween(sends, from, from+time.Second)
				budget := 3 * (0.2 + 0.8*(0.5+(from-warmingStart).Seconds())/5) * 4 // by the mean capacity in this second
				if sum > budget {
					t.Errorf("%.2f s of work within a second from %v, the budget is %.2f", sum, from, budget)
				}
				if sum < tt.minUse*budgetMargin*budget*intervalsPerWindow/(intervalsPerWindow+1) {
					t.Errorf("only %.2f s of work within a second from %v, the budget is %.2f", sum, from, budget)
				}
			}
			if senders < warmingSchedulers/4 {
				t.Errorf("only %d schedulers sent anything", senders)
			}
		})
	}
}

// Most workers start with more capacity and warm up faster than in the settings' worst case. A job that meets
// its target at a typical warm-up is sent to a worker that has just started. Only the budget of all
// schedulers follows the worst case.
func TestWarmingWorkersArePredictedByUsualWarmUp(t *testing.T) {
	d := testDispatcher(t, func(s *Settings) { s.Schedulers = 1 })
	w := d.workers["a"]
	w.started, d.now = 10*time.Second, 10*time.Second
	if worst, usual := d.minCapacity(w), d.typicalCapacity(w); worst != 0.2 || usual <= worst || usual > 0.4 {
		t.Errorf("capacity at the start: %v at worst, %v typically", worst, usual)
	}
	for at := time.Duration(0); at < 6*time.Second; at += 100 * ms {
		d.now = 10*time.Second + at
		if worst, usual := d.minCapacity(w), d.typicalCapacity(w); usual < worst || usual > 1 {
			t.Errorf("capacity %v after the start: %v at worst, %v typically", at, worst, usual)
		}
	}
	if d.now = 14 * time.Second; d.typicalCapacity(w) < 1 {
		t.Errorf("typical capacity after four fifths of the longest warm-up: %v, want 1", d.typicalCapacity(w))
	}
	list := Event{Kind: ListReplaced, Members: []Member{{Worker: "a", Zone: "z0", Kind: "k", Started: 20 * time.Second}}}
	d.Step(20*time.Second, []Event{list}, nil)
	d.applyReport(w, Report{FreeSlots: 4})
	e := request(1, "safe") // its target is 220 ms: at a fifth of the capacity it would be late
	e.Work = 60 * ms
	d.Step(20*time.Second, []Event{e}, nil)
	sends := 0
	for at := 20 * time.Second; at < 20*time.Second+200*ms; at += 5 * ms {
		sends += len(ofKind(Send, d.Step(at, nil, nil)))
	}
	if sends != 1 {
		t.Errorf("sent %d times to a worker that just started", sends)
	}
}

// A scheduler that starts while a worker is warming up doesn't know how much its predecessor sent there
// in the last OverloadWindow. It uses a third of its share. If it used none, a runner that is enabled
// during an upgrade would get no work.
func TestOwnRestartSendsAThirdToWarmingWorkers(t *testing.T) {
	start := 10 * time.Second
	from, to := start+time.Second, start+2*time.Second // the window after the restart
	list := []Event{{Kind: ListRestored, Members: []Member{{Worker: "a", Zone: "z0", Kind: "k", Started: start}}}}
	sent := func(firstStepAt time.Duration) (work float64) {
		s := testSettings()
		s.Schedulers = 1
		d, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		d.Step(firstStepAt, list, nil)
		d.byRank[0].kind.maxSlots = 4
		d.meanRuntime = 0.6
		for id, at := uint32(1), firstStepAt; at < to; id, at = id+1, at+5*ms {
			e := request(id, "safe")
			e.Work = 50 * ms
			var ended []Event
			for _, a := range ofKind(Send, d.Step(at, []Event{e}, nil)) {
				if at >= from {
					work += 0.05
				}
				ended = append(ended, Event{Kind: AttemptEnded, ID: a.ID, Outcome: OK, Responded: true, Report: NoReport})
			}
			d.Step(at, ended, nil)
		}
		return work
	}
	before, after := sent(start-time.Second), sent(from)
	if after <= 0 || after > before/3+0.15 { // the capacity grows, and so does the share: a few jobs more
		t.Errorf("%.2f s of work sent in the window after an own restart, %.2f s without a restart: want a third", after, before)
	}
}

// If a worker warms up faster than in the settings' worst case, its runtimes soon show in the predictions for
// it. They don't change the runtimes of its kind.
func TestWarmingWorkerIsPricedByItsRuntimes(t *testing.T) {
	d := testDispatcher(t, nil)
	w := d.byRank[0]
	w.started = time.Second
	for n := 0; n < 10; n++ {
		d.now = time.Second + time.Duration(n)*50*ms
		j := &job{id: uint32(n), class: &d.cfg.Classes[0], size: 0.05, slots: 1}
		d.send(j, w)
		a := j.attempts[0]
		d.recordStart(a)
		d.now += 50 * ms // as fast as a warm worker from the start
		w.removeAttempt(a, d.now)
		d.learnRuntime(a)
	}
	if got, worst := d.predictRuntime(w, &job{size: 0.05}), 0.05/d.minCapacity(w); got > worst/2 {
		t.Errorf("predicted %v s, want half of the worst case at most, which is %v s", got, worst)
	}
	if w.kind.n != 0 {
		t.Error("the kind learned from a warming worker")
	}
}

// An OverloadWindow that is too short to be divided into intervals is valid: it doesn't cause a division by
// zero.
func TestShortestOverloadWindow(t *testing.T) {
	d := testDispatcher(t, func(s *Settings) { s.OverloadWindow = 1 })
	w := d.byRank[0]
	w.started, d.now = 10*time.Second, 10*time.Second
	d.inWarmUpBudget(w, 0.05)
}

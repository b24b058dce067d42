package policy

import (
	"fmt"
	"testing"
	"time"
)

// testFleet is a number of schedulers that share one worker, which is warming up. The worker has four slots,
// starts with the least capacity that the settings allow, warms up in the longest time, and reports free
// slots when it is probed.
type testFleet struct {
	t       *testing.T
	all     []*Dispatcher
	worker  string
	start   time.Duration
	queued  []fleetJob
	running []fleetJob
	inbox   [][]Event
	sends   []sentWork
	served  int
	nextID  uint32
	reports bool             // probes bring reports
	idle    func(n int) bool // reports whether scheduler n gets no requests; nil: all get some
}

type fleetJob struct {
	by      int // the scheduler that sent it
	id      uint32
	attempt int
	left    float64 // seconds of work
}

const fleetWork = 60 * ms

// newFleet returns a fleet that has known its worker as warm for a second when the worker restarts at start.
func newFleet(t *testing.T, schedulers int, reports bool) *testFleet {
	t.Helper()
	f := &testFleet{t: t, worker: "a", start: 10 * time.Second, reports: reports, inbox: make([][]Event, schedulers)}
	for n := range schedulers {
		s := testSettings()
		s.Schedulers, s.Number, s.MayProbe, s.ProbePrice = schedulers, n, reports, 0.01
		d, err := New(s, uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		d.Step(f.start-time.Second, []Event{{Kind: ListReplaced, Members: []Member{{Worker: f.worker, Zone: "z0", Kind: "k"}}}}, nil)
		d.applyReport(d.workers[f.worker], Report{FreeSlots: 4}) // so its kind is known to have four slots
		f.inbox[n] = []Event{{Kind: ListReplaced, Members: []Member{{Worker: f.worker, Zone: "z0", Kind: "k", Started: f.start}}}}
		f.all = append(f.all, d)
	}
	return f
}

func (f *testFleet) warmth(at time.Duration) float64 { return min(1, 0.2+0.8*(at-f.start).Seconds()/5) }

// run runs the worker and the schedulers until the given time. Each scheduler gets a request every so often,
// at times that differ between schedulers.
func (f *testFleet) run(until, every time.Duration) {
	const tick = 5 * ms
	for at := f.start; at < until; at += tick {
		for len(f.running) < 4 && len(f.queued) > 0 {
			j := f.queued[0]
			f.queued, f.running = f.queued[1:], append(f.running, j)
			f.inbox[j.by] = append(f.inbox[j.by], Event{Kind: JobStarted, ID: j.id, Attempt: j.attempt, Worker: f.worker})
		}
		rest := f.running[:0]
		for _, j := range f.running {
			if j.left -= tick.Seconds() * f.warmth(at); j.left > 0 {
				rest = append(rest, j)
				continue
			}
			f.served++
			f.inbox[j.by] = append(f.inbox[j.by], Event{Kind: AttemptEnded, ID: j.id, Attempt: j.attempt, Worker: f.worker,
				Outcome: OK, Responded: true, Report: NoReport})
		}
		f.running = rest
		for n, d := range f.all {
			if (at+time.Duration(n)*7*ms)%every < tick && (f.idle == nil || !f.idle(n)) {
				f.nextID++
				e := request(f.nextID, "safe")
				e.Work = fleetWork
				f.inbox[n] = append(f.inbox[n], e)
			}
			events := f.inbox[n]
			f.inbox[n] = nil
			for _, a := range d.Step(at, events, nil) {
				f.apply(n, at, a)
			}
		}
	}
}

// apply carries out an action of scheduler n.
func (f *testFleet) apply(n int, at time.Duration, a Action) {
	switch a.Kind {
	case Send:
		f.sends = append(f.sends, sentWork{at, fleetWork.Seconds()})
		f.queued = append(f.queued, fleetJob{n, a.ID, len(f.all[n].jobs[a.ID].attempts) - 1, fleetWork.Seconds()})
	case Probe:
		r := Report{FreeSlots: float64(4 - len(f.running)), FreeMemory: -1, Queued: -1, InFlight: -1, Load: -1}
		f.inbox[n] = append(f.inbox[n], Event{Kind: ProbeEnded, Worker: a.Worker, Outcome: OK, Report: r})
	case Cancel:
		for i, j := range f.queued {
			if j.id == a.ID {
				f.queued = append(f.queued[:i:i], f.queued[i+1:]...)
				break
			}
		}
		f.inbox[n] = append(f.inbox[n], Event{Kind: AttemptEnded, ID: a.ID, Attempt: a.Attempt, Worker: f.worker,
			Outcome: Cancelled, Report: NoReport})
	}
}

// All schedulers together send a warming worker no more than its budget. This holds for any number of
// schedulers, even if each has far too many requests, and probes that show free slots allow more than
// the usual shares.
func TestFleetStaysInWarmingBudgetWithReports(t *testing.T) {
	for _, schedulers := range []int{3, 20, 80, 300} {
		t.Run(fmt.Sprint(schedulers), func(t *testing.T) {
			f := newFleet(t, schedulers, true)
			f.run(f.start+4*time.Second, time.Duration(schedulers)*4*ms) // 250 requests/s bring 15 s of work per second
			if f.served < 60 {
				t.Errorf("%d jobs served", f.served)
			}
			for from := f.start; from < f.start+3*time.Second; from += 50 * ms {
				budget := 3 * 4 * f.warmth(from+500*ms)
				if sum := sentBetween(f.sends, from, from+time.Second); sum > budget {
					t.Errorf("%.2f s of work within a second from %v, the budget is %.2f", sum, from, budget)
				}
			}
		})
	}
}

// If few schedulers have requests for a warming worker, the shares of all other schedulers stay unused.
// The few then see free slots by their probes, and send more than their own shares.
func TestFleetUsesIdleSharesOfWarmingBudgetWithReports(t *testing.T) {
	served := func(reports bool) int {
		f := newFleet(t, 80, reports)
		f.idle = func(n int) bool { return n%10 > 0 }
		f.run(f.start+3*time.Second, 250*ms) // 8 schedulers get 32 requests/s, about the worker's capacity
		return f.served
	}
	if without, with := served(false), served(true); float64(with) < 1.3*float64(without) {
		t.Errorf("%d jobs served with reports, %d without", with, without)
	}
}

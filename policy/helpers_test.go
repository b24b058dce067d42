package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{Zone: "z0", Number: 0, Schedulers: 2, MinStepInterval: 5 * ms,
		Classes: []Class{
			{Name: "safe", LatencyTarget: 100 * ms, Stretch: 2, Deadline: 4 * time.Second},
			{Name: "keyed", Semantics: Keyed, LatencyTarget: 100 * ms, Stretch: 2, Deadline: 4 * time.Second,
				DedupWindow: 3 * time.Second},
			{Name: "unsafe", Semantics: Unsafe, LatencyTarget: 200 * ms, Stretch: 2, Deadline: 8 * time.Second},
		},
		ReportsStarts: true, LoadReports: true, MayCancel: true, MaxAttempts: 3,
		ConnIdleTimeout: 5 * time.Second,
		ConnectTimeout:  100 * ms, ResponseGrace: 20 * ms, MinStartCapacity: 0.2, MaxWarmUpTime: 5 * time.Second,
		OverloadFactor: 3, OverloadWindow: time.Second}
}

func testList() Event {
	return Event{Kind: ListReplaced, Members: []Member{
		{Worker: "a", Zone: "z0", Cell: 0, Kind: "k"},
		{Worker: "b", Zone: "z0", Cell: 0, Kind: "k"},
		{Worker: "c", Zone: "z1", Cell: 1, Kind: "k"},
	}}
}

// newWithoutReports returns a dispatcher that has the list of workers, but has got no load report.
func newWithoutReports(tb testing.TB, change func(*Settings)) *Dispatcher {
	tb.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	d, err := New(s, 1)
	if err != nil {
		tb.Fatal(err)
	}
	d.Step(0, []Event{testList()}, nil)
	return d
}

// testDispatcher returns a dispatcher that has got a report of four free slots from each worker.
func testDispatcher(tb testing.TB, change func(*Settings)) *Dispatcher {
	tb.Helper()
	d := newWithoutReports(tb, change)
	for _, w := range d.byRank {
		d.applyReport(w, Report{FreeSlots: 4, FreeMemory: -1, Queued: -1, InFlight: -1, Load: -1})
	}
	d.othersSlotUse = 0
	d.Step(100*ms, nil, nil)
	return d
}

func request(id uint32, class string) Event {
	return Event{Kind: Request, ID: id, Class: class, TimeLeft: 4 * time.Second, Work: 50 * ms, Slots: 1}
}

// ofKind returns the actions of one kind.
func ofKind(kind ActionKind, actions []Action) []Action {
	var r []Action
	for _, a := range actions {
		if a.Kind == kind {
			r = append(r, a)
		}
	}
	return r
}

// sendsAt steps without events, at a time past the next round, and returns the sends.
func sendsAt(d *Dispatcher, at time.Duration) []Action {
	return ofKind(Send, d.Step(at, nil, nil))
}

// keyFor returns the record of a key, and adds one without demand if there is none.
func (d *Dispatcher) keyFor(hash uint32) *key {
	if d.keys[hash] == nil {
		d.keys[hash] = &key{hash: hash}
	}
	return d.keys[hash]
}

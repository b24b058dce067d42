package policy

import (
	"testing"
	"time"
)

// countMoves plays one scheduler whose jobs wait unstarted at workers that report room, and counts the moves of the last half.
// Where starts is true a moved job starts at once at the next worker.
func countMoves(t *testing.T, starts bool) (moved int) {
	set := Settings{Schedulers: 1, Period: time.Millisecond, ReportsStarts: true, Reports: true, Probes: true, Cancel: true,
		MaxAttempts: 4, ResponseGrace: 8 * time.Millisecond, ConnectTimeout: 200 * time.Millisecond,
		Classes: []Class{{Name: "c", LatencyTarget: 400 * time.Millisecond, LateValue: 1, Deadline: time.Minute}}}
	d, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	workers := []string{"a", "b", "c"}
	list := Event{Kind: ListRestored}
	for _, w := range workers {
		list.Members = append(list.Members, Member{Worker: w, Kind: "k"})
	}
	d.Step(now, []Event{list}, nil)
	sent := map[uint32]int{}
	var events []Event
	for n := range 2000 {
		now += 20 * time.Millisecond
		for _, w := range workers { // each is well, tells room, and starts other jobs
			events = append(events, Event{Kind: ProbeEnded, Worker: w, Outcome: OK, Report: Report{4, -1, 0, 0, 0}})
			d.workers[w].lastProgress, d.workers[w].rejections, d.workers[w].fails = now, 0, 0
		}
		if n%10 == 0 {
			events = append(events, Event{Kind: Request, ID: uint32(n + 1), Class: "c", Left: 3 * time.Second, Work: time.Millisecond, Slots: 1})
		}
		var next []Event
		for _, a := range d.Step(now, events, nil) {
			switch a.Kind {
			case Send:
				if sent[a.ID]++; starts && sent[a.ID] > 1 {
					next = append(next, Event{Kind: JobStarted, ID: a.ID, Attempt: sent[a.ID] - 1},
						Event{Kind: AttemptEnded, ID: a.ID, Attempt: sent[a.ID] - 1, Outcome: OK, Complete: true, Report: NoReport})
				}
			case Cancel:
				if n > 1000 {
					moved++
				}
				next = append(next, Event{Kind: AttemptEnded, ID: a.ID, Attempt: a.Attempt, Outcome: Cancelled, Report: NoReport})
			}
		}
		events = next
	}
	return moved
}

// Guards against a storm of moves where they bring nothing: where workers go on with what was cancelled, each move costs
// them a whole job and a handshake, and the next worker is as full. Seen at farm-game-main, calm+mass: 32,020 of 51,500
// attempts cancelled, and 0.76 served where 0.94 is without moves.
func TestMovesStopWhereTheyDoNotHelp(t *testing.T) {
	helps, not := countMoves(t, true), countMoves(t, false)
	if helps < 50 {
		t.Errorf("%d moves where each one helps", helps)
	}
	if not > helps/2 {
		t.Errorf("%d moves where none helps, %d where each does", not, helps)
	}
}

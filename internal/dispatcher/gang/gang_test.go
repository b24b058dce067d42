package gang_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/gang"
	"ospreypond/internal/dispatcher/gang/virtual"
)

var (
	seed = flag.Uint64("seed", 0, "seed of the only run of random faults to make; 0: all seeds")
	runs = flag.Int("runs", 1000, "number of runs of random faults")
)

// epoch is the time at which worlds begin.
var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// options returns the options of a small world with short timeouts.
func options(s uint64) virtual.Options {
	return virtual.Options{Seed: s, Step: 250 * time.Millisecond, Poll: time.Second, Latency: 100 * time.Millisecond, Start: 2 * time.Second,
		Config: gang.Config{StartTimeout: 8 * time.Second, MemberTimeout: 15 * time.Second, Bandwidth: 50e6, Margin: 5 * time.Second, SaveTimeout: 30 * time.Second, Backoff: 2 * time.Second,
			MaxBackoff: 20 * time.Second, CheckpointInterval: 40 * time.Second, StarvationTimeout: 10 * time.Minute, AgeStep: 5 * time.Minute, ZonePenalty: 0.1,
			MaxGangs: 1000, MaxMoves: 20}}
}

// world returns a world with this many dispatchers and runners. Each runner has four slots, and is in zone a or b alternately.
func world(t *testing.T, opt virtual.Options, dispatchers, runners int) *virtual.World {
	t.Helper()
	w := virtual.New(epoch, opt)
	for i := range dispatchers {
		_, err := w.Add(fmt.Sprint("d", i))
		require.NoError(t, err)
	}
	for i := range runners {
		w.Runners = append(w.Runners, &virtual.Runner{Name: fmt.Sprint("r", i), Zone: string(rune('a' + i%2)), Kind: "k", Speed: 1, Slots: 4, Up: true})
	}
	return w
}

// submit submits a gang with the same work for all members.
func submit(w *virtual.World, name string, members int, work time.Duration) {
	r := gang.Record{Name: name, Due: w.Now.Add(3 * work)}
	for range members {
		r.Needs = append(r.Needs, gang.Need{Class: "mosaic", Slots: 1, Work: work, StateBytes: 10e6})
	}
	w.Submit(r)
}

// allDone returns a function that reports whether all gangs are done.
func allDone(w *virtual.World) func() bool {
	return func() bool {
		for _, n := range w.Gangs() {
			if _, ok := w.Ended(n); !ok {
				return false
			}
		}
		return true
	}
}

// Every gang is done some time after random faults have ended, no invariant of the world is violated, and the runs together
// take exactly the steps of gang.Table.
func TestRandomFaults(t *testing.T) {
	taken := map[gang.Step]int{}
	for s := uint64(1); s <= uint64(*runs); s++ {
		if *seed != 0 {
			s = *seed
		}
		for step, n := range runFaults(t, s) {
			taken[step] += n
		}
		if t.Failed() {
			t.Fatalf("repeat by: go test ./internal/dispatcher/gang -run RandomFaults -seed %d", s)
		}
		if *seed != 0 {
			return
		}
	}
	t.Log(taken)
	for _, step := range gang.Table {
		assert.Positive(t, taken[step], "step %v was never taken", step)
		delete(taken, step)
	}
	assert.Empty(t, taken, "steps that are not in the table")
}

// runFaults runs a world with random faults, checks it, and returns how often its records took each step.
func runFaults(t *testing.T, s uint64) map[gang.Step]int {
	t.Helper()
	rng := rand.New(rand.NewPCG(s, 9))
	opt := options(s)
	opt.Jitter = 3 * time.Second
	w := world(t, opt, 3, 6)
	for i := range 3 {
		submit(w, fmt.Sprint("g", i), 2+rng.IntN(4), time.Duration(20+rng.IntN(100))*time.Second)
	}
	calm := false
	chance := func(p float64) func() bool { return func() bool { return !calm && rng.Float64() < p } }
	w.Lose, w.Damage, w.Hang = chance(0.1), chance(0.05), chance(0.05)
	for range 12 {
		injectFault(w, rng)
		w.For(time.Duration(1+rng.IntN(15)) * time.Second)
		for _, all := range w.Dispatchers {
			if all.Core == nil && rng.IntN(2) == 0 {
				require.NoError(t, w.Start(all))
			}
		}
		require.Empty(t, w.Violation(), "seed %d at %v", s, w.Now.Sub(epoch))
	}
	calm = true
	endFaults(t, w)
	done := w.Until(30*time.Minute, allDone(w))
	require.Empty(t, w.Violation(), "seed %d", s)
	if !assert.True(t, done, "seed %d: a gang is not done", s) {
		for _, n := range w.Gangs() {
			t.Logf("%+v", w.Record(n))
		}
	}
	return w.Steps
}

// injectFault begins or ends a random fault.
func injectFault(w *virtual.World, rng *rand.Rand) {
	d, r := w.Dispatchers[rng.IntN(3)], w.Runners[rng.IntN(6)]
	switch rng.IntN(9) {
	case 0:
		w.Kill(d)
	case 1:
		d.Stopped = !d.Stopped && d.Core != nil
	case 2:
		d.Partitioned = !d.Partitioned
	case 3:
		r.Up, r.Mute = !r.Up, rng.IntN(2) == 0
	case 4: // a retirement is announced, or called off
		if r.Announced, r.Retires = w.Now, w.Now.Add(time.Duration(10+rng.IntN(60))*time.Second); rng.IntN(3) == 0 {
			r.Retires = time.Time{}
		}
	case 5:
		w.Unresponsive = !w.Unresponsive
	case 6: // a wrong view, so that two dispatchers may act for one gang
		if d.Sees = nil; rng.IntN(2) == 0 {
			d.Sees = func(*virtual.Dispatcher) bool { return false }
		}
	case 7:
		r.FailStarts = rng.IntN(3)
	case 8: // all dispatchers crash at once
		for _, all := range w.Dispatchers {
			w.Kill(all)
		}
	}
}

// endFaults ends all faults and starts every dispatcher that is down.
func endFaults(t *testing.T, w *virtual.World) {
	t.Helper()
	w.Unresponsive = false
	for _, d := range w.Dispatchers {
		if d.Partitioned, d.Sees, d.Stopped = false, nil, false; d.Core == nil {
			require.NoError(t, w.Start(d))
		}
	}
	for _, r := range w.Runners {
		r.Up, r.Retires, r.FailStarts = true, time.Time{}, 0
	}
}

// A retirement that is announced a minute before costs less than 20 runner-seconds of work and 20 s of standstill, for the
// save and the new start.
func TestRelocatedBeforeRetirement(t *testing.T) {
	w := world(t, options(1), 3, 4)
	submit(w, "g", 4, 5*time.Minute)
	w.For(time.Minute)
	require.Equal(t, gang.Running, w.Record("g").Phase)
	first := w.Record("g").Placement
	for _, r := range w.Runners {
		if r.Name == first[0] {
			r.Announced, r.Retires = w.Now, w.Now.Add(time.Minute)
		}
	}
	require.True(t, w.Until(time.Hour, allDone(w)))
	assert.Equal(t, uint64(2), w.Record("g").Generation)
	assert.Less(t, w.LostWork, 20.0, "lost work in runner-seconds")
	assert.Less(t, w.Stalled("g"), 20*time.Second)
	assert.Empty(t, w.Violation())
}

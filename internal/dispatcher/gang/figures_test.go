package gang_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/gang"
	"ospreypond/internal/dispatcher/gang/virtual"
)

var figures = flag.Bool("figures", false, "measure the figures in docs/gangs.md; takes minutes")

// TestFigures measures the cost of a zone's retirement, with 300 dispatchers, 200 runners in three zones, 200 gangs and
// three seeds. It compares saves as late as possible with saving all gangs at the announcement and with no saves before the
// retirement.
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("-figures is not set")
	}
	for _, tt := range []struct {
		every  time.Duration
		policy gang.Policy
	}{{10 * time.Minute, gang.Latest}, {10 * time.Minute, gang.AtOnce}, {10 * time.Minute, gang.Never}, {0, gang.Latest}} {
		for s := range uint64(3) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				measure(t, tt.every, tt.policy, s+1)
			})
		}
	}
}

// zoneWorld returns a world of 300 dispatchers, 200 runners in three zones and 200 gangs.
func zoneWorld(t *testing.T, opt virtual.Options) *virtual.World {
	t.Helper()
	w := virtual.New(epoch, opt)
	for i := range 300 {
		_, err := w.Add(fmt.Sprint("d", i))
		require.NoError(t, err)
	}
	for i := range 200 {
		w.Runners = append(w.Runners, &virtual.Runner{Name: fmt.Sprint("r", i), Zone: string(rune('a' + i%3)), Kind: "k",
			Speed: []float64{1, 1, 0.8}[i/3%3], Slots: 8, Up: true})
	}
	rng := rand.New(rand.NewPCG(opt.Seed, 4))
	for i := range 200 {
		work := time.Duration(20+rng.IntN(60)) * time.Minute
		r := gang.Record{Name: fmt.Sprint("g", i), Due: epoch.Add(work*13/10 + 10*time.Minute), Priority: rng.IntN(3)}
		for range 2 + rng.IntN(6) {
			r.Needs = append(r.Needs, gang.Need{Class: "mosaic", Slots: 1, Work: work, StateBytes: 200e6})
		}
		w.Submit(r)
	}
	return w
}

// relocations returns the number of gangs that have to leave zone a when it retires in 12 minutes, and the sum of the
// shortest times, in seconds, that their saves and starts can take.
func relocations(w *virtual.World, opt virtual.Options) (n int, minTime float64) {
	for _, name := range w.Gangs() {
		rec := w.Record(name)
		isInZone := false
		for _, p := range rec.Placement {
			var at int
			_, _ = fmt.Sscanf(p, "r%d", &at)
			isInZone = isInZone || at%3 == 0
		}
		if left := rec.Needs[0].Work - w.Now.Sub(epoch); isInZone && left > 12*time.Minute {
			n++
			minTime += float64(len(rec.Needs))*200e6/opt.Config.Bandwidth + opt.Start.Seconds()
		}
	}
	return n, minTime
}

// measure runs a zoneWorld, retires zone a, and prints the figures.
func measure(t *testing.T, every time.Duration, policy gang.Policy, s uint64) {
	t.Helper()
	opt := options(s)
	opt.Step, opt.Poll, opt.Latency, opt.Start = time.Second, 5*time.Second, 2*time.Second, 10*time.Second
	c := &opt.Config
	c.StartTimeout, c.MemberTimeout, c.Bandwidth, c.Margin = time.Minute, time.Minute, 500e6, 20*time.Second
	c.SaveTimeout, c.CheckpointInterval, c.RetirePolicy = 5*time.Minute, every, policy
	w := zoneWorld(t, opt)
	w.For(9 * time.Minute)
	for _, r := range w.Runners {
		if r.Zone == "a" {
			r.Announced, r.Retires = w.Now, w.Now.Add(12*time.Minute)
		}
	}
	moved, minTime := relocations(w, opt)
	require.True(t, w.Until(8*time.Hour, allDone(w)), "not all gangs are done")
	require.Empty(t, w.Violation())
	inTime, stalled := 0, 0.0
	for _, n := range w.Gangs() {
		if at, _ := w.Ended(n); !at.After(w.Record(n).Due) {
			inTime++
		}
		stalled += w.Stalled(n).Seconds()
	}
	fmt.Printf("every %v, %s, seed %d: lost %.0f runner-seconds, %d of 200 by their due time, stood still %.1f s a gang, "+
		"%.1f GB to the register, %d writes of records; %d had to move, at least %.1f s each\n",
		every, []string{"latest safe start", "all at the announcement", "killed by the retirement"}[policy], s, w.LostWork, inTime,
		stalled/200, w.Bytes()/1e9, w.Writes(), moved, minTime/float64(max(1, moved)))
}

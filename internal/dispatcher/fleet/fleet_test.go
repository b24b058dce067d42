package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/fleet"
	"ospreypond/internal/dispatcher/fleet/quota"
	"ospreypond/internal/dispatcher/fleet/virtual"
)

const tick = 500 * time.Millisecond // the probe interval

// options returns the options of a network with short delays and without faults. The seed alone reproduces a failing run.
func options(seed uint64) virtual.Options {
	return virtual.Options{Seed: seed, Config: fleet.Config{Interval: tick}, Delay: time.Millisecond, Jitter: 10 * time.Millisecond}
}

// startAll starts n processes at once and waits until their views agree.
func startAll(t *testing.T, n int, opt virtual.Options) *virtual.World {
	t.Helper()
	w := virtual.New(n, opt)
	for _, node := range w.Nodes {
		require.NoError(t, w.Start(node))
	}
	awaitAgreement(t, w, 60*tick, "all members have joined")
	return w
}

// awaitAgreement waits until the views of all running processes agree, and returns how long that took. It fails the test if
// that takes longer than limit.
func awaitAgreement(t *testing.T, w *virtual.World, limit time.Duration, what string) time.Duration {
	t.Helper()
	took, ok := w.Until(tick/2, limit, func() bool { return w.Agree() })
	require.True(t, ok, "%s: not within %v", what, limit)
	return took
}

// count returns the number of changes of a kind that all processes together have seen since a time.
func count(w *virtual.World, k fleet.ChangeKind, since time.Duration) (n int) {
	for _, node := range w.Nodes {
		for _, c := range node.Changes {
			if c.Kind == k && c.At >= since {
				n++
			}
		}
	}
	return n
}

func TestJoins(t *testing.T) {
	t.Run("one member after another", func(t *testing.T) {
		w := virtual.New(30, options(1))
		for _, n := range w.Nodes {
			require.NoError(t, w.Start(n))
			awaitAgreement(t, w, 10*tick, n.Name)
		}
	})
	t.Run("300 members at once", func(t *testing.T) { startAll(t, 300, options(2)) })
	t.Run("while no seed is running", func(t *testing.T) {
		w := virtual.New(20, options(3))
		for _, n := range w.Nodes[3:] {
			require.NoError(t, w.Start(n))
		}
		w.For(60 * tick)
		for _, n := range w.Nodes[3:] {
			require.Equal(t, 1, n.Core.Living(), "there is no member to join yet")
		}
		require.NoError(t, w.Start(w.Nodes[1]))
		awaitAgreement(t, w, 20*tick, "a seed has started")
	})
	t.Run("with one seed behind a partition", func(t *testing.T) {
		opt := options(4)
		opt.Link = func(_ time.Duration, from, to *virtual.Node) virtual.Link {
			return virtual.Link{Down: from.Name == "d0" || to.Name == "d0"}
		}
		w := virtual.New(20, opt)
		for _, n := range w.Nodes {
			require.NoError(t, w.Start(n))
		}
		_, ok := w.Until(tick, 60*tick, func() bool { return w.Agree(w.Nodes[1:]...) })
		require.True(t, ok)
		assert.Equal(t, 1, w.Nodes[0].Core.Living())
	})
}

func TestRestarts(t *testing.T) {
	t.Run("of a tenth of the members at a time", func(t *testing.T) {
		w := startAll(t, 100, options(5))
		for first := 0; first < 100; first += 10 {
			for _, n := range w.Nodes[first : first+10] {
				w.Kill(n)
			}
			w.For(2 * tick)
			for _, n := range w.Nodes[first : first+10] {
				require.NoError(t, w.Start(n))
			}
			w.For(4 * tick)
		}
		awaitAgreement(t, w, 20*tick, "all members have restarted")
	})
	t.Run("of seven in ten members after they were killed", func(t *testing.T) {
		w := startAll(t, 100, options(6))
		for _, n := range w.Nodes[:70] {
			w.Kill(n)
		}
		awaitAgreement(t, w, 60*tick, "the others have found the dead")
		for _, n := range w.Nodes[:70] {
			require.NoError(t, w.Start(n))
		}
		awaitAgreement(t, w, 30*tick, "all members are back")
	})
	t.Run("a member leaves", func(t *testing.T) {
		w := startAll(t, 100, options(10))
		w.Leave(w.Nodes[50])
		awaitAgreement(t, w, 8*tick, "the others have learned that it left")
	})
}

// Of several processes under one name, the process with the highest epoch is the member.
func TestProcessesOfOneName(t *testing.T) {
	t.Run("a stale epoch is rejected", func(t *testing.T) {
		w := startAll(t, 10, options(7))
		p := &fleet.Packet{Kind: fleet.Ping, From: w.Nodes[4].Core.Snapshot().Self} // a datagram that the network delays
		p.From.Incarnation = 99
		w.Kill(w.Nodes[4])
		w.For(2 * tick)
		require.NoError(t, w.Start(w.Nodes[4]))
		awaitAgreement(t, w, 20*tick, "the new process is known")
		epoch := w.Nodes[4].Core.Snapshot().Self.Epoch
		assert.Equal(t, fleet.StaleEpoch, w.Nodes[1].Core.Receive(w.Now, w.Nodes[4].Addr, p))
		for _, m := range w.Nodes[1].Core.Snapshot().Members {
			if m.Name == "d4" {
				assert.Equal(t, epoch, m.Epoch)
			}
		}
	})
	t.Run("a process whose clock is behind its predecessor's takes a higher epoch", func(t *testing.T) {
		w := startAll(t, 10, options(8))
		before := w.Nodes[4].Core.Snapshot().Self.Epoch
		w.Kill(w.Nodes[4])
		w.For(4 * tick)
		require.NoError(t, w.StartWithEpoch(w.Nodes[4], before+1000))
		awaitAgreement(t, w, 20*tick, "the process with the clock ahead is known")
		w.Kill(w.Nodes[4])
		require.NoError(t, w.StartWithEpoch(w.Nodes[4], before))
		awaitAgreement(t, w, 20*tick, "the new process is known")
		assert.Greater(t, w.Nodes[4].Core.Snapshot().Self.Epoch, before+1000)
	})
	t.Run("of two processes at once the earlier one is superseded", func(t *testing.T) {
		w := startAll(t, 10, options(9))
		duplicate, err := w.StartDuplicate(w.Nodes[4])
		require.NoError(t, err)
		_, ok := w.Until(tick, 20*tick, func() bool { return w.Nodes[4].Core.Snapshot().Superseded })
		assert.True(t, ok, "the earlier process is superseded")
		w.For(20 * tick)
		assert.False(t, duplicate.Core.Snapshot().Superseded)
		for _, n := range w.Nodes[:4] {
			assert.Equal(t, 10, n.Core.Living(), "one name counts as one member")
		}
	})
}

// Views converge without any operator within 40 intervals after a partition ends, however long it lasted.
func TestPartitionsHeal(t *testing.T) {
	zone := func(n *virtual.Node) int { return int(n.Zone[0] - 'a') }
	for name, cut := range map[string]func(from, to *virtual.Node) bool{
		"two halves":        func(a, b *virtual.Node) bool { return (a.Number < 15) != (b.Number < 15) },
		"three parts":       func(a, b *virtual.Node) bool { return a.Number/10 != b.Number/10 },
		"two members alone": func(a, b *virtual.Node) bool { return (a.Number < 2) != (b.Number < 2) },
		"one way":           func(a, b *virtual.Node) bool { return a.Number < 10 && b.Number >= 10 },
		"a zone alone":      func(a, b *virtual.Node) bool { return (zone(a) == 0) != (zone(b) == 0) },
		"some links":        func(a, b *virtual.Node) bool { return (a.Number*7+b.Number*3)%5 == 0 },
	} {
		for _, last := range []time.Duration{5 * time.Second, time.Minute, 30 * time.Minute} {
			t.Run(fmt.Sprint(name, " ", last), func(t *testing.T) {
				t.Parallel()
				opt, from, to := options(11), time.Duration(0), time.Duration(0)
				opt.Link = func(now time.Duration, a, b *virtual.Node) virtual.Link {
					return virtual.Link{Down: now >= from && now < to && cut(a, b)}
				}
				w := startAll(t, 30, opt)
				from, to = w.Now, w.Now+last
				w.Run(to - 1)
				parted := !w.Agree()
				w.Run(to)
				took := awaitAgreement(t, w, 40*tick, "the partition has ended")
				if last > 20*time.Second && name != "some links" && name != "one way" {
					assert.True(t, parted, "the views differed during the partition")
				}
				if last > 5*time.Minute { // after a shorter one, suspicions that began before its end may still expire
					assert.Zero(t, count(w, fleet.Died, to), "a death that only the other side has declared is refuted, not spread")
				}
				if name == "some links" {
					assert.Zero(t, count(w, fleet.Died, 0), "indirect probes reach members that direct ones don't reach")
				}
				t.Logf("the views agreed %.1f intervals after the end of the partition", float64(took)/float64(tick))
			})
		}
	}
}

// After a bad network has recovered, all members are back in all views. Where noDeaths is set, no member is even declared dead.
func TestBadNetworks(t *testing.T) {
	for name, tt := range map[string]struct {
		link     func(now time.Duration) virtual.Link
		noDeaths bool // no member may be declared dead
	}{
		"a fifth of the datagrams lost": {func(time.Duration) virtual.Link { return virtual.Link{Loss: 0.2} }, true},
		"datagrams duplicated":          {func(time.Duration) virtual.Link { return virtual.Link{Duplicates: 0.3} }, true},
		"datagrams 2 s late":            {func(time.Duration) virtual.Link { return virtual.Link{Late: 0.3, LateBy: 2 * time.Second} }, true},
		"datagrams lost, duplicated and late": {func(time.Duration) virtual.Link {
			return virtual.Link{Loss: 0.3, Duplicates: 0.3, Late: 0.3, LateBy: 2 * time.Second}
		}, false},
		"all datagrams lost for 1 s in each 7 s": {func(now time.Duration) virtual.Link { return virtual.Link{Down: now%(7*time.Second) < time.Second} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad, opt := false, options(12)
			opt.Link = func(now time.Duration, _, _ *virtual.Node) virtual.Link {
				if !bad {
					return virtual.Link{}
				}
				return tt.link(now)
			}
			w := startAll(t, 50, opt)
			bad = true
			w.For(200 * tick)
			if died := count(w, fleet.Died, 0); tt.noDeaths {
				assert.Zero(t, died)
			}
			bad = false
			awaitAgreement(t, w, 40*tick, "the network has recovered")
		})
	}
}

// A stopped process declares no other member dead because of the time that it was stopped, and is soon alive in all views
// again. A clock that jumps forward looks like such a stop. When a clock goes back, the core assumes that no time has
// passed.
func TestStoppedProcessesAndClockJumps(t *testing.T) {
	for name, do := range map[string]func(w *virtual.World, n *virtual.Node){
		"stopped for 20 s": func(w *virtual.World, n *virtual.Node) {
			w.Stop(n)
			w.For(20 * time.Second)
			w.Continue(n)
		},
		"stopped while it suspects another": func(w *virtual.World, n *virtual.Node) {
			w.Links(func(_ time.Duration, a, b *virtual.Node) virtual.Link {
				return virtual.Link{Down: a.Name == "d8" || b.Name == "d8"}
			})
			w.Until(tick/4, 40*tick, func() bool { return suspects(n, "d8") })
			w.Stop(n)
			w.Links(nil)
			w.For(30 * time.Second) // longer than any suspicion lasts
			w.Continue(n)
		},
		"clock jumps an hour forward": func(_ *virtual.World, n *virtual.Node) { n.Skew = time.Hour },
		"clock goes an hour back":     func(_ *virtual.World, n *virtual.Node) { n.Skew = -time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			w := startAll(t, 50, options(13))
			since := w.Now
			do(w, w.Nodes[7])
			awaitAgreement(t, w, 20*tick, "the member is alive in all views")
			w.For(40 * tick)
			for _, n := range w.Nodes {
				for _, c := range n.Changes {
					if c.At > since && c.Kind == fleet.Died {
						require.Equal(t, "d7", c.Member.Name, "declared dead by %s at %v", n.Name, c.At)
					}
				}
			}
			assert.True(t, w.Agree())
		})
	}
}

// suspects reports whether n suspects the member with this name.
func suspects(n *virtual.Node, name string) bool {
	for _, m := range n.Core.Snapshot().Members {
		if m.Name == name {
			return m.State == fleet.Suspect
		}
	}
	return false
}

// Snapshot reports whether the view has converged, and since when.
func TestConverged(t *testing.T) {
	w := startAll(t, 30, options(14))
	w.For(20 * tick)
	for _, n := range w.Nodes {
		require.True(t, n.Core.Snapshot().Converged, n.Name)
	}
	w.Kill(w.Nodes[3])
	_, ok := w.Until(tick/2, 20*tick, func() bool { return !w.Nodes[8].Core.Snapshot().Converged })
	require.True(t, ok, "a member is suspected")
	awaitAgreement(t, w, 40*tick, "the killed member is dead in all views")
	w.For(20 * tick)
	s := w.Nodes[8].Core.Snapshot()
	assert.True(t, s.Converged)
	assert.Positive(t, s.Since)
	var kinds []string
	for _, c := range w.Nodes[8].Changes {
		if c.Member.Name == "d3" {
			kinds = append(kinds, c.Kind.String())
		}
	}
	assert.Equal(t, []string{"joined", "suspected", "died"}, kinds, "changes are returned in order")
}

// Where refusals are trusted, deaths are soon known, and the living members own nearly all numbers. No number ever has two
// owners, and a partition passes no number on.
func TestNumbersOfDeadMembersPassToLivingOnes(t *testing.T) {
	opt := options(15)
	opt.Config.TrustRefusals = true
	opt.Config.Quota = quota.Config{Size: 40, Lease: 15 * tick, GuardTime: tick}
	w := startAll(t, 40, opt)
	owned := func() (n int) {
		by := map[int]string{}
		for _, n := range w.Running() {
			for _, k := range n.Core.Numbers(w.Now) {
				require.Empty(t, by[k], "number %d is owned by %s too", k, n.Name)
				by[k] = n.Name
			}
		}
		return len(by)
	}
	w.For(20 * tick)
	require.Equal(t, 40, owned())
	for _, n := range w.Nodes[:28] {
		w.Kill(n)
	}
	took := awaitAgreement(t, w, 60*tick, "the others have found the dead")
	assert.LessOrEqual(t, took, 20*tick, "refusals prove deaths sooner than suspicions expire")
	for range 40 {
		w.For(tick)
		owned()
	}
	assert.GreaterOrEqual(t, owned(), 38, "nearly every number is owned")
	w.Nodes[30].Skew = -time.Hour
	w.For(tick)
	assert.Empty(t, w.Nodes[30].Core.Numbers(w.Now-time.Hour), "after a clock went back it is unknown how long proofs are still valid")
	w.Nodes[30].Skew = 0
	w.For(40 * tick)
	for _, n := range w.Nodes[:28] {
		require.NoError(t, w.Start(n))
	}
	for range 40 {
		w.For(tick / 2)
		owned()
	}
	assert.Equal(t, 40, owned())

	partitioned := w.Now // a partition passes no number on
	inTwo := func(_ time.Duration, a, b *virtual.Node) virtual.Link {
		return virtual.Link{Down: (a.Number < 20) != (b.Number < 20)}
	}
	w.Links(inTwo)
	for w.Now < partitioned+60*tick {
		w.For(tick)
		require.Equal(t, 40, owned())
	}
}

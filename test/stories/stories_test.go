// Package stories runs the Gherkin scenarios in the folder features on a simulated fleet: the production cores exchange
// packets in memory, in virtual time. The hash of a scenario's title seeds its random numbers, so a new title gives another
// run.
package stories

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"github.com/cucumber/godog"

	"ospreypond/internal/dispatcher/fleet"
	"ospreypond/internal/dispatcher/fleet/quota"
	"ospreypond/internal/dispatcher/fleet/virtual"
)

var seed = flag.Uint64("seed", 0, "seed of every scenario; 0: the hash of its title, which a failing scenario prints")

func TestStories(t *testing.T) {
	suite := godog.TestSuite{Name: "stories", ScenarioInitializer: scenario,
		Options: &godog.Options{Format: "progress", Paths: []string{"features"}, TestingT: t, Strict: true, NoColors: true}}
	if suite.Run() != 0 {
		t.Fatal("a scenario failed")
	}
}

const interval = 500 * time.Millisecond // the fleet's protocol interval, in virtual time

// story is the state of one scenario.
type story struct {
	seed      uint64
	world     *virtual.World
	opt       virtual.Options
	conflict  string                   // describes the latest case of a number with two owners; empty if there was none
	lastPings map[string]*fleet.Packet // a ping by the name of a killed dispatcher, with the epoch it had
}

func scenario(sc *godog.ScenarioContext) {
	s := &story{lastPings: map[string]*fleet.Packet{}}
	sc.Before(func(ctx context.Context, sc *godog.Scenario) (context.Context, error) {
		h := fnv.New64a()
		_, _ = h.Write([]byte(sc.Name))
		if s.seed = *seed; s.seed == 0 {
			s.seed = h.Sum64()
		}
		return ctx, nil
	})
	sc.After(func(ctx context.Context, sc *godog.Scenario, err error) (context.Context, error) {
		if err != nil {
			fmt.Printf("replay %q by: go test ./test/stories -seed %d\n", sc.Name, s.seed)
		}
		return ctx, err
	})
	gangSteps(sc, s)
	s.processSteps(sc)
	s.networkSteps(sc)
	s.viewSteps(sc)
	s.quotaSteps(sc)
}

// processSteps registers the steps that start, kill, stop and stall dispatchers, change their clocks and let time pass.
func (s *story) processSteps(sc *godog.ScenarioContext) {
	sc.Step(`^a fleet of (\d+) dispatchers( that share budgets)?$`, s.newFleet)
	sc.Step(`^a running fleet of (\d+) dispatchers( that share budgets)?$`, s.runningFleet)
	sc.Step(`^(d\d+|d\d+ to d\d+|all) (?:is|are) (started|killed|stopped|continued)$`, s.apply)
	sc.Step(`^(d\d+) (leaves)$`, s.apply)
	sc.Step(`^all are started one by one$`, func() error { return s.startInGroups(1, 4, false) })
	sc.Step(`^all are restarted (\d+) at a time, (\d+) intervals apart$`, func(n, gap int) error { return s.startInGroups(n, gap, true) })
	sc.Step(`^(d\d+) is restarted with epoch (\d+)$`, func(who string, epoch int) error { return s.world.StartWithEpoch(s.node(who), uint64(epoch)) })
	sc.Step(`^(d\d+) is stalled for (\d+) intervals$`, s.stall)
	sc.Step(`^the clock of (d\d+) jumps (ahead|back) by an hour$`, s.jumpClock)
	sc.Step(`^(\d+) intervals pass$`, func(n int) { s.advance(n) })
}

// networkSteps registers the steps that take links down, lose datagrams, and bring all links up.
func (s *story) networkSteps(sc *godog.ScenarioContext) {
	sc.Step(`^zone (\w) is partitioned from the others$`, func(z string) { s.partition(func(a, b *virtual.Node) bool { return (a.Zone == z) != (b.Zone == z) }) })
	sc.Step(`^the fleet is partitioned at d(\d+)$`, func(k int) { s.partition(func(a, b *virtual.Node) bool { return (a.Number < k) != (b.Number < k) }) })
	sc.Step(`^the link between (d\d+) and (d\d+) is down$`, func(x, y string) {
		s.partition(func(a, b *virtual.Node) bool { return a.Name == x && b.Name == y || a.Name == y && b.Name == x })
	})
	sc.Step(`^all links from (d\d+) are down$`, func(x string) { s.partition(func(a, _ *virtual.Node) bool { return a.Name == x }) })
	sc.Step(`^(\d+)% of datagrams are lost$`, func(n int) {
		s.world.Links(func(time.Duration, *virtual.Node, *virtual.Node) virtual.Link {
			return virtual.Link{Loss: float64(n) / 100}
		})
	})
	sc.Step(`^all links are up$`, func() { s.world.Links(nil) })
}

// viewSteps registers the steps that check which dispatchers each dispatcher sees as alive, dead or left.
func (s *story) viewSteps(sc *godog.ScenarioContext) {
	sc.Step(`^within (\d+) intervals all views agree$`, func(n int) error { return s.within(n, "all views agree", func() bool { return s.world.Agree() }) })
	sc.Step(`^within (\d+) more intervals every view has converged$`, func(n int) error { return s.within(n, "every view has converged", s.allConverged) })
	sc.Step(`^(d\d+) sees (nobody|\d+ others)$`, s.seesLiving)
	sc.Step(`^(d\d+) sees (d\d+) as (dead|left|alive)$`, s.sees)
	sc.Step(`^no dispatcher (?:but (d\d+) )?was declared dead$`, s.noDeaths)
	sc.Step(`^every dispatcher was started (\d+) times$`, s.startCounts)
	sc.Step(`^packets of the previous epoch of (d\d+) are rejected$`, s.rejectsStale)
}

// quotaSteps registers the steps that check which dispatcher owns which number. A number stands for one share of the
// budgets.
func (s *story) quotaSteps(sc *godog.ScenarioContext) {
	sc.Step(`^within (\d+) intervals every number is owned( by its own dispatcher)?$`, s.allOwned)
	sc.Step(`^every number is owned( by its own dispatcher)?$`, func(own string) error { return s.allOwned(0, own) })
	sc.Step(`^no number is owned$`, func() error {
		if by := s.owners(); len(by) > 0 {
			return fmt.Errorf("numbers are owned (owners by number): %v", by)
		}
		return nil
	})
	sc.Step(`^no number ever had two owners$`, func() error {
		if s.conflict != "" {
			return fmt.Errorf("%s", s.conflict)
		}
		return nil
	})
	sc.Step(`^number (\d+) has no other owner$`, func(n int) error {
		if by, ok := s.owners()[n]; ok && by != fmt.Sprint("d", n) {
			return fmt.Errorf("number %d is owned by %s", n, by)
		}
		return nil
	})
	sc.Step(`^number (\d+) is owned on the side of d0$`, func(n int) error {
		by := s.node(s.owners()[n])
		if by == nil || by.Number >= 9 {
			return fmt.Errorf("number %d is owned by %q, not by a dispatcher below d9", n, s.owners()[n])
		}
		return nil
	})
}

func (s *story) newFleet(n int, shared string) error {
	s.opt = virtual.Options{Seed: s.seed, Config: fleet.Config{Interval: interval}, Delay: time.Millisecond, Jitter: 10 * time.Millisecond}
	if shared != "" {
		s.opt.Config.TrustRefusals, s.opt.Config.Quota = true, quota.Config{Size: n, Lease: 15 * interval, GuardTime: 2 * interval}
	}
	s.world = virtual.New(n, s.opt)
	return nil
}

func (s *story) runningFleet(n int, shared string) error {
	if err := s.newFleet(n, shared); err != nil {
		return err
	}
	for _, node := range s.world.Nodes {
		if err := s.world.Start(node); err != nil {
			return err
		}
	}
	s.advance(30)
	if !s.world.Agree() {
		return fmt.Errorf("the views of the started dispatchers do not agree after 30 intervals")
	}
	return nil
}

func (s *story) node(name string) *virtual.Node {
	for _, n := range s.world.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// nodes returns the dispatchers that a step names as "d1", "d1 to d3" or "all".
func (s *story) nodes(which string) []*virtual.Node {
	if which == "all" {
		return s.world.Nodes
	}
	first, last, span := strings.Cut(which, " to ")
	if !span {
		last = first
	}
	return s.world.Nodes[s.node(first).Number : s.node(last).Number+1]
}

// apply performs a step's action, such as "started" or "killed", on the named dispatchers.
func (s *story) apply(which, what string) error {
	for _, n := range s.nodes(which) {
		switch what {
		case "started":
			if err := s.world.Start(n); err != nil {
				return err
			}
		case "killed":
			s.lastPings[n.Name] = &fleet.Packet{Kind: fleet.Ping, From: n.Core.Snapshot().Self}
			s.world.Kill(n)
		case "leaves":
			s.world.Leave(n)
		case "stopped":
			s.world.Stop(n)
		case "continued":
			s.world.Continue(n)
		}
	}
	return nil
}

// startInGroups starts n dispatchers at a time and lets gap intervals pass after each group. With restart, it kills each
// dispatcher one interval before it starts it.
func (s *story) startInGroups(n, gap int, restart bool) error {
	for i := 0; i < len(s.world.Nodes); i += n {
		for _, node := range s.world.Nodes[i:min(i+n, len(s.world.Nodes))] {
			if restart {
				s.world.Kill(node)
				s.advance(1)
			}
			if err := s.world.Start(node); err != nil {
				return err
			}
		}
		s.advance(gap)
	}
	return nil
}

func (s *story) stall(who string, n int) {
	s.world.Stop(s.node(who))
	s.advance(n)
	s.world.Continue(s.node(who))
}

func (s *story) jumpClock(who, way string) {
	s.node(who).Skew = map[string]time.Duration{"ahead": time.Hour, "back": -time.Hour}[way]
}

func (s *story) partition(is func(a, b *virtual.Node) bool) {
	s.world.Links(func(_ time.Duration, a, b *virtual.Node) virtual.Link { return virtual.Link{Down: is(a, b)} })
}

// advance advances time by n intervals. If the dispatchers share budgets, it records in conflict whether a number has two
// owners, four times in each interval.
func (s *story) advance(n int) {
	for range 4 * n {
		s.world.For(interval / 4)
		if s.opt.Config.TrustRefusals {
			s.owners()
		}
	}
}

// owners returns the owner's name of each owned number, and sets conflict if a number has two.
func (s *story) owners() map[int]string {
	by := map[int]string{}
	for _, n := range s.world.Running() {
		for _, k := range n.Core.Numbers(s.world.Now + n.Skew) {
			if by[k] != "" {
				s.conflict = fmt.Sprintf("at %v number %d is owned by %s and %s", s.world.Now, k, by[k], n.Name)
			}
			by[k] = n.Name
		}
	}
	return by
}

// within returns nil if ok becomes true within n intervals; condition describes ok in the error.
func (s *story) within(n int, condition string, ok func() bool) error {
	for range n {
		if ok() {
			return nil
		}
		s.advance(1)
	}
	if !ok() {
		return fmt.Errorf("condition not met after %d intervals: %s", n, condition)
	}
	return nil
}

func (s *story) allConverged() bool {
	for _, n := range s.world.Running() {
		if !n.Core.Snapshot().Converged {
			return false
		}
	}
	return true
}

func (s *story) seesLiving(who, whom string) error {
	want := 0
	_, _ = fmt.Sscan(whom, &want) // Sscan can't parse "nobody" and leaves 0
	if got := s.node(who).Core.Living() - 1; got != want {
		return fmt.Errorf("%s sees %d others as living, not %d", who, got, want)
	}
	return nil
}

func (s *story) sees(who, whom, state string) error {
	for _, m := range s.node(who).Core.Snapshot().Members {
		if m.Name == whom {
			if m.State.String() != state {
				return fmt.Errorf("%s sees %s as %s, not as %s", who, whom, m.State, state)
			}
			return nil
		}
	}
	return fmt.Errorf("%s does not see %s", who, whom)
}

func (s *story) noDeaths(but string) error {
	for _, n := range s.world.Nodes {
		for _, c := range n.Changes {
			if c.Kind == fleet.Died && c.Member.Name != but {
				return fmt.Errorf("%s declared %s dead at %v", n.Name, c.Member.Name, c.At)
			}
		}
	}
	return nil
}

func (s *story) startCounts(n int) error {
	for _, node := range s.world.Nodes {
		if node.Starts() != n {
			return fmt.Errorf("%s was started %d times, not %d", node.Name, node.Starts(), n)
		}
	}
	return nil
}

// rejectsStale delivers to every other dispatcher a ping with the epoch that who had when it was last killed, and returns an
// error unless each rejects it as stale.
func (s *story) rejectsStale(who string) error {
	n := s.node(who)
	for _, other := range s.world.Nodes {
		if other == n {
			continue
		}
		if v := other.Core.Receive(s.world.Now, n.Addr, s.lastPings[who]); v != fleet.StaleEpoch {
			return fmt.Errorf("%s did not reject a ping with the previous epoch of %s as stale: %s", other.Name, who, v)
		}
	}
	return nil
}

// allOwned waits up to n intervals until every number has an owner, and with a non-empty own its own dispatcher.
func (s *story) allOwned(n int, own string) error {
	return s.within(n, "every number is owned"+own, func() bool {
		by := s.owners()
		for k, who := range by {
			if own != "" && who != fmt.Sprint("d", k) {
				return false
			}
		}
		return len(by) == len(s.world.Nodes)
	})
}

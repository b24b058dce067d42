// Package stories runs the operators' stories, in Gherkin, over an in-memory fleet of the real cores in virtual time.
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

var seed = flag.Uint64("seed", 0, "the seed of every story; 0: each has its own, which a failing one prints")

func TestStories(t *testing.T) {
	suite := godog.TestSuite{Name: "stories", ScenarioInitializer: scenario,
		Options: &godog.Options{Format: "progress", Paths: []string{"features"}, TestingT: t, Strict: true, NoColors: true}}
	if suite.Run() != 0 {
		t.Fatal("a story failed")
	}
}

const interval = 500 * time.Millisecond

// story is one scenario's world.
type story struct {
	seed uint64
	w    *virtual.World
	opt  virtual.Options
	two  string // two that did so at once
	old  map[string]*fleet.Packet
}

func scenario(sc *godog.ScenarioContext) {
	s := &story{old: map[string]*fleet.Packet{}}
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

// processSteps start, stop and stall processes.
func (s *story) processSteps(sc *godog.ScenarioContext) {
	sc.Step(`^a fleet of (\d+) dispatchers( that share budgets)?$`, s.fleet)
	sc.Step(`^a running fleet of (\d+) dispatchers( that share budgets)?$`, s.running)
	sc.Step(`^(d\d+|d\d+ to d\d+|all) (?:is|are) (started|killed|stopped|continued)$`, s.each)
	sc.Step(`^(d\d+) (leaves)$`, s.each)
	sc.Step(`^all are started one by one$`, func() error { return s.inTurn(1, 4, true) })
	sc.Step(`^all are restarted (\d+) at a time, (\d+) intervals apart$`, func(n, gap int) error { return s.inTurn(n, gap, false) })
	sc.Step(`^(d\d+) is started again in life (\d+)$`, func(who string, life int) error { return s.w.StartWithEpoch(s.node(who), uint64(life)) })
	sc.Step(`^(d\d+) sleeps for (\d+) intervals$`, s.sleep)
	sc.Step(`^the clock of (d\d+) jumps (ahead|back) by an hour$`, s.jump)
	sc.Step(`^(\d+) intervals pass$`, func(n int) { s.pass(n) })
}

// networkSteps break links and mend them.
func (s *story) networkSteps(sc *godog.ScenarioContext) {
	sc.Step(`^zone (\w) is cut off$`, func(z string) { s.cut(func(a, b *virtual.Node) bool { return (a.Zone == z) != (b.Zone == z) }) })
	sc.Step(`^the fleet is cut in two at d(\d+)$`, func(k int) { s.cut(func(a, b *virtual.Node) bool { return (a.Number < k) != (b.Number < k) }) })
	sc.Step(`^the link between (d\d+) and (d\d+) is cut$`, func(x, y string) {
		s.cut(func(a, b *virtual.Node) bool { return a.Name == x && b.Name == y || a.Name == y && b.Name == x })
	})
	sc.Step(`^(d\d+) can't be heard$`, func(x string) { s.cut(func(a, _ *virtual.Node) bool { return a.Name == x }) })
	sc.Step(`^(\d+)% of datagrams are lost$`, func(n int) {
		s.w.Links(func(time.Duration, *virtual.Node, *virtual.Node) virtual.Link {
			return virtual.Link{Loss: float64(n) / 100}
		})
	})
	sc.Step(`^the links are mended$`, func() { s.w.Links(nil) })
}

// viewSteps look at the views.
func (s *story) viewSteps(sc *godog.ScenarioContext) {
	sc.Step(`^within (\d+) intervals all know each other$`, func(n int) error { return s.within(n, "they agree", func() bool { return s.w.Agree() }) })
	sc.Step(`^within (\d+) more intervals every view is settled$`, func(n int) error { return s.within(n, "every view is settled", s.settled) })
	sc.Step(`^(d\d+) knows (nobody|\d+ others)$`, s.knows)
	sc.Step(`^(d\d+) holds (d\d+) (dead|left|alive)$`, s.holds)
	sc.Step(`^nobody (?:but (d\d+) )?was held dead$`, s.nobodyDied)
	sc.Step(`^every dispatcher is in its life number (\d+)$`, s.lives)
	sc.Step(`^what the old life of (d\d+) still sends is dropped$`, s.oldLife)
}

// quotaSteps look at which dispatcher uses which quota.
func (s *story) quotaSteps(sc *godog.ScenarioContext) {
	sc.Step(`^within (\d+) intervals every part is used( by its own dispatcher)?$`, s.whole)
	sc.Step(`^every part is used( by its own dispatcher)?$`, func(own string) error { return s.whole(0, own) })
	sc.Step(`^no part is used$`, func() error {
		if by := s.parts(); len(by) > 0 {
			return fmt.Errorf("used are %v", by)
		}
		return nil
	})
	sc.Step(`^no part was ever used by two$`, func() error {
		if s.two != "" {
			return fmt.Errorf("%s", s.two)
		}
		return nil
	})
	sc.Step(`^the part of d(\d+) is used by nobody else$`, func(n int) error {
		if by, ok := s.parts()[n]; ok && by != fmt.Sprint("d", n) {
			return fmt.Errorf("it is used by %s", by)
		}
		return nil
	})
	sc.Step(`^the part of d(\d+) is used on the side of d0$`, func(n int) error {
		by := s.node(s.parts()[n])
		if by == nil || by.Number >= 9 {
			return fmt.Errorf("it is used by %v", s.parts()[n])
		}
		return nil
	})
}

func (s *story) fleet(n int, shared string) error {
	s.opt = virtual.Options{Seed: s.seed, Config: fleet.Config{Interval: interval}, Delay: time.Millisecond, Jitter: 10 * time.Millisecond}
	if shared != "" {
		s.opt.Config.TrustRefusals, s.opt.Config.Quota = true, quota.Config{Size: n, Lease: 15 * interval, GuardTime: 2 * interval}
	}
	s.w = virtual.New(n, s.opt)
	return nil
}

func (s *story) running(n int, shared string) error {
	if err := s.fleet(n, shared); err != nil {
		return err
	}
	for _, node := range s.w.Nodes {
		if err := s.w.Start(node); err != nil {
			return err
		}
	}
	s.pass(30)
	if !s.w.Agree() {
		return fmt.Errorf("the fleet does not come up")
	}
	return nil
}

func (s *story) node(name string) *virtual.Node {
	for _, n := range s.w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// nodes returns those that "d1", "d1 to d3" or "all" names.
func (s *story) nodes(which string) []*virtual.Node {
	if which == "all" {
		return s.w.Nodes
	}
	first, last, span := strings.Cut(which, " to ")
	if !span {
		last = first
	}
	return s.w.Nodes[s.node(first).Number : s.node(last).Number+1]
}

func (s *story) each(which, what string) error {
	for _, n := range s.nodes(which) {
		switch what {
		case "started":
			if err := s.w.Start(n); err != nil {
				return err
			}
		case "killed":
			s.old[n.Name] = &fleet.Packet{Kind: fleet.Ping, From: n.Core.Snapshot().Self}
			s.w.Kill(n)
		case "leaves":
			s.w.Leave(n)
		case "stopped":
			s.w.Stop(n)
		case "continued":
			s.w.Continue(n)
		}
	}
	return nil
}

func (s *story) inTurn(n, gap int, fresh bool) error {
	for i := 0; i < len(s.w.Nodes); i += n {
		for _, node := range s.w.Nodes[i:min(i+n, len(s.w.Nodes))] {
			if !fresh {
				s.w.Kill(node)
				s.pass(1)
			}
			if err := s.w.Start(node); err != nil {
				return err
			}
		}
		s.pass(gap)
	}
	return nil
}

func (s *story) sleep(who string, n int) {
	s.w.Stop(s.node(who))
	s.pass(n)
	s.w.Continue(s.node(who))
}

func (s *story) jump(who, way string) {
	s.node(who).Skew = map[string]time.Duration{"ahead": time.Hour, "back": -time.Hour}[way]
}

func (s *story) cut(is func(a, b *virtual.Node) bool) {
	s.w.Links(func(_ time.Duration, a, b *virtual.Node) virtual.Link { return virtual.Link{Down: is(a, b)} })
}

// pass lets intervals pass and looks, several times in each, whether two act for one number.
func (s *story) pass(n int) {
	for range 4 * n {
		s.w.For(interval / 4)
		if s.opt.Config.TrustRefusals {
			s.parts()
		}
	}
}

// parts returns who acts for which number now.
func (s *story) parts() map[int]string {
	by := map[int]string{}
	for _, n := range s.w.Running() {
		for _, k := range n.Core.Numbers(s.w.Now + n.Skew) {
			if by[k] != "" {
				s.two = fmt.Sprintf("at %v part %d is used by %s and %s", s.w.Now, k, by[k], n.Name)
			}
			by[k] = n.Name
		}
	}
	return by
}

func (s *story) within(n int, what string, ok func() bool) error {
	for range n {
		if ok() {
			return nil
		}
		s.pass(1)
	}
	if !ok() {
		return fmt.Errorf("%d intervals on it is not so that %s", n, what)
	}
	return nil
}

func (s *story) settled() bool {
	for _, n := range s.w.Running() {
		if !n.Core.Snapshot().Converged {
			return false
		}
	}
	return true
}

func (s *story) knows(who, whom string) error {
	want := 0
	_, _ = fmt.Sscan(whom, &want) // nobody is 0
	if got := s.node(who).Core.Living() - 1; got != want {
		return fmt.Errorf("%s knows %d", who, got)
	}
	return nil
}

func (s *story) holds(who, whom, state string) error {
	for _, m := range s.node(who).Core.Snapshot().Members {
		if m.Name == whom {
			if m.State.String() != state {
				return fmt.Errorf("%s holds it %s", who, m.State)
			}
			return nil
		}
	}
	return fmt.Errorf("%s does not know %s", who, whom)
}

func (s *story) nobodyDied(but string) error {
	for _, n := range s.w.Nodes {
		for _, c := range n.Changes {
			if c.Kind == fleet.Died && c.Member.Name != but {
				return fmt.Errorf("%s held %s dead at %v", n.Name, c.Member.Name, c.At)
			}
		}
	}
	return nil
}

func (s *story) lives(n int) error {
	for _, node := range s.w.Nodes {
		if node.Starts() != n {
			return fmt.Errorf("%s is in its life number %d", node.Name, node.Starts())
		}
	}
	return nil
}

func (s *story) oldLife(who string) error {
	n := s.node(who)
	for _, other := range s.w.Nodes {
		if other == n {
			continue
		}
		if v := other.Core.Receive(s.w.Now, n.Addr, s.old[who]); v != fleet.StaleEpoch {
			return fmt.Errorf("%s took it: %s", other.Name, v)
		}
	}
	return nil
}

func (s *story) whole(n int, own string) error {
	return s.within(n, "every part is used"+own, func() bool {
		by := s.parts()
		for k, who := range by {
			if own != "" && who != fmt.Sprint("d", k) {
				return false
			}
		}
		return len(by) == len(s.w.Nodes)
	})
}

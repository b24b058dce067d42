package stories

import (
	"context"
	"fmt"
	"time"

	"github.com/cucumber/godog"

	"ospreypond/internal/dispatcher/gang"
	"ospreypond/internal/dispatcher/gang/virtual"
)

// gangStory holds the simulated runners, dispatchers and gangs of one scenario.
type gangStory struct {
	base      *story         // has the seed of the scenario
	world     *virtual.World // nil in a scenario without gangs
	savesHang bool           // uploads of checkpoints don't end
}

// gangSteps registers the steps of scenarios about gangs. A scenario also fails if its world found a violation of an
// invariant.
func gangSteps(sc *godog.ScenarioContext, base *story) {
	s := &gangStory{base: base}
	sc.After(func(ctx context.Context, _ *godog.Scenario, err error) (context.Context, error) {
		if s.world != nil && s.world.Violation() != "" {
			return ctx, fmt.Errorf("%s", s.world.Violation())
		}
		return ctx, err
	})
	s.setupSteps(sc)
	s.runnerSteps(sc)
	s.dispatcherSteps(sc)
	s.registerSteps(sc)
	s.outcomeSteps(sc)
}

// setupSteps registers the steps that create the world, submit gangs and advance the virtual time.
func (s *gangStory) setupSteps(sc *godog.ScenarioContext) {
	sc.Step(`^(\d+) dispatchers and (\d+) runners of (\d+) slots$`, s.newWorld)
	sc.Step(`^a gang (\w+) of (\d+) members that takes (\d+) minutes$`, func(name string, n, m int) { s.submit(name, n, m) })
	sc.Step(`^(\d+) gangs of (\d+) members that take (\d+) minutes$`, func(k, n, m int) {
		for i := range k {
			s.submit(fmt.Sprint("g", i), n, m)
		}
	})
	sc.Step(`^(\d+) (minute|second)s? pass(?:es)?$`, func(n int, unit string) {
		s.world.For(time.Duration(n) * map[string]time.Duration{"minute": time.Minute, "second": time.Second}[unit])
	})
}

// runnerSteps registers the steps that announce or withdraw the retirement of runners, kill them, or make starts fail.
func (s *gangStory) runnerSteps(sc *godog.ScenarioContext) {
	sc.Step(`^a runner of (\w+) is to retire in (\d+) seconds$`, func(name string, n int) { s.retire(s.runnerOf(name), n) })
	sc.Step(`^zone (\w) is to retire in (\d+) seconds$`, func(z string, n int) {
		for _, r := range s.world.Runners {
			if r.Zone == z {
				s.retire(r, n)
			}
		}
	})
	sc.Step(`^zone (\w) is back$`, func(z string) {
		for _, r := range s.world.Runners {
			r.Up, r.Retires = true, time.Time{}
		}
	})
	sc.Step(`^no runner is to retire$`, func() {
		for _, r := range s.world.Runners {
			r.Retires = time.Time{}
		}
	})
	sc.Step(`^a runner of (\w+) dies$`, func(name string) { s.runnerOf(name).Up = false })
	sc.Step(`^the next (\d+) starts fail$`, s.failStarts)
}

// dispatcherSteps registers the steps that kill, restart and stall dispatchers, or make them see living dispatchers as dead.
func (s *gangStory) dispatcherSteps(sc *godog.ScenarioContext) {
	sc.Step(`^the dispatcher of (\w+) is killed$`, func(name string) { s.world.Kill(s.ownerOf(name)) })
	sc.Step(`^the dispatcher of (\w+) is stalled for (\d+) seconds$`, func(name string, n int) {
		d := s.ownerOf(name)
		d.Stopped = true
		s.world.For(time.Duration(n) * time.Second)
		d.Stopped = false
	})
	sc.Step(`^all dispatchers are killed and restarted$`, func() error {
		for _, d := range s.world.Dispatchers {
			s.world.Kill(d)
		}
		s.world.For(3 * time.Second)
		for _, d := range s.world.Dispatchers {
			if err := s.world.Start(d); err != nil {
				return err
			}
		}
		return nil
	})
	sc.Step(`^each dispatcher sees all others as dead$`, func() {
		for _, d := range s.world.Dispatchers {
			d.Sees = func(*virtual.Dispatcher) bool { return false }
		}
	})
}

// registerSteps registers the steps that make the register (the store of gangs' records and checkpoints) fail.
func (s *gangStory) registerSteps(sc *godog.ScenarioContext) {
	sc.Step(`^the register is unresponsive for (\d+) seconds$`, func(n int) {
		s.world.Unresponsive = true
		s.world.For(time.Duration(n) * time.Second)
		s.world.Unresponsive = false
	})
	sc.Step(`^uploads of checkpoints hang$`, func() { s.savesHang = true })
	sc.Step(`^uploads of checkpoints work again$`, func() { s.savesHang = false })
	sc.Step(`^checkpoints are damaged from now on$`, func() { s.world.Damage = func() bool { return true } })
}

// outcomeSteps registers the steps that check the gangs' ends, starts, lost work and checkpoints.
func (s *gangStory) outcomeSteps(sc *godog.ScenarioContext) {
	sc.Step(`^(\w+) is done within (\d+) minutes$`, func(name string, n int) error { return s.allDone(n, name) })
	sc.Step(`^all gangs are done within (\d+) minutes$`, func(n int) error { return s.allDone(n, s.world.Gangs()...) })
	sc.Step(`^(\w+) was started (\d+) times?$`, func(name string, n int) error {
		if got := s.world.Record(name).Generation; got != uint64(n) {
			return fmt.Errorf("gang %s was started %d times, not %d", name, got, n)
		}
		return nil
	})
	sc.Step(`^at most (\d+) runner-seconds of work were lost$`, func(n int) error {
		if s.world.LostWork > float64(n) {
			return fmt.Errorf("%.0f runner-seconds of work were lost, more than %d", s.world.LostWork, n)
		}
		return nil
	})
	sc.Step(`^every gang is running or waiting with a checkpoint$`, s.keepsCheckpoints)
}

func (s *gangStory) newWorld(dispatchers, runners, slots int) error {
	s.world = virtual.New(time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC), virtual.Options{Seed: s.base.seed, Step: 250 * time.Millisecond, Poll: time.Second,
		Latency: 100 * time.Millisecond, Start: 2 * time.Second, Jitter: 500 * time.Millisecond, Config: gang.Config{StartTimeout: 10 * time.Second,
			MemberTimeout: 10 * time.Second, Bandwidth: 50e6, Margin: 5 * time.Second, SaveTimeout: 30 * time.Second, Backoff: 2 * time.Second,
			MaxBackoff: 20 * time.Second, CheckpointInterval: 45 * time.Second, StarvationTimeout: 5 * time.Minute, AgeStep: 5 * time.Minute, ZonePenalty: 0.1,
			MaxGangs: 100, MaxMoves: 20}})
	s.world.Hang = func() bool { return s.savesHang }
	for i := range runners {
		s.world.Runners = append(s.world.Runners, &virtual.Runner{Name: fmt.Sprint("r", i), Zone: string(rune('a' + i%2)), Speed: 1, Slots: float64(slots), Up: true})
	}
	for i := range dispatchers {
		if _, err := s.world.Add(fmt.Sprint("d", i)); err != nil {
			return err
		}
	}
	return nil
}

func (s *gangStory) submit(name string, members, minutes int) {
	r := gang.Record{Name: name, Due: s.world.Now.Add(time.Hour)}
	for range members {
		r.Needs = append(r.Needs, gang.Need{Class: "mosaic", Slots: 1, Work: time.Duration(minutes) * time.Minute, StateBytes: 10e6})
	}
	s.world.Submit(r)
}

func (s *gangStory) retire(r *virtual.Runner, seconds int) {
	r.Announced, r.Retires = s.world.Now, s.world.Now.Add(time.Duration(seconds)*time.Second)
}

// runnerOf returns the runner that a gang's first member is placed at.
func (s *gangStory) runnerOf(name string) *virtual.Runner {
	for _, r := range s.world.Runners {
		if r.Name == s.world.Record(name).Placement[0] {
			return r
		}
	}
	return nil
}

// ownerOf returns the dispatcher that owns a gang.
func (s *gangStory) ownerOf(name string) *virtual.Dispatcher {
	for _, d := range s.world.Dispatchers {
		if d.Name == s.world.Record(name).Owner.Name {
			return d
		}
	}
	return nil
}

// failStarts makes the next n starts of the gang named m fail, one after another: each time the first member's start fails
// at the runner that it is placed at, and the gang returns to waiting.
func (s *gangStory) failStarts(n int) {
	for range n {
		s.world.Until(time.Minute, func() bool { return s.world.Record("m").Phase == gang.Starting })
		s.runnerOf("m").FailStarts = 1
		s.world.Until(time.Minute, func() bool { return s.world.Record("m").Phase == gang.Waiting })
	}
}

// allDone advances the virtual time until each of the gangs has ended, and returns an error if one takes longer than
// minutes.
func (s *gangStory) allDone(minutes int, names ...string) error {
	for _, name := range names {
		if !s.world.Until(time.Duration(minutes)*time.Minute, func() bool { _, ok := s.world.Ended(name); return ok }) {
			return fmt.Errorf("gang %s is not done within %d minutes of virtual time: %+v", name, minutes, s.world.Record(name))
		}
	}
	return nil
}

// keepsCheckpoints returns an error unless every gang runs, saves a checkpoint, or waits and has one.
func (s *gangStory) keepsCheckpoints() error {
	for _, name := range s.world.Gangs() {
		if r := s.world.Record(name); r.Phase != gang.Running && r.Phase != gang.Saving && (r.Phase != gang.Waiting || r.Checkpoint == nil) {
			return fmt.Errorf("gang %s is in phase %s with checkpoint %v", name, r.Phase, r.Checkpoint)
		}
	}
	return nil
}

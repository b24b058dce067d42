package stories

import (
	"context"
	"fmt"
	"time"

	"github.com/cucumber/godog"

	"ospreypond/internal/dispatcher/gang"
	"ospreypond/internal/dispatcher/gang/virtual"
)

// gangStory is one scenario's world of gangs.
type gangStory struct {
	*story
	w    *virtual.World
	hang bool
}

func gangSteps(sc *godog.ScenarioContext, base *story) {
	s := &gangStory{story: base}
	sc.After(func(ctx context.Context, _ *godog.Scenario, err error) (context.Context, error) {
		if s.w != nil && s.w.Violation() != "" {
			return ctx, fmt.Errorf("%s", s.w.Violation())
		}
		return ctx, err
	})
	s.setupSteps(sc)
	s.runnerSteps(sc)
	s.dispatcherSteps(sc)
	s.registerSteps(sc)
	s.outcomeSteps(sc)
}

// setupSteps describe the world, and let time pass.
func (s *gangStory) setupSteps(sc *godog.ScenarioContext) {
	sc.Step(`^(\d+) dispatchers and (\d+) runners of (\d+) slots$`, s.begin)
	sc.Step(`^a gang (\w+) of (\d+) members that takes (\d+) minutes$`, func(name string, n, m int) { s.submit(name, n, m) })
	sc.Step(`^(\d+) gangs of (\d+) members that take (\d+) minutes$`, func(k, n, m int) {
		for i := range k {
			s.submit(fmt.Sprint("g", i), n, m)
		}
	})
	sc.Step(`^(\d+) (minute|second)s? pass(?:es)?$`, func(n int, unit string) {
		s.w.For(time.Duration(n) * map[string]time.Duration{"minute": time.Minute, "second": time.Second}[unit])
	})
}

// runnerSteps retire runners and let them die.
func (s *gangStory) runnerSteps(sc *godog.ScenarioContext) {
	sc.Step(`^a runner of (\w+) is to retire in (\d+) seconds$`, func(name string, n int) { s.retire(s.runner(name), n) })
	sc.Step(`^zone (\w) is to retire in (\d+) seconds$`, func(z string, n int) {
		for _, r := range s.w.Runners {
			if r.Zone == z {
				s.retire(r, n)
			}
		}
	})
	sc.Step(`^zone (\w) is back$`, func(z string) {
		for _, r := range s.w.Runners {
			r.Up, r.Retires = true, time.Time{}
		}
	})
	sc.Step(`^no runner is to retire$`, func() {
		for _, r := range s.w.Runners {
			r.Retires = time.Time{}
		}
	})
	sc.Step(`^a runner of (\w+) dies$`, func(name string) { s.runner(name).Up = false })
	sc.Step(`^the next (\d+) starts fail$`, s.failStarts)
}

// dispatcherSteps kill dispatchers, stall them and mislead their views.
func (s *gangStory) dispatcherSteps(sc *godog.ScenarioContext) {
	sc.Step(`^the dispatcher of (\w+) is killed$`, func(name string) { s.w.Kill(s.holder(name)) })
	sc.Step(`^the dispatcher of (\w+) sleeps for (\d+) seconds$`, func(name string, n int) {
		d := s.holder(name)
		d.Stopped = true
		s.w.For(time.Duration(n) * time.Second)
		d.Stopped = false
	})
	sc.Step(`^all dispatchers are killed and started again$`, func() error {
		for _, d := range s.w.Dispatchers {
			s.w.Kill(d)
		}
		s.w.For(3 * time.Second)
		for _, d := range s.w.Dispatchers {
			if err := s.w.Start(d); err != nil {
				return err
			}
		}
		return nil
	})
	sc.Step(`^each dispatcher holds all others dead$`, func() {
		for _, d := range s.w.Dispatchers {
			d.Sees = func(*virtual.Dispatcher) bool { return false }
		}
	})
}

// registerSteps break the register.
func (s *gangStory) registerSteps(sc *godog.ScenarioContext) {
	sc.Step(`^the register is silent for (\d+) seconds$`, func(n int) {
		s.w.Unresponsive = true
		s.w.For(time.Duration(n) * time.Second)
		s.w.Unresponsive = false
	})
	sc.Step(`^saves never end$`, func() { s.hang = true })
	sc.Step(`^saves end again$`, func() { s.hang = false })
	sc.Step(`^states are damaged from now on$`, func() { s.w.Damage = func() bool { return true } })
}

// outcomeSteps look at what became of the gangs.
func (s *gangStory) outcomeSteps(sc *godog.ScenarioContext) {
	sc.Step(`^(\w+) is done within (\d+) minutes$`, func(name string, n int) error { return s.done(n, name) })
	sc.Step(`^all gangs are done within (\d+) minutes$`, func(n int) error { return s.done(n, s.w.Gangs()...) })
	sc.Step(`^(\w+) was started (\d+) times?$`, func(name string, n int) error {
		if got := s.w.Record(name).Generation; got != uint64(n) {
			return fmt.Errorf("it was started %d times", got)
		}
		return nil
	})
	sc.Step(`^at most (\d+) runner-seconds of work were lost$`, func(n int) error {
		if s.w.LostWork > float64(n) {
			return fmt.Errorf("%.0f were", s.w.LostWork)
		}
		return nil
	})
	sc.Step(`^every gang is running or waiting with its state$`, s.kept)
}

func (s *gangStory) begin(dispatchers, runners, slots int) error {
	s.w = virtual.New(time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC), virtual.Options{Seed: s.seed, Step: 250 * time.Millisecond, Poll: time.Second,
		Latency: 100 * time.Millisecond, Start: 2 * time.Second, Jitter: 500 * time.Millisecond, Config: gang.Config{StartTimeout: 10 * time.Second,
			MemberTimeout: 10 * time.Second, Bandwidth: 50e6, Margin: 5 * time.Second, SaveTimeout: 30 * time.Second, Backoff: 2 * time.Second,
			MaxBackoff: 20 * time.Second, CheckpointInterval: 45 * time.Second, StarvationTimeout: 5 * time.Minute, AgeStep: 5 * time.Minute, ZonePenalty: 0.1,
			MaxGangs: 100, MaxMoves: 20}})
	s.w.Hang = func() bool { return s.hang }
	for i := range runners {
		s.w.Runners = append(s.w.Runners, &virtual.Runner{Name: fmt.Sprint("r", i), Zone: string(rune('a' + i%2)), Speed: 1, Slots: float64(slots), Up: true})
	}
	for i := range dispatchers {
		if _, err := s.w.Add(fmt.Sprint("d", i)); err != nil {
			return err
		}
	}
	return nil
}

func (s *gangStory) submit(name string, members, minutes int) {
	r := gang.Record{Name: name, Due: s.w.Now.Add(time.Hour)}
	for range members {
		r.Needs = append(r.Needs, gang.Need{Class: "mosaic", Slots: 1, Work: time.Duration(minutes) * time.Minute, StateBytes: 10e6})
	}
	s.w.Submit(r)
}

func (s *gangStory) retire(r *virtual.Runner, seconds int) {
	r.Announced, r.Retires = s.w.Now, s.w.Now.Add(time.Duration(seconds)*time.Second)
}

// runner is the one that a gang's first member is on.
func (s *gangStory) runner(name string) *virtual.Runner {
	for _, r := range s.w.Runners {
		if r.Name == s.w.Record(name).Placement[0] {
			return r
		}
	}
	return nil
}

func (s *gangStory) holder(name string) *virtual.Dispatcher {
	for _, d := range s.w.Dispatchers {
		if d.Name == s.w.Record(name).Owner.Name {
			return d
		}
	}
	return nil
}

// failStarts has that many starts of the first gang fail, wherever it goes: one member dies each time.
func (s *gangStory) failStarts(n int) {
	for range n {
		s.w.Until(time.Minute, func() bool { return s.w.Record("m").Phase == gang.Starting })
		s.runner("m").FailStarts = 1
		s.w.Until(time.Minute, func() bool { return s.w.Record("m").Phase == gang.Waiting })
	}
}

func (s *gangStory) done(minutes int, names ...string) error {
	for _, name := range names {
		if !s.w.Until(time.Duration(minutes)*time.Minute, func() bool { _, ok := s.w.Ended(name); return ok }) {
			return fmt.Errorf("%s is %+v", name, s.w.Record(name))
		}
	}
	return nil
}

func (s *gangStory) kept() error {
	for _, name := range s.w.Gangs() {
		if r := s.w.Record(name); r.Phase != gang.Running && r.Phase != gang.Saving && (r.Phase != gang.Waiting || r.Checkpoint == nil) {
			return fmt.Errorf("%s is %s, with %v", name, r.Phase, r.Checkpoint)
		}
	}
	return nil
}

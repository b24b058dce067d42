package gang

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// state is everything of two dispatchers, two gangs and three runners at one moment, what is on its way included.
type state struct {
	now      time.Time
	cores    [2]*Core // nil: no process
	lives    [2]uint64
	alone    [2]bool // holds the other one dead
	versions map[string]int
	records  map[string]Record
	msgs     []msg
	jobs     []expJob
	up       [3]bool
	finished map[string]bool // generations of which every member ended well
	saved    map[string]bool // saves of which every part is there
	crashes  int
	last     string // what led here, for a failing run
	from     *state
}

type expJob struct {
	gang         string
	generation   uint64
	member       int
	runner       int
	owner        int
	life         uint64
	began, alive bool
	done         bool
}

// msg is a call to the register, its answer, or news of a member, on its way to or from a dispatcher.
type msg struct {
	to      int
	life    uint64
	kind    string // write, read, look; wrote, got, parts; member
	gang    string
	rec     Record
	version int // that a write is for, or that an answer tells
	outcome Outcome
	gen     uint64
	number  int
	member  int
	news    Event
}

var depth = flag.Int("depth", 5, "steps to explore from each phase")

var exploreNow = time.Unix(1_800_000_000, 0)

func newState(t *testing.T) *state {
	t.Helper()
	s := &state{now: exploreNow, versions: map[string]int{}, records: map[string]Record{}, finished: map[string]bool{}, saved: map[string]bool{}, up: [3]bool{true, true, true}}
	for _, n := range []string{"g", "h"} {
		need := Need{Class: "c", Slots: 1, Work: time.Hour, StateBytes: 1}
		s.records[n], s.versions[n] = Record{Name: n, Needs: []Need{need, need}, Phase: Waiting, Submitted: s.now}, 1
	}
	for i := range s.cores {
		s.start(t, i)
	}
	return s
}

func (s *state) start(t require.TestingT, i int) {
	s.lives[i]++
	c, err := New(Config{Self: s.me(i), StartTimeout: 10 * time.Second, MemberTimeout: time.Hour, Bandwidth: 1, Margin: time.Second, CheckpointInterval: time.Minute, SaveTimeout: 20 * time.Second,
		Backoff: time.Second, MaxBackoff: time.Second, MaxGangs: 9, MaxMoves: 9})
	require.NoError(t, err)
	s.cores[i] = c
}

func (s *state) me(i int) Owner { return Owner{Name: fmt.Sprint("d", i), Epoch: s.lives[i]} }

func (s *state) clone(why string) *state {
	c := *s
	c.last, c.from = why, s
	c.versions, c.records, c.finished, c.saved = maps.Clone(s.versions), maps.Clone(s.records), maps.Clone(s.finished), maps.Clone(s.saved)
	c.msgs, c.jobs = slices.Clone(s.msgs), slices.Clone(s.jobs)
	for i, core := range s.cores {
		if core != nil {
			k := *core
			k.gangs, k.runners = map[string]*gang{}, maps.Clone(core.runners)
			for n, g := range core.gangs {
				h := *g
				h.members = slices.Clone(g.members)
				k.gangs[n] = &h
			}
			c.cores[i] = &k
		}
	}
	return &c
}

// key names a state; times are left out but for what they decide.
func (s *state) key() uint64 {
	d := xxhash.New()
	write := func(values ...any) { _, _ = fmt.Fprint(d, values...) } // a digest takes everything
	for i, c := range s.cores {
		if c == nil {
			write("-")
			continue
		}
		write(s.alone[i], c.writes)
		for _, n := range slices.Sorted(maps.Keys(c.gangs)) {
			g := c.gangs[n]
			write(n, g.record.WriteID, g.version, g.isCurrent, g.needsRead, g.ownGeneration, g.members, s.now.Sub(g.phaseStartedAt) > c.cfg.StartTimeout, s.now.Sub(g.changedAt) > c.cfg.Backoff, s.now.Sub(g.checkpointAt) >= c.cfg.CheckpointInterval)
			if g.writing != nil {
				write("w", g.writing.WriteID)
			}
		}
	}
	for _, n := range []string{"g", "h"} {
		write(n, s.versions[n], s.records[n].WriteID)
	}
	for _, m := range s.msgs {
		write(m.to, m.life, m.kind, m.gang, m.rec.WriteID, m.version, m.outcome, m.gen, m.number, m.member, m.news)
	}
	write(s.jobs, s.up, s.lives, s.crashes, len(s.finished), len(s.saved))
	return d.Sum64()
}

// act takes in what core i decided.
func (s *state) act(i int) {
	actions, _ := s.cores[i].Take()
	for _, a := range actions {
		m := msg{to: i, life: s.lives[i], gang: a.Gang, gen: a.Generation, number: a.SaveNumber}
		switch a.Kind {
		case Read:
			m.kind = "read"
		case Write:
			m.kind, m.rec = "write", *a.Record
			_, _ = fmt.Sscan(string(a.IfVersion), &m.version)
		case ListParts:
			m.kind = "look"
		case Send:
			runner := int(a.Runner[1] - '0')
			s.jobs = append(s.jobs, expJob{a.Gang, a.Generation, a.Member, runner, i, s.lives[i], false, s.up[runner], false})
			if !s.up[runner] {
				s.msgs = append(s.msgs, msg{to: i, life: s.lives[i], kind: "member", gang: a.Gang, gen: a.Generation, member: a.Member, news: Failed})
			}
			continue
		case Stop:
			for k := range s.jobs {
				if j := &s.jobs[k]; j.gang == a.Gang && j.generation == a.Generation && j.member == a.Member && j.owner == i {
					j.alive = false
				}
			}
			continue
		}
		s.msgs = append(s.msgs, m)
	}
}

// deliver has message k arrive; lost says that its answer, or the message itself if it is one, does not.
func (s *state) deliver(k int, lost bool) error {
	m := s.msgs[k]
	s.msgs = append(s.msgs[:k:k], s.msgs[k+1:]...)
	answer := m
	switch m.kind {
	case "write":
		answer.kind, answer.outcome = "wrote", Conflict
		if s.versions[m.gang] == m.version {
			if err := s.check(m.rec); err != nil {
				return err
			}
			s.versions[m.gang]++
			s.records[m.gang], answer.outcome, answer.version = m.rec, Written, s.versions[m.gang]
		}
		if lost {
			answer.outcome = Unknown
		}
		s.msgs = append(s.msgs, answer)
		return nil
	case "read":
		answer.kind, answer.rec, answer.version = "got", s.records[m.gang], s.versions[m.gang]
		s.msgs = append(s.msgs, answer)
		return nil
	case "look":
		answer.kind = "parts"
		if s.saved[fmt.Sprint(m.gang, m.gen, "/", m.number)] {
			s.msgs = append(s.msgs, answer)
		}
		return nil
	}
	c := s.cores[m.to]
	if c == nil || m.life != s.lives[m.to] {
		return nil
	}
	version := Version(fmt.Sprint(m.version))
	switch m.kind {
	case "wrote":
		c.Wrote(s.now, m.gang, m.outcome, version)
	case "got":
		c.Got(s.now, m.gang, version, m.rec)
	case "parts":
		c.Parts(s.now, m.gang, m.gen, m.number, []string{"x", "y"})
	case "member":
		c.Member(s.now, m.gang, m.gen, m.member, m.news)
	}
	s.act(m.to)
	return nil
}

// check is what has to hold of every write that takes effect.
func (s *state) check(r Record) error {
	before := s.records[r.Name]
	switch {
	case before.Phase == Done:
		return fmt.Errorf("%s was done and is changed to %s", r.Name, r.Phase)
	case r.Generation < before.Generation || r.Generation > before.Generation+1:
		return fmt.Errorf("%s goes from generation %d to %d", r.Name, before.Generation, r.Generation)
	case r.Phase == Done && !s.finished[fmt.Sprint(r.Name, r.Generation)]:
		return fmt.Errorf("%s is done in generation %d, which did not end", r.Name, r.Generation)
	case r.Checkpoint != nil && !s.saved[fmt.Sprint(r.Name, r.Checkpoint.Generation, "/", r.Checkpoint.Number)]:
		return fmt.Errorf("%s has a checkpoint that is not there", r.Name)
	case !slices.ContainsFunc(Table, func(st Step) bool { return st == Step{before.Phase, r.Cause, r.Phase} }):
		return fmt.Errorf("%s goes from %s to %s for %q", r.Name, before.Phase, r.Phase, r.Cause)
	}
	return nil
}

// tick has core i look round.
func (s *state) tick(i int) {
	c := s.cores[i]
	living := []Owner{s.me(i)}
	if other := 1 - i; s.cores[other] != nil && !s.alone[i] {
		living = append(living, s.me(other))
	}
	c.Fleet(s.now, living, true)
	var runners []Runner
	versions := map[string]Version{}
	for k, up := range s.up {
		if up {
			runners = append(runners, Runner{Name: fmt.Sprint("r", k), Zone: "z", Speed: 1, Slots: 2, Usable: true})
		}
	}
	for n, v := range s.versions {
		versions[n] = Version(fmt.Sprint(v))
	}
	c.Runners(s.now, runners)
	c.Listed(s.now, versions)
	c.Tick(s.now)
	s.act(i)
}

// next returns every state that can follow.
func (s *state) next(t *testing.T) (out []*state) {
	t.Helper()
	add := func(why string, change func(c *state) error) {
		c := s.clone(why)
		if err := change(c); err != nil {
			for p := c; p != nil; p = p.from {
				t.Log(p.last)
			}
			t.Fatal(err)
		}
		out = append(out, c)
	}
	s.addDeliveries(add)
	s.addDispatchers(t, add)
	s.addMembers(add)
	s.addRunnerDeaths(add)
	add("time", func(c *state) error { c.now = c.now.Add(61 * time.Second); return nil })
	return out
}

// addState adds what a state becomes by a change that why describes.
type addState func(why string, change func(c *state) error)

// addDeliveries adds the arrival of each message that may come next.
func (s *state) addDeliveries(add addState) {
	for k, m := range s.msgs {
		if slices.ContainsFunc(s.msgs[:k], func(o msg) bool { return o.kind == m.kind && o.gang == m.gang && o.to == m.to && o.member == m.member }) {
			continue // messages of one kind on the same thing keep their order, as on one connection
		}
		add(fmt.Sprint("arrives: ", m.kind, " ", m.gang, " d", m.to, " ", m.rec.Phase, m.outcome, m.news), func(c *state) error { return c.deliver(k, false) })
		if m.kind == "write" {
			add(fmt.Sprint("arrives, answer lost: ", m.kind, " ", m.gang, " d", m.to, " ", m.rec.Phase), func(c *state) error { return c.deliver(k, true) })
		}
	}
}

// addDispatchers adds starts, ticks, crashes and wrong views of dispatchers.
func (s *state) addDispatchers(t *testing.T, add addState) {
	t.Helper()
	for i, core := range s.cores {
		switch {
		case core == nil:
			add(fmt.Sprint("start d", i), func(c *state) error { c.start(t, i); return nil })
			continue
		case len(s.msgs) < 4:
			add(fmt.Sprint("tick d", i), func(c *state) error { c.tick(i); return nil })
		}
		if s.crashes < 2 {
			add(fmt.Sprint("crash d", i), func(c *state) error { c.crash(i); return nil })
		}
		if !s.alone[i] && !s.alone[1-i] {
			add(fmt.Sprint("d", i, " holds the other dead"), func(c *state) error { c.alone[i] = true; return nil })
		}
	}
}

// crash ends dispatcher i, and with its connections the members that it sent.
func (s *state) crash(i int) {
	s.cores[i], s.crashes = nil, s.crashes+1
	for k := range s.jobs {
		s.jobs[k].alive = s.jobs[k].alive && s.jobs[k].owner != i
	}
}

// addMembers adds the begin, the end and the save of each run whose members live.
func (s *state) addMembers(add addState) {
	byRun := map[string][]int{}
	for k, j := range s.jobs {
		if j.alive {
			byRun[fmt.Sprint(j.gang, j.generation)] = append(byRun[fmt.Sprint(j.gang, j.generation)], k)
		}
	}
	for _, run := range slices.Sorted(maps.Keys(byRun)) {
		members := byRun[run]
		all := len(members) == 2
		for _, k := range members {
			all = all && s.jobs[k].began
		}
		switch {
		case !all && len(members) == 2 && !s.jobs[members[0]].began:
			add("begins: "+run, func(c *state) error {
				for _, k := range members {
					c.jobs[k].began = true
				}
				c.report(Began, members...)
				return nil
			})
		case all && !s.finished[run]:
			s.addProgress(run, members, add)
		}
	}
}

// addProgress adds the end of the member that ends next, and a save, of a run whose members all advance.
func (s *state) addProgress(run string, members []int, add addState) {
	for x, k := range members {
		if !s.jobs[k].done && (x == 0 || s.jobs[members[0]].done) {
			add(fmt.Sprint("ends: ", run, " ", x), func(c *state) error {
				c.jobs[k].done, c.finished[run] = true, x == 1
				c.report(Finished, k)
				return nil
			})
		}
	}
	j := s.jobs[members[0]]
	if r := s.records[j.gang]; !j.done && r.Phase == Saving && r.Generation == j.generation {
		add("saves: "+run, func(c *state) error { c.saved[fmt.Sprint(run, "/", r.SaveNumber)] = true; return nil })
	}
}

// report sends what came of members to their dispatchers.
func (s *state) report(n Event, members ...int) {
	for _, k := range members {
		j := s.jobs[k]
		s.msgs = append(s.msgs, msg{to: j.owner, life: j.life, kind: "member", gang: j.gang, gen: j.generation, member: j.member, news: n})
	}
}

// addRunnerDeaths adds the death of each runner, unless one is dead already.
func (s *state) addRunnerDeaths(add addState) {
	if s.up != [3]bool{true, true, true} {
		return
	}
	for k := range s.up {
		add(fmt.Sprint("runner ", k, " dies"), func(c *state) error {
			c.up[k] = false
			for x := range c.jobs {
				if j := &c.jobs[x]; j.alive && !j.done && j.runner == k {
					j.alive = false
					c.report(Failed, x)
				}
			}
			return nil
		})
	}
}

// reach goes on in order until the gang g is in a phase.
func reach(t *testing.T, phase Phase) *state {
	t.Helper()
	s := newState(t)
	for n := 0; s.records["g"].Phase != phase; n++ {
		require.Less(t, n, 200, "never %s", phase)
		if len(s.msgs) > 0 {
			require.NoError(t, s.deliver(0, false))
			continue
		}
		for _, c := range s.next(t) {
			if strings.HasPrefix(c.last, "begins") || c.last == "time" && s.records["g"].Phase == Running && phase == Saving {
				s = c
				break
			}
		}
		s.tick(n % 2)
	}
	return s
}

// Everything that two dispatchers can come to within some steps from each phase of a gang, with crashes, wrong views, lost
// answers and late messages at any point.
func TestEveryStateKeepsThePromises(t *testing.T) {
	for _, phase := range []Phase{Waiting, Starting, Running, Saving} {
		level, seen, done := []*state{reach(t, phase)}, map[uint64]bool{}, 0
		for range *depth {
			var following []*state
			for _, s := range level {
				for _, c := range s.next(t) {
					k := c.key()
					if seen[k] {
						continue
					}
					seen[k] = true
					following = append(following, c)
					if c.records["g"].Phase == Done {
						done++
					}
				}
			}
			level = following
		}
		t.Logf("from %s: %d states, %d of them done", phase, len(seen), done)
		assert.NotEmpty(t, seen)
	}
}

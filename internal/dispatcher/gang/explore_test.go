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

// state is that of two dispatchers, two gangs, three runners and the messages in flight at one moment.
type state struct {
	now       time.Time
	cores     [2]*Core // nil: no process
	epochs    [2]uint64
	isolated  [2]bool // has the other one as dead
	versions  map[string]int
	records   map[string]Record
	messages  []message
	members   []runningMember
	runnersUp [3]bool
	finished  map[string]bool // generations of which every member finished
	complete  map[string]bool // saves of which the register has every part
	crashes   int
	step      string // what led here, for the log of a failing run
	previous  *state
}

type runningMember struct {
	gang           string
	generation     uint64
	index          int
	runner         int
	owner          int
	ownerEpoch     uint64
	started, alive bool
	done           bool
}

// messageKind is a call to the register, an answer, or an event of a member.
type messageKind string

const (
	writeSent   messageKind = "write"
	readSent    messageKind = "read"
	listSent    messageKind = "list parts"
	wroteReply  messageKind = "wrote"
	gotReply    messageKind = "got"
	partsReply  messageKind = "parts"
	memberEvent messageKind = "member"
)

// message is a message that is in flight to or from a dispatcher.
type message struct {
	to         int
	epoch      uint64
	kind       messageKind
	gang       string
	record     Record
	version    int // that a write names, or a reply returns
	outcome    Outcome
	generation uint64
	saveNumber int
	member     int
	event      Event
}

var depth = flag.Int("depth", 5, "steps to explore from each phase")

var exploreNow = time.Unix(1_800_000_000, 0)

func newState(t *testing.T) *state {
	t.Helper()
	s := &state{now: exploreNow, versions: map[string]int{}, records: map[string]Record{}, finished: map[string]bool{}, complete: map[string]bool{}, runnersUp: [3]bool{true, true, true}}
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
	s.epochs[i]++
	c, err := New(Config{Self: s.owner(i), StartTimeout: 10 * time.Second, MemberTimeout: time.Hour, Bandwidth: 1, Margin: time.Second, CheckpointInterval: time.Minute, SaveTimeout: 20 * time.Second,
		Backoff: time.Second, MaxBackoff: time.Second, MaxGangs: 9, MaxMoves: 9})
	require.NoError(t, err)
	s.cores[i] = c
}

func (s *state) owner(i int) Owner { return Owner{Name: fmt.Sprint("d", i), Epoch: s.epochs[i]} }

func (s *state) clone(step string) *state {
	c := *s
	c.step, c.previous = step, s
	c.versions, c.records, c.finished, c.complete = maps.Clone(s.versions), maps.Clone(s.records), maps.Clone(s.finished), maps.Clone(s.complete)
	c.messages, c.members = slices.Clone(s.messages), slices.Clone(s.members)
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

// key identifies a state; of times it has only what they decide.
func (s *state) key() uint64 {
	d := xxhash.New()
	write := func(values ...any) { _, _ = fmt.Fprint(d, values...) } // a digest takes everything
	for i, c := range s.cores {
		if c == nil {
			write("-")
			continue
		}
		write(s.isolated[i], c.writes)
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
	for _, m := range s.messages {
		write(m.to, m.epoch, m.kind, m.gang, m.record.WriteID, m.version, m.outcome, m.generation, m.saveNumber, m.member, m.event)
	}
	write(s.members, s.runnersUp, s.epochs, s.crashes, len(s.finished), len(s.complete))
	return d.Sum64()
}

// act applies the actions of core i.
func (s *state) act(i int) {
	actions, _ := s.cores[i].Take()
	for _, a := range actions {
		m := message{to: i, epoch: s.epochs[i], gang: a.Gang, generation: a.Generation, saveNumber: a.SaveNumber}
		switch a.Kind {
		case Read:
			m.kind = readSent
		case Write:
			m.kind, m.record = writeSent, *a.Record
			_, _ = fmt.Sscan(string(a.IfVersion), &m.version)
		case ListParts:
			m.kind = listSent
		case Send:
			runner := int(a.Runner[1] - '0')
			s.members = append(s.members, runningMember{a.Gang, a.Generation, a.Member, runner, i, s.epochs[i], false, s.runnersUp[runner], false})
			if !s.runnersUp[runner] {
				s.messages = append(s.messages, message{to: i, epoch: s.epochs[i], kind: memberEvent, gang: a.Gang, generation: a.Generation, member: a.Member, event: Failed})
			}
			continue
		case Stop:
			for k := range s.members {
				if j := &s.members[k]; j.gang == a.Gang && j.generation == a.Generation && j.index == a.Member && j.owner == i {
					j.alive = false
				}
			}
			continue
		}
		s.messages = append(s.messages, m)
	}
}

// deliver lets message k arrive; of a write whose reply is lost, the outcome is unknown.
func (s *state) deliver(k int, lost bool) error {
	m := s.messages[k]
	s.messages = append(s.messages[:k:k], s.messages[k+1:]...)
	reply := m
	switch m.kind {
	case writeSent:
		reply.kind, reply.outcome = wroteReply, Conflict
		if s.versions[m.gang] == m.version {
			if err := s.check(m.record); err != nil {
				return err
			}
			s.versions[m.gang]++
			s.records[m.gang], reply.outcome, reply.version = m.record, Written, s.versions[m.gang]
		}
		if lost {
			reply.outcome = Unknown
		}
		s.messages = append(s.messages, reply)
		return nil
	case readSent:
		reply.kind, reply.record, reply.version = gotReply, s.records[m.gang], s.versions[m.gang]
		s.messages = append(s.messages, reply)
		return nil
	case listSent:
		reply.kind = partsReply
		if s.complete[fmt.Sprint(m.gang, m.generation, "/", m.saveNumber)] {
			s.messages = append(s.messages, reply)
		}
		return nil
	}
	c := s.cores[m.to]
	if c == nil || m.epoch != s.epochs[m.to] {
		return nil
	}
	version := Version(fmt.Sprint(m.version))
	switch m.kind {
	case wroteReply:
		c.Wrote(s.now, m.gang, m.outcome, version)
	case gotReply:
		c.Got(s.now, m.gang, version, m.record)
	case partsReply:
		c.Parts(s.now, m.gang, m.generation, m.saveNumber, []string{"x", "y"})
	case memberEvent:
		c.Member(s.now, m.gang, m.generation, m.member, m.event)
	}
	s.act(m.to)
	return nil
}

// check returns an error if a write that takes effect violates an invariant.
func (s *state) check(r Record) error {
	before := s.records[r.Name]
	switch {
	case before.Phase == Done:
		return fmt.Errorf("%s was done and is changed to %s", r.Name, r.Phase)
	case r.Generation < before.Generation || r.Generation > before.Generation+1:
		return fmt.Errorf("%s goes from generation %d to %d", r.Name, before.Generation, r.Generation)
	case r.Phase == Done && !s.finished[fmt.Sprint(r.Name, r.Generation)]:
		return fmt.Errorf("%s is done in generation %d, which did not end", r.Name, r.Generation)
	case r.Checkpoint != nil && !s.complete[fmt.Sprint(r.Name, r.Checkpoint.Generation, "/", r.Checkpoint.Number)]:
		return fmt.Errorf("%s has a checkpoint that is not there", r.Name)
	case !slices.ContainsFunc(Table, func(st Step) bool { return st == Step{before.Phase, r.Cause, r.Phase} }):
		return fmt.Errorf("%s goes from %s to %s for %q", r.Name, before.Phase, r.Phase, r.Cause)
	}
	return nil
}

// tick lets core i poll the view, the runners and the register, and ticks it.
func (s *state) tick(i int) {
	c := s.cores[i]
	living := []Owner{s.owner(i)}
	if other := 1 - i; s.cores[other] != nil && !s.isolated[i] {
		living = append(living, s.owner(other))
	}
	c.Fleet(s.now, living, true)
	var runners []Runner
	versions := map[string]Version{}
	for k, up := range s.runnersUp {
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
	add := func(step string, change func(c *state) error) {
		c := s.clone(step)
		if err := change(c); err != nil {
			for p := c; p != nil; p = p.previous {
				t.Log(p.step)
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

// addState adds the state that a change leads to; step describes it.
type addState func(step string, change func(c *state) error)

// addDeliveries adds the arrival of each message that may come next.
func (s *state) addDeliveries(add addState) {
	for k, m := range s.messages {
		if slices.ContainsFunc(s.messages[:k], func(o message) bool {
			return o.kind == m.kind && o.gang == m.gang && o.to == m.to && o.member == m.member
		}) {
			continue // messages of one kind on the same thing keep their order, as on one connection
		}
		add(fmt.Sprint("arrives: ", m.kind, " ", m.gang, " d", m.to, " ", m.record.Phase, m.outcome, m.event), func(c *state) error { return c.deliver(k, false) })
		if m.kind == writeSent {
			add(fmt.Sprint("arrives, answer lost: ", m.kind, " ", m.gang, " d", m.to, " ", m.record.Phase), func(c *state) error { return c.deliver(k, true) })
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
		case len(s.messages) < 4:
			add(fmt.Sprint("tick d", i), func(c *state) error { c.tick(i); return nil })
		}
		if s.crashes < 2 {
			add(fmt.Sprint("crash d", i), func(c *state) error { c.crash(i); return nil })
		}
		if !s.isolated[i] && !s.isolated[1-i] {
			add(fmt.Sprint("d", i, " has the other as dead"), func(c *state) error { c.isolated[i] = true; return nil })
		}
	}
}

// crash ends dispatcher i, and with its connections the members that it sent.
func (s *state) crash(i int) {
	s.cores[i], s.crashes = nil, s.crashes+1
	for k := range s.members {
		s.members[k].alive = s.members[k].alive && s.members[k].owner != i
	}
}

// addMembers adds the start, the end and the save of each run whose members are alive.
func (s *state) addMembers(add addState) {
	byRun := map[string][]int{}
	for k, j := range s.members {
		if j.alive {
			byRun[fmt.Sprint(j.gang, j.generation)] = append(byRun[fmt.Sprint(j.gang, j.generation)], k)
		}
	}
	for _, run := range slices.Sorted(maps.Keys(byRun)) {
		members := byRun[run]
		all := len(members) == 2
		for _, k := range members {
			all = all && s.members[k].started
		}
		switch {
		case !all && len(members) == 2 && !s.members[members[0]].started:
			add("begins: "+run, func(c *state) error {
				for _, k := range members {
					c.members[k].started = true
				}
				c.report(Began, members...)
				return nil
			})
		case all && !s.finished[run]:
			s.addProgress(run, members, add)
		}
	}
}

// addProgress adds the end of the member that ends next, and a save, of a run whose members have all started.
func (s *state) addProgress(run string, members []int, add addState) {
	for x, k := range members {
		if !s.members[k].done && (x == 0 || s.members[members[0]].done) {
			add(fmt.Sprint("ends: ", run, " ", x), func(c *state) error {
				c.members[k].done, c.finished[run] = true, x == 1
				c.report(Finished, k)
				return nil
			})
		}
	}
	j := s.members[members[0]]
	if r := s.records[j.gang]; !j.done && r.Phase == Saving && r.Generation == j.generation {
		add("saves: "+run, func(c *state) error { c.complete[fmt.Sprint(run, "/", r.SaveNumber)] = true; return nil })
	}
}

// report sends an event of members to their dispatchers.
func (s *state) report(e Event, members ...int) {
	for _, k := range members {
		j := s.members[k]
		s.messages = append(s.messages, message{to: j.owner, epoch: j.ownerEpoch, kind: memberEvent, gang: j.gang, generation: j.generation, member: j.index, event: e})
	}
}

// addRunnerDeaths adds the death of each runner, unless one is dead already.
func (s *state) addRunnerDeaths(add addState) {
	if s.runnersUp != [3]bool{true, true, true} {
		return
	}
	for k := range s.runnersUp {
		add(fmt.Sprint("runner ", k, " dies"), func(c *state) error {
			c.runnersUp[k] = false
			for x := range c.members {
				if j := &c.members[x]; j.alive && !j.done && j.runner == k {
					j.alive = false
					c.report(Failed, x)
				}
			}
			return nil
		})
	}
}

// reach returns the first state in which the gang g is in a phase, when nothing fails.
func reach(t *testing.T, phase Phase) *state {
	t.Helper()
	s := newState(t)
	for n := 0; s.records["g"].Phase != phase; n++ {
		require.Less(t, n, 200, "never %s", phase)
		if len(s.messages) > 0 {
			require.NoError(t, s.deliver(0, false))
			continue
		}
		for _, c := range s.next(t) {
			if strings.HasPrefix(c.step, "begins") || c.step == "time" && s.records["g"].Phase == Running && phase == Saving {
				s = c
				break
			}
		}
		s.tick(n % 2)
	}
	return s
}

// In every state that two dispatchers can reach within some steps from each phase of a gang, with crashes, wrong views, lost answers
// and late messages at any point, the invariants of check hold.
func TestInvariantsInEveryState(t *testing.T) {
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

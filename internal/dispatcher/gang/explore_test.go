package gang

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var depth = flag.Int("depth", 5, "number of steps to explore from each phase")

// next returns every state that can follow in one step. It fails the test, with the steps that led there, if a step violates an
// invariant.
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

// addState adds the state to which a change leads. step describes the change.
type addState func(step string, change func(c *state) error)

// addDeliveries adds the arrival of each message that may arrive next.
func (s *state) addDeliveries(add addState) {
	for k, m := range s.messages {
		if slices.ContainsFunc(s.messages[:k], func(o message) bool {
			return o.kind == m.kind && o.gang == m.gang && o.to == m.to && o.member == m.member
		}) {
			continue // messages of one kind about the same gang and member arrive in order, as on one connection
		}
		add(fmt.Sprint("arrives: ", m.kind, " ", m.gang, " d", m.to, " ", m.record.Phase, m.outcome, m.event), func(c *state) error { return c.deliver(k, false) })
		if m.kind == writeSent {
			add(fmt.Sprint("arrives, answer lost: ", m.kind, " ", m.gang, " d", m.to, " ", m.record.Phase), func(c *state) error { return c.deliver(k, true) })
		}
	}
}

// addDispatchers adds starts, ticks, crashes and wrong views of dispatchers. It bounds the number of crashes, and adds no
// tick while many messages are in flight, to bound the number of states.
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
			add(fmt.Sprint("d", i, " considers the other one dead"), func(c *state) error { c.isolated[i] = true; return nil })
		}
	}
}

// crash ends the process of dispatcher i. Its connections close, so the members that it sent end.
func (s *state) crash(i int) {
	s.cores[i], s.crashes = nil, s.crashes+1
	for k := range s.members {
		s.members[k].alive = s.members[k].alive && s.members[k].owner != i
	}
}

// addMembers adds the start, the end and the save of the members of each generation of a gang that are alive.
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
			add("starts: "+run, func(c *state) error {
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

// addProgress adds the progress of a generation with all members started: the end of the next member, and a save.
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

// report sends an event of these members to their dispatchers.
func (s *state) report(e Event, members ...int) {
	for _, k := range members {
		j := s.members[k]
		s.messages = append(s.messages, message{to: j.owner, epoch: j.ownerEpoch, kind: memberEvent, gang: j.gang, generation: j.generation, member: j.index, event: e})
	}
}

// addRunnerDeaths adds the death of each runner, unless one has died already.
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

// reach returns the first state with gang g in the phase, in a run without faults.
func reach(t *testing.T, phase Phase) *state {
	t.Helper()
	s := newState(t)
	for n := 0; s.records["g"].Phase != phase; n++ {
		require.Less(t, n, 200, "the gang never reached phase %s", phase)
		if len(s.messages) > 0 {
			require.NoError(t, s.deliver(0, false))
			continue
		}
		for _, c := range s.next(t) {
			if strings.HasPrefix(c.step, "starts") || c.step == "time" && s.records["g"].Phase == Running && phase == Saving {
				s = c
				break
			}
		}
		s.tick(n % 2)
	}
	return s
}

// In every state that two dispatchers can reach within depth steps from each phase of a gang, with crashes, wrong views, lost
// answers and late messages at any point, the invariants of check hold.
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
		t.Logf("from phase %s: %d states, in %d of them the gang is done", phase, len(seen), done)
		assert.NotEmpty(t, seen)
	}
}

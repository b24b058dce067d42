package gang

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// state is a state of two dispatchers, two gangs, three runners and the messages in flight.
type state struct {
	now       time.Time
	cores     [2]*Core // nil: no process
	epochs    [2]uint64
	isolated  [2]bool // the dispatcher considers the other one dead
	versions  map[string]int
	records   map[string]Record
	messages  []message
	members   []runningMember
	runnersUp [3]bool
	finished  map[string]bool // generations with all members finished
	complete  map[string]bool // saves with all parts in the register
	crashes   int
	step      string // the step that led here from previous, for the log of a failing run
	previous  *state
}

// runningMember is a member that a dispatcher sent to a runner, and whether it started, is alive and is done.
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

// messageKind says whether a message is a call to the register, an answer or an event of a member.
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
	version    int // of the record: the version that a write names or an answer returns
	outcome    Outcome
	generation uint64
	saveNumber int
	member     int
	event      Event
}

// exploreNow is the time of the first state.
var exploreNow = time.Unix(1_800_000_000, 0)

// newState returns the first state: both gangs are waiting, and both dispatchers have started.
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

// start starts a process of dispatcher i.
func (s *state) start(t require.TestingT, i int) {
	s.epochs[i]++
	c, err := New(Config{Self: s.owner(i), StartTimeout: 10 * time.Second, MemberTimeout: time.Hour, Bandwidth: 1, Margin: time.Second, CheckpointInterval: time.Minute, SaveTimeout: 20 * time.Second,
		Backoff: time.Second, MaxBackoff: time.Second, MaxGangs: 9, MaxMoves: 9})
	require.NoError(t, err)
	s.cores[i] = c
}

// owner returns dispatcher i with the epoch of its process.
func (s *state) owner(i int) Owner { return Owner{Name: fmt.Sprint("d", i), Epoch: s.epochs[i]} }

// clone returns a copy that shares no mutable data with s. step describes the caller's change to the copy.
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

// key returns a hash of the state to recognize visited states. Instead of times, the hash covers whether timeouts have
// passed.
func (s *state) key() uint64 {
	d := xxhash.New()
	write := func(values ...any) { _, _ = fmt.Fprint(d, values...) } // a hash never returns an error
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

// act carries out the actions of core i.
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

// deliver delivers message k. With lost, the answer of a write is lost, so its outcome is Unknown.
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
		return fmt.Errorf("%s: the record of a gang that is done is changed to phase %s", r.Name, r.Phase)
	case r.Generation < before.Generation || r.Generation > before.Generation+1:
		return fmt.Errorf("%s goes from generation %d to %d", r.Name, before.Generation, r.Generation)
	case r.Phase == Done && !s.finished[fmt.Sprint(r.Name, r.Generation)]:
		return fmt.Errorf("%s is done in generation %d, of which not every member has finished", r.Name, r.Generation)
	case r.Checkpoint != nil && !s.complete[fmt.Sprint(r.Name, r.Checkpoint.Generation, "/", r.Checkpoint.Number)]:
		return fmt.Errorf("%s has a checkpoint with missing parts", r.Name)
	case !slices.ContainsFunc(Table, func(st Step) bool { return st == Step{before.Phase, r.Cause, r.Phase} }):
		return fmt.Errorf("%s goes from %s to %s with the cause %q, which Table does not have", r.Name, before.Phase, r.Phase, r.Cause)
	}
	return nil
}

// tick passes the view, the runners and the list of the register to core i, and calls its Tick.
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

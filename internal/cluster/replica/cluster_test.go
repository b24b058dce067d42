package replica

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs/vfstest"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

// event is a function that is to run at a time since the cluster's start.
type event struct {
	at  time.Duration
	run func()
}

// cluster simulates machines, links and disks in virtual time, in one goroutine. All randomness comes from one seed.
type cluster struct {
	clock       *clockwork.FakeClock
	started     time.Time
	random      *rand.Rand
	machines    []*machine
	events      []event
	groups      int           // number of groups, with the IDs from 0
	seeds       []string      // addresses of the machines to which requests to join are sent
	loss        float64       // share of the envelopes that is lost, from 0 to 1
	disk        int64         // Options.DiskBytes
	heartbeat   time.Duration // Options.HeartbeatInterval
	election    time.Duration // Options.ElectionTimeout
	logger      log.Logger
	acked       map[GroupID][]string // lines that were acknowledged to their proposers as applied
	nextCommand int
	steps       int                                                // number of steps of all engines
	sent        int                                                // number of envelopes sent
	writes      int                                                // number of successful writes to all disks
	trace       func(from *machine, to string, envelope *Envelope) // called for each envelope that is sent, if not nil
	drop        func(from, to *machine, envelope *Envelope) bool   // selects envelopes to lose at their arrival, if not nil

	newState func(id GroupID) realState // returns a group's state machine; nil: the groups have recorders only
}

const (
	linkDelay = 1500 * time.Microsecond // time that an envelope takes without a limit of bandwidth
	syncDelay = 8 * time.Millisecond    // time that a write to a healthy disk takes
)

func newCluster(seed uint64, groups int) *cluster {
	clock := clockwork.NewFakeClock()
	return &cluster{
		clock:   clock,
		started: clock.Now(),
		random:  rand.New(rand.NewPCG(seed, 7)),
		groups:  groups,
		disk:    32 << 20,
		logger:  log.NewLogfmtLogger(GinkgoWriter),
		acked:   map[GroupID][]string{},
	}
}

// startFirst starts new machines with empty disks. The first three, or fewer if there are not as many, are the seeds and
// the initial members.
func (c *cluster) startFirst(count int) {
	for i := range count {
		address := fmt.Sprintf("10.0.0.%d:7380", i+1)
		m := c.add(fmt.Sprintf("core-%d", i+1), address)
		if i < 3 {
			c.seeds = append(c.seeds, m.address)
		}
	}
	for _, m := range c.machines {
		m.start(c.seeds)
	}
}

// add adds a machine with an empty disk, and does not start it.
func (c *cluster) add(name, address string) *machine {
	m := &machine{cluster: c, name: name, address: address, files: &vfstest.Mem{}, diskDelay: syncDelay, durable: map[GroupID]logEnd{}}
	c.machines = append(c.machines, m)
	return m
}

// now returns the virtual time since the cluster's start.
func (c *cluster) now() time.Duration { return c.clock.Since(c.started) }

// at has a function called after a delay.
func (c *cluster) at(delay time.Duration, run func()) {
	c.events = append(c.events, event{at: c.now() + delay, run: run})
}

// run lets the cluster run for some virtual time.
func (c *cluster) run(span time.Duration) {
	c.until(span, func() bool { return false })
}

// until lets the cluster run until the condition holds, which is checked after each step, or until the span is over. It
// reports whether the condition holds.
func (c *cluster) until(span time.Duration, condition func() bool) bool {
	end := c.now() + span
	for !condition() {
		next := c.nextTime()
		if next > end {
			c.clock.Advance(end - c.now())
			return condition()
		}
		if next > c.now() {
			c.clock.Advance(next - c.now())
		}
		c.step()
	}
	return true
}

// nextTime returns the time of the next event or step.
func (c *cluster) nextTime() time.Duration {
	next := infinite
	for _, e := range c.events {
		next = min(next, e.at)
	}
	for _, m := range c.machines {
		if m.up && !m.frozen {
			next = min(next, m.wakeAt)
		}
	}
	return next
}

// step runs all events and steps that are due now.
func (c *cluster) step() {
	now := c.now()
	var due []event
	c.events = slices.DeleteFunc(c.events, func(e event) bool {
		if e.at <= now {
			due = append(due, e)
		}
		return e.at <= now
	})
	for _, e := range due {
		e.run()
	}
	for _, m := range c.machines {
		if m.up && !m.frozen && m.wakeAt <= now {
			c.steps++
			m.engine.step()
			Expect(m.engine.failed).NotTo(HaveOccurred())
			m.wakeAt = now + m.engine.untilNextStep()
		}
	}
}

// leader returns the machine that leads a group, or nil if no machine does. It ignores frozen machines. If several machines
// believe that they lead, it returns the machine with the newest term.
func (c *cluster) leader(id GroupID) *machine {
	var newest *machine
	term := uint64(0)
	for _, m := range c.machines {
		if m.up && !m.frozen && m.recorders[id].leading > term {
			newest, term = m, m.recorders[id].leading
		}
	}
	return newest
}

// allLed reports whether every group has a leader.
func (c *cluster) allLed() bool {
	for id := range GroupID(c.groups) {
		if c.leader(id) == nil {
			return false
		}
	}
	return true
}

func (c *cluster) awaitLeaders() {
	GinkgoHelper()
	Expect(c.until(10*time.Second, c.allLed)).To(BeTrue(), "every group has a leader")
}

// propose proposes a line of about size bytes at a group's leader, if there is one. done may be nil; it is called with the
// outcome later.
func (c *cluster) propose(id GroupID, size int, done func(error)) {
	m := c.leader(id)
	if m == nil {
		return
	}
	c.nextCommand++
	line := fmt.Sprintf("line-%d %s", c.nextCommand, bytes.Repeat([]byte("x"), size))
	c.proposeCommand(m, id, line, done)
}

// forget makes a group's recorders drop all lines, once all that were proposed are applied. It keeps the state small.
func (c *cluster) forget(id GroupID) {
	GinkgoHelper()
	c.converge()
	c.acked[id] = nil
	c.proposeCommand(c.leader(id), id, forget, nil)
	c.converge()
}

// proposeCommand proposes a line at a machine, and records it in acked if it is applied.
func (c *cluster) proposeCommand(m *machine, id GroupID, line string, done func(error)) {
	m.engine.Do(func() {
		m.engine.Propose(id, []byte(line), func(_ any, err error) {
			if err == nil {
				name, _, _ := strings.Cut(line, " ")
				c.acked[id] = append(c.acked[id], name)
			}
			if done != nil {
				done(err)
			}
		})
	})
	m.wake()
}

// commit proposes lines, and waits for each before the next. It proposes a line again, under a new name, until one attempt
// is applied.
func (c *cluster) commit(id GroupID, lines, size int) {
	GinkgoHelper()
	for range lines {
		done := false
		for attempt := 0; !done; attempt++ {
			Expect(attempt).To(BeNumerically("<", 100), "a proposal is committed")
			c.awaitLeaders()
			resolved := false
			c.propose(id, size, func(err error) { resolved, done = true, err == nil })
			c.until(3*time.Second, func() bool { return resolved })
			if !done {
				c.run(50 * time.Millisecond)
			}
		}
	}
}

// converge waits until all machines that are up have applied the same entries, and expects every acknowledged line in them.
func (c *cluster) converge() {
	GinkgoHelper()
	Expect(c.until(20*time.Second, c.converged)).To(BeTrue(), "all logs become equal")
	c.check()
}

// converged reports whether all machines that are up have applied the same index as the leader in every group.
func (c *cluster) converged() bool {
	for id := range GroupID(c.groups) {
		leader := c.leader(id)
		if leader == nil {
			return false
		}
		for _, m := range c.machines {
			if m.up && m.recorders[id].Last != leader.recorders[id].Last {
				return false
			}
		}
	}
	return true
}

// check expects that the lines of each machine are a prefix of the longest ones, which have every acknowledged line.
func (c *cluster) check() {
	GinkgoHelper()
	for id := range GroupID(c.groups) {
		var longest []string
		for _, m := range c.machines {
			if m.up && len(m.recorders[id].Lines) > len(longest) {
				longest = m.recorders[id].Lines
			}
		}
		for _, m := range c.machines {
			if m.up {
				lines := m.recorders[id].Lines
				Expect(slices.Equal(lines, longest[:len(lines)])).To(BeTrue(), "logs are prefixes of each other")
			}
		}
		there := map[string]bool{}
		for _, line := range longest {
			there[line] = true
		}
		for _, line := range c.acked[id] {
			if !there[line] {
				Fail("an acknowledged line is missing: " + line)
			}
		}
	}
}

// voters returns the names of the machines that vote in a group by its leader's membership, sorted.
func (c *cluster) voters(id GroupID) []string {
	leader := c.leader(id)
	if leader == nil {
		return nil
	}
	var names []string
	for _, member := range leader.engine.Members(id) {
		if !member.Learner {
			names = append(names, member.Node)
		}
	}
	slices.Sort(names)
	return names
}

// current reports whether each member of a group has the current identity of a machine, which may be down.
func (c *cluster) current(id GroupID) bool {
	identities := map[consensus.MemberID]bool{}
	for _, m := range c.machines {
		identities[m.engine.self.ID] = true
	}
	for _, member := range c.leader(id).engine.Members(id) {
		if !identities[member.ID] {
			return false
		}
	}
	return true
}

// votersAre returns a condition that holds while exactly these machines vote in all groups, under their present
// identities, and there are no other members.
func (c *cluster) votersAre(names ...string) func() bool {
	names = slices.Sorted(slices.Values(names))
	return func() bool {
		for id := range GroupID(c.groups) {
			if !slices.Equal(c.voters(id), names) || len(c.leader(id).engine.Members(id)) != len(names) ||
				!c.current(id) {
				return false
			}
		}
		return true
	}
}

func (c *cluster) awaitVoters(names ...string) {
	GinkgoHelper()
	Expect(c.until(20*time.Second, c.votersAre(names...))).To(BeTrue(), "these vote: %v", names)
}

// terms returns the terms of the groups' leaders.
func (c *cluster) terms() []uint64 {
	var terms []uint64
	for id := range GroupID(c.groups) {
		terms = append(terms, c.leader(id).recorders[id].leading)
	}
	return terms
}

// proposeMany proposes lines in turn in all groups, and does not wait for them.
func (c *cluster) proposeMany(lines int) {
	for i := range lines {
		c.propose(GroupID(i%c.groups), 50, nil)
	}
}

// isMember reports whether an identity is a member of any group.
func (c *cluster) isMember(id consensus.MemberID) bool {
	for group := range GroupID(c.groups) {
		leader := c.leader(group)
		if leader == nil {
			continue
		}
		for _, member := range leader.engine.Members(group) {
			if member.ID == id {
				return true
			}
		}
	}
	return false
}

// expectConfirmation expects that a group's leader can confirm its leadership within a second.
func (c *cluster) expectConfirmation(id GroupID) {
	GinkgoHelper()
	leader, called := c.leader(id), false
	leader.engine.Do(func() {
		leader.engine.ConfirmLeadership(id, func(err error) {
			Expect(err).NotTo(HaveOccurred())
			called = true
		})
	})
	leader.wake()
	Expect(c.until(time.Second, func() bool { return called })).To(BeTrue())
}

package replica

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// The groups of a cluster with the state machines that ship.
const (
	configurationGroup GroupID = 0
	jobsGroup          GroupID = 1
	shippedGroups              = 2
)

// realState is a state machine that ships.
type realState interface {
	StateMachine
	Digester
}

// jobsState is a shard of jobs as the control role has it.
type jobsState struct{ *jobs.State }

func (s jobsState) Apply(_, _ uint64, data []byte) any {
	command, err := jobs.Decode(data)
	Expect(err).NotTo(HaveOccurred())
	return s.State.Apply(command)
}

func newShippedState(id GroupID) realState {
	if id == configurationGroup {
		return configuration.NewState()
	}
	return jobsState{jobs.New(jobs.Options{})}
}

// observedState is a state machine that ships, with a ledger that knows what was applied last and who leads.
type observedState struct {
	*ledger
	state realState
}

func (o *observedState) Apply(index, term uint64, data []byte) any {
	Expect(index).To(BeNumerically(">", o.Last), "entries are applied in order")
	o.Last = index
	return o.state.Apply(index, term, data)
}

func (o *observedState) Snapshot() ([]byte, error) {
	data, err := o.state.Snapshot()
	return append(binary.BigEndian.AppendUint64(nil, o.Last), data...), err
}

func (o *observedState) Restore(data []byte) error {
	o.restored++
	o.Last = binary.BigEndian.Uint64(data)
	return o.state.Restore(data[8:])
}

func (o *observedState) Digest() uint64 { return o.state.Digest() }

// newShippedCluster has the state machines and the times that the control role has.
func newShippedCluster(seed uint64) *cluster {
	c := newCluster(seed, shippedGroups)
	c.newState = newShippedState
	c.heartbeat, c.election = 75*time.Millisecond, 320*time.Millisecond
	return c
}

// linkQueue is how many bytes wait at most for a link, as in package transport.
const linkQueue = 2 << 20

// linkTo is how long an envelope takes to an address, or that the link's queue is full.
func (m *machine) linkTo(address string, envelope *Envelope) (delay time.Duration, carried bool) {
	bandwidth := m.bandwidth
	for _, to := range m.cluster.machines {
		if to.address == address && to.bandwidth > 0 && (bandwidth == 0 || to.bandwidth < bandwidth) {
			bandwidth = to.bandwidth
		}
	}
	if bandwidth == 0 {
		return linkDelay, true
	}
	if m.linkFree == nil {
		m.linkFree = map[string]time.Duration{}
	}
	now := m.cluster.now()
	free := max(m.linkFree[address], now)
	if (free-now).Seconds()*bandwidth > linkQueue {
		return 0, false
	}
	free += time.Duration(float64(bytesOf(envelope)) / bandwidth * float64(time.Second))
	m.linkFree[address] = free
	return free - now + linkDelay, true
}

// bytesOf is about how long an envelope is on the wire.
func bytesOf(envelope *Envelope) int {
	const head = 60
	bytes := head
	for i := range envelope.Messages {
		message := &envelope.Messages[i]
		bytes += head
		for j := range message.Entries {
			bytes += len(message.Entries[j].Data) + entryOverhead
		}
		if message.Snapshot != nil {
			bytes += len(message.Snapshot.Data) + head
		}
	}
	return bytes
}

// order gives an order to a machine's engine. The outcome comes later.
func (m *machine) order(command configuration.Command, done func(configuration.Result, error)) {
	data, err := configuration.EncodeCommand(command)
	Expect(err).NotTo(HaveOccurred())
	m.engine.Do(func() {
		m.engine.Propose(configurationGroup, data, func(result any, err error) {
			outcome, _ := result.(configuration.Result)
			done(outcome, err)
		})
	})
	m.wake()
}

// configure gives an order to the leader until the outcome is clear.
func (c *cluster) configure(command configuration.Command) configuration.Result {
	GinkgoHelper()
	for range 100 {
		Expect(c.until(10*time.Second, func() bool { return c.leader(configurationGroup) != nil })).To(BeTrue())
		var outcome configuration.Result
		settled, clear := false, false
		c.leader(configurationGroup).order(command, func(result configuration.Result, err error) {
			outcome, settled, clear = result, true, err == nil
		})
		c.until(3*time.Second, func() bool { return settled })
		if clear {
			return outcome
		}
		c.run(50 * time.Millisecond)
	}
	Fail("an order comes out")
	return configuration.Result{}
}

// change is an order with a body of about so many bytes.
func change(base uint64, bytes int) configuration.Command {
	body := fmt.Sprintf(`{"version":%d,"upsert":{"note":"%s"}}`, base+1, strings.Repeat("x", bytes))
	return configuration.Command{Kind: protocol.ConfigurationUpdate, Base: base, Body: []byte(body)}
}

// changeMany has so many changes taken, one after the other, each with a job handed in.
func (c *cluster) changeMany(changes, bytes int) {
	GinkgoHelper()
	for range changes {
		base := c.version()
		result := c.configure(change(base, bytes))
		Expect(result).To(Equal(configuration.Result{Version: base + 1}))
		c.handIn()
	}
}

// version is that of the configuration's leader.
func (c *cluster) version() uint64 {
	GinkgoHelper()
	Expect(c.until(10*time.Second, func() bool { return c.leader(configurationGroup) != nil })).To(BeTrue())
	return versionOf(c.leader(configurationGroup))
}

func versionOf(m *machine) uint64 {
	return m.states[configurationGroup].(*configuration.State).Document().Version()
}

// handIn hands a job in, and does not wait.
func (c *cluster) handIn() {
	leader := c.leader(jobsGroup)
	if leader == nil {
		return
	}
	c.nextLine++
	data, err := jobs.Encode(&jobs.Command{
		TimeOfDayMs: 1_700_000_000_000 + c.now().Milliseconds(),
		Submits: []jobs.Submit{{
			ID:    fmt.Sprintf("%016x", c.nextLine),
			Queue: protocol.Queue{Key: "one.example/one/", Service: "a"},
			Job:   protocol.JobSpec{Spec: "work", Steps: []protocol.Step{{Count: 4, EstimatedMs: 900}}},
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	leader.engine.Do(func() { leader.engine.Propose(jobsGroup, data, func(any, error) {}) })
	leader.wake()
}

// agree waits until all machines that are up have the same state, by its digest at one index.
func (c *cluster) agree() {
	GinkgoHelper()
	c.converge()
	for id := range GroupID(c.groups) {
		_, want, ok := c.leader(id).engine.Digest(id)
		Expect(ok).To(BeTrue())
		for _, m := range c.machines {
			if m.up {
				_, digest, _ := m.engine.Digest(id)
				Expect(digest).To(Equal(want), "the state of %s in group %d", m.name, id)
			}
		}
	}
}

// follower is a machine that leads nothing.
func (c *cluster) follower() *machine {
	GinkgoHelper()
	for _, m := range c.machines {
		if m.up && m.leads() == 0 {
			return m
		}
	}
	Fail("every machine leads")
	return nil
}

var _ = Describe("An order that is tried twice", func() {
	first := change(0, 10)
	again := change(1, 10)
	rival := configuration.Command{Kind: protocol.ConfigurationUpdate, Base: 1, Body: []byte(`{"version":2}`)}

	// start has a cluster with version 1, whose leader gets the order and cannot commit it.
	start := func(appendsArrive bool) (c *cluster, old *machine, firstTry *error) {
		c = newShippedCluster(31)
		c.startFirst(3)
		Expect(c.configure(first).Version).To(Equal(uint64(1)))
		c.agree()
		old = c.leader(configurationGroup)
		c.drop = func(from, to *machine, _ *Envelope) bool { return to == old || from == old && !appendsArrive }
		outcome := error(nil)
		firstTry = &outcome
		old.order(again, func(_ configuration.Result, err error) { outcome = err })
		c.until(100*time.Millisecond, func() bool { return false })
		Expect(versionOf(old)).To(Equal(uint64(1)), "it is not committed")
		return c, old, firstTry
	}

	It("is confirmed once its first try is, which is in the log of the new leader, uncommitted", func() {
		c, old, firstTry := start(true)
		old.kill()
		c.drop = nil
		Expect(c.configure(again)).To(Equal(configuration.Result{Version: 2}))
		Expect(c.configure(rival).Kind).To(Equal(failure.Conflict))
		old.start(nil)
		c.agree()
		Expect(c.version()).To(Equal(uint64(2)))
		Expect(*firstTry).NotTo(HaveOccurred(), "nobody has told the first caller anything")
	})

	It("is taken by its second try where the first is in the log of the old leader alone", func() {
		c, old, firstTry := start(false)
		Expect(c.until(5*time.Second, func() bool {
			m := c.leader(configurationGroup)
			return m != nil && m != old
		})).To(BeTrue())
		Expect(c.configure(again)).To(Equal(configuration.Result{Version: 2}))
		Expect(c.configure(rival).Kind).To(Equal(failure.Conflict))
		c.drop = nil
		c.agree()
		Expect(failure.KindOf(*firstTry)).To(Equal(failure.UnknownOutcome))
		Expect(c.version()).To(Equal(uint64(2)))
	})

	It("is refused where another came first meanwhile, and its first try never comes out", func() {
		c, old, firstTry := start(false)
		Expect(c.until(5*time.Second, func() bool {
			m := c.leader(configurationGroup)
			return m != nil && m != old
		})).To(BeTrue())
		Expect(c.configure(rival)).To(Equal(configuration.Result{Version: 2}))
		Expect(c.configure(again).Kind).To(Equal(failure.Conflict))
		c.drop = nil
		c.agree()
		Expect(failure.KindOf(*firstTry)).To(Equal(failure.UnknownOutcome))
		Expect(c.configure(again).Kind).To(Equal(failure.Conflict))
		Expect(c.configure(rival)).To(Equal(configuration.Result{Version: 2}))
	})

	DescribeTable("is confirmed again after other changes, by a new leader and after a restart from a snapshot",
		func(changes, bytes int) {
			c := newShippedCluster(32)
			c.startFirst(3)
			Expect(c.configure(first).Version).To(Equal(uint64(1)))
			c.changeMany(changes, bytes)
			Expect(c.configure(first)).To(Equal(configuration.Result{Version: 1}))
			c.leader(configurationGroup).kill()
			Expect(c.configure(first)).To(Equal(configuration.Result{Version: 1}))
			for _, m := range c.machines {
				if m.up {
					m.losePower()
				}
				m.start(nil)
			}
			for _, m := range c.machines {
				Expect(m.engine.byID[configurationGroup].snapshots.index > 0).To(Equal(changes*bytes > 2<<20), "a snapshot")
			}
			Expect(c.configure(first)).To(Equal(configuration.Result{Version: 1}))
			Expect(c.version()).To(Equal(uint64(1 + changes)))
			c.agree()
		},
		Entry("one", 1, 10),
		Entry("a hundred", 100, 10),
		Entry("a hundred large ones", 100, 30<<10),
		Entry("two thousand", 2000, 1200),
	)
})

var _ = Describe("The digest of a state", func() {
	digestAt := func(c *cluster, m *machine, id GroupID, index uint64) (digest *uint64, failed *error) {
		digest, failed = new(uint64), new(error)
		m.engine.Do(func() {
			m.engine.DigestAt(id, index, func(told uint64, err error) { *digest, *failed = told, err })
		})
		m.wake()
		return digest, failed
	}

	It("is told by all members as of one index, while entries come", func() {
		c := newShippedCluster(71)
		c.startFirst(3)
		Expect(c.configure(manyRoutes(50)).Version).To(Equal(uint64(1)))
		c.agree()
		index := c.leader(configurationGroup).ledgers[configurationGroup].Last + 4
		var digests []*uint64
		var failures []*error
		for _, m := range c.machines {
			digest, failed := digestAt(c, m, configurationGroup, index)
			digests, failures = append(digests, digest), append(failures, failed)
		}
		c.changeMany(8, 100)
		for i := range digests {
			Expect(*failures[i]).NotTo(HaveOccurred())
			Expect(*digests[i]).NotTo(BeZero())
			Expect(*digests[i]).To(Equal(*digests[0]))
		}
		Expect(c.leader(configurationGroup).states[configurationGroup].Digest()).NotTo(Equal(*digests[0]), "it went on")
	})

	It("is refused where the state is past the index, does not get there, or is none", func() {
		c := newShippedCluster(72)
		c.startFirst(3)
		c.awaitLeaders()
		m := c.leader(configurationGroup)
		c.changeMany(3, 10)
		_, past := digestAt(c, m, configurationGroup, 1)
		_, ahead := digestAt(c, m, configurationGroup, 1000)
		_, unknown := digestAt(c, m, 99, 1)
		c.run(2 * time.Second)
		Expect(failure.KindOf(*past)).To(Equal(failure.Conflict))
		Expect(failure.KindOf(*ahead)).To(Equal(failure.Unavailable))
		Expect(failure.KindOf(*unknown)).To(Equal(failure.Invalid))

		plain := newCluster(73, 1)
		plain.startFirst(3)
		plain.commit(0, 1, 10)
		leader := plain.leader(0)
		_, none := digestAt(plain, leader, 0, leader.ledgers[0].Last)
		plain.run(time.Second)
		Expect(failure.KindOf(*none)).To(Equal(failure.Unavailable))
	})
})

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

// observedState is a state machine that ships, with a recorder that knows what was applied last and who leads.
type observedState struct {
	*recorder
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

// linkTo returns how long an envelope takes to an address, or false if the link's queue is full.
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

// bytesOf returns about how long an envelope is on the wire.
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

// order proposes a change of the configuration to a machine's engine. The outcome comes later.
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

// configure proposes a change of the configuration to the leader until the outcome is known.
func (c *cluster) configure(command configuration.Command) configuration.Result {
	GinkgoHelper()
	for range 100 {
		Expect(c.until(10*time.Second, func() bool { return c.leader(configurationGroup) != nil })).To(BeTrue())
		var outcome configuration.Result
		resolved, known := false, false
		c.leader(configurationGroup).order(command, func(result configuration.Result, err error) {
			outcome, resolved, known = result, true, err == nil
		})
		c.until(3*time.Second, func() bool { return resolved })
		if known {
			return outcome
		}
		c.run(50 * time.Millisecond)
	}
	Fail("a change has an outcome")
	return configuration.Result{}
}

// change is a change of the configuration with a body of about so many bytes.
func change(base uint64, bytes int) configuration.Command {
	body := fmt.Sprintf(`{"version":%d,"upsert":{"note":"%s"}}`, base+1, strings.Repeat("x", bytes))
	return configuration.Command{Kind: protocol.ConfigurationUpdate, Base: base, Body: []byte(body)}
}

// changeMany makes changes one after the other, and submits a job with each.
func (c *cluster) changeMany(changes, bytes int) {
	GinkgoHelper()
	for range changes {
		base := c.version()
		result := c.configure(change(base, bytes))
		Expect(result).To(Equal(configuration.Result{Version: base + 1}))
		c.submitJob()
	}
}

// version returns that of the configuration's leader.
func (c *cluster) version() uint64 {
	GinkgoHelper()
	Expect(c.until(10*time.Second, func() bool { return c.leader(configurationGroup) != nil })).To(BeTrue())
	return versionOf(c.leader(configurationGroup))
}

func versionOf(m *machine) uint64 {
	return m.states[configurationGroup].(*configuration.State).Document().Version()
}

// submitJob submits a job, and does not wait.
func (c *cluster) submitJob() {
	leader := c.leader(jobsGroup)
	if leader == nil {
		return
	}
	c.nextCommand++
	data, err := jobs.Encode(&jobs.Command{
		TimeOfDayMs: 1_700_000_000_000 + c.now().Milliseconds(),
		Submits: []jobs.Submit{{
			ID:    fmt.Sprintf("%016x", c.nextCommand),
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

// follower returns a machine that leads nothing.
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

var _ = Describe("A configuration change that is submitted twice", func() {
	first := change(0, 10)
	again := change(1, 10)
	rival := configuration.Command{Kind: protocol.ConfigurationUpdate, Base: 1, Body: []byte(`{"version":2}`)}

	// start returns a cluster with version 1, whose leader gets the next change and cannot commit it.
	start := func(appendsArrive bool) (c *cluster, old *machine, firstAttempt *error) {
		c = newShippedCluster(31)
		c.startFirst(3)
		Expect(c.configure(first).Version).To(Equal(uint64(1)))
		c.agree()
		old = c.leader(configurationGroup)
		c.drop = func(from, to *machine, _ *Envelope) bool { return to == old || from == old && !appendsArrive }
		outcome := error(nil)
		firstAttempt = &outcome
		old.order(again, func(_ configuration.Result, err error) { outcome = err })
		c.until(100*time.Millisecond, func() bool { return false })
		Expect(versionOf(old)).To(Equal(uint64(1)), "it is not committed")
		return c, old, firstAttempt
	}

	It("is confirmed once its first attempt is, which is in the log of the new leader, uncommitted", func() {
		c, old, firstAttempt := start(true)
		old.kill()
		c.drop = nil
		Expect(c.configure(again)).To(Equal(configuration.Result{Version: 2}))
		Expect(c.configure(rival).Kind).To(Equal(failure.Conflict))
		old.start(nil)
		c.agree()
		Expect(c.version()).To(Equal(uint64(2)))
		Expect(*firstAttempt).NotTo(HaveOccurred(), "the first caller was given no outcome")
	})

	It("is applied by its second attempt where the first is in the log of the old leader alone", func() {
		c, old, firstAttempt := start(false)
		Expect(c.until(5*time.Second, func() bool {
			m := c.leader(configurationGroup)
			return m != nil && m != old
		})).To(BeTrue())
		Expect(c.configure(again)).To(Equal(configuration.Result{Version: 2}))
		Expect(c.configure(rival).Kind).To(Equal(failure.Conflict))
		c.drop = nil
		c.agree()
		Expect(failure.KindOf(*firstAttempt)).To(Equal(failure.UnknownOutcome))
		Expect(c.version()).To(Equal(uint64(2)))
	})

	It("conflicts where another change came first, and its first attempt is never applied", func() {
		c, old, firstAttempt := start(false)
		Expect(c.until(5*time.Second, func() bool {
			m := c.leader(configurationGroup)
			return m != nil && m != old
		})).To(BeTrue())
		Expect(c.configure(rival)).To(Equal(configuration.Result{Version: 2}))
		Expect(c.configure(again).Kind).To(Equal(failure.Conflict))
		c.drop = nil
		c.agree()
		Expect(failure.KindOf(*firstAttempt)).To(Equal(failure.UnknownOutcome))
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
	digestAt := func(m *machine, id GroupID, index uint64) (digest *uint64, failed *error) {
		digest, failed = new(uint64), new(error)
		m.engine.Do(func() {
			m.engine.DigestAt(id, index, func(computed uint64, err error) { *digest, *failed = computed, err })
		})
		m.wake()
		return digest, failed
	}

	It("is computed by all members at one index, while entries are being applied", func() {
		c := newShippedCluster(71)
		c.startFirst(3)
		Expect(c.configure(manyRoutes(50)).Version).To(Equal(uint64(1)))
		c.agree()
		index := c.leader(configurationGroup).recorders[configurationGroup].Last + 4
		var digests []*uint64
		var failures []*error
		for _, m := range c.machines {
			digest, failed := digestAt(m, configurationGroup, index)
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

	It("fails if the state is past the index, does not get there, or has no digest", func() {
		c := newShippedCluster(72)
		c.startFirst(3)
		c.awaitLeaders()
		m := c.leader(configurationGroup)
		c.changeMany(3, 10)
		_, past := digestAt(m, configurationGroup, 1)
		_, ahead := digestAt(m, configurationGroup, 1000)
		_, unknown := digestAt(m, 99, 1)
		c.run(2 * time.Second)
		Expect(failure.KindOf(*past)).To(Equal(failure.Conflict))
		Expect(failure.KindOf(*ahead)).To(Equal(failure.Unavailable))
		Expect(failure.KindOf(*unknown)).To(Equal(failure.Invalid))

		plain := newCluster(73, 1)
		plain.startFirst(3)
		plain.commit(0, 1, 10)
		leader := plain.leader(0)
		_, none := digestAt(leader, 0, leader.recorders[0].Last)
		plain.run(time.Second)
		Expect(failure.KindOf(*none)).To(Equal(failure.Unavailable))
	})
})

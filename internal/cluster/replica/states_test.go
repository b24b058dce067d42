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

// The groups of a cluster with the state machines of the control role.
const (
	configurationGroup GroupID = 0
	jobsGroup          GroupID = 1
	realStateGroups            = 2
)

// realState is a state machine of the control role.
type realState interface {
	StateMachine
	Digester
}

// jobsState is the state machine of a shard of jobs.
type jobsState struct{ *jobs.State }

func (s jobsState) Apply(_, _ uint64, data []byte) any {
	command, err := jobs.Decode(data)
	Expect(err).NotTo(HaveOccurred())
	return s.State.Apply(command)
}

// newRealState returns the state machine of a group.
func newRealState(id GroupID) realState {
	if id == configurationGroup {
		return configuration.NewState()
	}
	return jobsState{jobs.New(jobs.Options{})}
}

// observedState combines a real state machine with a recorder, which knows the index applied last and whether this member
// leads.
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

// newRealStateCluster returns a cluster with the state machines and the timing of the control role.
func newRealStateCluster(seed uint64) *cluster {
	c := newCluster(seed, realStateGroups)
	c.newState = newRealState
	c.heartbeat, c.election = 75*time.Millisecond, 320*time.Millisecond
	return c
}

// linkQueue is how many bytes may wait for a link, as in package transport. Further envelopes are lost.
const linkQueue = 2 << 20

// linkTo returns how long an envelope takes to an address, or false if the link's queue is full. The lower bandwidth of the
// two machines limits the link.
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

// bytesOf returns about how many bytes an envelope has when it is encoded.
func bytesOf(envelope *Envelope) int {
	const head = 60 // of an envelope, a message or a snapshot, without data
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

// proposeChange proposes a change of the configuration at a machine. done is called with the outcome later.
func (m *machine) proposeChange(command configuration.Command, done func(configuration.Result, error)) {
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

// configure proposes a change of the configuration at the leader, and repeats that until the outcome is known.
func (c *cluster) configure(command configuration.Command) configuration.Result {
	GinkgoHelper()
	for range 100 {
		Expect(c.until(10*time.Second, func() bool { return c.leader(configurationGroup) != nil })).To(BeTrue())
		var outcome configuration.Result
		resolved, known := false, false
		c.leader(configurationGroup).proposeChange(command, func(result configuration.Result, err error) {
			outcome, resolved, known = result, true, err == nil
		})
		c.until(3*time.Second, func() bool { return resolved })
		if known {
			return outcome
		}
		c.run(50 * time.Millisecond)
	}
	Fail("the change has no known outcome after 100 attempts")
	return configuration.Result{}
}

// change returns a command that changes version base of the configuration to the next one, with a body of about so many
// bytes.
func change(base uint64, bytes int) configuration.Command {
	body := fmt.Sprintf(`{"version":%d,"upsert":{"note":"%s"}}`, base+1, strings.Repeat("x", bytes))
	return configuration.Command{Kind: protocol.ConfigurationUpdate, Base: base, Body: []byte(body)}
}

// changeMany makes successive changes of the configuration, and proposes a job with each.
func (c *cluster) changeMany(changes, bytes int) {
	GinkgoHelper()
	for range changes {
		base := c.version()
		result := c.configure(change(base, bytes))
		Expect(result).To(Equal(configuration.Result{Version: base + 1}))
		c.submitJob()
	}
}

// version returns the version of the configuration at its leader.
func (c *cluster) version() uint64 {
	GinkgoHelper()
	Expect(c.until(10*time.Second, func() bool { return c.leader(configurationGroup) != nil })).To(BeTrue())
	return versionOf(c.leader(configurationGroup))
}

// versionOf returns the version of the configuration that a machine has applied.
func versionOf(m *machine) uint64 {
	return m.states[configurationGroup].(*configuration.State).Document().Version()
}

// submitJob proposes a job, and does not wait for the outcome.
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

// expectEqualStates waits until all machines that are up have applied the same entries, and expects equal digests.
func (c *cluster) expectEqualStates() {
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

// follower returns a machine that leads no group.
func (c *cluster) follower() *machine {
	GinkgoHelper()
	for _, m := range c.machines {
		if m.up && m.leads() == 0 {
			return m
		}
	}
	Fail("every machine leads a group")
	return nil
}

// A client that got no outcome submits its change again. Whether or not the first attempt was committed, the change must be
// applied once, or never if another change came first.
var _ = Describe("A configuration change that is submitted twice", func() {
	first := change(0, 10)
	again := change(1, 10)
	rival := configuration.Command{Kind: protocol.ConfigurationUpdate, Base: 1, Body: []byte(`{"version":2}`)}

	// start returns a cluster at version 1. Its leader has a proposal for version 2 that it cannot commit, since no
	// envelopes arrive at that leader. The envelopes that it sends arrive only if appendsArrive is set.
	start := func(appendsArrive bool) (c *cluster, old *machine, firstAttempt *error) {
		c = newRealStateCluster(31)
		c.startFirst(3)
		Expect(c.configure(first).Version).To(Equal(uint64(1)))
		c.expectEqualStates()
		old = c.leader(configurationGroup)
		c.drop = func(from, to *machine, _ *Envelope) bool { return to == old || from == old && !appendsArrive }
		outcome := error(nil)
		firstAttempt = &outcome
		old.proposeChange(again, func(_ configuration.Result, err error) { outcome = err })
		c.until(100*time.Millisecond, func() bool { return false })
		Expect(versionOf(old)).To(Equal(uint64(1)), "the change is not committed")
		return c, old, firstAttempt
	}

	It("is applied once, by its first attempt, if that is in the log of the new leader", func() {
		c, old, firstAttempt := start(true)
		old.kill()
		c.drop = nil
		Expect(c.configure(again)).To(Equal(configuration.Result{Version: 2}))
		Expect(c.configure(rival).Kind).To(Equal(failure.Conflict))
		old.start(nil)
		c.expectEqualStates()
		Expect(c.version()).To(Equal(uint64(2)))
		Expect(*firstAttempt).NotTo(HaveOccurred(), "the first caller was given no outcome")
	})

	It("is applied once, by its second attempt, if the first is only in the log of the old leader", func() {
		c, old, firstAttempt := start(false)
		Expect(c.until(5*time.Second, func() bool {
			m := c.leader(configurationGroup)
			return m != nil && m != old
		})).To(BeTrue())
		Expect(c.configure(again)).To(Equal(configuration.Result{Version: 2}))
		Expect(c.configure(rival).Kind).To(Equal(failure.Conflict))
		c.drop = nil
		c.expectEqualStates()
		Expect(failure.KindOf(*firstAttempt)).To(Equal(failure.UnknownOutcome))
		Expect(c.version()).To(Equal(uint64(2)))
	})

	It("conflicts if another change came first, and its first attempt is never applied", func() {
		c, old, firstAttempt := start(false)
		Expect(c.until(5*time.Second, func() bool {
			m := c.leader(configurationGroup)
			return m != nil && m != old
		})).To(BeTrue())
		Expect(c.configure(rival)).To(Equal(configuration.Result{Version: 2}))
		Expect(c.configure(again).Kind).To(Equal(failure.Conflict))
		c.drop = nil
		c.expectEqualStates()
		Expect(failure.KindOf(*firstAttempt)).To(Equal(failure.UnknownOutcome))
		Expect(c.configure(again).Kind).To(Equal(failure.Conflict))
		Expect(c.configure(rival)).To(Equal(configuration.Result{Version: 2}))
	})

	DescribeTable("is confirmed again by a new leader, and after a restart of all from snapshots, if it was followed by",
		func(changes, bytes int) {
			c := newRealStateCluster(32)
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
				Expect(m.engine.byID[configurationGroup].snapshots.index > 0).To(Equal(changes*bytes > 2<<20), "large changes lead to a snapshot")
			}
			Expect(c.configure(first)).To(Equal(configuration.Result{Version: 1}))
			Expect(c.version()).To(Equal(uint64(1 + changes)))
			c.expectEqualStates()
		},
		Entry("one other change", 1, 10),
		Entry("100 other changes", 100, 10),
		Entry("100 large other changes", 100, 30<<10),
		Entry("2,000 other changes", 2000, 1200),
	)
})

var _ = Describe("The digest of a state", func() {
	// digestAt requests a digest from a machine. The results are filled in later.
	digestAt := func(m *machine, id GroupID, index uint64) (digest *uint64, failed *error) {
		digest, failed = new(uint64), new(error)
		m.engine.Do(func() {
			m.engine.DigestAt(id, index, func(computed uint64, err error) { *digest, *failed = computed, err })
		})
		m.wake()
		return digest, failed
	}

	It("is equal on all members at the same index, while entries are being applied", func() {
		c := newRealStateCluster(71)
		c.startFirst(3)
		Expect(c.configure(manyRoutes(50)).Version).To(Equal(uint64(1)))
		c.expectEqualStates()
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
		Expect(c.leader(configurationGroup).states[configurationGroup].Digest()).NotTo(Equal(*digests[0]), "later entries have changed the state")
	})

	It("fails if the state is past the index, does not reach it in time, or has no digest, or the group is unknown", func() {
		c := newRealStateCluster(72)
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

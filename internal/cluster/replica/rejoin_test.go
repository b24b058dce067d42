package replica

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
)

// controlCluster returns a cluster with the timing of control processes. All machines vote.
func controlCluster(seed uint64, members int) *cluster {
	GinkgoHelper()
	c := newCluster(seed, controlGroups)
	c.heartbeat, c.election = controlHeartbeat, controlElection
	c.startFirst(members)
	c.awaitVoters(c.names()...)
	c.proposeFor(2 * time.Second)
	return c
}

// recordOf records all envelopes that a machine sends, until stop is called.
func (c *cluster) recordOf(m *machine) (record func() []*Envelope, stop func()) {
	var sent []*Envelope
	c.trace = func(from *machine, _ string, envelope *Envelope) {
		if from == m {
			sent = append(sent, envelope)
		}
	}
	return func() []*Envelope { return sent }, func() { c.trace = nil }
}

// deliver delivers a copy of an envelope to all machines that are not at its sender's address.
func (c *cluster) deliver(envelope *Envelope) {
	for _, m := range c.machines {
		if m.up && m.address != envelope.Address {
			late := *envelope
			m.engine.Receive(&late)
			m.wake()
		}
	}
}

// votesInAll reports whether a member votes in all groups that have a leader.
func (c *cluster) votesInAll(id consensus.MemberID) bool {
	for group := range GroupID(c.groups) {
		leader := c.leader(group)
		if leader != nil && !slices.Contains(sortedVoters(leader.engine.Members(group)), id) {
			return false
		}
	}
	return true
}

// votesInAny reports whether a member votes in any group that has a leader.
func (c *cluster) votesInAny(id consensus.MemberID) bool {
	for group := range GroupID(c.groups) {
		leader := c.leader(group)
		if leader != nil && slices.Contains(sortedVoters(leader.engine.Members(group)), id) {
			return true
		}
	}
	return false
}

var _ = Describe("A machine that comes back without its disk", func() {
	// Only a response from the new process proves that the old member is gone, since the last contact with it is recent.
	It("votes again within 400 ms, although the last contact with its old member is recent", func() {
		for seed := range uint64(20) {
			c := controlCluster(seed, 3)
			follower := c.machines[c.random.IntN(3)]
			for id := range GroupID(controlGroups) {
				if c.leader(id) == follower {
					follower.engine.Do(func() { follower.engine.Resign(func() {}) })
					follower.wake()
				}
			}
			c.proposeFor(time.Second)
			follower.wipe()
			c.proposeFor(20 * time.Millisecond)
			follower.start(nil)
			Expect(c.until(400*time.Millisecond, c.votersAre(c.names()...))).To(BeTrue())
		}
	})

	// Late envelopes and requests to join make members of lost disks look alive at the machine's address. The leader must
	// not take them as a proof that the current member is gone.
	It("keeps its vote while envelopes of its earlier members arrive late", func() {
		for seed := range uint64(6) {
			c := controlCluster(seed, 3)
			m := c.machines[seed%3]
			record, stop := c.recordOf(m)
			c.proposeFor(500 * time.Millisecond)
			oldest := m.engine.self.ID
			m.wipe()
			m.start(nil)
			c.proposeFor(2 * time.Second)
			second := m.engine.self.ID
			m.wipe()
			m.start(nil)
			c.proposeFor(2 * time.Second)
			stop()
			present := m.engine.self.ID
			Expect(c.votesInAll(present)).To(BeTrue())
			late := record()
			for _, envelope := range late { // adds a request to join by the lost member
				for id := range GroupID(controlGroups) {
					request := Join{Group: id, Member: consensus.Member{ID: envelope.From, Node: m.name, Zone: "zone", Address: m.address}}
					envelope.Joins = append(envelope.Joins, request)
				}
			}
			for range 100 {
				c.deliver(late[c.random.IntN(len(late))])
				c.proposeFor(time.Duration(c.random.IntN(20)) * time.Millisecond)
				Expect(c.votesInAll(present)).To(BeTrue(), "the present member keeps its vote")
				Expect(c.votesInAny(oldest)).To(BeFalse())
				Expect(c.votesInAny(second)).To(BeFalse())
			}
			c.proposeFor(2 * time.Second)
			c.awaitVoters(c.names()...)
			Expect(c.isMember(oldest) || c.isMember(second)).To(BeFalse(), "learners that late requests have added are dropped")
		}
	})

	It("is added while envelopes of its lost member arrive late and repeatedly", func() {
		for seed := range uint64(10) {
			c := controlCluster(seed, 3)
			m := c.machines[seed%3]
			record, stop := c.recordOf(m)
			c.proposeFor(500 * time.Millisecond)
			m.wipe()
			stop()
			m.start(nil)
			late := record()
			for i := range 10 {
				c.at(time.Duration(i)*20*time.Millisecond, func() { c.deliver(late[c.random.IntN(len(late))]) })
			}
			Expect(c.until(3*time.Second, c.votersAre(c.names()...))).To(BeTrue())
		}
	})

	It("is added within 3 s although it is wiped again at any moment of its repair", func() {
		for uptime := 5 * time.Millisecond; uptime < 400*time.Millisecond; uptime += 15 * time.Millisecond {
			c := controlCluster(uint64(uptime), 3)
			m := c.machines[c.random.IntN(3)]
			m.wipe()
			c.proposeFor(50 * time.Millisecond)
			for range 3 {
				m.start(nil)
				c.run(uptime)
				m.wipe()
			}
			m.start(nil)
			Expect(c.until(3*time.Second, c.votersAre(c.names()...))).To(BeTrue(), "after %v", uptime)
			c.proposeFor(100 * time.Millisecond)
			c.converge()
		}
	})

	It("is added although it knows only a seed that is not an initial member", func() {
		for seed := range uint64(6) {
			c := controlCluster(seed, 5)
			m := c.machines[0]
			m.wipe()
			c.seeds = []string{c.machines[4].address}
			m.start(nil)
			Expect(c.until(3*time.Second, c.votersAre(c.names()...))).To(BeTrue())
		}
	})

	// The repair moves votes to members with new disks. If a new member voted before it had the committed entries, a power
	// failure of the other machines could lose committed entries, or leave a group without a quorum.
	DescribeTable("is repaired without a loss, although all other machines lose power at any moment:",
		func(members, wiped int) {
			for seed := range repairSeeds() * 5 {
				c := controlCluster(seed, members)
				c.commit(GroupID(seed%controlGroups), 1, 100)
				first := c.random.IntN(members)
				var lost []*machine
				for i := range wiped {
					lost = append(lost, c.machines[(first+i)%members])
				}
				for _, m := range lost {
					m.wipe()
				}
				c.run(time.Duration(c.random.IntN(2)) * 50 * time.Millisecond)
				for _, m := range lost {
					m.start(nil)
				}
				c.proposeFor(time.Duration(c.random.IntN(400)) * time.Millisecond)
				for _, m := range c.machines {
					if !slices.Contains(lost, m) {
						m.losePower()
					}
				}
				c.run(time.Duration(c.random.IntN(1000)) * time.Millisecond)
				for _, m := range c.machines {
					if !m.up {
						m.start(nil)
					}
				}
				Expect(c.until(10*time.Second, c.votersAre(c.names()...))).To(BeTrue(), "seed %d", seed)
				c.converge()
			}
		},
		Entry("one wiped machine of three", 3, 1),
		Entry("one wiped machine of five", 5, 1),
		Entry("two wiped machines of five", 5, 2),
		Entry("two wiped machines of nine", 9, 2),
	)

	It("is repaired although the leader loses power or is isolated at any moment of the repair", func() {
		for seed := range repairSeeds() * 8 {
			c := controlCluster(seed, 3)
			m := c.machines[c.random.IntN(3)]
			m.wipe()
			c.proposeFor(time.Duration(c.random.IntN(1500)) * time.Millisecond)
			m.start(nil)
			c.run(time.Duration(c.random.IntN(150)) * time.Millisecond)
			leader := c.leader(0)
			if leader == nil || leader == m {
				continue
			}
			if seed%2 == 0 {
				leader.losePower()
			} else {
				leader.isolated = true
			}
			c.proposeFor(time.Second)
			if seed%2 == 0 {
				leader.start(nil)
			}
			leader.isolated = false
			Expect(c.until(6*time.Second, c.votersAre(c.names()...))).To(BeTrue(), "seed %d", seed)
			c.converge()
		}
	})
})

var _ = Describe("A machine that was replaced while it was away", func() {
	// The machine has lost its vote, but does not know that. Its campaigns must not depose leaders.
	DescribeTable("causes no election when it comes back, and is added again, after it was",
		func(away, back func(m *machine)) {
			for seed := range uint64(10) {
				c := controlCluster(seed, 3)
				m := c.machines[seed%3]
				away(m)
				c.proposeFor(4 * time.Second)
				c.add("core-4", "10.0.0.4:7380").start(nil)
				names := slices.DeleteFunc(c.names(), func(name string) bool { return name == m.name })
				Expect(c.until(2*time.Second, c.votersAre(names...))).To(BeTrue())
				c.run(25 * time.Second) // until the leaderships are balanced and none is transferred
				terms := c.terms()
				back(m)
				c.proposeFor(time.Second)
				Expect(c.terms()).To(Equal(terms))
				c.awaitVoters(c.names()...)
				c.converge()
			}
		},
		Entry("partitioned", func(m *machine) { m.isolated = true }, func(m *machine) { m.isolated = false }),
		Entry("frozen", func(m *machine) { m.frozen = true }, func(m *machine) { m.frozen = false; m.wake() }),
	)
})

var _ = Describe("A learner", func() {
	// A late request adds the member of a process that has ended as a learner again. Late responses make it look alive. As a
	// voter it would count towards the quorum, but never respond.
	It("does not become a voter because of late messages if its process has ended", func() {
		for seed := range uint64(6) {
			c := controlCluster(seed, 3)
			leader := c.leader(0)
			for id := range GroupID(controlGroups) { // make one machine lead all groups until the end, so that terms stay
				leader.recorders[id].defers = true
				if c.leader(id) != leader {
					c.moveLeadership(id, leader)
				}
			}
			lost := c.machines[(slices.Index(c.machines, leader)+1)%3]
			c.add("core-4", "10.0.0.4:7380").start(nil)
			c.awaitVoters("core-1", "core-2", "core-3", "core-4")
			lastIndexes := map[GroupID]uint64{}
			for id := range GroupID(controlGroups) {
				lastIndexes[id] = lost.engine.Status(id).LastIndex
			}
			lost.kill()
			names := slices.DeleteFunc(c.names(), func(name string) bool { return name == lost.name })
			Expect(c.until(3*time.Second, c.votersAre(names...))).To(BeTrue())
			for id := range GroupID(controlGroups) {
				request := Join{Group: id, Member: consensus.Member{ID: lost.engine.self.ID, Node: lost.name, Zone: "zone", Address: lost.address}}
				late := Envelope{From: lost.engine.self.ID, Address: lost.address, Joins: []Join{request}}
				late.Messages = append(late.Messages, consensus.Message{
					Kind: consensus.MessageAppendResponse, Group: id, From: lost.engine.self.ID, To: leader.engine.self.ID,
					Term: leader.engine.Status(id).Term, Index: lastIndexes[id],
				})
				Expect(c.voters(id)).To(HaveLen(3))
				for range 60 {
					c.deliver(&late)
					c.run(10 * time.Millisecond)
					Expect(c.voters(id)).To(HaveLen(3), "a fourth voter would never respond")
				}
			}
			c.run(learnerTimeout + time.Second)
			Expect(c.isMember(lost.engine.self.ID)).To(BeFalse())
			c.awaitVoters(names...)
		}
	})

	for _, disk := range []time.Duration{fastDisk, 100 * time.Millisecond, slowDisk, 400 * time.Millisecond} {
		It(fmt.Sprintf("is promoted under load with a disk of %v, and then has what was committed maxCaughtUpAge before", disk), func() {
			for seed := range uint64(5) {
				c := controlCluster(seed, 3)
				keepProposing(c)
				c.run(2 * time.Second)
				fresh := c.add("core-4", "10.0.0.4:7380")
				fresh.diskDelay = disk
				fresh.start(nil)
				commits := map[GroupID][]logEnd{} // commit indexes, with the time of observation in place of the term
				promoted := map[GroupID]bool{}
				Expect(c.until(6*time.Second, func() bool {
					for id := range GroupID(controlGroups) {
						leader := c.leader(id)
						if leader == nil || promoted[id] {
							continue
						}
						commits[id] = append(commits[id], logEnd{index: leader.engine.Status(id).Commit, term: uint64(c.now())})
						if c.votesIn(id, fresh) {
							promoted[id] = true
							Expect(fresh.durable[id].index).To(BeNumerically(">=", committedBefore(commits[id], c.now()-maxCaughtUpAge)))
						}
					}
					return len(promoted) == controlGroups
				})).To(BeTrue())
			}
		})
	}

	It("is measured in rounds: each ends when the disk has what was committed at the start of the round", func() {
		measured := &catchUp{}
		Expect(measured.age(time.Second)).To(Equal(unknownDuration))
		measured.observe(0, 100, time.Second)
		Expect(measured.age(time.Second)).To(Equal(unknownDuration))
		measured.observe(99, 150, 2*time.Second)
		Expect(measured.age(2*time.Second)).To(Equal(unknownDuration), "one entry of the first round is missing")
		measured.observe(120, 200, 3*time.Second)
		Expect(measured.age(3*time.Second)).To(Equal(2*time.Second), "the disk has what was committed at 1 s, the start of the first round")
		measured.observe(199, 250, 4*time.Second)
		Expect(measured.age(4 * time.Second)).To(Equal(3 * time.Second))
		measured.observe(200, 300, 5*time.Second)
		Expect(measured.age(5 * time.Second)).To(Equal(2 * time.Second))
		measured.observe(300, 300, 6*time.Second)
		Expect(measured.age(6*time.Second)).To(BeZero(), "the disk has all that is committed now")
	})
})

// keepProposing proposes a line in each group every 2 ms while the cluster runs.
func keepProposing(c *cluster) {
	c.at(2*time.Millisecond, func() {
		for id := range GroupID(c.groups) {
			c.propose(id, 50, nil)
		}
		keepProposing(c)
	})
}

// votesIn reports whether the current member of a machine votes in a group.
func (c *cluster) votesIn(id GroupID, m *machine) bool {
	return slices.Contains(sortedVoters(c.leader(id).engine.Members(id)), m.engine.self.ID)
}

// committedBefore returns the newest index that was committed at a time, or 0. The commits have their times in place of
// terms.
func committedBefore(commits []logEnd, at time.Duration) uint64 {
	committed := uint64(0)
	for _, commit := range commits {
		if time.Duration(commit.term) <= at {
			committed = commit.index
		}
	}
	return committed
}

var _ = Describe("A machine that moved with its disk", func() {
	// Otherwise the leader would treat a process that gets the machine's old address as the machine's successor.
	It("is known at the address that it announces before the membership has that address", func() {
		c := controlCluster(1, 3)
		moved := c.machines[(indexOf(c, c.leader(0))+1)%3]
		moved.kill()
		moved.address = "10.0.7.7:7380"
		moved.start(nil)
		leader := c.leader(0).engine.byID[0]
		member := consensus.Member{ID: moved.engine.self.ID, Address: "the old address"}
		Expect(c.until(500*time.Millisecond, func() bool { return leader.memberView(member).currentAddress == moved.address })).To(BeTrue())
	})
})

package replica

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
)

// controlCluster returns machines with the timing of control processes, all of which vote.
func controlCluster(seed uint64, members int) *cluster {
	GinkgoHelper()
	c := newCluster(seed, controlGroups)
	c.heartbeat, c.election = controlHeartbeat, controlElection
	c.startFirst(members)
	c.awaitVoters(c.names()...)
	c.proposeFor(2 * time.Second)
	return c
}

// recordOf records all that a machine sends from now on, until stop is called.
func (c *cluster) recordOf(m *machine) (record func() []*Envelope, stop func()) {
	var sent []*Envelope
	c.trace = func(from *machine, _ string, envelope *Envelope) {
		if from == m {
			sent = append(sent, envelope)
		}
	}
	return func() []*Envelope { return sent }, func() { c.trace = nil }
}

// deliver delivers an envelope to all machines but those at its sender's address.
func (c *cluster) deliver(envelope *Envelope) {
	for _, m := range c.machines {
		if m.up && m.address != envelope.Address {
			late := *envelope
			m.engine.Receive(&late)
			m.wake()
		}
	}
}

// votes reports whether an identity votes in all groups.
func (c *cluster) votes(id consensus.MemberID) bool {
	for group := range GroupID(c.groups) {
		leader := c.leader(group)
		if leader != nil && !slices.Contains(sortedVoters(leader.engine.Members(group)), id) {
			return false
		}
	}
	return true
}

// voted reports whether an identity votes in any group.
func (c *cluster) voted(id consensus.MemberID) bool {
	for group := range GroupID(c.groups) {
		leader := c.leader(group)
		if leader != nil && slices.Contains(sortedVoters(leader.engine.Members(group)), id) {
			return true
		}
	}
	return false
}

var _ = Describe("A machine that comes back without its disk", func() {
	It("is a voter again as soon as it answers and has what is committed, however soon it is back", func() {
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

	It("does not count as lost because of late messages of identities that were lost before", func() {
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
			Expect(c.votes(present)).To(BeTrue())
			late := record()
			for _, envelope := range late { // and a request of each
				for id := range GroupID(controlGroups) {
					request := Join{Group: id, Member: consensus.Member{ID: envelope.From, Node: m.name, Zone: "zone", Address: m.address}}
					envelope.Joins = append(envelope.Joins, request)
				}
			}
			for range 100 {
				c.deliver(late[c.random.IntN(len(late))])
				c.proposeFor(time.Duration(c.random.IntN(20)) * time.Millisecond)
				Expect(c.votes(present)).To(BeTrue(), "the present identity keeps its vote")
				Expect(c.voted(oldest)).To(BeFalse())
				Expect(c.voted(second)).To(BeFalse())
			}
			c.proposeFor(2 * time.Second)
			c.awaitVoters(c.names()...)
			Expect(c.isMember(oldest) || c.isMember(second)).To(BeFalse(), "what a late request has brought in is dropped")
		}
	})

	It("is added also while envelopes of its lost identity arrive late and twice", func() {
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

	It("may be wiped again at any moment of its repair", func() {
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

	It("finds the group when its seeds have changed", func() {
		for seed := range uint64(6) {
			c := controlCluster(seed, 5)
			m := c.machines[0]
			m.wipe()
			c.seeds = []string{c.machines[4].address}
			m.start(nil)
			Expect(c.until(3*time.Second, c.votersAre(c.names()...))).To(BeTrue())
		}
	})

	DescribeTable("loses nothing when all others lose power at any moment after it",
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
		Entry("one of three", 3, 1),
		Entry("one of five", 5, 1),
		Entry("two of five", 5, 2),
		Entry("two of nine", 9, 2),
	)

	It("is repaired although the leader is lost at any moment of it", func() {
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
	DescribeTable("disturbs nobody when it comes back, and is added again",
		func(away, back func(m *machine)) {
			for seed := range uint64(10) {
				c := controlCluster(seed, 3)
				m := c.machines[seed%3]
				away(m)
				c.proposeFor(4 * time.Second)
				c.add("core-4", "10.0.0.4:7380").start(nil)
				names := slices.DeleteFunc(c.names(), func(name string) bool { return name == m.name })
				Expect(c.until(2*time.Second, c.votersAre(names...))).To(BeTrue())
				c.run(25 * time.Second) // until leaderships are balanced
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
	It("does not become a voter because of late messages of an identity that is gone for good", func() {
		for seed := range uint64(6) {
			c := controlCluster(seed, 3)
			leader := c.leader(0)
			for id := range GroupID(controlGroups) { // one leads all of them, in the same terms
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
					Expect(c.voters(id)).To(HaveLen(3), "a fourth vote would be one that never answers")
				}
			}
			c.run(learnerTimeout + time.Second)
			Expect(c.isMember(lost.engine.self.ID)).To(BeFalse())
			c.awaitVoters(names...)
		}
	})

	for _, disk := range []time.Duration{fastDisk, 100 * time.Millisecond, slowDisk, 400 * time.Millisecond} {
		It(fmt.Sprintf("is promoted under constant load with a disk of %v, and then has what was committed a second before", disk), func() {
			for seed := range uint64(5) {
				c := controlCluster(seed, 3)
				keepProposing(c)
				c.run(2 * time.Second)
				fresh := c.add("core-4", "10.0.0.4:7380")
				fresh.diskDelay = disk
				fresh.start(nil)
				commits := map[GroupID][]logEnd{} // with the time in place of the term
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

	It("follows in rounds", func() {
		followed := &catchUp{}
		Expect(followed.age(time.Second)).To(Equal(unknownDuration))
		followed.observe(0, 100, time.Second)
		Expect(followed.age(time.Second)).To(Equal(unknownDuration))
		followed.observe(99, 150, 2*time.Second)
		Expect(followed.age(2*time.Second)).To(Equal(unknownDuration), "64 entries or one: what was committed is not there")
		followed.observe(120, 200, 3*time.Second)
		Expect(followed.age(3*time.Second)).To(Equal(2*time.Second), "what was committed after one second")
		followed.observe(199, 250, 4*time.Second)
		Expect(followed.age(4 * time.Second)).To(Equal(3 * time.Second))
		followed.observe(200, 300, 5*time.Second)
		Expect(followed.age(5 * time.Second)).To(Equal(2 * time.Second))
		followed.observe(300, 300, 6*time.Second)
		Expect(followed.age(6*time.Second)).To(BeZero(), "all of it now")
	})
})

// keepProposing proposes a line in each group every 2 ms for as long as the cluster runs.
func keepProposing(c *cluster) {
	c.at(2*time.Millisecond, func() {
		for id := range GroupID(c.groups) {
			c.propose(id, 50, nil)
		}
		keepProposing(c)
	})
}

// votesIn reports whether a machine's identity votes in a group.
func (c *cluster) votesIn(id GroupID, m *machine) bool {
	return slices.Contains(sortedVoters(c.leader(id).engine.Members(id)), m.engine.self.ID)
}

// committedBefore returns the newest index that was committed at a time.
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
	It("is known at its announced address before the membership has it, so that nobody at its old address counts as its successor", func() {
		c := controlCluster(1, 3)
		moved := c.machines[(slotOf(c, c.leader(0))+1)%3]
		moved.kill()
		moved.address = "10.0.7.7:7380"
		moved.start(nil)
		leader := c.leader(0).engine.byID[0]
		member := consensus.Member{ID: moved.engine.self.ID, Address: "the old one"}
		Expect(c.until(500*time.Millisecond, func() bool { return leader.memberView(member).currentAddress == moved.address })).To(BeTrue())
	})
})

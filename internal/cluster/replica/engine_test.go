package replica

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

// idle is how long some specs let the cluster run without proposals.
const idle = 10 * time.Second

var _ = Describe("Engine", func() {
	It("elects leaders and commits in every group", func() {
		c := newCluster(1, 5)
		c.startFirst(3)
		c.awaitLeaders()
		for id := range GroupID(5) {
			c.commit(id, 3, 10)
		}
		c.converge()
	})

	It("adds machines that are not seeds as members, and balances the leaderships", func() {
		for seed := range uint64(10) {
			c := newCluster(seed, 5)
			c.startFirst(5)
			c.awaitVoters("core-1", "core-2", "core-3", "core-4", "core-5")
			Expect(c.now()).To(BeNumerically("<", 5*time.Second))
			c.run(20 * time.Second)
			leaders := map[*machine]bool{}
			for id := range GroupID(5) {
				leaders[c.leader(id)] = true
			}
			Expect(leaders).To(HaveLen(5), "each machine leads one group")
			terms := c.terms()
			c.run(30 * time.Second)
			Expect(c.terms()).To(Equal(terms), "balanced leaderships are not transferred any more")
		}
	})

	It("balances no leadership that its state machine defers, but transfers it when the process resigns", func() {
		c := newCluster(2, 5)
		c.startFirst(3)
		c.awaitLeaders()
		first := c.leader(0)
		leads := func(m *machine) func() bool {
			return func() bool { return m.leads() == c.groups }
		}
		for id := range GroupID(c.groups) {
			if led := c.leader(id); led != first {
				Expect(led.engine.byID[id].node.TransferLeadership(led.engine.now, first.engine.self.ID)).To(Succeed())
				led.wake()
			}
		}
		Expect(c.until(5*time.Second, leads(first))).To(BeTrue(), "one machine leads all groups")
		for _, l := range first.recorders {
			l.defers = true
		}
		c.run(30 * time.Second)
		Expect(first.leads()).To(Equal(c.groups))
		first.recorders[0].defers, first.recorders[1].defers = false, false
		Expect(c.until(30*time.Second, func() bool { return !leads(first)() })).To(BeTrue(), "a leadership is balanced that is no longer deferred")
		first.engine.Do(func() { first.engine.Resign(func() {}) })
		first.wake()
		Expect(c.until(5*time.Second, func() bool { return first.leads() == 0 })).To(BeTrue(), "nothing is deferred when the process resigns")
	})

	It("forms a group of a single member", func() {
		c := newCluster(1, 2)
		c.startFirst(1)
		c.commit(0, 3, 10)
		c.commit(1, 3, 10)
		c.machines[0].losePower()
		c.machines[0].start(nil)
		c.converge()
		c.expectConfirmation(0)
	})

	It("commits again within 4 s after a leader is killed, whose log becomes equal after its restart", func() {
		c := newCluster(3, 2)
		c.startFirst(3)
		c.commit(0, 5, 10)
		lost := c.leader(0)
		lost.kill()
		before := c.now()
		c.commit(0, 5, 10)
		Expect(c.now() - before).To(BeNumerically("<", 4*time.Second))
		lost.start(nil)
		c.converge()
	})

	It("recovers everything from the disks after all processes are killed or lose power at once", func() {
		for seed := range uint64(20) {
			c := newCluster(seed, 5)
			c.startFirst(5)
			for id := range GroupID(5) {
				c.commit(id, 3, 100)
			}
			c.proposeMany(20)
			c.run(time.Duration(c.random.IntN(30)) * time.Millisecond)
			for _, m := range c.machines {
				if seed%2 == 0 {
					m.kill()
				} else {
					m.losePower()
				}
			}
			c.run(time.Second)
			for _, m := range c.machines {
				m.start(nil)
			}
			before := c.now()
			c.awaitLeaders()
			Expect(c.now() - before).To(BeNumerically("<", 5*time.Second))
			c.converge()
		}
	})

	// Two of three machines have lost their disks, and with them their votes and entries. If they could vote under their old
	// IDs, they could elect a leader without the committed entries.
	It("does not let a wiped machine vote before it is a member again", func() {
		c := newCluster(4, 2)
		c.startFirst(3)
		c.commit(0, 5, 10)
		c.converge()
		for _, m := range c.machines[1:] {
			m.wipe()
			m.start(nil)
		}
		c.run(30 * time.Second)
		Expect(c.leader(0)).To(BeNil(), "no leader can be elected without a quorum of the old members")
	})

	It("adds a wiped machine again within seconds", func() {
		for seed := range uint64(20) {
			c := newCluster(seed, 5)
			c.startFirst(3)
			for id := range GroupID(5) {
				c.commit(id, 5, 10)
			}
			c.converge()
			wiped := c.machines[c.random.IntN(3)]
			old := wiped.engine.self.ID
			wiped.wipe()
			c.run(time.Second)
			wiped.start(nil)
			back := c.now()
			c.awaitVoters("core-1", "core-2", "core-3")
			Expect(c.isMember(old)).To(BeFalse())
			Expect(c.now() - back).To(BeNumerically("<", 4*time.Second))
			Expect(wiped.engine.self.ID).NotTo(Equal(old))
			c.converge()
			other := c.machines[(indexOf(c, wiped)+1)%3]
			other.kill()
			c.commit(0, 1, 10)
			c.check()
		}
	})

	DescribeTable("replaces a lost machine by a new one",
		func(name string) {
			c := newCluster(5, 3)
			c.startFirst(3)
			c.commit(1, 5, 10)
			c.run(3 * time.Second)
			c.machines[1].kill()
			c.run(10 * time.Second)
			c.machines = slices.Delete(c.machines, 1, 2)
			c.add(name, "10.0.9.9:7380").start(nil)
			c.awaitVoters("core-1", "core-3", name)
			c.commit(1, 5, 10)
			c.machines[0].kill()
			c.commit(1, 5, 10)
			c.check()
		},
		Entry("of the same name at another address", "core-2"),
		Entry("of another name", "core-9"),
	)

	It("adds a machine again that was replaced while it was isolated", func() {
		c := newCluster(6, 3)
		c.startFirst(3)
		c.commit(1, 5, 10)
		c.run(3 * time.Second)
		c.machines[1].isolated = true
		c.run(10 * time.Second)
		c.add("core-4", "10.0.0.4:7380").start(nil)
		c.awaitVoters("core-1", "core-3", "core-4")
		c.machines[1].isolated = false
		c.awaitVoters("core-1", "core-2", "core-3", "core-4")
		c.converge()
	})

	It("drops a voter that has been down for voterTimeout, if enough remain", func() {
		c := newCluster(7, 2)
		c.startFirst(5)
		c.awaitVoters("core-1", "core-2", "core-3", "core-4", "core-5")
		c.machines[4].kill()
		c.run(50 * time.Second)
		Expect(c.voters(0)).To(HaveLen(5))
		c.run(30 * time.Second)
		c.awaitVoters("core-1", "core-2", "core-3", "core-4")
	})

	It("corrects the address of a machine that returns with its disk at another address", func() {
		c := newCluster(8, 2)
		c.startFirst(3)
		c.commit(0, 5, 10)
		moved := c.machines[2]
		moved.kill()
		c.run(5 * time.Second)
		moved.address = "10.0.7.7:7380"
		moved.start(nil)
		c.converge()
		Expect(c.until(10*time.Second, func() bool {
			for _, member := range c.leader(0).engine.Members(0) {
				if member.Address == moved.address {
					return true
				}
			}
			return false
		})).To(BeTrue())
		c.awaitVoters("core-1", "core-2", "core-3")
	})

	It("runs fewer than 150 steps and sends fewer than 90 envelopes per second on each machine when idle", func() {
		c := newCluster(9, 5)
		c.startFirst(5)
		c.run(20 * time.Second)
		steps, sent := c.steps, c.sent
		c.run(idle)
		perMachine := float64(c.steps-steps) / 5 / idle.Seconds()
		envelopes := float64(c.sent-sent) / 5 / idle.Seconds()
		GinkgoWriter.Println("per machine and second: steps", perMachine, "envelopes", envelopes)
		Expect(perMachine).To(BeNumerically("<", 150))
		Expect(envelopes).To(BeNumerically("<", 90))
	})
})

var _ = Describe("Propose", func() {
	It("fails at a follower and names the leader", func() {
		c := newCluster(1, 1)
		c.startFirst(3)
		c.awaitLeaders()
		c.run(time.Second)
		follower := c.machines[(indexOf(c, c.leader(0))+1)%3]
		var outcome error
		follower.engine.Propose(0, []byte("x"), func(_ any, err error) { outcome = err })
		Expect(failure.KindOf(outcome)).To(Equal(failure.NotLeader))
		Expect(failure.LeaderOf(outcome)).To(Equal(c.leader(0).address))
		follower.engine.Propose(99, nil, func(_ any, err error) { outcome = err })
		Expect(failure.KindOf(outcome)).To(Equal(failure.NotLeader))
	})

	It("fails once with failure.UnknownOutcome if leadership is lost", func() {
		c := newCluster(2, 1)
		c.startFirst(3)
		c.awaitLeaders()
		old := c.leader(0)
		old.isolated = true
		var outcome error
		calls := 0
		c.propose(0, 10, func(err error) { outcome = err; calls++ })
		c.run(10 * time.Second)
		Expect(calls).To(Equal(1))
		Expect(failure.KindOf(outcome)).To(Equal(failure.UnknownOutcome))
		Expect(old.recorders[0].ended).To(Equal(1))
		old.isolated = false
		c.commit(0, 1, 10)
		c.converge()
	})
})

var _ = Describe("ConfirmLeadership", func() {
	It("succeeds within 40 ms at a leader", func() {
		c := newCluster(1, 1)
		c.startFirst(3)
		c.awaitLeaders()
		c.run(time.Second)
		before := c.now()
		c.expectConfirmation(0)
		Expect(c.now() - before).To(BeNumerically("<", 40*time.Millisecond))
	})

	It("fails within 1.2 s at a leader that is isolated", func() {
		c := newCluster(2, 1)
		c.startFirst(3)
		c.awaitLeaders()
		old := c.leader(0)
		old.isolated = true
		var outcome error
		called := false
		old.engine.Do(func() {
			old.engine.ConfirmLeadership(0, func(err error) { outcome, called = err, true })
		})
		old.wake()
		Expect(c.until(1200*time.Millisecond, func() bool { return called })).To(BeTrue())
		Expect(failure.KindOf(outcome)).To(Equal(failure.NotLeader))
	})

	It("fails at a leader that was frozen while another was elected", func() {
		for seed := range uint64(10) {
			c := newCluster(seed, 1)
			c.startFirst(3)
			c.commit(0, 3, 10)
			old := c.leader(0)
			old.frozen = true
			c.commit(0, 3, 10)
			Expect(c.leader(0)).NotTo(Equal(old))
			var outcome error
			called := false
			old.engine.Do(func() {
				old.engine.ConfirmLeadership(0, func(err error) { outcome, called = err, true })
			})
			old.frozen = false
			old.wake()
			c.until(2*time.Second, func() bool { return called })
			Expect(failure.KindOf(outcome)).To(Equal(failure.NotLeader))
			c.converge()
		}
	})
})

var _ = Describe("Resign", func() {
	It("transfers all leaderships within 300 ms, and the process gets none back", func() {
		for seed := range uint64(10) {
			c := newCluster(seed, 5)
			c.startFirst(3)
			c.awaitLeaders()
			c.run(3 * time.Second)
			leaving := c.leader(GroupID(c.random.IntN(5)))
			startedAt, done := c.now(), time.Duration(0)
			leaving.engine.Do(func() {
				leaving.engine.Resign(func() { done = c.now() })
			})
			leaving.wake()
			Expect(c.until(2*time.Second, func() bool { return done > 0 })).To(BeTrue())
			Expect(done - startedAt).To(BeNumerically("<", 300*time.Millisecond))
			c.awaitLeaders()
			c.run(idle)
			for id := range GroupID(5) {
				Expect(leaving.recorders[id].leading).To(BeZero())
				Expect(c.leader(id)).NotTo(BeNil())
			}
			leaving.kill()
			leaving.start(nil)
			c.converge()
		}
	})

	It("ends after resignTimeout if there is no other process", func() {
		c := newCluster(1, 1)
		c.startFirst(1)
		c.awaitLeaders()
		done := false
		leaving := c.leader(0)
		leaving.engine.Do(func() { leaving.engine.Resign(func() { done = true }) })
		leaving.wake()
		Expect(c.until(2*time.Second, func() bool { return done })).To(BeTrue())
	})
})

// indexOf returns the position of a machine in its cluster.
func indexOf(c *cluster, m *machine) int {
	for i := range c.machines {
		if c.machines[i] == m {
			return i
		}
	}
	panic(fmt.Sprint("no such machine: ", m.name))
}

package replica

import (
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica/wal"
)

// decommissioning is a machine that is being decommissioned.
type decommissioning struct {
	*machine
	startedAt time.Duration
	endedAt   time.Duration // when it was told that it may end; 0 if it was not yet
	voted     bool          // it voted in some group at that time
}

// decommission starts the decommission of a machine. Its process is killed as soon as it may end, at the timeout at the
// latest.
func (m *machine) decommission(timeout time.Duration) *decommissioning {
	d := &decommissioning{machine: m, startedAt: m.cluster.now()}
	m.engine.Do(func() {
		m.engine.Decommission(timeout, func() {
			d.endedAt = m.cluster.now()
			d.voted = m.cluster.votesInAny(m.engine.self.ID)
			m.cluster.at(0, m.kill)
		})
	})
	m.wake()
	return d
}

// hasEnded reports whether the process was told that it may end, and has ended.
func (d *decommissioning) hasEnded() bool { return d.endedAt > 0 && !d.up }

// A decommissioned process never returns, and its disk is gone. If it ended while a committed entry was on too few other
// disks, the loss of one more disk could lose the entry.
var _ = Describe("Decommission", func() {
	const timeout = 4500 * time.Millisecond
	var c *cluster

	// startThree starts a cluster of three machines with the timing of control processes.
	startThree := func(seed uint64) {
		c = newCluster(seed, controlGroups)
		c.heartbeat, c.election = controlHeartbeat, controlElection
		c.startFirst(3)
		c.awaitVoters("core-1", "core-2", "core-3")
		c.proposeFor(2 * time.Second)
	}
	// others returns all machines except the given ones.
	others := func(except ...*machine) []*machine {
		var list []*machine
		for _, m := range c.machines {
			if !slices.Contains(except, m) {
				list = append(list, m)
			}
		}
		return list
	}

	It("takes less than 400 ms in a healthy cluster, after which one of the two other disks may be lost", func() {
		for seed := range uint64(20) {
			startThree(seed)
			leaving := c.machines[c.random.IntN(3)].decommission(timeout)
			c.proposeFor(400 * time.Millisecond)
			Expect(leaving.hasEnded()).To(BeTrue())
			Expect(leaving.endedAt - leaving.startedAt).To(BeNumerically("<", 400*time.Millisecond))
			for _, m := range c.machines {
				Expect(m.up).To(Equal(m != leaving.machine))
			}
			rest := others(leaving.machine)
			lost := rest[c.random.IntN(2)]
			remaining := rest[1-slices.Index(rest, lost)]
			lost.kill()
			c.expectOnDisk(remaining)
		}
	})

	It("waits for a follower that lacks entries which only the leaving process and the leader have", func() {
		for seed := range uint64(10) {
			startThree(seed)
			leader := c.leader(0)
			rest := others(leader)
			behind, leaving := rest[0], rest[1]
			behind.isolated = true
			c.commit(0, 20, 100)
			exit := leaving.decommission(timeout)
			c.proposeFor(2 * time.Second)
			Expect(exit.hasEnded()).To(BeFalse(), "two of three disks have all that is committed, and one of the two is leaving")
			behind.isolated = false
			Expect(c.until(2*time.Second, exit.hasEnded)).To(BeTrue())
			c.expectOnDisk(behind)
		}
	})

	// An entry may be committed with the leaving process's vote while the last approval is on its way. Without the second
	// phase, only the leader would have that entry when the process ends.
	It("ends only when all that was committed with its vote is on the other disks, although one of them is slow", func() {
		for seed := range uint64(30) {
			startThree(seed)
			leaving := c.machines[c.random.IntN(3)]
			slow := others(leaving)[c.random.IntN(2)]
			slow.diskDelay = 60 * time.Millisecond
			exit := leaving.decommission(timeout)
			for !exit.hasEnded() && c.now() < exit.startedAt+timeout {
				c.proposeFor(10 * time.Millisecond)
			}
			Expect(exit.endedAt-exit.startedAt).To(BeNumerically("<", timeout), "the decommission was approved")
			for _, m := range others(leaving) {
				c.expectOnDisk(m)
			}
		}
	})

	It("waits until its successor, which is still a learner, replaces it", func() {
		for seed := range uint64(10) {
			startThree(seed)
			c.commit(0, 30, 100)
			successor := c.add("core-4", "10.0.0.4:7380")
			successor.diskDelay = 250 * time.Millisecond
			successor.start(nil)
			c.proposeFor(150 * time.Millisecond)
			Expect(c.voters(0)).NotTo(ContainElement("core-4"))
			exit := c.machines[seed%3].decommission(timeout)
			Expect(c.until(timeout, exit.hasEnded)).To(BeTrue())
			Expect(exit.endedAt-exit.startedAt).To(BeNumerically("<", timeout), "the process ends before the timeout")
			for id := range GroupID(controlGroups) {
				Expect(c.voters(id)).To(HaveLen(3))
				Expect(c.voters(id)).To(ContainElement("core-4"))
			}
		}
	})

	It("waits until the voter is dropped if the number of voters is even", func() {
		for seed := range uint64(10) {
			startThree(seed)
			c.add("core-4", "10.0.0.4:7380").start(nil)
			c.awaitVoters("core-1", "core-2", "core-3", "core-4")
			exit := c.machines[seed%3].decommission(timeout)
			Expect(c.until(time.Second, exit.hasEnded)).To(BeTrue())
			for id := range GroupID(controlGroups) {
				Expect(c.voters(id)).To(HaveLen(3))
				Expect(c.voters(id)).NotTo(ContainElement(exit.name))
			}
			others(exit.machine)[c.random.IntN(3)].kill()
			c.commit(0, 2, 10)
			c.check()
		}
	})

	// The group can do without one of the two processes, but not without both. If both were approved, one disk would
	// remain.
	It("is approved for one of two processes at once, and for the other when the first is back", func() {
		for seed := range uint64(10) {
			startThree(seed)
			first, second := c.machines[seed%3].decommission(timeout), c.machines[(seed+1)%3].decommission(timeout)
			c.proposeFor(1500 * time.Millisecond)
			Expect(first.hasEnded()).NotTo(Equal(second.hasEnded()), "exactly one is approved")
			if second.hasEnded() {
				first, second = second, first
			}
			first.start(nil)
			Expect(c.until(2*time.Second, second.hasEnded)).To(BeTrue())
			second.start(nil)
			c.proposeFor(time.Second)
			c.converge()
		}
	})

	It("waits for the repair of a wiped machine while only the leader and the leaving process have everything", func() {
		for seed := range uint64(10) {
			startThree(seed)
			c.commit(0, 30, 100)
			leader := c.leader(0)
			rest := others(leader)
			rest[0].wipe()
			exit := rest[1].decommission(timeout)
			c.proposeFor(time.Second)
			Expect(exit.hasEnded()).To(BeFalse())
			rest[0].start(nil)
			Expect(c.until(2*time.Second, exit.hasEnded)).To(BeTrue())
			c.expectOnDisk(rest[0])
		}
	})

	// The leader's disk is lost and the third member was isolated, so only the leaving process has the newest entries. If
	// it did not campaign, no group would have a leader again.
	It("lets the process campaign if there is no leader, since it may be the only one with the newest entries", func() {
		for seed := range uint64(5) {
			startThree(seed)
			leader := c.leader(0)
			rest := others(leader)
			behind, leaving := rest[0], rest[1]
			behind.isolated = true
			c.commit(0, 20, 100)
			exit := leaving.decommission(timeout)
			c.run(20 * time.Millisecond)
			leader.wipe()
			c.run(300 * time.Millisecond)
			behind.isolated = false
			leader.start(nil)
			c.until(timeout+time.Second, exit.hasEnded)
			Expect(exit.endedAt-exit.startedAt).To(BeNumerically("<", timeout), "seed %d", seed)
		}
	})

	It("does not need the disk of the leaving process", func() {
		for _, delay := range []time.Duration{syncDelay, time.Hour} {
			for seed := range uint64(5) {
				startThree(seed)
				leaving := c.leader(0)
				leaving.failCalls(syscall.EIO, "sync", "write", "create")
				leaving.diskDelay = delay
				exit := leaving.decommission(timeout)
				c.proposeFor(timeout)
				Expect(exit.endedAt-exit.startedAt).To(BeNumerically("<", timeout), "the process ends before the timeout")
				Expect(exit.hasEnded()).To(BeTrue())
				for _, m := range others(leaving) {
					c.expectOnDisk(m)
				}
			}
		}
	})

	It("ignores approvals that arrived while the process was frozen, since another disk may have been lost since", func() {
		for seed := range uint64(10) {
			startThree(seed)
			leaving := c.machines[seed%3]
			exit := leaving.decommission(timeout)
			Expect(c.until(time.Second, func() bool { return leaving.engine.decommission.phase == quiesced })).To(BeTrue())
			leaving.frozen = true
			c.run(20 * time.Millisecond)
			wiped := others(leaving)[c.random.IntN(2)]
			wiped.wipe()
			wiped.start(nil)
			c.run(quiesceTimeout + 100*time.Millisecond)
			leaving.frozen = false
			leaving.wake()
			c.run(100 * time.Millisecond)
			Expect(exit.hasEnded()).To(BeFalse(), "only two disks have everything, and one of them is leaving")
			Expect(c.until(timeout, exit.hasEnded)).To(BeTrue())
			Expect(exit.endedAt-exit.startedAt).To(BeNumerically("<", timeout), "the process ends before the timeout")
			Expect(c.votesInAll(wiped.engine.self.ID)).To(BeTrue())
			c.expectOnDisk(wiped)
		}
	})

	It("ignores approvals for an earlier process on the same disk", func() {
		startThree(5)
		leaving := c.machines[0]
		leaving.decommission(timeout)
		Expect(c.until(time.Second, func() bool { return leaving.engine.decommission.phase == quiesced })).To(BeTrue())
		attempt := leaving.engine.decommission.attempt
		leaving.kill()
		leaving.start(nil)
		c.proposeFor(time.Second)
		for _, m := range c.machines[1:] {
			m.isolated = true
		}
		leaving.decommission(timeout)
		c.run(100 * time.Millisecond)
		for id := range GroupID(controlGroups) {
			for late := attempt - 2; late <= attempt+2; late++ {
				approval := &DecommissionApproval{Group: id, Attempt: late, Term: leaving.engine.Status(id).Term}
				leaving.engine.handleApproval(approval)
			}
		}
		Expect(leaving.engine.decommission.phase).NotTo(Equal(notDecommissioned))
		Expect(leaving.engine.decommission.approved).To(BeEmpty())
	})

	// Late envelopes of a process that has ended make it look alive. If a leader took it as alive, it would let the next
	// process leave, and only the leader's disk would remain.
	DescribeTable("does not count a voter that has ended, although its old envelopes arrive late:",
		func(end func(m *machine)) {
			for seed := range uint64(10) {
				startThree(seed)
				leader := c.leader(0)
				first, second := others(leader)[0], others(leader)[1]
				for id := range GroupID(controlGroups) { // make one machine lead all groups until the end
					leader.recorders[id].defers = true
					if c.leader(id) != leader {
						c.moveLeadership(id, leader)
					}
				}
				record, stop := c.recordOf(first)
				c.proposeFor(200 * time.Millisecond)
				stop()
				end(first)
				Expect(c.until(time.Second, func() bool { return !first.up })).To(BeTrue())
				c.run(avoidanceLifetime + 100*time.Millisecond)
				next := second.decommission(timeout)
				for range 100 {
					c.deliver(record()[c.random.IntN(len(record()))])
					c.run(20 * time.Millisecond)
					Expect(next.hasEnded()).To(BeFalse(), "only the leader's disk would remain")
				}
			}
		},
		Entry("a voter that was decommissioned", func(m *machine) { m.decommission(timeout) }),
		Entry("a voter that was killed", func(m *machine) { m.kill() }),
	)

	It("ends at its timeout if it is not approved, and the process votes until then", func() {
		startThree(3)
		rest := others(c.leader(0))
		rest[0].kill()
		exit := rest[1].decommission(timeout)
		c.proposeFor(timeout - 500*time.Millisecond)
		Expect(exit.hasEnded()).To(BeFalse())
		Expect(c.allLed()).To(BeTrue(), "with two of three voters every group still has a leader")
		c.commit(0, 1, 10)
		Expect(c.until(time.Second, exit.hasEnded)).To(BeTrue())
		c.check()
	})

	It("ignores approvals of an earlier attempt, of a leader of an earlier term, and of an unknown group", func() {
		startThree(4)
		leaving := c.machines[0]
		e := leaving.engine
		for _, m := range c.machines[1:] {
			m.isolated = true
		}
		exit := leaving.decommission(timeout)
		c.run(100 * time.Millisecond)
		attempt := e.decommission.attempt
		term := func(id GroupID) uint64 { return e.Status(id).Term }
		for id := range GroupID(controlGroups) {
			e.handleApproval(&DecommissionApproval{Group: id, Attempt: attempt - 1, Term: term(id)})
			e.handleApproval(&DecommissionApproval{Group: id, Attempt: attempt, Term: term(id) - 1})
		}
		Expect(e.decommission.approved).To(BeEmpty())
		e.handleApproval(&DecommissionApproval{Group: 99, Attempt: attempt, Term: 99})
		Expect(e.decommission.approved).To(BeEmpty())
		e.handleApproval(&DecommissionApproval{Group: 1, Attempt: attempt, Term: term(1)})
		Expect(e.decommission.approved).To(HaveLen(1))
		Expect(exit.hasEnded()).To(BeFalse())
	})
})

// moveLeadership transfers a group's leadership to a machine, and waits until it leads.
func (c *cluster) moveLeadership(id GroupID, to *machine) {
	GinkgoHelper()
	from := c.leader(id)
	from.engine.Do(func() { _ = from.engine.byID[id].node.TransferLeadership(from.engine.now, to.engine.self.ID) })
	from.wake()
	Expect(c.until(time.Second, func() bool { return c.leader(id) == to })).To(BeTrue())
}

// expectOnDisk expects that a machine's disk has every acknowledged line if the power fails now. The machine must not use
// the disk afterwards.
func (c *cluster) expectOnDisk(m *machine) {
	GinkgoHelper()
	left := m.files.Crash(c.random)
	_, groups, err := wal.Open(left, "data", wal.Options{SegmentBytes: maxSegmentBytes})
	Expect(err).NotTo(HaveOccurred())
	for id := range GroupID(c.groups) {
		lines := linesOf(groups[id])
		for _, line := range c.acked[id] {
			Expect(lines[line]).To(BeTrue(), "group %d: the disk of %s lacks %s", id, m.name, line)
		}
	}
}

// linesOf returns the lines in the snapshot and the log of a group.
func linesOf(stored *wal.Group) map[string]bool {
	lines := map[string]bool{}
	if stored == nil {
		return lines
	}
	restored := &recorder{}
	if stored.Snapshot != nil {
		Expect(restored.Restore(stored.Snapshot.Data)).To(Succeed())
	}
	for _, entry := range stored.Entries {
		if entry.Kind == consensus.EntryCommand {
			name, _, _ := strings.Cut(string(entry.Data), " ")
			restored.Lines = append(restored.Lines, name)
		}
	}
	for _, line := range restored.Lines {
		lines[line] = true
	}
	return lines
}

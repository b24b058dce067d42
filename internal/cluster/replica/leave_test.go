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

// departing is a machine that is on its way out.
type departing struct {
	*machine
	begun time.Duration
	ended time.Duration // when it was told that it may end; 0: not yet
	voted bool          // in some group then
}

// leave has a machine leave; its process ends as soon as it may, or when its patience is over.
func (m *machine) leave(patience time.Duration) *departing {
	d := &departing{machine: m, begun: m.cluster.now()}
	m.engine.Do(func() {
		m.engine.Decommission(patience, func() {
			d.ended = m.cluster.now()
			d.voted = m.cluster.voted(m.engine.self.ID)
			m.cluster.at(0, m.kill)
		})
	})
	m.wake()
	return d
}

func (d *departing) gone() bool { return d.ended > 0 && !d.up }

var _ = Describe("Leave", func() {
	const patience = 4500 * time.Millisecond
	var c *cluster

	three := func(seed uint64) {
		c = newCluster(seed, controlGroups)
		c.heartbeat, c.election = controlHeartbeat, controlElection
		c.startFirst(3)
		c.awaitVoters("core-1", "core-2", "core-3")
		c.work(2 * time.Second)
	}
	// others are the machines but some.
	others := func(but ...*machine) []*machine {
		var list []*machine
		for _, m := range c.machines {
			if !slices.Contains(but, m) {
				list = append(list, m)
			}
		}
		return list
	}

	It("takes a moment while all is well, and nothing is lost if the disk never comes back nor another's", func() {
		for seed := range uint64(20) {
			three(seed)
			leaving := c.machines[c.random.IntN(3)].leave(patience)
			c.work(400 * time.Millisecond)
			Expect(leaving.gone()).To(BeTrue())
			Expect(leaving.ended - leaving.begun).To(BeNumerically("<", 400*time.Millisecond))
			for _, m := range c.machines {
				Expect(m.up).To(Equal(m != leaving.machine))
			}
			rest := others(leaving.machine)
			lost := rest[c.random.IntN(2)]
			held := rest[1-slices.Index(rest, lost)]
			lost.kill()
			c.expectHeld(held)
		}
	})

	It("waits for a follower that lacks what only it and the leader hold", func() {
		for seed := range uint64(10) {
			three(seed)
			leader := c.leader(0)
			rest := others(leader)
			behind, leaving := rest[0], rest[1]
			behind.isolated = true
			c.commit(0, 20, 100)
			departure := leaving.leave(patience)
			c.work(2 * time.Second)
			Expect(departure.gone()).To(BeFalse(), "two of three disks hold what is committed, and it has one of them")
			behind.isolated = false
			Expect(c.until(2*time.Second, departure.gone)).To(BeTrue())
			c.expectHeld(behind)
		}
	})

	It("takes nothing for held that was committed with its help while the last word was on its way", func() {
		for seed := range uint64(30) {
			three(seed)
			leaving := c.machines[c.random.IntN(3)]
			slow := others(leaving)[c.random.IntN(2)]
			slow.diskDelay = 60 * time.Millisecond
			departure := leaving.leave(patience)
			for !departure.gone() && c.now() < departure.begun+patience {
				c.work(10 * time.Millisecond)
			}
			Expect(departure.ended-departure.begun).To(BeNumerically("<", patience), "it may go")
			for _, m := range others(leaving) {
				c.expectHeld(m)
			}
		}
	})

	It("waits until its successor, which is a learner still, has its place", func() {
		for seed := range uint64(10) {
			three(seed)
			c.commit(0, 30, 100)
			successor := c.add("core-4", "10.0.0.4:7380")
			successor.diskDelay = 250 * time.Millisecond
			successor.start(nil)
			c.work(150 * time.Millisecond)
			Expect(c.voters(0)).NotTo(ContainElement("core-4"))
			departure := c.machines[seed%3].leave(patience)
			Expect(c.until(patience, departure.gone)).To(BeTrue())
			Expect(departure.ended-departure.begun).To(BeNumerically("<", patience), "not for want of patience")
			for id := range GroupID(controlGroups) {
				Expect(c.voters(id)).To(HaveLen(3))
				Expect(c.voters(id)).To(ContainElement("core-4"))
			}
		}
	})

	It("waits for its place to be taken from it where one too many vote", func() {
		for seed := range uint64(10) {
			three(seed)
			c.add("core-4", "10.0.0.4:7380").start(nil)
			c.awaitVoters("core-1", "core-2", "core-3", "core-4")
			departure := c.machines[seed%3].leave(patience)
			Expect(c.until(time.Second, departure.gone)).To(BeTrue())
			for id := range GroupID(controlGroups) {
				Expect(c.voters(id)).To(HaveLen(3))
				Expect(c.voters(id)).NotTo(ContainElement(departure.name))
			}
			others(departure.machine)[c.random.IntN(3)].kill()
			c.commit(0, 2, 10)
			c.check()
		}
	})

	It("lets one of two go that leave at once, the other when that is back", func() {
		for seed := range uint64(10) {
			three(seed)
			first, second := c.machines[seed%3].leave(patience), c.machines[(seed+1)%3].leave(patience)
			c.work(1500 * time.Millisecond)
			Expect(first.gone()).NotTo(Equal(second.gone()), "one of them")
			if second.gone() {
				first, second = second, first
			}
			first.start(nil)
			Expect(c.until(2*time.Second, second.gone)).To(BeTrue())
			second.start(nil)
			c.work(time.Second)
			c.converge()
		}
	})

	It("waits for the repair of a machine that was wiped, of which only the leader and it hold everything", func() {
		for seed := range uint64(10) {
			three(seed)
			c.commit(0, 30, 100)
			leader := c.leader(0)
			rest := others(leader)
			rest[0].wipe()
			departure := rest[1].leave(patience)
			c.work(time.Second)
			Expect(departure.gone()).To(BeFalse())
			rest[0].start(nil)
			Expect(c.until(2*time.Second, departure.gone)).To(BeTrue())
			c.expectHeld(rest[0])
		}
	})

	It("stands where there is no leader, for it may be the only one with the newest entries", func() {
		for seed := range uint64(5) {
			three(seed)
			leader := c.leader(0)
			rest := others(leader)
			behind, leaving := rest[0], rest[1]
			behind.isolated = true
			c.commit(0, 20, 100)
			departure := leaving.leave(patience)
			c.run(20 * time.Millisecond)
			leader.wipe()
			c.run(300 * time.Millisecond)
			behind.isolated = false
			leader.start(nil)
			c.until(patience+time.Second, departure.gone)
			Expect(departure.ended-departure.begun).To(BeNumerically("<", patience), "seed %d", seed)
		}
	})

	It("does not need its own disk", func() {
		for _, delay := range []time.Duration{syncDelay, time.Hour} {
			for seed := range uint64(5) {
				three(seed)
				leaving := c.leader(0)
				leaving.failing(syscall.EIO, "sync", "write", "create")
				leaving.diskDelay = delay
				departure := leaving.leave(patience)
				c.work(patience)
				Expect(departure.ended-departure.begun).To(BeNumerically("<", patience), "not for want of patience")
				Expect(departure.gone()).To(BeTrue())
				for _, m := range others(leaving) {
					c.expectHeld(m)
				}
			}
		}
	})

	It("counts no word that waited for it while it was frozen, since another may have been lost meanwhile", func() {
		for seed := range uint64(10) {
			three(seed)
			leaving := c.machines[seed%3]
			departure := leaving.leave(patience)
			Expect(c.until(time.Second, func() bool { return leaving.engine.departure.quiet })).To(BeTrue())
			leaving.frozen = true
			c.run(20 * time.Millisecond)
			wiped := others(leaving)[c.random.IntN(2)]
			wiped.wipe()
			wiped.start(nil)
			c.run(quietPatience + 100*time.Millisecond)
			leaving.frozen = false
			leaving.wake()
			c.run(100 * time.Millisecond)
			Expect(departure.gone()).To(BeFalse(), "of two disks with everything it has one")
			Expect(c.until(patience, departure.gone)).To(BeTrue())
			Expect(departure.ended-departure.begun).To(BeNumerically("<", patience), "not for want of patience")
			Expect(c.votes(wiped.engine.self.ID)).To(BeTrue())
			c.expectHeld(wiped)
		}
	})

	It("counts no word to an earlier life of its process", func() {
		three(5)
		leaving := c.machines[0]
		leaving.leave(patience)
		Expect(c.until(time.Second, func() bool { return leaving.engine.departure.quiet })).To(BeTrue())
		attempt := leaving.engine.departure.attempt
		leaving.kill()
		leaving.start(nil)
		c.work(time.Second)
		for _, m := range c.machines[1:] {
			m.isolated = true
		}
		leaving.leave(patience)
		c.run(100 * time.Millisecond)
		for id := range GroupID(controlGroups) {
			for late := attempt - 2; late <= attempt+2; late++ {
				leaving.engine.takeRelease(&Release{Group: id, Attempt: late, Term: leaving.engine.Status(id).Term})
			}
		}
		Expect(leaving.engine.departure.begun).To(BeTrue())
		Expect(leaving.engine.departure.released).To(BeEmpty())
	})

	DescribeTable("does not count on one that is gone, whatever of that comes in late",
		func(end func(m *machine)) {
			for seed := range uint64(10) {
				three(seed)
				leader := c.leader(0)
				first, second := others(leader)[0], others(leader)[1]
				for id := range GroupID(controlGroups) { // one leads all of them, all the time
					leader.ledgers[id].keeps = true
					if c.leader(id) != leader {
						c.moveLeadership(id, leader)
					}
				}
				record, stop := c.recordOf(first)
				c.work(200 * time.Millisecond)
				stop()
				end(first)
				Expect(c.until(time.Second, func() bool { return !first.up })).To(BeTrue())
				c.run(reluctance + 100*time.Millisecond)
				next := second.leave(patience)
				for range 100 {
					c.deliver(record()[c.random.IntN(len(record()))])
					c.run(20 * time.Millisecond)
					Expect(next.gone()).To(BeFalse(), "only the leader would be left")
				}
			}
		},
		Entry("one that was let go", func(m *machine) { m.leave(patience) }),
		Entry("one that was killed", func(m *machine) { m.kill() }),
	)

	It("ends when its patience is over, and takes part till then", func() {
		three(3)
		rest := others(c.leader(0))
		rest[0].kill()
		departure := rest[1].leave(patience)
		c.work(patience - 500*time.Millisecond)
		Expect(departure.gone()).To(BeFalse())
		Expect(c.allLed()).To(BeTrue(), "two of three lead on")
		c.commit(0, 1, 10)
		Expect(c.until(time.Second, departure.gone)).To(BeTrue())
		c.check()
	})

	It("counts no word of an earlier attempt, nor of a leader of an earlier term", func() {
		three(4)
		leaving := c.machines[0]
		e := leaving.engine
		for _, m := range c.machines[1:] {
			m.isolated = true
		}
		departure := leaving.leave(patience)
		c.run(100 * time.Millisecond)
		attempt := e.departure.attempt
		term := func(id GroupID) uint64 { return e.Status(id).Term }
		for id := range GroupID(controlGroups) {
			e.takeRelease(&Release{Group: id, Attempt: attempt - 1, Term: term(id)})
			e.takeRelease(&Release{Group: id, Attempt: attempt, Term: term(id) - 1})
		}
		Expect(e.departure.released).To(BeEmpty())
		e.takeRelease(&Release{Group: 99, Attempt: attempt, Term: 99})
		Expect(e.departure.released).To(BeEmpty())
		e.takeRelease(&Release{Group: 1, Attempt: attempt, Term: term(1)})
		Expect(e.departure.released).To(HaveLen(1))
		Expect(departure.gone()).To(BeFalse())
	})
})

// moveLeadership has a group led by a machine.
func (c *cluster) moveLeadership(id GroupID, to *machine) {
	GinkgoHelper()
	from := c.leader(id)
	from.engine.Do(func() { _ = from.engine.byID[id].node.TransferLeadership(from.engine.now, to.engine.self.ID) })
	from.wake()
	Expect(c.until(time.Second, func() bool { return c.leader(id) == to })).To(BeTrue())
}

// expectHeld expects that a machine's disk alone has all that was acknowledged, if the power goes now. It is the end of
// the disk.
func (c *cluster) expectHeld(m *machine) {
	GinkgoHelper()
	left := m.files.Crash(c.random)
	_, groups, err := wal.Open(left, "data", wal.Options{SegmentBytes: maxSegmentBytes})
	Expect(err).NotTo(HaveOccurred())
	for id := range GroupID(c.groups) {
		held := linesOf(groups[id])
		for _, line := range c.acked[id] {
			Expect(held[line]).To(BeTrue(), "group %d: the disk of %s lacks %s", id, m.name, line)
		}
	}
}

// linesOf are the lines in a group's snapshot and log.
func linesOf(held *wal.Group) map[string]bool {
	lines := map[string]bool{}
	if held == nil {
		return lines
	}
	restored := &ledger{}
	if held.Snapshot != nil {
		Expect(restored.Restore(held.Snapshot.Data)).To(Succeed())
	}
	for _, entry := range held.Entries {
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

package replica

import (
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/store/vfs/vfstest"
)

// failCalls makes calls of the file system of these kinds fail. A write that fails has written seven bytes.
func (m *machine) failCalls(err error, kinds ...string) {
	m.files.SetOnCall(func(call vfstest.Call) vfstest.Fault {
		if slices.Contains(kinds, call.Op) {
			return vfstest.Fault{Err: err, Short: 7}
		}
		return vfstest.Fault{}
	})
}

// leads returns the number of groups that the machine leads.
func (m *machine) leads() int {
	led := 0
	for _, l := range m.recorders {
		if l.leading != 0 {
			led++
		}
	}
	return led
}

// diskBytes returns the length of all files together, and the number of segments.
func (m *machine) diskBytes() (bytes, segments int) {
	for name, content := range m.files.Files() {
		bytes += len(content)
		if strings.HasPrefix(filepath.Base(name), "log-") {
			segments++
		}
	}
	return bytes, segments
}

var _ = Describe("An unhealthy disk", func() {
	// A leader needs its disk for every entry. On an unhealthy disk it would block its groups, so others must lead until the
	// disk has recovered.
	DescribeTable("costs its machine all leaderships until it has recovered:",
		func(begin, end func(*machine)) {
			c := newCluster(11, 3)
			c.startFirst(3)
			for id := range GroupID(3) {
				c.commit(id, 5, 100)
			}
			unhealthy := c.leader(0)
			begin(unhealthy)
			c.propose(0, 10, nil)
			Expect(c.until(4*time.Second, func() bool {
				return unhealthy.leads() == 0 && c.allLed()
			})).To(BeTrue(), "others lead")
			for id := range GroupID(3) {
				c.commit(id, 5, 100)
			}
			c.run(20 * time.Second)
			Expect(unhealthy.leads()).To(BeZero(), "the machine leads no group while its disk is unhealthy")

			end(unhealthy)
			c.run(5 * time.Second)
			Expect(unhealthy.engine.writer.health.unhealthy).To(BeFalse())
			for _, m := range c.machines {
				if m != unhealthy {
					m.isolated = true
				}
			}
			c.run(3 * time.Second)
			for _, m := range c.machines {
				m.isolated = false
			}
			c.converge()
			for _, m := range c.machines {
				m.losePower()
			}
			for _, m := range c.machines {
				m.start(nil)
			}
			c.converge()
		},
		Entry("a disk that is full",
			func(m *machine) { m.failCalls(syscall.ENOSPC, "create", "write") },
			func(m *machine) { m.files.SetOnCall(nil) }),
		Entry("a disk whose syncs fail",
			func(m *machine) { m.failCalls(syscall.EIO, "sync") },
			func(m *machine) { m.files.SetOnCall(nil) }),
		Entry("a disk on which all changes fail",
			func(m *machine) { m.failCalls(syscall.EIO, "create", "write", "rename", "remove", "truncate") },
			func(m *machine) { m.files.SetOnCall(nil) }),
		Entry("a disk that is slow",
			func(m *machine) { m.diskDelay = 1500 * time.Millisecond },
			func(m *machine) { m.diskDelay = syncDelay }),
		Entry("a disk that hangs",
			func(m *machine) { m.diskDelay = time.Hour },
			func(m *machine) {
				m.diskDelay = syncDelay
				// The write that hangs ends within a second.
				for i := range m.cluster.events {
					m.cluster.events[i].at = min(m.cluster.events[i].at, m.cluster.now()+time.Second)
				}
			}),
	)

	// The disk fails after its machine was elected and before an entry of its term is committed. The machine has to give up a
	// leadership that is not ready yet.
	It("does not leave a group without a leader when it fails just after its machine was elected", func() {
		for _, delay := range []time.Duration{syncDelay, time.Hour} {
			c := newCluster(16, 1)
			c.startFirst(3)
			c.commit(0, 5, 100)
			c.run(2 * time.Second)
			c.leader(0).kill()
			var elected *machine
			Expect(c.until(5*time.Second, func() bool {
				for _, m := range c.machines {
					if m.up && m.engine.Status(0).IsLeader {
						elected = m
					}
				}
				return elected != nil
			})).To(BeTrue())
			Expect(elected.engine.Status(0).Ready).To(BeFalse())
			elected.failCalls(syscall.EIO, "create", "write", "sync")
			elected.diskDelay = delay
			for i := range c.events { // delays the writes in progress, too
				c.events[i].at += delay
			}
			c.run(100 * time.Millisecond)
			for _, m := range c.machines {
				if !m.up {
					m.start(nil)
				}
			}
			Expect(c.until(8*time.Second, func() bool {
				return c.allLed() && c.leader(0) != elected
			})).To(BeTrue(), "another leads")
			c.commit(0, 5, 100)
			c.check()
		}
	})

	It("does not keep its machine from leading if it is only slow and there is no other leader", func() {
		c := newCluster(12, 1)
		c.startFirst(3)
		c.commit(0, 5, 100)
		for _, m := range c.machines {
			m.diskDelay = 700 * time.Millisecond
		}
		c.propose(0, 10, nil)
		c.run(2 * time.Second)
		c.leader(0).kill()
		Expect(c.until(30*time.Second, c.allLed)).To(BeTrue())
		c.commit(0, 2, 10)
		c.check()
	})

	// With two disks at 270 ms, a candidate's own vote and the other one's take longer than the election timeout of 320 ms.
	// Elections that did not allow for that would never end.
	It("does not leave a group without a leader when all disks are slow and votes take longer than an election timeout", func() {
		for seed := range uint64(10) {
			c := newCluster(seed, 5)
			c.heartbeat, c.election = 75*time.Millisecond, 320*time.Millisecond
			c.startFirst(3)
			c.awaitLeaders()
			c.run(2 * time.Second)
			for _, m := range c.machines {
				m.diskDelay = 270 * time.Millisecond
			}
			c.proposeFor(2 * time.Second)
			c.machines[c.random.IntN(3)].kill()
			c.proposeFor(500 * time.Millisecond)
			Expect(c.until(6*time.Second, c.allLed)).To(BeTrue(), "every group has a leader again")
			terms := c.terms()
			c.proposeFor(10 * time.Second)
			Expect(c.until(2*time.Second, c.allLed)).To(BeTrue())
			for id, term := range c.terms() {
				Expect(term).To(BeNumerically("<=", terms[id]+1), "no group changes its leader more than once")
			}
		}
	})

	It("counts as lost if synced data is damaged, so that its machine joins as a new member", func() {
		c := newCluster(13, 2)
		c.startFirst(3)
		c.commit(0, 20, 100)
		c.converge()
		damaged := c.machines[2]
		old := damaged.engine.self.ID
		damaged.kill()
		all := damaged.files.Files()
		for name, content := range all {
			if strings.HasPrefix(filepath.Base(name), "log-") {
				content[len(content)/2] ^= 0x40
			}
		}
		damaged.files = vfstest.FromFiles(all)
		damaged.start(nil)
		Expect(damaged.engine.self.ID).NotTo(Equal(old))
		c.awaitVoters("core-1", "core-2", "core-3")
		c.converge()
		Expect(damaged.files.Files()).To(HaveKey("data/damaged/identity"))
	})

	It("makes Open fail if synced data is damaged and there is no other process to join", func() {
		c := newCluster(14, 1)
		c.startFirst(1)
		c.commit(0, 20, 100)
		only := c.machines[0]
		only.kill()
		all := only.files.Files()
		for name, content := range all {
			if strings.HasPrefix(filepath.Base(name), "log-") {
				content[len(content)/2] ^= 0x40
			}
		}
		only.files = vfstest.FromFiles(all)
		err := only.open(nil)
		Expect(err).To(MatchError(ContainSubstring("is damaged at offset")))
		Expect(err).To(MatchError(ContainSubstring(".segment")))
	})

	// An initial member's ID depends only on its address. If a member without its identity file took that ID again, it could
	// vote twice in a term.
	It("does not let an initial member keep its ID if its identity file is missing", func() {
		c := newCluster(15, 1)
		c.startFirst(3)
		c.commit(0, 5, 100)
		c.converge()
		initial := c.machines[0]
		old := initial.engine.self.ID
		initial.kill()
		all := initial.files.Files()
		delete(all, "data/identity")
		initial.files = vfstest.FromFiles(all)
		initial.start(c.seeds)
		Expect(initial.engine.self.ID).NotTo(Equal(old))
		c.awaitVoters("core-1", "core-2", "core-3")
		c.converge()
	})
})

var _ = Describe("Snapshots", func() {
	It("limit the log on disk to half of DiskBytes, and the log in memory", func() {
		c := newCluster(21, 2)
		c.disk = 8 << 20
		c.startFirst(3)
		for i := range 3000 {
			c.commit(GroupID(i%2), 1, 2000)
			if i%100 == 0 { // keep the state small
				c.forget(0)
				c.forget(1)
			}
		}
		c.run(2 * time.Second)
		for _, m := range c.machines {
			bytes, segments := m.diskBytes()
			Expect(bytes).To(BeNumerically("<", c.disk/2))
			Expect(segments).To(BeNumerically("<", maxSegments+2))
			for id := range GroupID(2) {
				status := m.engine.Status(id)
				Expect(status.LastIndex - status.FirstIndex).To(BeNumerically("<", 1000))
			}
		}
		c.converge()
		for _, m := range c.machines {
			m.losePower()
		}
		for _, m := range c.machines {
			m.start(nil)
			Expect(m.recorders[0].restored).To(Equal(1))
		}
		c.converge()
	})

	It("arrive at a new member and at one that was isolated for long, over links that lose messages", func() {
		c := newCluster(22, 2)
		c.disk = 8 << 20
		c.startFirst(3)
		c.commit(0, 5, 10)
		c.run(2 * time.Second)
		away := c.machines[1]
		away.isolated = true
		c.commit(0, 1500, 2000)
		c.run(2 * time.Second)
		Expect(c.leader(0).engine.Status(0).FirstIndex).To(BeNumerically(">", 100))
		c.loss = 0.1
		away.isolated = false
		fresh := c.add("core-4", "10.0.0.4:7380")
		fresh.start(nil)
		c.awaitVoters("core-1", "core-2", "core-3", "core-4")
		c.loss = 0
		c.converge()
		Expect(away.recorders[0].restored).To(BeNumerically(">=", 1))
		Expect(fresh.recorders[0].restored).To(BeNumerically(">=", 1))
		for _, m := range []*machine{away, fresh} {
			m.losePower()
			m.start(nil)
		}
		c.converge()
	})

	// The only entry of the idle group is in the oldest segment. Without a snapshot of that group, no segment could be removed.
	It("are made of an idle group whose entries prevent the removal of segments", func() {
		c := newCluster(23, 2)
		c.disk = 8 << 20
		c.startFirst(1)
		c.commit(1, 1, 10)
		c.commit(0, 2500, 2000)
		c.run(3 * time.Second)
		Expect(c.machines[0].engine.Status(1).FirstIndex).To(BeNumerically(">=", 1))
		_, segments := c.machines[0].diskBytes()
		Expect(segments).To(BeNumerically("<=", maxSegments+2))
		c.machines[0].losePower()
		c.machines[0].start(nil)
		c.converge()
	})

	It("are written again if that failed, and the log stays until then", func() {
		c := newCluster(24, 1)
		c.disk = 8 << 20
		c.startFirst(1)
		only := c.machines[0]
		only.failCalls(syscall.EIO, "rename")
		c.commit(0, 1200, 1000)
		Expect(only.engine.Status(0).FirstIndex).To(Equal(uint64(1)))
		only.files.SetOnCall(nil)
		c.run(10 * time.Second)
		Expect(only.engine.Status(0).FirstIndex).To(BeNumerically(">", 1))
		only.losePower()
		only.start(nil)
		c.converge()
	})
})

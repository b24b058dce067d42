package replica

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/store/vfs/vfstest"
)

// manyRoutes is a first configuration with that many routes.
func manyRoutes(routes int) configuration.Command {
	body := []byte(`{"version":1,"services":[{"name":"a"}],"routes":[`)
	for i := range routes {
		if i > 0 {
			body = append(body, ',')
		}
		body = fmt.Appendf(body, `{"name":"r-%05d","host":"h%d.example","pathPrefix":"/p%d/","kind":"non_idempotent",`+
			`"timeoutMs":3000,"targetLatencyMs":800,"priority":1,"service":"a","maxAttempts":3,"extension":4.0}`, i, i%7, i)
	}
	return configuration.Command{Kind: protocol.ConfigurationReplace, Body: append(body, `]}`...)}
}

// changeFor proposes changes of that many bytes at regular times, whether or not the one before was committed.
func (c *cluster) changeFor(span, distance time.Duration, bytes int) {
	end := c.now() + span
	for c.now() < end {
		if leader := c.leader(configurationGroup); leader != nil {
			leader.order(change(versionOf(leader), bytes), func(configuration.Result, error) {})
		}
		c.submitJob()
		c.run(distance)
	}
}

// has returns a condition: the machine runs and has a version.
func (m *machine) has(version uint64) func() bool {
	return func() bool { return m.up && versionOf(m) >= version }
}

// awayFor kills a machine and makes that many changes without it.
func (c *cluster) awayFor(m *machine, changes, bytes int) {
	GinkgoHelper()
	m.kill()
	c.changeMany(changes, bytes)
	leader := c.leader(configurationGroup)
	Expect(leader.engine.byID[configurationGroup].node.Status().LastIndex).To(BeNumerically(">", changes))
}

// leadsWithAll makes the machine the leader of the configuration, and expects it to have the newest version.
func (c *cluster) leadsWithAll(m *machine) {
	GinkgoHelper()
	newest := c.version()
	for range 40 {
		leader := c.leader(configurationGroup)
		if leader == m {
			break
		}
		leader.isolated = true
		c.until(3*time.Second, func() bool { l := c.leader(configurationGroup); return l != nil && l != leader })
		c.run(time.Second)
		leader.isolated = false
		c.run(300 * time.Millisecond)
	}
	Expect(c.leader(configurationGroup)).To(BeIdenticalTo(m), "it leads")
	Expect(versionOf(m)).To(BeNumerically(">=", newest))
	Expect(c.configure(change(c.version(), 10)).Version).To(Equal(newest + 1))
}

var _ = Describe("A member that was away", func() {
	DescribeTable("for most of a day has everything soon after its return, and leads with it",
		func(changes, bytes int) {
			c := newShippedCluster(41)
			c.startFirst(3)
			Expect(c.configure(manyRoutes(100)).Version).To(Equal(uint64(1)))
			c.changeMany(changes/20, bytes)
			away := c.follower()
			c.awayFor(away, changes*9/10, bytes)
			away.start(nil)
			newest, began := c.version(), c.now()
			Expect(c.until(5*time.Second, away.has(newest))).To(BeTrue(), "it catches up")
			GinkgoWriter.Println("caught up after", c.now()-began)
			c.changeMany(changes/20, bytes)
			c.agree()
			c.leadsWithAll(away)
			c.agree()
		},
		Entry("of 700 changes", 700, 300),
		Entry("of 700 large changes", 700, 10<<10),
		Entry("of 3,000 changes", 3000, 800),
	)

	DescribeTable("takes a snapshot over a slow link in the time that its bytes need",
		func(bytesASecond float64) {
			c := newShippedCluster(42)
			c.startFirst(3)
			Expect(c.configure(manyRoutes(3000)).Version).To(Equal(uint64(1)))
			c.agree()
			away := c.follower()
			c.awayFor(away, 100, 24<<10)
			away.bandwidth = bytesASecond
			away.start(nil)
			newest, began := c.version(), c.now()
			size := c.leader(configurationGroup).engine.byID[configurationGroup].snapshots.size
			Expect(size).To(BeNumerically(">", 2*snapshotChunkBytes))
			minimum := time.Duration(float64(size) / away.bandwidth * float64(time.Second))
			Expect(c.until(2*minimum+2*time.Second, away.has(newest))).To(BeTrue(), "it catches up")
			GinkgoWriter.Println("caught up after", c.now()-began, "of", minimum)
			c.agree()
		},
		Entry("on which a chunk takes a few ms", float64(100<<20)),
		Entry("on which a chunk takes an election timeout", float64(800<<10)),
		Entry("on which a chunk takes as long as an unresponsive member is sent chunks", float64(200<<10)),
		Entry("on which a chunk takes longer than that", float64(60<<10)),
		Entry("on which a chunk takes much longer than that", float64(20<<10)),
	)

	It("catches up although the log is compacted repeatedly while the snapshot is on its way", func() {
		c := newShippedCluster(43)
		c.disk = 16 << 20 // the log of a group has at most a sixteenth
		c.startFirst(3)
		Expect(c.configure(manyRoutes(6000)).Version).To(Equal(uint64(1)))
		c.agree()
		away := c.follower()
		c.awayFor(away, 300, 8<<10)
		away.bandwidth = 150 << 10
		away.start(nil)
		group := c.leader(configurationGroup).engine.byID[configurationGroup]
		before := group.snapshots.index
		// 100 KB of changes a second: two thirds of what the link carries. The log is compacted every 10 s, a snapshot takes 7 s.
		c.changeFor(40*time.Second, 240*time.Millisecond, 24<<10)
		Expect(group.snapshots.index).To(BeNumerically(">", before+100), "the log was compacted meanwhile")
		Expect(away.recorders[configurationGroup].restored).To(Equal(1), "snapshots that it took")
		Expect(away.has(c.version()-50)()).To(BeTrue(), "it has %d of %d", versionOf(away), c.version())
		c.agree()
	})

	It("does not keep the log from being compacted if nothing can be sent to it", func() {
		c := newShippedCluster(44)
		c.disk = 16 << 20
		c.startFirst(3)
		Expect(c.configure(manyRoutes(3000)).Version).To(Equal(uint64(1)))
		c.agree()
		away := c.follower()
		away.bandwidth = 20 << 10
		c.changeFor(60*time.Second, 120*time.Millisecond, 24<<10)
		for _, m := range c.machines {
			retained := m.engine.byID[configurationGroup].node.RetainedBytes()
			GinkgoWriter.Println(m.name, "retains", retained)
			Expect(retained).To(BeNumerically("<", maxRetainedBytes+3<<20))
		}
		away.bandwidth = 0
		c.agree()
	})
})

var _ = Describe("A snapshot on its way", func() {
	// begin restarts a machine that needs a snapshot of about 600 KB, and waits until so many chunks have arrived.
	begin := func(seed uint64, chunks, routes int) (c *cluster, away *machine) {
		c = newShippedCluster(seed)
		c.startFirst(3)
		Expect(c.configure(manyRoutes(routes)).Version).To(Equal(uint64(1)))
		c.agree()
		away = c.follower()
		c.awayFor(away, 100, 24<<10)
		away.bandwidth = 4 << 20
		arrived := 0
		c.drop = func(_, to *machine, envelope *Envelope) bool {
			for i := range envelope.Messages {
				if to == away && envelope.Messages[i].Snapshot != nil && envelope.Messages[i].Group == configurationGroup {
					arrived++
				}
			}
			return false
		}
		away.start(nil)
		Expect(c.until(10*time.Second, func() bool { return arrived >= chunks })).To(BeTrue())
		Expect(versionOf(away)).To(BeZero(), "it does not have all of it yet")
		return c, away
	}
	// end expects the member to have all, and to lead with it.
	end := func(c *cluster, away *machine) {
		GinkgoHelper()
		Expect(c.until(10*time.Second, away.has(c.version()))).To(BeTrue(), "it catches up")
		c.agree()
		c.leadsWithAll(away)
		c.agree()
	}

	It("whose sender is killed", func() {
		c, away := begin(51, 2, 3000)
		sender := c.leader(configurationGroup)
		sender.kill()
		c.run(3 * time.Second)
		sender.start(nil)
		end(c, away)
	})

	It("whose sender loses its leadership", func() {
		c, away := begin(52, 2, 3000)
		sender := c.leader(configurationGroup)
		sender.isolated = true
		c.run(2 * time.Second)
		sender.isolated = false
		end(c, away)
	})

	It("whose sender compacts its log", func() {
		c, away := begin(53, 2, 3000)
		c.changeMany(200, 24<<10)
		end(c, away)
	})

	It("whose receiver is partitioned until the sender starts a newer one", func() {
		c, away := begin(58, 2, 3000)
		away.isolated = true
		c.changeMany(100, 24<<10)
		c.run(4 * time.Second)
		away.isolated = false
		end(c, away)
	})

	It("whose receiver starts again", func() {
		c, away := begin(54, 2, 3000)
		for range 3 {
			away.losePower()
			c.run(200 * time.Millisecond)
			away.start(nil)
			c.run(300 * time.Millisecond)
		}
		end(c, away)
	})

	It("whose receiver's disk is full", func() {
		c, away := begin(55, 2, 3000)
		away.failing(syscall.ENOSPC, "create", "write")
		c.run(5 * time.Second)
		Expect(away.engine.byID[configurationGroup].node.Status().IsLeader).To(BeFalse())
		c.changeMany(20, 8<<10)
		away.files.SetOnCall(nil)
		end(c, away)
	})

	It("whose receiver's disk stalls", func() {
		c, away := begin(56, 2, 3000)
		away.diskDelay = 6 * time.Second
		c.run(3 * time.Second)
		c.changeMany(20, 8<<10)
		away.diskDelay = syncDelay
		c.run(6 * time.Second)
		end(c, away)
	})

	It("is complete or absent, wherever the power fails while it is written", func() {
		for calls := 1; ; calls++ {
			c, away := begin(57, 1, 300)
			writer := away.engine.writer
			Expect(c.until(10*time.Second, func() bool { return writer.inflight != nil && len(writer.inflight.installs) > 0 })).To(BeTrue())
			work := writer.inflight
			identity := away.engine.self.ID
			away.kill()
			stop := away.files.Calls() + calls
			away.files.SetOnCall(func(call vfstest.Call) vfstest.Fault { return vfstest.Fault{PowerOff: call.N >= stop} })
			_, err := writer.write(work)
			finished := away.files.Calls() < stop
			Expect(err == nil || !finished).To(BeTrue(), "after %d calls", calls)
			away.files = away.files.Crash(c.random)
			away.start(nil)
			Expect(away.engine.self.ID).To(Equal(identity), "after %d calls: its disk is sound", calls)
			Expect(c.until(10*time.Second, away.has(c.version()))).To(BeTrue(), "after %d calls: it catches up", calls)
			c.agree()
			if finished {
				Expect(calls).To(BeNumerically(">", 8), "calls that a snapshot takes")
				return
			}
		}
	})
})

var _ = Describe("A member's own snapshot", func() {
	// powerFailures is more calls than the disk gets from the snapshot's first byte to the removal of the log before it.
	const powerFailures = 24

	It("loses nothing of the state, wherever the power fails between its first byte and the compaction of the log", func() {
		c := newShippedCluster(61)
		c.startFirst(3)
		Expect(c.configure(manyRoutes(100)).Version).To(Equal(uint64(1)))
		c.agree()
		m := c.follower()
		identity := m.engine.self.ID
		written := 0
		for calls := 1; calls <= powerFailures; calls++ {
			for !m.engine.writingSnapshot {
				c.changeMany(1, 24<<10)
			}
			before, stop := m.engine.byID[configurationGroup].snapshots.index, m.files.Calls()+calls
			m.files.SetOnCall(func(call vfstest.Call) vfstest.Fault { return vfstest.Fault{PowerOff: call.N >= stop} })
			c.run(150 * time.Millisecond)
			if m.engine.byID[configurationGroup].snapshots.index > before {
				written++
			}
			m.kill()
			m.files = m.files.Crash(c.random)
			m.start(nil)
			Expect(m.engine.self.ID).To(Equal(identity), "after %d calls: its disk is sound", calls)
			c.agree()
		}
		Expect(written).To(BeNumerically(">", 2), "some snapshots were complete")
		Expect(written).To(BeNumerically("<", powerFailures-2), "and some were not")
		c.leadsWithAll(m)
	})

	It("does not compact the log if it could not be written", func() {
		c := newShippedCluster(62)
		c.startFirst(3)
		Expect(c.configure(manyRoutes(100)).Version).To(Equal(uint64(1)))
		c.agree()
		m := c.follower()
		identity, refused := m.engine.self.ID, 0
		m.files.SetOnCall(func(call vfstest.Call) vfstest.Fault {
			if call.Op == "create" && strings.Contains(call.Name, "snapshot-") {
				refused++
				return vfstest.Fault{Err: syscall.ENOSPC}
			}
			return vfstest.Fault{}
		})
		c.changeMany(200, 24<<10)
		c.run(2 * snapshotRetryInterval)
		Expect(refused).To(BeNumerically(">", 1))
		m.losePower()
		m.start(nil)
		Expect(m.engine.self.ID).To(Equal(identity), "its disk is sound")
		c.agree()
	})
})

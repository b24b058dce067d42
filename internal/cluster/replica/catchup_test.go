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

// manyRoutes returns a command for version 1 of the configuration, with a number of routes.
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

// proposeChangesFor proposes a change of the configuration of about so many bytes, and a job, in each interval. It does not
// wait until a change is committed.
func (c *cluster) proposeChangesFor(span, interval time.Duration, bytes int) {
	end := c.now() + span
	for c.now() < end {
		if leader := c.leader(configurationGroup); leader != nil {
			leader.proposeChange(change(versionOf(leader), bytes), func(configuration.Result, error) {})
		}
		c.submitJob()
		c.run(interval)
	}
}

// has returns a condition that holds while the machine runs and has applied a version of the configuration.
func (m *machine) has(version uint64) func() bool {
	return func() bool { return m.up && versionOf(m) >= version }
}

// killThenChange kills a machine, and makes changes of the configuration while it is down.
func (c *cluster) killThenChange(m *machine, changes, bytes int) {
	GinkgoHelper()
	m.kill()
	c.changeMany(changes, bytes)
	leader := c.leader(configurationGroup)
	Expect(leader.engine.byID[configurationGroup].node.Status().LastIndex).To(BeNumerically(">", changes))
}

// expectToLead makes a machine the leader of the configuration by isolating other leaders. It expects that the machine has
// the newest version, and commits the next one.
func (c *cluster) expectToLead(m *machine) {
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
	Expect(c.leader(configurationGroup)).To(BeIdenticalTo(m), "the machine leads")
	Expect(versionOf(m)).To(BeNumerically(">=", newest))
	Expect(c.configure(change(c.version(), 10)).Version).To(Equal(newest + 1))
}

// A member that was down for long gets the missing entries or, if the log was compacted, a snapshot. It must soon have the
// same state as the other members, and must be able to lead with this state.
var _ = Describe("A member that was down", func() {
	DescribeTable("has everything within 5 s after its return, and can lead",
		func(changes, bytes int) {
			c := newRealStateCluster(41)
			c.startFirst(3)
			Expect(c.configure(manyRoutes(100)).Version).To(Equal(uint64(1)))
			c.changeMany(changes/20, bytes)
			away := c.follower()
			c.killThenChange(away, changes*9/10, bytes)
			away.start(nil)
			newest, began := c.version(), c.now()
			Expect(c.until(5*time.Second, away.has(newest))).To(BeTrue(), "the member catches up")
			GinkgoWriter.Println("caught up after", c.now()-began)
			c.changeMany(changes/20, bytes)
			c.expectEqualStates()
			c.expectToLead(away)
			c.expectEqualStates()
		},
		Entry("when it missed 90% of 700 changes", 700, 300),
		Entry("when it missed 90% of 700 large changes", 700, 10<<10),
		Entry("when it missed 90% of 3,000 changes", 3000, 800),
	)

	// The snapshot has several chunks. On a slow link the response to a chunk comes late, and the leader may take the member
	// for unresponsive and start again. Then the member would never get the complete snapshot.
	DescribeTable("gets a snapshot over a slow link in about twice the time that its bytes need, at a bandwidth",
		func(bytesPerSecond float64) {
			c := newRealStateCluster(42)
			c.startFirst(3)
			Expect(c.configure(manyRoutes(3000)).Version).To(Equal(uint64(1)))
			c.expectEqualStates()
			away := c.follower()
			c.killThenChange(away, 100, 24<<10)
			away.bandwidth = bytesPerSecond
			away.start(nil)
			newest, began := c.version(), c.now()
			size := c.leader(configurationGroup).engine.byID[configurationGroup].snapshots.size
			Expect(size).To(BeNumerically(">", 2*snapshotChunkBytes))
			minimum := time.Duration(float64(size) / away.bandwidth * float64(time.Second))
			Expect(c.until(2*minimum+2*time.Second, away.has(newest))).To(BeTrue(), "the member catches up")
			GinkgoWriter.Println("caught up after", c.now()-began, "; at that bandwidth the bytes need", minimum)
			c.expectEqualStates()
		},
		Entry("at which a chunk takes a few ms", float64(100<<20)),
		Entry("at which a chunk takes an election timeout", float64(800<<10)),
		Entry("at which a chunk takes as long as chunks are sent to an unresponsive member", float64(200<<10)),
		Entry("at which a chunk takes longer than that", float64(60<<10)),
		Entry("at which a chunk takes much longer than that", float64(20<<10)),
	)

	// If a compaction dropped the entries after the snapshot while that is being sent, the member would need another snapshot
	// each time, and would never catch up.
	It("catches up although the log is compacted repeatedly while the snapshot is being sent", func() {
		c := newRealStateCluster(43)
		c.disk = 16 << 20 // a group's log has at most a sixteenth of this
		c.startFirst(3)
		Expect(c.configure(manyRoutes(6000)).Version).To(Equal(uint64(1)))
		c.expectEqualStates()
		away := c.follower()
		c.killThenChange(away, 300, 8<<10)
		away.bandwidth = 150 << 10
		away.start(nil)
		group := c.leader(configurationGroup).engine.byID[configurationGroup]
		before := group.snapshots.index
		// The changes have 100 KB per second, which is two thirds of the bandwidth. The log is compacted every 10 s, and a
		// snapshot takes 7 s.
		c.proposeChangesFor(40*time.Second, 240*time.Millisecond, 24<<10)
		Expect(group.snapshots.index).To(BeNumerically(">", before+100), "the log was compacted while the snapshot was being sent")
		Expect(away.recorders[configurationGroup].restored).To(Equal(1), "the number of snapshots that the member has installed")
		Expect(away.has(c.version()-50)()).To(BeTrue(), "the member has version %d of %d", versionOf(away), c.version())
		c.expectEqualStates()
	})

	// The leader keeps entries in memory for a member that is being sent some. For a member on a very slow link that must be
	// bounded by maxRetainedBytes.
	It("does not keep the log in memory from being compacted while its link is too slow to follow", func() {
		c := newRealStateCluster(44)
		c.disk = 16 << 20
		c.startFirst(3)
		Expect(c.configure(manyRoutes(3000)).Version).To(Equal(uint64(1)))
		c.expectEqualStates()
		away := c.follower()
		away.bandwidth = 20 << 10
		c.proposeChangesFor(60*time.Second, 120*time.Millisecond, 24<<10)
		for _, m := range c.machines {
			retained := m.engine.byID[configurationGroup].node.RetainedBytes()
			GinkgoWriter.Println(m.name, "retains", retained)
			Expect(retained).To(BeNumerically("<", maxRetainedBytes+3<<20))
		}
		away.bandwidth = 0
		c.expectEqualStates()
	})
})

// Each spec disturbs the transfer of a snapshot that has several chunks. In the end the member must have the complete state
// and must be able to lead.
var _ = Describe("A snapshot that is being sent", func() {
	// begin starts a machine that was down and needs a snapshot of about 600 KB (for 3000 routes), and waits until a number of
	// chunks have arrived.
	begin := func(seed uint64, chunks, routes int) (c *cluster, away *machine) {
		c = newRealStateCluster(seed)
		c.startFirst(3)
		Expect(c.configure(manyRoutes(routes)).Version).To(Equal(uint64(1)))
		c.expectEqualStates()
		away = c.follower()
		c.killThenChange(away, 100, 24<<10)
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
		Expect(versionOf(away)).To(BeZero(), "the member does not have the complete snapshot yet")
		return c, away
	}
	// end expects that the member catches up and can lead.
	end := func(c *cluster, away *machine) {
		GinkgoHelper()
		Expect(c.until(10*time.Second, away.has(c.version()))).To(BeTrue(), "the member catches up")
		c.expectEqualStates()
		c.expectToLead(away)
		c.expectEqualStates()
	}

	It("arrives although its sender is killed", func() {
		c, away := begin(51, 2, 3000)
		sender := c.leader(configurationGroup)
		sender.kill()
		c.run(3 * time.Second)
		sender.start(nil)
		end(c, away)
	})

	It("arrives although its sender loses its leadership", func() {
		c, away := begin(52, 2, 3000)
		sender := c.leader(configurationGroup)
		sender.isolated = true
		c.run(2 * time.Second)
		sender.isolated = false
		end(c, away)
	})

	It("arrives although its sender compacts its log", func() {
		c, away := begin(53, 2, 3000)
		c.changeMany(200, 24<<10)
		end(c, away)
	})

	It("is followed by a newer one that arrives, if its receiver is partitioned until the sender has compacted its log", func() {
		c, away := begin(58, 2, 3000)
		away.isolated = true
		c.changeMany(100, 24<<10)
		c.run(4 * time.Second)
		away.isolated = false
		end(c, away)
	})

	It("arrives although its receiver loses power three times", func() {
		c, away := begin(54, 2, 3000)
		for range 3 {
			away.losePower()
			c.run(200 * time.Millisecond)
			away.start(nil)
			c.run(300 * time.Millisecond)
		}
		end(c, away)
	})

	It("arrives after its receiver's disk was full", func() {
		c, away := begin(55, 2, 3000)
		away.failCalls(syscall.ENOSPC, "create", "write")
		c.run(5 * time.Second)
		Expect(away.engine.byID[configurationGroup].node.Status().IsLeader).To(BeFalse())
		c.changeMany(20, 8<<10)
		away.files.SetOnCall(nil)
		end(c, away)
	})

	It("arrives after its receiver's disk has stalled", func() {
		c, away := begin(56, 2, 3000)
		away.diskDelay = 6 * time.Second
		c.run(3 * time.Second)
		c.changeMany(20, 8<<10)
		away.diskDelay = syncDelay
		c.run(6 * time.Second)
		end(c, away)
	})

	// In each round the power fails one call of the file system later, until the write completes before the power fails.
	It("is on disk completely or not at all, wherever the power fails while it is written", func() {
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
			Expect(away.engine.self.ID).To(Equal(identity), "after %d calls: the disk is not damaged", calls)
			Expect(c.until(10*time.Second, away.has(c.version()))).To(BeTrue(), "after %d calls: the member catches up", calls)
			c.expectEqualStates()
			if finished {
				Expect(calls).To(BeNumerically(">", 8), "the number of calls that writing a snapshot takes")
				return
			}
		}
	})
})

var _ = Describe("A member's own snapshot", func() {
	// powerFailures is more than the number of calls of the file system from the snapshot's first byte to the removal of the
	// segments that it covers.
	const powerFailures = 24

	It("leaves the state complete, wherever the power fails between its first byte and the removal of the log that it covers", func() {
		c := newRealStateCluster(61)
		c.startFirst(3)
		Expect(c.configure(manyRoutes(100)).Version).To(Equal(uint64(1)))
		c.expectEqualStates()
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
			Expect(m.engine.self.ID).To(Equal(identity), "after %d calls: the disk is not damaged", calls)
			c.expectEqualStates()
		}
		Expect(written).To(BeNumerically(">", 2), "some snapshots were complete when the power failed")
		Expect(written).To(BeNumerically("<", powerFailures-2), "some snapshots were not")
		c.expectToLead(m)
	})

	It("does not replace the log if it could not be written", func() {
		c := newRealStateCluster(62)
		c.startFirst(3)
		Expect(c.configure(manyRoutes(100)).Version).To(Equal(uint64(1)))
		c.expectEqualStates()
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
		Expect(m.engine.self.ID).To(Equal(identity), "the disk is not damaged")
		c.expectEqualStates()
	})
})

package replica

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fault disturbs a machine, or all, and returns a function that ends the disturbance.
type fault func(c *cluster, m *machine) (end func())

var faults = []fault{
	func(c *cluster, m *machine) func() {
		m.kill()
		return func() { m.start(nil) }
	},
	func(c *cluster, m *machine) func() {
		m.losePower()
		return func() { m.start(nil) }
	},
	func(c *cluster, m *machine) func() {
		m.wipe()
		return func() { m.start(nil) }
	},
	func(c *cluster, m *machine) func() {
		m.frozen = true
		return func() { m.frozen = false; m.wake() }
	},
	func(c *cluster, m *machine) func() {
		m.isolated = true
		return func() { m.isolated = false }
	},
	func(c *cluster, m *machine) func() {
		m.diskDelay = time.Duration(c.random.IntN(2000)) * time.Millisecond
		return func() { m.diskDelay = syncDelay }
	},
	func(c *cluster, m *machine) func() {
		m.failCalls([]error{syscall.EIO, syscall.ENOSPC}[c.random.IntN(2)], []string{"sync", "write", "create"}[c.random.IntN(3)])
		return func() { m.files.SetOnCall(nil) }
	},
	func(c *cluster, m *machine) func() {
		c.loss = 0.2
		return func() { c.loss = 0 }
	},
	func(c *cluster, m *machine) func() {
		m.engine.Do(func() { m.engine.Resign(func() {}) })
		m.wake()
		return func() { m.kill(); m.start(nil) }
	},
	func(c *cluster, m *machine) func() {
		exit := m.decommission(time.Duration(c.random.IntN(4000)) * time.Millisecond)
		return func() {
			c.until(5*time.Second, exit.hasEnded)
			m.start(nil)
		}
	},
	loseOneDiskAndAllPower,
	func(c *cluster, m *machine) func() { // all processes end at once; no disk is lost
		for _, other := range c.machines {
			if c.random.IntN(2) == 0 {
				other.kill()
			} else {
				other.losePower()
			}
		}
		return func() {
			for _, other := range c.machines {
				other.start(nil)
			}
		}
	},
}

// loseOneDiskAndAllPower loses one disk while all other machines lose power. A control plane that tolerates the loss of one
// machine must survive this fault. It need not survive a worse fault.
func loseOneDiskAndAllPower(c *cluster, m *machine) func() {
	for _, other := range c.machines {
		if other == m {
			other.wipe()
		} else {
			other.losePower()
		}
	}
	return func() {
		for _, other := range c.machines {
			other.start(nil)
		}
	}
}

// runFaults runs a cluster with six successive faults, while lines are being proposed. After each fault the cluster has
// four seconds to recover.
func runFaults(seed uint64) *cluster {
	GinkgoHelper()
	c := newCluster(seed, 2)
	c.disk = 1 << 20
	c.startFirst(3 + int(seed%3))
	c.awaitLeaders()
	c.run(2 * time.Second)
	for range 6 {
		m := c.machines[c.random.IntN(len(c.machines))]
		end := faults[c.random.IntN(len(faults))](c, m)
		c.proposeFor(time.Duration(c.random.IntN(6000)) * time.Millisecond)
		end()
		c.proposeFor(4 * time.Second)
		c.check()
	}
	return c
}

// proposeFor lets the cluster run while it proposes a line every 30 ms on average.
func (c *cluster) proposeFor(span time.Duration) {
	for end := c.now() + span; c.now() < end; {
		c.propose(GroupID(c.random.IntN(c.groups)), c.random.IntN(1500), nil)
		c.run(time.Duration(c.random.IntN(60)) * time.Millisecond)
	}
}

// seedsFrom returns the seeds to run: only the seed in REPLICA_SEED if that is set. Otherwise it returns the seeds from 0,
// as many as REPLICA_SEEDS states, or count if that is not set.
func seedsFrom(count uint64) []uint64 {
	if text := os.Getenv("REPLICA_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		return []uint64{seed}
	}
	if text := os.Getenv("REPLICA_SEEDS"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		count = parsed
	}
	var seeds []uint64
	for seed := range count {
		seeds = append(seeds, seed)
	}
	return seeds
}

var _ = Describe("A sequence of random faults", func() {
	It("costs no acknowledged command, and afterwards all machines vote and have the same log", func() {
		for _, seed := range seedsFrom(10) {
			_, _ = fmt.Fprintln(GinkgoWriter, "to repeat this run set REPLICA_SEED =", seed)
			c := runFaults(seed)
			c.converge()
			for id := range GroupID(c.groups) {
				c.commit(id, 2, 10)
			}
			Expect(c.until(30*time.Second, func() bool {
				return c.allLed() && len(c.voters(0)) == len(c.machines) && c.current(0)
			})).To(BeTrue(), "all machines vote again")
		}
	})
})

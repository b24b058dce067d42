package replica

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// permutations returns all permutations of the numbers below n.
func permutations(n int) [][]int {
	if n == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for _, shorter := range permutations(n - 1) {
		for at := 0; at <= len(shorter); at++ {
			all = append(all, slices.Insert(slices.Clone(shorter), at, n-1))
		}
	}
	return all
}

// One machine's disk is wiped, one machine is decommissioned, one is partitioned for two seconds, and a new one joins, in
// any order. Each of these events can change the membership, so they can interfere with each other. No acknowledged command
// may be lost, and in the end all machines must vote, except a machine that was replaced.
var _ = Describe("Three machines and a new one", func() {
	for _, gap := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond} {
		It(fmt.Sprintf("lose nothing and all vote after a wipe, a decommission, a partition and a join, in any order, %v apart", gap), func() {
			for number, order := range permutations(4) {
				c := controlCluster(uint64(number), 3)
				wiped, leaving, partitioned := c.machines[number%3], c.machines[(number+1)%3], c.machines[(number+2)%3]
				wiped.diskDelay, leaving.diskDelay = 9*time.Millisecond, 12*time.Millisecond
				var exit *decommissioning
				events := []func(){
					func() {
						wiped.wipe()
						c.at(100*time.Millisecond, func() { wiped.start(nil) })
					},
					func() { exit = leaving.decommission(controlDecommissionTimeout) },
					func() {
						partitioned.isolated = true
						c.at(2*time.Second, func() { partitioned.isolated = false })
					},
					func() { c.add("core-4", "10.0.0.4:7380").start(nil) },
				}
				for _, next := range order {
					events[next]()
					c.proposeFor(gap)
				}
				for !exit.hasEnded() {
					c.proposeFor(50 * time.Millisecond)
				}
				approved := exit.endedAt-exit.startedAt < controlDecommissionTimeout
				if !approved || exit.voted {
					leaving.start(nil) // the machine was not replaced, so its process starts again
				} else {
					c.machines = slices.DeleteFunc(c.machines, func(m *machine) bool { return m == leaving })
				}
				Expect(c.until(15*time.Second, c.votersAre(c.names()...))).To(BeTrue(), "order %v", order)
				c.converge()
			}
		})
	}
})

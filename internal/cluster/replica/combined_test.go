package replica

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// permutations returns all orders of the numbers below n.
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

var _ = Describe("Three machines and a new one", func() {
	for _, gap := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond} {
		It(fmt.Sprintf("lose nothing and end complete when one is wiped, one decommissioned, one partitioned and one joins, in any order, %v apart", gap), func() {
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
				spared := exit.endedAt-exit.startedAt < controlDecommissionTimeout
				if !spared || exit.voted {
					leaving.start(nil) // nobody replaced it: it was only restarted
				} else {
					c.machines = slices.DeleteFunc(c.machines, func(m *machine) bool { return m == leaving })
				}
				Expect(c.until(15*time.Second, c.votersAre(c.names()...))).To(BeTrue(), "order %v", order)
				c.converge()
			}
		})
	}
})

package consensus

import (
	"fmt"
	"os"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// exploreVariable, if it is set, adds explorations that take minutes.
const exploreVariable = "CONSENSUS_EXPLORE"

// exploreWhole visits all states within bounds and checks that none is broken, and that there were no more than a limit.
func exploreWhole(limits bounds, states int) {
	limits.states = states
	broken, visited := explore(limits)
	ginkgo.AddReportEntry("states", visited)
	if broken != nil {
		ginkgo.Fail(fmt.Sprintf("%s after %v", broken.broken, broken.path))
	}
	Expect(visited).To(BeNumerically("<", limits.states), "the exploration is not complete")
}

var _ = ginkgo.DescribeTable("three members, every order of steps",
	func(limits bounds) { exploreWhole(limits, 200_000) },
	ginkgo.Entry("two terms", bounds{terms: 2}),
	ginkgo.Entry("two terms, two proposals", bounds{terms: 2, proposals: 2}),
	ginkgo.Entry("three terms", bounds{terms: 3}),
	ginkgo.Entry("two terms, a restart that loses what was not synced", bounds{terms: 2, crashes: 1, late: true}),
	ginkgo.Entry("two terms, a lost disk", bounds{terms: 2, losses: 1, recovery: true}),
	ginkgo.Entry("two terms, a lost disk, a restart", bounds{terms: 2, losses: 1, crashes: 1}),
)

// A cut needs no bound of its own: a message may come at any later moment, or never.
var _ = ginkgo.DescribeTable("three members and a successor, every order of steps",
	func(limits bounds) {
		limits.terms, limits.successor = 2, true
		exploreWhole(limits, 200_000)
	},
	ginkgo.Entry("it replaces a follower", bounds{replaces: 3, recovery: true}),
	ginkgo.Entry("it replaces the leader", bounds{replaces: 1, recovery: true}),
	ginkgo.Entry("it replaces a lost disk, and another is lost once the change is done", bounds{losses: 2, recovery: true}),
)

// The whole of these takes minutes; see exploreMore.
var _ = ginkgo.DescribeTable("three members and a successor, every order of the first steps",
	func(limits bounds) {
		limits.terms, limits.successor, limits.states = 2, true, 25_000
		broken, _ := explore(limits)
		if broken != nil {
			ginkgo.Fail(fmt.Sprintf("%s after %v", broken.broken, broken.path))
		}
	},
	ginkgo.Entry("it replaces a follower, a disk is lost", bounds{replaces: 3, losses: 1, recovery: true}),
	ginkgo.Entry("it replaces the leader, a disk is lost", bounds{replaces: 1, losses: 1, recovery: true}),
)

// exploreMore are explorations that take minutes.
func exploreMore() {
	ginkgo.DescribeTable("three members and a successor, every order of steps and more troubles",
		func(limits bounds) {
			limits.successor = true
			limits.terms = max(limits.terms, 2)
			exploreWhole(limits, 4_000_000)
		},
		ginkgo.Entry("it replaces a follower, a disk is lost", bounds{replaces: 3, losses: 1, recovery: true}),
		ginkgo.Entry("it replaces the leader, a disk is lost", bounds{replaces: 1, losses: 1, recovery: true}),
		ginkgo.Entry("it replaces a follower, another is removed", bounds{replaces: 3, removals: 1}),
		ginkgo.Entry("it replaces a follower, one leaves", bounds{replaces: 3, transfers: 1}),
		ginkgo.Entry("it replaces the leader, which leaves", bounds{replaces: 1, transfers: 1}),
		ginkgo.Entry("it replaces a follower, a restart", bounds{replaces: 3, crashes: 1, recovery: true}),
		ginkgo.Entry("it replaces the leader, a restart", bounds{replaces: 1, crashes: 1, recovery: true}),
		ginkgo.Entry("it replaces a follower, syncs are late", bounds{replaces: 3, late: true}),
		ginkgo.Entry("it replaces a lost disk, one leaves, another is lost", bounds{losses: 2, transfers: 1, recovery: true}),
		ginkgo.Entry("it replaces a follower, three terms", bounds{terms: 3, replaces: 3}),
	)
}

var _ = func() bool {
	if os.Getenv(exploreVariable) != "" {
		exploreMore()
	}
	return true
}()

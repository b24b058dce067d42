package consensus

import (
	"fmt"
	"os"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// exploreVariable is the environment variable that adds explorations which take minutes.
const exploreVariable = "CONSENSUS_EXPLORE"

// exploreAll visits all states within bounds, of which there must be fewer than a limit, and fails if one violates an
// invariant.
func exploreAll(limits bounds, maxStates int) {
	limits.maxStates = maxStates
	violating, visited := explore(limits)
	ginkgo.AddReportEntry("states", visited)
	if violating != nil {
		ginkgo.Fail(fmt.Sprintf("%s after %v", violating.violation, violating.path))
	}
	Expect(visited).To(BeNumerically("<", limits.maxStates), "the exploration is not complete")
}

var _ = ginkgo.DescribeTable("three members, every order of steps",
	func(limits bounds) { exploreAll(limits, 200_000) },
	ginkgo.Entry("two terms", bounds{terms: 2}),
	ginkgo.Entry("two terms, two proposals", bounds{terms: 2, proposals: 2}),
	ginkgo.Entry("three terms", bounds{terms: 3}),
	ginkgo.Entry("two terms, a restart that loses what was not synced", bounds{terms: 2, crashes: 1, syncs: syncLater}),
	ginkgo.Entry("two terms, a lost disk", bounds{terms: 2, diskLosses: 1, checkRecovery: true}),
	ginkgo.Entry("two terms, a lost disk, a restart", bounds{terms: 2, diskLosses: 1, crashes: 1}),
)

// A partition needs no bound of its own: a message may arrive at any later moment, or never.
var _ = ginkgo.DescribeTable("three members and a successor, every order of steps",
	func(limits bounds) {
		limits.terms, limits.successor = 2, true
		exploreAll(limits, 200_000)
	},
	ginkgo.Entry("it replaces a follower", bounds{replaces: 3, checkRecovery: true}),
	ginkgo.Entry("it replaces the leader", bounds{replaces: 1, checkRecovery: true}),
	ginkgo.Entry("it replaces a lost disk, and another is lost once the change is done", bounds{diskLosses: 2, checkRecovery: true}),
)

// The complete explorations of these take minutes: see describeLongExplorations.
var _ = ginkgo.DescribeTable("three members and a successor, every order of the first steps",
	func(limits bounds) {
		limits.terms, limits.successor, limits.maxStates = 2, true, 25_000
		violating, _ := explore(limits)
		if violating != nil {
			ginkgo.Fail(fmt.Sprintf("%s after %v", violating.violation, violating.path))
		}
	},
	ginkgo.Entry("it replaces a follower, a disk is lost", bounds{replaces: 3, diskLosses: 1, checkRecovery: true}),
	ginkgo.Entry("it replaces the leader, a disk is lost", bounds{replaces: 1, diskLosses: 1, checkRecovery: true}),
)

// describeLongExplorations adds the explorations that take minutes.
func describeLongExplorations() {
	ginkgo.DescribeTable("three members and a successor, every order of steps with more faults",
		func(limits bounds) {
			limits.successor = true
			limits.terms = max(limits.terms, 2)
			exploreAll(limits, 4_000_000)
		},
		ginkgo.Entry("it replaces a follower, a disk is lost", bounds{replaces: 3, diskLosses: 1, checkRecovery: true}),
		ginkgo.Entry("it replaces the leader, a disk is lost", bounds{replaces: 1, diskLosses: 1, checkRecovery: true}),
		ginkgo.Entry("it replaces a follower, another is removed", bounds{replaces: 3, removals: 1}),
		ginkgo.Entry("it replaces a follower, a transfer of leadership", bounds{replaces: 3, transfers: 1}),
		ginkgo.Entry("it replaces the leader, a transfer of leadership", bounds{replaces: 1, transfers: 1}),
		ginkgo.Entry("it replaces a follower, a restart", bounds{replaces: 3, crashes: 1, checkRecovery: true}),
		ginkgo.Entry("it replaces the leader, a restart", bounds{replaces: 1, crashes: 1, checkRecovery: true}),
		ginkgo.Entry("it replaces a follower, syncs at any later moment", bounds{replaces: 3, syncs: syncLater}),
		ginkgo.Entry("it replaces a lost disk, a transfer of leadership, another disk is lost", bounds{diskLosses: 2, transfers: 1, checkRecovery: true}),
		ginkgo.Entry("it replaces a follower, three terms", bounds{terms: 3, replaces: 3}),
	)
}

var _ = func() bool {
	if os.Getenv(exploreVariable) != "" {
		describeLongExplorations()
	}
	return true
}()

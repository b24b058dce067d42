package consensus

import (
	"fmt"
	"os"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// exploreVariable is the environment variable that, if it is not empty, adds the explorations that take minutes.
const exploreVariable = "CONSENSUS_EXPLORE"

// exploreAll visits all states within bounds and fails if a state violates an invariant. It also fails if it reaches
// maxStates: some states may then be unvisited.
func exploreAll(limits bounds, maxStates int) {
	limits.maxStates = maxStates
	violating, visited := explore(limits)
	ginkgo.AddReportEntry("states", visited)
	if violating != nil {
		ginkgo.Fail(fmt.Sprintf("%s after %v", violating.violation, violating.path))
	}
	Expect(visited).To(BeNumerically("<", limits.maxStates), "the exploration is not complete")
}

// These explorations guard against faults that random worlds miss because they need one exact order of few steps. They take
// the steps of a small group in every order: elections, proposals, deliveries, restarts, lost disks, membership changes and
// leadership transfers. In each state they check that a term has one leader, that a new leader has all committed entries, and
// that members apply the same entries. With checkRecovery they also check that the group can still elect a leader.
var _ = ginkgo.DescribeTable("three members violate no invariant in any order of steps",
	func(limits bounds) { exploreAll(limits, 200_000) },
	ginkgo.Entry("with two terms", bounds{terms: 2}),
	ginkgo.Entry("with two terms and two proposals", bounds{terms: 2, proposals: 2}),
	ginkgo.Entry("with three terms", bounds{terms: 3}),
	ginkgo.Entry("with two terms and a restart that loses unsynced writes", bounds{terms: 2, crashes: 1, syncs: syncLater}),
	ginkgo.Entry("with two terms and a lost disk", bounds{terms: 2, diskLosses: 1, checkRecovery: true}),
	ginkgo.Entry("with two terms, a lost disk and a restart", bounds{terms: 2, diskLosses: 1, crashes: 1}),
)

// Here a learner, the successor, replaces a voter by a joint change. These explorations guard against a change that lets two
// quorums decide without a member in common, or that leaves no member that can be elected.
//
// Partitions need no steps: a message may arrive at any later moment, or never.
var _ = ginkgo.DescribeTable("three members and a successor violate no invariant in any order of steps",
	func(limits bounds) {
		limits.terms, limits.successor = 2, true
		exploreAll(limits, 200_000)
	},
	ginkgo.Entry("if it replaces a follower", bounds{replaces: 3, checkRecovery: true}),
	ginkgo.Entry("if it replaces the leader", bounds{replaces: 1, checkRecovery: true}),
	ginkgo.Entry("if it replaces a voter whose disk is lost, and another disk is lost after the change", bounds{diskLosses: 2, checkRecovery: true}),
)

// The complete explorations of these bounds take minutes (describeLongExplorations), so this table stops after 25,000 states.
var _ = ginkgo.DescribeTable("three members and a successor violate no invariant in any order of the first steps",
	func(limits bounds) {
		limits.terms, limits.successor, limits.maxStates = 2, true, 25_000
		violating, _ := explore(limits)
		if violating != nil {
			ginkgo.Fail(fmt.Sprintf("%s after %v", violating.violation, violating.path))
		}
	},
	ginkgo.Entry("if it replaces a follower and a disk is lost", bounds{replaces: 3, diskLosses: 1, checkRecovery: true}),
	ginkgo.Entry("if it replaces the leader and a disk is lost", bounds{replaces: 1, diskLosses: 1, checkRecovery: true}),
)

// describeLongExplorations adds the explorations that take minutes.
func describeLongExplorations() {
	ginkgo.DescribeTable("three members and a successor violate no invariant in any order of steps with more faults",
		func(limits bounds) {
			limits.successor = true
			limits.terms = max(limits.terms, 2)
			exploreAll(limits, 4_000_000)
		},
		ginkgo.Entry("if it replaces a follower and a disk is lost", bounds{replaces: 3, diskLosses: 1, checkRecovery: true}),
		ginkgo.Entry("if it replaces the leader and a disk is lost", bounds{replaces: 1, diskLosses: 1, checkRecovery: true}),
		ginkgo.Entry("if it replaces a follower and member 2 is removed", bounds{replaces: 3, removals: 1}),
		ginkgo.Entry("if it replaces a follower and leadership is transferred", bounds{replaces: 3, transfers: 1}),
		ginkgo.Entry("if it replaces the leader and leadership is transferred", bounds{replaces: 1, transfers: 1}),
		ginkgo.Entry("if it replaces a follower and a member restarts", bounds{replaces: 3, crashes: 1, checkRecovery: true}),
		ginkgo.Entry("if it replaces the leader and a member restarts", bounds{replaces: 1, crashes: 1, checkRecovery: true}),
		ginkgo.Entry("if it replaces a follower and disks sync at any later moment", bounds{replaces: 3, syncs: syncLater}),
		ginkgo.Entry("if it replaces a voter whose disk is lost, leadership is transferred and another disk is lost", bounds{diskLosses: 2, transfers: 1, checkRecovery: true}),
		ginkgo.Entry("if it replaces a follower within three terms", bounds{terms: 3, replaces: 3}),
	)
}

var _ = func() bool {
	if os.Getenv(exploreVariable) != "" {
		describeLongExplorations()
	}
	return true
}()

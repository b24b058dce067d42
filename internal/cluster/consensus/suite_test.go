package consensus

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestConsensus runs all specs of the package. There are four kinds:
//
//   - Scripted groups (group_test.go) test one situation each: a few members share one clock, and the test drops or delays
//     messages. The specs are in the test file of the code that they test.
//   - Simulated worlds (world_test.go, machine_test.go) run complete groups in virtual time, with disks, a network and random
//     faults (nemesis_test.go). invariants_test.go checks Raft's invariants during the run. chaos_test.go runs many seeds, and
//     linearizable_test.go checks the history of clients.
//   - Explorations (explore_test.go and explore_*_test.go) visit every state of a small group within bounds, with steps in any
//     order. exhaustive_test.go lists the bounds.
//   - fixtures_test.go checks that this version reads data that an earlier version wrote, and still writes all of its fields.
func TestConsensus(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "one replica group's log")
}

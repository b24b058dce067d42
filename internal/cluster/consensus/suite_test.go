package consensus

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestConsensus runs all specifications. They are of four kinds:
//
//   - Scripted groups (group_test.go) show one situation each: a few members on one clock, and messages that the test drops
//     or delays. They are beside the file that they test.
//   - Simulated worlds (world_test.go, machine_test.go) run complete groups in virtual time, with disks, a network, and random
//     faults (nemesis_test.go), while Raft's invariants are checked (invariants_test.go). chaos_test.go plays many seeds, and
//     linearizable_test.go checks the history of clients.
//   - Explorations (explore_test.go and the files beside it) visit every state of a small group within bounds, for any order
//     of steps. exhaustive_test.go lists the bounds.
//   - fixtures_test.go holds what is encoded to what earlier versions wrote.
func TestConsensus(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "one replica group's log")
}

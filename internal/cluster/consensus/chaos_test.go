package consensus

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The environment variables that set the number of seeds for each table entry, and the first seed.
const (
	seedsVariable     = "CONSENSUS_SEEDS"
	firstSeedVariable = "CONSENSUS_FIRST_SEED"
)

// fromEnvironment returns the number in an environment variable, or fallback if there is none.
func fromEnvironment(name string, fallback uint64) uint64 {
	if value, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return value
	}
	return fallback
}

// runSeeds calls run for count seeds, on all processors, and returns the first five failures at most. The environment can
// set another range of seeds. With the race detector there are fewer.
func runSeeds(count uint64, run func(seed uint64) error) []error {
	first := fromEnvironment(firstSeedVariable, 1)
	count = fromEnvironment(seedsVariable, count/slowdown)
	var next atomic.Uint64
	var mu sync.Mutex // guards failures
	var failures []error
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for {
				seed := next.Add(1) - 1
				if seed >= count {
					return
				}
				if err := run(first + seed); err != nil {
					mu.Lock()
					failures = append(failures, fmt.Errorf("seed %d: %w", first+seed, err))
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return failures[:min(len(failures), 5)]
}

// This table guards against faults of the protocol that need a rare coincidence: crashes that lose or tear writes, frozen
// processes, lost disks, partitions, messages that are lost, duplicated or late, leadership transfers and membership
// changes. The seed determines their order. invariantChecker checks Raft's safety properties during the run. Afterwards all
// faults end, and the group must lead again and have every acknowledged entry.
var _ = ginkgo.DescribeTable("a group under random faults violates no invariant, and recovers",
	func(voters, spares int, seeds uint64) {
		failures := runSeeds(seeds, func(seed uint64) error {
			w := newWorld(seed, voters, spares)
			return newNemesis(w, voters, 2*time.Second).healAndVerify()
		})
		Expect(failures).To(BeEmpty())
	},
	ginkgo.Entry("with one voter and a spare machine, which becomes a learner", 1, 1, uint64(200)),
	ginkgo.Entry("with three voters", 3, 0, uint64(1200)),
	ginkgo.Entry("with three voters and a spare machine", 3, 1, uint64(1000)),
	ginkgo.Entry("with five voters", 5, 0, uint64(500)),
)

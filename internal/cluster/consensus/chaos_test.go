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

// seedsVariable sets how many seeds are played; firstSeedVariable where they begin.
const (
	seedsVariable     = "CONSENSUS_SEEDS"
	firstSeedVariable = "CONSENSUS_FIRST_SEED"
)

// fromEnvironment reads a number that a longer hunt sets.
func fromEnvironment(name string, otherwise uint64) uint64 {
	if value, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return value
	}
	return otherwise
}

// playSeeds plays a range of seeds on all processors and gives the first few failures.
func playSeeds(count uint64, play func(seed uint64) error) []error {
	first := fromEnvironment(firstSeedVariable, 1)
	count = fromEnvironment(seedsVariable, count/slowdown)
	var next atomic.Uint64
	var guard sync.Mutex
	var failures []error
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for {
				seed := next.Add(1) - 1
				if seed >= count {
					return
				}
				if err := play(first + seed); err != nil {
					guard.Lock()
					failures = append(failures, fmt.Errorf("seed %d: %w", first+seed, err))
					guard.Unlock()
				}
			}
		})
	}
	group.Wait()
	return failures[:min(len(failures), 5)]
}

var _ = ginkgo.DescribeTable("a group in trouble stays one group, and recovers",
	func(voters, spares int, seeds uint64) {
		failures := playSeeds(seeds, func(seed uint64) error {
			w := newWorld(seed, voters, spares)
			return newNemesis(w, voters, 2*time.Second).settle()
		})
		Expect(failures).To(BeEmpty())
	},
	ginkgo.Entry("one first member, which grows to one with learners", 1, 1, uint64(200)),
	ginkgo.Entry("three voters", 3, 0, uint64(1200)),
	ginkgo.Entry("three voters and a spare machine", 3, 1, uint64(1000)),
	ginkgo.Entry("five voters", 5, 0, uint64(500)),
)

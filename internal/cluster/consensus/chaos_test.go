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

// The environment variables that set how many seeds are played, and the first of them.
const (
	seedsVariable     = "CONSENSUS_SEEDS"
	firstSeedVariable = "CONSENSUS_FIRST_SEED"
)

// fromEnvironment returns the number in an environment variable, by which a longer run is set up, else the fallback.
func fromEnvironment(name string, fallback uint64) uint64 {
	if value, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return value
	}
	return fallback
}

// playSeeds plays a range of seeds on all processors and returns the first few failures.
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

var _ = ginkgo.DescribeTable("a group into which faults are injected violates no invariant, and recovers",
	func(voters, spares int, seeds uint64) {
		failures := playSeeds(seeds, func(seed uint64) error {
			w := newWorld(seed, voters, spares)
			return newNemesis(w, voters, 2*time.Second).healAndVerify()
		})
		Expect(failures).To(BeEmpty())
	},
	ginkgo.Entry("one voter and a spare machine, which becomes a learner", 1, 1, uint64(200)),
	ginkgo.Entry("three voters", 3, 0, uint64(1200)),
	ginkgo.Entry("three voters and a spare machine", 3, 1, uint64(1000)),
	ginkgo.Entry("five voters", 5, 0, uint64(500)),
)

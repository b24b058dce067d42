package cluster

import (
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/simulation"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

// environment returns a number from the environment, or a default.
func environment(name string, standard uint64) uint64 {
	value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return standard
	}
	return value
}

// play plays seeds from first on, or the one that SIMULATION_SEED names, and fails with all reports that are wrong.
func play(first, count uint64, options Options) {
	GinkgoHelper()
	if seed := environment("SIMULATION_SEED", 0); seed != 0 {
		first, count = seed, 1
	}
	began := time.Now()
	failed := 0
	for seed := first; seed < first+count; seed++ {
		report := Run(seed, options)
		if report.Failed() {
			failed++
			GinkgoWriter.Println(report)
		}
	}
	GinkgoWriter.Printf("%d days in %v\n", count, time.Since(began))
	Expect(failed).To(BeZero(), "days on which a rule is broken")
}

var _ = Describe("The real cores of a whole cluster", func() {
	It("break no rule on quiet days", func() {
		play(1, 4, Options{Quiet: true})
	})

	It("break no rule on days of all kinds", func() {
		play(1000, environment("SIMULATION_SEEDS", 200), Options{})
	})

	for _, kind := range simulation.TroubleKinds() {
		It("break no rule under "+kind.Name, func() {
			play(5000, environment("SIMULATION_SEEDS", 200)/50, Options{Troubles: []string{kind.Name, kind.Name}, Closing: "none"})
		})
	}

	for _, closing := range []string{"power_off_all", "kill_all", "wipe_after_ack"} {
		It("come back from "+closing, func() {
			play(6000, environment("SIMULATION_SEEDS", 200)/50, Options{Closing: closing})
		})
	}
})

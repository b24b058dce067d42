package cluster

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// gcPercent is the garbage collector's target during the tests. Scenarios allocate much and retain little; with this value
// instead of the default of 100 they take half the time.
const gcPercent = 400

// suite is the test of the whole Ginkgo suite. The specs pass it to synctest.Test, which needs a testing.T.
var suite *testing.T

func TestCluster(t *testing.T) {
	suite = t
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

// environmentNumber returns the number in an environment variable, or defaultValue if that is not set or no number.
func environmentNumber(name string, defaultValue uint64) uint64 {
	value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return defaultValue
	}
	return value
}

// seeds is the number of scenarios that the spec with all kinds of faults plays. Most other specs play a fraction of it.
var seeds = environmentNumber("SIMULATION_SEEDS", 60)

// maxParallel is the number of scenarios that are played in parallel.
var maxParallel = max(4, runtime.GOMAXPROCS(0))

// playSeeds plays the scenarios of count seeds, starting with first. If SIMULATION_SEED is set, it plays only the scenario
// of that seed. The spec fails if any of the outcomes has failed.
func playSeeds(first, count uint64, options Options) {
	GinkgoHelper()
	if seed := environmentNumber("SIMULATION_SEED", 0); seed != 0 {
		first, count = seed, 1
	}
	unplayed := make(chan uint64, count)
	for seed := first; seed < first+count; seed++ {
		unplayed <- seed
	}
	close(unplayed)
	var mutex sync.Mutex
	var failures []string
	var group sync.WaitGroup
	for range maxParallel {
		group.Go(func() {
			for seed := range unplayed {
				if outcome := play(seed, options); outcome.Failed() {
					mutex.Lock()
					failures = append(failures, outcome.String())
					explain(outcome)
					mutex.Unlock()
				}
			}
		})
	}
	group.Wait()
	Expect(failures).To(BeEmpty())
}

// play plays one scenario in a new synctest bubble.
func play(seed uint64, options Options) (outcome *Outcome) {
	synctest.Test(suite, func(*testing.T) { outcome = Run(seed, options) })
	return outcome
}

// explain prints the history's records of the job with the ID in SIMULATION_JOB. It prints no output if that is not set.
func explain(outcome *Outcome) {
	if id := os.Getenv("SIMULATION_JOB"); id != "" {
		GinkgoWriter.Println(outcome.History.Explain(id))
	}
}

var _ = Describe("The shipped processes of a complete cluster", func() {
	It("break no rule without faults", func() {
		playSeeds(1, 1+seeds/100, Options{Quiet: true})
	})

	It("break no rule under all kinds of faults", func() {
		playSeeds(1000, seeds, Options{})
	})

	for _, kind := range simulation.FaultKinds() {
		It("break no rule under the fault "+kind.Name, func() {
			playSeeds(5000, 1+seeds/100, Options{Faults: []string{kind.Name, kind.Name}, FinalFault: WithoutFinalFault})
		})
	}

	It("serve urgent jobs of a service with several times the load it can carry, after all its runners but one crashed permanently", func() {
		size := simulation.SmallSize()
		size.Services[0].Capacity = protocol.Resources{CPU: 3000, MemoryMB: 32768}
		size.Services[0].Sizes = []float64{1}
		playSeeds(12000, 1+seeds/100, Options{Faults: []string{simulation.LoneRunner}, FinalFault: WithoutFinalFault,
			Size: &size, Length: 100 * time.Second})
	})

	DescribeTable("break no rule under a CPU quota on every machine",
		func(invocation bool, kinds ...string) {
			playSeeds(13000, 1+seeds/50, Options{Invocation: invocation, Faults: append(kinds, simulation.CPUQuota), FinalFault: WithoutFinalFault})
		},
		Entry("without other faults", false),
		Entry("without other faults, where runners are invoked", true),
		Entry("while owners are lost", false, "core_kill", "core_kill"),
		Entry("while agents are partitioned, so that relays are used", false, "servers_cut", "node_cut"),
		Entry("while runners leave", false, "scale_in", "leave_undrained"),
		Entry("while the configuration changes", false, "config_change", "config_move"),
	)

	// Guards against a submission that is accepted after the cancel of its job was answered with 410.
	DescribeTable("accept no job after its cancel was answered with 410",
		func(final simulation.FinalFault, kinds ...string) {
			kinds = append(kinds, simulation.WithdrawnSubmissions, simulation.WithdrawnSubmissions)
			playSeeds(14000, 2+seeds/50, Options{Faults: kinds, Overlapping: true, FinalFault: final})
		},
		Entry("while clients withdraw submissions", WithoutFinalFault),
		Entry("while owners are lost", WithoutFinalFault, "core_kill", "core_freeze"),
		Entry("while all control processes are killed at once", WithoutFinalFault, "core_herd_power", "core_kill"),
		Entry("while queues move", WithoutFinalFault, "config_move", "config_move", "core_freeze"),
		Entry("while queues move and a frontend's configuration is stale", WithoutFinalFault, "front_lags", "config_move", "config_move"),
		Entry("while messages are lost", WithoutFinalFault, "reset_conns", "node_cut", "give_up"),
		Entry("while control processes are partitioned and replaced", WithoutFinalFault, "core_cut", "replace_core"),
		Entry("before all machines lose power", simulation.PowerOffAll),
	)

	for _, fault := range simulation.FinalFaults() {
		It("recover from the final fault "+string(fault), func() {
			playSeeds(6000, 1+seeds/100, Options{FinalFault: fault})
		})
	}

	It("break no rule without faults where runners are invoked", func() {
		playSeeds(1, 1+seeds/100, Options{Quiet: true, Invocation: true})
	})

	It("break no rule under all kinds of faults where runners are invoked", func() {
		playSeeds(8000, 1+seeds/10, Options{Invocation: true})
	})

	DescribeTable("break no rule under overlapping faults where runners are invoked",
		func(kinds ...string) {
			playSeeds(8500, 1+seeds/100, Options{Invocation: true, Faults: kinds, Overlapping: true, FinalFault: WithoutFinalFault})
		},
		Entry("runners restart as new incarnations", "srv_back_late", "srv_back_late", "srv_late"),
		Entry("an owner is lost while agents are frozen", "core_kill", "node_freeze", "node_kill"),
		Entry("connections are reset during a burst of load", "reset_conns", "burst", "reset_conns"),
		Entry("agents are killed while runners crash", "herd_kill", "srv_crash", "srv_back_late"),
	)

	DescribeTable("break no rule under overlapping faults",
		func(kinds ...string) {
			playSeeds(7000, 1+seeds/50, Options{Faults: kinds, Overlapping: true, FinalFault: WithoutFinalFault})
		},
		Entry("an owner is lost while its runners cannot reach the next one", "core_kill", "servers_cut", "servers_cut"),
		Entry("an owner freezes while its runners cannot reach the next one", "core_freeze", "servers_cut", "node_cut"),
		Entry("an owner is partitioned while runners crash", "core_cut", "srv_crash", "node_cut"),
		Entry("queues move while messages are lost and clients give up", "config_move", "reset_conns", "give_up"),
		Entry("queues move while an owner is lost", "config_move", "core_kill", "give_up"),
		Entry("jobs are cancelled while runners leave", "cancel", "scale_in", "spot"),
		Entry("two changes of the configuration race while the owner is lost", "config_race", "after_ack_kill", "ack_lost"),
		Entry("all control machines lose power while clocks are stepped", "core_herd_power", "clock_step", "burst"),
		Entry("queues move while a frontend's configuration is stale", "front_lags", "config_move", "burst"),
		Entry("runners leave undrained while they are partitioned", "leave_undrained", "servers_cut", "leave_undrained"),
		Entry("a disk is full while runners fail", "disk_full", "srv_errors", "poison"),
		Entry("a control machine is replaced while a queue moves", "replace_core", "config_move", "config_change"),
	)

	It("behave the same in two plays of the same seed", func() {
		for seed := range uint64(3) {
			for _, invocation := range []bool{false, true} {
				options := Options{Invocation: invocation}
				Expect(play(seed+1, options).Fingerprint()).To(Equal(play(seed+1, options).Fingerprint()))
			}
		}
	})
})

package cluster

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/simulation"
)

// Days make much garbage and hold little: collecting it less often halves their time.
const garbagePercent = 400

// suite is the test that days are played in: a bubble wants one.
var suite *testing.T

func TestCluster(t *testing.T) {
	suite = t
	defer debug.SetGCPercent(debug.SetGCPercent(garbagePercent))
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

// environmentNumber returns a number from the environment, or a default.
func environmentNumber(name string, standard uint64) uint64 {
	value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return standard
	}
	return value
}

// seeds is how many days of all kinds are played; those of one kind are a part of them.
var seeds = environmentNumber("SIMULATION_SEEDS", 60)

// maxParallelDays is how many days are played side by side.
var maxParallelDays = max(4, runtime.GOMAXPROCS(0))

// playDays plays days of the seeds from first on, or the one of SIMULATION_SEED, and fails with all that are wrong.
func playDays(first, count uint64, options Options) {
	GinkgoHelper()
	if seed := environmentNumber("SIMULATION_SEED", 0); seed != 0 {
		first, count = seed, 1
	}
	days := make(chan uint64, count)
	for seed := first; seed < first+count; seed++ {
		days <- seed
	}
	close(days)
	var mutex sync.Mutex
	var failures []string
	var group sync.WaitGroup
	for range maxParallelDays {
		group.Go(func() {
			for seed := range days {
				if outcome := playDay(seed, options); outcome.Failed() {
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

// playDay plays one day in a bubble of its own, which tells when the shells' goroutines have settled.
func playDay(seed uint64, options Options) (outcome *Outcome) {
	synctest.Test(suite, func(*testing.T) { outcome = Run(seed, options) })
	return outcome
}

// explain tells all of the job that SIMULATION_JOB names, if any.
func explain(outcome *Outcome) {
	if id := os.Getenv("SIMULATION_JOB"); id != "" {
		GinkgoWriter.Println(outcome.History.Explain(id))
	}
}

var _ = Describe("The shipped processes of a whole cluster", func() {
	It("break no rule on quiet days", func() {
		playDays(1, 1+seeds/100, Options{Quiet: true})
	})

	It("break no rule on days of all kinds", func() {
		playDays(1000, seeds, Options{})
	})

	for _, kind := range simulation.FaultKinds() {
		It("break no rule under "+kind.Name, func() {
			playDays(5000, 1+seeds/100, Options{Faults: []string{kind.Name, kind.Name}, FinalFault: "none"})
		})
	}

	for _, closing := range []string{"power_off_all", "kill_all", "wipe_after_ack"} {
		It("come back from "+closing, func() {
			playDays(6000, 1+seeds/100, Options{FinalFault: closing})
		})
	}

	It("break no rule on quiet days where runners are called", func() {
		playDays(1, 1+seeds/100, Options{Quiet: true, Invocation: true})
	})

	It("break no rule on days of all kinds where runners are called", func() {
		playDays(8000, 1+seeds/10, Options{Invocation: true})
	})

	DescribeTable("break no rule under troubles that meet where runners are called",
		func(kinds ...string) {
			playDays(8500, 1+seeds/100, Options{Invocation: true, Faults: kinds, Overlapping: true, FinalFault: "none"})
		},
		Entry("runners come back as others", "srv_back_late", "srv_back_late", "srv_late"),
		Entry("an owner is lost while agents are frozen", "core_kill", "node_freeze", "node_kill"),
		Entry("connections break while there is much to do", "reset_conns", "burst", "reset_conns"),
		Entry("agents are killed while runners crash", "herd_kill", "srv_crash", "srv_back_late"),
	)

	DescribeTable("break no rule under troubles that meet",
		func(kinds ...string) {
			playDays(7000, 1+seeds/50, Options{Faults: kinds, Overlapping: true, FinalFault: "none"})
		},
		Entry("an owner is lost while its runners cannot reach the next one", "core_kill", "servers_cut", "servers_cut"),
		Entry("an owner freezes while its runners cannot reach the next one", "core_freeze", "servers_cut", "node_cut"),
		Entry("an owner is cut off while runners crash", "core_cut", "srv_crash", "node_cut"),
		Entry("queues move while hand-ins get lost", "config_move", "reset_conns", "give_up"),
		Entry("queues move while an owner is lost", "config_move", "core_kill", "give_up"),
		Entry("jobs are cancelled while runners leave", "cancel", "scale_in", "spot"),
		Entry("two operators race while the owner is lost", "config_race", "after_ack_kill", "ack_lost"),
		Entry("all lose power while clocks jump", "core_herd_power", "clock_step", "burst"),
		Entry("queues move while a frontend's configuration is old", "front_lags", "config_move", "burst"),
		Entry("runners leave without a word of it while they are cut off", "leave_undrained", "servers_cut", "leave_undrained"),
		Entry("a disk is full while runners fail", "disk_full", "srv_errors", "poison"),
		Entry("a core machine is replaced while a queue moves", "replace_core", "config_move", "config_change"),
	)

	It("run the same from the same seed", func() {
		for seed := range uint64(3) {
			for _, called := range []bool{false, true} {
				options := Options{Invocation: called}
				Expect(playDay(seed+1, options).Fingerprint()).To(Equal(playDay(seed+1, options).Fingerprint()))
			}
		}
	})
})

package cluster

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// checkTimeout bounds the check of one history.
const checkTimeout = 20 * time.Second

// observed is what came of a scenario that was observed.
type observed struct {
	outcome *Outcome
	reads   []*simulation.ConfigurationRead
}

// observe plays a scenario with an observer.
func observe(seed uint64, options Options) observed {
	var seen observed
	synctest.Test(suite, func(*testing.T) {
		world := simulation.NewWorld(seed)
		size, bounds := simulation.SmallSize(), drawBounds(world)
		scenario := drawScenario(world, options)
		deployment := simulation.NewDeployment(world, size, bounds)
		c := New(deployment)
		observer := simulation.Observe(deployment, scenario.Warmup, scenario.Warmup+scenario.Length)
		deployment.Play(scenario)
		c.endShells()
		seen = observed{outcome: c.outcome(seed, scenario), reads: observer.Reads}
	})
	return seen
}

// violations names the histories that are not linearizable, and those that could not be checked in time.
func (o *observed) violations() []string {
	var violations []string
	check := func(what string, model porcupine.Model, operations []porcupine.Operation) {
		if result := porcupine.CheckOperationsTimeout(model, operations, checkTimeout); result != porcupine.Ok {
			violations = append(violations, fmt.Sprintf("seed %d: the history of %s: %s", o.outcome.Seed, what, result))
		}
	}
	history := o.outcome.History
	check("the configuration", registerModel, configurationHistory(history, o.reads))
	for _, job := range history.JobOrder {
		check("job "+job.ID, jobModel, jobHistory(job))
	}
	return violations
}

var _ = Describe("Histories that clients and the operator saw", func() {
	DescribeTable("are linearizable",
		func(faults ...string) {
			const fraction = 20 // of the seeds that are played under all kinds of faults
			var mutex sync.Mutex
			var violations []string
			var group sync.WaitGroup
			for first := range uint64(maxParallel) {
				group.Go(func() {
					for seed := first; seed < 1+seeds/fraction; seed += uint64(maxParallel) {
						seen := observe(9000+seed, Options{Faults: faults, Overlapping: true, FinalFault: WithoutFinalFault})
						found := seen.violations()
						mutex.Lock()
						violations = append(violations, found...)
						mutex.Unlock()
					}
				})
			}
			group.Wait()
			Expect(violations).To(BeEmpty())
		},
		Entry("without faults", "cancel", "config_change"),
		Entry("while owners freeze and wake", "cancel", "core_freeze", "core_freeze", "config_race", "give_up"),
		Entry("while owners are partitioned", "cancel", "core_cut", "node_cut", "config_race", "ack_lost"),
		Entry("while owners are lost", "cancel", "core_kill", "reset_conns", "config_race", "ack_lost"),
		Entry("while queues move", "cancel", "config_move", "config_move", "core_freeze", "give_up"),
		Entry("while disks stall", "cancel", "disk_stall", "disk_full", "config_race", "bad_config"),
	)

	DescribeTable("are linearizable where a replaced owner wakes and is queried at once",
		func(group protocol.ShardID) {
			for seed := range uint64(3) {
				replaced, seen := playReplacedOwner(9500+seed, group)
				Expect(replaced.stillLed).To(BeTrue(), "it woke as an owner")
				job := replaced.job
				Expect(job.CancelAcknowledged()).NotTo(Equal(simulation.Never))
				Expect(job.CancelAcknowledged()).To(BeNumerically("<", job.Queries[len(job.Queries)-1].Sent))
				Expect(seen.violations()).To(BeEmpty())
			}
		},
		Entry("the owner of the job's shard", protocol.ShardOf("alfa")),
		Entry("the owner of the configuration", protocol.ConfigurationShard),
	)

	at := func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
	answered := func(from, to int64, status int, state string) simulation.Attempt {
		return simulation.Attempt{Sent: at(from), Answered: at(to), Status: status, State: state}
	}
	unanswered := func(from int64) simulation.Attempt {
		return simulation.Attempt{Sent: at(from), Answered: simulation.Never}
	}

	DescribeTable("of one job are distinguished",
		func(job simulation.JobRecord, linearizable bool) {
			Expect(porcupine.CheckOperations(jobModel, jobHistory(&job))).To(Equal(linearizable))
		},
		Entry("accepted, running, completed", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Queries:     []simulation.Attempt{answered(6, 8, 200, "running"), answered(10, 12, 200, "completed"), answered(13, 14, 200, "completed")},
		}, true),
		Entry("running after a cancel was acknowledged", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Cancels:     []simulation.Attempt{answered(6, 8, 200, "")},
			Queries:     []simulation.Attempt{answered(9, 10, 200, "running")},
		}, false),
		Entry("running while a cancel is on its way", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Cancels:     []simulation.Attempt{answered(6, 12, 200, "")},
			Queries:     []simulation.Attempt{answered(9, 10, 200, "running")},
		}, true),
		Entry("running after it was shown as completed", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Queries:     []simulation.Attempt{answered(6, 8, 200, "completed"), answered(10, 12, 200, "running")},
		}, false),
		Entry("unknown after it was accepted", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Queries:     []simulation.Attempt{answered(6, 8, 410, "")},
		}, false),
		Entry("known though every submission was rejected", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 503, ""), answered(6, 7, 429, "")},
			Queries:     []simulation.Attempt{answered(8, 9, 200, "queued")},
		}, false),
		Entry("known long after a submission without a response", simulation.JobRecord{
			Submissions: []simulation.Attempt{unanswered(0)},
			Queries:     []simulation.Attempt{answered(100, 101, 410, ""), answered(200, 201, 200, "queued")},
		}, true),
		Entry("unknown, known, and unknown again", simulation.JobRecord{
			Submissions: []simulation.Attempt{unanswered(0)},
			Queries:     []simulation.Attempt{answered(100, 101, 410, ""), answered(200, 201, 200, "queued"), answered(300, 301, 410, "")},
		}, false),
		Entry("cancelled by nobody", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Queries:     []simulation.Attempt{answered(6, 8, 200, "cancelled")},
		}, false),
	)

	change := func(base, version int64, attempts ...simulation.Attempt) *simulation.ConfigurationRecord {
		return &simulation.ConfigurationRecord{Base: base, Version: version, Document: fmt.Sprint(version), Body: "{}", Attempts: attempts}
	}
	read := func(from, to, version int64) *simulation.ConfigurationRead {
		return &simulation.ConfigurationRead{Sent: at(from), Answered: at(to), Status: 200, Version: version, Body: fmt.Sprint(version)}
	}

	DescribeTable("of the configuration are distinguished",
		func(changes []*simulation.ConfigurationRecord, reads []*simulation.ConfigurationRead, linearizable bool) {
			history := &simulation.History{Configuration: changes}
			Expect(porcupine.CheckOperations(registerModel, configurationHistory(history, reads))).To(Equal(linearizable))
		},
		Entry("one after the other, and the first repeated", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, ""), answered(30, 35, 200, "")),
			change(3, 4, answered(10, 15, 200, "")),
		}, []*simulation.ConfigurationRead{read(6, 9, 3), read(16, 17, 4), read(40, 41, 4)}, true),
		Entry("an old one read after a newer one was acknowledged", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, answered(10, 15, 200, "")),
		}, []*simulation.ConfigurationRead{read(16, 17, 3)}, false),
		Entry("an old one read after a newer one was read", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, unanswered(10)),
		}, []*simulation.ConfigurationRead{read(16, 17, 4), read(18, 19, 3)}, false),
		Entry("two on top of one", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, answered(10, 15, 200, "")),
			change(3, 5, answered(10, 15, 200, "")),
		}, nil, false),
		Entry("one that was accepted is rejected when it is repeated", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, answered(10, 15, 200, ""), answered(20, 25, 412, "")),
		}, nil, false),
		Entry("one of unknown outcome, and then another on the same version rejected", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, unanswered(10)),
			change(3, 5, answered(20, 25, 412, "")),
		}, []*simulation.ConfigurationRead{read(30, 31, 4)}, true),
		Entry("rejected with nothing newer", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, answered(10, 15, 412, "")),
		}, nil, false),
		Entry("rejected as invalid though it is not", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 400, "")),
		}, nil, false),
	)
})

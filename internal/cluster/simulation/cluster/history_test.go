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

// checkTimeout is the time after which the linearizability check of one history is given up, which fails the spec.
const checkTimeout = 20 * time.Second

// observedRun is the outcome of a run, with the operator's reads of the configuration during the run.
type observedRun struct {
	outcome *Outcome
	reads   []*simulation.ConfigurationRead
}

// observe plays a scenario with a simulation.Observer, which queries jobs and reads the configuration often, so that the
// history shows more of the responses.
func observe(seed uint64, options Options) observedRun {
	var run observedRun
	synctest.Test(suite, func(*testing.T) {
		world := simulation.NewWorld(seed)
		size, bounds := simulation.SmallSize(), drawBounds(world)
		scenario := drawScenario(world, options)
		deployment := simulation.NewDeployment(world, size, bounds)
		c := New(deployment)
		observer := simulation.Observe(deployment, scenario.Warmup, scenario.Warmup+scenario.Length)
		deployment.Play(scenario)
		c.endHarnesses()
		run = observedRun{outcome: c.outcome(seed, scenario), reads: observer.Reads}
	})
	return run
}

// violations returns a message for each history that is not linearizable, and for each check that took longer than
// checkTimeout.
func (o *observedRun) violations() []string {
	var violations []string
	check := func(name string, model porcupine.Model, operations []porcupine.Operation) {
		if result := porcupine.CheckOperationsTimeout(model, operations, checkTimeout); result != porcupine.Ok {
			violations = append(violations, fmt.Sprintf("seed %d: the history of %s: %s", o.outcome.Seed, name, result))
		}
	}
	history := o.outcome.History
	check("the configuration", registerModel, configurationHistory(history, o.reads))
	for _, job := range history.JobOrder {
		check("job "+job.ID, jobModel, jobHistory(job))
	}
	return violations
}

var _ = Describe("Histories of what clients and the operator saw", func() {
	DescribeTable("are linearizable",
		func(faults ...string) {
			const fraction = 20 // one seed of so many that are played under all kinds of faults
			var mutex sync.Mutex
			var violations []string
			var group sync.WaitGroup
			for first := range uint64(maxParallel) {
				group.Go(func() {
					for seed := first; seed < 1+seeds/fraction; seed += uint64(maxParallel) {
						run := observe(9000+seed, Options{Faults: faults, Overlapping: true, FinalFault: WithoutFinalFault})
						found := run.violations()
						mutex.Lock()
						violations = append(violations, found...)
						mutex.Unlock()
					}
				})
			}
			group.Wait()
			Expect(violations).To(BeEmpty())
		},
		Entry("while jobs are cancelled and the configuration changes", "cancel", "config_change"),
		Entry("while owners are frozen and thawed", "cancel", "core_freeze", "core_freeze", "config_race", "give_up"),
		Entry("while owners are partitioned", "cancel", "core_cut", "node_cut", "config_race", "ack_lost"),
		Entry("while owners are lost", "cancel", "core_kill", "reset_conns", "config_race", "ack_lost"),
		Entry("while queues move", "cancel", "config_move", "config_move", "core_freeze", "give_up"),
		Entry("while clients withdraw submissions and queues move", simulation.WithdrawnSubmissions, simulation.WithdrawnSubmissions, "config_move", "core_kill"),
		Entry("while disks stall or are full", "cancel", "disk_stall", "disk_full", "config_race", "bad_config"),
	)

	DescribeTable("are linearizable when a replaced owner is thawed and queried immediately",
		func(group protocol.ShardID) {
			for seed := range uint64(3) {
				scenario, run := playReplacedOwner(9500+seed, group)
				Expect(scenario.ledWhenThawed).To(BeTrue(), "the owner still believed that it led when it was thawed")
				job := scenario.job
				Expect(job.CancelAcknowledged()).NotTo(Equal(simulation.Never))
				Expect(job.CancelAcknowledged()).To(BeNumerically("<", job.Queries[len(job.Queries)-1].Sent))
				Expect(run.violations()).To(BeEmpty())
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

	DescribeTable("of one job are accepted by the job model only if they are linearizable",
		func(job simulation.JobRecord, linearizable bool) {
			Expect(porcupine.CheckOperations(jobModel, jobHistory(&job))).To(Equal(linearizable))
		},
		Entry("the job is accepted, running and then completed", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Queries:     []simulation.Attempt{answered(6, 8, 200, "running"), answered(10, 12, 200, "completed"), answered(13, 14, 200, "completed")},
		}, true),
		Entry("the job is running after a cancel was acknowledged", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Cancels:     []simulation.Attempt{answered(6, 8, 200, "")},
			Queries:     []simulation.Attempt{answered(9, 10, 200, "running")},
		}, false),
		Entry("the job is accepted after a cancel was answered with 410", simulation.JobRecord{
			Submissions: []simulation.Attempt{unanswered(0), answered(9, 12, 200, "")},
			Cancels:     []simulation.Attempt{answered(6, 8, 410, "")},
		}, false),
		Entry("the job is shown after a cancel was answered with 410", simulation.JobRecord{
			Submissions: []simulation.Attempt{unanswered(0)},
			Cancels:     []simulation.Attempt{answered(6, 8, 410, "")},
			Queries:     []simulation.Attempt{answered(9, 10, 410, ""), answered(11, 12, 200, "cancelled")},
		}, false),
		Entry("the job is unknown after a cancel was answered with 410", simulation.JobRecord{
			Submissions: []simulation.Attempt{unanswered(0), answered(9, 12, 410, "")},
			Cancels:     []simulation.Attempt{answered(6, 8, 410, ""), answered(9, 10, 410, "")},
			Queries:     []simulation.Attempt{answered(9, 10, 410, "")},
		}, true),
		Entry("the job is running while a cancel is in flight", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Cancels:     []simulation.Attempt{answered(6, 12, 200, "")},
			Queries:     []simulation.Attempt{answered(9, 10, 200, "running")},
		}, true),
		Entry("the job is running after a query returned completed", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Queries:     []simulation.Attempt{answered(6, 8, 200, "completed"), answered(10, 12, 200, "running")},
		}, false),
		Entry("the job is unknown after it was accepted", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Queries:     []simulation.Attempt{answered(6, 8, 410, "")},
		}, false),
		Entry("the job is known although every submission was rejected", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 503, ""), answered(6, 7, 429, "")},
			Queries:     []simulation.Attempt{answered(8, 9, 200, "queued")},
		}, false),
		Entry("the job becomes known long after a submission without a response", simulation.JobRecord{
			Submissions: []simulation.Attempt{unanswered(0)},
			Queries:     []simulation.Attempt{answered(100, 101, 410, ""), answered(200, 201, 200, "queued")},
		}, true),
		Entry("the job is unknown, known and then unknown again", simulation.JobRecord{
			Submissions: []simulation.Attempt{unanswered(0)},
			Queries:     []simulation.Attempt{answered(100, 101, 410, ""), answered(200, 201, 200, "queued"), answered(300, 301, 410, "")},
		}, false),
		Entry("the job is cancelled without a cancel call", simulation.JobRecord{
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

	DescribeTable("of the configuration are accepted by the register model only if they are linearizable",
		func(changes []*simulation.ConfigurationRecord, reads []*simulation.ConfigurationRead, linearizable bool) {
			history := &simulation.History{Configuration: changes}
			Expect(porcupine.CheckOperations(registerModel, configurationHistory(history, reads))).To(Equal(linearizable))
		},
		Entry("two changes are accepted one after the other, and the first is repeated", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, ""), answered(30, 35, 200, "")),
			change(3, 4, answered(10, 15, 200, "")),
		}, []*simulation.ConfigurationRead{read(6, 9, 3), read(16, 17, 4), read(40, 41, 4)}, true),
		Entry("an old version is read after a newer one was acknowledged", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, answered(10, 15, 200, "")),
		}, []*simulation.ConfigurationRead{read(16, 17, 3)}, false),
		Entry("an old version is read after a newer one was read", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, unanswered(10)),
		}, []*simulation.ConfigurationRead{read(16, 17, 4), read(18, 19, 3)}, false),
		Entry("two changes that build on the same version are accepted", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, answered(10, 15, 200, "")),
			change(3, 5, answered(10, 15, 200, "")),
		}, nil, false),
		Entry("an accepted change is rejected when it is repeated", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, answered(10, 15, 200, ""), answered(20, 25, 412, "")),
		}, nil, false),
		Entry("after a change of unknown outcome, another change on the same version is rejected", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, unanswered(10)),
			change(3, 5, answered(20, 25, 412, "")),
		}, []*simulation.ConfigurationRead{read(30, 31, 4)}, true),
		Entry("a change is rejected with 412 although its base version is the newest", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 200, "")),
			change(3, 4, answered(10, 15, 412, "")),
		}, nil, false),
		Entry("a valid change is rejected as invalid", []*simulation.ConfigurationRecord{
			change(0, 3, answered(0, 5, 400, "")),
		}, nil, false),
	)
})

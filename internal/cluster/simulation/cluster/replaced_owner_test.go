package cluster

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// replacedOwnerScenario tests that a replaced owner doesn't serve stale reads. Its steps are:
//  1. A client submits a job that keeps running.
//  2. After freezeDelay the owner of the group is partitioned from the other control machines and frozen. A frontend is
//     partitioned from them too, so that the owner is the only control machine that it reaches.
//  3. The other control machines elect a successor. In the middle of freezeTime the job is cancelled at another frontend, and
//     the operator changes the configuration.
//  4. After freezeTime the owner is thawed and still believes that it leads. From querySpan before to querySpan after that
//     time, the partitioned frontend queries the job and the operator reads the configuration at the owner.
type replacedOwnerScenario struct {
	cluster       *Cluster
	deployment    *simulation.Deployment
	group         protocol.ShardID
	owner         *simulation.Machine
	frontend      *simulation.Machine // the frontend that reaches no control machine but the owner
	job           *simulation.JobRecord
	reads         []*simulation.ConfigurationRead
	ledWhenThawed bool // the owner believed that it led when it was thawed
}

const (
	freezeDelay   = 2 * time.Second // from the submission of the job
	freezeTime    = 3 * time.Second
	queryInterval = 20 * time.Millisecond
	querySpan     = 700 * time.Millisecond // duration of the queries before the owner is thawed, and after
)

// submit submits the long-running job and schedules freeze.
func (r *replacedOwnerScenario) submit() {
	step := protocol.Step{Count: 1, CPU: 100, MemoryMB: 10, EstimatedMs: 400, LongRunning: true}
	queue := simulation.QueueName{Host: simulation.ClientHost, Prefix: "/lasting/"}
	r.job = r.deployment.Clients.Submit(queue, protocol.JobSpec{Spec: "lasts", Steps: []protocol.Step{step}},
		simulation.Work{MeanMs: 400}, simulation.Never)
	r.deployment.World.After(freezeDelay, r.freeze)
}

// freeze partitions the owner and a frontend from the other control machines, freezes the owner, and schedules the
// cancellation, the queries and the thaw.
func (r *replacedOwnerScenario) freeze() {
	r.owner = r.findOwner()
	r.frontend = r.deployment.Frontends[1]
	for _, m := range r.deployment.Controls {
		if m != r.owner {
			r.deployment.Network.PartitionBoth(m, r.owner)
			r.deployment.Network.PartitionBoth(m, r.frontend)
		}
	}
	r.owner.Freeze()
	w := r.deployment.World
	w.After(freezeTime/2, func() {
		r.cancel()
		r.deployment.Operator.Change(nil)
	})
	for after := freezeTime - querySpan; after < freezeTime+querySpan; after += queryInterval {
		w.After(after, r.query)
	}
	w.After(freezeTime, func() {
		r.ledWhenThawed = r.leads(r.owner)
		r.owner.Thaw()
	})
}

// findOwner returns the control machine that leads the group, or nil if there is none.
func (r *replacedOwnerScenario) findOwner() *simulation.Machine {
	for _, m := range r.deployment.Controls {
		if r.leads(m) {
			return m
		}
	}
	return nil
}

// leads reports whether a machine's process believes that it is the owner of the group.
func (r *replacedOwnerScenario) leads(m *simulation.Machine) bool {
	return r.cluster.processes[m].leads(uint32(r.group))
}

// cancel cancels the job at the frontend that is not partitioned, and repeats that until it is acknowledged.
func (r *replacedOwnerScenario) cancel() {
	w := r.deployment.World
	number := len(r.job.Cancels)
	r.job.Cancels = append(r.job.Cancels, simulation.Attempt{Sent: w.Now(), Answered: simulation.Never})
	r.cluster.frontends[r.deployment.Frontends[0]].Cancel(r.job.Queue, r.job.ID, time.Second, func(status int) {
		attempt := &r.job.Cancels[number]
		attempt.Answered, attempt.Status = w.Now(), status
		if status != http.StatusOK {
			w.After(queryInterval, r.cancel)
		}
	})
}

// query queries the job at the partitioned frontend, and reads the configuration at the replaced owner.
func (r *replacedOwnerScenario) query() {
	w := r.deployment.World
	number := len(r.job.Queries)
	r.job.Queries = append(r.job.Queries, simulation.Attempt{Sent: w.Now(), Answered: simulation.Never})
	r.cluster.frontends[r.frontend].State(r.job.Queue, r.job.ID, 2*time.Second, func(status int, state string) {
		attempt := &r.job.Queries[number]
		attempt.Answered, attempt.Status, attempt.State = w.Now(), status, state
	})
	r.reads = append(r.reads, r.deployment.Operator.ReadAt(r.owner))
}

// playReplacedOwner plays the scenario for the owner of a group. It returns the scenario and the run that clients and the
// operator observed.
func playReplacedOwner(seed uint64, group protocol.ShardID) (r *replacedOwnerScenario, run observedRun) {
	synctest.Test(suite, func(*testing.T) {
		world := simulation.NewWorld(seed)
		deployment := simulation.NewDeployment(world, simulation.SmallSize(), ShortBounds())
		r = &replacedOwnerScenario{cluster: New(deployment), deployment: deployment, group: group}
		scenario := simulation.Scenario{Warmup: 3 * time.Second, Length: 8 * time.Second}
		world.At(scenario.Warmup+500*time.Millisecond, r.submit)
		deployment.Play(scenario)
		r.cluster.endHarnesses()
		run = observedRun{outcome: r.cluster.outcome(seed, scenario), reads: r.reads}
	})
	return r, run
}

package cluster

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// replacedOwner plays a scenario in which the owner of a group is partitioned from the other control machines and frozen,
// and wakes long after a successor was elected. At that moment a frontend that reaches no other control machine queries a
// job, and the operator reads the configuration. Meanwhile the job was cancelled and the configuration changed elsewhere.
type replacedOwner struct {
	cluster    *Cluster
	deployment *simulation.Deployment
	group      protocol.ShardID
	owner      *simulation.Machine
	frontend   *simulation.Machine // that reaches only the owner
	job        *simulation.JobRecord
	reads      []*simulation.ConfigurationRead
	stillLed   bool // the owner believed that it led when it woke
}

const (
	freezeDelay   = 2 * time.Second // after the submission of the job
	freezeTime    = 3 * time.Second
	queryInterval = 20 * time.Millisecond
	querySpan     = 700 * time.Millisecond // of queries before the owner wakes, and after that
)

// submit submits the job, which is long-running.
func (r *replacedOwner) submit() {
	step := protocol.Step{Count: 1, CPU: 100, MemoryMB: 10, EstimatedMs: 400, LongRunning: true}
	queue := simulation.QueueName{Host: simulation.ClientHost, Prefix: "/lasting/"}
	r.job = r.deployment.Clients.Submit(queue, protocol.JobSpec{Spec: "lasts", Steps: []protocol.Step{step}},
		simulation.Work{MeanMs: 400}, simulation.Never)
	r.deployment.World.After(freezeDelay, r.freeze)
}

// freeze partitions the owner and a frontend from the other control machines, and freezes the owner.
func (r *replacedOwner) freeze() {
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
		r.stillLed = r.leads(r.owner)
		r.owner.Thaw()
	})
}

func (r *replacedOwner) findOwner() *simulation.Machine {
	for _, m := range r.deployment.Controls {
		if r.leads(m) {
			return m
		}
	}
	return nil
}

func (r *replacedOwner) leads(m *simulation.Machine) bool {
	return r.cluster.processes[m].leads(uint32(r.group))
}

// cancel cancels the job at the other frontend, until that is acknowledged.
func (r *replacedOwner) cancel() {
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
func (r *replacedOwner) query() {
	w := r.deployment.World
	number := len(r.job.Queries)
	r.job.Queries = append(r.job.Queries, simulation.Attempt{Sent: w.Now(), Answered: simulation.Never})
	r.cluster.frontends[r.frontend].State(r.job.Queue, r.job.ID, 2*time.Second, func(status int, state string) {
		attempt := &r.job.Queries[number]
		attempt.Answered, attempt.Status, attempt.State = w.Now(), status, state
	})
	r.reads = append(r.reads, r.deployment.Operator.ReadAt(r.owner))
}

// playReplacedOwner plays the scenario to its end.
func playReplacedOwner(seed uint64, group protocol.ShardID) (r *replacedOwner, seen observed) {
	synctest.Test(suite, func(*testing.T) {
		world := simulation.NewWorld(seed)
		deployment := simulation.NewDeployment(world, simulation.SmallSize(), ShortBounds())
		r = &replacedOwner{cluster: New(deployment), deployment: deployment, group: group}
		scenario := simulation.Scenario{Warmup: 3 * time.Second, Length: 8 * time.Second}
		world.At(scenario.Warmup+500*time.Millisecond, r.submit)
		deployment.Play(scenario)
		r.cluster.endShells()
		seen = observed{outcome: r.cluster.outcome(seed, scenario), reads: r.reads}
	})
	return r, seen
}

package cluster

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
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

// noReturn is the time of the end of a call whose outcome is not known: it may take effect at any time, or never.
const noReturn = int64(math.MaxInt64)

// checkTime bounds the check of one history.
const checkTime = 20 * time.Second

// jobStates is a set of states that a job may be in.
type jobStates uint8

const (
	jobAbsent jobStates = 1 << iota
	jobLive             // taken, and not ended
	jobCompleted
	jobFailed
	jobCancelled

	jobEnded = jobCompleted | jobFailed | jobCancelled
)

// jobCall is what a client asks of one job.
type jobCall uint8

const (
	callSubmit jobCall = iota
	callState
	callCancel
)

// jobResponse is what the client is told. The zero value stands for no clear answer.
type jobResponse struct {
	status int
	state  string
}

// jobModel is one job as its clients see it: it is taken once, ends once, by itself or by a cancel, and stays so.
var jobModel = porcupine.Model{
	Init: func() any { return jobAbsent },
	Step: func(state, input, output any) (bool, any) {
		next := state.(jobStates).after(input.(jobCall), output.(jobResponse))
		return next != 0, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// after returns the states that a job may be in after a call that was answered so; none if it can't have been.
func (s jobStates) after(call jobCall, answer jobResponse) jobStates {
	if s&jobLive != 0 {
		s |= jobCompleted | jobFailed // it may have ended by itself
	}
	known := answer.status != 0
	switch call {
	case callSubmit:
		return s.afterSubmit(known)
	case callCancel:
		return s.afterCancel(answer.status)
	default:
		return s.afterQuery(answer)
	}
}

func (s jobStates) afterSubmit(certain bool) jobStates {
	next := s
	if s&jobAbsent != 0 {
		next |= jobLive
	}
	if certain {
		next &^= jobAbsent
	}
	return next
}

func (s jobStates) afterCancel(status int) jobStates {
	if status == 410 {
		return s & jobAbsent
	}
	next := s
	if s&jobLive != 0 {
		next |= jobCancelled
	}
	if status/100 == 2 {
		next &= jobEnded
	}
	return next
}

func (s jobStates) afterQuery(answer jobResponse) jobStates {
	if answer.status == 410 {
		return s & jobAbsent
	}
	switch answer.state {
	case protocol.JobQueued, protocol.JobRunning:
		return s & jobLive
	case protocol.JobCompleted:
		return s & jobCompleted
	case protocol.JobFailed:
		return s & jobFailed
	case protocol.JobCancelled:
		return s & jobCancelled
	}
	return 0
}

// jobHistory is all that clients were told of a job. What was certainly refused is left out, as it has no effect; of the
// calls without a clear answer, the first of each kind stands for all: a second one has no effect of its own.
func jobHistory(job *simulation.JobRecord) []porcupine.Operation {
	history := jobCalls(callSubmit, job.Submissions, func(try *simulation.Attempt) bool { return try.Status/100 == 2 })
	answered := func(try *simulation.Attempt) bool { return try.Status/100 == 2 || try.Status == 410 }
	history = append(history, jobCalls(callCancel, job.Cancels, answered)...)
	return append(history, jobCalls(callState, job.Queries, answered)...)
}

func jobCalls(call jobCall, tries []simulation.Attempt, answered func(*simulation.Attempt) bool) []porcupine.Operation {
	var history []porcupine.Operation
	doubted := false
	for i := range tries {
		try := &tries[i]
		known := try.Answered != simulation.Never
		switch {
		case known && answered(try):
			history = append(history, porcupine.Operation{ClientId: i, Input: call, Output: jobResponse{try.Status, try.State},
				Call: int64(try.Sent), Return: int64(try.Answered)})
		case call != callState && !doubted && (!known || isIndeterminate(try.Status)):
			doubted = true
			history = append(history, porcupine.Operation{ClientId: i, Input: call, Output: jobResponse{},
				Call: int64(try.Sent), Return: noReturn})
		}
	}
	return history
}

// isIndeterminate tells whether an answer leaves open whether the call had an effect.
func isIndeterminate(status int) bool {
	return status == 0 || status == 408 || status == 502 || status == 504
}

// register is the configuration as the operator sees it.
type register struct {
	version  int64
	document string
	accepted []*simulation.ConfigurationRecord // never changed in place
}

// configurationCall is an order, or a reading if there is none.
type configurationCall struct {
	order *simulation.ConfigurationRecord
}

// configurationResponse is what the operator is told. The zero value stands for no clear answer.
type configurationResponse struct {
	status  int
	version int64
	body    string
}

// registerModel is a register with compare-and-set on the version that an order builds on. An order that was taken is
// acknowledged whenever it comes again.
var registerModel = porcupine.Model{
	Init: func() any { return &register{} },
	Step: func(state, input, output any) (bool, any) {
		r, answer := state.(*register), output.(configurationResponse)
		order := input.(configurationCall).order
		if order == nil {
			return answer.version == r.version && (answer.version == 0 || answer.body == r.document), r
		}
		return r.after(order, answer.status)
	},
	Equal: func(a, b any) bool {
		left, right := a.(*register), b.(*register)
		return left.version == right.version && slices.Equal(left.accepted, right.accepted)
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// after returns whether an order can have been answered so, and the register after it.
func (r *register) after(order *simulation.ConfigurationRecord, status int) (bool, *register) {
	known := slices.Contains(r.accepted, order)
	current := order.Base == r.version
	next := r
	if current && !order.Invalid {
		next = &register{version: order.Version, document: order.Document, accepted: append(slices.Clone(r.accepted), order)}
	}
	switch status {
	case 0:
		return true, next
	case 200:
		return known || next != r, next
	case 412:
		return !known && !current, r
	case 400:
		return order.Invalid && (current || !json.Valid([]byte(order.Body))), r
	}
	return false, r
}

// configurationHistory is all that the operator was told, with the same left out as in jobHistory.
func configurationHistory(ledger *simulation.History, reads []*simulation.ConfigurationRead) []porcupine.Operation {
	var history []porcupine.Operation
	add := func(order *simulation.ConfigurationRecord, answer configurationResponse, call, end int64) {
		history = append(history, porcupine.Operation{ClientId: len(history), Input: configurationCall{order}, Output: answer,
			Call: call, Return: end})
	}
	for _, order := range ledger.Configuration {
		doubted := false
		for i := range order.Attempts {
			try := &order.Attempts[i]
			known := try.Answered != simulation.Never
			clear := known && (try.Status == 200 || try.Status/100 == 4 && try.Status != 408 && try.Status != 429)
			switch {
			case clear:
				add(order, configurationResponse{status: try.Status}, int64(try.Sent), int64(try.Answered))
			case !doubted && (!known || isIndeterminate(try.Status)):
				doubted = true
				add(order, configurationResponse{}, int64(try.Sent), noReturn)
			}
		}
	}
	for _, read := range reads {
		if read.Answered != simulation.Never && read.Status == 200 {
			add(nil, configurationResponse{status: 200, version: read.Version, body: read.Body}, int64(read.Sent), int64(read.Answered))
		}
	}
	return history
}

// replacedOwner plays a quiet day on which the owner of a group is cut off from the other core machines and frozen, wakes
// with a successor long elected, and is asked then by a frontend that reaches nobody else, and by the operator. Between,
// a job was cancelled and the configuration changed elsewhere.
type replacedOwner struct {
	c                *Cluster
	d                *simulation.Deployment
	group            protocol.ShardID
	owner            *simulation.Machine
	isolatedFrontend *simulation.Machine // the frontend that reaches the old owner alone
	job              *simulation.JobRecord
	reads            []*simulation.ConfigurationRead
	leading          bool // the owner believed that it led when it woke
}

// Times of such a day.
const (
	beforeFreeze  = 2 * time.Second
	frozenFor     = 3 * time.Second
	queryInterval = 20 * time.Millisecond
	querySpan     = 700 * time.Millisecond // before the waking, and after it
)

// submit hands in the job, which lasts.
func (r *replacedOwner) submit() {
	step := protocol.Step{Count: 1, CPU: 100, MemoryMB: 10, EstimatedMs: 400, LongRunning: true}
	queue := simulation.QueueName{Host: simulation.ClientHost, Prefix: "/lasting/"}
	r.job = r.d.Clients.Submit(queue, protocol.JobSpec{Spec: "lasts", Steps: []protocol.Step{step}},
		simulation.Work{MeanMs: 400}, simulation.Never)
	r.d.World.After(beforeFreeze, r.freeze)
}

// freeze cuts the owner off, along with a frontend, and freezes it.
func (r *replacedOwner) freeze() {
	r.owner = r.ownerNow()
	r.isolatedFrontend = r.d.Frontends[1]
	for _, core := range r.d.Controls {
		if core != r.owner {
			r.d.Network.PartitionBoth(core, r.owner)
			r.d.Network.PartitionBoth(core, r.isolatedFrontend)
		}
	}
	r.owner.Freeze()
	w := r.d.World
	w.After(frozenFor/2, func() {
		r.cancel()
		r.d.Operator.Change(nil)
	})
	for after := frozenFor - querySpan; after < frozenFor+querySpan; after += queryInterval {
		w.After(after, r.query)
	}
	w.After(frozenFor, func() {
		r.leading = r.leads(r.owner)
		r.owner.Thaw()
	})
}

func (r *replacedOwner) ownerNow() *simulation.Machine {
	for _, core := range r.d.Controls {
		if r.leads(core) {
			return core
		}
	}
	return nil
}

func (r *replacedOwner) leads(core *simulation.Machine) bool {
	return r.c.processes[core].leads(uint32(r.group))
}

// cancel cancels the job by the other frontend, until that is acknowledged.
func (r *replacedOwner) cancel() {
	w := r.d.World
	position := len(r.job.Cancels)
	r.job.Cancels = append(r.job.Cancels, simulation.Attempt{Sent: w.Now(), Answered: simulation.Never})
	r.c.frontends[r.d.Frontends[0]].Cancel(r.job.Queue, r.job.ID, time.Second, func(status int) {
		try := &r.job.Cancels[position]
		try.Answered, try.Status = w.Now(), status
		if status != 200 {
			w.After(queryInterval, r.cancel)
		}
	})
}

// request asks the far frontend for the job, and the old owner for the configuration.
func (r *replacedOwner) query() {
	w := r.d.World
	position := len(r.job.Queries)
	r.job.Queries = append(r.job.Queries, simulation.Attempt{Sent: w.Now(), Answered: simulation.Never})
	r.c.frontends[r.isolatedFrontend].State(r.job.Queue, r.job.ID, 2*time.Second, func(status int, state string) {
		try := &r.job.Queries[position]
		try.Answered, try.Status, try.State = w.Now(), status, state
	})
	r.reads = append(r.reads, simulation.ReadAt(r.d.Operator, r.owner))
}

// playReplaced plays such a day to its end.
func playReplaced(seed uint64, group protocol.ShardID) (r *replacedOwner, seen observed) {
	synctest.Test(suite, func(*testing.T) {
		world := simulation.NewWorld(seed)
		deployment := simulation.NewDeployment(world, simulation.SmallSize(), ShortBounds())
		r = &replacedOwner{c: New(deployment), d: deployment, group: group}
		day := simulation.Scenario{Warmup: 3 * time.Second, Length: 8 * time.Second}
		world.At(day.Warmup+500*time.Millisecond, r.submit)
		deployment.Play(day)
		r.c.endShells()
		seen = observed{outcome: r.c.outcome(seed, day), reads: r.reads}
	})
	return r, seen
}

// observed is what came of a day that was observed.
type observed struct {
	outcome *Outcome
	reads   []*simulation.ConfigurationRead
}

// observe plays a day with an observer.
func observe(seed uint64, options Options) observed {
	var seen observed
	synctest.Test(suite, func(*testing.T) {
		world := simulation.NewWorld(seed)
		size, bounds := simulation.SmallSize(), drawBounds(world)
		day := drawScenario(world, options)
		deployment := simulation.NewDeployment(world, size, bounds)
		c := New(deployment)
		observer := simulation.Observe(deployment, day.Warmup, day.Warmup+day.Length)
		deployment.Play(day)
		c.endShells()
		seen = observed{outcome: c.outcome(seed, day), reads: observer.Reads}
	})
	return seen
}

// violations names the histories of a day that are not linearizable, and those that could not be checked in time.
func (o *observed) violations() []string {
	var faults []string
	check := func(what string, model porcupine.Model, history []porcupine.Operation) {
		if result := porcupine.CheckOperationsTimeout(model, history, checkTime); result != porcupine.Ok {
			faults = append(faults, fmt.Sprintf("seed %d: the history of %s: %s", o.outcome.Seed, what, result))
		}
	}
	ledger := o.outcome.History
	check("the configuration", registerModel, configurationHistory(ledger, o.reads))
	for _, job := range ledger.JobOrder {
		check("job "+job.ID, jobModel, jobHistory(job))
	}
	return faults
}

var _ = Describe("Histories that clients and the operator saw", func() {
	DescribeTable("are linearizable",
		func(troubles ...string) {
			const days = 20 // of all kinds, for one of these
			var mutex sync.Mutex
			var faults []string
			var group sync.WaitGroup
			for first := range uint64(maxParallelDays) {
				group.Go(func() {
					for seed := first; seed < 1+seeds/days; seed += uint64(maxParallelDays) {
						seen := observe(9000+seed, Options{Faults: troubles, Overlapping: true, FinalFault: "none"})
						found := seen.violations()
						mutex.Lock()
						faults = append(faults, found...)
						mutex.Unlock()
					}
				})
			}
			group.Wait()
			Expect(faults).To(BeEmpty())
		},
		Entry("in calm", "cancel", "config_change"),
		Entry("while owners freeze and wake", "cancel", "core_freeze", "core_freeze", "config_race", "give_up"),
		Entry("while owners are cut off", "cancel", "core_cut", "node_cut", "config_race", "ack_lost"),
		Entry("while owners are lost", "cancel", "core_kill", "reset_conns", "config_race", "ack_lost"),
		Entry("while queues move", "cancel", "config_move", "config_move", "core_freeze", "give_up"),
		Entry("while disks stall", "cancel", "disk_stall", "disk_full", "config_race", "bad_config"),
	)

	DescribeTable("are linearizable where an owner wakes that was replaced, and is asked at once",
		func(group protocol.ShardID) {
			for seed := range uint64(3) {
				day, seen := playReplaced(9500+seed, group)
				Expect(day.leading).To(BeTrue(), "it woke as an owner")
				Expect(day.job.CancelAcknowledged()).NotTo(Equal(simulation.Never))
				Expect(day.job.CancelAcknowledged()).To(BeNumerically("<", day.job.Queries[len(day.job.Queries)-1].Sent))
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
	silent := func(from int64) simulation.Attempt {
		return simulation.Attempt{Sent: at(from), Answered: simulation.Never}
	}

	DescribeTable("of one job are told apart",
		func(job simulation.JobRecord, linearizable bool) {
			Expect(porcupine.CheckOperations(jobModel, jobHistory(&job))).To(Equal(linearizable))
		},
		Entry("taken, running, completed", simulation.JobRecord{
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
		Entry("gone after it was taken", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Queries:     []simulation.Attempt{answered(6, 8, 410, "")},
		}, false),
		Entry("there though every hand-in was refused", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 503, ""), answered(6, 7, 429, "")},
			Queries:     []simulation.Attempt{answered(8, 9, 200, "queued")},
		}, false),
		Entry("there long after a hand-in without an answer", simulation.JobRecord{
			Submissions: []simulation.Attempt{silent(0)},
			Queries:     []simulation.Attempt{answered(100, 101, 410, ""), answered(200, 201, 200, "queued")},
		}, true),
		Entry("gone, there, and gone again", simulation.JobRecord{
			Submissions: []simulation.Attempt{silent(0)},
			Queries:     []simulation.Attempt{answered(100, 101, 410, ""), answered(200, 201, 200, "queued"), answered(300, 301, 410, "")},
		}, false),
		Entry("cancelled by nobody", simulation.JobRecord{
			Submissions: []simulation.Attempt{answered(0, 5, 200, "")},
			Queries:     []simulation.Attempt{answered(6, 8, 200, "cancelled")},
		}, false),
	)

	order := func(base, version int64, tries ...simulation.Attempt) *simulation.ConfigurationRecord {
		return &simulation.ConfigurationRecord{Base: base, Version: version, Document: fmt.Sprint(version), Body: "{}", Attempts: tries}
	}
	read := func(from, to, version int64) *simulation.ConfigurationRead {
		return &simulation.ConfigurationRead{Sent: at(from), Answered: at(to), Status: 200, Version: version, Body: fmt.Sprint(version)}
	}

	DescribeTable("of the configuration are told apart",
		func(orders []*simulation.ConfigurationRecord, reads []*simulation.ConfigurationRead, linearizable bool) {
			ledger := &simulation.History{Configuration: orders}
			Expect(porcupine.CheckOperations(registerModel, configurationHistory(ledger, reads))).To(Equal(linearizable))
		},
		Entry("one after the other, and the first again", []*simulation.ConfigurationRecord{
			order(0, 3, answered(0, 5, 200, ""), answered(30, 35, 200, "")),
			order(3, 4, answered(10, 15, 200, "")),
		}, []*simulation.ConfigurationRead{read(6, 9, 3), read(16, 17, 4), read(40, 41, 4)}, true),
		Entry("an old one read after a newer one was acknowledged", []*simulation.ConfigurationRecord{
			order(0, 3, answered(0, 5, 200, "")),
			order(3, 4, answered(10, 15, 200, "")),
		}, []*simulation.ConfigurationRead{read(16, 17, 3)}, false),
		Entry("an old one read after a newer one was read", []*simulation.ConfigurationRecord{
			order(0, 3, answered(0, 5, 200, "")),
			order(3, 4, silent(10)),
		}, []*simulation.ConfigurationRead{read(16, 17, 4), read(18, 19, 3)}, false),
		Entry("two on top of one", []*simulation.ConfigurationRecord{
			order(0, 3, answered(0, 5, 200, "")),
			order(3, 4, answered(10, 15, 200, "")),
			order(3, 5, answered(10, 15, 200, "")),
		}, nil, false),
		Entry("one that was taken is refused when it comes again", []*simulation.ConfigurationRecord{
			order(0, 3, answered(0, 5, 200, "")),
			order(3, 4, answered(10, 15, 200, ""), answered(20, 25, 412, "")),
		}, nil, false),
		Entry("one in doubt, and then another on the same version refused", []*simulation.ConfigurationRecord{
			order(0, 3, answered(0, 5, 200, "")),
			order(3, 4, silent(10)),
			order(3, 5, answered(20, 25, 412, "")),
		}, []*simulation.ConfigurationRead{read(30, 31, 4)}, true),
		Entry("refused with nothing newer", []*simulation.ConfigurationRecord{
			order(0, 3, answered(0, 5, 200, "")),
			order(3, 4, answered(10, 15, 412, "")),
		}, nil, false),
		Entry("refused as invalid though it is not", []*simulation.ConfigurationRecord{
			order(0, 3, answered(0, 5, 400, "")),
		}, nil, false),
	)
})

package simulation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

const (
	testJob  = "00000000000000aa"
	testSpec = "the job's text"
)

// at returns the time of a scenario at so many seconds.
func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// historyBuilder builds a history for the auditor. The times that its methods take are in seconds since the world's
// beginning.
type historyBuilder struct {
	*History
	submitted    *JobRecord         // a job of three steps; the second depends on the first, the third is a gang
	firstRunner  *RunnerIncarnation // both runners are of the job's service
	secondRunner *RunnerIncarnation
}

// newHistoryBuilder returns a history that breaks no rule: one accepted job, one acknowledged configuration and two
// runners. The traffic ends at 40 s and the scenario at 60 s.
func newHistoryBuilder() *historyBuilder {
	b := &historyBuilder{History: NewHistory(DefaultBounds())}
	b.TrafficEnds, b.Ends = at(40), at(60)
	b.submitted = &JobRecord{ID: testJob, Queue: QueueName{"h", "/q/"}, Accepted: at(1)}
	b.submitted.Spec = protocol.JobSpec{Spec: testSpec, Steps: []protocol.Step{
		{Count: 2, CPU: 4000, MemoryMB: 100},
		{Count: 2, CPU: 1000, DependsOn: []int{0}, Checkpoints: true},
		{Count: 2, CPU: 1000, Gang: true, Checkpoints: true},
	}}
	b.submitted.Submissions = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(0.9), Answered: at(1), Status: 200}}
	b.submitted.Queries = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(50), Answered: at(50.1), Status: 200,
		State: protocol.JobRunning}}
	b.AddJob(b.submitted)
	b.firstRunner, b.secondRunner = b.runner("i-1", "alfa", "a"), b.runner("i-2", "alfa", "b")
	b.configuration(1, 0, map[QueueName]RouteRecord{b.submitted.Queue: {Service: "alfa", MaxAttempts: 2}})
	b.read(0.5+59, 1)
	return b
}

// runner adds a runner that is up.
func (b *historyBuilder) runner(instance, service, kind string) *RunnerIncarnation {
	runner := &RunnerIncarnation{Instance: instance, Machine: "side-" + instance, Service: service, Labels: []string{kind, "r-1"},
		Capacity: protocol.Resources{CPU: 8000, MemoryMB: 1000}, Ended: Never, DrainAcknowledged: Never}
	b.Runners = append(b.Runners, runner)
	return runner
}

// configuration adds a change that was sent at version/10 seconds and acknowledged 0.05 s later.
func (b *historyBuilder) configuration(version, base int64, routes map[QueueName]RouteRecord) *ConfigurationRecord {
	sent := at(float64(version) / 10)
	record := &ConfigurationRecord{Version: version, Base: base, Body: string(rune('0' + version)), Routes: routes, Alone: true,
		Document:     Canonical([]byte(mustJSON(map[string]any{"version": version}))),
		Acknowledged: sent + at(0.05),
		Attempts:     []Attempt{{Machine: "core-0", Sent: sent, Answered: sent + at(0.05), Status: 200}}}
	b.Configuration = append(b.Configuration, record)
	return record
}

// read adds a read of a version by the operator at the end of the scenario.
func (b *historyBuilder) read(seconds float64, version int64) {
	b.ReadBacks = append(b.ReadBacks, ReadBack{At: at(seconds), Body: Canonical([]byte(mustJSON(map[string]any{"version": version})))})
}

// run adds a run of the job. The end of the run is acknowledged 0.1 s later. If ended is negative, the run does not end.
func (b *historyBuilder) run(runner *RunnerIncarnation, step, index int, number uint64, started, ended float64,
	endReason string) *Run {
	run := &Run{Task: TaskName{testJob, 0, step, index}, Number: number, Runner: runner, Started: at(started), Ended: Never,
		Spec: testSpec, Acknowledged: Never}
	run.TaskText = run.Task.String()
	if ended >= 0 {
		run.Ended, run.EndReason, run.Acknowledged = at(ended), endReason, at(ended+0.1)
	}
	b.Runs = append(b.Runs, run)
	return run
}

// completeFirstStep adds runs of both tasks of the first step from 2 to 3 s, which end done.
func (b *historyBuilder) completeFirstStep() {
	b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
	b.run(b.secondRunner, 0, 1, 1, 2, 3, protocol.EndDone)
}

// query adds a query of the job's state that was answered 0.01 s later.
func (b *historyBuilder) query(seconds float64, status int, state string) {
	b.submitted.Queries = append(b.submitted.Queries, Attempt{Machine: "front-0", Incarnation: 1, Sent: at(seconds),
		Answered: at(seconds + 0.01), Status: status, State: state})
}

// cancel adds a cancel of the job that was acknowledged 0.01 s later.
func (b *historyBuilder) cancel(seconds float64) {
	b.submitted.Cancels = append(b.submitted.Cancels, Attempt{Machine: "front-0", Sent: at(seconds),
		Answered: at(seconds + 0.01), Status: 200})
}

// pendingQuery adds a query of the pending jobs in the queue that only version 2 has (see secondVersion), answered 0.01 s
// later.
func (b *historyBuilder) pendingQuery(seconds float64, status int) {
	b.PendingQueries = append(b.PendingQueries, PendingQuery{Queue: QueueName{"h", "/v2/"}, Attempt: Attempt{
		Machine: "front-0", Incarnation: 1, Sent: at(seconds), Answered: at(seconds + 0.01), Status: status}})
}

// fault adds a fault that lasts for a span.
func (b *historyBuilder) fault(from, to float64, fault Fault) {
	fault.From, fault.To = at(from), at(to)
	b.Faults = append(b.Faults, fault)
}

// noViolation stands in place of a rule for a history that breaks none.
const noViolation Rule = ""

// expectAudit builds a history and expects that it breaks this rule and no other, or none for noViolation.
func expectAudit(rule Rule, build func(b *historyBuilder)) {
	GinkgoHelper()
	b := newHistoryBuilder()
	build(b)
	found := Audit(b.History)
	if rule == noViolation {
		Expect(found).To(BeEmpty())
		return
	}
	Expect(found).NotTo(BeEmpty())
	for _, violation := range found {
		Expect(violation.Rule).To(Equal(rule), violation.String())
	}
}

// refuse adds calls with a fencing token that the first runner refused.
func (b *historyBuilder) refuse(machine string, fenceToken uint64, seconds ...float64) {
	for _, second := range seconds {
		b.RefusedCalls = append(b.RefusedCalls, RefusedCall{Machine: machine, Instance: b.firstRunner.Instance, FenceToken: fenceToken, At: at(second)})
	}
}

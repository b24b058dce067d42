package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	testJob  = "00000000000000aa"
	testSpec = "the job's text"
)

func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// historyBuilder is a ledger under construction: one accepted job of three steps, one configuration, two runners of its service.
type historyBuilder struct {
	*History
	submitted *JobRecord
	first     *RunnerIncarnation
	second    *RunnerIncarnation
}

func newHistoryBuilder() *historyBuilder {
	p := &historyBuilder{History: NewHistory(DefaultBounds())}
	p.TrafficEnds, p.Ends = at(40), at(60)
	p.submitted = &JobRecord{ID: testJob, Queue: QueueName{"h", "/q/"}, Accepted: at(1)}
	p.submitted.Spec = protocol.JobSpec{Spec: testSpec, Steps: []protocol.Step{
		{Count: 2, CPU: 4000, MemoryMB: 100},
		{Count: 2, CPU: 1000, DependsOn: []int{0}, Checkpoints: true},
		{Count: 2, CPU: 1000, Gang: true, Checkpoints: true},
	}}
	p.submitted.Submissions = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(0.9), Answered: at(1), Status: 200}}
	p.submitted.Queries = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(50), Answered: at(50.1), Status: 200, State: protocol.JobRunning}}
	p.AddJob(p.submitted)
	p.first, p.second = p.runner("i-1", "alfa", "a"), p.runner("i-2", "alfa", "b")
	p.configuration(1, 0, map[QueueName]RouteRecord{p.submitted.Queue: {Service: "alfa", MaxAttempts: 2}})
	p.read(0.5+59, 1)
	return p
}

func (p *historyBuilder) runner(instance, service, kind string) *RunnerIncarnation {
	life := &RunnerIncarnation{Instance: instance, Machine: "side-" + instance, Service: service, Labels: []string{kind, "r-1"},
		Capacity: protocol.Resources{CPU: 8000, MemoryMB: 1000}, Ended: Never, DrainAcknowledged: Never}
	p.Runners = append(p.Runners, life)
	return life
}

// configuration adds a change that was acknowledged at once, 0.1 s after the version's number in tenths of a second.
func (p *historyBuilder) configuration(version, base int64, routes map[QueueName]RouteRecord) *ConfigurationRecord {
	sent := at(float64(version) / 10)
	record := &ConfigurationRecord{Version: version, Base: base, Body: string(rune('0' + version)), Routes: routes, Alone: true,
		Document:     Canonical([]byte(mustJSON(map[string]any{"version": version}))),
		Acknowledged: sent + at(0.05),
		Attempts:     []Attempt{{Machine: "core-0", Sent: sent, Answered: sent + at(0.05), Status: 200}}}
	p.Configuration = append(p.Configuration, record)
	return record
}

func (p *historyBuilder) read(seconds float64, version int64) {
	p.ReadBacks = append(p.ReadBacks, ReadBack{At: at(seconds), Body: Canonical([]byte(mustJSON(map[string]any{"version": version})))})
}

// run adds a run that was over at `ended` (negative: it goes on) and whose end was taken note of 0.1 s later.
func (p *historyBuilder) run(runner *RunnerIncarnation, step, index int, number uint64, started, ended float64, how string) *Run {
	run := &Run{Task: TaskName{testJob, 0, step, index}, Number: number, Runner: runner, Started: at(started), Ended: Never,
		Spec: testSpec, Acknowledged: Never}
	run.TaskText = run.Task.String()
	if ended >= 0 {
		run.Ended, run.EndReason, run.Acknowledged = at(ended), how, at(ended+0.1)
	}
	p.Runs = append(p.Runs, run)
	return run
}

// firstDone lets the first step end done at 3 s.
func (p *historyBuilder) firstDone() {
	p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
	p.run(p.second, 0, 1, 1, 2, 3, protocol.EndDone)
}

func (p *historyBuilder) query(seconds float64, status int, state string) {
	p.submitted.Queries = append(p.submitted.Queries, Attempt{Machine: "front-0", Incarnation: 1, Sent: at(seconds), Answered: at(seconds + 0.01),
		Status: status, State: state})
}

func (p *historyBuilder) cancel(seconds float64) {
	p.submitted.Cancels = append(p.submitted.Cancels, Attempt{Machine: "front-0", Sent: at(seconds), Answered: at(seconds + 0.01), Status: 200})
}

func (p *historyBuilder) pendingQuery(seconds float64, prefix string, status int) {
	p.PendingQueries = append(p.PendingQueries, PendingQuery{Queue: QueueName{"h", prefix}, Attempt: Attempt{Machine: "front-0", Incarnation: 1, Sent: at(seconds),
		Answered: at(seconds + 0.01), Status: status}})
}

func (p *historyBuilder) fault(from, to float64, trouble Fault) {
	trouble.From, trouble.To = at(from), at(to)
	p.Faults = append(p.Faults, trouble)
}

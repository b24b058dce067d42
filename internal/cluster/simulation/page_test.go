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

// page is a ledger under construction: one accepted job of three steps, one configuration, two runners of its service.
type page struct {
	*Ledger
	job    *JobRecord
	first  *RunnerLife
	second *RunnerLife
}

func newPage() *page {
	p := &page{Ledger: NewLedger(DefaultBounds())}
	p.TrafficEnds, p.Ends = at(40), at(60)
	p.job = &JobRecord{ID: testJob, Queue: QueueName{"h", "/q/"}, Accepted: at(1)}
	p.job.Spec = protocol.JobSpec{Spec: testSpec, Steps: []protocol.Step{
		{Count: 2, CPU: 4000, MemoryMB: 100},
		{Count: 2, CPU: 1000, DependsOn: []int{0}, Checkpoints: true},
		{Count: 2, CPU: 1000, Gang: true, Checkpoints: true},
	}}
	p.job.HandIns = []Try{{Machine: "front-0", Life: 1, Sent: at(0.9), Answered: at(1), Status: 200}}
	p.job.Asks = []Try{{Machine: "front-0", Life: 1, Sent: at(50), Answered: at(50.1), Status: 200, State: protocol.JobRunning}}
	p.AddJob(p.job)
	p.first, p.second = p.runner("i-1", "alfa", "a"), p.runner("i-2", "alfa", "b")
	p.configuration(1, 0, map[QueueName]RouteRecord{p.job.Queue: {Service: "alfa", MaxAttempts: 2}})
	p.read(0.5+59, 1)
	return p
}

func (p *page) runner(instance, service, kind string) *RunnerLife {
	life := &RunnerLife{Instance: instance, Machine: "side-" + instance, Service: service, Labels: []string{kind, "r-1"},
		Capacity: protocol.Resources{CPU: 8000, MemoryMB: 1000}, Down: Never, DrainAck: Never}
	p.Runners = append(p.Runners, life)
	return life
}

// configuration adds a change that was acknowledged at once, 0.1 s after the version's number in tenths of a second.
func (p *page) configuration(version, base int64, routes map[QueueName]RouteRecord) *ConfigurationRecord {
	sent := at(float64(version) / 10)
	record := &ConfigurationRecord{Version: version, Base: base, Body: string(rune('0' + version)), Routes: routes, Alone: true,
		Whole:        Canonical([]byte(mustJSON(map[string]any{"version": version}))),
		Acknowledged: sent + at(0.05),
		Tries:        []Try{{Machine: "core-0", Sent: sent, Answered: sent + at(0.05), Status: 200}}}
	p.Configuration = append(p.Configuration, record)
	return record
}

func (p *page) read(seconds float64, version int64) {
	p.Reads = append(p.Reads, Read{At: at(seconds), Body: Canonical([]byte(mustJSON(map[string]any{"version": version})))})
}

// run adds a run that was over at `ended` (negative: it goes on) and whose end was taken note of 0.1 s later.
func (p *page) run(runner *RunnerLife, step, index int, number uint64, started, ended float64, how string) *Run {
	run := &Run{Task: TaskName{testJob, 0, step, index}, Run: number, Runner: runner, Started: at(started), Ended: Never,
		Spec: testSpec, Noted: Never}
	run.Text = run.Task.String()
	if ended >= 0 {
		run.Ended, run.How, run.Noted = at(ended), how, at(ended+0.1)
	}
	p.Runs = append(p.Runs, run)
	return run
}

// firstDone lets the first step end done at 3 s.
func (p *page) firstDone() {
	p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
	p.run(p.second, 0, 1, 1, 2, 3, protocol.EndDone)
}

func (p *page) ask(seconds float64, status int, state string) {
	p.job.Asks = append(p.job.Asks, Try{Machine: "front-0", Life: 1, Sent: at(seconds), Answered: at(seconds + 0.01),
		Status: status, State: state})
}

func (p *page) cancel(seconds float64) {
	p.job.Cancels = append(p.job.Cancels, Try{Machine: "front-0", Sent: at(seconds), Answered: at(seconds + 0.01), Status: 200})
}

func (p *page) count(seconds float64, prefix string, status int) {
	p.Counts = append(p.Counts, Count{Queue: QueueName{"h", prefix}, Try: Try{Machine: "front-0", Life: 1, Sent: at(seconds),
		Answered: at(seconds + 0.01), Status: status}})
}

func (p *page) struck(from, to float64, trouble Trouble) {
	trouble.From, trouble.To = at(from), at(to)
	p.Troubles = append(p.Troubles, trouble)
}

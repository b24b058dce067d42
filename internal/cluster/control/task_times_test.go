package control

import (
	"bytes"
	"net/http/httptest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/scheduler"
)

var _ = Describe("The time of tasks", func() {
	It("is written to the log and to the metrics by queue and wait reason", func() {
		written := &bytes.Buffer{}
		counters := newTaskTimeMetrics()
		reporter := newTaskTimeReporter(log.NewLogfmtLogger(written), counters)
		state := jobs.New(jobs.Options{})
		owner := scheduler.New(scheduler.Options{}, state)
		now := time.Second
		// step applies the owner's commands at once and sends the replies that are due.
		step := func() {
			owner.Tick(now, now.Milliseconds(), now)
			for command := owner.NextCommand(now); command != nil; command = owner.NextCommand(now) {
				owner.Applied(now, command, state.Apply(command))
			}
			owner.Flush(now)
		}
		// heartbeat sends a heartbeat of the runner and advances the time by 300 ms.
		heartbeat := func(sequence uint64, active []protocol.ActiveRun, finished ...protocol.FinishedRun) {
			owner.Heartbeat(now, &protocol.Heartbeat{Instance: "i", Service: "s", Address: "a:1", State: protocol.RunnerReady, Sequence: sequence,
				Capacity: protocol.Resources{CPU: 1000, MemoryMB: 1000}, Active: active, Finished: finished}, func(*protocol.Orders, error) {})
			step()
			now += 300 * time.Millisecond
			step()
		}
		owner.BecomeLeader(now, now.Milliseconds(), 1)
		heartbeat(1, nil)
		queue := protocol.Queue{Key: "h/q/", Service: "s", MaxAttempts: 2, TargetLatencyMs: 100}
		stage := protocol.Step{Count: 1, CPU: 100, MemoryMB: 10, EstimatedMs: 10}
		owner.Submit(now, jobs.Submit{ID: "00000000000000aa", Queue: queue, Job: protocol.JobSpec{Spec: "do", Steps: []protocol.Step{stage}}},
			func(_ bool, err error) { Expect(err).NotTo(HaveOccurred()) })
		step()
		heartbeat(2, nil)
		heartbeat(3, []protocol.ActiveRun{{Task: "00000000000000aa.0.0.0", Run: 1}})
		heartbeat(4, nil, protocol.FinishedRun{N: 1, Task: "00000000000000aa.0.0.0", Run: 1, How: protocol.EndDone})
		reporter.report(now+reportInterval, owner)
		Expect(written.String()).To(MatchRegexp(`msg="job late" job=00000000000000aa queue=h/q/ state=completed took=\d+ objective=\d+ .*order=`))
		Expect(written.String()).To(MatchRegexp(`msg="time of tasks" queue=h/q/ jobs=1 late=1 .*running=\d+`))
		response := httptest.NewRecorder()
		counters.ServeHTTP(response, httptest.NewRequestWithContext(GinkgoT().Context(), "GET", "/metrics", nil))
		Expect(response.Body.String()).To(ContainSubstring(`ospreypond_jobs_late_total{queue="h/q/"} 1`))
		Expect(response.Body.String()).To(ContainSubstring(`ospreypond_task_seconds_total{queue="h/q/",cause="running"}`))

		written.Reset()
		reporter.report(now+2*reportInterval, owner)
		Expect(written.String()).To(BeEmpty(), "no task has spent time since")
		queue.TargetLatencyMs = 100_000
		owner.Submit(now, jobs.Submit{ID: "00000000000000bb", Queue: queue, Job: protocol.JobSpec{Spec: "do", Steps: []protocol.Step{stage}}},
			func(bool, error) {})
		heartbeat(5, nil)
		heartbeat(6, nil, protocol.FinishedRun{N: 2, Task: "00000000000000bb.0.0.0", Run: 1, How: protocol.EndDone})
		reporter.report(now+3*reportInterval, owner)
		response = httptest.NewRecorder()
		counters.ServeHTTP(response, httptest.NewRequestWithContext(GinkgoT().Context(), "GET", "/metrics", nil))
		Expect(response.Body.String()).To(ContainSubstring(`ospreypond_jobs_ended_total{queue="h/q/"} 2`), "each job counts once")
	})

	It("is reported to the metrics when the ownership ends", func() {
		counters := newTaskTimeMetrics()
		shard := newJobShard(1, scheduler.Options{}, jobs.Options{}, func() int64 { return 1000 }, log.NewNopLogger(), counters)
		now := time.Second
		shard.owner.BecomeLeader(now, now.Milliseconds(), 1)
		shard.owner.Heartbeat(now, &protocol.Heartbeat{Instance: "i", Service: "s", Address: "a:1", State: protocol.RunnerReady, Sequence: 1,
			Capacity: protocol.Resources{CPU: 1000, MemoryMB: 1000}}, func(*protocol.Orders, error) {})
		stage := protocol.Step{Count: 1, CPU: 100, MemoryMB: 10, EstimatedMs: 10}
		shard.owner.Submit(now, jobs.Submit{ID: "00000000000000aa", Queue: protocol.Queue{Key: "h/q/", Service: "s"},
			Job: protocol.JobSpec{Spec: "do", Steps: []protocol.Step{stage}}}, func(bool, error) {})
		for command := shard.owner.NextCommand(now); command != nil; command = shard.owner.NextCommand(now) {
			now += 50 * time.Millisecond
			shard.owner.Applied(now, command, shard.state.Apply(command))
		}
		shard.Following()
		response := httptest.NewRecorder()
		counters.ServeHTTP(response, httptest.NewRequestWithContext(GinkgoT().Context(), "GET", "/metrics", nil))
		Expect(response.Body.String()).To(ContainSubstring(`ospreypond_task_seconds_total{queue="h/q/",cause="round"}`))
	})
})

package control

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/scheduler"
)

// accountEvery is the time between two lines of the log about where tasks' time goes.
const accountEvery = 5 * time.Second

// accountLog tells in the log where the time of tasks and of late jobs goes.
type accountLog struct {
	logger  log.Logger
	metrics *accountMetrics
	toldAt  time.Duration
	told    map[string]latency.QueueSummary // by key of the queue, as of the newest line
}

func newAccountLog(logger log.Logger, metrics *accountMetrics) accountLog {
	return accountLog{logger: logger, metrics: metrics, told: map[string]latency.QueueSummary{}}
}

// restart begins anew with a new account.
func (a *accountLog) restart(now time.Duration) {
	a.toldAt = now
	clear(a.told)
}

// tell writes a line for each job that has ended beyond its objective, and every few seconds one for each queue whose
// tasks have taken time since the last one.
func (a *accountLog) tell(now time.Duration, owner *scheduler.Owner) {
	for _, job := range owner.TakeLate() {
		_ = a.withTimes(&job.Times).Log("msg", "job late", "job", job.ID, "queue", job.Queue, "state", job.State,
			"took", job.Took.Milliseconds(), "objective", job.Objective.Milliseconds())
	}
	if now-a.toldAt >= accountEvery {
		a.toldAt = now
		a.tellQueues(owner)
	}
}

// tellQueues writes what has come since the last time. It is called for the last time before an owner ends, which takes its
// account along.
func (a *accountLog) tellQueues(owner *scheduler.Owner) {
	for key, queue := range owner.Queues() {
		since := *queue
		before := a.told[key]
		since.Tasks.Sub(&before.Tasks)
		if since.Tasks.Sum() == 0 {
			continue
		}
		a.told[key] = *queue
		since.Ended, since.Late = since.Ended-before.Ended, since.Late-before.Late
		a.metrics.add(key, &since)
		_ = a.withTimes(&since.Tasks).Log("msg", "time of tasks", "queue", key, "jobs", since.Ended, "late", since.Late)
	}
}

// withTimes returns a logger whose lines end with the causes that have a part in a time, in ms.
func (a *accountLog) withTimes(times *latency.Times) log.Logger {
	var fields []any
	for cause, span := range times {
		if ms := span.Milliseconds(); ms > 0 {
			fields = append(fields, latency.Reason(cause).String(), ms)
		}
	}
	return log.WithSuffix(level.Info(a.logger), fields...)
}

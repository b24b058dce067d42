package control

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/scheduler"
)

// reportInterval is the time between two log lines about where the time of a queue's tasks went.
const reportInterval = 5 * time.Second

// taskTimeReporter writes to the log, and adds to the metrics, where the time of tasks and of late jobs went. An owner's
// sums start at zero with its leadership, so the reporter logs differences. It is used on the engine's loop alone.
type taskTimeReporter struct {
	logger     log.Logger
	metrics    *taskTimeMetrics
	reportedAt time.Duration
	reported   map[string]latency.QueueSummary // by queue key, as of the newest line
}

func newTaskTimeReporter(logger log.Logger, metrics *taskTimeMetrics) taskTimeReporter {
	return taskTimeReporter{logger: logger, metrics: metrics, reported: map[string]latency.QueueSummary{}}
}

// restart forgets what was reported of an earlier leadership.
func (r *taskTimeReporter) restart(now time.Duration) {
	r.reportedAt = now
	clear(r.reported)
}

// report writes a line for each job that ended after its latency target and, once every reportInterval, one for each
// queue whose tasks have spent time since.
func (r *taskTimeReporter) report(now time.Duration, owner *scheduler.Owner) {
	for _, job := range owner.TakeLate() {
		_ = r.withTimes(&job.Times).Log("msg", "job late", "job", job.ID, "queue", job.Queue, "state", job.State,
			"took", job.Took.Milliseconds(), "objective", job.Objective.Milliseconds())
	}
	if now-r.reportedAt >= reportInterval {
		r.reportedAt = now
		r.reportQueues(owner)
	}
}

// reportQueues writes what was added since the previous report. It is also called when a leadership ends, because the
// owner's sums end with it.
func (r *taskTimeReporter) reportQueues(owner *scheduler.Owner) {
	for key, queue := range owner.Queues() {
		since := *queue
		before := r.reported[key]
		since.Tasks.Sub(&before.Tasks)
		if since.Tasks.Sum() == 0 {
			continue
		}
		r.reported[key] = *queue
		since.Ended, since.Late = since.Ended-before.Ended, since.Late-before.Late
		r.metrics.add(key, &since)
		_ = r.withTimes(&since.Tasks).Log("msg", "time of tasks", "queue", key, "jobs", since.Ended, "late", since.Late)
	}
}

// withTimes returns a logger whose lines end with the wait reasons that took at least a millisecond, in ms.
func (r *taskTimeReporter) withTimes(times *latency.Times) log.Logger {
	var fields []any
	for reason, span := range times {
		if ms := span.Milliseconds(); ms > 0 {
			fields = append(fields, latency.Reason(reason).String(), ms)
		}
	}
	return log.WithSuffix(level.Info(r.logger), fields...)
}

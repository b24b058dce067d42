package control

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/scheduler"
)

// reportInterval is the time between two log lines about the time of a queue's tasks.
const reportInterval = 5 * time.Second

// taskTimeReporter reports the time of tasks and of late jobs by wait reason, in the log and in the metrics. The owner has
// sums since its election, so the reporter reports their increase since the previous report. Only the engine's loop uses it.
type taskTimeReporter struct {
	logger     log.Logger
	metrics    *taskTimeMetrics
	reportedAt time.Duration                   // engine's time of the newest report of the queues
	reported   map[string]latency.QueueSummary // by queue key: the owner's sums when the queue was last reported
}

func newTaskTimeReporter(logger log.Logger, metrics *taskTimeMetrics) taskTimeReporter {
	return taskTimeReporter{logger: logger, metrics: metrics, reported: map[string]latency.QueueSummary{}}
}

// restart clears the sums of an earlier leadership. It must be called when a leadership starts, since the owner's sums start
// at zero then.
func (r *taskTimeReporter) restart(now time.Duration) {
	r.reportedAt = now
	clear(r.reported)
}

// report writes a log line for each job that took longer than its objective. Once every reportInterval it also reports the
// queues.
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

// reportQueues reports the time that tasks have spent since the previous report. For each queue with such time, it writes a
// log line and adds the time to the metrics. It must also be called when a leadership ends, because the owner's sums are
// dropped then.
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

// withTimes returns a logger that appends the time of each wait reason, in ms, to its lines. It omits times below 1 ms.
func (r *taskTimeReporter) withTimes(times *latency.Times) log.Logger {
	var fields []any
	for reason, span := range times {
		if ms := span.Milliseconds(); ms > 0 {
			fields = append(fields, latency.Reason(reason).String(), ms)
		}
	}
	return log.WithSuffix(level.Info(r.logger), fields...)
}

package control

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"ospreypond/internal/cluster/latency"
)

// taskTimeMetrics has counters of the time of tasks, by queue and wait reason, and of jobs, by queue. They cover all shards
// that this process has owned since it started. It serves them in Prometheus's text format and is safe for concurrent use.
type taskTimeMetrics struct{ set *metrics.Set }

func newTaskTimeMetrics() *taskTimeMetrics { return &taskTimeMetrics{set: metrics.NewSet()} }

// add adds the increase of a queue's sums since the previous call to the counters.
func (m *taskTimeMetrics) add(queue string, since *latency.QueueSummary) {
	for reason, span := range since.Tasks {
		if span > 0 {
			name := fmt.Sprintf("ospreypond_task_seconds_total{queue=%q,cause=%q}", queue, latency.Reason(reason).String())
			m.set.GetOrCreateFloatCounter(name).Add(span.Seconds())
		}
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("ospreypond_jobs_ended_total{queue=%q}", queue)).AddInt64(int64(since.Ended))
	m.set.GetOrCreateCounter(fmt.Sprintf("ospreypond_jobs_late_total{queue=%q}", queue)).AddInt64(int64(since.Late))
}

// ServeHTTP responds with all counters, for any path.
func (m *taskTimeMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
}

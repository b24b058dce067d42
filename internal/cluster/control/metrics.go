package control

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"ospreypond/internal/cluster/latency"
)

// accountMetrics are the sums of where tasks' time went, over all that this process owned since its start, in the text
// format of Prometheus.
type accountMetrics struct{ set *metrics.Set }

func newAccountMetrics() *accountMetrics { return &accountMetrics{set: metrics.NewSet()} }

// add counts what was summed for a queue since the last time.
func (m *accountMetrics) add(queue string, since *latency.QueueSummary) {
	for cause, span := range since.Tasks {
		if span > 0 {
			name := fmt.Sprintf("ospreypond_task_seconds_total{queue=%q,cause=%q}", queue, latency.Reason(cause).String())
			m.set.GetOrCreateFloatCounter(name).Add(span.Seconds())
		}
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("ospreypond_jobs_ended_total{queue=%q}", queue)).AddInt64(int64(since.Ended))
	m.set.GetOrCreateCounter(fmt.Sprintf("ospreypond_jobs_late_total{queue=%q}", queue)).AddInt64(int64(since.Late))
}

// ServeHTTP tells the sums.
func (m *accountMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
}

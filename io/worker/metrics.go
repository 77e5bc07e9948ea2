package worker

import "github.com/prometheus/client_golang/prometheus"

// Metrics are an agent's gauges and counters.
type Metrics struct {
	running prometheus.Gauge
	unacked prometheus.Gauge
	reports prometheus.Counter
	ignored *prometheus.CounterVec

	startCalls *prometheus.CounterVec
}

// Outcomes of a start, as counted. A refused one may have made no call.
const (
	startAnswered   = "started"
	startRefused    = "refused"
	startUnanswered = "unanswered"
)

// NewMetrics registers an agent's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		running:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "bramleythread_runs", Help: "Runs on the worker."}),
		unacked:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "bramleythread_unacknowledged_ends", Help: "Ends that the scheduler has not recorded yet."}),
		reports:    prometheus.NewCounter(prometheus.CounterOpts{Name: "bramleythread_worker_reports_total", Help: "Reports to the scheduler."}),
		ignored:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleythread_ignored_announcements_total", Help: "Announcements that were not applied, by reason."}, []string{"reason"}),
		startCalls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleythread_start_calls_total", Help: "Starts at the worker, by outcome; unanswered ones are repeated."}, []string{"outcome"}),
	}
	r.MustRegister(m.running, m.unacked, m.reports, m.ignored, m.startCalls)
	return m
}

func (m *Metrics) observe(running, unacked int) {
	m.running.Set(float64(running))
	m.unacked.Set(float64(unacked))
	m.reports.Inc()
}

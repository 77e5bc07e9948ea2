package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the scheduler's counters and histograms.
type Metrics struct {
	commits   *prometheus.HistogramVec
	rows      prometheus.Counter
	decisions *prometheus.CounterVec
}

// NewMetrics registers the scheduler's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		commits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bramleythread_commit_seconds",
			Help:    "Time until the outcome of a scheduler's transaction was known.",
			Buckets: prometheus.ExponentialBuckets(0.004, 2, 12),
		}, []string{"outcome"}),
		rows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleythread_commit_rows_total",
			Help: "Rows written by the scheduler.",
		}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleythread_job_decisions_total",
			Help: "Decisions of the scheduler on jobs.",
		}, []string{"what"}),
	}
	r.MustRegister(m.commits, m.rows, m.decisions)
	return m
}

func (m *Metrics) observeCommit(took time.Duration, rows int, err error) {
	outcome := "applied"
	if err != nil {
		outcome = "failed"
	}
	m.commits.WithLabelValues(outcome).Observe(took.Seconds())
	m.rows.Add(float64(rows))
}

// Decided counts a decision.
func (m *Metrics) Decided(what string) { m.decisions.WithLabelValues(what).Inc() }

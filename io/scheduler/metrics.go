package scheduler

import (
	"math"
	"time"

	"bramleythread/core/job"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the scheduler's counters and histograms.
type Metrics struct {
	commits   *prometheus.HistogramVec
	rows      prometheus.Counter
	decisions *prometheus.CounterVec
	waits     prometheus.Histogram
	forecasts prometheus.Histogram
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
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bramleythread_first_placement_seconds",
			Help:    "Age of a job when a task of it was placed for the first time.",
			Buckets: prometheus.ExponentialBuckets(0.008, 2, 14),
		}),
		forecasts: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bramleythread_forecast_error_ratio",
			Help:    "Run time of done tasks divided by its forecast at their placement.",
			Buckets: prometheus.ExponentialBuckets(0.125, math.Sqrt2, 13),
		}),
	}
	r.MustRegister(m.commits, m.rows, m.decisions, m.waits, m.forecasts)
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

// ObserveDecision counts a decision.
func (m *Metrics) ObserveDecision(d job.Decision) {
	m.decisions.WithLabelValues(d.Kind).Inc()
	if d.Kind == "place" && d.Run == 1 {
		m.waits.Observe(d.Age.Seconds())
	}
	if d.Took > 0 && d.Expected.Median > 0 {
		m.forecasts.Observe(d.Took.Seconds() / d.Expected.Median.Seconds())
	}
}

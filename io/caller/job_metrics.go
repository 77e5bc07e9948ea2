package caller

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// JobMetrics holds an entry's Prometheus metrics for durable jobs.
type JobMetrics struct {
	submissions *prometheus.HistogramVec
	refusals    *prometheus.CounterVec
}

// NewJobMetrics returns the metrics for durable jobs and registers them with r,
// together with the age of the catalog and of the evacuated zones.
func NewJobMetrics(r prometheus.Registerer, c *Catalog) *JobMetrics {
	m := &JobMetrics{
		submissions: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bramleythread_submission_seconds",
			Help:    "Time until a submission was answered.",
			Buckets: prometheus.ExponentialBuckets(0.004, 2, 11),
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleythread_job_refusals_total",
			Help: "Submissions that were refused, by reason.",
		}, []string{"reason"}),
	}
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bramleythread_configuration_age_seconds",
		Help: "Time since the configuration in force was known to be the newest.",
	}, func() float64 {
		_, age := c.Get()
		return age.Seconds()
	})
	r.MustRegister(m.submissions, m.refusals, age)
	registerEvacuationMetrics(r, c)
	return m
}

func (m *JobMetrics) observeSubmission(took time.Duration, err error, duplicate bool) {
	outcome := outcomeLabel(err, duplicate)
	var refused *NotAcceptedError
	if errors.As(err, &refused) {
		outcome = "not_accepted"
		m.refusals.WithLabelValues(refused.Reason).Inc()
	}
	m.submissions.WithLabelValues(outcome).Observe(took.Seconds())
}

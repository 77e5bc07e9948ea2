package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bramleythread/io/wire"
)

// secondsBuckets range from a millisecond to an hour.
var secondsBuckets = prometheus.ExponentialBucketsRange(0.001, 3600, 24)

const sampleInterval = 500 * time.Millisecond

// Metrics holds the Prometheus metrics of an entry.
type Metrics struct {
	completion    *prometheus.HistogramVec
	placement     *prometheus.HistogramVec
	inTime        *prometheus.CounterVec
	accepted      *prometheus.CounterVec
	rejected      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	preempted     prometheus.Counter
	ejections     prometheus.Counter
	storeErrors   prometheus.Counter
	queued        prometheus.Gauge
	fragmentation prometheus.Gauge
	ejected       prometheus.Gauge
	workers       prometheus.Gauge
	configVersion prometheus.Gauge
	planVersion   prometheus.Gauge
	missingHomes  prometheus.Gauge
}

// NewMetrics returns the metrics of an entry, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		completion: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bramleythread_completion_seconds",
			Help:    "Time from a request's arrival to its outcome.",
			Buckets: secondsBuckets,
		}, []string{"service", "outcome"}),
		placement: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bramleythread_queue_seconds",
			Help:    "Time from a request's arrival to each placement: head-of-line blocking shows in short services.",
			Buckets: secondsBuckets,
		}, []string{"service"}),
		inTime:   newCounterVec("bramleythread_answered_total", "Requests that have ended, by whether they ran within their deadline: service at peak load.", "customer", "in_time"),
		accepted: newCounterVec("bramleythread_requests_total", "Requests accepted.", "customer", "service"),
		rejected: newCounterVec("bramleythread_rejected_total", "Requests rejected on arrival, by reason.", "reason"),
		refusals: newCounterVec("bramleythread_refusals_total", "Placements that an agent refused, by reason.", "reason"),
		retries:  newCounterVec("bramleythread_retries_total", "Retries made, and those that the budget forbade.", "result"),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleythread_preempted_total",
			Help: "Attempts that were preempted.",
		}),
		ejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleythread_ejections_total",
			Help: "Workers ejected for their failures.",
		}),
		storeErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleythread_store_errors_total",
			Help: "Reads of the platform's store that failed.",
		}),
		queued:        newGauge("bramleythread_queued", "Requests that wait for a placement."),
		fragmentation: newGauge("bramleythread_fragmentation_ratio", "Largest block of accelerators free within one rack, over the most that one rack could have free."),
		ejected:       newGauge("bramleythread_workers_ejected", "Workers that are ejected."),
		workers:       newGauge("bramleythread_workers", "Workers in service."),
		configVersion: newGauge("bramleythread_config_version", "Version of the configuration in force."),
		planVersion:   newGauge("bramleythread_plan_version", "Version of the plan in force."),
		missingHomes:  newGauge("bramleythread_missing_homes", "Guaranteed shapes that have no home in the plan."),
	}
	r.MustRegister(m.completion, m.placement, m.inTime, m.accepted, m.rejected, m.refusals, m.retries,
		m.preempted, m.ejections, m.storeErrors, m.queued, m.fragmentation, m.ejected, m.workers,
		m.configVersion, m.planVersion, m.missingHomes)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func (m *Metrics) observePlacement(r *request, waited time.Duration) {
	m.placement.WithLabelValues(r.service.Name).Observe(waited.Seconds())
}

func (m *Metrics) observeCompletion(r *request, result *wire.Result, took time.Duration, inTime bool) {
	m.completion.WithLabelValues(r.service.Name, string(result.Outcome)).Observe(took.Seconds())
	label := "false"
	if inTime && result.Outcome == wire.OutcomeRan {
		label = "true"
	}
	m.inTime.WithLabelValues(r.customer, label).Inc()
}

// updateFleetMetrics sets the gauges of workers and queued requests, at most once
// per sampleInterval. The caller holds mu.
func (e *Entry) updateFleetMetrics(now time.Time) {
	if now.Sub(e.lastSample) < sampleInterval {
		return
	}
	e.lastSample = now
	usable, ejected := 0, 0
	for _, w := range e.sched.Workers() {
		if e.sched.Usable(w, now) {
			usable++
		}
		if w.Ejected() {
			ejected++
		}
	}
	m := e.cfg.Metrics
	m.workers.Set(float64(usable))
	m.ejected.Set(float64(ejected))
	m.queued.Set(float64(e.sched.Queued()))
	m.fragmentation.Set(e.sched.Fragmentation())
}

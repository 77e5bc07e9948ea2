package entry

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of an agent.
type Metrics struct {
	ready       prometheus.Gauge
	planVersion prometheus.Gauge
	admitted    *prometheus.CounterVec
	refused     *prometheus.CounterVec
	preempted   prometheus.Counter
	results     *prometheus.CounterVec
}

// NewMetrics creates the metrics of an agent and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		ready: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramleythread_worker_ready",
			Help: "1 while the worker takes new work.",
		}),
		planVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramleythread_worker_plan_version",
			Help: "Version of the plan that the agent enforces.",
		}),
		admitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleythread_holds_granted_total",
			Help: "Attempts and gang members admitted, by whether at home.",
		}, []string{"home"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleythread_holds_refused_total",
			Help: "Attempts and gang members refused, by reason.",
		}, []string{"reason"}),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleythread_reclaims_total",
			Help: "Tasks preempted for work in its customer's home.",
		}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleythread_attempts_total",
			Help: "Attempts that have ended, by outcome and reason.",
		}, []string{"outcome", "reason"}),
	}
	r.MustRegister(m.ready, m.planVersion, m.admitted, m.refused, m.preempted, m.results)
	return m
}

func (m *Metrics) setReady(on bool) {
	if on {
		m.ready.Set(1)
		return
	}
	m.ready.Set(0)
}

func homeLabel(home bool) string {
	if home {
		return "true"
	}
	return "false"
}

package limits

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// logInterval is the minimum time between two log lines about refusals.
const logInterval = 10 * time.Second

// metrics are the metrics of a Limiter.
type metrics struct {
	registry prometheus.Registerer
	refused  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{registry: r, refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleythread_limit_refused_total",
		Help: "Requests and connections that were refused, by the limit that was reached.",
	}, []string{"cause"})}
	if r != nil {
		r.MustRegister(m.refused)
	}
	return m
}

// addLimit exports the use of a limit and its maximum.
func (m *metrics) addLimit(name string, limit int64, inUse func() float64) {
	if m.registry == nil {
		return
	}
	labels := prometheus.Labels{"limit": name}
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleythread_limit_in_use", Help: "What clients hold of a limit.", ConstLabels: labels,
		}, inUse),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramleythread_limit_max", Help: "The value of a limit.", ConstLabels: labels,
		}, func() float64 { return float64(limit) }),
	)
}

// refusals counts refusals. It logs one line for all of an interval.
type refusals struct {
	log     zerolog.Logger
	metrics *metrics

	mu     sync.Mutex
	counts map[string]int // since the last line
	last   time.Time
}

func newRefusals(log zerolog.Logger, m *metrics) *refusals {
	return &refusals{log: log, metrics: m, counts: make(map[string]int)}
}

func (r *refusals) add(cause string) {
	r.metrics.refused.WithLabelValues(cause).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[cause]++
	now := time.Now()
	if now.Sub(r.last) < logInterval {
		return
	}
	r.last = now
	e := r.log.Warn()
	for cause, n := range r.counts {
		e = e.Int(cause, n)
	}
	e.Msg("limit_refused")
	clear(r.counts)
}

package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Health watches the calls to the platform's store. It knows whether the store
// answers, and logs each time that it is lost or regained.
type Health struct {
	store Store
	log   zerolog.Logger
	calls *prometheus.HistogramVec

	mu      sync.Mutex
	answers uint64    // counts answers
	failing time.Time // of the first failure since the last answer; zero if it answers
	tries   int       // failed since then
	answer  time.Time // newest answer
	open    map[*call]context.CancelFunc
}

// NewHealth returns the health of a store.
func NewHealth(s Store, log zerolog.Logger, r prometheus.Registerer) *Health {
	h := &Health{store: s, log: log, open: make(map[*call]context.CancelFunc), calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bramleythread_store_call_seconds",
		Help:    "Time of calls to the platform's store.",
		Buckets: prometheus.ExponentialBuckets(0.004, 2, 12),
	}, []string{"op", "outcome"})}
	r.MustRegister(h.calls)
	return h
}

// OutageDuration returns for how long the store has not answered, or ok false if it
// does.
func (h *Health) OutageDuration() (since time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing.IsZero() {
		return 0, false
	}
	return time.Since(h.failing), true
}

// SinceLastAnswer returns the time since the newest answer.
func (h *Health) SinceLastAnswer() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.answer)
}

// MonitoredStore returns the store with its calls watched.
func (h *Health) MonitoredStore() Store {
	s := h.store
	s.Get = func(ctx context.Context, key string) (Row, error) {
		ctx, start := h.begin(ctx)
		row, err := h.store.Get(ctx, key)
		h.end("get", start, err)
		return row, err
	}
	s.Scan = func(ctx context.Context, prefix string) ([]Row, error) {
		ctx, start := h.begin(ctx)
		rows, err := h.store.Scan(ctx, prefix)
		h.end("scan", start, err)
		return rows, err
	}
	s.Commit = func(ctx context.Context, t Txn) (uint64, error) {
		ctx, start := h.begin(ctx)
		revision, err := h.store.Commit(ctx, t)
		h.end("commit", start, err)
		return revision, err
	}
	s.Watch = func(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
		ctx, start := h.begin(ctx)
		c, err := h.store.Watch(ctx, table, after, wait)
		h.end("watch", start, err)
		return c, err
	}
	return s
}

// call is what is known when a call begins.
type call struct {
	at      time.Time
	answers uint64
}

func (h *Health) begin(ctx context.Context) (context.Context, *call) {
	ctx, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &call{at: time.Now(), answers: h.answers}
	h.open[c] = cancel
	return ctx, c
}

// end takes in the outcome of a call. A failure of a call that began before the
// newest answer says nothing new: a long poll may be lost with its connection.
func (h *Health) end(op string, c *call, err error) {
	outcome := "answered"
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		outcome = "failed"
	}
	h.calls.WithLabelValues(op, outcome).Observe(time.Since(c.at).Seconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[c]()
	delete(h.open, c)
	if errors.Is(err, context.Canceled) {
		return
	}
	now := time.Now()
	if outcome == "answered" {
		if !h.failing.IsZero() {
			h.log.Info().Str("op", op).Dur("after", now.Sub(h.failing)).Int("failed_calls", h.tries).Msg("store_regained")
			h.giveUp(c.at)
		}
		h.answers++
		h.failing, h.tries, h.answer = time.Time{}, 0, now
		return
	}
	if c.answers != h.answers {
		return
	}
	if h.failing.IsZero() {
		h.failing = now
		h.log.Warn().Str("op", op).Dur("took", now.Sub(c.at)).Err(err).Msg("store_lost")
	}
	h.tries++
}

// giveUp ends the calls that began before a call that has been answered after an
// outage: their own answers will not come.
func (h *Health) giveUp(before time.Time) {
	for c, cancel := range h.open {
		if c.at.Before(before) {
			cancel()
		}
	}
}

package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Health monitors the calls to the platform's store, records whether the store
// answers, and logs the start and end of each outage.
type Health struct {
	store       Store
	log         zerolog.Logger
	callSeconds *prometheus.HistogramVec

	mu           sync.Mutex
	answerCount  uint64    // number of answers so far
	failingSince time.Time // first failure after the last answer; zero if the store answers
	failedCalls  int       // since failingSince
	lastAnswer   time.Time // time of the latest answer
	openCalls    map[*call]context.CancelFunc
}

// NewHealth returns a monitor of a store and registers its metrics.
func NewHealth(s Store, log zerolog.Logger, r prometheus.Registerer) *Health {
	h := &Health{store: s, log: log, openCalls: make(map[*call]context.CancelFunc), callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bramleythread_store_call_seconds",
		Help:    "Time of calls to the platform's store.",
		Buckets: prometheus.ExponentialBuckets(0.004, 2, 12),
	}, []string{"op", "outcome"})}
	r.MustRegister(h.callSeconds)
	return h
}

// OutageDuration returns the time since the first unanswered call, with ok false
// if the store answers.
func (h *Health) OutageDuration() (duration time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failingSince.IsZero() {
		return 0, false
	}
	return time.Since(h.failingSince), true
}

// SinceLastAnswer returns the time since the store's latest answer.
func (h *Health) SinceLastAnswer() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.lastAnswer)
}

// MonitoredStore returns the store with monitored calls. Objects are not
// monitored.
func (h *Health) MonitoredStore() Store {
	s := h.store
	s.Get = func(ctx context.Context, key string) (Row, error) {
		ctx, pending := h.beginCall(ctx)
		row, err := h.store.Get(ctx, key)
		h.endCall("get", pending, err)
		return row, err
	}
	s.Scan = func(ctx context.Context, prefix string) ([]Row, error) {
		ctx, pending := h.beginCall(ctx)
		rows, err := h.store.Scan(ctx, prefix)
		h.endCall("scan", pending, err)
		return rows, err
	}
	s.Commit = func(ctx context.Context, t Txn) (uint64, error) {
		ctx, pending := h.beginCall(ctx)
		revision, err := h.store.Commit(ctx, t)
		h.endCall("commit", pending, err)
		return revision, err
	}
	s.ReadPage = func(ctx context.Context, table, after string) (Page, error) {
		ctx, pending := h.beginCall(ctx)
		p, err := h.store.ReadPage(ctx, table, after)
		h.endCall("read_page", pending, err)
		return p, err
	}
	s.Watch = func(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
		ctx, pending := h.beginCall(ctx)
		c, err := h.store.Watch(ctx, table, after, wait)
		h.endCall("watch", pending, err)
		return c, err
	}
	return s
}

// call is a call in progress.
type call struct {
	ctx               context.Context
	began             time.Time
	answerCountBefore uint64
}

func (h *Health) beginCall(ctx context.Context) (context.Context, *call) {
	ctx, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &call{ctx: ctx, began: time.Now(), answerCountBefore: h.answerCount}
	h.openCalls[c] = cancel
	return ctx, c
}

// endCall records the outcome of a call. A failure is ignored if the store has
// answered another call since the call began: a long poll may fail only because
// its connection was lost.
func (h *Health) endCall(op string, c *call, err error) {
	outcome := "answered"
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		outcome = "failed"
	}
	h.callSeconds.WithLabelValues(op, outcome).Observe(time.Since(c.began).Seconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	var idle *IdleError
	silent := errors.As(context.Cause(c.ctx), &idle)
	h.openCalls[c]()
	delete(h.openCalls, c)
	if errors.Is(err, context.Canceled) && !silent {
		return
	}
	now := time.Now()
	if outcome == "answered" {
		if !h.failingSince.IsZero() {
			h.log.Info().Str("op", op).Dur("after", now.Sub(h.failingSince)).Int("failed_calls", h.failedCalls).Msg("store_regained")
			h.cancelCallsBefore(c.began)
		}
		h.answerCount++
		h.failingSince, h.failedCalls, h.lastAnswer = time.Time{}, 0, now
		return
	}
	if c.answerCountBefore != h.answerCount {
		return
	}
	if h.failingSince.IsZero() {
		h.failingSince = now
		h.log.Warn().Str("op", op).Dur("took", now.Sub(c.began)).Err(err).Msg("store_lost")
	}
	h.failedCalls++
}

// cancelCallsBefore cancels the open calls that began before cutoff. It is
// called after an outage, when those calls will get no answer. The caller holds mu.
func (h *Health) cancelCallsBefore(cutoff time.Time) {
	for c, cancel := range h.openCalls {
		if c.began.Before(cutoff) {
			cancel()
		}
	}
}

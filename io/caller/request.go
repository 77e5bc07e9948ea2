package caller

import (
	"crypto/sha256"
	"fmt"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/schedule"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Limits on the finished requests that an entry retains.
const (
	maxFinished      = 10_000
	maxFinishedBytes = 64 << 20 // of result bodies
	maxHistory       = 40       // history lines of one request
)

// request is the state of one caller's request, from its arrival until its
// result is evicted. The entry's mutex guards all fields that change.
type request struct {
	id          string
	customer    string
	service     config.Service
	key         string            // idempotency key; may be empty if the service is repeatable
	digest      [sha256.Size]byte // of the body
	body        []byte
	contentType string
	arrived     time.Time
	deadline    time.Time
	done        chan struct{} // closed when result is set
	release     func()        // releases what the body has acquired from the limits

	attempts    int  // number of attempts that failed because of the worker or the task
	refusals    int  // number of refusals by agents
	maybeRan    bool // an earlier attempt may have run
	checkpoint  string
	cancelled   bool
	workers     []string // of the current attempt
	attempt     int      // number of the current attempt
	incarnation uint64   // identifies the process of the first worker's agent
	result      *wire.Result
	ended       time.Time
	history     []historyStep
}

// historyStep is one line of a request's history, which an operator can read.
type historyStep struct {
	After time.Duration `json:"after"` // since the request's arrival, in nanoseconds
	Text  string        `json:"text"`
}

// addHistory adds a line to the history, unless that has maxHistory lines.
func (r *request) addHistory(now time.Time, format string, args ...any) {
	if len(r.history) < maxHistory {
		r.history = append(r.history, historyStep{After: now.Sub(r.arrived), Text: fmt.Sprintf(format, args...)})
	}
}

// claimKey returns the idempotency key qualified by customer and service.
func (r *request) claimKey() string {
	return platform.ClaimKey(r.customer, r.service.Name, r.key)
}

// refusedStopping is the refusal reason of an entry that is shutting down.
const refusedStopping schedule.Refusal = "entry_is_stopping"

// accept queues a request and returns it, or the earlier request with the same
// idempotency key. refusal is the reason if the request was not accepted.
func (e *Entry) accept(r *request) (known *request, refusal schedule.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.key != "" {
		if old := e.byKey[r.claimKey()]; old != nil && !old.allowsKeyReuse() {
			return old, schedule.Accepted
		}
	}
	if e.stopping {
		return nil, refusedStopping
	}
	e.sequence++
	r.id = fmt.Sprintf("%s-%x-%d", e.cfg.Name, e.cfg.Incarnation, e.sequence)
	refusal = e.sched.Submit(schedule.Spec{
		ID:       r.id,
		Customer: r.customer,
		Service:  r.service.Name,
		Deadline: r.deadline,
	}, r.arrived)
	if refusal != schedule.Accepted {
		e.cfg.Metrics.rejected.WithLabelValues(string(refusal)).Inc()
		e.cfg.Log.Info().Str("customer", r.customer).Str("service", r.service.Name).Str("reason", string(refusal)).Msg("request_rejected")
		return nil, refusal
	}
	e.requests[r.id] = r
	if r.key != "" {
		e.byKey[r.claimKey()] = r
	}
	e.cfg.Metrics.accepted.WithLabelValues(r.customer, r.service.Name).Inc()
	e.retryBudget.deposit(e.limits().RetryPercent)
	r.addHistory(r.arrived, "queued")
	e.tick(r.arrived)
	e.cfg.Metrics.queued.Set(float64(e.sched.Queued()))
	e.wakeTimer()
	return r, schedule.Accepted
}

// allowsKeyReuse reports whether a new request with the same idempotency key is
// queued: only if this one has ended with an outcome other than ran.
func (r *request) allowsKeyReuse() bool {
	return r.result != nil && r.result.Outcome != wire.OutcomeRan
}

func (e *Entry) limits() config.Limits {
	cfg, _ := e.configCache.Config()
	if cfg == nil {
		return config.DefaultLimits()
	}
	return cfg.Limits
}

// finish sets a request's result. A not-run outcome becomes unknown if an earlier
// attempt may have run. The caller holds mu.
func (e *Entry) finish(r *request, result *wire.Result, now time.Time) {
	if r.result != nil {
		return
	}
	if result.Outcome == wire.OutcomeNotRun && r.maybeRan {
		result.Outcome = wire.OutcomeUnknown
	}
	result.Request = r.id
	r.result = result
	r.ended = now
	r.body = nil
	r.release()
	r.addHistory(now, "ended: %s %s", result.Outcome, result.Reason)
	close(r.done)
	e.retain(r)
	took := now.Sub(r.arrived)
	e.cfg.Metrics.observeCompletion(r, result, took, !now.After(r.deadline))
	e.cfg.Log.Info().
		Str("request", r.id).
		Str("customer", r.customer).
		Str("service", r.service.Name).
		Str("outcome", string(result.Outcome)).
		Str("reason", string(result.Reason)).
		Int("status", result.Status).
		Dur("took_ms", took).
		Msg("request_ended")
}

// retain keeps a finished request so that callers can query its result. The
// caller holds mu.
func (e *Entry) retain(r *request) {
	e.finished = append(e.finished, r)
	e.retainedBytes += len(r.result.Body)
	for len(e.finished) > maxFinished || e.retainedBytes > maxFinishedBytes {
		e.evictOldest()
	}
}

// evictOldest drops the oldest finished request. The caller holds mu.
func (e *Entry) evictOldest() {
	r := e.finished[0]
	e.finished[0] = nil
	e.finished = e.finished[1:]
	e.retainedBytes -= len(r.result.Body)
	delete(e.requests, r.id)
	if r.key != "" && e.byKey[r.claimKey()] == r {
		delete(e.byKey, r.claimKey())
	}
}

// expireFinished drops the finished requests that are older than the answer
// lifetime. The caller holds mu.
func (e *Entry) expireFinished(now time.Time) {
	lifetime := e.limits().AnswerLifetime
	for len(e.finished) > 0 && now.Sub(e.finished[0].ended) > lifetime {
		e.evictOldest()
	}
}

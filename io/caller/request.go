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

// Limits of the finished requests that an entry keeps.
const (
	maxFinished      = 10_000
	maxFinishedBytes = 64 << 20
	maxTrail         = 40 // lines of the explanation of one request
)

// request is one caller's request from its arrival until its result is no
// longer kept. Its fields are guarded by the entry's mutex, but for those that
// never change.
type request struct {
	id          string
	customer    string
	service     config.Service
	key         string
	digest      [sha256.Size]byte // of the body
	body        []byte
	contentType string
	arrived     time.Time
	deadline    time.Time
	done        chan struct{} // closed when result is set

	attempts    int // that ended in a failure of the worker or the task
	refusals    int // in a row
	maybeRan    bool
	checkpoint  string
	cancelled   bool
	workers     []string // of the present attempt
	attempt     int
	incarnation uint64 // of the first worker's agent
	result      *wire.Result
	ended       time.Time
	trail       []step
}

// step is one line of a request's explanation.
type step struct {
	After time.Duration `json:"after"` // since the arrival, in nanoseconds
	Text  string        `json:"text"`
}

// note adds a line to the explanation.
func (r *request) note(now time.Time, format string, args ...any) {
	if len(r.trail) < maxTrail {
		r.trail = append(r.trail, step{After: now.Sub(r.arrived), Text: fmt.Sprintf(format, args...)})
	}
}

// keyOf names the idempotency key of a request among all customers.
func (r *request) keyOf() string {
	return platform.ClaimKey(r.customer, r.service.Name, r.key)
}

// refusedStopping is the cause of a refusal by an entry that is about to end.
const refusedStopping schedule.Refusal = "entry_is_stopping"

// accept queues a request. If a request with the same key is known, that one
// is returned; refusal says why a request was not accepted.
func (e *Entry) accept(r *request) (known *request, refusal schedule.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.key != "" {
		if old := e.byKey[r.keyOf()]; old != nil && !old.mayRepeat() {
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
		e.byKey[r.keyOf()] = r
	}
	e.cfg.Metrics.accepted.WithLabelValues(r.customer, r.service.Name).Inc()
	e.budget.earn(e.limits().RetryPercent)
	r.note(r.arrived, "queued")
	e.tick(r.arrived)
	e.cfg.Metrics.queued.Set(float64(e.sched.Queued()))
	e.kick()
	return r, schedule.Accepted
}

// mayRepeat reports whether a new request with the same key starts afresh.
func (r *request) mayRepeat() bool {
	return r.result != nil && r.result.Outcome != wire.OutcomeRan
}

func (e *Entry) limits() config.Limits {
	cfg, _ := e.keeper.Config()
	if cfg == nil {
		return config.DefaultLimits()
	}
	return cfg.Limits
}

// finish sets a request's result. The caller holds mu. A request of which some
// attempt may have run never ends as not-run.
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
	r.note(now, "ended: %s %s", result.Outcome, result.Reason)
	close(r.done)
	e.keep(r)
	took := now.Sub(r.arrived)
	e.cfg.Metrics.completed(r, result, took, !now.After(r.deadline))
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

// keep keeps a finished request for callers that ask again. The caller holds
// mu.
func (e *Entry) keep(r *request) {
	e.finished = append(e.finished, r)
	e.kept += len(r.result.Body)
	for len(e.finished) > maxFinished || e.kept > maxFinishedBytes {
		e.dropOldest()
	}
}

// dropOldest forgets the oldest finished request. The caller holds mu.
func (e *Entry) dropOldest() {
	r := e.finished[0]
	e.finished[0] = nil
	e.finished = e.finished[1:]
	e.kept -= len(r.result.Body)
	delete(e.requests, r.id)
	if r.key != "" && e.byKey[r.keyOf()] == r {
		delete(e.byKey, r.keyOf())
	}
}

// expireFinished forgets the requests that have been kept long enough. The
// caller holds mu.
func (e *Entry) expireFinished(now time.Time) {
	lifetime := e.limits().AnswerLifetime
	for len(e.finished) > 0 && now.Sub(e.finished[0].ended) > lifetime {
		e.dropOldest()
	}
}

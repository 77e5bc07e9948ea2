package entry

import (
	"context"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// finish frees the resources of an attempt and publishes its result.
func (a *Agent) finish(att *attempt, r *wire.Result) {
	a.mu.Lock()
	events := a.table.Remove(att.id)
	if a.attempts[att.id] == att {
		delete(a.attempts, att.id)
	}
	r.Free = wire.Demand(a.table.Free())
	a.applyEvents(events)
	a.triggerReports(false)
	a.mu.Unlock()
	a.publishResult(att, r)
}

// publishResult sets the result of an attempt and retains it for callers that ask
// again. The result of a gang member goes to its lead only.
func (a *Agent) publishResult(att *attempt, r *wire.Result) {
	now := time.Now()
	r.Request, r.Attempt, r.Customer = att.id.Request, att.id.Attempt, att.run.Customer
	if !att.setResult(r, now) {
		return
	}
	if !att.member {
		a.mu.Lock()
		a.retain(att)
		a.mu.Unlock()
		a.saveAnswer(att, r)
	}
	a.logResult(att, r, now)
}

// setResult sets the result and reports whether it did; later calls have no
// effect.
func (att *attempt) setResult(r *wire.Result, now time.Time) bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.result != nil {
		return false
	}
	att.result = r
	att.endedAt = now
	close(att.finished)
	return true
}

func (a *Agent) logResult(att *attempt, r *wire.Result, now time.Time) {
	a.cfg.Metrics.results.WithLabelValues(string(r.Outcome), string(r.Reason)).Inc()
	a.cfg.Log.Info().
		Str("request", r.Request).
		Int("attempt", r.Attempt).
		Str("customer", att.run.Customer).
		Str("worker", a.cfg.Name).
		Str("outcome", string(r.Outcome)).
		Str("reason", string(r.Reason)).
		Int("status", r.Status).
		Dur("ran_ms", att.runTime(now)).
		Msg("attempt_ended")
}

// retain keeps a finished attempt for callers that ask for its result again. The
// caller holds mu.
func (a *Agent) retain(att *attempt) {
	a.retained = append(a.retained, att)
	a.retainedBytes += len(att.result.Body)
	for len(a.retained) > maxRetainedResults || a.retainedBytes > maxRetainedBytes {
		a.dropOldestResult()
	}
}

// dropOldestResult deletes the oldest retained attempt. The caller holds mu.
func (a *Agent) dropOldestResult() {
	att := a.retained[0]
	a.retained[0] = nil
	a.retained = a.retained[1:]
	a.retainedBytes -= len(att.result.Body)
	if a.byRequest[att.id.Request] == att {
		delete(a.byRequest, att.id.Request)
	}
	if a.byClaimKey[att.claimKey] == att {
		delete(a.byClaimKey, att.claimKey)
	}
}

// expireResults deletes the results whose lifetime has passed. The caller holds
// mu.
func (a *Agent) expireResults(now time.Time) {
	for len(a.retained) > 0 && now.Sub(a.retained[0].endedAt) > a.cfg.ResultLifetime {
		a.dropOldestResult()
	}
}

// saveAnswer writes the answer to a request that may not be repeated to the object
// store, so that it outlives this process.
func (a *Agent) saveAnswer(att *attempt, r *wire.Result) {
	if att.claimKey == "" || r.Outcome != wire.OutcomeRan {
		return
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		data, err := r.MarshalMsg(nil)
		if err != nil {
			return
		}
		for a.cfg.Store.PutObject(a.ctx, platform.AnswerKey(att.claimKey), data) != nil {
			select {
			case <-a.ctx.Done():
				return
			case <-time.After(storeTimeout):
			}
		}
	}()
}

// serveFetch returns the result that an entry asks for, by the id of the request or
// by the key of the claim that this agent holds. It returns nil if ctx ends first.
func (a *Agent) serveFetch(ctx context.Context, m *wire.FetchResult) wire.Message {
	att := a.findAttempt(m)
	if att == nil {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeUnknown, Reason: wire.ReasonUnknownRequest}
	}
	if a.awaitResult(ctx, att) == nil {
		return nil
	}
	if att.mayRetry() && m.Key != "" {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeRefused, Reason: wire.ReasonHolderGaveUp}
	}
	return att.result
}

// findAttempt returns the attempt that a fetch asks for, or nil. If the attempt has
// not arrived, it retains a tombstone, so that the attempt does not run if it
// arrives later.
func (a *Agent) findAttempt(m *wire.FetchResult) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Key != "" {
		return a.byClaimKey[platform.ClaimKey(m.Customer, m.Service, m.Key)]
	}
	att := a.byRequest[m.Request]
	if m.Attempt == 0 || att != nil && att.id.Attempt >= m.Attempt {
		return att
	}
	tombstone := newAttempt(wire.RunRequest{Request: m.Request, Attempt: m.Attempt, Repeatable: true}, "", time.Now())
	tombstone.setResult(&wire.Result{
		Request: m.Request,
		Attempt: m.Attempt,
		Outcome: wire.OutcomeRefused,
		Reason:  wire.ReasonNeverArrived,
	}, time.Now())
	a.index(tombstone)
	a.retain(tombstone)
	return tombstone
}

// serveCancel prevents a request from starting or stops it. It does not stop a
// started request that may not be repeated.
func (a *Agent) serveCancel(ctx context.Context, m *wire.CancelRequest) wire.Message {
	a.mu.Lock()
	att := a.byRequest[m.Request]
	a.mu.Unlock()
	if att == nil || att.run.Customer != m.Customer {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeUnknown, Reason: wire.ReasonUnknownRequest}
	}
	if !att.run.Repeatable && att.hasStarted() {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAlreadyStarted}
	}
	att.requestStop(wire.ReasonCancelled)
	a.mu.Lock()
	_, leads := a.gangs[att.id]
	a.mu.Unlock()
	if att.hasStarted() && !leads {
		a.stopTask(att)
	}
	return a.awaitResult(ctx, att)
}

package entry

import (
	"context"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// finish frees the resources of a work and sets its result.
func (a *Agent) finish(w *work, r *wire.Result) {
	a.mu.Lock()
	events := a.table.Remove(w.id)
	if a.works[w.id] == w {
		delete(a.works, w.id)
	}
	r.Free = wire.Demand(a.table.Free())
	a.apply(events)
	a.notify(false)
	a.mu.Unlock()
	a.settle(w, r)
}

// settle sets the result of a work and keeps it for callers that ask again. A
// member's result is its lead's alone.
func (a *Agent) settle(w *work, r *wire.Result) {
	now := time.Now()
	r.Request, r.Attempt, r.Customer = w.id.Request, w.id.Attempt, w.run.Customer
	if !w.end(r, now) {
		return
	}
	if !w.member {
		a.mu.Lock()
		a.keep(w)
		a.mu.Unlock()
		a.saveAnswer(w, r)
	}
	a.logResult(w, r, now)
}

// end sets the result; only the first call does.
func (w *work) end(r *wire.Result, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.result != nil {
		return false
	}
	w.result = r
	w.ended = now
	close(w.finished)
	return true
}

func (a *Agent) logResult(w *work, r *wire.Result, now time.Time) {
	a.cfg.Metrics.results.WithLabelValues(string(r.Outcome), string(r.Reason)).Inc()
	a.cfg.Log.Info().
		Str("request", r.Request).
		Int("attempt", r.Attempt).
		Str("customer", w.run.Customer).
		Str("worker", a.cfg.Name).
		Str("outcome", string(r.Outcome)).
		Str("reason", string(r.Reason)).
		Int("status", r.Status).
		Dur("ran_ms", w.attained(now)).
		Msg("attempt_ended")
}

// keep adds a finished work to those that callers may ask for again. The
// caller holds mu.
func (a *Agent) keep(w *work) {
	a.finished = append(a.finished, w)
	a.kept += len(w.result.Body)
	for len(a.finished) > maxResults || a.kept > maxResultBytes {
		a.dropOldest()
	}
}

// dropOldest forgets the oldest finished work. The caller holds mu.
func (a *Agent) dropOldest() {
	w := a.finished[0]
	a.finished[0] = nil
	a.finished = a.finished[1:]
	a.kept -= len(w.result.Body)
	if a.latest[w.id.Request] == w {
		delete(a.latest, w.id.Request)
	}
	if a.byKey[w.claimKey] == w {
		delete(a.byKey, w.claimKey)
	}
}

// expireResults forgets the results that have been kept long enough. The
// caller holds mu.
func (a *Agent) expireResults(now time.Time) {
	for len(a.finished) > 0 && now.Sub(a.finished[0].ended) > a.cfg.ResultLifetime {
		a.dropOldest()
	}
}

// saveAnswer puts the answer to a request that may not be repeated into the
// object store, where it outlives this process.
func (a *Agent) saveAnswer(w *work, r *wire.Result) {
	if w.claimKey == "" || r.Outcome != wire.OutcomeRan {
		return
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		data, err := r.MarshalMsg(nil)
		if err != nil {
			return
		}
		for a.cfg.Store.PutObject(a.ctx, platform.AnswerKey(w.claimKey), data) != nil {
			select {
			case <-a.ctx.Done():
				return
			case <-time.After(claimTimeout):
			}
		}
	}()
}

// serveFetch answers an entry that asks for the result of a request, by its
// id or by the claim that this agent holds.
func (a *Agent) serveFetch(ctx context.Context, m *wire.FetchResult) wire.Message {
	w := a.lookUp(m)
	if w == nil {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeUnknown, Reason: wire.ReasonUnknownRequest}
	}
	if a.await(ctx, w) == nil {
		return nil
	}
	if w.reusable() && m.Key != "" {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeRefused, Reason: wire.ReasonHolderGaveUp}
	}
	return w.result
}

// lookUp returns the work that a fetch asks for, or nil. A fetch of an attempt
// that never arrived keeps it from being run should it still arrive.
func (a *Agent) lookUp(m *wire.FetchResult) *work {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Key != "" {
		return a.byKey[platform.ClaimKey(m.Customer, m.Service, m.Key)]
	}
	w := a.latest[m.Request]
	if m.Attempt == 0 || w != nil && w.id.Attempt >= m.Attempt {
		return w
	}
	fence := newWork(wire.RunRequest{Request: m.Request, Attempt: m.Attempt, Repeatable: true}, "", time.Now())
	fence.end(&wire.Result{
		Request: m.Request,
		Attempt: m.Attempt,
		Outcome: wire.OutcomeRefused,
		Reason:  wire.ReasonNeverArrived,
	}, time.Now())
	a.remember(fence)
	a.keep(fence)
	return fence
}

// serveCancel keeps a request from starting, or stops it.
func (a *Agent) serveCancel(ctx context.Context, m *wire.CancelRequest) wire.Message {
	a.mu.Lock()
	w := a.latest[m.Request]
	a.mu.Unlock()
	if w == nil || w.run.Customer != m.Customer {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeUnknown, Reason: wire.ReasonUnknownRequest}
	}
	if !w.run.Repeatable && w.hasStarted() {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAlreadyStarted}
	}
	w.stop(wire.ReasonCancelled)
	a.mu.Lock()
	_, led := a.gangs[w.id]
	a.mu.Unlock()
	if w.hasStarted() && !led {
		a.stopTask(w)
	}
	return a.await(ctx, w)
}

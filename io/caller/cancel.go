package caller

import (
	"context"
	"net/http"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// serveDelete cancels a request.
func (e *Entry) serveDelete(w http.ResponseWriter, r *http.Request) {
	_, customer := e.authenticate(w, r)
	if customer == nil {
		return
	}
	id := r.PathValue("id")
	e.mu.Lock()
	req := e.requests[id]
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	if req == nil {
		e.serveRemoteDelete(ctx, w, id, customer.Name)
		return
	}
	if req.customer != customer.Name {
		writeNotFound(w)
		return
	}
	e.cancelRequest(req)
	select {
	case <-req.done:
		writeResult(w, id, req.result)
	case <-ctx.Done():
		writeAccepted(w, id)
	}
}

// serveRemoteDelete cancels a request that another entry accepted.
func (e *Entry) serveRemoteDelete(ctx context.Context, w http.ResponseWriter, id, customer string) {
	result := e.queryRemote(ctx, id, &wire.CancelRequest{Request: id, Customer: customer})
	switch {
	case result == nil:
		writeNotFound(w)
	case result.Outcome == wire.OutcomeRan || result.Outcome == wire.OutcomeNotRun || result.Outcome == wire.OutcomeUnknown:
		writeResult(w, id, result)
	default:
		writeAccepted(w, id)
	}
}

// answerCancel cancels a request of this entry on behalf of another entry.
func (e *Entry) answerCancel(ctx context.Context, m *wire.CancelRequest) wire.Message {
	e.mu.Lock()
	r := e.requests[m.Request]
	e.mu.Unlock()
	if r == nil || r.customer != m.Customer {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeUnknown, Reason: wire.ReasonUnknownRequest}
	}
	e.cancelRequest(r)
	return e.awaitRequest(ctx, r)
}

// cancelRequest removes a waiting request from the queue. For a placed request it
// asks the agent not to start it.
func (e *Entry) cancelRequest(r *request) {
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.result != nil || r.cancelled {
		return
	}
	r.addHistory(now, "cancelled by the caller")
	if e.sched.Cancel(r.id) {
		e.finish(r, &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonCancelled}, now)
		return
	}
	r.cancelled = true
	worker := r.workers[0]
	e.startGoroutine(func() {
		ctx, cancel := context.WithTimeout(e.ctx, lookupTimeout)
		defer cancel()
		// The result of the attempt decides the request's outcome.
		_, _ = e.pool.Call(ctx, worker, &wire.CancelRequest{Request: r.id, Customer: r.customer})
	})
	if r.key != "" && !r.service.Repeatable {
		e.startGoroutine(func() { e.cancelClaim(r) })
	}
}

// cancelClaim stores a cancelled claim for the idempotency key, so that an attempt
// that has not claimed the key yet cannot start.
func (e *Entry) cancelClaim(r *request) {
	ctx, cancel := context.WithTimeout(e.ctx, lookupTimeout)
	defer cancel()
	// If an attempt holds the claim already, the cancellation came too late.
	_ = e.claims.Cancel(ctx, r.claimKey(), platform.Claim{Token: "cancel/" + r.id, Request: r.id})
}

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
	ctx, cancel := context.WithTimeout(r.Context(), lookUpTimeout)
	defer cancel()
	if req == nil {
		e.serveDeleteElsewhere(ctx, w, id, customer.Name)
		return
	}
	if req.customer != customer.Name {
		refuseUnknown(w)
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

// serveDeleteElsewhere cancels a request that another entry took in.
func (e *Entry) serveDeleteElsewhere(ctx context.Context, w http.ResponseWriter, id, customer string) {
	result := e.askElsewhere(ctx, id, &wire.CancelRequest{Request: id, Customer: customer})
	switch {
	case result == nil:
		refuseUnknown(w)
	case result.Outcome == wire.OutcomeRan || result.Outcome == wire.OutcomeNotRun || result.Outcome == wire.OutcomeUnknown:
		writeResult(w, id, result)
	default:
		writeAccepted(w, id)
	}
}

// answerCancel cancels a request for another entry, whose caller sent it there.
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

// cancelRequest takes a waiting request out of the queue, or asks the agent
// of a placed one not to start it.
func (e *Entry) cancelRequest(r *request) {
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.result != nil || r.cancelled {
		return
	}
	r.note(now, "cancelled by the caller")
	if e.sched.Cancel(r.id) {
		e.finish(r, &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonCancelled}, now)
		return
	}
	r.cancelled = true
	worker := r.workers[0]
	e.run(func() {
		ctx, cancel := context.WithTimeout(e.ctx, lookUpTimeout)
		defer cancel()
		// The result of the attempt tells what became of it.
		_, _ = e.pool.Call(ctx, worker, &wire.CancelRequest{Request: r.id, Customer: r.customer})
	})
	if r.key != "" && !r.service.Repeatable {
		e.run(func() { e.cancelClaim(r) })
	}
}

// cancelClaim keeps an attempt that has not claimed the key from doing so.
func (e *Entry) cancelClaim(r *request) {
	ctx, cancel := context.WithTimeout(e.ctx, lookUpTimeout)
	defer cancel()
	// A claim that is held already means that the cancellation came too late.
	_ = e.claims.Cancel(ctx, r.keyOf(), platform.Claim{Token: "cancel/" + r.id, Request: r.id})
}

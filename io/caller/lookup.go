package caller

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

const (
	lookUpTimeout  = 2 * time.Second
	lookUpParallel = 16 // agents asked at a time
)

// serveGet answers with the result of a request, or 202 while it has none.
func (e *Entry) serveGet(w http.ResponseWriter, r *http.Request) {
	_, customer := e.authenticate(w, r)
	if customer == nil {
		return
	}
	id := r.PathValue("id")
	e.mu.Lock()
	req := e.requests[id]
	e.mu.Unlock()
	if req == nil {
		e.serveGetElsewhere(w, r, id, customer.Name)
		return
	}
	if req.customer != customer.Name {
		refuseUnknown(w)
		return
	}
	select {
	case <-req.done:
		writeResult(w, id, req.result)
	default:
		writeAccepted(w, id)
	}
}

func refuseUnknown(w http.ResponseWriter) {
	writeProblem(w, problem{Status: http.StatusNotFound, Detail: "no such request is known here"})
}

// serveGetElsewhere asks the entry that took the request in, and if that has
// gone, the agents.
func (e *Entry) serveGetElsewhere(w http.ResponseWriter, r *http.Request, id, customer string) {
	ctx, cancel := context.WithTimeout(r.Context(), lookUpTimeout)
	defer cancel()
	result := e.askOwner(ctx, id)
	if result == nil {
		result = e.askAgents(ctx, id)
	}
	if result == nil || result.Customer != customer {
		refuseUnknown(w)
		return
	}
	switch result.Outcome {
	case wire.Ran, wire.NotRun, wire.Unknown:
		writeResult(w, id, result)
	default:
		writeAccepted(w, id)
	}
}

// askOwner asks the entry that took the request in; nil if it does not answer.
func (e *Entry) askOwner(ctx context.Context, id string) *wire.Result {
	addr, ok := e.peers.Named(ownerOf(id))
	if !ok {
		return nil
	}
	reply, err := e.peers.Call(ctx, addr, &wire.Fetch{Request: id})
	if err != nil {
		return nil
	}
	return knownResult(reply)
}

// ownerOf returns the entry's name in a request id, which ends in the entry's
// incarnation and a number.
func ownerOf(id string) string {
	parts := strings.Split(id, "-")
	if len(parts) < 3 {
		return ""
	}
	return strings.Join(parts[:len(parts)-2], "-")
}

func knownResult(m wire.Message) *wire.Result {
	result, ok := m.(*wire.Result)
	if !ok || result.Reason == wire.ReasonUnknownTask {
		return nil
	}
	return result
}

// askAgents asks every agent for a request; nil if none knows it.
func (e *Entry) askAgents(ctx context.Context, id string) *wire.Result {
	var mu sync.Mutex
	var found *wire.Result
	slots := make(chan struct{}, lookUpParallel)
	var wg sync.WaitGroup
	for _, worker := range e.pool.Workers() {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			reply, err := e.pool.Call(ctx, worker, &wire.Fetch{Request: id})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if result := knownResult(reply); result != nil && (found == nil || result.Attempt > found.Attempt) {
				found = result
			}
		}()
	}
	wg.Wait()
	return found
}

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
	if req == nil || req.customer != customer.Name {
		refuseUnknown(w)
		return
	}
	e.cancelRequest(req)
	t := time.NewTimer(lookUpTimeout)
	defer t.Stop()
	select {
	case <-req.done:
		writeResult(w, id, req.result)
	case <-t.C:
		writeAccepted(w, id)
	}
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
		e.finish(r, &wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonCancelled}, now)
		return
	}
	r.cancelled = true
	worker := r.workers[0]
	e.run(func() {
		ctx, cancel := context.WithTimeout(e.ctx, lookUpTimeout)
		defer cancel()
		// The result of the attempt tells what became of it.
		_, _ = e.pool.Call(ctx, worker, &wire.Cancel{Request: r.id})
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

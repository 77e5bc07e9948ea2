package caller

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

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
	result := e.askElsewhere(ctx, id, &wire.FetchResult{Request: id})
	if result == nil || result.Customer != customer {
		refuseUnknown(w)
		return
	}
	switch result.Outcome {
	case wire.OutcomeRan, wire.OutcomeNotRun, wire.OutcomeUnknown:
		writeResult(w, id, result)
	default:
		writeAccepted(w, id)
	}
}

// askElsewhere asks the entry that took the request in, or if that has gone,
// the agents; nil if nobody knows the request.
func (e *Entry) askElsewhere(ctx context.Context, id string, m wire.Message) *wire.Result {
	if result := e.askOwner(ctx, id, m); result != nil {
		return result
	}
	return e.askAgents(ctx, m)
}

// askOwner asks the entry that took the request in; nil if it does not answer.
func (e *Entry) askOwner(ctx context.Context, id string, m wire.Message) *wire.Result {
	addr, ok := e.owner(id)
	if !ok {
		return nil
	}
	reply, err := e.peers.Call(ctx, addr, m)
	if err != nil {
		return nil
	}
	return knownResult(reply)
}

// owner returns the control address of the entry that took the request in. An
// entry that is not connected yet, as after a start, is connected to first.
func (e *Entry) owner(id string) (netip.AddrPort, bool) {
	name := ownerOf(id)
	if addr, ok := e.peers.AddressOf(name); ok {
		return addr, true
	}
	for _, addr := range e.entries()[1:] {
		e.askPeer(addr)
	}
	return e.peers.AddressOf(name)
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
	if !ok || result.Reason == wire.ReasonUnknownRequest {
		return nil
	}
	return result
}

// askAgents asks every agent; nil if none knows the request.
func (e *Entry) askAgents(ctx context.Context, m wire.Message) *wire.Result {
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
			reply, err := e.pool.Call(ctx, worker, m)
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

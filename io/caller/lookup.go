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
	lookupTimeout      = 2 * time.Second
	maxParallelLookups = 16 // concurrent calls to agents
)

// serveGet responds with the result of a request, or with 202 while it has none.
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
		e.serveRemoteGet(w, r, id, customer.Name)
		return
	}
	if req.customer != customer.Name {
		writeNotFound(w)
		return
	}
	select {
	case <-req.done:
		writeResult(w, id, req.result)
	default:
		writeAccepted(w, id)
	}
}

func writeNotFound(w http.ResponseWriter) {
	writeProblem(w, problem{Status: http.StatusNotFound, Detail: "no such request is known here"})
}

// serveRemoteGet responds with the result of a request that this entry does not
// know.
func (e *Entry) serveRemoteGet(w http.ResponseWriter, r *http.Request, id, customer string) {
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	result := e.queryRemote(ctx, id, &wire.FetchResult{Request: id})
	if result == nil || result.Customer != customer {
		writeNotFound(w)
		return
	}
	switch result.Outcome {
	case wire.OutcomeRan, wire.OutcomeNotRun, wire.OutcomeUnknown:
		writeResult(w, id, result)
	default:
		writeAccepted(w, id)
	}
}

// queryRemote sends m to the entry that accepted the request or, if that does not
// answer or does not know the request, to all agents. It returns nil if none knows
// the request.
func (e *Entry) queryRemote(ctx context.Context, id string, m wire.Message) *wire.Result {
	if result := e.queryOwner(ctx, id, m); result != nil {
		return result
	}
	return e.queryAgents(ctx, m)
}

// queryOwner sends m to the entry that accepted the request. It returns nil if
// that entry does not answer or does not know the request.
func (e *Entry) queryOwner(ctx context.Context, id string, m wire.Message) *wire.Result {
	addr, ok := e.ownerAddr(id)
	if !ok {
		return nil
	}
	reply, err := e.peers.Call(ctx, addr, m)
	if err != nil {
		return nil
	}
	return knownResult(reply)
}

// ownerAddr returns the control address of the entry that accepted the request.
// If this entry is not connected to it yet, as after a start, it connects to all
// entries first.
func (e *Entry) ownerAddr(id string) (netip.AddrPort, bool) {
	name := ownerName(id)
	if addr, ok := e.peers.AddressOf(name); ok {
		return addr, true
	}
	for _, addr := range e.liveEntries()[1:] {
		e.syncPeer(addr)
	}
	return e.peers.AddressOf(name)
}

// ownerName returns the entry's name from a request id, which has the form
// NAME-INCARNATION-SEQUENCE.
func ownerName(id string) string {
	parts := strings.Split(id, "-")
	if len(parts) < 3 {
		return ""
	}
	return strings.Join(parts[:len(parts)-2], "-")
}

// knownResult returns the result in a reply, or nil if the peer does not know the
// request.
func knownResult(m wire.Message) *wire.Result {
	result, ok := m.(*wire.Result)
	if !ok || result.Reason == wire.ReasonUnknownRequest {
		return nil
	}
	return result
}

// queryAgents sends m to every agent and returns the result of the latest attempt,
// or nil if none knows the request.
func (e *Entry) queryAgents(ctx context.Context, m wire.Message) *wire.Result {
	var mu sync.Mutex
	var found *wire.Result
	semaphore := make(chan struct{}, maxParallelLookups)
	var wg sync.WaitGroup
	for _, worker := range e.pool.Workers() {
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
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

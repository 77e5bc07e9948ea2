package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// awaitHolderResult waits for the result of a request whose idempotency key is
// claimed by another attempt.
func (e *Entry) awaitHolderResult(r *request, held *wire.Result) {
	e.mu.Lock()
	r.addHistory(clock(), "key is held by %s", held.HolderToken)
	e.mu.Unlock()
	for clock().Before(r.deadline) && e.ctx.Err() == nil {
		result := e.fetchFromHolder(r, held)
		switch {
		case result != nil && result.Outcome == wire.OutcomeRefused:
			e.requeue(r, "", "holder gave up", clock().Add(jitter(storeRetryDelay)))
			return
		case result != nil && result.Reason != wire.ReasonUnknownRequest:
			e.endRequest(r, result, false)
			return
		}
		if saved := e.loadSavedAnswer(r); saved != nil {
			e.endRequest(r, saved, false)
			return
		}
		if result != nil {
			// The holder is reachable but has no record of the attempt, and no
			// answer was saved.
			e.endRequest(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAgentLost}, false)
			return
		}
		time.Sleep(jitter(storeRetryDelay))
	}
	e.endRequest(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonClaimedElsewhere}, false)
}

// fetchFromHolder fetches the result from the agent that holds the claim. It
// returns nil if the agent is unreachable or its answer is corrupt.
func (e *Entry) fetchFromHolder(r *request, held *wire.Result) *wire.Result {
	worker, ok := e.pool.WorkerAt(held.Holder)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithDeadline(e.ctx, r.deadline)
	defer cancel()
	reply, err := e.pool.Call(ctx, worker, &wire.FetchResult{
		Customer: r.customer,
		Service:  r.service.Name,
		Key:      r.key,
	})
	if err != nil {
		return nil
	}
	result, ok := reply.(*wire.Result)
	if !ok || result.Outcome == wire.OutcomeRan && !digestMatches(result) {
		return nil
	}
	return result
}

// digestMatches reports whether the result's body matches its digest.
func digestMatches(result *wire.Result) bool {
	sum := sha256.Sum256(result.Body)
	return bytes.Equal(sum[:], result.Digest)
}

// loadSavedAnswer reads the answer that an agent saved in the object store, or
// returns nil if there is none.
func (e *Entry) loadSavedAnswer(r *request) *wire.Result {
	if r.key == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(e.ctx, fetchTimeout)
	defer cancel()
	data, err := e.cfg.Store.GetObject(ctx, platform.AnswerKey(r.claimKey()))
	if err != nil {
		return nil
	}
	var result wire.Result
	if _, err := result.UnmarshalMsg(data); err != nil || !digestMatches(&result) {
		return nil
	}
	return &result
}

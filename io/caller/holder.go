package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// followHolder gets the result of a request whose idempotency key another
// attempt holds.
func (e *Entry) followHolder(r *request, held *wire.Result) {
	e.mu.Lock()
	r.note(clock(), "key is held by %s", held.HolderToken)
	e.mu.Unlock()
	for clock().Before(r.deadline) && e.ctx.Err() == nil {
		result := e.askHolder(r, held)
		switch {
		case result != nil && result.Outcome == wire.OutcomeRefused:
			e.again(r, "", "holder gave up", clock().Add(jitter(storePause)))
			return
		case result != nil && result.Reason != wire.ReasonUnknownRequest:
			e.end(r, result, false)
			return
		}
		if saved := e.savedAnswer(r); saved != nil {
			e.end(r, saved, false)
			return
		}
		if result != nil {
			// The holder has lost the work, or never had it.
			e.end(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAgentLost}, false)
			return
		}
		time.Sleep(jitter(storePause))
	}
	e.end(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonClaimedElsewhere}, false)
}

// askHolder asks the agent that holds a claim; nil if it is not reached.
func (e *Entry) askHolder(r *request, held *wire.Result) *wire.Result {
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
	if !ok || result.Outcome == wire.OutcomeRan && !whole(result) {
		return nil
	}
	return result
}

func whole(result *wire.Result) bool {
	sum := sha256.Sum256(result.Body)
	return bytes.Equal(sum[:], result.Digest)
}

// savedAnswer reads the answer that an agent put into the object store; nil if
// there is none.
func (e *Entry) savedAnswer(r *request) *wire.Result {
	if r.key == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(e.ctx, fetchLimit)
	defer cancel()
	data, err := e.cfg.Store.GetObject(ctx, platform.AnswerKey(r.keyOf()))
	if err != nil {
		return nil
	}
	var result wire.Result
	if _, err := result.UnmarshalMsg(data); err != nil || !whole(&result) {
		return nil
	}
	return &result
}

package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/schedule"
	"bramleythread/io/agent"
	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// Retry, reconnect and call timing of the dispatch.
const (
	immediateRetries = 3                     // refusals of a request that are retried without a delay
	baseRetryDelay   = 10 * time.Millisecond // doubled for each refusal
	maxRetryDelay    = 500 * time.Millisecond
	storeRetryDelay  = 300 * time.Millisecond // mean delay while the store is unavailable or another attempt holds the key
	maxReconnectWait = 3 * time.Second        // for an agent of repeatable work to reconnect
	minReconnectWait = 200 * time.Millisecond // the same, for short work
	reconnectPoll    = 50 * time.Millisecond  // between attempts to fetch a result
	fetchTimeout     = 2 * time.Second        // to fetch a result, added to the deadline of the request if an agent is asked
	callMargin       = 500 * time.Millisecond // added to the deadline of a call that runs a request
	minFailureStatus = 500                    // HTTP status from which an answer counts as a failure
)

// execute executes a decision of the scheduler. The caller holds mu.
func (e *Entry) execute(d schedule.Decision, now time.Time) {
	r := e.requests[d.Job]
	if r == nil {
		return
	}
	switch d.Kind {
	case schedule.Expire:
		e.finish(r, &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonExpired}, now)
	case schedule.Preempt:
		e.preempt(r, d, now)
	default:
		e.place(r, d, now)
	}
}

// preempt preempts a request: its worker, or the lead worker of its gang, is
// asked to save a checkpoint and stop. The caller holds mu.
func (e *Entry) preempt(r *request, d schedule.Decision, now time.Time) {
	r.addHistory(now, "told to make room")
	e.cfg.Log.Info().
		Str("request", r.id).
		Int("attempt", d.Attempt).
		Str("customer", r.customer).
		Str("worker", d.Workers[0]).
		Str("reason", d.Reason).
		Msg("yielding")
	e.startGoroutine(func() {
		ctx, cancel := context.WithTimeout(e.ctx, holdCallTimeout)
		defer cancel()
		// If the call fails the work goes on, which is harmless.
		_, _ = e.pool.Call(ctx, d.Workers[0], &wire.StopMember{Request: r.id, Attempt: d.Attempt, Reason: wire.ReasonPreempted})
	})
}

// place starts the dispatch of a request to its assigned workers. The caller
// holds mu.
func (e *Entry) place(r *request, d schedule.Decision, now time.Time) {
	r.workers, r.attempt = d.Workers, d.Attempt
	r.incarnation, _ = e.pool.Incarnation(d.Workers[0])
	e.recordPlacement(r, d, now)
	m := e.runMessage(r, d, now)
	e.startGoroutine(func() { e.dispatch(r, m, d) })
}

// recordPlacement adds a placement to the request's history, the metrics and the
// log.
func (e *Entry) recordPlacement(r *request, d schedule.Decision, now time.Time) {
	workers := strings.Join(d.Workers, ",")
	r.addHistory(now, "placed on %s: %s", workers, d.Reason)
	e.cfg.Metrics.observePlacement(r, now.Sub(r.arrived))
	e.cfg.Log.Info().
		Str("request", r.id).
		Int("attempt", d.Attempt).
		Str("customer", r.customer).
		Str("service", r.service.Name).
		Str("worker", workers).
		Str("reason", d.Reason).
		Dur("waited_ms", now.Sub(r.arrived)).
		Msg("placed")
}

func (e *Entry) runMessage(r *request, d schedule.Decision, now time.Time) *wire.RunRequest {
	shape := e.sched.Shape(d.Job)
	return &wire.RunRequest{
		Request:     r.id,
		Attempt:     d.Attempt,
		Customer:    r.customer,
		Service:     r.service.Name,
		Key:         r.key,
		Repeatable:  r.service.Repeatable,
		Demand:      wire.Demand(shape.Demand),
		Home:        d.Home,
		Guest:       d.Guest,
		Timeout:     r.deadline.Sub(now),
		Grace:       r.service.Grace,
		ContentType: r.contentType,
		Checkpoint:  r.checkpoint,
		Body:        r.body,
	}
}

// dispatch sends one attempt to its workers and handles the reply.
func (e *Entry) dispatch(r *request, m *wire.RunRequest, d schedule.Decision) {
	ctx, cancel := context.WithDeadline(e.ctx, r.deadline.Add(callMargin))
	defer cancel()
	var reply wire.Message
	var err error
	worker := d.Workers[0]
	if len(d.Workers) == 1 {
		reply, err = e.pool.Call(ctx, worker, m)
	} else {
		reply, err = e.callGang(ctx, r, m, d.Workers)
	}
	if err != nil {
		e.handleLostReply(r, worker, err)
		return
	}
	result, ok := reply.(*wire.Result)
	if !ok {
		e.handleLostReply(r, worker, &frame.ClosedError{Peer: worker, Sent: true, Cause: &wire.UnknownKindError{Kind: reply.Kind()}})
		return
	}
	e.handleResult(r, worker, result)
}

// handleResult handles the result of an attempt.
func (e *Entry) handleResult(r *request, worker string, result *wire.Result) {
	switch result.Outcome {
	case wire.OutcomeRan:
		e.handleRan(r, worker, result)
	case wire.OutcomeRefused:
		e.handleRefused(r, worker, result)
	case wire.OutcomePreempted:
		e.handlePreempted(r, worker, result)
	case wire.OutcomeHeldBy:
		e.awaitHolderResult(r, result)
	default:
		e.endRequest(r, result, false)
	}
}

// endRequest ends a request. If succeeded is set, the scheduler adds its run time
// to the service's estimate.
func (e *Entry) endRequest(r *request, result *wire.Result, succeeded bool) {
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.FinishJob(r.id, succeeded, now)
	e.finish(r, result, now)
	e.tick(now)
}

func (e *Entry) handleRan(r *request, worker string, result *wire.Result) {
	if !digestMatches(result) {
		e.recoverResult(r, worker, wire.ReasonDigestMismatch)
		return
	}
	if result.Status >= minFailureStatus {
		e.handleFailed(r, worker, result)
		return
	}
	e.mu.Lock()
	for _, w := range r.workers {
		e.sched.WorkerSucceeded(w)
	}
	e.mu.Unlock()
	e.endRequest(r, result, true)
}

// handleFailed handles an intact answer with a failure status. Repeatable work is
// retried on another worker while attempts and retry budget remain.
func (e *Entry) handleFailed(r *request, worker string, result *wire.Result) {
	e.recordFailure(r, worker, "status")
	if !r.service.Repeatable || !e.hasOtherWorker(r, worker) || !e.mayRetry(r) {
		e.endRequest(r, result, false)
		return
	}
	e.requeue(r, worker, "upstream failed", clock())
}

// hasOtherWorker excludes the worker on which a request failed, and reports whether
// it can be placed on another. A request that has failed on every worker is not
// worth a wait and is not retried.
func (e *Entry) hasOtherWorker(r *request, worker string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.Exclude(r.id, worker)
	return e.sched.HasEligibleWorkers(r.id, clock())
}

// recordFailure counts a failed attempt against the request and its worker, which
// may eject the worker.
func (e *Entry) recordFailure(r *request, worker, cause string) {
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	r.attempts++
	r.addHistory(now, "failed on %s: %s", worker, cause)
	if e.sched.WorkerFailed(worker, now) {
		e.cfg.Metrics.ejections.Inc()
		e.cfg.Log.Warn().Str("worker", worker).Str("reason", cause).Msg("worker_ejected")
	}
}

// mayRetry reports whether a request may be retried: it has attempts and time
// left, and a retry could be taken from the shared budget.
func (e *Entry) mayRetry(r *request) bool {
	e.mu.Lock()
	attempts := r.attempts
	e.mu.Unlock()
	if attempts >= e.limits().Attempts || !clock().Before(r.deadline) {
		return false
	}
	if !e.retryBudget.tryWithdraw() {
		e.cfg.Metrics.retries.WithLabelValues("budget_exhausted").Inc()
		return false
	}
	e.cfg.Metrics.retries.WithLabelValues("retried").Inc()
	return true
}

// requeue queues a request for another attempt at the given time, excluding the
// given worker.
func (e *Entry) requeue(r *request, worker, cause string, at time.Time) {
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endCancelled(r, now) {
		return
	}
	r.addHistory(now, "queued again: %s", cause)
	e.sched.Exclude(r.id, worker)
	e.sched.Retry(r.id, at)
	e.tick(now)
	e.wakeTimer()
}

// endCancelled ends a request that was cancelled while an attempt was being
// dispatched, and reports whether it did. The caller holds mu.
func (e *Entry) endCancelled(r *request, now time.Time) bool {
	if !r.cancelled {
		return false
	}
	e.sched.FinishJob(r.id, false, now)
	e.finish(r, &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonCancelled}, now)
	e.tick(now)
	return true
}

// handleRefused schedules a new placement of a request that an agent refused.
func (e *Entry) handleRefused(r *request, worker string, result *wire.Result) {
	now := clock()
	e.cfg.Metrics.refusals.WithLabelValues(string(result.Reason)).Inc()
	if result.Reason == wire.ReasonUpstreamError {
		e.recordFailure(r, worker, "task not started")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endCancelled(r, now) {
		return
	}
	r.refusals++
	r.addHistory(now, "refused by %s: %s", worker, result.Reason)
	switch {
	case result.Reason == wire.ReasonStoreUnavailable:
		e.sched.Retry(r.id, now.Add(jitter(storeRetryDelay)))
	case r.refusals > immediateRetries:
		e.sched.Retry(r.id, now.Add(jitter(backoff(r.refusals-immediateRetries))))
	default:
		e.sched.RequeueRefused(r.id, worker, e.reportedFree(result), now)
	}
	e.tick(now)
	e.wakeTimer()
}

// reportedFree returns the worker's free resources as reported with a refusal, or
// nil if the refusal reason does not include them.
func (e *Entry) reportedFree(result *wire.Result) *config.Demand {
	if result.Reason != wire.ReasonBusy && result.Reason != wire.ReasonStalePlan {
		return nil
	}
	free := configDemand(result.Free)
	return &free
}

// backoff returns the delay after the nth refusal that is not retried
// immediately: baseRetryDelay doubled n times, at most maxRetryDelay.
func backoff(n int) time.Duration {
	return min(baseRetryDelay<<min(n, 10), maxRetryDelay)
}

// jitter returns a random duration from d/2 up to 3d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// handlePreempted queues a preempted request again, with its checkpoint. A
// preemption because of an upstream error counts as a failed attempt.
func (e *Entry) handlePreempted(r *request, worker string, result *wire.Result) {
	now := clock()
	if result.Reason == wire.ReasonUpstreamError {
		e.recordFailure(r, worker, "answer lost")
		e.mu.Lock()
		r.maybeRan = true
		e.mu.Unlock()
		if !e.mayRetry(r) {
			e.endRequest(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAttemptsExhausted}, false)
			return
		}
	}
	if result.Reason == wire.ReasonExpired {
		e.endRequest(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonExpired}, false)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.checkpoint = result.Checkpoint
	r.maybeRan = r.maybeRan || result.Started
	if result.Reason == wire.ReasonUpstreamError {
		e.sched.Exclude(r.id, worker) // its agent may not have detected yet that the upstream is down
	}
	r.addHistory(now, "preempted on %s: %s", worker, result.Reason)
	e.cfg.Metrics.preempted.Inc()
	e.sched.RequeuePreempted(r.id, now)
	e.tick(now)
	e.wakeTimer()
}

// handleLostReply handles an attempt whose call failed. If it was never sent, it
// counts as refused.
func (e *Entry) handleLostReply(r *request, worker string, err error) {
	var notConnected *agent.NotConnectedError
	var closed *frame.ClosedError
	if errors.As(err, &notConnected) || errors.As(err, &closed) && !closed.Sent {
		e.handleRefused(r, worker, &wire.Result{Reason: wire.ReasonAgentLost})
		return
	}
	e.recoverResult(r, worker, wire.ReasonAgentLost)
}

// recoverResult determines the result of an attempt that may have run. It polls
// the worker's agent until that has restarted, and so lost the attempt, or until
// time is up.
func (e *Entry) recoverResult(r *request, worker string, cause wire.Reason) {
	e.mu.Lock()
	attempt, incarnation := r.attempt, r.incarnation
	r.addHistory(clock(), "reply of %s lost: %s", worker, cause)
	// Waiting longer than the expected run time costs more than a rerun.
	wait := min(max(e.sched.ExpectedRunTime(r.service.Name), minReconnectWait), maxReconnectWait)
	e.mu.Unlock()
	end := clock().Add(wait)
	if !r.service.Repeatable {
		end = r.deadline
	}
	for clock().Before(end) && e.ctx.Err() == nil {
		if now, ok := e.pool.Incarnation(worker); ok && now != incarnation {
			break
		}
		if result := e.fetchResult(r, worker, attempt); result != nil {
			e.handleResult(r, worker, result)
			return
		}
		time.Sleep(reconnectPoll)
	}
	e.abandonAttempt(r, worker, cause)
}

// fetchResult fetches the result of an attempt from an agent, or returns nil if
// there is no valid one.
func (e *Entry) fetchResult(r *request, worker string, attempt int) *wire.Result {
	ctx, cancel := context.WithDeadline(e.ctx, r.deadline.Add(fetchTimeout))
	defer cancel()
	reply, err := e.pool.Call(ctx, worker, &wire.FetchResult{Request: r.id, Attempt: attempt})
	if err != nil {
		return nil
	}
	result, ok := reply.(*wire.Result)
	if !ok || result.Reason == wire.ReasonUnknownRequest {
		return nil
	}
	if result.Outcome == wire.OutcomeRan && !digestMatches(result) {
		return nil
	}
	return result
}

// abandonAttempt ends an attempt whose result cannot be recovered.
func (e *Entry) abandonAttempt(r *request, worker string, cause wire.Reason) {
	e.mu.Lock()
	r.maybeRan = true
	r.attempts++
	e.mu.Unlock()
	if r.service.Repeatable && e.mayRetry(r) {
		e.requeue(r, worker, "agent lost", clock())
		return
	}
	if !r.service.Repeatable {
		if result := e.loadSavedAnswer(r); result != nil {
			e.endRequest(r, result, false)
			return
		}
	}
	e.endRequest(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: cause}, false)
}

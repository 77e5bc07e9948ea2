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

// Waits of the dispatch.
const (
	freeRefusals   = 3 // refusals in a row that are placed again at once
	firstPause     = 10 * time.Millisecond
	maxPause       = 500 * time.Millisecond
	storePause     = 300 * time.Millisecond
	reconnectLimit = 3 * time.Second        // for a lost agent to come back
	reconnectFloor = 200 * time.Millisecond // the same, for short work
	reconnectPoll  = 50 * time.Millisecond
	fetchLimit     = 2 * time.Second // beyond the deadline, for a result
	callMargin     = 500 * time.Millisecond
	failedStatus   = 500
)

// carryOut does what the scheduler decided. The caller holds mu.
func (e *Entry) carryOut(d schedule.Decision, now time.Time) {
	r := e.requests[d.Job]
	if r == nil {
		return
	}
	switch d.Kind {
	case schedule.Expire:
		e.finish(r, &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonExpired}, now)
	case schedule.Preempt:
		e.yield(r, d, now)
	default:
		e.place(r, d, now)
	}
}

// yield asks a request's worker, or its gang's lead, to save its state and
// make room. The caller holds mu.
func (e *Entry) yield(r *request, d schedule.Decision, now time.Time) {
	r.note(now, "told to make room")
	e.cfg.Log.Info().
		Str("request", r.id).
		Int("attempt", d.Attempt).
		Str("customer", r.customer).
		Str("worker", d.Workers[0]).
		Str("reason", d.Reason).
		Msg("yielding")
	e.run(func() {
		ctx, cancel := context.WithTimeout(e.ctx, holdTimeout)
		defer cancel()
		// Without an answer the work goes on, which does no harm.
		_, _ = e.pool.Call(ctx, d.Workers[0], &wire.StopMember{Request: r.id, Attempt: d.Attempt, Reason: wire.ReasonPreempted})
	})
}

// place sends a placed request to its workers. The caller holds mu.
func (e *Entry) place(r *request, d schedule.Decision, now time.Time) {
	r.workers, r.attempt = d.Workers, d.Attempt
	r.incarnation, _ = e.pool.Incarnation(d.Workers[0])
	e.logPlacement(r, d, now)
	m := e.runMessage(r, d, now)
	e.run(func() { e.dispatch(r, m, d) })
}

func (e *Entry) logPlacement(r *request, d schedule.Decision, now time.Time) {
	workers := strings.Join(d.Workers, ",")
	r.note(now, "placed on %s: %s", workers, d.Reason)
	e.cfg.Metrics.placed(r, now.Sub(r.arrived))
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

// dispatch sends one attempt to its workers and deals with what comes back.
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
		e.lost(r, worker, err)
		return
	}
	result, ok := reply.(*wire.Result)
	if !ok {
		e.lost(r, worker, &frame.ClosedError{Peer: worker, Sent: true, Cause: &wire.UnknownKindError{Kind: reply.Kind()}})
		return
	}
	e.settle(r, worker, result)
}

// settle deals with the result of an attempt.
func (e *Entry) settle(r *request, worker string, result *wire.Result) {
	switch result.Outcome {
	case wire.OutcomeRan:
		e.settleRan(r, worker, result)
	case wire.OutcomeRefused:
		e.settleRefused(r, worker, result)
	case wire.OutcomePreempted:
		e.settlePreempted(r, worker, result)
	case wire.OutcomeHeldBy:
		e.followHolder(r, result)
	default:
		e.end(r, result, false)
	}
}

// end ends a request; the run time of one that has ended well is learned from.
func (e *Entry) end(r *request, result *wire.Result, well bool) {
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.FinishJob(r.id, well, now)
	e.finish(r, result, now)
	e.tick(now)
}

func (e *Entry) settleRan(r *request, worker string, result *wire.Result) {
	if !whole(result) {
		e.recover(r, worker, wire.ReasonDigestMismatch)
		return
	}
	if result.Status >= failedStatus {
		e.settleFailed(r, worker, result)
		return
	}
	e.mu.Lock()
	for _, w := range r.workers {
		e.sched.WorkerSucceeded(w)
	}
	e.mu.Unlock()
	e.end(r, result, true)
}

// settleFailed deals with a whole answer that tells of a failure. Repeatable
// work is tried on another worker while attempts and budget last.
func (e *Entry) settleFailed(r *request, worker string, result *wire.Result) {
	e.blame(r, worker, "status")
	if !r.service.Repeatable || !e.hasOther(r, worker) || !e.mayRetry(r) {
		e.end(r, result, false)
		return
	}
	e.again(r, worker, "upstream failed", clock())
}

// hasOther reports whether a request can be placed off the worker that it
// failed on. One that has failed on every worker is not worth a wait.
func (e *Entry) hasOther(r *request, worker string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.Exclude(r.id, worker)
	return e.sched.HasEligibleWorkers(r.id, clock())
}

// blame counts a failure of a worker.
func (e *Entry) blame(r *request, worker, cause string) {
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	r.attempts++
	r.note(now, "failed on %s: %s", worker, cause)
	if e.sched.WorkerFailed(worker, now) {
		e.cfg.Metrics.ejections.Inc()
		e.cfg.Log.Warn().Str("worker", worker).Str("reason", cause).Msg("worker_ejected")
	}
}

// mayRetry takes a retry from the request and from the shared budget.
func (e *Entry) mayRetry(r *request) bool {
	e.mu.Lock()
	attempts := r.attempts
	e.mu.Unlock()
	if attempts >= e.limits().Attempts || !clock().Before(r.deadline) {
		return false
	}
	if !e.budget.spend() {
		e.cfg.Metrics.retries.WithLabelValues("budget_exhausted").Inc()
		return false
	}
	e.cfg.Metrics.retries.WithLabelValues("retried").Inc()
	return true
}

// again queues a request for another attempt, off the worker named.
func (e *Entry) again(r *request, worker, cause string, at time.Time) {
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endCancelled(r, now) {
		return
	}
	r.note(now, "queued again: %s", cause)
	e.sched.Exclude(r.id, worker)
	e.sched.Retry(r.id, at)
	e.tick(now)
	e.kick()
}

// endCancelled ends a request that was cancelled while an attempt was on its
// way. The caller holds mu.
func (e *Entry) endCancelled(r *request, now time.Time) bool {
	if !r.cancelled {
		return false
	}
	e.sched.FinishJob(r.id, false, now)
	e.finish(r, &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonCancelled}, now)
	e.tick(now)
	return true
}

// settleRefused places a request again that an agent did not take.
func (e *Entry) settleRefused(r *request, worker string, result *wire.Result) {
	now := clock()
	e.cfg.Metrics.refusals.WithLabelValues(string(result.Reason)).Inc()
	if result.Reason == wire.ReasonUpstreamError {
		e.blame(r, worker, "task not started")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endCancelled(r, now) {
		return
	}
	r.refusals++
	r.note(now, "refused by %s: %s", worker, result.Reason)
	switch {
	case result.Reason == wire.ReasonStoreUnavailable:
		e.sched.Retry(r.id, now.Add(jitter(storePause)))
	case r.refusals > freeRefusals:
		e.sched.Retry(r.id, now.Add(jitter(pause(r.refusals-freeRefusals))))
	default:
		e.sched.RequeueRefused(r.id, worker, e.freeAfter(result), now)
	}
	e.tick(now)
	e.kick()
}

// freeAfter returns the free state that came with a refusal, if it did.
func (e *Entry) freeAfter(result *wire.Result) *config.Demand {
	if result.Reason != wire.ReasonBusy && result.Reason != wire.ReasonStalePlan {
		return nil
	}
	free := demand(result.Free)
	return &free
}

// pause doubles with each refusal.
func pause(n int) time.Duration {
	return min(firstPause<<min(n, 10), maxPause)
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// settlePreempted queues a request again whose work was stopped.
func (e *Entry) settlePreempted(r *request, worker string, result *wire.Result) {
	now := clock()
	if result.Reason == wire.ReasonUpstreamError {
		e.blame(r, worker, "answer lost")
		e.mu.Lock()
		r.maybeRan = true
		e.mu.Unlock()
		if !e.mayRetry(r) {
			e.end(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAttemptsExhausted}, false)
			return
		}
	}
	if result.Reason == wire.ReasonExpired {
		e.end(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonExpired}, false)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.checkpoint = result.Checkpoint
	r.maybeRan = r.maybeRan || result.Started
	if result.Reason == wire.ReasonUpstreamError {
		e.sched.Exclude(r.id, worker) // its agent may not know yet that the upstream is down
	}
	r.note(now, "preempted on %s: %s", worker, result.Reason)
	e.cfg.Metrics.preempted.Inc()
	e.sched.RequeuePreempted(r.id, now)
	e.tick(now)
	e.kick()
}

// lost deals with an attempt whose reply did not arrive.
func (e *Entry) lost(r *request, worker string, err error) {
	var none *agent.NotConnectedError
	var closed *frame.ClosedError
	if errors.As(err, &none) || errors.As(err, &closed) && !closed.Sent {
		e.settleRefused(r, worker, &wire.Result{Reason: wire.ReasonAgentLost})
		return
	}
	e.recover(r, worker, wire.ReasonAgentLost)
}

// recover finds out what became of an attempt that may have run. It asks the
// worker's agent again until the agent is known to have lost the attempt.
func (e *Entry) recover(r *request, worker string, cause wire.Reason) {
	e.mu.Lock()
	attempt, incarnation := r.attempt, r.incarnation
	r.note(clock(), "reply of %s lost: %s", worker, cause)
	// Work is not worth a longer wait than its own run time.
	wait := min(max(e.sched.ExpectedRunTime(r.service.Name), reconnectFloor), reconnectLimit)
	e.mu.Unlock()
	end := clock().Add(wait)
	if !r.service.Repeatable {
		end = r.deadline
	}
	for clock().Before(end) && e.ctx.Err() == nil {
		if now, ok := e.pool.Incarnation(worker); ok && now != incarnation {
			break
		}
		if result := e.refetch(r, worker, attempt); result != nil {
			e.settle(r, worker, result)
			return
		}
		time.Sleep(reconnectPoll)
	}
	e.giveUp(r, worker, cause)
}

// refetch asks an agent for the result of an attempt; nil if it does not say.
func (e *Entry) refetch(r *request, worker string, attempt int) *wire.Result {
	ctx, cancel := context.WithDeadline(e.ctx, r.deadline.Add(fetchLimit))
	defer cancel()
	reply, err := e.pool.Call(ctx, worker, &wire.FetchResult{Request: r.id, Attempt: attempt})
	if err != nil {
		return nil
	}
	result, ok := reply.(*wire.Result)
	if !ok || result.Reason == wire.ReasonUnknownRequest {
		return nil
	}
	if result.Outcome == wire.OutcomeRan && !whole(result) {
		return nil
	}
	return result
}

// giveUp ends an attempt whose result is lost for good.
func (e *Entry) giveUp(r *request, worker string, cause wire.Reason) {
	e.mu.Lock()
	r.maybeRan = true
	r.attempts++
	e.mu.Unlock()
	if r.service.Repeatable && e.mayRetry(r) {
		e.again(r, worker, "agent lost", clock())
		return
	}
	if !r.service.Repeatable {
		if result := e.savedAnswer(r); result != nil {
			e.end(r, result, false)
			return
		}
	}
	e.end(r, &wire.Result{Outcome: wire.OutcomeUnknown, Reason: cause}, false)
}

package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/worker"
	"bramleythread/io/upstream"
	"bramleythread/io/wire"
)

// serveRun admits a request and returns its result.
func (a *Agent) serveRun(ctx context.Context, entry string, m *wire.RunRequest) wire.Message {
	att, refused := a.admitRun(entry, m)
	if refused != nil {
		return refused
	}
	return a.awaitResult(ctx, att)
}

// awaitResult returns the result of an attempt, or nil if ctx ends first.
func (a *Agent) awaitResult(ctx context.Context, att *attempt) wire.Message {
	select {
	case <-att.finished:
		return att.result
	case <-ctx.Done():
		return nil
	}
}

// admitRun admits or refuses a run. If the same attempt, or one with the same
// idempotency key, is known already, it returns that one.
func (a *Agent) admitRun(entry string, m *wire.RunRequest) (*attempt, *wire.Result) {
	now := time.Now()
	att := newAttempt(*m, entry, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.duplicateOf(att); known != nil {
		return known, nil
	}
	if known := a.byRequest[att.id.Request]; known != nil && known.id.Attempt > att.id.Attempt {
		return nil, a.refuse(att, worker.Duplicate)
	}
	admission := a.table.Admit(worker.AdmitRequest{
		ID:        att.id,
		Entry:     entry,
		Customer:  m.Customer,
		Demand:    config.Demand(m.Demand),
		HomeShape: m.Home,
		Guest:     m.Guest,
	}, now)
	if admission.Refusal != worker.Admitted {
		return nil, a.refuse(att, admission.Refusal)
	}
	a.insert(att, admission)
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.execute(att)
	}()
	return att, nil
}

// duplicateOf returns the known attempt that att duplicates, or nil. The caller
// holds mu.
func (a *Agent) duplicateOf(att *attempt) *attempt {
	if known := a.attempts[att.id]; known != nil {
		return known
	}
	return a.latestDuplicate(att)
}

// latestDuplicate returns the latest attempt at the request if its id is that of
// att, otherwise the latest attempt with the same key unless that attempt permits
// another one, otherwise nil. The caller holds mu.
func (a *Agent) latestDuplicate(att *attempt) *attempt {
	if known := a.byRequest[att.id.Request]; known != nil && known.id == att.id {
		return known
	}
	if att.claimKey == "" {
		return nil
	}
	known := a.byClaimKey[att.claimKey]
	if known == nil || known.mayRetry() {
		return nil
	}
	return known
}

// mayRetry reports whether the attempt has finished with a result that permits
// another attempt with its key.
func (att *attempt) mayRetry() bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.result == nil {
		return false
	}
	switch att.result.Outcome {
	case wire.OutcomeRefused, wire.OutcomePreempted, wire.OutcomeNotRun, wire.OutcomeHeldBy:
		return true
	default:
		return false
	}
}

// insert adds an admitted attempt and preempts its victims. The caller holds mu.
func (a *Agent) insert(att *attempt, admission worker.AdmitResult) {
	a.attempts[att.id] = att
	if !att.member {
		a.index(att)
	}
	if admission.Ready {
		att.setReady()
	}
	for _, id := range admission.Victims {
		if v := a.attempts[id]; v != nil {
			a.preempt(v)
		}
	}
	a.cfg.Log.Info().
		Str("request", att.id.Request).
		Int("attempt", att.id.Attempt).
		Str("customer", att.run.Customer).
		Str("worker", a.cfg.Name).
		Str("home", att.run.Home).
		Int("preempted", len(admission.Victims)).
		Msg("admitted")
	a.cfg.Metrics.admitted.WithLabelValues(homeLabel(att.run.Home != "")).Inc()
	a.triggerReports(false)
}

// index makes an attempt findable by its request and its key. The caller holds mu.
func (a *Agent) index(att *attempt) {
	a.byRequest[att.id.Request] = att
	if att.claimKey != "" {
		a.byClaimKey[att.claimKey] = att
	}
}

// refuse logs and counts a refused attempt and returns its result. The caller
// holds mu.
func (a *Agent) refuse(att *attempt, cause worker.Refusal) *wire.Result {
	reason := refusalReason(cause, a.draining)
	a.cfg.Metrics.refused.WithLabelValues(string(reason)).Inc()
	a.cfg.Log.Info().
		Str("request", att.id.Request).
		Int("attempt", att.id.Attempt).
		Str("customer", att.run.Customer).
		Str("worker", a.cfg.Name).
		Str("reason", string(reason)).
		Msg("refused")
	return &wire.Result{
		Request: att.id.Request,
		Attempt: att.id.Attempt,
		Outcome: wire.OutcomeRefused,
		Reason:  reason,
		Free:    wire.Demand(a.table.Free()),
	}
}

func refusalReason(cause worker.Refusal, draining bool) wire.Reason {
	switch cause {
	case worker.NotAccepting:
		if draining {
			return wire.ReasonDraining
		}
		return wire.ReasonNoUpstream
	case worker.HomeFull:
		return wire.ReasonStalePlan
	default:
		return wire.ReasonBusy
	}
}

// execute runs an admitted attempt until it finishes.
func (a *Agent) execute(att *attempt) {
	if reason := a.waitReady(att); reason != wire.ReasonNone {
		a.finish(att, notStartedResult(reason))
		return
	}
	if result := a.acquireClaim(att); result != nil {
		a.finish(att, result)
		return
	}
	if reason, ok := a.startAttempt(att); !ok {
		a.reopenClaim(att, att.run.Checkpoint)
		a.finish(att, notStartedResult(reason))
		return
	}
	answer, err := a.runTask(att, func(ctx context.Context, t upstream.TaskRunner) (upstream.Answer, error) {
		return t.Run(ctx, a.upstreamTask(att, upstreamLease))
	})
	a.finish(att, a.resultOf(att, answer, err))
}

// waitReady waits until the attempt has its resources. It returns the reason if
// the attempt ends before that, and ReasonNone otherwise.
func (a *Agent) waitReady(att *attempt) wire.Reason {
	t := time.NewTimer(time.Until(att.deadline))
	defer t.Stop()
	select {
	case <-att.stopRequested:
		return att.stopReason()
	case <-t.C:
		return wire.ReasonExpired
	case <-a.ctx.Done():
		return wire.ReasonShutdown
	case <-att.ready:
		return wire.ReasonNone
	}
}

// startAttempt marks the attempt as started, in the table too. It returns false
// and the reason if the attempt must not start.
func (a *Agent) startAttempt(att *attempt) (wire.Reason, bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.table.Start(att.id, now) {
		return wire.ReasonLeaseLost, false
	}
	return att.markStarted(now)
}

// notStartedResult returns the result of an attempt that did not start.
func notStartedResult(reason wire.Reason) *wire.Result {
	switch reason {
	case wire.ReasonExpired, wire.ReasonCancelled:
		return &wire.Result{Outcome: wire.OutcomeNotRun, Reason: reason}
	default:
		return &wire.Result{Outcome: wire.OutcomeRefused, Reason: reason}
	}
}

// taskID returns the id of the attempt's task on the upstream.
func (a *Agent) taskID(att *attempt) string {
	if att.member {
		return fmt.Sprintf("%s.%d.%d", att.id.Request, att.id.Attempt, att.rank)
	}
	return fmt.Sprintf("%s.%d", att.id.Request, att.id.Attempt)
}

func (a *Agent) upstreamTask(att *attempt, lease time.Duration) upstream.Task {
	return upstream.Task{
		ID:          a.taskID(att),
		Customer:    att.run.Customer,
		Service:     att.run.Service,
		Key:         att.run.Key,
		ContentType: att.run.ContentType,
		Checkpoint:  att.run.Checkpoint,
		Rank:        att.rank,
		Size:        att.size,
		Lease:       lease,
		Body:        att.run.Body,
	}
}

// runTask runs a task on the upstream and renews its lease. If the request may be
// repeated, the task is stopped at the deadline. Otherwise it gets its timeout
// once more, so that a caller that asks again receives the answer.
func (a *Agent) runTask(att *attempt, start func(context.Context, upstream.TaskRunner) (upstream.Answer, error)) (upstream.Answer, error) {
	limit := time.Until(att.deadline)
	if !att.run.Repeatable {
		limit += att.run.Timeout
	}
	ctx, cancel := context.WithTimeout(a.ctx, limit)
	defer cancel()
	tasks := a.upstreamTasks()
	renewalDone := make(chan struct{})
	go func() {
		defer close(renewalDone)
		a.renewTaskLoop(ctx, cancel, att, tasks)
	}()
	answer, err := start(ctx, tasks)
	cancel()
	<-renewalDone
	var lost *upstream.AnswerLostError
	if errors.As(err, &lost) {
		// The task may still run, but must not outlive the attempt.
		a.stopTask(att)
	}
	return answer, err
}

// renewTaskLoop renews the lease of a single task until ctx ends, and cancels ctx
// if the attempt is abandoned. The lease of a gang member is renewed by its lead.
func (a *Agent) renewTaskLoop(ctx context.Context, cancel context.CancelFunc, att *attempt, tasks upstream.TaskRunner) {
	t := time.NewTicker(upstreamRenewInterval)
	defer t.Stop()
	id := a.taskID(att)
	for {
		select {
		case <-ctx.Done():
			return
		case <-att.abandoned:
			cancel()
			return
		case <-t.C:
			if !att.member {
				_ = tasks.Renew(ctx, id, upstreamLease)
			}
		}
	}
}

func (a *Agent) upstreamTasks() upstream.TaskRunner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.upstream.tasks
}

// stopTask stops a task on the upstream. If the upstream does not answer, the task
// ends when its lease expires.
func (a *Agent) stopTask(att *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), upstreamLease)
	defer cancel()
	_ = a.upstreamTasks().Stop(ctx, a.taskID(att))
}

func (a *Agent) stopTaskAsync(att *attempt) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.stopTask(att)
	}()
}

// resultOf returns the result for an answer or an error of the upstream.
func (a *Agent) resultOf(att *attempt, answer upstream.Answer, err error) *wire.Result {
	var notStarted *upstream.NotStartedError
	var stopped *upstream.StoppedError
	switch {
	case err == nil:
		digest := sha256.Sum256(answer.Body)
		return &wire.Result{
			Outcome:     wire.OutcomeRan,
			Started:     true,
			Status:      answer.Status,
			ContentType: answer.ContentType,
			Body:        answer.Body,
			Digest:      digest[:],
		}
	case errors.As(err, &notStarted):
		a.reopenClaim(att, att.run.Checkpoint)
		return &wire.Result{Outcome: wire.OutcomeRefused, Reason: wire.ReasonUpstreamError}
	case errors.As(err, &stopped):
		return a.resultOfStopped(att, stopped.Checkpoint)
	case att.run.Repeatable:
		return &wire.Result{Outcome: wire.OutcomePreempted, Reason: a.lossReason(att), Started: true}
	default:
		return &wire.Result{Outcome: wire.OutcomeUnknown, Reason: a.lossReason(att), Started: true}
	}
}

func (a *Agent) lossReason(att *attempt) wire.Reason {
	if !time.Now().Before(att.deadline) {
		return wire.ReasonExpired
	}
	return wire.ReasonUpstreamError
}

// resultOfStopped returns the result of a task that stopped before its end,
// either on request or when its lease expired.
func (a *Agent) resultOfStopped(att *attempt, checkpoint string) *wire.Result {
	reason := att.stopReason()
	if reason == wire.ReasonNone {
		reason = wire.ReasonLeaseLost
	}
	r := &wire.Result{Reason: reason, Started: true, Checkpoint: checkpoint}
	switch {
	case reason == wire.ReasonCancelled, att.run.Repeatable && reason == wire.ReasonExpired:
		r.Outcome = wire.OutcomeUnknown
	case checkpoint != "":
		a.reopenClaim(att, checkpoint)
		r.Outcome = wire.OutcomePreempted
	case att.run.Repeatable:
		r.Outcome = wire.OutcomePreempted
	default:
		r.Outcome = wire.OutcomeUnknown
	}
	return r
}

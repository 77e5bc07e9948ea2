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

// serveRun admits a request and waits for its result.
func (a *Agent) serveRun(ctx context.Context, entry string, m *wire.RunRequest) wire.Message {
	w, refused := a.admitRun(entry, m)
	if refused != nil {
		return refused
	}
	return a.await(ctx, w)
}

// await returns the result of a work, or nil if ctx ends first.
func (a *Agent) await(ctx context.Context, w *work) wire.Message {
	select {
	case <-w.finished:
		return w.result
	case <-ctx.Done():
		return nil
	}
}

// admitRun decides on a run. A second run of the same attempt, or of the same
// idempotency key, joins the first.
func (a *Agent) admitRun(entry string, m *wire.RunRequest) (*work, *wire.Result) {
	now := time.Now()
	w := newWork(*m, entry, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.sameWork(w); known != nil {
		return known, nil
	}
	if known := a.latest[w.id.Request]; known != nil && known.id.Attempt > w.id.Attempt {
		return nil, a.refuse(w, worker.Duplicate)
	}
	g := a.table.Admit(worker.AdmitRequest{
		ID:        w.id,
		Entry:     entry,
		Customer:  m.Customer,
		Demand:    config.Demand(m.Demand),
		HomeShape: m.Home,
		Guest:     m.Guest,
	}, now)
	if g.Refusal != worker.Admitted {
		return nil, a.refuse(w, g.Refusal)
	}
	a.insert(w, g)
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.execute(w)
	}()
	return w, nil
}

// sameWork returns the work that w repeats, or nil. The caller holds mu.
func (a *Agent) sameWork(w *work) *work {
	if known := a.works[w.id]; known != nil {
		return known
	}
	return a.repeated(w)
}

// repeated returns the latest work of the same attempt or the same key, or
// nil. The caller holds mu.
func (a *Agent) repeated(w *work) *work {
	if known := a.latest[w.id.Request]; known != nil && known.id == w.id {
		return known
	}
	if w.claimKey == "" {
		return nil
	}
	known := a.byKey[w.claimKey]
	if known == nil || known.reusable() {
		return nil
	}
	return known
}

// reusable reports whether the key of a finished work may be tried again.
func (w *work) reusable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.result == nil {
		return false
	}
	switch w.result.Outcome {
	case wire.OutcomeRefused, wire.OutcomePreempted, wire.OutcomeNotRun, wire.OutcomeHeldBy:
		return true
	default:
		return false
	}
}

// insert adds admitted work and carries out its grant. The caller holds mu.
func (a *Agent) insert(w *work, g worker.AdmitResult) {
	a.works[w.id] = w
	if !w.member {
		a.remember(w)
	}
	if g.Ready {
		w.setReady()
	}
	for _, id := range g.Victims {
		if v := a.works[id]; v != nil {
			a.preempt(v)
		}
	}
	a.cfg.Log.Info().
		Str("request", w.id.Request).
		Int("attempt", w.id.Attempt).
		Str("customer", w.run.Customer).
		Str("worker", a.cfg.Name).
		Str("home", w.run.Home).
		Int("preempted", len(g.Victims)).
		Msg("admitted")
	a.cfg.Metrics.admitted.WithLabelValues(homeLabel(w.run.Home != "")).Inc()
	a.notify(false)
}

// remember makes a work known by its request and its key. The caller holds mu.
func (a *Agent) remember(w *work) {
	a.latest[w.id.Request] = w
	if w.claimKey != "" {
		a.byKey[w.claimKey] = w
	}
}

// refuse answers a run that was not admitted. The caller holds mu.
func (a *Agent) refuse(w *work, cause worker.Refusal) *wire.Result {
	reason := refusalReason(cause, a.draining)
	a.cfg.Metrics.refused.WithLabelValues(string(reason)).Inc()
	a.cfg.Log.Info().
		Str("request", w.id.Request).
		Int("attempt", w.id.Attempt).
		Str("customer", w.run.Customer).
		Str("worker", a.cfg.Name).
		Str("reason", string(reason)).
		Msg("refused")
	return &wire.Result{
		Request: w.id.Request,
		Attempt: w.id.Attempt,
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

// execute brings admitted work to its result.
func (a *Agent) execute(w *work) {
	if reason := a.waitReady(w); reason != wire.ReasonNone {
		a.finish(w, notStarted(reason))
		return
	}
	if result := a.claim(w); result != nil {
		a.finish(w, result)
		return
	}
	if reason, ok := a.begin(w); !ok {
		a.openClaim(w, w.run.Checkpoint)
		a.finish(w, notStarted(reason))
		return
	}
	answer, err := a.runTask(w, func(ctx context.Context, t upstream.Tasks) (upstream.Answer, error) {
		return t.Run(ctx, a.task(w, taskLease))
	})
	a.finish(w, a.conclude(w, answer, err))
}

// waitReady waits until the work has its resources.
func (a *Agent) waitReady(w *work) wire.Reason {
	t := time.NewTimer(time.Until(w.deadline))
	defer t.Stop()
	select {
	case <-w.halt:
		return w.haltReason()
	case <-t.C:
		return wire.ReasonExpired
	case <-a.ctx.Done():
		return wire.ReasonShutdown
	case <-w.ready:
		return wire.ReasonNone
	}
}

// begin starts the work in the table.
func (a *Agent) begin(w *work) (wire.Reason, bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.table.Start(w.id, now) {
		return wire.ReasonLeaseLost, false
	}
	return w.begin(now)
}

// notStarted is the result of work that certainly did not start.
func notStarted(reason wire.Reason) *wire.Result {
	switch reason {
	case wire.ReasonExpired, wire.ReasonCancelled:
		return &wire.Result{Outcome: wire.OutcomeNotRun, Reason: reason}
	default:
		return &wire.Result{Outcome: wire.OutcomeRefused, Reason: reason}
	}
}

// taskID names the task of a work on the upstream.
func (a *Agent) taskID(w *work) string {
	if w.member {
		return fmt.Sprintf("%s.%d.%d", w.id.Request, w.id.Attempt, w.rank)
	}
	return fmt.Sprintf("%s.%d", w.id.Request, w.id.Attempt)
}

func (a *Agent) task(w *work, lease time.Duration) upstream.Task {
	return upstream.Task{
		ID:          a.taskID(w),
		Customer:    w.run.Customer,
		Service:     w.run.Service,
		Key:         w.run.Key,
		ContentType: w.run.ContentType,
		Checkpoint:  w.run.Checkpoint,
		Rank:        w.rank,
		Size:        w.size,
		Lease:       lease,
		Body:        w.run.Body,
	}
}

// runTask runs a task on the upstream and renews its lease meanwhile. Work
// that may be repeated is stopped at its deadline; other work may take as long
// again, so that a caller who asks again gets its answer.
func (a *Agent) runTask(w *work, start func(context.Context, upstream.Tasks) (upstream.Answer, error)) (upstream.Answer, error) {
	limit := time.Until(w.deadline)
	if !w.run.Repeatable {
		limit += w.run.Timeout
	}
	ctx, cancel := context.WithTimeout(a.ctx, limit)
	defer cancel()
	tasks := a.tasks()
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		a.renewTask(ctx, cancel, w, tasks)
	}()
	answer, err := start(ctx, tasks)
	cancel()
	<-renewed
	var lost *upstream.LostError
	if errors.As(err, &lost) {
		// The task may still run: it must not outlive the attempt.
		a.stopTask(w)
	}
	return answer, err
}

// renewTask keeps the lease of a single task until ctx ends. A gang's member
// is renewed by its lead.
func (a *Agent) renewTask(ctx context.Context, cancel context.CancelFunc, w *work, tasks upstream.Tasks) {
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	id := a.taskID(w)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.lost:
			cancel()
			return
		case <-t.C:
			if !w.member {
				_ = tasks.Renew(ctx, id, taskLease)
			}
		}
	}
}

func (a *Agent) tasks() upstream.Tasks {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.upstream.tasks
}

// stopTask stops a task on the upstream. If the upstream does not answer, the
// task's lease ends it.
func (a *Agent) stopTask(w *work) {
	ctx, cancel := context.WithTimeout(context.Background(), taskLease)
	defer cancel()
	_ = a.tasks().Stop(ctx, a.taskID(w))
}

func (a *Agent) goStop(w *work) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.stopTask(w)
	}()
}

// conclude turns what the upstream said into a result.
func (a *Agent) conclude(w *work, answer upstream.Answer, err error) *wire.Result {
	var not *upstream.NotStartedError
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
	case errors.As(err, &not):
		a.openClaim(w, w.run.Checkpoint)
		return &wire.Result{Outcome: wire.OutcomeRefused, Reason: wire.ReasonUpstreamError}
	case errors.As(err, &stopped):
		return a.concludeStopped(w, stopped.Checkpoint)
	case w.run.Repeatable:
		return &wire.Result{Outcome: wire.OutcomePreempted, Reason: a.lossReason(w), Started: true}
	default:
		return &wire.Result{Outcome: wire.OutcomeUnknown, Reason: a.lossReason(w), Started: true}
	}
}

func (a *Agent) lossReason(w *work) wire.Reason {
	if !time.Now().Before(w.deadline) {
		return wire.ReasonExpired
	}
	return wire.ReasonUpstreamError
}

// concludeStopped is the result of a task that was stopped on purpose.
func (a *Agent) concludeStopped(w *work, checkpoint string) *wire.Result {
	reason := w.haltReason()
	if reason == wire.ReasonNone {
		reason = wire.ReasonLeaseLost
	}
	r := &wire.Result{Reason: reason, Started: true, Checkpoint: checkpoint}
	switch {
	case reason == wire.ReasonCancelled, w.run.Repeatable && reason == wire.ReasonExpired:
		r.Outcome = wire.OutcomeUnknown
	case checkpoint != "":
		a.openClaim(w, checkpoint)
		r.Outcome = wire.OutcomePreempted
	case w.run.Repeatable:
		r.Outcome = wire.OutcomePreempted
	default:
		r.Outcome = wire.OutcomeUnknown
	}
	return r
}

package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// Times of calls on a caller's behalf.
const (
	storeTry    = 900 * time.Millisecond  // one try of a write, several answers of a slow store
	tryPause    = 60 * time.Millisecond   // between tries
	queryLimit  = 400 * time.Millisecond  // for the scheduler's answer, several round trips between zones
	refuseAfter = 300 * time.Millisecond  // of tries that the store has turned away
	busyRetry   = time.Second             // when the store turns a write away
	trustAnswer = 200 * time.Millisecond  // age of an answer that shows that the store is there
	lookLimit   = 800 * time.Millisecond  // for the answer of a store that is slow 100 times
	maxRetry    = 4 * time.Second         // a longer wait leaves callers too few tries
	answerSlack = 100 * time.Millisecond  // kept of the caller's deadline for the answer's way back
	offerLimit  = 1400 * time.Millisecond // for the scheduler to store a job, two transactions of a slow store
)

// probeKey is a row that is read to see whether the store answers.
const probeKey = scheduler.TableJob + "/probe"

// NotAcceptedError tells that a job was not accepted and never runs.
type NotAcceptedError struct {
	Reason     string
	RetryAfter time.Duration // when to come back
}

// Error describes the refusal.
func (e *NotAcceptedError) Error() string { return "not accepted: " + e.Reason }

// UnknownOutcomeError tells that it is not known whether a change was made.
type UnknownOutcomeError struct {
	Cause error
}

// Error describes the cause.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Jobs takes in durable jobs: a job is accepted once its row is written.
type Jobs struct {
	Health        *platform.Health
	Store         platform.Store
	CallScheduler func(ctx context.Context, m wire.Message) (wire.Message, error) // the scheduler
	Log           zerolog.Logger
	Metrics       *JobMetrics
}

// Submit stores a job. The same id again is the same job.
func (s *Jobs) Submit(ctx context.Context, j wire.Job) error {
	start := time.Now()
	known, err := s.store(ctx, j)
	s.Metrics.submitted(time.Since(start), err, known)
	s.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Str("customer", j.Customer).Int("steps", len(j.Steps)).
		Dur("took", time.Since(start)).Str("outcome", outcomeOf(err, known)).AnErr("cause", err).Msg("submit")
	return err
}

// store writes a job's row, by the scheduler if one answers: the job then stands
// in one transaction with its first runs. known tells that it was there already.
// While an outcome is not known it goes on with the scheduler and by itself in
// turn, since another process may be the scheduler by then.
func (s *Jobs) store(ctx context.Context, j wire.Job) (known bool, err error) {
	value, err := j.MarshalMsg(nil)
	if err != nil {
		return false, err
	}
	key := scheduler.TableJob + "/" + j.ID
	w := insert{store: s.Store, start: time.Now(), txn: platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}}
	for {
		switch s.offer(ctx, j) {
		case wire.SubmitStored:
			return false, nil
		case wire.SubmitKnown:
			return true, nil
		case wire.SubmitUnknown:
			w.maybe = true
		}
		if !w.maybe {
			if err := s.available(ctx); err != nil {
				return false, err
			}
		}
		if done, known, err := w.try(ctx); done {
			return known, err
		}
	}
}

// offer asks the scheduler to store a job.
func (s *Jobs) offer(ctx context.Context, j wire.Job) wire.SubmitOutcome {
	ctx, cancel := context.WithTimeout(ctx, offerLimit)
	defer cancel()
	m, err := s.CallScheduler(ctx, &wire.SubmitJob{Job: j})
	if a, ok := m.(*wire.SubmitAnswer); ok && err == nil {
		return a.Outcome
	}
	var none *scheduler.NoSchedulerError
	var closed *frame.ClosedError
	if errors.As(err, &none) || errors.As(err, &closed) && !closed.Sent {
		return wire.SubmitDeclined
	}
	s.Log.Info().Str("job", j.ID).Err(err).Msg("submission_unanswered")
	return wire.SubmitUnknown
}

// outcomeOf names the outcome of a submission for the log.
func outcomeOf(err error, known bool) string {
	var refused *NotAcceptedError
	switch {
	case errors.As(err, &refused):
		return "not_accepted:" + refused.Reason
	case err != nil:
		return "unknown"
	case known:
		return "known_already"
	default:
		return "accepted"
	}
}

// available refuses at once what cannot be stored. Unless the store has just
// answered, a read shows whether it does: a write without an answer would make
// the outcome unknown, and the caller could not be told that nothing has run.
func (s *Jobs) available(ctx context.Context) error {
	since, failing := s.Health.OutageDuration()
	if !failing && s.Health.SinceLastAnswer() > trustAnswer {
		callCtx, cancel := context.WithTimeout(ctx, lookLimit)
		defer cancel()
		if _, err := s.Store.Get(callCtx, probeKey); err != nil {
			since, failing = 0, true
		}
	}
	if !failing {
		return nil
	}
	// Callers are told to come back after as long as the store has been away.
	return &NotAcceptedError{Reason: "store_unavailable", RetryAfter: min(max(since, busyRetry), maxRetry)}
}

// insert is a transaction that inserts one row.
type insert struct {
	store platform.Store
	txn   platform.Txn
	start time.Time
	maybe bool // somebody may have written the row, or may do so later
}

// try makes one try, and reports whether the outcome is known or time is up. A
// try without an answer may be applied later: only a further try can tell. known
// tells that the row was there already.
func (w *insert) try(ctx context.Context) (done, known bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTry)
	_, err = w.store.Commit(callCtx, w.txn)
	cancel()
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return true, false, nil
	case errors.As(err, &conflict):
		return true, true, nil
	case !errors.As(err, &unavailable):
		return true, false, &UnknownOutcomeError{Cause: err}
	}
	w.maybe = w.maybe || unavailable.MaybeApplied
	if ctx.Err() == nil && (w.maybe || time.Since(w.start) <= refuseAfter) && sleepUntil(ctx, tryPause) {
		return false, false, nil
	}
	if w.maybe {
		return true, false, &UnknownOutcomeError{Cause: err}
	}
	return true, false, &NotAcceptedError{Reason: "store_unavailable", RetryAfter: busyRetry}
}

// write inserts one row. known tells that it was there already.
func (s *Jobs) write(ctx context.Context, t platform.Txn) (known bool, err error) {
	w := insert{store: s.Store, start: time.Now(), txn: t}
	for {
		if done, known, err := w.try(ctx); done {
			return known, err
		}
	}
}

// sleepUntil sleeps, and reports whether there is time for another try.
func sleepUntil(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// State returns the state of a job of a queue, or ok false if no such job was
// accepted. What the scheduler does not know is looked up in the table.
func (s *Jobs) State(ctx context.Context, queue, id string) (state wire.JobState, ok bool, err error) {
	a, err := s.ask(ctx, id)
	if err == nil && a.Known {
		return a.State, a.Queue == queue, nil
	}
	j, ok, err := s.lookUp(ctx, id)
	if err != nil || !ok || j.Queue != queue {
		return "", false, err
	}
	row, err := s.Store.Get(ctx, scheduler.TableProgress+"/"+id)
	if err != nil || row.Revision == 0 {
		return wire.JobQueued, err == nil, err
	}
	var p wire.JobProgress
	if _, err := p.UnmarshalMsg(row.Value); err != nil {
		return "", false, err
	}
	return p.State, true, nil
}

func (s *Jobs) ask(ctx context.Context, id string) (*wire.JobAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryLimit)
	defer cancel()
	m, err := s.CallScheduler(ctx, &wire.JobQuery{ID: id})
	if err != nil {
		return nil, err
	}
	a, ok := m.(*wire.JobAnswer)
	if !ok {
		return nil, &wire.UnknownKindError{Kind: m.Kind()}
	}
	return a, nil
}

// lookUp reads a job's row, and tries again while there is time.
func (s *Jobs) lookUp(ctx context.Context, id string) (wire.Job, bool, error) {
	var j wire.Job
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTry)
		row, err := s.Store.Get(callCtx, scheduler.TableJob+"/"+id)
		cancel()
		if err == nil {
			if row.Revision == 0 {
				return j, false, nil
			}
			_, err = j.UnmarshalMsg(row.Value)
			return j, err == nil, err
		}
		if !sleepUntil(ctx, tryPause) {
			return j, false, err
		}
	}
}

// Cancel marks a job as cancelled. ok is false if no such job was accepted.
func (s *Jobs) Cancel(ctx context.Context, queue, id string) (ok bool, err error) {
	state, ok, err := s.State(ctx, queue, id)
	if err != nil || !ok {
		return ok, err
	}
	if !state.Final() {
		key := scheduler.TableJob + "/" + id + scheduler.CancelSuffix
		_, err = s.write(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key}},
			Writes:     []platform.Write{{Key: key, Value: []byte{1}}},
		})
	}
	s.Log.Info().Str("job", id).Str("state", string(state)).Err(err).Msg("cancel")
	return err == nil, err
}

// Pending returns the number of a queue's jobs of which nothing has started.
func (s *Jobs) Pending(ctx context.Context, queue string) (int, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, queryLimit)
		m, err := s.CallScheduler(callCtx, &wire.QueueQuery{Queue: queue})
		cancel()
		if a, ok := m.(*wire.QueueAnswer); ok && err == nil {
			return a.Pending, nil
		}
		if !sleepUntil(ctx, tryPause) {
			return 0, &NotAcceptedError{Reason: "no_scheduler", RetryAfter: busyRetry}
		}
	}
}

// WithResponseTimeout returns a context that ends shortly before the caller gives up.
func WithResponseTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(limit-answerSlack, limit/2))
}

package caller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// Timing of the store and scheduler calls made for a caller.
const (
	storeAttemptTimeout = 900 * time.Millisecond  // one write or read attempt, several responses of a slow store
	retryDelay          = 60 * time.Millisecond   // between attempts
	queryTimeout        = 400 * time.Millisecond  // for the scheduler's response, several round trips between zones
	rejectedRetryTime   = 300 * time.Millisecond  // for which a write that was certainly not applied is retried
	busyRetryAfter      = time.Second             // minimum retry delay returned to callers
	maxAnswerAge        = 200 * time.Millisecond  // a newer store response proves that the store is available
	storeReadTimeout    = 800 * time.Millisecond  // for the response of a store that is 100 times slower than usual
	maxRetryAfter       = 4 * time.Second         // a longer delay leaves callers too few attempts
	answerMargin        = 100 * time.Millisecond  // of the caller's timeout, reserved for the response to travel back
	submitTimeout       = 1400 * time.Millisecond // for the scheduler to store a job, two transactions of a slow store
)

// probeKey is the key read to check whether the store is available.
const probeKey = scheduler.TableJob + "/probe"

// NotAcceptedError means that a job was not accepted and will never run.
type NotAcceptedError struct {
	Reason     string
	RetryAfter time.Duration // delay before the caller may submit again
}

// Error returns the reason.
func (e *NotAcceptedError) Error() string { return "not accepted: " + e.Reason }

// UnknownOutcomeError means that a change may or may not have been made.
type UnknownOutcomeError struct {
	Cause error
}

// Error includes the cause.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Jobs accepts, queries and cancels durable jobs. A job is accepted once its row
// is written to the store.
type Jobs struct {
	Health        *platform.Health
	Store         platform.Store
	CallScheduler func(ctx context.Context, m wire.Message) (wire.Message, error) // sends a request to the elected scheduler
	Log           zerolog.Logger
	Metrics       *JobMetrics
}

// Submit stores a job. It is idempotent: a job whose id is already stored is
// accepted without a change.
func (s *Jobs) Submit(ctx context.Context, j wire.Job) error {
	start := time.Now()
	duplicate, err := s.storeJob(ctx, j)
	s.Metrics.observeSubmission(time.Since(start), err, duplicate)
	s.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Str("customer", j.Customer).Int("steps", len(j.Steps)).
		Dur("took", time.Since(start)).Str("outcome", outcomeLabel(err, duplicate)).AnErr("cause", err).Msg("submit")
	return err
}

// storeJob writes a job's row. It first asks the scheduler, which stores the job
// and its first runs in one transaction, and otherwise writes the row directly.
// duplicate reports that the row already existed. While the outcome is unknown it
// alternates between the two, since the scheduler may have moved to another
// process.
func (s *Jobs) storeJob(ctx context.Context, j wire.Job) (duplicate bool, err error) {
	value, err := j.MarshalMsg(nil)
	if err != nil {
		return false, err
	}
	key := scheduler.TableJob + "/" + j.ID
	w := insertion{store: s.Store, start: time.Now(), txn: platform.Txn{
		Conditions: []platform.Condition{{Key: key}, {Key: key + scheduler.CancelSuffix}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}}
	for {
		switch s.submitToScheduler(ctx, j) {
		case wire.SubmitStored:
			return false, nil
		case wire.SubmitKnown:
			return true, nil
		case wire.SubmitUnknown:
			w.maybeApplied = true
		case wire.SubmitCancelled:
			return false, &NotAcceptedError{Reason: reasonCancelled}
		}
		if !w.maybeApplied {
			if err := s.checkStore(ctx); err != nil {
				return false, err
			}
		}
		done, duplicate, err := w.attempt(ctx)
		if duplicate && !w.exists(key) && w.exists(key+scheduler.CancelSuffix) {
			return false, &NotAcceptedError{Reason: reasonCancelled}
		}
		if done {
			return duplicate, err
		}
	}
}

// reasonCancelled is the reason of a NotAcceptedError for a job that was cancelled
// before it was stored. Submitting it again has no other result.
const reasonCancelled = "cancelled"

// submitToScheduler asks the scheduler to store a job. A request that was not sent
// counts as declined; after other failures the outcome is unknown.
func (s *Jobs) submitToScheduler(ctx context.Context, j wire.Job) wire.SubmitOutcome {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	m, err := s.CallScheduler(ctx, &wire.SubmitJob{Job: j})
	if a, ok := m.(*wire.SubmitAnswer); ok && err == nil {
		return a.Outcome
	}
	var noScheduler *scheduler.NoSchedulerError
	var closed *frame.ClosedError
	if errors.As(err, &noScheduler) || errors.As(err, &closed) && !closed.Sent {
		return wire.SubmitDeclined
	}
	s.Log.Info().Str("job", j.ID).Err(err).Msg("submission_unanswered")
	return wire.SubmitUnknown
}

// outcomeLabel returns the outcome of a submission for the log and the metrics.
func outcomeLabel(err error, duplicate bool) string {
	var refused *NotAcceptedError
	switch {
	case errors.As(err, &refused):
		return "not_accepted:" + refused.Reason
	case err != nil:
		return "unknown"
	case duplicate:
		return "known_already"
	default:
		return "accepted"
	}
}

// checkStore returns a NotAcceptedError if the store is unavailable. Unless the
// store has responded within maxAnswerAge it is probed by a read: a write without
// a response would leave the outcome unknown, and the caller could not be told
// that the job never runs.
func (s *Jobs) checkStore(ctx context.Context) error {
	since, failing := s.Health.OutageDuration()
	if !failing && s.Health.SinceLastAnswer() > maxAnswerAge {
		callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		defer cancel()
		if _, err := s.Store.Get(callCtx, probeKey); err != nil {
			since, failing = 0, true
		}
	}
	if !failing {
		return nil
	}
	// The retry delay equals the duration of the outage, within limits.
	return &NotAcceptedError{Reason: "store_unavailable", RetryAfter: min(max(since, busyRetryAfter), maxRetryAfter)}
}

// insertion is a transaction that inserts one row.
type insertion struct {
	store        platform.Store
	txn          platform.Txn
	start        time.Time
	maybeApplied bool           // an unconfirmed write may have been applied, or may be later
	existing     []platform.Row // rows that kept the last attempt from being applied
}

// exists reports whether a row kept the last attempt from being applied.
func (w *insertion) exists(key string) bool {
	return slices.ContainsFunc(w.existing, func(r platform.Row) bool { return r.Key == key && r.Revision > 0 })
}

// attempt commits the transaction once. done is false if it must be called again:
// a commit without a response may be applied later, which only another attempt can
// detect. duplicate reports that the row already existed.
func (w *insertion) attempt(ctx context.Context) (done, duplicate bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeAttemptTimeout)
	_, err = w.store.Commit(callCtx, w.txn)
	cancel()
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return true, false, nil
	case errors.As(err, &conflict):
		w.existing = conflict.Rows
		return true, true, nil
	case !errors.As(err, &unavailable):
		return true, false, &UnknownOutcomeError{Cause: err}
	}
	w.maybeApplied = w.maybeApplied || unavailable.MaybeApplied
	if ctx.Err() == nil && (w.maybeApplied || time.Since(w.start) <= rejectedRetryTime) && sleepContext(ctx, retryDelay) {
		return false, false, nil
	}
	if w.maybeApplied {
		return true, false, &UnknownOutcomeError{Cause: err}
	}
	return true, false, &NotAcceptedError{Reason: "store_unavailable", RetryAfter: busyRetryAfter}
}

// sleepContext sleeps, and reports false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// State returns the state of a job of a queue. ok is false if no such job was
// accepted. If the scheduler does not know the job, its rows are read.
func (s *Jobs) State(ctx context.Context, queue, id string) (state wire.JobState, ok bool, err error) {
	a, err := s.queryScheduler(ctx, id)
	if err == nil && a.Known {
		return a.State, a.Queue == queue, nil
	}
	j, ok, err := s.readJob(ctx, id)
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

func (s *Jobs) queryScheduler(ctx context.Context, id string) (*wire.JobAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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

// readJob reads a job's row, and retries until ctx ends.
func (s *Jobs) readJob(ctx context.Context, id string) (wire.Job, bool, error) {
	var j wire.Job
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeAttemptTimeout)
		row, err := s.Store.Get(callCtx, scheduler.TableJob+"/"+id)
		cancel()
		if err == nil {
			if row.Revision == 0 {
				return j, false, nil
			}
			j, err = scheduler.DecodeJob(row)
			return j, err == nil, err
		}
		if !sleepContext(ctx, retryDelay) {
			return j, false, err
		}
	}
}

// Cancel marks a job as cancelled. ok is false if no such job was accepted. A
// submission of it that is not stored by then never will be.
func (s *Jobs) Cancel(ctx context.Context, queue, id string) (ok bool, err error) {
	for {
		state, known, err := s.State(ctx, queue, id)
		if err != nil || known && state.Final() {
			return known && err == nil, err
		}
		storedSince, err := s.insertCancellation(ctx, id, known)
		s.Log.Info().Str("job", id).Bool("known", known).Str("state", string(state)).Bool("stored_since", storedSince).Err(err).Msg("cancel")
		if err != nil || !storedSince {
			return known && err == nil, err
		}
		if j, _, err := s.readJob(ctx, id); err != nil || j.Queue != queue {
			return false, err
		}
	}
}

// insertCancellation inserts the row that marks a job as cancelled. For a job that is
// not known it inserts the row only if the job is not stored; otherwise storedSince
// is true.
func (s *Jobs) insertCancellation(ctx context.Context, id string, known bool) (storedSince bool, err error) {
	key := scheduler.TableJob + "/" + id
	w := insertion{store: s.Store, start: time.Now(), txn: platform.Txn{
		Conditions: []platform.Condition{{Key: key + scheduler.CancelSuffix}},
		Writes:     []platform.Write{{Key: key + scheduler.CancelSuffix, Value: []byte{1}}},
	}}
	if !known {
		w.txn.Conditions = append(w.txn.Conditions, platform.Condition{Key: key})
	}
	for {
		if done, _, err := w.attempt(ctx); done {
			return !known && w.exists(key), err
		}
	}
}

// Pending returns the number of a queue's jobs that have not started.
func (s *Jobs) Pending(ctx context.Context, queue string) (int, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		m, err := s.CallScheduler(callCtx, &wire.QueueQuery{Queue: queue})
		cancel()
		if a, ok := m.(*wire.QueueAnswer); ok && err == nil {
			return a.Pending, nil
		}
		if !sleepContext(ctx, retryDelay) {
			return 0, &NotAcceptedError{Reason: "no_scheduler", RetryAfter: busyRetryAfter}
		}
	}
}

// WithResponseTimeout returns a context that ends answerMargin before the caller's
// timeout, but not before half of it.
func WithResponseTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(limit-answerMargin, limit/2))
}

package scheduler

import (
	"context"
	"slices"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Limits of the jobs inserted by one transaction. The users' store accepts 100
// entries and 1 MB per transaction, most of which the engine's batch uses.
const (
	maxInserts     = 6
	maxInsertBytes = 150 << 10
)

// submission is a job that an entry asked this scheduler to store.
type submission struct {
	job        wire.Job
	row        []byte
	receivedAt time.Time
	rows       []platform.Row // of the job, read from the job table since then
	outcome    wire.SubmitOutcome
	done       chan struct{} // closed when outcome is set
}

// submit stores a job and waits for the outcome. A job that is not committed
// when ctx ends may be committed later.
func (h *holder) submit(ctx context.Context, j wire.Job) *wire.SubmitAnswer {
	s := h.enqueue(j)
	if s == nil {
		return &wire.SubmitAnswer{Outcome: wire.SubmitDeclined}
	}
	select {
	case <-s.done:
		return &wire.SubmitAnswer{Outcome: s.outcome}
	case <-ctx.Done():
		return &wire.SubmitAnswer{Outcome: wire.SubmitUnknown}
	}
}

// enqueue queues a job for the next transaction. It returns nil if this
// scheduler may be unable to commit soon.
func (h *holder) enqueue(j wire.Job) *submission {
	row, err := j.MarshalMsg(nil)
	timeout := h.scaledTimeout(2, declineMin, declineMax)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || h.closed || h.offered || h.leaseAge() > maxSubmitConfirmAge {
		h.cfg.Log.Info().Str("job", j.ID).Dur("lease_age", h.leaseAge()).Bool("offered", h.offered).Err(err).Msg("submission_declined")
		return nil
	}
	if s := h.unfinished[j.ID]; s != nil {
		return s
	}
	s := &submission{job: j, row: row, receivedAt: time.Now(), done: make(chan struct{})}
	if _, _, known := h.engine.State(j.ID); known || h.engine.Expiring(j.ID) {
		s.outcome = wire.SubmitKnown
		close(s.done)
		return s
	}
	h.unfinished[j.ID] = s
	h.queued = append(h.queued, s)
	time.AfterFunc(timeout, func() { h.declineQueued(s) })
	h.requestRound()
	return s
}

// maxSubmitConfirmAge is the greatest age of the last committed lease at which
// submissions are accepted: two renewals of a store that is 100 times slower
// than usual.
const maxSubmitConfirmAge = 2 * time.Second

// declineQueued declines a job that is still queued, since its entry may reach
// the store itself.
func (h *holder) declineQueued(s *submission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.queued, s); i >= 0 {
		h.queued = slices.Delete(h.queued, i, i+1)
		h.finish(s, wire.SubmitDeclined)
	}
}

// dequeueSubmissions moves queued jobs into the engine for the next
// transaction and returns them. The caller holds mu.
func (h *holder) dequeueSubmissions(now time.Time) []*submission {
	var submitted []*submission
	size := 0
	for len(h.queued) > 0 && len(submitted) < maxInserts {
		s := h.queued[0]
		if size += len(s.row); size > maxInsertBytes && len(submitted) > 0 {
			break
		}
		h.queued = h.queued[1:]
		if _, _, known := h.engine.State(s.job.ID); known { // an entry has stored it itself
			h.finish(s, wire.SubmitKnown)
			continue
		}
		h.engine.Submit(s.job, now)
		submitted = append(submitted, s)
	}
	if len(h.queued) > 0 {
		h.requestRound()
	}
	return submitted
}

// finishAll completes submissions with an outcome.
func (h *holder) finishAll(submissions []*submission, outcome wire.SubmitOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range submissions {
		h.finish(s, outcome)
	}
}

// finish completes one submission. The caller holds mu.
func (h *holder) finish(s *submission, outcome wire.SubmitOutcome) {
	delete(h.unfinished, s.job.ID)
	s.outcome = outcome
	close(s.done)
	h.cfg.Log.Info().Str("job", s.job.ID).Str("queue", s.job.Queue).Str("customer", s.job.Customer).
		Dur("waited", time.Since(s.receivedAt)).Str("outcome", string(outcome)).Msg("submission")
}

// withdraw removes jobs that were not committed from the engine and the batch,
// and completes their submissions. An entry may have stored some of these jobs
// itself: withdraw adds them again from existing and from the rows that were read
// while the engine knew them as submissions, since the watch of the job table does
// not return those rows again.
func (h *holder) withdraw(b *job.Batch, submissions []*submission, existing []platform.Row, outcome wire.SubmitOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.recoverPanic()
	for _, s := range submissions {
		h.engine.Withdraw(s.job.ID, b)
		h.finish(s, outcome)
		existing = append(existing, s.rows...)
	}
	h.restoreRows(existing, nil)
	h.requestRound()
}

// partition splits submissions by the rows that kept them from being inserted: those
// whose job is stored already, those that were cancelled before they were stored, and
// the rest.
func partition(submitted []*submission, rows []platform.Row) (present, cancelled, rest []*submission) {
	existing := make(map[string]bool, len(rows))
	for _, r := range rows {
		existing[r.Key] = true
	}
	for _, s := range submitted {
		key := TableJob + "/" + s.job.ID
		switch {
		case existing[key]:
			present = append(present, s)
		case existing[key+CancelSuffix]:
			cancelled = append(cancelled, s)
		default:
			rest = append(rest, s)
		}
	}
	return present, cancelled, rest
}

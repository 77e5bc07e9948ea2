package scheduler

import (
	"context"
	"slices"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Bounds of the jobs that one transaction inserts. The users' store takes 100
// entries and 1 MB, of which a batch of the engine takes most.
const (
	maxInserts     = 6
	maxInsertBytes = 150 << 10
)

// submission is a job that an entry has asked this scheduler to store.
type submission struct {
	job     wire.Job
	row     []byte
	came    time.Time
	outcome wire.SubmitOutcome
	done    chan struct{} // closed once outcome is set
}

// submit stores a job and waits for the outcome. A job that is not written yet
// when ctx ends may be written later.
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

// enqueue adds a job to those that wait to be written. It returns nil if this
// scheduler is not sure that it can write soon.
func (h *holder) enqueue(j wire.Job) *submission {
	row, err := j.MarshalMsg(nil)
	patience := h.expect(2, declineAfter, declineLimit)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || h.closed || h.yielding || time.Since(h.confirmAt) > freshConfirm {
		h.cfg.Log.Info().Str("job", j.ID).Dur("lease_age", time.Since(h.confirmAt)).Bool("offered", h.yielding).Err(err).Msg("submission_declined")
		return nil
	}
	if s := h.open[j.ID]; s != nil {
		return s
	}
	s := &submission{job: j, row: row, came: time.Now(), done: make(chan struct{})}
	if _, _, known := h.engine.State(j.ID); known || h.engine.Expiring(j.ID) {
		s.outcome = wire.SubmitKnown
		close(s.done)
		return s
	}
	h.open[j.ID] = s
	h.waiting = append(h.waiting, s)
	time.AfterFunc(patience, func() { h.giveBack(s) })
	h.poke()
	return s
}

// freshConfirm is the age of the last written lease up to which jobs are taken
// in: two renewals of a store that is slow a hundred times.
const freshConfirm = 2 * time.Second

// giveBack declines a job that has not been taken into a transaction: its entry
// may have another way to the store.
func (h *holder) giveBack(s *submission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.waiting, s); i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
		h.finish(s, wire.SubmitDeclined)
	}
}

// takeSubmissions gives the engine the jobs that the next transaction writes.
// The caller holds the lock.
func (h *holder) takeSubmissions(now time.Time) []*submission {
	var taken []*submission
	size := 0
	for len(h.waiting) > 0 && len(taken) < maxInserts {
		s := h.waiting[0]
		if size += len(s.row); size > maxInsertBytes && len(taken) > 0 {
			break
		}
		h.waiting = h.waiting[1:]
		if _, _, known := h.engine.State(s.job.ID); known { // another entry has stored it
			h.finish(s, wire.SubmitKnown)
			continue
		}
		h.engine.Submit(s.job, now)
		taken = append(taken, s)
	}
	if len(h.waiting) > 0 {
		h.poke()
	}
	return taken
}

// settle ends submissions with an outcome.
func (h *holder) settle(taken []*submission, outcome wire.SubmitOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range taken {
		h.finish(s, outcome)
	}
}

// finish ends one submission. The caller holds the lock.
func (h *holder) finish(s *submission, outcome wire.SubmitOutcome) {
	delete(h.open, s.job.ID)
	s.outcome = outcome
	close(s.done)
	h.cfg.Log.Info().Str("job", s.job.ID).Str("queue", s.job.Queue).Str("customer", s.job.Customer).
		Dur("waited", time.Since(s.came)).Str("outcome", string(outcome)).Msg("submission")
}

// withdraw takes back jobs that were not written.
func (h *holder) withdraw(b *job.Batch, taken []*submission, outcome wire.SubmitOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range taken {
		h.engine.Withdraw(s.job.ID, b)
		h.finish(s, outcome)
	}
}

// existing returns the submissions whose rows are there already.
func existing(taken []*submission, rows []platform.Row) []*submission {
	var there []*submission
	for _, s := range taken {
		if slices.ContainsFunc(rows, func(r platform.Row) bool { return r.Key == TableJob+"/"+s.job.ID }) {
			there = append(there, s)
		}
	}
	return there
}

package scheduler

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// load reads the tables and keeps the lease meanwhile: other entries take a lease that
// is not renewed, however far its holder has read. It gives up if nothing arrives for
// loadIdleTimeout, since another entry may reach the store.
func (h *holder) load(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.mu.Lock()
	h.cancelRun = cancel
	h.mu.Unlock()
	readCtx, stop := platform.WithIdleTimeout(ctx, loadIdleTimeout, loadIdleTimeout)
	defer stop()
	loaded := make(chan error, 1)
	h.start(func() { loaded <- h.loadTables(readCtx) })
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case err := <-loaded:
			return h.termError(err)
		case <-ctx.Done():
			return h.termError(ctx.Err())
		case <-t.C:
			if h.cfg.BootTime()-h.writer.committedAt < renewInterval {
				continue
			}
			if err := h.write(ctx, changes{}); err != nil {
				return h.termError(err)
			}
			h.mu.Lock()
			h.confirmLease()
			h.mu.Unlock()
		}
	}
}

// loadTables restores the engine's state from the store, and then takes the reports that
// agents have sent meanwhile. Progress comes before jobs in memory: only the holder of
// the lease writes it, so both tables can be read at the same time.
func (h *holder) loadTables(ctx context.Context) error {
	start := time.Now()
	var progress platform.Changes
	var progressErr error
	read := make(chan struct{})
	go func() {
		defer close(read)
		progress, _, progressErr = h.readTable(ctx, TableProgress)
	}()
	jobs, readAt, err := h.readTable(ctx, TableJob)
	<-read
	if err := errors.Join(err, progressErr); err != nil {
		return err
	}
	states := make(map[string]*wire.JobProgress)
	for _, row := range progress.Rows {
		p := new(wire.JobProgress)
		if _, err := p.UnmarshalMsg(row.Value); err != nil {
			h.cfg.Log.Error().Str("row", row.Key).Err(err).Msg("row_not_read")
			continue
		}
		states[strings.TrimPrefix(row.Key, TableProgress+"/")] = p
	}
	h.installTables(jobs, states)
	h.confirmJobs(readAt)
	h.cfg.Log.Info().Uint64("epoch", h.writer.lease.Epoch).Int("rows", len(jobs.Rows)).Int("progress", len(progress.Rows)).Dur("took", time.Since(start)).Msg("tables_loaded")
	return nil
}

// installTables makes the holder decide and answer from the tables that it has read, and
// takes the reports that have arrived meanwhile. The agents that have sent them may renew
// leases, so the engine counts the leases of all workers from now on.
func (h *holder) installTables(jobs platform.Changes, states map[string]*wire.JobProgress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.recoverPanic()
	h.engine = job.New(h.cfg.Engine, time.Now())
	h.restoreRows(jobs.Rows, states)
	h.jobsRevision = jobs.Revision
	h.loading = false
	for _, a := range h.agents {
		if r := a.early; r != nil {
			a.early = nil
			h.handleReport(a.conn, r)
		}
	}
}

// isLoading reports whether the tables are still being read.
func (h *holder) isLoading() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loading
}

// readTable reads a whole table and retries each page until the store answers. It
// returns the boot time of the request for the first page.
func (h *holder) readTable(ctx context.Context, table string) (platform.Changes, time.Duration, error) {
	r := platform.TableReader{Store: h.cfg.Store, Table: table, IdleTimeout: commitTimeout}
	pause := retryMin
	var readAt time.Duration
	for {
		if r.Pages == 0 {
			readAt = h.cfg.BootTime()
		}
		sent := time.Now()
		last, err := r.Next(ctx)
		switch {
		case last:
			return r.Changes, readAt, nil
		case err == nil:
			pause = retryMin
			continue
		case ctx.Err() != nil:
			return platform.Changes{}, 0, context.Cause(ctx)
		}
		h.cfg.Log.Warn().Str("table", table).Int("pages", r.Pages).Int("rows", len(r.Changes.Rows)).Dur("took", time.Since(sent)).Err(err).Msg("page_not_read")
		if err := sleep(ctx, jitter(pause)); err != nil {
			return platform.Changes{}, 0, err
		}
		pause = min(2*pause, retryMax)
	}
}

// applyJobRows adds rows of the job table to the engine.
func (h *holder) applyJobRows(c platform.Changes, states map[string]*wire.JobProgress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.recoverPanic()
	for _, row := range c.Rows {
		if s := h.unfinished[jobOfRow(row)]; s != nil {
			s.rows = append(s.rows, row)
		}
	}
	h.restoreRows(c.Rows, states)
	maps.DeleteFunc(h.deleted, func(_ string, revision uint64) bool { return revision <= c.Revision })
	h.jobsRevision = c.Revision
}

// restoreRows adds rows of the job table to the engine. A cancellation row may
// come before or after the row of its job. The caller holds mu.
func (h *holder) restoreRows(rows []platform.Row, states map[string]*wire.JobProgress) {
	now := time.Now()
	var cancelled []string
	for _, row := range rows {
		id := jobOfRow(row)
		switch {
		case row.Deleted: // with an expired job
		case strings.HasSuffix(row.Key, CancelSuffix):
			cancelled = append(cancelled, id)
		default:
			h.restoreJob(row, states[id], now)
		}
	}
	for _, id := range cancelled {
		_, state, known := h.engine.State(id)
		h.cfg.Log.Info().Str("job", id).Bool("known", known).Bool("stored", known && h.unfinished[id] == nil).Str("state", string(state)).Msg("cancellation_read")
		h.engine.Cancel(id, now)
		if _, seen := h.orphans[id]; !known && !seen && !h.engine.Expiring(id) {
			h.orphans[id] = now
		}
	}
}

// maxOrphanDeletes is how many cancellations without a job one transaction deletes,
// beside a batch of at most maxBatchBesideOrphans rows.
const (
	maxOrphanDeletes      = 20
	maxBatchBesideOrphans = 40
	rowsPerExpiredJob     = 3 // its own, its progress and its cancellation
)

// expiredOrphans returns the IDs of cancellations whose jobs were never stored, and
// which no delayed submission can need any more, as far as they fit beside the batch.
func (h *holder) expiredOrphans(b *job.Batch, now time.Time) []string {
	if b != nil && len(b.Progress)+rowsPerExpiredJob*len(b.Expired) > maxBatchBesideOrphans {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for id, at := range h.orphans {
		if len(ids) < maxOrphanDeletes && now.Sub(at) > h.cfg.Engine.Retention {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// forgetOrphans removes cancellations whose rows have been deleted.
func (h *holder) forgetOrphans(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		delete(h.orphans, id)
	}
}

// jobOfRow returns the ID of the job that a row of the job table belongs to.
func jobOfRow(row platform.Row) string {
	return strings.TrimSuffix(strings.TrimPrefix(row.Key, TableJob+"/"), CancelSuffix)
}

// restoreJob adds the job of one row to the engine. A known job is left
// unchanged, and a row that no entry can have written is skipped. The caller
// holds mu.
func (h *holder) restoreJob(row platform.Row, p *wire.JobProgress, now time.Time) {
	j, err := DecodeJob(row)
	if err != nil {
		h.cfg.Log.Error().Str("row", row.Key).Err(err).Msg("row_not_read")
		return
	}
	if _, _, known := h.engine.State(j.ID); known || h.engine.Expiring(j.ID) || row.Revision < h.deleted[j.ID] {
		return
	}
	h.engine.Restore(j, p, now)
	delete(h.orphans, j.ID)
	h.cfg.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Str("customer", j.Customer).Dur("age", now.Sub(j.Accepted)).Msg("job_taken_in")
}

// DecodeJob decodes a row of the job table. It fails for a row that no entry can
// have written: its job is not the one that its key names, or would not have been
// accepted.
func DecodeJob(row platform.Row) (wire.Job, error) {
	var j wire.Job
	if _, err := j.UnmarshalMsg(row.Value); err != nil {
		return j, err
	}
	if id := jobOfRow(row); id != j.ID {
		return j, &job.InvalidError{Field: "id", Reason: "is not the one in the key"}
	}
	return j, job.Validate(&j)
}

// watchTimes returns how long a poll of the job table waits at the store, and the time
// added to that for the response. A connection may fall silent, which only the end of
// both shows: together they are three fifths of the limit within which a cancellation
// must take effect, so that the next poll, on another connection, is in time. The wait
// alone is a quarter, since starts are ordered only while the cancellations are known as
// of half of the limit ago.
func watchTimes(cancelLimit time.Duration) (wait, margin time.Duration) {
	if cancelLimit <= 0 {
		return maxWatchWait, maxWatchMargin
	}
	return min(maxWatchWait, cancelLimit/4), min(maxWatchMargin, cancelLimit*7/20)
}

// watchJobs adds the jobs and cancellations that entries write to the job
// table.
func (h *holder) watchJobs(ctx context.Context) {
	maxWait, margin := watchTimes(h.cfg.CancelLimit)
	pause := retryMin
	for ctx.Err() == nil {
		if h.jobsRevision == 0 {
			c, readAt, err := h.readTable(ctx, TableJob)
			if err != nil {
				return
			}
			h.applyJobRows(c, nil)
			h.confirmJobs(readAt)
			h.requestRound()
		}
		wait := h.watchWait(maxWait)
		sentAt := h.cfg.BootTime()
		callCtx, cancel := platform.WithIdleTimeout(ctx, wait+margin, margin)
		c, err := h.cfg.Store.Watch(callCtx, TableJob, h.jobsRevision, wait)
		cancel()
		var lost *platform.HistoryLostError
		switch {
		case err == nil:
			pause = retryMin
			if len(c.Rows) > 0 {
				h.applyJobRows(c, nil)
				h.requestRound()
			}
			h.jobsRevision = c.Revision
			h.confirmJobs(c.ConfirmedAt(wait, sentAt, h.cfg.BootTime()))
		case errors.As(err, &lost):
			h.cfg.Log.Warn().Uint64("after", lost.After).Msg("history_lost")
			h.jobsRevision = 0
		default:
			_ = sleep(ctx, jitter(pause))
			pause = min(2*pause, retryMax)
		}
	}
}

// watchWait returns how long the next poll of the job table waits. With a limit for
// cancellations it waits less if the known ones are old already, because the previous
// response took long or brought changes at the end of its poll.
func (h *holder) watchWait(maxWait time.Duration) time.Duration {
	if h.cfg.CancelLimit <= 0 {
		return maxWait
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(maxWait-h.jobsAge(), 0)
}

// confirmJobs records the boot time as of which all jobs and cancellations are known.
func (h *holder) confirmJobs(at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobsReadAt = max(h.jobsReadAt, at)
	if h.startsWithheld && h.startPermission() > 0 {
		h.startsWithheld = false
		h.cfg.Log.Info().Dur("age", h.jobsAge()).Msg("starts_permitted")
		for node := range h.agents {
			h.notifyAgent(node)
		}
	}
}

// jobsAge returns the time since all jobs and cancellations were known. The caller holds
// mu.
func (h *holder) jobsAge() time.Duration { return h.cfg.BootTime() - h.jobsReadAt }

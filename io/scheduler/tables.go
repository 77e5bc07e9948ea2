package scheduler

import (
	"context"
	"errors"
	"strings"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// load reads what earlier schedulers have recorded.
func (h *holder) load(ctx context.Context) error {
	// Nobody but the holder of the lease writes progress, so that both tables may
	// be read at once.
	var progress platform.Changes
	var progressErr error
	read := make(chan struct{})
	go func() {
		defer close(read)
		progress, progressErr = h.list(ctx, TableProgress)
	}()
	jobs, err := h.list(ctx, TableJob)
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
	h.takeJobs(jobs, states)
	h.cfg.Log.Info().Uint64("epoch", h.writer.lease.Epoch).Int("rows", len(jobs.Rows)).Int("progress", len(progress.Rows)).Msg("tables_loaded")
	return nil
}

// list reads a whole table, until the store answers.
func (h *holder) list(ctx context.Context, table string) (platform.Changes, error) {
	pause := retryMin
	for {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		c, err := h.cfg.Store.Watch(callCtx, table, 0, 0)
		cancel()
		if err == nil {
			return c, nil
		}
		if err := sleep(ctx, jitter(pause)); err != nil {
			return platform.Changes{}, err
		}
		pause = min(2*pause, retryMax)
	}
}

// takeJobs takes in rows of the job table. Marks of cancelled jobs may stand
// before or after their jobs.
func (h *holder) takeJobs(c platform.Changes, states map[string]*wire.JobProgress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var cancelled []string
	for _, row := range c.Rows {
		key := strings.TrimPrefix(row.Key, TableJob+"/")
		if id, ok := strings.CutSuffix(key, CancelSuffix); ok {
			cancelled = append(cancelled, id)
		} else if !row.Deleted {
			h.takeJob(row, states[key], now)
		}
	}
	for _, id := range cancelled {
		h.engine.Cancel(id, now)
	}
	h.feed = c.Revision
}

// takeJob takes in one row of the job table. A job that is known stays as it is.
// The caller holds the lock.
func (h *holder) takeJob(row platform.Row, p *wire.JobProgress, now time.Time) {
	var j wire.Job
	if _, err := j.UnmarshalMsg(row.Value); err != nil {
		h.cfg.Log.Error().Str("row", row.Key).Err(err).Msg("row_not_read")
		return
	}
	if _, _, known := h.engine.State(j.ID); known || h.engine.Expiring(j.ID) {
		return
	}
	h.engine.Restore(j, p, now)
	h.cfg.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Str("customer", j.Customer).Dur("age", now.Sub(j.Accepted)).Msg("job_taken_in")
}

// takeStored takes in jobs whose rows an entry has written first. The feed may
// have shown them before, while this process still hoped to insert them itself.
func (h *holder) takeStored(rows []platform.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range rows {
		h.takeJob(row, nil, time.Now())
	}
	h.poke()
}

// follow takes in what entries add to the job table.
func (h *holder) follow(ctx context.Context) {
	defer h.wg.Done()
	pause := retryMin
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, feedWait+feedMargin)
		c, err := h.cfg.Store.Watch(callCtx, TableJob, h.feed, feedWait)
		cancel()
		var lost *platform.HistoryLostError
		switch {
		case err == nil:
			pause = retryMin
			if len(c.Rows) > 0 {
				h.takeJobs(c, nil)
				h.poke()
			}
			h.feed = c.Revision
		case errors.As(err, &lost):
			h.cfg.Log.Warn().Uint64("after", lost.After).Msg("history_lost")
			h.feed = 0
		default:
			_ = sleep(ctx, jitter(pause))
			pause = min(2*pause, retryMax)
		}
	}
}

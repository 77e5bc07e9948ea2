package scheduler

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Times of the holder's loop.
const (
	batchDelay   = 8 * time.Millisecond // gathers what arrives together into one transaction
	tickInterval = 250 * time.Millisecond
	feedWait     = 5 * time.Second // a long poll of the store
	feedMargin   = 1500 * time.Millisecond
	releaseLimit = time.Second // to give the lease up at a stop
	tokenBits    = 20          // of connections in one epoch
	lifeBits     = 8           // left to the agent, for its worker's lifetimes
)

// holder is this process while it is the scheduler.
type holder struct {
	cfg    Config
	writer *writer
	wake   chan struct{}
	wg     sync.WaitGroup
	feed   uint64 // revision of the job table that is taken in

	mu        sync.Mutex
	engine    *job.Engine
	agents    map[string]*agentLink // by node
	links     map[*frame.Conn]struct{}
	tokens    uint64
	confirmAt time.Time
	yielding  bool // another entry is asked to take over
	closed    bool
	took      time.Duration       // of the newest transaction that was written
	next      wire.SchedulerLease // of the process that has taken over; epoch 0 if none is known
	replaced  context.CancelFunc  // ends the run
	waiting   []*submission       // to be written by the next transactions
	open      map[string]*submission
	advising  sync.Mutex // the service takes one question of a machine at a time
}

func newHolder(cfg Config, w *writer) *holder {
	h := &holder{
		cfg:       cfg,
		writer:    w,
		wake:      make(chan struct{}, 1),
		engine:    job.New(cfg.Engine, time.Now()),
		agents:    make(map[string]*agentLink),
		links:     make(map[*frame.Conn]struct{}),
		open:      make(map[string]*submission),
		confirmAt: w.confirmed,
	}
	w.refused = func(since time.Duration) {
		if since >= yieldRefused {
			h.yield()
		}
	}
	return h
}

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

// run decides, writes and sends orders until the lease is lost or ctx ends.
func (h *holder) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.mu.Lock()
	h.replaced = cancel
	h.mu.Unlock()
	h.wg.Add(1)
	go h.follow(ctx)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			if next := h.successor(); next.Epoch > 0 {
				return &DeposedError{Holder: next.Holder, Epoch: next.Epoch}
			}
			return ctx.Err()
		case <-t.C:
		case <-h.wake:
			_ = sleep(ctx, batchDelay)
		}
		err := h.round(ctx)
		if next := h.successor(); next.Epoch > 0 {
			return &DeposedError{Holder: next.Holder, Epoch: next.Epoch}
		}
		if err != nil {
			return err
		}
	}
}

// successor returns the lease of the process that has taken over, if it has said
// so.
func (h *holder) successor() wire.SchedulerLease {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next
}

// depose ends this holder: another process holds the lease.
func (h *holder) depose(l wire.SchedulerLease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Epoch <= h.writer.lease.Epoch || l.Epoch <= h.next.Epoch {
		return
	}
	h.cfg.Log.Info().Str("successor", l.Holder).Uint64("epoch", l.Epoch).Msg("lease_lost")
	h.next = l
	for c := range h.links {
		h.tell(c, &wire.Taken{Lease: l})
	}
	if h.replaced != nil {
		h.replaced()
	}
}

// round runs one tick, writes what it decided and sends the orders.
func (h *holder) round(ctx context.Context) error {
	h.mu.Lock()
	now := time.Now()
	h.engine.SetGuarantees(h.cfg.Guarantees())
	taken := h.takeSubmissions(now)
	h.engine.Expire(now)
	h.engine.Tick(now)
	batch := h.engine.Flush()
	h.mu.Unlock()
	if batch != nil || len(taken) > 0 || now.Sub(h.writer.confirmed) >= renewInterval {
		if err := h.writeRound(ctx, batch, taken); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmAt != h.writer.confirmed {
		h.tellEntries(&wire.Renewed{Epoch: h.writer.lease.Epoch, Sequence: h.writer.lease.Sequence})
	}
	h.confirmAt, h.yielding = h.writer.confirmed, false
	if batch != nil {
		h.engine.Committed(batch)
	}
	for _, node := range h.engine.TakeChanged() {
		h.sendOrders(node)
	}
	h.askAdvice(ctx, now)
	return nil
}

// writeRound writes a batch and the jobs that were submitted. Jobs that cannot
// be inserted are taken back, and the rest is written without them.
func (h *holder) writeRound(ctx context.Context, batch *job.Batch, taken []*submission) error {
	for {
		c, err := rows(batch, taken)
		if err != nil {
			return err
		}
		err = h.write(ctx, c)
		var exists *ExistsError
		var turned *TurnedAwayError
		switch {
		case err == nil:
			h.settle(taken, wire.SubmitStored)
			return nil
		case errors.As(err, &exists) && len(taken) > 0:
			there := existing(taken, exists.Rows)
			h.withdraw(batch, there, wire.SubmitKnown)
			h.takeStored(exists.Rows)

			taken = slices.DeleteFunc(taken, func(s *submission) bool { return slices.Contains(there, s) })
			if len(there) == 0 { // the store does not say which
				h.withdraw(batch, taken, wire.SubmitUnknown)
				taken = nil
			}
		case errors.As(err, &turned):
			h.withdraw(batch, taken, wire.SubmitDeclined)
			taken = nil
		default:
			h.settle(taken, wire.SubmitUnknown)
			return err
		}
	}
}

// write writes a batch. While the store does not answer, another entry is asked
// to take over. A write that is under way at a stop gets
// some time to end, since its outcome must be known to release the lease.
func (h *holder) write(ctx context.Context, c changes) error {
	start := time.Now()
	ctx, cancel := lingering(ctx, func() time.Duration {
		if h.successor().Epoch > 0 {
			return 0 // what is under way can no longer be applied
		}
		return releaseLimit
	})
	defer cancel()
	t := time.AfterFunc(h.expect(3, yieldAfter, yieldLimit), h.yield)
	defer t.Stop()
	err := h.writer.write(ctx, c)
	if err == nil {
		h.mu.Lock()
		h.took = time.Since(start)
		h.mu.Unlock()
	}
	n := len(c.writes) + len(c.inserts)
	h.cfg.Metrics.observeCommit(time.Since(start), n, err)
	if took := time.Since(start); took > commitTimeout {
		h.cfg.Log.Warn().Dur("took", took).Int("rows", n).Err(err).Msg("slow_commit")
	}
	return err
}

// expect returns how long to wait for a transaction: so many times what the one
// before has taken, within bounds.
func (h *holder) expect(times int, least, most time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(time.Duration(times)*h.took, least), most)
}

// lingering returns a context that ends some time after its parent.
func lingering(parent context.Context, limit func() time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		time.AfterFunc(limit(), cancel)
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// rows encodes a batch and the rows of submitted jobs.
func rows(b *job.Batch, taken []*submission) (changes, error) {
	var c changes
	for _, s := range taken {
		c.inserts = append(c.inserts, platform.Write{Key: TableJob + "/" + s.job.ID, Value: s.row})
	}
	if b == nil {
		return c, nil
	}
	for _, p := range b.Progress {
		value, err := p.Progress.MarshalMsg(nil)
		if err != nil {
			return changes{}, err
		}
		c.writes = append(c.writes, platform.Write{Key: TableProgress + "/" + p.ID, Value: value})
	}
	for _, id := range b.Expired {
		for _, key := range []string{TableJob + "/" + id, TableProgress + "/" + id, TableJob + "/" + id + CancelSuffix} {
			c.writes = append(c.writes, platform.Write{Key: key, Delete: true})
		}
	}
	return c, nil
}

// follow takes in what entries add to the job table.
func (h *holder) follow(ctx context.Context) {
	defer h.wg.Done()
	pause := retryMin
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, feedWait+feedMargin)
		c, err := h.cfg.Store.Watch(callCtx, TableJob, h.feed, feedWait)
		cancel()
		var lost *platform.HistoryError
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

func (h *holder) poke() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// confirmed reports whether the lease was written recently.
func (h *holder) confirmed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.confirmAt) <= ConfirmLimit
}

// retire takes in no more jobs. Links stay open until the lease is released.
func (h *holder) retire() {
	h.mu.Lock()
	h.closed = true
	waiting := h.waiting
	h.waiting = nil
	h.mu.Unlock()
	h.settle(waiting, wire.SubmitDeclined) // none of them was written
}

func (h *holder) close() {
	h.dropLinks()
	h.wg.Wait()
}

// giveUp releases the lease and says so, so that another process takes it at
// once.
func (h *holder) giveUp() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	h.writer.lease.Released = true
	if err := h.writer.write(ctx, changes{}); err != nil {
		h.cfg.Log.Warn().Err(err).Msg("lease_not_released")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tellEntries(&wire.Yield{Epoch: h.writer.lease.Epoch})
}

package scheduler

import (
	"context"
	"errors"
	"slices"
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
				return &LeaseLostError{Holder: next.Holder, Epoch: next.Epoch}
			}
			return ctx.Err()
		case <-t.C:
		case <-h.wake:
			_ = sleep(ctx, batchDelay)
		}
		err := h.round(ctx)
		if next := h.successor(); next.Epoch > 0 {
			return &LeaseLostError{Holder: next.Holder, Epoch: next.Epoch}
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
		h.tell(c, &wire.LeaseTaken{Lease: l})
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
		h.tellEntries(&wire.LeaseRenewed{Epoch: h.writer.lease.Epoch, Sequence: h.writer.lease.Sequence})
	}
	h.confirmAt, h.yielding = h.writer.confirmed, false
	if batch != nil {
		h.engine.MarkCommitted(batch)
	}
	for _, node := range h.engine.TakeChangedNodes() {
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
		var exists *RowsExistError
		var turned *WriteRejectedError
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
	return time.Since(h.confirmAt) <= MaxConfirmAge
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
	h.tellEntries(&wire.LeaseOffer{Epoch: h.writer.lease.Epoch})
}

package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Timing and token layout of the holder.
const (
	batchDelay     = 8 * time.Millisecond // collects changes that arrive together into one transaction
	tickInterval   = 250 * time.Millisecond
	maxWatchWait   = 5 * time.Second         // long poll of the job table
	maxWatchMargin = 1500 * time.Millisecond // added to the long poll, for the response of the store
	releaseTimeout = time.Second             // for releasing the lease on shutdown
	connBits       = 20                      // of a fencing token that number the agent connections of an epoch
	lifetimeBits   = 8                       // of a fencing token in which the agent counts its worker's lifetimes
)

// holder is the state of this process while it is the scheduler.
type holder struct {
	cfg          Config
	writer       *writer
	wake         chan struct{}
	wg           sync.WaitGroup
	jobsRevision uint64 // revision up to which the job table has been read

	mu             sync.Mutex
	engine         *job.Engine
	agents         map[string]*agentLink   // keyed by node
	links          map[*frame.Conn]*outbox // connections of agents and entries
	agentConns     uint64                  // number of agent connections so far; part of their fencing tokens
	confirmedAt    time.Duration           // boot time of the last commit of the lease; copy of writer.committedAt that mu guards
	offered        bool                    // other entries have been asked to take over
	closed         bool                    // no more submissions and connections are accepted
	commitDuration time.Duration           // of the last committed transaction
	successorLease wire.SchedulerLease     // of the process that took over; epoch 0 if unknown
	cancelRun      context.CancelFunc      // stops run
	failure        error                   // unexpected error that ends the term
	queued         []*submission           // submissions for the next transactions
	unfinished     map[string]*submission  // submissions without an outcome, by job ID
	orphans        map[string]time.Time    // when cancellations without a job were read, by job ID
	deleted        map[string]uint64       // revisions at which rows of jobs were deleted, which the watch may not have passed
	jobsReadAt     time.Duration           // boot time as of which the job table is known
	startsWithheld bool                    // it is too old for orders to start
	loading        bool                    // the tables are being read; agents only get their tokens and the permission to renew leases
	adviceMu       sync.Mutex              // the service handles one request at a time from each machine
}

func newHolder(cfg Config, w *writer) *holder {
	h := &holder{
		cfg:         cfg,
		writer:      w,
		wake:        make(chan struct{}, 1),
		engine:      job.New(cfg.Engine, time.Now()),
		agents:      make(map[string]*agentLink),
		links:       make(map[*frame.Conn]*outbox),
		unfinished:  make(map[string]*submission),
		orphans:     make(map[string]time.Time),
		deleted:     make(map[string]uint64),
		confirmedAt: w.committedAt,
		loading:     true,
	}
	w.onFailure = func(since time.Duration) {
		if since >= offerAfterRefusals {
			h.offerLease()
		}
	}
	return h
}

// run schedules, commits and sends orders until the lease is lost or ctx ends.
func (h *holder) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.mu.Lock()
	h.cancelRun = cancel
	h.mu.Unlock()
	h.start(func() { h.watchJobs(ctx) })
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return h.termError(ctx.Err())
		case <-t.C:
		case <-h.wake:
			_ = sleep(ctx, batchDelay)
		}
		if err := h.termError(h.round(ctx)); err != nil {
			return err
		}
	}
}

// termError returns why the term ends: another process holds the lease, the term has
// failed, or err. It returns nil if the term goes on.
func (h *holder) termError(err error) error {
	if next := h.successor(); next.Epoch > 0 {
		return &LeaseLostError{Holder: next.Holder, Epoch: next.Epoch}
	}
	if failure := h.termFailure(); failure != nil {
		return failure
	}
	return err
}

// successor returns the lease of the process that took over, if known.
func (h *holder) successor() wire.SchedulerLease {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successorLease
}

// loseLease stops this holder because another process holds the lease, and
// forwards that lease to all connections.
func (h *holder) loseLease(l wire.SchedulerLease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Epoch <= h.writer.lease.Epoch || l.Epoch <= h.successorLease.Epoch {
		return
	}
	h.cfg.Log.Info().Str("successor", l.Holder).Uint64("epoch", l.Epoch).Msg("lease_lost")
	h.successorLease = l
	for c := range h.links {
		h.send(c, &wire.LeaseTaken{Lease: l})
	}
	if h.cancelRun != nil {
		h.cancelRun()
	}
}

// round runs one scheduling tick, commits its decisions and sends the orders.
func (h *holder) round(ctx context.Context) error {
	now := time.Now()
	batch, submitted, err := h.decide(now)
	if err != nil {
		h.finishAll(submitted, wire.SubmitDeclined)
		return err
	}
	if batch != nil || len(submitted) > 0 || h.cfg.BootTime()-h.writer.committedAt >= renewInterval {
		if err := h.writeRound(ctx, batch, submitted); err != nil {
			return err
		}
	}
	h.finishRound(ctx, batch, now)
	return nil
}

// finishRound applies a committed round and sends the orders.
func (h *holder) finishRound(ctx context.Context, batch *job.Batch, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.recoverPanic()
	h.confirmLease()
	if batch != nil {
		h.engine.MarkCommitted(batch)
		for _, id := range batch.Expired {
			h.deleted[id] = h.writer.revision
		}
	}
	for _, node := range h.engine.TakeChangedNodes() {
		h.notifyAgent(node)
	}
	h.requestAdvice(ctx, now)
}

// confirmLease records the last commit of the lease and announces it to the entries. The
// caller holds mu.
func (h *holder) confirmLease() {
	if h.confirmedAt != h.writer.committedAt {
		h.sendToEntries(&wire.LeaseRenewed{Epoch: h.writer.lease.Epoch, Sequence: h.writer.lease.Sequence})
	}
	h.confirmedAt, h.offered = h.writer.committedAt, false
}

// decide runs one scheduling tick and returns its changes and the submitted jobs
// among them. It fails if the term has failed.
func (h *holder) decide(now time.Time) (batch *job.Batch, submitted []*submission, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer func() { err = h.failure }()
	defer h.recoverPanic()
	if h.failure != nil {
		return nil, nil, h.failure
	}
	h.engine.SetGuarantees(h.cfg.Guarantees())
	h.engine.SetEvacuated(h.cfg.Evacuation(), now)
	submitted = h.dequeueSubmissions(now)
	h.engine.Expire(now)
	h.engine.Tick(now)
	return h.engine.Flush(), submitted, nil
}

// writeRound commits a batch and the submitted jobs. Jobs that cannot be
// inserted are withdrawn, and the rest is committed without them.
func (h *holder) writeRound(ctx context.Context, batch *job.Batch, submitted []*submission) error {
	for {
		c, err := encodeChanges(batch, submitted)
		if err != nil {
			return err
		}
		expired := h.expiredOrphans(batch, time.Now())
		for _, id := range expired {
			c.writes = append(c.writes, platform.Write{Key: TableJob + "/" + id + CancelSuffix, Delete: true})
		}
		err = h.write(ctx, c)
		var exist *RowsExistError
		var rejected *WriteRejectedError
		switch {
		case err == nil:
			h.finishAll(submitted, wire.SubmitStored)
			h.forgetOrphans(expired)
			return nil
		case errors.As(err, &exist) && len(submitted) > 0:
			present, cancelled, rest := partition(submitted, exist.Rows)
			if len(present)+len(cancelled) == 0 { // the store did not return the existing rows
				h.withdraw(batch, submitted, nil, wire.SubmitUnknown)
				rest = nil
			}
			h.withdraw(batch, present, exist.Rows, wire.SubmitKnown)
			h.withdraw(batch, cancelled, nil, wire.SubmitCancelled)
			submitted = rest
		case errors.As(err, &rejected):
			h.withdraw(batch, submitted, nil, wire.SubmitDeclined)
			submitted = nil
		default:
			h.finishAll(submitted, wire.SubmitUnknown)
			return err
		}
	}
}

// write commits changes. While the store does not answer, it asks another
// entry to take over. A commit in progress at shutdown gets some time to
// finish, since its outcome must be known to release the lease.
func (h *holder) write(ctx context.Context, c changes) error {
	start := time.Now()
	ctx, cancel := withGracePeriod(ctx, func() time.Duration {
		if h.successor().Epoch > 0 {
			return 0 // a transaction in progress can no longer be applied
		}
		return releaseTimeout
	})
	defer cancel()
	t := time.AfterFunc(h.scaledTimeout(3, offerMin, offerMax), h.offerLease)
	defer t.Stop()
	err := h.writer.write(ctx, c)
	if err == nil {
		h.mu.Lock()
		h.commitDuration = time.Since(start)
		h.mu.Unlock()
	}
	n := len(c.writes) + len(c.inserts)
	h.cfg.Metrics.observeCommit(time.Since(start), n, err)
	if took := time.Since(start); took > commitTimeout {
		h.cfg.Log.Warn().Dur("took", took).Int("rows", n).Err(err).Msg("slow_commit")
	}
	return err
}

// scaledTimeout returns a multiple of the duration of the last commit, within
// bounds.
func (h *holder) scaledTimeout(times int, least, most time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(time.Duration(times)*h.commitDuration, least), most)
}

// withGracePeriod returns a context that ends limit() after its parent.
func withGracePeriod(parent context.Context, limit func() time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		time.AfterFunc(limit(), cancel)
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// encodeChanges encodes a batch and the rows of submitted jobs.
func encodeChanges(b *job.Batch, submitted []*submission) (changes, error) {
	var c changes
	for _, s := range submitted {
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

func (h *holder) requestRound() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// confirmedRecently reports whether the last commit of the lease is recent
// enough to accept connections.
func (h *holder) confirmedRecently() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaseAge() <= MaxConfirmAge
}

// leaseAge returns the time since the last commit of the lease, including any for
// which the VM was suspended. The caller holds mu.
func (h *holder) leaseAge() time.Duration { return h.cfg.BootTime() - h.confirmedAt }

// rejectSubmissions declines queued and further submissions and accepts no
// more connections. Existing connections stay open until the lease is
// released.
func (h *holder) rejectSubmissions() {
	h.mu.Lock()
	h.closed = true
	waiting := h.queued
	h.queued = nil
	h.mu.Unlock()
	h.finishAll(waiting, wire.SubmitDeclined) // none of them was committed
}

func (h *holder) close() {
	h.closeConns()
	h.wg.Wait()
}

// releaseLease releases the lease and notifies the entries, so that another
// one takes it at once.
func (h *holder) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	h.writer.lease.Released = true
	if err := h.writer.write(ctx, changes{}); err != nil {
		h.cfg.Log.Warn().Err(err).Msg("lease_not_released")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sendToEntries(&wire.LeaseOffer{Epoch: h.writer.lease.Epoch})
}

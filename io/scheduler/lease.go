// Package scheduler elects one scheduler for a pool of workers, persists its
// decisions and connects agents and entries to it.
//
// The scheduler is the process named in the lease row of the store. It
// rewrites that row in every transaction, conditional on the row's revision.
// So transactions apply in one order, and none applies once another process
// has taken over.
package scheduler

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Tables and keys in the store.
const (
	TableJob       = "job"       // accepted jobs, and cancellation rows
	TableProgress  = "progress"  // written by the scheduler only
	TableScheduler = "scheduler" // the lease row
	leaseKey       = TableScheduler + "/lease"
	CancelSuffix   = ".cancel" // suffix of a job's key in the row that marks it as cancelled
)

// Timing of the lease.
const (
	renewInterval       = 400 * time.Millisecond  // checked at each tick, so about every half second
	takeOverAfter       = 2500 * time.Millisecond // age of an unchanged lease that may be taken; twice what a slow store needs
	takeOverUnreachable = 900 * time.Millisecond  // the same while the holder is unreachable too: one missed renewal
	pollLinked          = 2 * time.Second         // interval of lease reads while linked to the scheduler
	pollUnlinked        = 250 * time.Millisecond  // the same while not linked
	commitTimeout       = 1500 * time.Millisecond // for a call of which nothing arrives; several times the response time of a slow store
	retryMin            = 50 * time.Millisecond   // backoff after a failed store call
	retryMax            = 200 * time.Millisecond

	// loadIdleTimeout is how long a new holder that receives nothing of its tables keeps
	// the lease, and loadRetryDelay how long it leaves the lease to others then.
	loadIdleTimeout = takeOverAfter
	loadRetryDelay  = takeOverUnreachable

	// offerMin and offerMax bound the time without a committed transaction
	// after which the holder asks another entry to take over, if the store does
	// not answer at all. The time is 3 times the duration of the last commit.
	// Transactions of a store that is 100 times slower than usual take up to a
	// second.
	offerMin = 1300 * time.Millisecond
	offerMax = 2500 * time.Millisecond

	// offerAfterRefusals is the same limit while the store refuses calls.
	offerAfterRefusals = 250 * time.Millisecond

	// declineMin and declineMax bound the time after which a job that could not
	// be written is returned to its entry, which may reach the store itself.
	// The time is 2 times the duration of the last commit. Each returned job
	// costs a slow store a transaction of its own.
	declineMin = 500 * time.Millisecond
	declineMax = 1200 * time.Millisecond

	// MaxConfirmAge is the greatest age of the last committed lease at which
	// the holder allows agents to renew their workers' leases.
	MaxConfirmAge = 3 * time.Second

	// RenewalGrant is how long after sending a report an agent may renew its
	// worker's lease. It spans a takeover of the scheduler.
	RenewalGrant = 4 * time.Second

	// WorkerLeaseDuration is the duration of a worker's lease.
	WorkerLeaseDuration = 4 * time.Second
)

// WorkerLeaseExpiry is the time after the last report of a worker at which its
// lease has certainly expired. A former scheduler may have allowed renewals
// for MaxConfirmAge, and the worker's clock may be 2% slow.
const WorkerLeaseExpiry = MaxConfirmAge + RenewalGrant + WorkerLeaseDuration*102/100

// LeaseLostError means that another process has become the scheduler, or, if
// Holder is empty, that the lease row is gone.
type LeaseLostError struct {
	Holder string
	Epoch  uint64
}

// Error names the new holder.
func (e *LeaseLostError) Error() string {
	return fmt.Sprintf("scheduler: lease taken by %s in epoch %d", e.Holder, e.Epoch)
}

// MalformedLeaseError means that the lease row is not one that a scheduler has
// written.
type MalformedLeaseError struct {
	Revision uint64
	Cause    error // of the decoding, or nil if the epoch is out of range
}

// Error returns the revision of the row and the cause.
func (e *MalformedLeaseError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("scheduler: lease row of revision %d has an epoch out of range", e.Revision)
	}
	return fmt.Sprintf("scheduler: lease row of revision %d: %v", e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedLeaseError) Unwrap() error { return e.Cause }

// readLease returns the lease and the revision of its row, which is 0 if there
// is no row. Of a malformed row it returns the substitute of decodeLease together
// with the error.
func readLease(ctx context.Context, store platform.Store) (wire.SchedulerLease, uint64, error) {
	row, err := store.Get(ctx, leaseKey)
	if err != nil || row.Revision == 0 {
		return wire.SchedulerLease{}, 0, err
	}
	l, err := decodeLease(row)
	return l, row.Revision, err
}

// decodeLease decodes the lease row. For a row that no scheduler has written it
// returns a *MalformedLeaseError, and a released lease that any candidate may take.
// The epoch of that lease is the row's revision: a revision counts all transactions,
// and every epoch begins with one, so that no earlier epoch is higher.
func decodeLease(row platform.Row) (wire.SchedulerLease, error) {
	var l wire.SchedulerLease
	_, err := l.UnmarshalMsg(row.Value)
	if err == nil && l.Epoch > 0 && l.Epoch <= row.Revision {
		return l, nil
	}
	return wire.SchedulerLease{Epoch: row.Revision, Released: true}, &MalformedLeaseError{Revision: row.Revision, Cause: err}
}

// writer commits the holder's transactions, one at a time.
type writer struct {
	store       platform.Store
	onFailure   func(since time.Duration) // called after each failed attempt; may be nil
	lease       wire.SchedulerLease
	revision    uint64
	committedAt time.Duration // boot time at which the last committed transaction was sent
	bootTime    func() time.Duration
}

// changes are the writes of a transaction besides the lease. Inserts are rows of
// jobs, and require that neither they nor their cancellations exist yet.
type changes struct {
	writes  []platform.Write
	inserts []platform.Write
}

// RowsExistError means that rows to insert, or their cancellations, exist already.
// The transaction has changed nothing.
type RowsExistError struct {
	Rows []platform.Row
}

// Error returns the number of existing rows.
func (e *RowsExistError) Error() string {
	return fmt.Sprintf("scheduler: %d rows to insert already exist", len(e.Rows))
}

// WriteRejectedError means that the store has rejected every attempt of a
// transaction with inserts for some time. The transaction has not been applied
// and never will be.
type WriteRejectedError struct {
	Since time.Duration
	Cause error
}

// Error returns the last failure and how long the attempts lasted.
func (e *WriteRejectedError) Error() string {
	return fmt.Sprintf("scheduler: store rejected writes for %v: %v", e.Since, e.Cause)
}

// Unwrap returns the last failure.
func (e *WriteRejectedError) Unwrap() error { return e.Cause }

// claim makes this process the holder by replacing the lease row read at the
// given revision.
func (w *writer) claim(ctx context.Context, old wire.SchedulerLease, revision uint64) error {
	w.lease.Epoch = old.Epoch + 1
	w.lease.Sequence = 0
	w.lease.Released = false
	w.revision = revision
	return w.write(ctx, changes{})
}

// txn returns a transaction of the changes and the next version of the lease.
func (w *writer) txn(c changes) (platform.Txn, error) {
	w.lease.Sequence++
	value, err := w.lease.MarshalMsg(nil)
	if err != nil {
		return platform.Txn{}, err
	}
	t := platform.Txn{
		Conditions: []platform.Condition{{Key: leaseKey, Revision: w.revision}},
		Writes:     []platform.Write{{Key: leaseKey, Value: value}},
	}
	t.Writes = append(t.Writes, c.writes...)
	for _, row := range c.inserts {
		t.Conditions = append(t.Conditions, platform.Condition{Key: row.Key}, platform.Condition{Key: row.Key + CancelSuffix})
		t.Writes = append(t.Writes, row)
	}
	return t, nil
}

// write applies changes in one transaction. It retries until they are known to
// be applied, another process holds the lease, or ctx ends. A transaction with
// inserts may also end with a RowsExistError or a WriteRejectedError.
func (w *writer) write(ctx context.Context, c changes) error {
	t, err := w.txn(c)
	if err != nil {
		return err
	}
	pause := retryMin
	start := time.Now()
	maybeApplied := false // an attempt may have been applied
	for {
		sent := w.bootTime()
		callCtx, cancel := platform.WithIdleTimeout(ctx, commitTimeout, commitTimeout)
		revision, err := w.store.Commit(callCtx, t)
		cancel()
		if err == nil {
			w.revision, w.committedAt = revision, sent
			return nil
		}
		if done, err := w.resolve(err, sent); done {
			return err
		}
		since := time.Since(start)
		if w.onFailure != nil {
			w.onFailure(since)
		}
		var unavailable *platform.UnavailableError
		maybeApplied = maybeApplied || !errors.As(err, &unavailable) || unavailable.MaybeApplied
		if len(c.inserts) > 0 && !maybeApplied && since >= declineMin {
			return &WriteRejectedError{Since: since, Cause: err}
		}
		if err := sleep(ctx, jitter(pause)); err != nil {
			return err
		}
		pause = min(2*pause, retryMax)
	}
}

// resolve reports whether the outcome of a transaction is known from a
// conflict: an earlier attempt was applied and its response was lost, rows to
// insert exist already, or another process holds the lease.
func (w *writer) resolve(err error, sent time.Duration) (bool, error) {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Rows) == 0 {
		return false, nil
	}
	i := slices.IndexFunc(conflict.Rows, func(r platform.Row) bool { return r.Key == leaseKey })
	if i < 0 || conflict.Rows[i].Revision == w.revision && w.revision != 0 {
		return true, &RowsExistError{Rows: slices.DeleteFunc(conflict.Rows, func(r platform.Row) bool {
			return r.Key == leaseKey || r.Revision == 0
		})}
	}
	row := conflict.Rows[i]
	if row.Revision == 0 {
		return true, &LeaseLostError{}
	}
	l, _ := decodeLease(row) // a malformed row is not the one of this process either
	if l.Holder == w.lease.Holder && l.Epoch == w.lease.Epoch && l.Sequence == w.lease.Sequence {
		w.revision, w.committedAt = row.Revision, sent
		return true, nil
	}
	return true, &LeaseLostError{Holder: l.Holder, Epoch: l.Epoch}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	var b [1]byte
	_, _ = rand.Read(b[:]) // never fails
	return d/2 + d/2*time.Duration(b[0])/256
}

func newKey() []byte {
	key := make([]byte, 16)
	_, _ = rand.Read(key) // never fails
	return key
}

// Package scheduler keeps one scheduler for a pool of workers: who it is, what
// it writes, and how agents and entries reach it.
//
// The row of its lease says who it is. The holder replaces that row in every
// transaction, conditional on its version, so that transactions apply in one
// order and none applies once another process has taken over.
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

// Tables and rows of the scheduler.
const (
	TableJob       = "job"       // accepted jobs, and marks of cancelled ones
	TableProgress  = "progress"  // written by the scheduler alone
	TableScheduler = "scheduler" // who decides
	leaseKey       = TableScheduler + "/lease"
	CancelSuffix   = ".cancel" // after a job's key
)

// Times of the lease.
const (
	renewInterval = 400 * time.Millisecond  // checked at each tick, so each half second
	staleLimit    = 2500 * time.Millisecond // unchanged for so long, the lease may be taken: twice what a slow store needs
	lostLimit     = 900 * time.Millisecond  // the same, while its holder cannot be reached either: one missed renewal
	pollLinked    = 2 * time.Second         // while the scheduler answers
	pollUnlinked  = 250 * time.Millisecond  // while it does not
	commitTimeout = 1500 * time.Millisecond // several times an answer of a slow store
	retryMin      = 50 * time.Millisecond   // after a refused transaction
	retryMax      = 200 * time.Millisecond

	// yieldAfter and yieldLimit bound the time without a written transaction
	// after which the holder asks another entry to take over, if it gets no
	// answer at all: three times what the one before has taken. Transactions
	// of a store that is slow a hundred times take up to a second.
	yieldAfter = 1300 * time.Millisecond
	yieldLimit = 2500 * time.Millisecond

	// yieldRefused is the same, if the store turns the holder away.
	yieldRefused = 250 * time.Millisecond

	// declineAfter and declineLimit bound the time after which a job that could
	// not be written is given back to its entry, whose own way to the store may
	// be open: twice what the transaction before has taken. Jobs that are given
	// back cost a slow store a transaction each.
	declineAfter = 500 * time.Millisecond
	declineLimit = 1200 * time.Millisecond

	// MaxConfirmAge is the age of the last written lease up to which the
	// holder grants agents the right to renew their workers' leases.
	MaxConfirmAge = 3 * time.Second

	// RenewalGrant is the time after its report for which an agent may renew.
	// It spans a take-over.
	RenewalGrant = 4 * time.Second

	// WorkerLeaseDuration is the length of a worker's lease.
	WorkerLeaseDuration = 4 * time.Second
)

// WorkerLeaseExpiry is the time after which a worker's lease has certainly lapsed,
// counted from when the scheduler last heard of it. A former holder may have
// granted for ConfirmLimit; the worker's clock may be 2% slow.
const WorkerLeaseExpiry = MaxConfirmAge + RenewalGrant + WorkerLeaseDuration*102/100

// LeaseLostError tells that another process has become the scheduler.
type LeaseLostError struct {
	Holder string
	Epoch  uint64
}

// Error describes the new holder.
func (e *LeaseLostError) Error() string {
	return fmt.Sprintf("scheduler: deposed by %s in epoch %d", e.Holder, e.Epoch)
}

// readLease returns the row of the lease; its revision is 0 if there is none.
func readLease(ctx context.Context, store platform.Store) (wire.SchedulerLease, uint64, error) {
	row, err := store.Get(ctx, leaseKey)
	if err != nil || row.Revision == 0 {
		return wire.SchedulerLease{}, 0, err
	}
	l, err := decodeLease(row)
	return l, row.Revision, err
}

func decodeLease(row platform.Row) (wire.SchedulerLease, error) {
	var l wire.SchedulerLease
	_, err := l.UnmarshalMsg(row.Value)
	return l, err
}

// writer writes the holder's transactions one after another.
type writer struct {
	store     platform.Store
	refused   func(since time.Duration) // told of each failed try; may be nil
	lease     wire.SchedulerLease
	revision  uint64
	confirmed time.Time // when the newest written transaction was sent
}

// changes are what a transaction of the holder writes beside its lease. Inserts
// are written only if none of their rows is there yet.
type changes struct {
	writes  []platform.Write
	inserts []platform.Write
}

// RowsExistError tells of rows that were to be inserted and are there already. The
// transaction has changed nothing.
type RowsExistError struct {
	Rows []platform.Row
}

// Error describes the rows.
func (e *RowsExistError) Error() string {
	return fmt.Sprintf("scheduler: %d rows to insert are there already", len(e.Rows))
}

// WriteRejectedError tells that the store has turned away all tries of a
// transaction with inserts for some time. It has changed nothing and never will.
type WriteRejectedError struct {
	Since time.Duration
	Cause error
}

// Error describes the refusals.
func (e *WriteRejectedError) Error() string {
	return fmt.Sprintf("scheduler: turned away for %v: %v", e.Since, e.Cause)
}

// Unwrap returns the newest refusal.
func (e *WriteRejectedError) Unwrap() error { return e.Cause }

// claim makes this process the holder, in place of the row that was read.
func (w *writer) claim(ctx context.Context, old wire.SchedulerLease, revision uint64) error {
	w.lease.Epoch = old.Epoch + 1
	w.lease.Sequence = 0
	w.lease.Released = false
	w.revision = revision
	return w.write(ctx, changes{})
}

// txn returns a transaction with the next version of the lease.
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
		t.Conditions = append(t.Conditions, platform.Condition{Key: row.Key})
		t.Writes = append(t.Writes, row)
	}
	return t, nil
}

// write applies changes in one transaction. It retries until it knows that they
// are applied, or that this process is deposed; a transaction with inserts also
// ends with an ExistsError or a TurnedAwayError.
func (w *writer) write(ctx context.Context, c changes) error {
	t, err := w.txn(c)
	if err != nil {
		return err
	}
	pause := retryMin
	start := time.Now()
	maybe := false // a try may have been applied
	for {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		revision, err := w.store.Commit(callCtx, t)
		cancel()
		if err == nil {
			w.revision, w.confirmed = revision, sent
			return nil
		}
		if done, err := w.resolve(err, sent); done {
			return err
		}
		since := time.Since(start)
		if w.refused != nil {
			w.refused(since)
		}
		var unavailable *platform.UnavailableError
		maybe = maybe || !errors.As(err, &unavailable) || unavailable.MaybeApplied
		if len(c.inserts) > 0 && !maybe && since >= declineAfter {
			return &WriteRejectedError{Since: since, Cause: err}
		}
		if err := sleep(ctx, jitter(pause)); err != nil {
			return err
		}
		pause = min(2*pause, retryMax)
	}
}

// resolve reports whether the outcome of a transaction is known: it was
// applied by an earlier try whose answer was lost, rows to insert are there
// already, or this process is deposed.
func (w *writer) resolve(err error, sent time.Time) (bool, error) {
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
	l, err := decodeLease(row)
	if err != nil {
		return true, err
	}
	if l.Holder == w.lease.Holder && l.Epoch == w.lease.Epoch && l.Sequence == w.lease.Sequence {
		w.revision, w.confirmed = row.Revision, sent
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

// jitter returns a time between half of d and d.
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

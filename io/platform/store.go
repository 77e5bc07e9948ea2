// Package platform accesses the platform's table service and object store.
//
// Store is the interface to a platform: an adapter fills in its functions.
// Standin is an in-memory platform for tests, examples and local use. Client and
// Standin.Handler make it available over HTTP and JSON.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of a table. Revision is 0 if the row does not exist, and
// increases with every write of the row.
type Row struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"` // only in Changes
}

// Changes are changed rows of a table, up to Revision.
type Changes struct {
	Rows     []Row  `json:"rows"`
	Revision uint64 `json:"revision"`
}

// ConfirmedAt returns a boot time as of which the table held nothing newer than the
// changes, which the store has sent in response to a poll. This is the time of the
// request, unless the response is empty after a full long poll: the store then made it
// at the end of the poll. A late response to a request that did not wait says nothing
// about the time after it.
func (c Changes) ConfirmedAt(wait, sentAt, answeredAt time.Duration) time.Duration {
	if len(c.Rows) == 0 && answeredAt-sentAt >= wait {
		return sentAt + wait*9/10 // allows for a store clock that runs fast
	}
	return sentAt
}

// Condition requires that the row has Revision; 0 requires that it is absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn applies all its writes atomically, or none if any condition fails.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Store is the set of platform operations that the system uses.
type Store struct {
	Get    func(ctx context.Context, key string) (Row, error)
	Scan   func(ctx context.Context, prefix string) ([]Row, error)
	Commit func(ctx context.Context, t Txn) (revision uint64, err error)

	// ReadPage returns the rows of a table behind a key, or the first ones if the key
	// is empty, as many as the store returns at a time.
	ReadPage func(ctx context.Context, table, after string) (Page, error)

	// Watch returns the changes of a table, whose rows have keys TABLE/NAME,
	// after a revision. If there are none it waits up to wait for one. If
	// after is 0 it returns all rows immediately; a TableReader does so for a table
	// of any size. It fails with a HistoryLostError if the changes are no longer
	// available.
	Watch func(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)

	PutObject func(ctx context.Context, key string, data []byte) error
	GetObject func(ctx context.Context, key string) ([]byte, error)
}

// ConflictError reports a transaction whose conditions failed. Rows are the
// current rows of the failed conditions.
type ConflictError struct {
	Rows []Row
}

// Error names the first row in conflict.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "platform: conflict"
	}
	return fmt.Sprintf("platform: conflict on %s at revision %d", e.Rows[0].Key, e.Rows[0].Revision)
}

// UnavailableError reports an operation without an answer from the platform. If
// MaybeApplied is set, a write may have taken effect.
type UnavailableError struct {
	Op           string
	MaybeApplied bool
	Cause        error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s unavailable (maybe applied: %t): %v", e.Op, e.MaybeApplied, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string { return "platform: no object " + e.Key }

// HistoryLostError reports that the changes after a revision are no longer
// available.
type HistoryLostError struct {
	Table string
	After uint64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("platform: changes of table %s after revision %d are no longer available", e.Table, e.After)
}

// EmptyPageError reports a page without rows that is not the last one of its table.
type EmptyPageError struct {
	Table string
	After string
}

// Error implements error.
func (e *EmptyPageError) Error() string {
	return fmt.Sprintf("platform: empty page of table %s after %q is not the last one", e.Table, e.After)
}

// Package platform speaks to the platform's table service and object store.
//
// Store is the seam: a user's platform is fitted by filling in its functions.
// Standin is a small in-memory platform for tests, examples and local use;
// Client and Standin.Handler speak a plain HTTP and JSON variant of it.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of the table. Revision is 0 for a row that does not exist and
// grows with every write of the row.
type Row struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"` // in Changes only
}

// Changes are rows of a table as of Revision.
type Changes struct {
	Rows     []Row  `json:"rows"`
	Revision uint64 `json:"revision"`
}

// Condition holds if the row's revision is Revision; 0 means absent.
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

// Txn applies all its writes, or none if a condition does not hold.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Store is the platform as the system uses it.
type Store struct {
	Get    func(ctx context.Context, key string) (Row, error)
	Scan   func(ctx context.Context, prefix string) ([]Row, error)
	Commit func(ctx context.Context, t Txn) (revision uint64, err error)

	// Watch returns what has changed in a table, whose rows have keys
	// TABLE/NAME, since revision after. It waits for a first change for the
	// given time. After 0 it returns all rows at once. It fails with a
	// HistoryError if the changes are no longer known.
	Watch func(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)

	PutObject func(ctx context.Context, key string, data []byte) error
	GetObject func(ctx context.Context, key string) ([]byte, error)
}

// ConflictError tells of conditions that did not hold. Rows are the present
// rows of those conditions.
type ConflictError struct {
	Rows []Row
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "platform: conflict"
	}
	return fmt.Sprintf("platform: conflict on %s at revision %d", e.Rows[0].Key, e.Rows[0].Revision)
}

// UnavailableError tells that the platform gave no answer. A write may have
// taken effect all the same if MaybeApplied is set.
type UnavailableError struct {
	Op           string
	MaybeApplied bool
	Cause        error
}

// Error describes the failed operation.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s unavailable (maybe applied: %t): %v", e.Op, e.MaybeApplied, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotFoundError tells of an object that does not exist.
type NotFoundError struct {
	Key string
}

// Error describes the missing object.
func (e *NotFoundError) Error() string { return "platform: no object " + e.Key }

// HistoryLostError tells that the changes since a revision are no longer known.
type HistoryLostError struct {
	Table string
	After uint64
}

// Error describes the lost history.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("platform: changes of %s after %d are gone", e.Table, e.After)
}

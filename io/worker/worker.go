// Package worker implements the agent of a worker. The agent renews the
// worker's lease, starts and stops tasks as ordered by the scheduler, and
// reports the worker's runs and their ends.
package worker

import (
	"context"
	"fmt"
	"time"

	"bramleythread/io/wire"
)

// Worker is the set of calls that the agent makes to its worker. A call fails
// with a RefusedError if the worker has refused it and done nothing. After any
// other error the call may still take effect later.
//
// Hold renews the lease of the worker and polls its runs. Pace limits the
// speed of a run.
type Worker struct {
	Start func(ctx context.Context, o StartRequest) error
	Stop  func(ctx context.Context, o StopRequest) error
	Hold  func(ctx context.Context, o HoldRequest) (HoldReply, error)
	Pace  func(ctx context.Context, o PaceRequest) error
}

// StartRequest starts a run. A worker's clock counts from its own start.
type StartRequest struct {
	wire.StartTask
	Instance string // the lifetime of the worker that is addressed
	Token    uint64
	LeaseEnd time.Duration // end of the lease, on the worker's clock
}

// StopRequest stops a run, or prevents a later start of it.
type StopRequest struct {
	wire.TaskRun
	Instance string
	Token    uint64
}

// HoldRequest renews the lease of all runs, acknowledges ended runs and polls
// the worker's runs.
type HoldRequest struct {
	Instance string
	Token    uint64
	LeaseEnd time.Duration // on the worker's clock; 0 does not renew
	Acked    int           // the worker forgets ended runs up to this number
	Wait     time.Duration // how long the worker may wait for a run to end before it answers
}

// PaceRequest limits a run to a percentage of its speed, which also limits how
// much it disturbs other runs. A run starts at 100 percent.
type PaceRequest struct {
	wire.TaskRun
	Instance string
	Token    uint64
	Percent  int
}

// HoldReply lists the worker's runs.
type HoldReply struct {
	Clock   time.Duration // current time on the worker's clock
	Born    int64
	Running []wire.RunningTask
	Ended   []wire.EndedRun // that are not acknowledged, in the order of their numbers

	// MoreEnds is set if Ended may lack the last ones, because a response lists a limited
	// number.
	MoreEnds bool
}

// Announcement is the state that a worker sends on its own initiative.
// Sequence grows within each lifetime.
type Announcement struct {
	wire.WorkerInfo
	Sequence uint64
}

// RefusedError means that the worker refused a call and did nothing.
type RefusedError struct {
	Reason string
	Clock  time.Duration // the worker's clock, or 0 if unknown
}

// Error returns the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused: %s", e.Reason) }

// DownError means that no process listens at the worker's address. The worker
// runs on the agent's own machine, so none of its runs are left.
type DownError struct{ Cause error }

// Error describes the failure.
func (e *DownError) Error() string { return "worker is down: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DownError) Unwrap() error { return e.Cause }

// Reasons of a RefusedError that a worker expresses by the status of its response
// alone.
const (
	ReasonOtherLifetime = "other_lifetime"
	ReasonUnhealthy     = "unhealthy"
)

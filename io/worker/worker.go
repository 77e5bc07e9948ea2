// Package worker speaks to the worker beside an agent: it holds the worker's
// lease, starts and stops tasks by the scheduler's orders and reports what runs
// and what has ended.
package worker

import (
	"context"
	"fmt"
	"time"

	"bramleythread/io/wire"
)

// Worker is the worker as the agent uses it. Its functions fail with a
// RefusedError if the worker has refused and done nothing, and with any other
// error if the call may take effect, now or later.
type Worker struct {
	Start func(ctx context.Context, o StartRequest) error
	Stop  func(ctx context.Context, o StopRequest) error
	Hold  func(ctx context.Context, o HoldRequest) (HoldReply, error)
	Pace  func(ctx context.Context, o PaceRequest) error
}

// StartRequest starts a run. Clocks of a worker count from its own start.
type StartRequest struct {
	wire.StartTask
	Instance string // the lifetime that is meant
	Token    uint64
	LeaseEnd time.Duration // end of the lease, on the worker's clock
}

// StopRequest stops a run, or keeps it from starting later.
type StopRequest struct {
	wire.TaskRun
	Instance string
	Token    uint64
}

// HoldRequest renews the lease of all that runs, acknowledges ends and asks what
// runs.
type HoldRequest struct {
	Instance string
	Token    uint64
	LeaseEnd time.Duration // 0 does not renew
	Acked    int           // ends up to this number are forgotten
	Wait     time.Duration // the answer waits so long for an end
}

// PaceRequest lets a run work, and disturb others, at a share of its speed. A run
// starts at 100 percent.
type PaceRequest struct {
	wire.TaskRun
	Instance string
	Token    uint64
	Percent  int
}

// HoldReply is what a worker says of its runs.
type HoldReply struct {
	Clock   time.Duration // on the worker's clock
	Born    int64
	Running []wire.RunningTask
	Ended   []wire.EndedRun
}

// Announcement is what a worker says of itself, unasked. Sequence grows in each
// lifetime.
type Announcement struct {
	wire.WorkerInfo
	Sequence uint64
	Clock    time.Duration
}

// RefusedError tells that the worker has done nothing.
type RefusedError struct {
	Reason string
	Clock  time.Duration // 0 if the worker did not tell
}

// Error describes the refusal.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused: %s", e.Reason) }

// DownError tells that no process listens at the worker's address. The worker
// is on the agent's own machine, so nothing that it ran is left.
type DownError struct{ Cause error }

// Error describes the failure.
func (e *DownError) Error() string { return "worker is down: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DownError) Unwrap() error { return e.Cause }

// Reasons of a RefusedError that the agent tells apart.
const (
	ReasonOtherLifetime = "other_lifetime"
	ReasonUnhealthy     = "unhealthy"
)

// Package upstream speaks to the upstream beside an agent.
//
// The upstream announces itself to its agent with POST /v1/announce and leaves
// with POST /v1/leave. The agent runs tasks on it under leases:
//
//	POST   /v1/tasks/ID             run a task; the reply is its answer
//	PUT    /v1/tasks/ID             load a task without starting it
//	POST   /v1/tasks/ID/release     start a loaded task; the reply is its answer
//	PUT    /v1/tasks/ID/lease       renew the lease
//	POST   /v1/tasks/ID/checkpoint  save the task's state and stop it
//	DELETE /v1/tasks/ID             stop the task
//
// Tasks is the seam: an upstream with its own protocol is fitted by filling in
// its functions.
package upstream

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

// Header names of the task protocol.
const (
	headerCustomer   = "Task-Customer"
	headerService    = "Task-Service"
	headerKey        = "Task-Key"
	headerLease      = "Task-Lease" // a time.Duration
	headerRank       = "Task-Rank"
	headerSize       = "Task-Size"
	headerCheckpoint = "Task-Checkpoint"
	headerState      = "Task-State"
)

// Values of the Task-State header of a reply.
const (
	stateNotStarted   = "not-started"
	stateCheckpointed = "checkpointed"
	stateStopped      = "stopped"
)

// Paths on the agent that the upstream calls.
const (
	announcePath = "/v1/announce"
	leavePath    = "/v1/leave"
	tasksPath    = "/v1/tasks/"
)

// Announcement is what an upstream says of itself. It repeats it as its
// heartbeat.
type Announcement struct {
	Incarnation  uint64         `json:"incarnation"`
	Address      netip.AddrPort `json:"address"`
	Slots        int            `json:"slots"`
	Accelerators int            `json:"accelerators"`
	Connections  int            `json:"connections"`
	Services     []string       `json:"services"`
}

// Task is one task, or one member's part of a gang.
type Task struct {
	ID          string
	Customer    string
	Service     string
	Key         string
	ContentType string
	Checkpoint  string // reference to saved state to resume from
	Rank        int
	Size        int // members of the gang, 1 for a single task
	Lease       time.Duration
	Body        []byte
}

// Answer is the whole answer to a task.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// TaskRunner is what an agent asks of its upstream.
type TaskRunner struct {
	Run        func(ctx context.Context, t Task) (Answer, error)
	Load       func(ctx context.Context, t Task) error
	Release    func(ctx context.Context, id string, lease time.Duration) (Answer, error)
	Renew      func(ctx context.Context, id string, lease time.Duration) error
	Checkpoint func(ctx context.Context, id string) error
	Stop       func(ctx context.Context, id string) error
}

// NotStartedError tells that the task certainly did not start.
type NotStartedError struct {
	ID    string
	Cause error
}

// Error describes the failure.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("upstream: task %s not started: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// StoppedError tells that the task was stopped before it ended. Checkpoint is
// the reference to its saved state, empty if none was saved.
type StoppedError struct {
	ID         string
	Checkpoint string
}

// Error describes the stop.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("upstream: task %s stopped (checkpoint %q)", e.ID, e.Checkpoint)
}

// AnswerLostError tells that no whole answer arrived, though the task may have run.
type AnswerLostError struct {
	ID    string
	Cause error
}

// Error describes the loss.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("upstream: answer of task %s lost: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Cause }

// StatusError tells of a reply that the protocol does not allow.
type StatusError struct {
	Status int
}

// Error describes the status.
func (e *StatusError) Error() string { return fmt.Sprintf("upstream: status %d", e.Status) }

// Package upstream implements the protocol between an agent and its upstream,
// the server beside it that runs the tasks.
//
// The upstream announces itself to its agent with POST /v1/announce and leaves
// with POST /v1/leave. The agent runs tasks on it under leases:
//
//	POST   /v1/tasks/ID             run a task; the response is its answer
//	PUT    /v1/tasks/ID             load a task without starting it
//	POST   /v1/tasks/ID/release     start a loaded task; the response is its answer
//	PUT    /v1/tasks/ID/lease       renew the lease
//	POST   /v1/tasks/ID/checkpoint  save the task's state and stop it
//	DELETE /v1/tasks/ID             stop the task
//
// To connect an upstream that has its own protocol, implement the functions of
// TaskRunner.
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

// Values of the Task-State response header.
const (
	stateNotStarted   = "not-started"
	stateCheckpointed = "checkpointed"
	stateStopped      = "stopped"
)

// Paths that the upstream calls on the agent, and the agent on the upstream.
const (
	announcePath = "/v1/announce"
	leavePath    = "/v1/leave"
	tasksPath    = "/v1/tasks/"
)

// Announcement describes an upstream to its agent. It is sent repeatedly and
// serves as a heartbeat.
type Announcement struct {
	Incarnation  uint64         `json:"incarnation"` // increases with every start of the upstream
	Address      netip.AddrPort `json:"address"`
	Slots        int            `json:"slots"`
	Accelerators int            `json:"accelerators"`
	Connections  int            `json:"connections"` // limit on the connections for tasks
	Services     []string       `json:"services"`
}

// Task is a single task, or one member's part of a gang: a task that runs on
// several workers at once.
type Task struct {
	ID          string
	Customer    string
	Service     string
	Key         string // idempotency key
	ContentType string
	Checkpoint  string        // reference to saved state to resume from
	Rank        int           // index of the member in the gang
	Size        int           // members of the gang, 1 for a single task
	Lease       time.Duration // the upstream stops the task unless the lease is renewed in time
	Body        []byte
}

// Answer is the complete answer to a task.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// TaskRunner holds the operations that an agent calls on its upstream. Run and
// Release return the answer to the task, or else a *NotStartedError, a
// *StoppedError or an *AnswerLostError.
type TaskRunner struct {
	Run        func(ctx context.Context, t Task) (Answer, error)
	Load       func(ctx context.Context, t Task) error
	Release    func(ctx context.Context, id string, lease time.Duration) (Answer, error)
	Renew      func(ctx context.Context, id string, lease time.Duration) error
	Checkpoint func(ctx context.Context, id string) error
	Stop       func(ctx context.Context, id string) error
}

// NotStartedError reports that the task definitely did not start.
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

// StoppedError reports that the task was stopped before it completed.
// Checkpoint refers to its saved state and is empty if none was saved.
type StoppedError struct {
	ID         string
	Checkpoint string
}

// Error describes the stop.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("upstream: task %s stopped (checkpoint %q)", e.ID, e.Checkpoint)
}

// AnswerLostError reports that no complete answer arrived. The task may have
// run.
type AnswerLostError struct {
	ID    string
	Cause error
}

// Error describes the failure.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("upstream: answer of task %s lost: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Cause }

// StatusError reports a response status that the protocol does not allow.
type StatusError struct {
	Status int
}

// Error describes the status.
func (e *StatusError) Error() string { return fmt.Sprintf("upstream: status %d", e.Status) }

// Package worker decides which tasks an agent admits to its worker. It tracks the
// tasks and homes of the worker and admits, preempts and expires tasks. A home is
// the part of the worker that is guaranteed to a customer; tasks outside homes run
// on borrowed resources.
//
// It uses no clock, network or goroutine: the caller passes the time and carries
// out the returned events.
package worker

import (
	"time"

	"bramleythread/core/config"
)

// ID identifies one attempt of a request.
type ID struct {
	Request string
	Attempt int
}

// Phase is the state of a task.
type Phase uint8

// Phases of a task.
const (
	Waiting  Phase = iota // admitted; waiting for preempted tasks to stop
	Held                  // admitted, resources available, not started
	Running               // started
	Stopping              // told to checkpoint and stop
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"waiting", "held", "running", "stopping"}[p]
}

// Task is an admitted task.
type Task struct {
	ID        ID
	Entry     string // the entry that sent it
	Customer  string
	Demand    config.Demand
	HomeShape string // shape of the requested home; empty to borrow
	Guest     bool   // its own shape differs from HomeShape
	InHome    bool   // uses its home, so other customers cannot preempt it
	Gang      bool
	Phase     Phase
	ExpiresAt time.Time // end of the hold or the gang lease; zero for none
	Started   time.Time
	sequence  uint64 // order of admission
}

// AdmitRequest describes a task for admission.
type AdmitRequest struct {
	ID          ID
	Entry       string
	Customer    string
	Demand      config.Demand
	HomeShape   string // shape of the requested home; empty to borrow
	Guest       bool   // its own shape differs from HomeShape
	Gang        bool
	HoldTimeout time.Duration // how long the task is held before Start; 0 for no limit
}

// Refusal is the reason why a task was not admitted.
type Refusal uint8

// Refusals.
const (
	Admitted     Refusal = iota
	Busy                 // not enough free or preemptible resources
	NotAccepting         // the worker accepts no new tasks
	HomeFull             // no home of that shape, or no room in it
	Duplicate            // the task is in the table already
)

// AdmitResult is the answer to an AdmitRequest. Victims are already marked as
// stopping, or removed if they were waiting; the caller must stop them. Ready is
// false while the task waits for them.
type AdmitResult struct {
	Refusal Refusal
	Ready   bool
	Victims []ID
}

// EventKind is the type of an event.
type EventKind uint8

// Kinds of events.
const (
	TaskReady    EventKind = iota // the resources of a waiting task are available
	HoldExpired                   // a hold expired and its task was removed
	LeaseExpired                  // a gang lease expired; its task must stop at once
)

// Event tells the caller what to do with a task.
type Event struct {
	Kind EventKind
	ID   ID
}

// UsageKey identifies one home of a customer on a worker, or its borrowed resources,
// for which Shape is empty. Guest is set for tasks of another shape.
type UsageKey struct {
	Customer string
	Shape    string
	Guest    bool
}

// Usage is the used resources, and the part used by tasks of one entry.
type Usage struct {
	Used config.Demand
	Mine config.Demand
}

// Package worker is the decision core of an agent: the tables of the tasks and
// homes on one worker, and the systems that admit, preempt and expire tasks.
//
// It holds no clock, network or goroutine. The caller passes the time and
// carries out the events that the functions return.
package worker

import (
	"time"

	"bramleythread/core/config"
)

// ID names one attempt at one request.
type ID struct {
	Request string
	Attempt int
}

// Phase is how far a task has come.
type Phase uint8

// Phases of a task.
const (
	Waiting  Phase = iota // admitted; waits until preempted tasks have stopped
	Held                  // admitted, its resources are free, not started
	Running               // started
	Stopping              // told to checkpoint and stop
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"waiting", "held", "running", "stopping"}[p]
}

// Task is one row of the task table.
type Task struct {
	ID        ID
	Entry     string // the entry that sent it
	Customer  string
	Demand    config.Demand
	HomeShape string // of its home; empty for borrowed resources
	Guest     bool   // has another shape than its home
	InHome    bool   // inside its home: cannot be preempted by other customers
	Gang      bool
	Phase     Phase
	ExpiresAt time.Time // end of the hold or the gang lease; zero for none
	Started   time.Time
	sequence  uint64
}

// AdmitRequest describes a task for admission.
type AdmitRequest struct {
	ID          ID
	Entry       string
	Customer    string
	Demand      config.Demand
	HomeShape   string // of the home that it is to use; empty to borrow
	Guest       bool   // it has another shape than that home
	Gang        bool
	HoldTimeout time.Duration // life of the hold; 0 for none
}

// Refusal is the cause of a refused AdmitRequest.
type Refusal uint8

// Causes of a refusal.
const (
	Admitted Refusal = iota
	Busy
	NotAccepting
	HomeFull
	Duplicate
)

// AdmitResult answers an Ask. Victims have been told to stop by this call; the
// caller carries that out. Ready is false while the task waits for them.
type AdmitResult struct {
	Refusal Refusal
	Ready   bool
	Victims []ID
}

// EventKind is the type of an event.
type EventKind uint8

// Events of the table.
const (
	TaskReady    EventKind = iota // a waiting task has its resources
	HoldExpired                   // a hold ended; the task is gone
	LeaseExpired                  // a gang lease ended; the task must stop at once
)

// Event is something that the caller must carry out.
type Event struct {
	Kind EventKind
	ID   ID
}

// UsageKey names one way in which a customer uses a worker. Shape is that of
// the home, empty for borrowed resources.
type UsageKey struct {
	Customer string
	Shape    string
	Guest    bool
}

// Usage is what is used, with the part that one entry sent.
type Usage struct {
	Used config.Demand
	Mine config.Demand
}

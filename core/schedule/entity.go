// Package schedule is the decision core of an entry: the tables of workers,
// jobs and customers, and the systems that run over them each tick.
//
// It holds no clock, network or goroutine. The caller passes the time with
// every event and carries out the decisions that Tick returns, so a recorded
// trace replays to the same decisions.
package schedule

import (
	"container/list"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// WorkerReport is what an agent says of its worker.
type WorkerReport struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Zone        string
	Rack        string
	Ready       bool
	Draining    bool
	Capacity    config.Demand
	Free        config.Demand
	Services    []string
	Usage       []CustomerUsage
}

// CustomerUsage is what one customer uses of a worker in one way. Shape is
// that of the home, empty for borrowed resources; Guest is set for work of
// another shape. Mine is the part that this entry sent.
type CustomerUsage struct {
	Customer string
	Shape    string
	Guest    bool
	Used     config.Demand
	Mine     config.Demand
}

// Worker is one row of the worker table.
type Worker struct {
	Name     string
	Zone     string
	Rack     string
	Ready    bool
	Capacity config.Demand

	position int     // in the worker order
	rack     int     // index of its rack
	bucket   *bucket // in the index; nil if it is not in service
	counted  int     // free slots that are in the scheduler's sum

	incarnation uint64
	sequence    uint64
	reported    time.Time
	lastReady   time.Time
	draining    bool
	services    map[string]bool
	others      config.Demand // used by what other entries sent
	mine        config.Demand // used by what this entry sent
	homes       map[plan.HomeKey]config.Demand
	inHome      map[homeUse]config.Demand // by all entries' work
	byOthers    map[string]config.Demand  // by customer
	homed       config.Demand             // sum of homes
	jobs        map[*Job]struct{}         // placed by this entry
	health      health
	reservation reservation
}

// homeUse names work inside a home: that of the home's own shape, or guests.
type homeUse struct {
	key   plan.HomeKey
	guest bool
}

// free returns what can be placed without preemption.
func (w *Worker) free() config.Demand {
	return w.Capacity.Sub(w.others).Sub(w.mine)
}

// homeFree returns the part of a home that is left to work of the home's own
// shape, or to guests.
func (w *Worker) homeFree(k plan.HomeKey, guest bool) config.Demand {
	left := w.homes[k].Sub(w.inHome[homeUse{key: k}])
	if guest {
		left = left.Sub(w.inHome[homeUse{key: k, guest: true}])
	}
	return left
}

// Spec describes a job at submission.
type Spec struct {
	ID       string
	Customer string
	Service  string
	Deadline time.Time
}

// jobState is how far a job has come.
type jobState uint8

const (
	waiting jobState = iota
	placed
)

// Job is one row of the job table.
type Job struct {
	Spec
	JobShape   config.Shape
	Repeatable bool
	Priority   config.Priority
	Enqueued   time.Time
	Attempt    int
	Home       string // shape of the home that it uses, empty if it borrows
	Guest      bool   // it has another shape than that home
	Workers    []*Worker

	state         jobState
	lane          *lane         // while it waits or runs
	running       *list.Element // in the lane's running jobs
	attained      time.Duration // run time of earlier attempts, kept by checkpoints
	stopping      bool          // it has been told to make room
	kept          []*Worker     // that are being cleared for it
	keptUntil     time.Time     // backfill on them must end by then
	nextClear     time.Time     // before it no workers are looked for to clear
	avoid         string        // rack that could not be cleared in time
	element       *list.Element // in the lane
	started       time.Time     // of the present attempt
	notUntil      time.Time     // not placed before this time
	excluded      map[string]bool
	deadlineIndex int
	delayIndex    int
}

// DecisionKind is the type of a decision.
type DecisionKind uint8

// Decisions that a tick makes.
const (
	Place   DecisionKind = iota
	Expire               // the deadline has passed; the job is gone
	Preempt              // the placed job must save its state and make room
)

// Decision is what the caller must do with a job.
type Decision struct {
	Kind    DecisionKind
	Job     string
	Attempt int
	Workers []string // in the global worker order
	Home    string   // shape of the home to use, empty to borrow
	Guest   bool     // the job has another shape than that home
	Reason  string   // why these workers, or why none
}

// Refusal is the cause of a refused submission.
type Refusal string

// Causes of a refused submission.
const (
	Accepted            Refusal = ""
	QueueFull           Refusal = "queue_full"
	CustomerQueueFull   Refusal = "customer_queue_full"
	UnknownService      Refusal = "unknown_service"
	UnknownCustomer     Refusal = "unknown_customer"
	ShapeDoesNotFit     Refusal = "shape_does_not_fit"
	DeadlineUnreachable Refusal = "deadline_cannot_be_met"
)

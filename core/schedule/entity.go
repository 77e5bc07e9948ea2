// Package schedule decides which jobs an entry places on which workers. It keeps
// the state of workers, jobs and customers and evaluates it on each tick.
//
// A job runs in a home of its customer, the resources that the plan guarantees, or
// borrows free resources elsewhere, from which it can be preempted.
//
// The package uses no clock, network or goroutine: the caller passes the time with
// every event and carries out the decisions that Tick returns. Replaying a recorded
// trace therefore gives the same decisions.
package schedule

import (
	"container/list"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// WorkerReport is the state of a worker as reported by its agent.
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

// CustomerUsage is the part of a worker that one customer uses, per home and for
// borrowed resources. Shape is the home's shape, or empty for borrowed resources.
// Guest is set for tasks whose own shape differs from the home's. Mine is the part
// used by tasks of the entry that receives the report.
type CustomerUsage struct {
	Customer string
	Shape    string
	Guest    bool
	Used     config.Demand
	Mine     config.Demand
}

// Worker is the state of one worker, a machine that runs tasks.
type Worker struct {
	Name     string
	Zone     string
	Rack     string
	Ready    bool
	Capacity config.Demand

	position     int     // index in the global worker order
	rack         int     // index into Scheduler.racks
	bucket       *bucket // in the index; nil if the worker is not ready
	countedSlots int     // free slots included in Scheduler.freeSlots

	incarnation      uint64
	sequence         uint64
	lastReport       time.Time
	lastReady        time.Time
	draining         bool
	services         map[string]bool
	usedByOthers     config.Demand // by tasks of other entries
	usedBySelf       config.Demand // by tasks of this entry
	homes            map[plan.HomeKey]config.Demand
	usedInHomes      map[homeUse]config.Demand // by tasks of all entries
	othersByCustomer map[string]config.Demand  // part of usedByOthers, by customer
	homeDemand       config.Demand             // sum of homes
	jobs             map[*Job]struct{}         // placed by this entry
	health           health
	reservation      reservation
}

// homeUse identifies the tasks inside a home: those of the home's own shape, or
// guests, which have another shape.
type homeUse struct {
	key   plan.HomeKey
	guest bool
}

// free returns the resources that can be allocated without preemption.
func (w *Worker) free() config.Demand {
	return w.Capacity.Sub(w.usedByOthers).Sub(w.usedBySelf)
}

// homeFree returns the free part of a home. Tasks of the home's own shape can
// preempt guests, so guests count as used only if guest is set.
func (w *Worker) homeFree(k plan.HomeKey, guest bool) config.Demand {
	left := w.homes[k].Sub(w.usedInHomes[homeUse{key: k}])
	if guest {
		left = left.Sub(w.usedInHomes[homeUse{key: k, guest: true}])
	}
	return left
}

// Spec describes a submitted job.
type Spec struct {
	ID       string
	Customer string
	Service  string
	Deadline time.Time
}

// jobState is the state of a job in the scheduler.
type jobState uint8

const (
	waiting jobState = iota
	placed
)

// Job is the state of one waiting or placed job.
type Job struct {
	Spec
	Shape      config.Shape
	Repeatable bool
	Priority   config.Priority
	Enqueued   time.Time
	Attempt    int
	Home       string // shape of the home that it uses; empty if it borrows
	Guest      bool   // its shape differs from that home's
	Workers    []*Worker

	state            jobState
	queue            *queue        // of its customer and service
	runningElement   *list.Element // in queue.running
	attained         time.Duration // run time of earlier attempts, preserved by checkpoints
	stopping         bool          // it has been told to checkpoint and stop
	clearTargets     []*Worker     // workers that are being cleared for this job
	backfillDeadline time.Time     // when backfill on clearTargets must have ended
	nextClearAttempt time.Time     // earliest time to look for workers to clear
	avoidRack        string        // rack that could not be cleared in time
	queueElement     *list.Element // in queue.jobs; nil while delayed or placed
	started          time.Time     // of the current attempt
	notBefore        time.Time     // earliest time of placement after a retry
	excludedWorkers  map[string]bool
	deadlineIndex    int
	delayIndex       int
}

// DecisionKind is the type of a decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	Place   DecisionKind = iota
	Expire               // the deadline passed and the job was removed
	Preempt              // the placed job must checkpoint and stop
)

// Decision tells the caller what to do with a job.
type Decision struct {
	Kind    DecisionKind
	Job     string
	Attempt int
	Workers []string // in the global worker order
	Home    string   // shape of the home to use; empty to borrow
	Guest   bool     // the job's shape differs from that home's
	Reason  string   // why the job was placed, expired or preempted
}

// Refusal is the reason why a submission was refused.
type Refusal string

// Refusals; Accepted means that the job was queued.
const (
	Accepted            Refusal = ""
	QueueFull           Refusal = "queue_full"
	CustomerQueueFull   Refusal = "customer_queue_full"
	UnknownService      Refusal = "unknown_service"
	UnknownCustomer     Refusal = "unknown_customer"
	ShapeDoesNotFit     Refusal = "shape_does_not_fit"
	DeadlineUnreachable Refusal = "deadline_cannot_be_met"
)

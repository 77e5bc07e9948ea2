package wire

import (
	"net/netip"
	"time"
)

//go:generate go tool msgp -file job.go -o job_gen.go -tests=false -io=false

//msgp:limit arrays:65536 maps:256
//msgp:shim netip.AddrPort as:string using:formatAddr/parseAddr mode:convert
//msgp:shim JobState as:string using:string/JobState
//msgp:shim WorkerState as:string using:string/WorkerState
//msgp:shim RunEnd as:string using:string/RunEnd
//msgp:shim SubmitOutcome as:string using:string/SubmitOutcome
//msgp:tuple TaskID TaskRun Resources WorkerRef TaskProgress StageProgress RunningTask EndedRun RefusedRun SharedTask

// JobState is how far a job has come, as callers see it.
type JobState string

// States of a job. The last three are final.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state never changes again.
func (s JobState) Final() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// WorkerState is what a worker says of its own readiness.
type WorkerState string

// States of a worker. A worker that is gone never comes back under the same
// instance.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
	WorkerGone     WorkerState = "gone"
)

// RunEnd is how a run of a task ended.
type RunEnd string

// Ends of a run.
const (
	EndDone           RunEnd = "done"
	EndFailed         RunEnd = "failed"
	EndStopped        RunEnd = "stopped"
	EndLeaseExpired   RunEnd = "lapsed" // its lease ran out
	EndGangBroken     RunEnd = "broken" // another member of its gang ended
	EndGangIncomplete RunEnd = "alone"  // the other members of its gang did not come in time
	EndCrashed        RunEnd = "crashed"
	EndRefused        RunEnd = "refused"
)

// Resources are amounts of a worker's resources. CPU is in thousandths of a
// core, Memory in MiB.
type Resources struct {
	CPU          int
	Memory       int
	Accelerators int
}

// JobStep is one step of a job: a number of equal tasks.
type JobStep struct {
	Count          int           `msg:"count"`
	Demand         Resources     `msg:"demand"`
	Estimate       time.Duration `msg:"estimate,omitempty"` // the caller's guess of a task's run time
	After          []int         `msg:"after,omitempty"`    // steps that must be done first
	Checkpoints    bool          `msg:"checkpoints,omitempty"`
	Gang           bool          `msg:"gang,omitempty"`
	SameRack       bool          `msg:"same_rack,omitempty"`
	Speculative    bool          `msg:"copies,omitempty"` // several runs of a task may overlap
	LongRunning    bool          `msg:"long_running,omitempty"`
	UsesSpareCPU   bool          `msg:"fills,omitempty"` // uses processor time that others leave
	RequiredLabel  string        `msg:"label,omitempty"` // the worker must have it
	DataRack       string        `msg:"data_rack,omitempty"`
	Image          string        `msg:"image,omitempty"`
	MaxPerWorker   int           `msg:"spread,omitempty"`   // most tasks of the step on one worker; 0 is no limit
	MaxUnavailable int           `msg:"may_miss,omitempty"` // tasks that may be unavailable by our own orders
	TargetLatency  time.Duration `msg:"target,omitempty"`   // tail latency of a long-running task
}

// Job is a job as it was accepted. It never changes.
type Job struct {
	ID             string        `msg:"id"`
	Queue          string        `msg:"queue"`
	Customer       string        `msg:"customer"`
	Service        string        `msg:"service"`
	Spec           string        `msg:"spec"`
	Priority       int           `msg:"priority"`
	Attempts       int           `msg:"attempts"`
	Stretch        float64       `msg:"stretch"`
	Objective      time.Duration `msg:"objective"` // beyond the stretched work
	Accepted       time.Time     `msg:"accepted"`
	FirstRun       time.Time     `msg:"first_run"` // of occurrence 0, if Repeat is not 0
	Interval       time.Duration `msg:"interval,omitempty"`
	RepeatCount    int           `msg:"repeat,omitempty"` // number of occurrences; 0 is one, at once
	TicketValidity time.Duration `msg:"advice,omitempty"` // for which a ticket to a worker is valid; 0 if none is needed
	Steps          []JobStep     `msg:"steps"`
}

// TaskID names a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// TaskRun names one run of a task.
type TaskRun struct {
	Task TaskID
	Run  int
}

// WorkerRef names one lifetime of the worker beside an agent.
type WorkerRef struct {
	Node     string
	Instance string
	Born     int64
}

// TaskProgress is the durable state of a task. Worker is the place of the
// active run's worker in the job's list, counted from 1; 0 if none is active.
type TaskProgress struct {
	Done       bool
	Run        int
	Failures   int
	Worker     int
	Checkpoint string
}

// StageProgress is the durable state of one step of one occurrence that has
// begun. It has no tasks once all of them are done and none runs.
type StageProgress struct {
	Occurrence int
	Step       int
	Failures   int // of a gang
	Tasks      []TaskProgress
}

// JobProgress is the durable state of a job that has begun.
type JobProgress struct {
	State   JobState        `msg:"state"`
	Workers []WorkerRef     `msg:"workers"`
	Stages  []StageProgress `msg:"stages"`
}

// SchedulerLease is the row that makes one process the scheduler. Every
// transaction of the scheduler replaces it, so that its version orders them.
type SchedulerLease struct {
	Epoch    uint64         `msg:"epoch"` // grows at each take-over
	Sequence uint64         `msg:"sequence"`
	Holder   string         `msg:"holder"`
	Address  netip.AddrPort `msg:"address"`
	Key      []byte         `msg:"key"`      // of the control connections
	Released bool           `msg:"released"` // the holder has stopped
}

// WorkerInfo is what a worker says of itself.
type WorkerInfo struct {
	Instance  string        `msg:"instance"`
	Born      int64         `msg:"born"` // start of this lifetime, in Unix milliseconds
	Service   string        `msg:"service"`
	Zone      string        `msg:"zone"`
	Rack      string        `msg:"rack"`
	Labels    []string      `msg:"labels"`
	Capacity  Resources     `msg:"capacity"`
	State     WorkerState   `msg:"state"`
	Remaining time.Duration `msg:"remaining"` // least time until a draining worker leaves
}

// RunningTask is a run that is present on a worker. Load is rough: the tail
// latency of a task that serves in milliseconds, else thousandths of a core in
// use.
type RunningTask struct {
	Task       TaskID
	Run        int
	Checkpoint string
	Percent    int
	Load       int
}

// EndedRun is a run that has ended on a worker. Number grows with each end in a
// worker's lifetime.
type EndedRun struct {
	Number     int
	Task       TaskID
	Run        int
	End        RunEnd
	Checkpoint string
}

// RefusedRun is a run that was ordered and will never start on the worker.
type RefusedRun struct {
	Task   TaskID
	Run    int
	Reason string
}

// WorkerReport is what an agent tells the scheduler of its worker.
type WorkerReport struct {
	Sequence  uint64        `msg:"sequence"`
	Node      string        `msg:"node"`
	Sent      time.Duration `msg:"sent"`   // on the agent's steady clock
	RunningAt time.Duration `msg:"looked"` // when the worker said what runs, on the same clock
	Worker    WorkerInfo    `msg:"worker"`
	Running   []RunningTask `msg:"running"`
	Ended     []EndedRun    `msg:"ended"`
	Refused   []RefusedRun  `msg:"refused"`
	Pending   []TaskRun     `msg:"pending"` // starts and stops whose outcome is not known yet
}

// StartTask orders the start of a run.
type StartTask struct {
	Task       TaskID `msg:"task"`
	Run        int    `msg:"run"`
	Spec       string `msg:"spec"`
	Checkpoint string `msg:"checkpoint,omitempty"`
	Ticket     string `msg:"ticket,omitempty"`
}

// SharedTask is a run whose pace matters to others on its worker: it serves
// within a latency target, or it fills the time that others leave.
type SharedTask struct {
	Task          TaskID
	Run           int
	TargetLatency time.Duration // 0 if it does not serve
	UsesSpareCPU  bool
}

// WorkerOrders are the scheduler's standing orders to an agent. They replace
// earlier ones. Instance and Born name the lifetime that they are meant for.
type WorkerOrders struct {
	Sequence       uint64        `msg:"sequence"`
	Epoch          uint64        `msg:"epoch"`
	FencingToken   uint64        `msg:"token"`   // fencing token for the worker
	LastReportSent time.Duration `msg:"granted"` // Sent of the newest report; leases may be renewed until a limit after it
	Instance       string        `msg:"instance"`
	Born           int64         `msg:"born"`
	AckedEnds      int           `msg:"acked"` // ends up to this number are durable
	Starts         []StartTask   `msg:"starts"`
	Stops          []TaskRun     `msg:"stops"`
	Shared         []SharedTask  `msg:"shared,omitempty"`
}

// JobQuery asks the scheduler for the state of a job.
type JobQuery struct {
	ID string `msg:"id"`
}

// JobAnswer answers a JobQuery. Known is false if the scheduler has no such
// job, which does not prove that none was accepted.
type JobAnswer struct {
	Known bool     `msg:"known"`
	Queue string   `msg:"queue"`
	State JobState `msg:"state"`
}

// QueueQuery asks the scheduler for the length of a queue.
type QueueQuery struct {
	Queue string `msg:"queue"`
}

// QueueAnswer is the number of a queue's jobs of which nothing has started.
type QueueAnswer struct {
	Pending int `msg:"pending"`
}

// LeaseOffer tells entries that the scheduler cannot reach the store, so that one
// that can takes its place.
type LeaseOffer struct {
	Epoch uint64 `msg:"epoch"`
}

// LeaseRenewed tells entries that the scheduler has just written its lease, so that
// they know from when on it has not.
type LeaseRenewed struct {
	Epoch    uint64 `msg:"epoch"`
	Sequence uint64 `msg:"sequence"`
}

// SubmitJob asks the scheduler to store a job. It then stands in the same
// transaction as its first runs.
type SubmitJob struct {
	Job Job `msg:"job"`
}

// SubmitOutcome is what has become of a SubmitJob.
type SubmitOutcome string

// Outcomes of a SubmitJob.
const (
	SubmitStored   SubmitOutcome = "stored"
	SubmitKnown    SubmitOutcome = "known"    // a job with this id was stored before
	SubmitDeclined SubmitOutcome = "declined" // the scheduler has not written it and will not
	SubmitUnknown  SubmitOutcome = "unknown"  // it may have been written, now or later
)

// SubmitAnswer answers a SubmitJob.
type SubmitAnswer struct {
	Outcome SubmitOutcome `msg:"outcome"`
}

// ExplainQuery asks the scheduler what it has decided on a job.
type ExplainQuery struct {
	ID string `msg:"id"`
}

// ExplainAnswer tells how far a job has come. It is nothing to rely on: what a
// former scheduler decided is known by the job's rows only.
type ExplainAnswer struct {
	Known     bool           `msg:"known"`
	Scheduler string         `msg:"scheduler"`
	Epoch     uint64         `msg:"epoch"`
	State     JobState       `msg:"state"`
	Queue     string         `msg:"queue"`
	Customer  string         `msg:"customer"`
	Age       time.Duration  `msg:"age"`
	Stages    []StageSummary `msg:"stages"`
	Decisions []string       `msg:"decisions"` // the newest ones, oldest first
}

// StageSummary is how far one step of one occurrence has come.
type StageSummary struct {
	Occurrence int    `msg:"occurrence"`
	Step       int    `msg:"step"`
	Tasks      int    `msg:"tasks"`
	Done       int    `msg:"done"`
	Running    int    `msg:"running"`
	Waits      string `msg:"waits"` // why tasks of it wait; empty if none does
}

// StatusQuery asks the scheduler for the state of the pool.
type StatusQuery struct{}

// StatusAnswer is the state of the pool.
type StatusAnswer struct {
	Scheduler string         `msg:"scheduler"`
	Epoch     uint64         `msg:"epoch"`
	LeaseAge  time.Duration  `msg:"lease_age"` // since the lease was last written
	Offered   bool           `msg:"offered"`   // another entry is asked to take over
	Jobs      int            `msg:"jobs"`      // that have not ended
	Waiting   int            `msg:"waiting"`   // stages with tasks that wait
	Workers   []WorkerStatus `msg:"workers"`
}

// WorkerStatus is what the scheduler believes of one worker.
type WorkerStatus struct {
	Node     string        `msg:"node"`
	Instance string        `msg:"instance"`
	Service  string        `msg:"service"`
	Zone     string        `msg:"zone"`
	Rack     string        `msg:"rack"`
	State    WorkerState   `msg:"state"`
	Heard    time.Duration `msg:"heard"` // age of the newest report
	Capacity Resources     `msg:"capacity"`
	Used     Resources     `msg:"used"`
	Runs     int           `msg:"runs"`
	Ejected  time.Duration `msg:"ejected"` // for which it still gets no work; 0 if it does
}

// LeaseTaken tells a former scheduler who has taken its lease. The store may be
// turning it away, so that it would not learn it there.
type LeaseTaken struct {
	Lease SchedulerLease `msg:"lease"`
}

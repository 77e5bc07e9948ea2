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
//msgp:tuple TaskID TaskRun Resources WorkerRef TaskProgress StageProgress RunningTask EndedRun RefusedRun SharedTask OccurrenceRange FailedGang TaskFailure

// JobState is the state of a job, as reported to callers.
type JobState string

// States of a job. The last three are final.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state can no longer change.
func (s JobState) Final() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// WorkerState is the readiness that a worker announces.
type WorkerState string

// States of a worker. An instance that is gone never returns.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
	WorkerGone     WorkerState = "gone"

	// WorkerUnannounced is the state of a worker that has started again and not
	// announced itself yet.
	WorkerUnannounced WorkerState = "unannounced"
)

// RunEnd is the way in which a run of a task ended.
type RunEnd string

// Ends of a run.
const (
	EndDone           RunEnd = "done"
	EndFailed         RunEnd = "failed"
	EndStopped        RunEnd = "stopped"
	EndLeaseExpired   RunEnd = "lapsed" // its lease expired
	EndGangBroken     RunEnd = "broken" // another member of its gang ended
	EndGangIncomplete RunEnd = "alone"  // the other members of its gang did not start in time
	EndCrashed        RunEnd = "crashed"
	EndRefused        RunEnd = "refused"
)

// Resources are amounts of a worker's resources. CPU is in millicores, Memory in
// MiB.
type Resources struct {
	CPU          int
	Memory       int
	Accelerators int
}

// JobStep is one step of a job: Count identical tasks.
type JobStep struct {
	Count          int           `msg:"count"`
	Demand         Resources     `msg:"demand"`
	Estimate       time.Duration `msg:"estimate,omitempty"` // run time of a task, estimated by the caller
	After          []int         `msg:"after,omitempty"`    // indices of steps that must be done first
	Checkpoints    bool          `msg:"checkpoints,omitempty"`
	Gang           bool          `msg:"gang,omitempty"`
	SameRack       bool          `msg:"same_rack,omitempty"`
	Speculative    bool          `msg:"copies,omitempty"` // several runs of a task may overlap
	LongRunning    bool          `msg:"long_running,omitempty"`
	UsesSpareCPU   bool          `msg:"fills,omitempty"` // runs on CPU time that other tasks leave idle
	RequiredLabel  string        `msg:"label,omitempty"` // label that the worker must have
	DataRack       string        `msg:"data_rack,omitempty"`
	Image          string        `msg:"image,omitempty"`
	MaxPerWorker   int           `msg:"spread,omitempty"`   // of the step's tasks; 0 means no limit
	MaxUnavailable int           `msg:"may_miss,omitempty"` // tasks that may be unavailable at once through the scheduler's own orders
	TargetLatency  time.Duration `msg:"target,omitempty"`   // tail latency of a long-running task
}

// Job is a job as accepted. It is immutable.
type Job struct {
	ID             string        `msg:"id"`
	Queue          string        `msg:"queue"`
	Customer       string        `msg:"customer"`
	Service        string        `msg:"service"`
	Spec           string        `msg:"spec"`
	Priority       int           `msg:"priority"`
	Attempts       int           `msg:"attempts"`
	Stretch        float64       `msg:"stretch"`
	Objective      time.Duration `msg:"objective"` // the job should finish within Stretch times its expected work plus this
	Accepted       time.Time     `msg:"accepted"`
	FirstRun       time.Time     `msg:"first_run"` // of occurrence 0, if RepeatCount is not 0
	Interval       time.Duration `msg:"interval,omitempty"`
	RepeatCount    int           `msg:"repeat,omitempty"` // number of occurrences; 0 means one, immediately
	TicketValidity time.Duration `msg:"advice,omitempty"` // of a ticket from the advice service; 0 if no ticket is needed
	Steps          []JobStep     `msg:"steps"`
}

// TaskID identifies a task: a job's occurrence, step and index within the step.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// TaskRun identifies one run of a task. Runs of a task are numbered.
type TaskRun struct {
	Task TaskID
	Run  int
}

// WorkerRef identifies one lifetime of the worker beside the agent on Node. Born is
// the start of the lifetime in Unix milliseconds.
type WorkerRef struct {
	Node     string
	Instance string
	Born     int64
}

// TaskProgress is the persistent state of a task. Worker is the 1-based index of
// the active run's worker in JobProgress.Workers, 0 if no run is active.
type TaskProgress struct {
	Done       bool
	Run        int
	Failures   int
	Worker     int
	Checkpoint string
}

// StageProgress is the persistent state of a stage: one step of one occurrence
// that has begun. Tasks is empty once all are done and none is running.
type StageProgress struct {
	Occurrence int
	Step       int
	Failures   int // of a gang
	Tasks      []TaskProgress
}

// OccurrenceRange is a range of occurrences of a repeated job, without its end.
type OccurrenceRange struct {
	From int
	To   int
}

// FailedGang is a gang whose active run has failed and is counted in
// StageProgress.Failures, while some of its members have not ended.
type FailedGang struct {
	Occurrence int
	Step       int
	Run        int
}

// TaskFailure is the last failure of a task that waits for another attempt. Worker is the
// 1-based index in JobProgress.Workers of the worker on which it failed.
type TaskFailure struct {
	Occurrence int
	Step       int
	Index      int
	Worker     int
	Early      bool // the run failed at once, or hung
}

// JobProgress is the persistent state of a job that has begun. Stages holds nothing
// of the occurrences in Done. FailedGangs and Failures are separate from Stages, whose
// elements are tuples of fixed length, so that earlier versions can read the row.
type JobProgress struct {
	State       JobState          `msg:"state"`
	Workers     []WorkerRef       `msg:"workers"`
	Stages      []StageProgress   `msg:"stages"`
	Done        []OccurrenceRange `msg:"done,omitempty"` // occurrences of which all tasks are done
	FailedGangs []FailedGang      `msg:"failed_gangs,omitempty"`
	Failures    []TaskFailure     `msg:"failures,omitempty"` // not all, if there are many
}

// SchedulerLease is the row whose holder is the scheduler. Every transaction of
// the scheduler replaces it, so that its version orders the transactions.
type SchedulerLease struct {
	Epoch    uint64         `msg:"epoch"` // incremented at each takeover
	Sequence uint64         `msg:"sequence"`
	Holder   string         `msg:"holder"`
	Address  netip.AddrPort `msg:"address"`
	Key      []byte         `msg:"key"`      // of control connections
	Released bool           `msg:"released"` // the holder has stopped
}

// WorkerInfo is what a worker announces about itself.
type WorkerInfo struct {
	Instance  string        `msg:"instance"`
	Born      int64         `msg:"born"` // start of this lifetime, Unix milliseconds
	Service   string        `msg:"service"`
	Zone      string        `msg:"zone"`
	Rack      string        `msg:"rack"`
	Labels    []string      `msg:"labels"`
	Capacity  Resources     `msg:"capacity"`
	State     WorkerState   `msg:"state"`
	Remaining time.Duration `msg:"remaining"` // minimum time until a draining worker leaves

	// ColdRemaining is the time for which the worker still runs tasks more slowly,
	// because it has returned to service recently.
	ColdRemaining time.Duration `msg:"cold_remaining,omitempty"`
}

// RunningTask is a run that is present on a worker. Percent is its progress. Load
// is approximate: the tail latency in milliseconds of a task with a latency
// target, otherwise the CPU usage in millicores.
type RunningTask struct {
	Task       TaskID
	Run        int
	Checkpoint string
	Percent    int
	Load       int
}

// EndedRun is a run that has ended on a worker. Number increases with each end
// within a lifetime of the worker.
type EndedRun struct {
	Number     int
	Task       TaskID
	Run        int
	End        RunEnd
	Checkpoint string
}

// RefusedRun is an ordered run that will never start on the worker.
type RefusedRun struct {
	Task   TaskID
	Run    int
	Reason string
}

// WorkerReport is an agent's report on its worker to the scheduler.
type WorkerReport struct {
	Sequence  uint64        `msg:"sequence"`
	Node      string        `msg:"node"`
	Sent      time.Duration `msg:"sent"`   // since the boot of the agent's VM
	RunningAt time.Duration `msg:"looked"` // when the worker listed Running, on the agent's monotonic clock
	Worker    WorkerInfo    `msg:"worker"`
	Running   []RunningTask `msg:"running"`
	Ended     []EndedRun    `msg:"ended"`
	Refused   []RefusedRun  `msg:"refused"`
	Pending   []TaskRun     `msg:"pending"` // starts and stops whose outcome is not yet known

	// MoreEnds is set if runs may have ended that Ended does not hold yet. Whether a run
	// that is not listed has ended is not known then.
	MoreEnds bool `msg:"more_ends,omitempty"`

	Slowness *WorkerSlowness `msg:"slowness,omitempty"` // from the latest orders that held one
}

// StartTask orders the start of a run. Ticket comes from the advice service.
type StartTask struct {
	Task       TaskID `msg:"task"`
	Run        int    `msg:"run"`
	Spec       string `msg:"spec"`
	Checkpoint string `msg:"checkpoint,omitempty"`
	Ticket     string `msg:"ticket,omitempty"`
}

// SharedTask is a run that shares its worker's CPU under pace control: either it
// has a latency target, or it runs on the CPU time that others leave idle.
type SharedTask struct {
	Task          TaskID
	Run           int
	TargetLatency time.Duration // 0 if it has none
	UsesSpareCPU  bool
}

// WorkerOrders are the scheduler's current orders to an agent and replace all
// earlier ones. Instance and Born identify the worker lifetime they apply to.
type WorkerOrders struct {
	Sequence       uint64        `msg:"sequence"`
	Epoch          uint64        `msg:"epoch"`
	Token          uint64        `msg:"token"`   // fencing token for calls to the worker
	LastReportSent time.Duration `msg:"granted"` // Sent of the latest report; leases may be renewed for a limited time after it
	Instance       string        `msg:"instance"`
	Born           int64         `msg:"born"`
	AckedEnds      int           `msg:"acked"` // ends up to this number are persisted
	Starts         []StartTask   `msg:"starts"`
	Stops          []TaskRun     `msg:"stops"`

	// OtherStarts are current starts that Starts does not hold, since a message has a
	// limited size. The agent has taken them already, or they follow once its reports
	// show that it has taken those before them.
	OtherStarts []TaskRun `msg:"other_starts,omitempty"`

	Shared []SharedTask `msg:"shared,omitempty"`

	// StartPermission is how long after LastReportSent a start in Starts or OtherStarts
	// may begin or be retried; 0 means without limit.
	StartPermission time.Duration `msg:"start_permission,omitempty"`

	Slowness *WorkerSlowness `msg:"slowness,omitempty"` // of the worker, to be returned in reports
}

// JobQuery asks the scheduler for the state of a job.
type JobQuery struct {
	ID string `msg:"id"`
}

// JobAnswer is the reply to a JobQuery. Known is false if the scheduler has no
// such job; one may have been accepted all the same.
type JobAnswer struct {
	Known bool     `msg:"known"`
	Queue string   `msg:"queue"`
	State JobState `msg:"state"`
}

// QueueQuery asks the scheduler for the length of a queue.
type QueueQuery struct {
	Queue string `msg:"queue"`
}

// QueueAnswer is the reply to a QueueQuery. Pending counts the queue's jobs of
// which no task has started.
type QueueAnswer struct {
	Pending int `msg:"pending"`
}

// LeaseOffer informs entries that the scheduler cannot reach the store. An entry
// that can reach it should take over.
type LeaseOffer struct {
	Epoch uint64 `msg:"epoch"`
}

// LeaseRenewed informs entries that the scheduler has just written its lease, so
// that they notice when it stops doing so.
type LeaseRenewed struct {
	Epoch    uint64 `msg:"epoch"`
	Sequence uint64 `msg:"sequence"`
}

// SubmitJob asks the scheduler to store a job, which it does in the same
// transaction as the job's first runs.
type SubmitJob struct {
	Job Job `msg:"job"`
}

// SubmitOutcome is the outcome of a SubmitJob.
type SubmitOutcome string

// Outcomes of a SubmitJob.
const (
	SubmitStored   SubmitOutcome = "stored"
	SubmitKnown    SubmitOutcome = "known"    // a job with this id was stored before
	SubmitDeclined SubmitOutcome = "declined" // the scheduler has not written it and never will
	SubmitUnknown  SubmitOutcome = "unknown"  // it may have been written, or may still be

	// SubmitCancelled means that the job was cancelled before it could be stored,
	// and never will be.
	SubmitCancelled SubmitOutcome = "cancelled"
)

// SubmitAnswer is the reply to a SubmitJob.
type SubmitAnswer struct {
	Outcome SubmitOutcome `msg:"outcome"`
}

// ExplainQuery asks the scheduler for its decisions on a job.
type ExplainQuery struct {
	ID string `msg:"id"`
}

// ExplainAnswer is the reply to an ExplainQuery. It is informational: a new
// scheduler knows its predecessor's decisions only as far as they are in the
// job's rows.
type ExplainAnswer struct {
	Known     bool           `msg:"known"`
	Scheduler string         `msg:"scheduler"`
	Epoch     uint64         `msg:"epoch"`
	State     JobState       `msg:"state"`
	Queue     string         `msg:"queue"`
	Customer  string         `msg:"customer"`
	Age       time.Duration  `msg:"age"`
	Stages    []StageSummary `msg:"stages"`
	Runs      []RunSummary   `msg:"runs"`
	Decisions []string       `msg:"decisions"` // the latest ones, oldest first
}

// StageSummary is the progress of one step of one occurrence.
type StageSummary struct {
	Occurrence int    `msg:"occurrence"`
	Step       int    `msg:"step"`
	Tasks      int    `msg:"tasks"`
	Done       int    `msg:"done"`
	Running    int    `msg:"running"`
	Waits      string `msg:"waits"` // why its tasks wait; empty if none waits
}

// StatusQuery asks the scheduler for the state of the pool.
type StatusQuery struct{}

// StatusAnswer is the state of the pool.
type StatusAnswer struct {
	Scheduler string         `msg:"scheduler"`
	Epoch     uint64         `msg:"epoch"`
	LeaseAge  time.Duration  `msg:"lease_age"` // since the lease was last written
	Offered   bool           `msg:"offered"`   // another entry has been asked to take over
	Jobs      int            `msg:"jobs"`      // jobs that have not ended
	Waiting   int            `msg:"waiting"`   // stages with waiting tasks
	Workers   []WorkerStatus `msg:"workers"`

	EvacuationRead bool          `msg:"evacuation_read"` // the evacuated zones have been read
	EvacuationAge  time.Duration `msg:"evacuation_age"`  // since they were known to be current
	EvacuatedZones []ZoneStatus  `msg:"evacuated_zones"`
}

// ZoneStatus is an evacuated availability zone.
type ZoneStatus struct {
	Zone     string        `msg:"zone"`
	KnownFor time.Duration `msg:"known_for"` // since the scheduler's process learned of it
}

// WorkerStatus is the scheduler's view of one worker.
type WorkerStatus struct {
	Node     string        `msg:"node"`
	Instance string        `msg:"instance"`
	Service  string        `msg:"service"`
	Zone     string        `msg:"zone"`
	Rack     string        `msg:"rack"`
	State    WorkerState   `msg:"state"`
	Heard    time.Duration `msg:"heard"` // age of the latest report
	Capacity Resources     `msg:"capacity"`
	Used     Resources     `msg:"used"`
	Runs     int           `msg:"runs"`
	Ejected  time.Duration `msg:"ejected"` // time for which it gets no more work; 0 if not ejected

	// Logarithm of the factor by which its runs take longer than those of the median
	// worker, and the standard deviation of that.
	SlownessLog   float64 `msg:"slowness"`
	SlownessSigma float64 `msg:"slowness_sigma"`
}

// LeaseTaken informs a former scheduler of the new holder of its lease. The store
// may be refusing the former scheduler's calls, so that it cannot read the lease.
type LeaseTaken struct {
	Lease SchedulerLease `msg:"lease"`
}

package job

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bramleythread/core/estimate"
	"bramleythread/core/share"
	"bramleythread/io/wire"
)

// Config configures an Engine.
type Config struct {
	// LeaseLimit is how long a run may continue after the scheduler received
	// the last report of its worker.
	LeaseLimit time.Duration

	// Retention is how long an ended job is kept.
	Retention time.Duration

	// RackFactor multiplies the run time of a task outside the rack of its data
	// and of a same-rack gang that is spread over several racks.
	RackFactor float64

	// EvacuationLimit is the time after the evacuation of a zone from which nothing
	// may be started there. If it is 0, there is no such limit.
	EvacuationLimit time.Duration

	// MaxStartsSize limits the starts in one message of orders, in bytes. If it is 0,
	// the constant maxStartsSize applies.
	MaxStartsSize int

	// Policy disables rules of placement and ordering. The zero value enables
	// all of them.
	Policy Policy

	// Oracle, if not nil, returns the true run time of a task on the worker of a
	// node, or on one of ordinary speed if the node is empty. Only experiments know it.
	Oracle func(task wire.TaskID, node string) (time.Duration, bool)

	// OnDecision, if not nil, is called for each decision on a job.
	OnDecision func(d Decision)
}

// Decision is a scheduling decision on a job, for the log and for explain.
type Decision struct {
	Kind   string // such as place, preempt or end
	Job    string
	Task   wire.TaskID
	Run    int
	Worker string
	Reason string
	Age    time.Duration // since the job was accepted

	Expected estimate.Forecast // run time as forecast at the placement; zero if it is not known
	Took     time.Duration     // run time of the whole work of a task that is done; 0 if it is not known
}

// Engine is the state of the scheduler. It is not safe for concurrent use.
type Engine struct {
	cfg               Config
	jobs              map[string]*Job
	jobList           []*Job // in order of acceptance
	workers           map[string]*Worker
	sortedWorkers     []*Worker                // sorted by rack and node
	guaranteed        map[string]int           // accelerators by customer
	dirty             []*Job                   // with changes that are not flushed
	expired           []*Job                   // with rows to delete
	deleting          map[string]struct{}      // IDs of expired jobs in batches that are not committed
	runTimes          map[string]*queueRunTime // by queue
	speeds            *estimate.Estimator
	unhealthyServices map[string]bool // services that are probed only
	services          map[string]*serviceHealth
	holders           map[*stage]struct{}      // stages with a hold on workers
	reserved          map[*stage]*reservation  // reservations of the current tick
	reservationCount  int                      // made in the current tick
	urgentNeed        map[string]int           // of accelerators by customer, while a tick places work; nil if not summed
	speedsDiffer      bool                     // workers of different speed classes are known
	ledgers           map[string]*share.Ledger // recent service of customers, by service
	createdAt         time.Time
	evacuation        evacuation
}

// New returns an engine without jobs or workers. now is the time from which it
// receives worker reports.
func New(cfg Config, now time.Time) *Engine {
	return &Engine{
		cfg:               cfg,
		jobs:              make(map[string]*Job),
		workers:           make(map[string]*Worker),
		guaranteed:        make(map[string]int),
		runTimes:          make(map[string]*queueRunTime),
		speeds:            estimate.New(estimate.Config{}),
		unhealthyServices: make(map[string]bool),
		services:          make(map[string]*serviceHealth),
		deleting:          make(map[string]struct{}),
		holders:           make(map[*stage]struct{}),
		reserved:          make(map[*stage]*reservation),
		ledgers:           make(map[string]*share.Ledger),
		createdAt:         now,
		evacuation:        evacuation{current: cfg.EvacuationLimit <= 0, setAt: now},
	}
}

// SetGuarantees replaces the numbers of accelerators guaranteed to customers.
func (e *Engine) SetGuarantees(accelerators map[string]int) { e.guaranteed = accelerators }

// Submit adds an accepted job. It ignores a job that is already known.
func (e *Engine) Submit(j wire.Job, now time.Time) {
	if _, ok := e.jobs[j.ID]; ok {
		return
	}
	e.addJob(j, now)
}

// newJob returns a job that is in no table yet. Its acceptance time comes from another
// machine's clock. newJob converts it to the monotonic clock of now, so that
// clock jumps do not change the job's age, and caps it at now.
func newJob(row wire.Job, now time.Time) *Job {
	row.Accepted = now.Add(-max(now.Sub(row.Accepted), 0))
	return &Job{Job: row, state: wire.JobQueued, durableState: wire.JobQueued, stages: make(map[stageKey]*stage),
		openOccurrences: make(map[int]bool), doneOccurrences: make(map[int]bool), earlyFailures: make(map[*Worker]struct{})}
}

// addJob adds a job to the table.
func (e *Engine) addJob(row wire.Job, now time.Time) *Job {
	j := newJob(row, now)
	e.jobs[row.ID] = j
	e.jobList = append(e.jobList, j)
	e.urgentNeed = nil
	if row.RepeatCount == 0 {
		e.createReadyStages(j, 0, now)
	}
	return j
}

// workerFor returns the row of the worker that ref names. If it has not reported
// yet, workerFor adds a row with its identity only, since it may still run tasks.
func (e *Engine) workerFor(ref wire.WorkerRef) *Worker {
	w, ok := e.workers[ref.Node]
	if ok && w.ref() == ref {
		return w
	}
	key := ref.Node
	if ok {
		key = fmt.Sprintf("%s %s %d", ref.Node, ref.Instance, ref.Born) // another worker lifetime at the same agent
		if w, ok = e.workers[key]; ok {
			return w
		}
	}
	w = newWorker(ref.Node, e.createdAt.Add(e.cfg.LeaseLimit))
	w.Instance, w.Born = ref.Instance, ref.Born
	e.workers[key] = w
	e.sortWorkers()
	return w
}

// ref identifies the worker lifetime.
func (w *Worker) ref() wire.WorkerRef {
	return wire.WorkerRef{Node: w.Node, Instance: w.Instance, Born: w.Born}
}

func newWorker(node string, leaseEnd time.Time) *Worker {
	return &Worker{
		Node:           node,
		leaseEnd:       leaseEnd,
		runs:           make(map[wire.TaskID]*run),
		unexpectedRuns: make(map[wire.TaskRun]wire.Resources),
	}
}

func (e *Engine) sortWorkers() {
	e.sortedWorkers = e.sortedWorkers[:0]
	for _, w := range e.workers {
		e.sortedWorkers = append(e.sortedWorkers, w)
	}
	slices.SortFunc(e.sortedWorkers, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Born, b.Born))
	})
}

// createReadyStages creates the stages of an occurrence whose preceding steps
// are done.
func (e *Engine) createReadyStages(j *Job, occurrence int, now time.Time) {
	for i := range j.Steps {
		key := stageKey{occurrence, i}
		if j.stages[key] != nil || !j.stepsDone(occurrence, j.Steps[i].After) {
			continue
		}
		newStage(j, key, now)
	}
}

func newStage(j *Job, key stageKey, now time.Time) *stage {
	step := &j.Steps[key.step]
	s := &stage{job: j, key: key, step: step, readyAt: now, tasksLeft: step.Count}
	for i := range step.Count {
		s.tasks = append(s.tasks, &task{stage: s, index: i})
	}
	j.stages[key] = s
	j.stageList = append(j.stageList, s)
	return s
}

func (j *Job) stepsDone(occurrence int, steps []int) bool {
	for _, i := range steps {
		s := j.stages[stageKey{occurrence, i}]
		if s == nil || s.tasksLeft > 0 {
			return false
		}
	}
	return true
}

// Cancel ends a job at its caller's request.
func (e *Engine) Cancel(id string, now time.Time) {
	j, ok := e.jobs[id]
	if !ok || j.state.Final() {
		return
	}
	e.endJob(j, wire.JobCancelled, "caller", now)
}

// endJob sets the final state of a job and stops its active runs.
func (e *Engine) endJob(j *Job, state wire.JobState, reason string, now time.Time) {
	j.state, j.endedAt = state, now
	e.urgentNeed = nil
	for _, s := range j.stageList {
		e.releaseHold(s)
		for _, t := range s.tasks {
			if t.run != nil {
				e.stopRun(t.run, "job_"+string(state))
			}
		}
	}
	e.markChanged(j)
	e.recordDecision(Decision{Kind: "end", Job: j.ID, Reason: reason + ":" + string(state), Age: now.Sub(j.Accepted)})
}

// Withdraw removes a job whose row could not be written, together with its runs
// and holds, and removes its changes from the batch b. None of them has become
// visible, because the job was never durable.
func (e *Engine) Withdraw(id string, b *Batch) {
	j, ok := e.jobs[id]
	if !ok || j.writtenVersion > 0 {
		return
	}
	for _, s := range j.stageList {
		e.releaseHold(s)
		for _, t := range s.tasks {
			if t.run != nil {
				e.detachRun(t.run)
			}
		}
	}
	j.state = wire.JobCancelled // remaining references to the job ignore it
	delete(e.jobs, id)
	e.jobList = slices.DeleteFunc(e.jobList, func(other *Job) bool { return other == j })
	e.dirty = slices.DeleteFunc(e.dirty, func(other *Job) bool { return other == j })
	if b != nil {
		b.Progress = slices.DeleteFunc(b.Progress, func(c Change) bool { return c.job == j })
	}
	e.recordDecision(Decision{Kind: "withdraw", Job: id, Reason: "not_written"})
}

// markChanged queues the job's state to be written.
func (e *Engine) markChanged(j *Job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		e.dirty = append(e.dirty, j)
	}
}

// stopRun orders the worker to stop a run.
func (e *Engine) stopRun(r *run, cause string) {
	if r.phase == stopping {
		return
	}
	r.phase, r.stopCause = stopping, cause
	r.worker.dirty = true
}

// stopRunOrGang stops a run. If it belongs to a gang, it stops all members, since
// they cannot work without each other.
func (e *Engine) stopRunOrGang(r *run, cause string) {
	if !r.task.stage.step.Gang {
		e.stopRun(r, cause)
		return
	}
	for _, t := range r.task.stage.tasks {
		if t.run != nil {
			e.stopRun(t.run, cause)
		}
	}
}

// State returns the durable state of a job.
func (e *Engine) State(id string) (queue string, state wire.JobState, ok bool) {
	j, ok := e.jobs[id]
	if !ok {
		return "", "", false
	}
	state = j.durableState
	if state == wire.JobQueued && j.everPlaced && j.writtenVersion > 0 {
		state = wire.JobRunning
	}
	return j.Queue, state, true
}

// Expiring reports whether the rows of a job are about to be deleted, or are being
// deleted by a batch that is not committed yet.
func (e *Engine) Expiring(id string) bool {
	if _, ok := e.deleting[id]; ok {
		return true
	}
	return slices.ContainsFunc(e.expired, func(j *Job) bool { return j.ID == id })
}

// Pending returns the number of unfinished jobs of a queue of which no task is known
// to have started. A task that was placed may have been refused.
func (e *Engine) Pending(queue string) int {
	n := 0
	for _, j := range e.jobList {
		if j.Queue == queue && !j.state.Final() && !j.everStarted {
			n++
		}
	}
	return n
}

func (e *Engine) recordDecision(d Decision) {
	e.keepDecision(d)
	if e.cfg.OnDecision != nil {
		e.cfg.OnDecision(d)
	}
}

// Expire removes jobs that ended longer ago than the retention time, unless they
// still have active runs or changes to write.
func (e *Engine) Expire(now time.Time) {
	kept := e.jobList[:0]
	for _, j := range e.jobList {
		if j.state.Final() && now.Sub(j.endedAt) > e.cfg.Retention && !j.dirty && !j.hasActiveRuns() {
			delete(e.jobs, j.ID)
			e.expired = append(e.expired, j)
			continue
		}
		kept = append(kept, j)
	}
	e.jobList = kept
}

func (j *Job) hasActiveRuns() bool {
	for _, s := range j.stageList {
		if s.activeRuns > 0 {
			return true
		}
	}
	return false
}

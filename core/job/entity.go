// Package job is the decision core of the scheduler: the tables of jobs, stages,
// tasks, runs and workers, and the systems that run over them each tick.
//
// It holds no clock, network or goroutine. What it decides becomes durable
// first: Flush returns the rows to write, Committed tells that they are
// written, and only then do the decisions show in Orders and in State.
package job

import (
	"time"

	"bramleythread/io/wire"
)

// Job is one row of the job table.
type Job struct {
	wire.Job

	state               wire.JobState
	durableState        wire.JobState // the state that is durable
	everPlaced          bool          // a task has been ordered
	stages              map[stageKey]*stage
	stageList           []*stage // in the order in which they were made
	endedAt             time.Time
	checkpointWrittenAt time.Time // when its row was last written for a checkpoint
	version             uint64    // counts changes of the durable state
	writtenVersion      uint64    // changes that are durable
	dirty               bool

	decisions []Decision // the newest ones
}

type stageKey struct{ occurrence, step int }

// stage is one step of one occurrence of a job whose turn has come.
type stage struct {
	job        *Job
	key        stageKey
	step       *wire.JobStep
	tasks      []*task
	tasksLeft  int // tasks that are not done
	activeRuns int // tasks that have one
	failures   int // of a gang
	readyAt    time.Time
	retryAt    time.Time // not placed before this time
	waitReason string    // why it waits
	heldTasks  map[*Worker]int
	holdUntil  time.Time
	advice     advice
}

// unplacedTasks returns the tasks that are to be placed. A gang is placed whole.
func (s *stage) unplacedTasks() []*task {
	if s.tasksLeft <= s.activeRuns && !s.step.Gang || s.tasksLeft == 0 || s.step.Gang && s.activeRuns > 0 {
		return nil
	}
	var tasks []*task
	for _, t := range s.tasks {
		if !t.done && t.run == nil {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// task is one unit of work.
type task struct {
	stage      *stage
	index      int
	done       bool
	lastRun    int // of the last run
	failures   int
	checkpoint string
	run        *run
	failedOn   *Worker // where it failed last
}

// phase is how far a run has come.
type phase uint8

const (
	ordered  phase = iota
	started        // the worker lists it
	stopping       // its stop is ordered
)

// run is an active run of a task on a worker.
type run struct {
	task         *task
	number       int
	worker       *Worker
	phase        phase
	jobVersion   uint64 // of the job that records the run
	restored     bool   // an earlier scheduler has placed it
	placedAt     time.Time
	startedAt    time.Time     // when the worker listed it first
	percent      int           // of the work that is done
	firstPercent int           // percent when the worker listed it first
	progressAt   time.Time     // when percent last grew
	stalledFor   time.Duration // the worker has listed it for so long without progress
	listedAt     time.Duration // newest look at the worker that listed it, on the agent's clock
	stopCause    string        // of the stop
}

func (t *task) id() wire.TaskID {
	s := t.stage
	return wire.TaskID{Job: s.job.ID, Occurrence: s.key.occurrence, Step: s.key.step, Index: t.index}
}

// durable reports whether the row that records the run is written.
func (r *run) durable() bool { return r.jobVersion <= r.task.stage.job.writtenVersion }

// Worker is one row of the worker table: one lifetime of the worker beside an
// agent.
type Worker struct {
	wire.WorkerInfo
	Node string

	reported       bool // its agent has reported it to this scheduler
	lastReport     time.Time
	sequence       uint64
	observedAt     time.Duration  // newest look at what runs, on the agent's clock
	used           wire.Resources // by runs, also by those that stop
	unexpectedRuns map[wire.TaskRun]wire.Resources
	runs           map[wire.TaskID]*run
	leaseEnd       time.Time // its runs are certainly over then, if it is not heard of
	lastEnd        int       // newest end that was taken in
	pendingAcks    []ack
	ackedEnd       int
	health         health
	dirty          bool // its orders have changed
}

// ack is an end that is acknowledged once the job's change is written.
type ack struct {
	number     int
	job        *Job
	jobVersion uint64
}

// add and sub do arithmetic on resources.
func add(a, b wire.Resources) wire.Resources {
	return wire.Resources{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

func sub(a, b wire.Resources) wire.Resources {
	return wire.Resources{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}

func scale(a wire.Resources, n int) wire.Resources {
	return wire.Resources{CPU: a.CPU * n, Memory: a.Memory * n, Accelerators: a.Accelerators * n}
}

// fits returns how many tasks of demand d the free resources hold.
func fits(free, d wire.Resources) int {
	n := maxTasksPerWorker
	if d.CPU > 0 {
		n = min(n, free.CPU/d.CPU)
	}
	if d.Memory > 0 {
		n = min(n, free.Memory/d.Memory)
	}
	if d.Accelerators > 0 {
		n = min(n, free.Accelerators/d.Accelerators)
	}
	if free.CPU < 0 || free.Memory < 0 || free.Accelerators < 0 {
		return 0
	}
	return max(n, 0)
}

// maxTasksPerWorker bounds the tasks of a step, and so what one worker may hold.
const maxTasksPerWorker = 10000

// coresPerAccelerator is what one coresPerAccelerator counts for in cores when work is weighed.
// The users' price of discarded work uses the same ratio.
const coresPerAccelerator = 8

// coreEquivalents weighs resources in coreEquivalents.
func coreEquivalents(d wire.Resources) float64 {
	return float64(d.CPU)/1000 + coresPerAccelerator*float64(d.Accelerators)
}

// demand is what a task takes of a worker's resources. Work that fills takes
// processor time only where others leave it.
func demand(s *wire.JobStep) wire.Resources {
	d := s.Demand
	if s.UsesSpareCPU {
		d.CPU = 0
	}
	return d
}

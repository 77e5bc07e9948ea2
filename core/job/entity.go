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

	state    wire.JobState
	shown    wire.JobState // the state that is durable
	began    bool          // a task has been ordered
	stages   map[stageKey]*stage
	order    []*stage // in the order in which they were made
	ended    time.Time
	recorded time.Time // when its row was last written for a checkpoint
	changes  uint64    // counts changes of the durable state
	written  uint64    // changes that are durable
	dirty    bool

	decisions []Decision // the newest ones
}

type stageKey struct{ occurrence, step int }

// stage is one step of one occurrence of a job whose turn has come.
type stage struct {
	job      *Job
	key      stageKey
	step     *wire.JobStep
	tasks    []*task
	left     int // tasks that are not done
	active   int // tasks that have one
	failures int // of a gang
	ready    time.Time
	retry    time.Time // not placed before this time
	why      string    // why it waits
	held     map[*Worker]int
	holdEnd  time.Time
	advice   advice
}

// waiting returns the tasks that are to be placed. A gang is placed whole.
func (s *stage) waiting() []*task {
	if s.left <= s.active && !s.step.Gang || s.left == 0 || s.step.Gang && s.active > 0 {
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
	number     int // of the last run
	failures   int
	checkpoint string
	run        *run
	avoid      *Worker // where it failed last
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
	task     *task
	number   int
	worker   *Worker
	phase    phase
	change   uint64 // of the job that records the run
	restored bool   // an earlier scheduler has placed it
	placed   time.Time
	began    time.Time     // when the worker listed it first
	percent  int           // of the work that is done
	first    int           // percent when the worker listed it first
	progress time.Time     // when percent last grew
	stalled  time.Duration // the worker has listed it for so long without progress
	listed   time.Duration // newest look at the worker that listed it, on the agent's clock
	cause    string        // of the stop
}

func (t *task) id() wire.TaskID {
	s := t.stage
	return wire.TaskID{Job: s.job.ID, Occurrence: s.key.occurrence, Step: s.key.step, Index: t.index}
}

// durable reports whether the row that records the run is written.
func (r *run) durable() bool { return r.change <= r.task.stage.job.written }

// Worker is one row of the worker table: one lifetime of the worker beside an
// agent.
type Worker struct {
	wire.WorkerInfo
	Node string

	known    bool // its agent has reported it to this scheduler
	heard    time.Time
	sequence uint64
	looked   time.Duration  // newest look at what runs, on the agent's clock
	used     wire.Resources // by runs, also by those that stop
	strays   map[wire.TaskRun]wire.Resources
	runs     map[wire.TaskID]*run
	lostAt   time.Time // its runs are certainly over then, if it is not heard of
	seenEnd  int       // newest end that was taken in
	acks     []ack
	acked    int
	health   health
	dirty    bool // its orders have changed
}

// ack is an end that is acknowledged once the job's change is written.
type ack struct {
	number int
	job    *Job
	change uint64
}

// add and sub do arithmetic on resources.
func add(a, b wire.Resources) wire.Resources {
	return wire.Resources{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

func sub(a, b wire.Resources) wire.Resources {
	return wire.Resources{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}

func times(a wire.Resources, n int) wire.Resources {
	return wire.Resources{CPU: a.CPU * n, Memory: a.Memory * n, Accelerators: a.Accelerators * n}
}

// fits returns how many tasks of demand d the free resources hold.
func fits(free, d wire.Resources) int {
	n := maxCount
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

// maxCount bounds the tasks of a step, and so what one worker may hold.
const maxCount = 10000

// accelerator is what one accelerator counts for in cores when work is weighed.
// The users' price of discarded work uses the same ratio.
const accelerator = 8

// cores weighs resources in cores.
func cores(d wire.Resources) float64 {
	return float64(d.CPU)/1000 + accelerator*float64(d.Accelerators)
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

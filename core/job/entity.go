// Package job implements the scheduling decisions: it holds the tables of jobs,
// stages, tasks, runs and workers and updates them on each tick.
//
// It has no clock, network access or goroutine of its own. Decisions become
// visible in Orders and State only once they are durable: Flush returns the rows
// to write, and MarkCommitted records that they are written.
package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/core/estimate"
	"bramleythread/io/wire"
)

// Job is one row of the job table.
type Job struct {
	wire.Job

	state               wire.JobState
	durableState        wire.JobState // the last committed state
	everPlaced          bool          // a task has been placed at least once
	everStarted         bool          // a worker is known to have started a task
	stages              map[stageKey]*stage
	stageList           []*stage // in order of creation; without those of done occurrences
	openOccurrences     map[int]bool
	doneOccurrences     map[int]bool
	endedAt             time.Time
	checkpointWrittenAt time.Time // when a checkpoint last queued its row for writing
	version             uint64    // counts changes of the state to write
	writtenVersion      uint64    // the last committed version
	dirty               bool      // in Engine.dirty

	earlyFailures map[*Worker]struct{} // workers on which its runs have failed at once
	decisions     []Decision           // the newest, up to maxDecisions
}

type stageKey struct{ occurrence, step int }

// stage is one step of one occurrence of a job, created once its preceding steps
// are done. An occurrence is one repetition of a repeated job.
type stage struct {
	job        *Job
	key        stageKey
	step       *wire.JobStep
	tasks      []*task
	tasksLeft  int // tasks not done
	activeRuns int // tasks with an active run
	failures   int // failed runs of a gang
	failedRun  int // number of the last of them; 0 if none is known
	readyAt    time.Time
	retryAt    time.Time       // no placement before this time
	lastFailed lastFailure     // of a gang
	waitReason string          // why its tasks are not placed
	shareDelay time.Duration   // its place in the queue is that of a job accepted by this much later
	heldTasks  map[*Worker]int // tasks for which room is held, by worker
	holdUntil  time.Time
	advice     advice
	work       estimate.Work
	expected   keptForecast // on a worker of median speed

	maxSlowness   float64 // of workers that get its tasks in this tick; 0 for no limit
	waitsForSpeed bool    // faster workers are free in time for its objective
}

// unplacedTasks returns the tasks to place. For a gang, whose tasks all run at
// the same time, it returns all or none.
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

// failedRunActive reports whether members of a gang's last failed run have not ended.
// They may still fail too.
func (s *stage) failedRunActive() bool {
	return s.failedRun > 0 && slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.run != nil && t.run.number == s.failedRun
	})
}

// task is one unit of work.
type task struct {
	stage      *stage
	index      int
	done       bool
	lastRun    int // number of the newest run
	failures   int
	checkpoint string
	run        *run
	failedOn   *Worker // worker of the last failed or stalled run
	lastFailed lastFailure
}

// lastFailure is the last failure of a task or gang.
type lastFailure struct {
	at    time.Time
	early bool // it came at once
}

// phase is the state of a run.
type phase uint8

const (
	ordered  phase = iota // the worker has not listed it yet
	started               // the worker lists it
	stopping              // the worker is ordered to stop it
)

// run is one execution of a task on a worker, until its end is processed.
type run struct {
	task         *task
	number       int
	worker       *Worker
	phase        phase
	jobVersion   uint64 // version of the job that records the run
	restored     bool   // placed by an earlier scheduler
	startOrdered bool   // this scheduler has ordered its start
	startTaken   bool   // the agent's latest report lists its start as in progress
	placedAt     time.Time
	startedAt    time.Time     // when the worker first listed it
	percent      int           // completed share of the work
	resumed      bool          // it continues from a checkpoint
	firstPercent int           // percent from which its progress is measured
	measuredFrom time.Time     // when firstPercent was listed
	progressAt   time.Time     // when percent last changed
	stalledFor   time.Duration // observed time without progress
	listedAt     time.Duration // observedAt of the newest report that lists it
	stopCause    string
	speedID      string // of the run in Engine.speeds
	expected     keptForecast
	placedFor    estimate.Forecast // at its placement; zero if an earlier scheduler placed it
	irregular    bool              // its progress tells nothing of its step or worker
}

func (t *task) id() wire.TaskID {
	s := t.stage
	return wire.TaskID{Job: s.job.ID, Occurrence: s.key.occurrence, Step: s.key.step, Index: t.index}
}

// durable reports whether the job row that records the run is committed.
func (r *run) durable() bool { return r.jobVersion <= r.task.stage.job.writtenVersion }

// Worker is one row of the worker table: one lifetime of the worker process at an
// agent. The agent runs next to the worker, starts and stops its runs and reports
// on them.
type Worker struct {
	wire.WorkerInfo
	Node string

	reported       bool // this scheduler has received a report on it
	lastReport     time.Time
	sequence       uint64
	moreEnds       bool                            // the latest report may lack ends
	observedAt     time.Duration                   // when the agent last read the list of runs, on the agent's clock
	used           wire.Resources                  // by its runs, including those being stopped
	unexpectedRuns map[wire.TaskRun]wire.Resources // listed by the worker but not in runs
	runs           map[wire.TaskID]*run
	leaseEnd       time.Time // its runs have certainly ended by then if no report arrives
	lastEnd        int       // number of the newest processed end
	pendingAcks    []ack
	ackedEnd       int // newest end to acknowledge to the agent
	health         health
	speedID        string // of the lifetime in Engine.speeds
	speed          speed  // in this tick
	dirty          bool   // has changed orders to send
}

// sortedRuns returns the runs of the worker in the order of their tasks, so that
// decisions do not depend on the order of a map.
func (w *Worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

func compareRuns(a, b *run) int { return compareTasks(a.task.id(), b.task.id()) }

func compareTasks(a, b wire.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// ack is the end of a run that is acknowledged once jobVersion of the job is
// committed.
type ack struct {
	number     int  // of the end
	job        *Job // nil if no change needs to be committed
	jobVersion uint64
}

// add returns a + b for each resource.
func add(a, b wire.Resources) wire.Resources {
	return wire.Resources{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

func sub(a, b wire.Resources) wire.Resources {
	return wire.Resources{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}

func scale(a wire.Resources, n int) wire.Resources {
	return wire.Resources{CPU: a.CPU * n, Memory: a.Memory * n, Accelerators: a.Accelerators * n}
}

// fitCount returns how many tasks of demand d fit into the free resources.
func fitCount(free, d wire.Resources) int {
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

// maxTasksPerWorker is an upper bound of the tasks of a step, and so of those on
// one worker.
const maxTasksPerWorker = 10000

// coresPerAccelerator is the weight of an accelerator in cores when lost work is
// compared. The users' price of discarded work uses the same ratio.
const coresPerAccelerator = 8

// coreEquivalents returns the weight of CPU and accelerators in cores.
func coreEquivalents(d wire.Resources) float64 {
	return float64(d.CPU)/1000 + coresPerAccelerator*float64(d.Accelerators)
}

// demand returns the resources that a task of the step occupies on a worker.
// Background tasks (wire.JobStep.UsesSpareCPU) run only on CPU time that other
// tasks leave idle, so they occupy no CPU.
func demand(s *wire.JobStep) wire.Resources {
	d := s.Demand
	if s.UsesSpareCPU {
		d.CPU = 0
	}
	return d
}

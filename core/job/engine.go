package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// Config sets up an engine.
type Config struct {
	// LeaseLimit is the longest time for which a run may go on after its
	// worker was last heard of by the scheduler.
	LeaseLimit time.Duration

	// Retention is the time for which an ended job is kept.
	Retention time.Duration

	// RackFactor is how much longer work takes away from its data or, for a
	// gang that wants one rack, on several.
	RackFactor float64

	// Policy leaves out rules of placement and order; the zero value has all.
	Policy Policy

	// OnDecision is called for each decision on a job; it may be nil.
	OnDecision func(d Decision)
}

// Decision is one decision on a job, for the log.
type Decision struct {
	Kind   string // such as place, preempt, end
	Job    string
	Task   wire.TaskID
	Run    int
	Worker string
	Reason string
	Age    time.Duration // since the job was accepted
}

// Engine is the state of the scheduler. It is not safe for concurrent use.
type Engine struct {
	cfg               Config
	jobs              map[string]*Job
	jobList           []*Job // in the order of acceptance
	workers           map[string]*Worker
	sortedWorkers     []*Worker // by rack and node
	guaranteed        map[string]int
	dirty             []*Job
	expired           []*Job // whose rows are to be deleted
	runTimes          map[string]*queueRunTime
	unhealthyServices map[string]bool         // services of which no worker is sound
	holders           map[*stage]struct{}     // stages that hold room for themselves
	reserved          map[*stage]*reservation // room that later stages of this tick leave free
	reservationCount  int                     // of this tick
	createdAt         time.Time
}

// New returns an engine without jobs or workers. now is the time from which on
// it hears of workers.
func New(cfg Config, now time.Time) *Engine {
	return &Engine{
		cfg:               cfg,
		jobs:              make(map[string]*Job),
		workers:           make(map[string]*Worker),
		guaranteed:        make(map[string]int),
		runTimes:          make(map[string]*queueRunTime),
		unhealthyServices: make(map[string]bool),
		holders:           make(map[*stage]struct{}),
		reserved:          make(map[*stage]*reservation),
		createdAt:         now,
	}
}

// SetGuarantees replaces the accelerators that customers are guaranteed.
func (e *Engine) SetGuarantees(accelerators map[string]int) { e.guaranteed = accelerators }

// Submit adds an accepted job. A job that is known already is left as it is.
func (e *Engine) Submit(j wire.Job, now time.Time) {
	if _, ok := e.jobs[j.ID]; ok {
		return
	}
	e.addJob(j, now)
}

// addJob adds a row to the table. The time of acceptance comes from another
// machine's clock: from here on it is kept on the steady clock of now, so that no
// jump of a clock makes jobs older, and it never lies in the future.
func (e *Engine) addJob(row wire.Job, now time.Time) *Job {
	row.Accepted = now.Add(-max(now.Sub(row.Accepted), 0))
	j := &Job{Job: row, state: wire.JobQueued, durableState: wire.JobQueued, stages: make(map[stageKey]*stage)}
	e.jobs[row.ID] = j
	e.jobList = append(e.jobList, j)
	if row.RepeatCount == 0 {
		e.createReadyStages(j, 0, now)
	}
	return j
}

// Restore adds a job with the progress that an earlier scheduler recorded.
func (e *Engine) Restore(row wire.Job, p *wire.JobProgress, now time.Time) {
	j := e.addJob(row, now)
	if p == nil {
		return
	}
	j.state, j.durableState, j.everPlaced = p.State, p.State, len(p.Stages) > 0
	j.version, j.writtenVersion = 1, 1
	for _, sp := range p.Stages {
		e.restoreStage(j, sp, p.Workers, now)
	}
	if j.state.Final() {
		j.endedAt = now
		for _, s := range j.stageList {
			for _, t := range s.tasks {
				if t.run != nil {
					e.stopRun(t.run, "job_ended")
				}
			}
		}
		return
	}
	for occurrence := range max(j.RepeatCount, 1) {
		if j.stages[stageKey{occurrence, 0}] != nil {
			e.createReadyStages(j, occurrence, now)
		}
	}
}

// restoreStage restores one stage. What does not fit the job is left out: its
// tasks begin anew.
func (e *Engine) restoreStage(j *Job, sp wire.StageProgress, workers []wire.WorkerRef, now time.Time) {
	key := stageKey{sp.Occurrence, sp.Step}
	if sp.Step >= len(j.Steps) || len(sp.Tasks) > 0 && len(sp.Tasks) != j.Steps[sp.Step].Count {
		return
	}
	s := j.stages[key]
	if s == nil {
		s = newStage(j, key, now)
	}
	s.failures = sp.Failures
	if len(sp.Tasks) == 0 {
		for _, t := range s.tasks {
			t.done = true
		}
		s.tasksLeft = 0
		return
	}
	for i, tp := range sp.Tasks {
		t := s.tasks[i]
		t.lastRun, t.failures, t.checkpoint = tp.Run, tp.Failures, tp.Checkpoint
		j.everPlaced = j.everPlaced || tp.Run > 0
		if tp.Done {
			t.done = true
			s.tasksLeft--
		}
		if tp.Worker > 0 && tp.Worker <= len(workers) {
			e.attachRun(t, e.workerFor(workers[tp.Worker-1]), tp.Run, now).restored = true
		}
	}
}

// workerFor returns the row of a worker that may run work and of which nothing is
// known but its name.
func (e *Engine) workerFor(ref wire.WorkerRef) *Worker {
	w, ok := e.workers[ref.Node]
	if ok && w.ref() == ref {
		return w
	}
	key := ref.Node
	if ok {
		key = ref.Node + " " + ref.Instance // another lifetime beside the same agent
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

// ref names the worker's lifetime.
func (w *Worker) ref() wire.WorkerRef {
	return wire.WorkerRef{Node: w.Node, Instance: w.Instance, Born: w.Born}
}

func newWorker(node string, lostAt time.Time) *Worker {
	return &Worker{
		Node:           node,
		leaseEnd:       lostAt,
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

// createReadyStages makes the stages of an occurrence whose steps before them are done.
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

// Cancel ends a job on its caller's behalf.
func (e *Engine) Cancel(id string, now time.Time) {
	j, ok := e.jobs[id]
	if !ok || j.state.Final() {
		return
	}
	e.endJob(j, wire.JobCancelled, "caller", now)
}

// endJob gives a job its final state and stops what still runs.
func (e *Engine) endJob(j *Job, state wire.JobState, reason string, now time.Time) {
	j.state, j.endedAt = state, now
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

// Withdraw takes back a job whose row was not written, with all that was decided
// for it. None of it has shown yet; a batch that holds changes of it loses them.
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
	j.state = wire.JobCancelled // whoever still refers to it finds nothing to do
	delete(e.jobs, id)
	e.jobList = slices.DeleteFunc(e.jobList, func(other *Job) bool { return other == j })
	e.dirty = slices.DeleteFunc(e.dirty, func(other *Job) bool { return other == j })
	if b != nil {
		b.Progress = slices.DeleteFunc(b.Progress, func(c Change) bool { return c.job == j })
	}
	e.recordDecision(Decision{Kind: "withdraw", Job: id, Reason: "not_written"})
}

// markChanged notes that the durable state of a job has changed.
func (e *Engine) markChanged(j *Job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		e.dirty = append(e.dirty, j)
	}
}

// stopRun orders the end of a run.
func (e *Engine) stopRun(r *run, cause string) {
	if r.phase == stopping {
		return
	}
	r.phase, r.stopCause = stopping, cause
	r.worker.dirty = true
}

// stopRunOrGang orders the end of a run, and of its gang with it: its other members
// can do nothing without it.
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

// Expiring reports whether the rows of a job are about to be deleted.
func (e *Engine) Expiring(id string) bool {
	return slices.ContainsFunc(e.expired, func(j *Job) bool { return j.ID == id })
}

// Pending returns the number of a queue's jobs of which nothing has started.
func (e *Engine) Pending(queue string) int {
	n := 0
	for _, j := range e.jobList {
		if j.Queue == queue && !j.state.Final() && !j.everPlaced {
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

// Expire forgets jobs that ended longer than the retention ago.
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

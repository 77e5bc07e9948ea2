package job

import (
	"bramleythread/io/wire"
)

// Limits of a batch. A transaction of the users' store holds up to 100 entries and
// 1 MB, including the scheduler's lease, and encoding makes values a third larger.
const (
	maxBatchRows  = 80
	maxBatchBytes = 500 << 10 // before encoding

	// rowsPerExpiredJob counts the rows to delete for an expired job: its own, its
	// progress and its cancellation.
	rowsPerExpiredJob = 3
)

// Batch is a set of changes to write in one transaction.
type Batch struct {
	Progress []Change
	Expired  []string // IDs of jobs with rows to delete
}

// Change is the new durable state of a job.
type Change struct {
	ID       string
	Progress wire.JobProgress

	job     *Job
	version uint64
}

// Flush returns the next changes to write, or nil. Call MarkCommitted with the batch
// before the next Flush.
func (e *Engine) Flush() *Batch {
	if len(e.dirty) == 0 && len(e.expired) == 0 {
		return nil
	}
	b := &Batch{}
	n, size := 0, 0
	for n < len(e.dirty) && n < maxBatchRows {
		j := e.dirty[n]
		p := j.progress()
		if size += p.Msgsize(); size > maxBatchBytes && n > 0 {
			break
		}
		j.dirty = false
		n++
		b.Progress = append(b.Progress, Change{ID: j.ID, Progress: p, job: j, version: j.version})
	}
	e.dirty = append([]*Job(nil), e.dirty[n:]...)
	for len(e.expired) > 0 && n+rowsPerExpiredJob*(len(b.Expired)+1) <= maxBatchRows {
		b.Expired = append(b.Expired, e.expired[0].ID)
		e.deleting[e.expired[0].ID] = struct{}{}
		e.expired = e.expired[1:]
	}
	return b
}

// MarkCommitted records that a batch has been written.
func (e *Engine) MarkCommitted(b *Batch) {
	for _, c := range b.Progress {
		c.job.writtenVersion = c.version
		c.job.durableState = c.Progress.State
	}
	for _, id := range b.Expired {
		delete(e.deleting, id)
	}
	for _, w := range e.workers {
		e.ackDurableEnds(w)
		for _, r := range w.runs {
			if r.phase == ordered {
				w.dirty = true
			}
		}
	}
}

// ackDurableEnds acknowledges the ends of runs, in order, whose job changes are
// committed.
func (e *Engine) ackDurableEnds(w *Worker) {
	n := 0
	for _, a := range w.pendingAcks {
		if a.job != nil && a.job.writtenVersion < a.jobVersion {
			break
		}
		w.ackedEnd, w.dirty = a.number, true
		n++
	}
	w.pendingAcks = w.pendingAcks[n:]
}

// progress returns the state of a job to write. If it does not fit into a row, it
// leaves out the checkpoints, without which tasks start over after a takeover.
func (j *Job) progress() wire.JobProgress {
	j.closeOccurrences()
	p := j.fullProgress()
	if p.Msgsize() <= MaxRowBytes { // an upper bound of the size
		return p
	}
	if row, err := p.MarshalMsg(nil); err == nil && len(row) <= MaxRowBytes {
		return p
	}
	for _, s := range p.Stages {
		for i := range s.Tasks {
			s.Tasks[i].Checkpoint = ""
		}
	}
	return p
}

func (j *Job) fullProgress() wire.JobProgress {
	p := wire.JobProgress{State: j.state}
	if j.state.Final() && !j.hasActiveRuns() {
		return p
	}
	p.Done = j.doneRanges()
	workers := make(map[wire.WorkerRef]int)
	for _, s := range j.stageList {
		sp := wire.StageProgress{Occurrence: s.key.occurrence, Step: s.key.step, Failures: s.failures}
		if s.tasksLeft > 0 || s.activeRuns > 0 {
			sp.Tasks = s.progress(&p, workers)
		}
		if s.failedRunActive() {
			p.FailedGangs = append(p.FailedGangs, wire.FailedGang{Occurrence: s.key.occurrence, Step: s.key.step, Run: s.failedRun})
		}
		p.Failures = append(p.Failures, s.taskFailures(&p, workers, maxRowFailures-len(p.Failures))...)
		p.Stages = append(p.Stages, sp)
	}
	return p
}

// maxRowFailures bounds the failures in the row of a job. If more of its tasks have
// failed, the job is the likely cause, and not the workers.
const maxRowFailures = 50

// taskFailures returns up to n of the last failures of a stage's tasks that wait for
// another attempt. The failures of those that run again say less about the workers the
// longer they run.
func (s *stage) taskFailures(p *wire.JobProgress, workers map[wire.WorkerRef]int, n int) []wire.TaskFailure {
	var failures []wire.TaskFailure
	for _, t := range s.tasks {
		if t.done || t.run != nil || t.failedOn == nil || len(failures) >= n {
			continue
		}
		failures = append(failures, wire.TaskFailure{
			Occurrence: s.key.occurrence, Step: s.key.step, Index: t.index,
			Worker: workerIndex(p, workers, t.failedOn), Early: t.lastFailed.early,
		})
	}
	return failures
}

// workerIndex returns the 1-based index of a worker in p.Workers. It adds the worker if it
// is not among them.
func workerIndex(p *wire.JobProgress, workers map[wire.WorkerRef]int, w *Worker) int {
	ref := w.ref()
	if workers[ref] == 0 {
		p.Workers = append(p.Workers, ref)
		workers[ref] = len(p.Workers)
	}
	return workers[ref]
}

// progress returns the state of a stage's tasks to write and adds their workers to
// p.Workers.
func (s *stage) progress(p *wire.JobProgress, workers map[wire.WorkerRef]int) []wire.TaskProgress {
	tasks := make([]wire.TaskProgress, 0, len(s.tasks))
	for _, t := range s.tasks {
		tp := wire.TaskProgress{Done: t.done, Run: t.lastRun, Failures: t.failures}
		if !t.done {
			tp.Checkpoint = t.checkpoint
		}
		if t.run != nil {
			tp.Worker = workerIndex(p, workers, t.run.worker)
		}
		tasks = append(tasks, tp)
	}
	return tasks
}

package job

import (
	"fmt"
	"time"

	"bramleythread/io/wire"
)

// Report takes in what an agent says of its worker. A report that a newer one
// of the same lifetime has overtaken changes nothing; it returns false.
func (e *Engine) Report(r *wire.WorkerReport, now time.Time) bool {
	w := e.workers[r.Node]
	if w == nil || w.Instance != r.Worker.Instance || w.Born != r.Worker.Born {
		w = e.lifetime(r, now)
	}
	if w == nil || r.Sequence <= w.sequence {
		return false
	}
	w.sequence, w.heard = r.Sequence, now
	w.lostAt = now.Add(e.cfg.LeaseLimit)
	if !w.known || w.Rack != r.Worker.Rack {
		w.WorkerInfo, w.known = r.Worker, true
		e.sortWorkers()
	}
	w.WorkerInfo = r.Worker
	for _, end := range r.Ended {
		e.takeEnd(w, end, now)
	}
	for _, refused := range r.Refused {
		if run := w.runs[refused.Task]; run != nil && run.number == refused.Run {
			e.end(run, wire.EndRefused, "", refused.Reason, now)
			if run.task.stage.job.TicketValidity > 0 {
				run.task.stage.forget(w)
			}
			w.health.refused(now)
		}
	}
	w.looked = r.RunningAt
	e.takeRunning(w, r.Running, now)
	e.dropStops(w, r, now)
	if w.State == wire.WorkerDraining {
		e.drain(w, now)
	}
	if w.State == wire.WorkerGone {
		e.lose(w, "worker_left", now)
	}
	e.advanceAcks(w)
	return true
}

// drain stops what loses nothing by it, what has not begun, and what will not
// end before the worker leaves.
func (e *Engine) drain(w *Worker, now time.Time) {
	for _, r := range w.runs {
		step := r.task.stage.step
		if r.phase == ordered || step.Checkpoints || step.LongRunning || e.remaining(r, now) > w.Remaining+leaveSlack {
			e.stopWhole(r, "worker_draining")
		}
	}
}

// leaveSlack is how much longer than it says a draining worker usually stays:
// the users' workers linger for 1.5 s.
const leaveSlack = time.Second

// ResetSequence tells that an agent has opened a new connection, on which the numbers
// of its reports begin anew.
func (e *Engine) ResetSequence(node string) {
	if w, ok := e.workers[node]; ok {
		w.sequence, w.looked = 0, 0
	}
}

// lifetime returns the row of the lifetime that a report tells of, or nil if a
// later one beside the same agent is known. Earlier ones are over.
func (e *Engine) lifetime(r *wire.WorkerReport, now time.Time) *Worker {
	var w *Worker
	for key, other := range e.workers {
		switch {
		case other.Node != r.Node:
		case other.Instance == r.Worker.Instance && other.Born == r.Worker.Born:
			w = other
			delete(e.workers, key)
		case other.Born > r.Worker.Born:
			return nil
		default:
			e.lose(other, "worker_replaced", now)
			delete(e.workers, key)
		}
	}
	if w == nil {
		w = newWorker(r.Node, now.Add(e.cfg.LeaseLimit))
		w.WorkerInfo = r.Worker
	}
	e.workers[r.Node] = w
	e.sortWorkers()
	return w
}

// lose ends the runs of a worker that is certain to run nothing any more.
func (e *Engine) lose(w *Worker, reason string, now time.Time) {
	for _, r := range w.runs {
		e.end(r, wire.EndCrashed, "", reason, now)
	}
	clear(w.strays)
	w.acks = nil
}

// takeEnd takes in one end. It is acknowledged once its effect is durable.
func (e *Engine) takeEnd(w *Worker, end wire.EndedRun, now time.Time) {
	if end.Number <= w.seenEnd {
		return
	}
	w.seenEnd = end.Number
	delete(w.strays, wire.TaskRun{Task: end.Task, Run: end.Run})
	r := w.runs[end.Task]
	if r == nil || r.number != end.Run {
		w.acks = append(w.acks, ack{number: end.Number})
		return
	}
	j := r.task.stage.job
	e.end(r, end.End, end.Checkpoint, r.reason(end.End), now)
	a := ack{number: end.Number}
	if j.written < j.changes { // also if another end has made the change
		a.job, a.change = j, j.changes
	}
	w.acks = append(w.acks, a)
}

// reason tells how a run has ended and, if that is because we have stopped it or
// a member of its gang, why.
func (r *run) reason(how wire.RunEnd) string {
	if r.cause == "" || how != wire.EndStopped && how != wire.EndGangBroken {
		return string(how)
	}
	return string(how) + ":" + r.cause
}

// takeRunning compares what the worker runs with what it is to run.
func (e *Engine) takeRunning(w *Worker, running []wire.RunningTask, now time.Time) {
	clear(w.strays)
	for _, t := range running {
		r := w.runs[t.Task]
		if r == nil || r.number != t.Run {
			w.strays[wire.TaskRun{Task: t.Task, Run: t.Run}] = e.demandOf(t.Task)
			w.dirty = true
			continue
		}
		e.listed(r, t, now)
	}
}

// dropStops ends the runs that an earlier scheduler has ordered to stop, if the
// worker neither has them nor may start them any more: it has acknowledged this
// scheduler's token, and its agent knows of no order without an outcome.
func (e *Engine) dropStops(w *Worker, r *wire.WorkerReport, now time.Time) {
	there := make(map[wire.TaskRun]bool, len(r.Running)+len(r.Pending))
	for _, t := range r.Running {
		there[wire.TaskRun{Task: t.Task, Run: t.Run}] = true
	}
	for _, t := range r.Pending {
		there[t] = true
	}
	for id, run := range w.runs {
		if run.restored && run.phase == stopping && !there[wire.TaskRun{Task: id, Run: run.number}] {
			e.end(run, wire.EndStopped, "", "not_there", now)
		}
	}
}

// listed takes in what a worker says of a run.
func (e *Engine) listed(r *run, t wire.RunningTask, now time.Time) {
	if r.began.IsZero() {
		r.began, r.progress = now, now
		r.first, r.percent = t.Percent, t.Percent
	}
	if r.phase == ordered {
		r.phase = started
		r.worker.dirty = true
	}
	if t.Percent != r.percent {
		if r.task.stage.step.LongRunning && t.Percent >= allPercent {
			r.worker.health.succeeded() // it never ends as done
		}
		r.percent, r.progress, r.stalled = t.Percent, now, 0
	} else if r.listed > 0 && r.worker.looked > r.listed {
		r.stalled += min(r.worker.looked-r.listed, stallStep)
	}
	r.listed = r.worker.looked
	e.checkStall(r, now)
	if t.Checkpoint != "" && t.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = t.Checkpoint
		if r.task.stage.step.Gang {
			r.task.stage.share(t.Checkpoint)
		}
		e.recordCheckpoint(r.task.stage.job, now)
	}
}

// checkpointInterval is the least time between two writes of a job's row for
// checkpoints alone. It bounds the work that is lost if all machines are: a
// worker keeps its checkpoints no longer than its lifetime.
const checkpointInterval = 3 * time.Second

// recordCheckpoint lets a job's row be written for a new checkpoint.
func (e *Engine) recordCheckpoint(j *Job, now time.Time) {
	if j.state.Final() || now.Sub(j.recorded) < checkpointInterval {
		return
	}
	j.recorded = now
	e.touch(j)
}

// Times of a run that stands still.
const (
	// stallLimit is several intervals of an agent's reports.
	stallLimit = 2200 * time.Millisecond

	// stallStep bounds what one report adds: the worker may have been
	// suspended between two.
	stallStep = time.Second

	// allPercent is where the count of a run's work ends.
	allPercent = 100

	// longestRun is how many mean run times the longest runs take.
	longestRun = 10

	// stallPercents is how many percent of its work a run could have done
	// while it shows no progress.
	stallPercents = 2
)

// stallTime returns for how long a run may show no progress. Its own speed tells
// how long a percent takes; before it has shown any, the longest run away from
// its data does.
func (e *Engine) stallTime(r *run) time.Duration {
	percent := time.Duration(longestRun*e.cfg.RackFactor*float64(e.runTime(r.task.stage))) / 100
	if gain := r.percent - r.first; gain > 0 {
		percent = r.progress.Sub(r.began) / time.Duration(gain)
	}
	return stallLimit + stallPercents*percent
}

// checkStall stops a run that stands still, since others would do its work.
// Long-running work shows no progress, and neither does a run that takes longer
// than the worker's own count of its work.
func (e *Engine) checkStall(r *run, now time.Time) {
	if r.phase == stopping || r.task.stage.step.LongRunning || r.percent >= allPercent || r.stalled < e.stallTime(r) {
		return
	}
	j := r.task.stage.job
	e.decide(Decision{Kind: "stalled", Job: j.ID, Task: r.task.id(), Run: r.number, Worker: r.worker.Node, Reason: fmt.Sprintf("no_progress:percent=%d", r.percent), Age: now.Sub(r.progress)})
	r.worker.health.failed(j.ID, now)
	r.task.avoid = r.worker
	e.stopWhole(r, "stalled")
}

// share gives all members of a gang the same checkpoint.
func (s *stage) share(checkpoint string) {
	for _, t := range s.tasks {
		t.checkpoint = checkpoint
	}
}

// demandOf returns what a task takes, nothing for one that is not known.
func (e *Engine) demandOf(id wire.TaskID) wire.Resources {
	if j, ok := e.jobs[id.Job]; ok && id.Step < len(j.Steps) {
		return demand(&j.Steps[id.Step])
	}
	return wire.Resources{}
}

// attach records a run on a worker.
func (e *Engine) attach(t *task, w *Worker, number int, now time.Time) *run {
	s := t.stage
	r := &run{task: t, number: number, worker: w, placed: now, change: s.job.changes}
	t.run, t.number = r, number
	w.runs[t.id()] = r
	w.used = add(w.used, demand(s.step))
	s.active++
	return r
}

// detach takes a run off its worker.
func (e *Engine) detach(r *run) {
	t, w, s := r.task, r.worker, r.task.stage
	t.run = nil
	delete(w.runs, t.id())
	w.used = sub(w.used, demand(s.step))
	w.dirty = true
	s.active--
}

// end takes in the end of a run.
func (e *Engine) end(r *run, how wire.RunEnd, checkpoint, reason string, now time.Time) {
	t, s := r.task, r.task.stage
	j := s.job
	e.detach(r)
	if checkpoint != "" {
		t.checkpoint = checkpoint
		if s.step.Gang {
			s.share(checkpoint)
		}
	}
	e.decide(Decision{Kind: "run_end", Job: j.ID, Task: t.id(), Run: r.number, Worker: r.worker.Node, Reason: reason, Age: now.Sub(j.Accepted)})
	e.touch(j) // also if nothing else changes: its row names the worker
	if j.state.Final() || t.done {
		return
	}
	switch {
	case how == wire.EndDone && !s.step.LongRunning:
		e.learn(r, now)
		r.worker.health.succeeded()
		e.done(t, now)
	case how == wire.EndFailed:
		if !s.step.LongRunning || r.percent < allPercent { // else it has failed by itself
			r.worker.health.failed(j.ID, now)
			t.avoid = r.worker
		}
		e.failed(t, now)
		if s.step.Gang && s.active > 0 {
			e.stopRest(s)
		}
	case s.step.Gang && s.active > 0:
		e.stopRest(s)
	case how == wire.EndRefused:
		s.retry = now.Add(refusedPause)
	}
}

// stopRest stops what is left of a gang that has lost a member.
func (e *Engine) stopRest(s *stage) {
	for _, m := range s.tasks {
		if m.run != nil {
			e.stop(m.run, "gang_broken")
		}
	}
}

// refusedPause is the time before a stage is placed again after a worker has
// refused a task of it: two round trips between zones, so that the worker's
// next report is in.
const refusedPause = 50 * time.Millisecond

// done marks a task done; one end stands for all members of a gang.
func (e *Engine) done(t *task, now time.Time) {
	s := t.stage
	for _, m := range s.tasks {
		if (m == t || s.step.Gang) && !m.done {
			m.done = true
			s.left--
		}
	}
	if s.left > 0 {
		return
	}
	j := s.job
	e.open(j, s.key.occurrence, now)
	if j.complete() {
		e.finish(j, wire.JobCompleted, "all_tasks_done", now)
	}
}

// failed counts a failure of a task, or of its gang.
func (e *Engine) failed(t *task, now time.Time) {
	s := t.stage
	failures := &t.failures
	if s.step.Gang {
		failures = &s.failures
	}
	*failures++
	if *failures >= s.job.Attempts && !s.step.LongRunning {
		e.finish(s.job, wire.JobFailed, "attempts_used", now)
	}
}

// complete reports whether all steps of all occurrences are done.
func (j *Job) complete() bool {
	for occurrence := range max(j.RepeatCount, 1) {
		for i := range j.Steps {
			s := j.stages[stageKey{occurrence, i}]
			if s == nil || s.left > 0 {
				return false
			}
		}
	}
	return true
}

package job

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// Report processes an agent's report on its worker. It ignores a report that is
// older than the last one processed, and returns false.
func (e *Engine) Report(r *wire.WorkerReport, now time.Time) bool {
	w := e.workers[r.Node]
	if w == nil || w.Instance != r.Worker.Instance || w.Born != r.Worker.Born {
		w = e.workerLifetime(r, now)
	}
	if r.Sequence <= w.sequence {
		return false
	}
	w.sequence, w.lastReport = r.Sequence, now
	w.leaseEnd = now.Add(e.cfg.LeaseLimit)
	if !w.reported {
		e.restoreSlowness(w, r.Slowness)
	}
	if !w.reported || w.Rack != r.Worker.Rack {
		w.WorkerInfo, w.reported = r.Worker, true
		e.sortWorkers()
	}
	w.WorkerInfo = r.Worker
	for _, end := range r.Ended {
		e.processEnd(w, end, now)
	}
	for _, refused := range r.Refused {
		if run := w.runs[refused.Task]; run != nil && run.number == refused.Run {
			e.endRun(run, wire.EndRefused, "", refused.Reason, now)
			if run.task.stage.job.TicketValidity > 0 {
				run.task.stage.dropTicket(w)
			}
			w.health.recordRefusal(now)
		}
	}
	w.observedAt, w.moreEnds = r.RunningAt, r.MoreEnds
	w.markTakenStarts(r.Pending)
	e.reconcileRuns(w, r.Running, now)
	e.endAbsentRestoredRuns(w, r, now)
	if w.State == wire.WorkerDraining {
		e.drainWorker(w, now)
	}
	if w.State == wire.WorkerGone {
		e.endAllRuns(w, "worker_left", now)
	}
	e.ackDurableEnds(w)
	return true
}

// drainWorker stops the runs of a draining worker that lose no work if stopped (they
// save checkpoints, are long-running or have not started), and those that would not
// end before the worker leaves.
func (e *Engine) drainWorker(w *Worker, now time.Time) {
	for _, r := range w.sortedRuns() {
		step := r.task.stage.step
		if r.phase == ordered || step.Checkpoints || step.LongRunning || e.expectedRemaining(r, now) > w.Remaining+drainSlack {
			e.stopRunOrGang(r, "worker_draining")
		}
	}
}

// drainSlack is how much longer than announced a draining worker usually stays:
// the users' workers stay for another 1.5 s.
const drainSlack = time.Second

// ResetSequence must be called when an agent opens a new connection, on which the
// sequence numbers of its reports start over.
func (e *Engine) ResetSequence(node string) {
	if w, ok := e.workers[node]; ok {
		w.sequence, w.observedAt = 0, 0
	}
}

// workerLifetime returns the row of the worker lifetime in a report. It ends the runs
// of all others at the same agent, except those that the worker has started in this
// one. Start times do not order lifetimes, since the VM's clock may have been set back.
func (e *Engine) workerLifetime(r *wire.WorkerReport, now time.Time) *Worker {
	var w *Worker
	var others []*Worker
	for _, other := range e.workers {
		switch {
		case other.Node != r.Node:
		case other.Instance == r.Worker.Instance && other.Born == r.Worker.Born:
			w = other
		default:
			others = append(others, other)
		}
	}
	maps.DeleteFunc(e.workers, func(_ string, other *Worker) bool { return other.Node == r.Node })
	if w == nil {
		w = newWorker(r.Node, now.Add(e.cfg.LeaseLimit))
		w.WorkerInfo = r.Worker
	}
	slices.SortFunc(others, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.Instance, b.Instance))
	})
	e.inheritSlowness(w, others)
	for _, other := range others {
		if other.Instance == w.Instance {
			e.moveRuns(other, w, r)
		}
		e.endAllRuns(other, "worker_replaced", now)
	}
	e.workers[r.Node] = w
	e.sortWorkers()
	return w
}

// moveRuns moves runs to another lifetime of a worker under the same id, if its report
// lists them. Their orders were meant for the earlier lifetime and have reached the later
// one, which cannot tell. If the report lacks ends, the other runs are moved too and
// stopped, since they may be among those that have ended.
func (e *Engine) moveRuns(from, to *Worker, r *wire.WorkerReport) {
	listed := make(map[wire.TaskRun]bool, len(r.Running)+len(r.Ended))
	for _, t := range r.Running {
		listed[wire.TaskRun{Task: t.Task, Run: t.Run}] = true
	}
	for _, end := range r.Ended {
		listed[wire.TaskRun{Task: end.Task, Run: end.Run}] = true
	}
	for _, run := range from.sortedRuns() {
		id, d := run.task.id(), demand(run.task.stage.step)
		present := listed[wire.TaskRun{Task: id, Run: run.number}]
		if !present && !r.MoreEnds {
			continue
		}
		delete(from.runs, id)
		from.used = sub(from.used, d)
		run.worker, to.runs[id] = to, run
		to.used = add(to.used, d)
		if run.phase == started {
			run.phase = ordered
		}
		run.startedAt, run.listedAt, run.stalledFor = time.Time{}, 0, 0
		e.discardObservation(run)
		if !present {
			e.stopRun(run, "worker_restarted")
		}
		e.markChanged(run.task.stage.job) // its row names the worker's lifetime
		e.recordDecision(Decision{Kind: "run_moved", Job: id.Job, Task: id, Run: run.number, Worker: to.Node, Reason: "worker_restarted"})
	}
}

// endAllRuns ends all runs of a worker that has certainly stopped running them.
func (e *Engine) endAllRuns(w *Worker, reason string, now time.Time) {
	for _, r := range w.sortedRuns() {
		e.endRun(r, wire.EndCrashed, "", reason, now)
	}
	clear(w.unexpectedRuns)
	w.pendingAcks = nil
}

// processEnd processes the end of a run. It is acknowledged to the agent once its
// effect is durable.
func (e *Engine) processEnd(w *Worker, end wire.EndedRun, now time.Time) {
	if end.Number <= w.lastEnd {
		return
	}
	w.lastEnd = end.Number
	delete(w.unexpectedRuns, wire.TaskRun{Task: end.Task, Run: end.Run})
	r := w.runs[end.Task]
	if r == nil || r.number != end.Run {
		w.pendingAcks = append(w.pendingAcks, ack{number: end.Number})
		return
	}
	j := r.task.stage.job
	j.everStarted = true
	e.endRun(r, end.End, end.Checkpoint, r.endReason(end.End), now)
	a := ack{number: end.Number}
	if j.writtenVersion < j.version { // also if the change was made by another end
		a.job, a.jobVersion = j, j.version
	}
	w.pendingAcks = append(w.pendingAcks, a)
}

// endReason returns how a run ended and, if the scheduler stopped it or a member
// of its gang, the cause.
func (r *run) endReason(how wire.RunEnd) string {
	if r.stopCause == "" || how != wire.EndStopped && how != wire.EndGangBroken {
		return string(how)
	}
	return string(how) + ":" + r.stopCause
}

// reconcileRuns compares the runs listed by the worker with those placed on it.
func (e *Engine) reconcileRuns(w *Worker, running []wire.RunningTask, now time.Time) {
	clear(w.unexpectedRuns)
	for _, t := range running {
		r := w.runs[t.Task]
		if r == nil || r.number != t.Run {
			w.unexpectedRuns[wire.TaskRun{Task: t.Task, Run: t.Run}] = e.demandOf(t.Task)
			w.dirty = true
			continue
		}
		e.updateRun(r, t, now)
	}
}

// markTakenStarts marks the runs whose starts are in progress at the agent.
func (w *Worker) markTakenStarts(pending []wire.TaskRun) {
	for _, run := range w.runs {
		run.startTaken = false
	}
	for _, t := range pending {
		if run := w.runs[t.Task]; run != nil && run.number == t.Run {
			run.startTaken = true
		}
	}
}

// endAbsentRestoredRuns ends the runs placed by an earlier scheduler that are to be
// stopped, if the worker neither runs them nor can still start them, and the report lacks
// no ends. It cannot start them, because it has acknowledged this scheduler's token, its
// agent has no pending order for them, and this scheduler has not ordered their start.
// Such an order may reach the agent after it has sent the report. It is followed by an
// order to stop, to which the agent reports the end.
func (e *Engine) endAbsentRestoredRuns(w *Worker, r *wire.WorkerReport, now time.Time) {
	if r.MoreEnds {
		return
	}
	present := make(map[wire.TaskRun]bool, len(r.Running)+len(r.Pending))
	for _, t := range r.Running {
		present[wire.TaskRun{Task: t.Task, Run: t.Run}] = true
	}
	for _, t := range r.Pending {
		present[t] = true
	}
	for _, run := range w.sortedRuns() {
		if run.restored && !run.startOrdered && run.phase == stopping && !present[wire.TaskRun{Task: run.task.id(), Run: run.number}] {
			e.endRun(run, wire.EndStopped, "", "not_there", now)
		}
	}
}

// updateRun updates a run from the worker's report.
func (e *Engine) updateRun(r *run, t wire.RunningTask, now time.Time) {
	if r.startedAt.IsZero() {
		r.task.stage.job.everStarted = true
		r.startedAt, r.progressAt = now, now
		r.firstPercent, r.percent, r.measuredFrom = t.Percent, t.Percent, now
	}
	e.noteCold(r)
	if r.phase == ordered {
		r.phase = started
		r.worker.dirty = true
	}
	if t.Percent != r.percent {
		if r.resumed && r.firstPercent == 0 { // the start was listed before the checkpoint was restored
			r.firstPercent, r.measuredFrom = t.Percent, now
		}
		if r.task.stage.step.LongRunning && t.Percent >= completePercent {
			r.worker.health.recordSuccess(r) // the run never ends as done
		}
		if t.Percent-r.firstPercent >= minGainPercent {
			r.worker.health.recordProgress(r)
		}
		e.noteStall(r)
		r.percent, r.progressAt, r.stalledFor = t.Percent, now, 0
		e.observeProgress(r)
	} else if r.listedAt > 0 && r.worker.observedAt > r.listedAt {
		r.stalledFor += min(r.worker.observedAt-r.listedAt, maxStallIncrement)
	}
	r.listedAt = r.worker.observedAt
	e.checkStall(r, now)
	if t.Checkpoint != "" && t.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = t.Checkpoint
		if r.task.stage.step.Gang {
			r.task.stage.shareCheckpoint(t.Checkpoint)
		}
		e.writeCheckpoint(r.task.stage.job, now)
	}
}

// minCheckpointWriteInterval is the minimum time between two writes of a job's row
// for checkpoints alone. It bounds the work lost when all machines fail, because
// a worker's checkpoints do not outlive the worker.
const minCheckpointWriteInterval = 3 * time.Second

// writeCheckpoint queues the job's row to be written for a new checkpoint, unless
// one was written recently.
func (e *Engine) writeCheckpoint(j *Job, now time.Time) {
	if j.state.Final() || now.Sub(j.checkpointWrittenAt) < minCheckpointWriteInterval {
		return
	}
	j.checkpointWrittenAt = now
	e.markChanged(j)
}

// shareCheckpoint sets the checkpoint of all members of a gang.
func (s *stage) shareCheckpoint(checkpoint string) {
	for _, t := range s.tasks {
		t.checkpoint = checkpoint
	}
}

// demandOf returns the demand of a task, or none if its job is unknown.
func (e *Engine) demandOf(id wire.TaskID) wire.Resources {
	if j, ok := e.jobs[id.Job]; ok && id.Step >= 0 && id.Step < len(j.Steps) {
		return demand(&j.Steps[id.Step])
	}
	return wire.Resources{}
}

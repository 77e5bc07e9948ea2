package job

import (
	"fmt"
	"time"

	"bramleythread/io/wire"
)

// attachRun adds a run of a task to a worker.
func (e *Engine) attachRun(t *task, w *Worker, number int, now time.Time) *run {
	s := t.stage
	r := &run{task: t, number: number, worker: w, placedAt: now, jobVersion: s.job.version, resumed: t.checkpoint != ""}
	t.run, t.lastRun = r, number
	w.runs[t.id()] = r
	w.used = add(w.used, demand(s.step))
	s.activeRuns++
	return r
}

// detachRun removes a run from its task and worker.
func (e *Engine) detachRun(r *run) {
	t, w, s := r.task, r.worker, r.task.stage
	t.run = nil
	if w.health.probe == r {
		w.health.probe = nil
	}
	delete(w.runs, t.id())
	w.used = sub(w.used, demand(s.step))
	w.dirty = true
	s.activeRuns--
}

// endRun removes a run that has ended and updates its task and job.
func (e *Engine) endRun(r *run, how wire.RunEnd, checkpoint, reason string, now time.Time) {
	t, s := r.task, r.task.stage
	j := s.job
	if how == wire.EndFailed {
		e.recordWorkerFailure(r, now)
	}
	took := e.observeEnd(r, how, now)
	e.detachRun(r)
	if checkpoint != "" {
		t.checkpoint = checkpoint
		if s.step.Gang {
			s.shareCheckpoint(checkpoint)
		}
	}
	e.recordDecision(Decision{Kind: "run_end", Job: j.ID, Task: t.id(), Run: r.number, Worker: r.worker.Node, Reason: reason, Age: now.Sub(j.Accepted), Expected: r.placedFor, Took: took})
	e.markChanged(j) // the job's row names the worker, so it changes in any case
	if j.state.Final() || t.done {
		return
	}
	switch {
	case how == wire.EndDone && !s.step.LongRunning:
		e.recordRunTime(r, now)
		r.worker.health.recordSuccess(r)
		e.recordServiceSuccess(r, now)
		e.markDone(t, now)
	case how == wire.EndFailed:
		e.countFailure(r, now)
		if s.step.Gang && s.activeRuns > 0 {
			e.stopRemainingMembers(s)
		}
	case s.step.Gang && s.activeRuns > 0:
		e.stopRemainingMembers(s)
	case how == wire.EndRefused:
		s.retryAt = now.Add(refusalRetryDelay)
	}
}

// stopRemainingMembers stops the other members of a gang that has lost one.
func (e *Engine) stopRemainingMembers(s *stage) {
	for _, m := range s.tasks {
		if m.run != nil {
			e.stopRun(m.run, "gang_broken")
		}
	}
}

// refusalRetryDelay is how long a stage is not placed after a worker refused one
// of its tasks: two round trips between zones, so that the worker's next report
// has arrived.
const refusalRetryDelay = 50 * time.Millisecond

// markDone marks a task as done. The end of one member completes the whole gang.
func (e *Engine) markDone(t *task, now time.Time) {
	s := t.stage
	for _, m := range s.tasks {
		if (m == t || s.step.Gang) && !m.done {
			m.done = true
			s.tasksLeft--
		}
	}
	if s.tasksLeft > 0 {
		return
	}
	j := s.job
	e.createReadyStages(j, s.key.occurrence, now)
	if j.complete() {
		e.endJob(j, wire.JobCompleted, "all_tasks_done", now)
	}
}

// countFailure counts the failure of a task's run, or of its gang's, and fails the job
// if no attempts are left. Several members of a gang that fail in the same run are one
// failure.
func (e *Engine) countFailure(r *run, now time.Time) {
	t, s := r.task, r.task.stage
	failures := &t.failures
	if s.step.Gang {
		if r.number == s.failedRun {
			e.recordFailureCount(r, "counted_with_its_gang", now)
			return
		}
		s.failedRun = r.number
		failures = &s.failures
		s.lastFailed = t.lastFailed
	}
	*failures++
	if s.step.LongRunning {
		e.recordFailureCount(r, fmt.Sprintf("%d_without_limit", *failures), now)
		return
	}
	e.recordFailureCount(r, fmt.Sprintf("%d_of_%d", *failures, s.job.Attempts), now)
	if *failures >= s.job.Attempts {
		e.endJob(s.job, wire.JobFailed, "attempts_used", now)
	}
}

// recordFailureCount records what the failure of a run has added to the attempts used.
func (e *Engine) recordFailureCount(r *run, count string, now time.Time) {
	j := r.task.stage.job
	e.recordDecision(Decision{Kind: "attempt_failed", Job: j.ID, Task: r.task.id(), Run: r.number, Worker: r.worker.Node, Reason: count, Age: now.Sub(j.Accepted)})
}

// complete reports whether all steps of all occurrences are done.
func (j *Job) complete() bool {
	for occurrence := range max(j.RepeatCount, 1) {
		for i := range j.Steps {
			if j.doneOccurrences[occurrence] {
				break
			}
			s := j.stages[stageKey{occurrence, i}]
			if s == nil || s.tasksLeft > 0 {
				return false
			}
		}
	}
	return true
}

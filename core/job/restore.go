package job

import (
	"maps"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// Restore adds a job with the progress recorded by an earlier scheduler.
func (e *Engine) Restore(row wire.Job, p *wire.JobProgress, now time.Time) {
	j := e.addJob(row, now)
	if p == nil {
		return
	}
	j.state, j.durableState, j.everPlaced = p.State, p.State, len(p.Stages)+len(p.Done) > 0
	j.everStarted = len(p.Done) > 0
	j.version, j.writtenVersion = 1, 1
	j.restoreDone(p.Done)
	for _, sp := range p.Stages {
		e.restoreStage(j, sp, p.Workers, now)
	}
	j.restoreFailedGangs(p.FailedGangs)
	e.restoreFailures(j, p, now)
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
	e.stopBrokenGangs(j)
	if j.RepeatCount == 0 {
		e.createReadyStages(j, 0, now)
	}
	for _, occurrence := range slices.Sorted(maps.Keys(j.openOccurrences)) {
		e.createReadyStages(j, occurrence, now)
	}
}

// restoreFailedGangs restores which runs of gangs are counted as failed already.
func (j *Job) restoreFailedGangs(gangs []wire.FailedGang) {
	for _, g := range gangs {
		if s := j.stages[stageKey{g.Occurrence, g.Step}]; s != nil {
			s.failedRun = g.Run
		}
	}
}

// restoreFailures restores on which workers tasks have failed, and what that tells about
// the workers, so that the next attempt does not go to the same one. When a failure
// occurred is not known; it counts as recent.
func (e *Engine) restoreFailures(j *Job, p *wire.JobProgress, now time.Time) {
	for _, f := range p.Failures {
		s := j.stages[stageKey{f.Occurrence, f.Step}]
		if s == nil || f.Index < 0 || f.Index >= len(s.tasks) || f.Worker < 1 || f.Worker > len(p.Workers) {
			continue
		}
		t, w := s.tasks[f.Index], e.workerFor(p.Workers[f.Worker-1])
		t.failedOn, t.lastFailed = w, lastFailure{at: now, early: f.Early}
		if s.step.Gang && s.failures > 0 {
			s.lastFailed = t.lastFailed
		}
		if f.Early {
			j.earlyFailures[w] = struct{}{}
			w.health.recordFailure(failure{job: j.ID, early: true, blamed: len(j.earlyFailures) <= maxBlamedWorkers}, now)
		}
	}
}

// stopBrokenGangs stops the members of gangs of which others have ended. The orders by
// which the earlier scheduler did so are in no row.
func (e *Engine) stopBrokenGangs(j *Job) {
	for _, s := range j.stageList {
		if s.step.Gang && s.tasksLeft > 0 && s.activeRuns < len(s.tasks) {
			e.stopRemainingMembers(s)
		}
	}
}

// restoreStage restores one stage. It ignores progress that does not match the
// job's steps; those tasks start over.
func (e *Engine) restoreStage(j *Job, sp wire.StageProgress, workers []wire.WorkerRef, now time.Time) {
	key := stageKey{sp.Occurrence, sp.Step}
	if !j.matches(sp) {
		return
	}
	s := j.stages[key]
	if s == nil {
		s = newStage(j, key, now)
	}
	if j.RepeatCount > 0 {
		j.openOccurrences[sp.Occurrence] = true
	}
	s.failures = sp.Failures
	j.everStarted = j.everStarted || hasStarted(sp)
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

// hasStarted reports whether the progress of a stage shows that a worker has started
// one of its tasks.
func hasStarted(sp wire.StageProgress) bool {
	return len(sp.Tasks) == 0 || sp.Failures > 0 || slices.ContainsFunc(sp.Tasks, func(t wire.TaskProgress) bool {
		return t.Done || t.Failures > 0 || t.Checkpoint != ""
	})
}

// matches reports whether the progress of a stage is one of the job's steps.
func (j *Job) matches(sp wire.StageProgress) bool {
	switch {
	case sp.Step < 0 || sp.Step >= len(j.Steps), sp.Occurrence < 0 || sp.Occurrence >= max(j.RepeatCount, 1):
		return false
	case j.doneOccurrences[sp.Occurrence]:
		return false
	default:
		return len(sp.Tasks) == 0 || len(sp.Tasks) == j.Steps[sp.Step].Count
	}
}

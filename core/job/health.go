package job

import (
	"time"
)

// A worker whose runs fail is ejected: it gets no new work for a time, then one
// probe. A run that fails at once, or hangs, says more about its worker than one
// that fails after some work, and makes the worker unproven before it is ejected.
const (
	ejectThreshold = 2               // consecutive failures, of different jobs
	firstEjection  = 3 * time.Second // until the first probe; half of the users' shortest disturbance
	maxEjection    = 30 * time.Second
	refusalPause   = 300 * time.Millisecond // no new work after a refusal; two agent reports

	// lastResortPause is the time without new work after a failure if no worker
	// of the service is usable, and between two probes of such a service. It is
	// short compared to a wait that callers regard as a stall.
	lastResortPause = time.Second

	// earlyFailureShare is the share of its expected run time within which a run
	// that fails counts as failed at once.
	earlyFailureShare = 0.05

	// maxBlamedWorkers is the number of workers that runs of one job may make
	// suspect by failing at once. If they fail on more workers, the job is the
	// likely cause.
	maxBlamedWorkers = 2
)

// health tracks the failures of one worker.
type health struct {
	lastFailedJob  string
	failures       int // consecutive failures, of different jobs
	lateFailures   int // those of them that did not come at once
	ejectedUntil   time.Time
	ejectionPeriod time.Duration
	pausedUntil    time.Time
	lastFailure    time.Time
	unproven       bool      // a run has failed at once, and no later one has made progress
	suspect        bool      // unproven, and the worker is the likely cause: runs are tried one at a time
	probe          *run      // the first run placed while unproven or after an ejection
	provenAt       time.Time // placement of the newest run that has made progress
}

// failure is a run that failed or hung.
type failure struct {
	job    string
	early  bool // it failed at once, or hung
	blamed bool // it was early, and the worker is the likely cause
	probe  bool // the run was the worker's probe
}

func (h *health) recordFailure(f failure, now time.Time) {
	if f.job != h.lastFailedJob || f.probe {
		h.failures++
		if !f.early {
			h.lateFailures++
		}
	}
	h.lastFailedJob, h.lastFailure = f.job, now
	h.unproven = h.unproven || f.early
	h.suspect = h.suspect || f.blamed
	if h.failures >= ejectThreshold && !now.Before(h.ejectedUntil) { // runs that fail together count as one
		h.ejectionPeriod = min(max(2*h.ejectionPeriod, firstEjection), maxEjection)
		h.ejectedUntil = now.Add(h.ejectionPeriod)
	}
}

// recordSuccess records that a run is done. One that began before the worker became
// suspect says nothing about it.
func (h *health) recordSuccess(r *run) {
	if h.suspect && !r.placedAt.After(h.lastFailure) {
		return
	}
	h.reset()
}

// reset forgets all failures.
func (h *health) reset() { *h = health{pausedUntil: h.pausedUntil, provenAt: h.provenAt} }

// recordProgress records that a run has got beyond the point at which runs fail at
// once. It clears what early failures have told about the worker.
func (h *health) recordProgress(r *run) {
	h.provenAt = later(h.provenAt, r.placedAt)
	if h.isProven() || !r.placedAt.After(h.lastFailure) {
		return
	}
	h.unproven, h.suspect = false, false
	if h.lateFailures == 0 {
		h.reset()
	}
}

func (h *health) recordRefusal(now time.Time) { h.pausedUntil = now.Add(refusalPause) }

// isProven reports whether nothing suggests that new runs fail on the worker.
func (h *health) isProven() bool { return !h.unproven && h.failures < ejectThreshold }

// triesOne reports whether runs are tried on the worker one at a time.
func (h *health) triesOne() bool { return h.suspect || h.failures >= ejectThreshold }

// usable reports whether the worker may get new work.
func (h *health) usable(now time.Time) bool {
	return !now.Before(h.ejectedUntil) && !now.Before(h.pausedUntil) && (h.probe == nil || !h.triesOne())
}

// recordPlacement marks the first run placed on a worker that is not proven as its
// probe.
func (h *health) recordPlacement(r *run) {
	if h.probe == nil && !h.isProven() {
		h.probe = r
	}
}

// usableAsLastResort reports whether an ejected worker may get work because no worker
// of its service is usable.
func (h *health) usableAsLastResort(now time.Time) bool {
	return !now.Before(h.pausedUntil) && h.probe == nil && now.Sub(h.lastFailure) >= lastResortPause
}

// recordRunFailure records a run that failed or hung with its task and worker. The
// caller has not detached the run yet.
func (e *Engine) recordRunFailure(r *run, early bool, now time.Time) {
	t, w, j := r.task, r.worker, r.task.stage.job
	if early {
		j.earlyFailures[w] = struct{}{}
	}
	blamed := early && len(j.earlyFailures) <= maxBlamedWorkers
	if blamed {
		e.recordServiceFailure(w.Service, j.ID, now)
	}
	before := w.health
	w.health.recordFailure(failure{job: j.ID, early: early, blamed: blamed, probe: w.health.probe == r}, now)
	t.failedOn, t.lastFailed = w, lastFailure{at: now, early: early}
	switch after := &w.health; {
	case after.ejectedUntil.After(before.ejectedUntil):
		e.recordDecision(Decision{Kind: "worker_ejected", Job: j.ID, Task: t.id(), Run: r.number, Worker: w.Node, Reason: "for:" + after.ejectionPeriod.String()})
	case after.suspect && !before.suspect:
		e.recordDecision(Decision{Kind: "worker_suspect", Job: j.ID, Task: t.id(), Run: r.number, Worker: w.Node, Reason: "failed_at_once"})
	}
}

// recordWorkerFailure records a failed run with its worker, unless its job has ended
// or it was long-running work that had become available.
func (e *Engine) recordWorkerFailure(r *run, now time.Time) {
	s := r.task.stage
	if s.step.LongRunning && r.percent >= completePercent || s.job.state.Final() || r.task.done {
		return
	}
	e.recordRunFailure(r, e.failedEarly(r, now), now)
}

// failedEarly reports whether a run that fails now has failed at once. When a run of
// an earlier scheduler started is not known.
func (e *Engine) failedEarly(r *run, now time.Time) bool {
	if r.restored {
		return false
	}
	if r.startedAt.IsZero() { // it ended between two polls of the worker
		return true
	}
	return now.Sub(r.startedAt).Seconds() < earlyFailureShare*e.expectedRunTime(r.task.stage).Seconds()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

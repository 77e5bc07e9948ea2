package job

import (
	"time"

	"bramleythread/io/wire"
)

// A worker whose runs fail is ejected: it gets no new work for a time, then one
// probe.
const (
	ejectThreshold = 2               // consecutive failures, of different jobs
	firstEjection  = 3 * time.Second // until the first probe; half of the users' shortest disturbance
	maxEjection    = 30 * time.Second
	refusalPause   = 300 * time.Millisecond // no new work after a refusal; two agent reports

	// lastResortPause is the time without new work after a failure if no worker
	// of the service is usable. It is short compared to a wait that callers
	// regard as a stall.
	lastResortPause = time.Second
)

// health tracks the failures of one worker.
type health struct {
	lastFailedJob  string
	failures       int // consecutive failures, of different jobs
	ejectedUntil   time.Time
	ejectionPeriod time.Duration
	probing        bool // a run after an ejection has not ended yet
	pausedUntil    time.Time
	lastFailure    time.Time
}

func (h *health) recordFailure(job string, now time.Time) {
	if job != h.lastFailedJob || h.probing {
		h.failures++
	}
	h.lastFailedJob, h.lastFailure = job, now
	if h.failures >= ejectThreshold || h.probing {
		h.ejectionPeriod = min(max(2*h.ejectionPeriod, firstEjection), maxEjection)
		h.ejectedUntil = now.Add(h.ejectionPeriod)
		h.probing = false
	}
}

func (h *health) recordSuccess() { *h = health{pausedUntil: h.pausedUntil} }

func (h *health) recordRefusal(now time.Time) { h.pausedUntil = now.Add(refusalPause) }

// usable reports whether the worker may get new work.
func (h *health) usable(now time.Time) bool {
	return !now.Before(h.ejectedUntil) && !now.Before(h.pausedUntil) && !h.probing
}

// recordPlacement marks a worker whose ejection is over as being probed.
func (h *health) recordPlacement() {
	if h.failures >= ejectThreshold {
		h.probing = true
	}
}

// usableAsLastResort reports whether an ejected worker may get work because no worker
// of its service is usable.
func (h *health) usableAsLastResort(now time.Time) bool {
	return !now.Before(h.pausedUntil) && !h.probing && now.Sub(h.lastFailure) >= lastResortPause
}

// findUnhealthyServices finds the services that have ready workers but no usable one.
func (e *Engine) findUnhealthyServices(now time.Time) {
	clear(e.unhealthyServices)
	for _, w := range e.sortedWorkers {
		if w.reported && w.State == wire.WorkerReady && now.Sub(w.lastReport) <= maxReportAge {
			unhealthy, seen := e.unhealthyServices[w.Service]
			e.unhealthyServices[w.Service] = (unhealthy || !seen) && !w.health.usable(now)
		}
	}
}

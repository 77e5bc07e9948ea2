package job

import (
	"time"

	"bramleythread/io/wire"
)

// Ejection of workers that fail what they are given.
const (
	ejectThreshold = 2               // failures in a row, of different jobs
	firstEjection  = 3 * time.Second // before the first probe; half of the users' shortest disturbance
	maxEjection    = 30 * time.Second
	refusalPause   = 300 * time.Millisecond // no new work after a refusal; two reports of an agent

	// lastResortPause is the time without new work after a failure where no worker
	// of the service is sound: short against what callers take for a standstill.
	lastResortPause = time.Second
)

// health is the failure record of one worker.
type health struct {
	lastFailedJob  string
	failures       int // failures in a row, of different jobs
	ejectedUntil   time.Time
	ejectionPeriod time.Duration
	probing        bool
	pausedUntil    time.Time
	lastFailure    time.Time // the newest one
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

// usable reports whether the worker may be given work.
func (h *health) usable(now time.Time) bool {
	return !now.Before(h.ejectedUntil) && !now.Before(h.pausedUntil) && !h.probing
}

// recordPlacement notes that a worker whose ejection is over is being tried again.
func (h *health) recordPlacement() {
	if h.failures >= ejectThreshold {
		h.probing = true
	}
}

// usableAsLastResort reports whether the worker may be tried although it is ejected, since
// no worker of its service is sound.
func (h *health) usableAsLastResort(now time.Time) bool {
	return !now.Before(h.pausedUntil) && !h.probing && now.Sub(h.lastFailure) >= lastResortPause
}

// findUnhealthyServices notes the services of which no worker that wants work is sound.
func (e *Engine) findUnhealthyServices(now time.Time) {
	clear(e.unhealthyServices)
	for _, w := range e.sortedWorkers {
		if w.reported && w.State == wire.WorkerReady && now.Sub(w.lastReport) <= maxReportAge {
			unhealthy, seen := e.unhealthyServices[w.Service]
			e.unhealthyServices[w.Service] = (unhealthy || !seen) && !w.health.usable(now)
		}
	}
}

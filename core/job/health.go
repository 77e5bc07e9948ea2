package job

import (
	"time"

	"bramleythread/io/wire"
)

// Ejection of workers that fail what they are given.
const (
	ejectAfter  = 2               // failures in a row, of different jobs
	ejectFor    = 3 * time.Second // before the first probe; half of the users' shortest disturbance
	ejectLimit  = 30 * time.Second
	refusedHold = 300 * time.Millisecond // no new work after a refusal; two reports of an agent

	// lastResortHold is the time without new work after a failure where no worker
	// of the service is sound: short against what callers take for a standstill.
	lastResortHold = time.Second
)

// health is the failure record of one worker.
type health struct {
	lastJob string
	row     int // failures in a row, of different jobs
	until   time.Time
	period  time.Duration
	probing bool
	pause   time.Time
	failure time.Time // the newest one
}

func (h *health) failed(job string, now time.Time) {
	if job != h.lastJob || h.probing {
		h.row++
	}
	h.lastJob, h.failure = job, now
	if h.row >= ejectAfter || h.probing {
		h.period = min(max(2*h.period, ejectFor), ejectLimit)
		h.until = now.Add(h.period)
		h.probing = false
	}
}

func (h *health) succeeded() { *h = health{pause: h.pause} }

func (h *health) refused(now time.Time) { h.pause = now.Add(refusedHold) }

// usable reports whether the worker may be given work.
func (h *health) usable(now time.Time) bool {
	return !now.Before(h.until) && !now.Before(h.pause) && !h.probing
}

// placed notes that a worker whose ejection is over is being tried again.
func (h *health) placed() {
	if h.row >= ejectAfter {
		h.probing = true
	}
}

// lastResort reports whether the worker may be tried although it is ejected, since
// no worker of its service is sound.
func (h *health) lastResort(now time.Time) bool {
	return !now.Before(h.pause) && !h.probing && now.Sub(h.failure) >= lastResortHold
}

// findUnsound notes the services of which no worker that wants work is sound.
func (e *Engine) findUnsound(now time.Time) {
	clear(e.unsound)
	for _, w := range e.order {
		if w.known && w.State == wire.WorkerReady && now.Sub(w.heard) <= reportLimit {
			sound, seen := e.unsound[w.Service]
			e.unsound[w.Service] = (sound || !seen) && !w.health.usable(now)
		}
	}
}

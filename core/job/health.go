package job

import "time"

// Ejection of workers that fail what they are given.
const (
	ejectAfter  = 2               // failures in a row, of different jobs
	ejectFor    = 3 * time.Second // before the first probe; half of the users' shortest disturbance
	ejectLimit  = 30 * time.Second
	refusedHold = 300 * time.Millisecond // no new work after a refusal; two reports of an agent
)

// health is the failure record of one worker.
type health struct {
	lastJob string
	row     int // failures in a row, of different jobs
	until   time.Time
	period  time.Duration
	probing bool
	pause   time.Time
}

func (h *health) failed(job string, now time.Time) {
	if job != h.lastJob || h.probing {
		h.row++
	}
	h.lastJob = job
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

package schedule

import "time"

// Ejection of workers that fail what they are given.
const (
	ejectAfter    = 5               // failures in a row
	ejectFor      = 5 * time.Second // before the first probe
	ejectForLimit = 5 * time.Minute
)

// health is the failure record of one worker.
type health struct {
	failures int // in a row
	ejected  bool
	until    time.Time // next probe of an ejected worker
	period   time.Duration
	probing  bool
}

// usable reports whether the worker may be given a task. An ejected worker
// gets one task at a time once its period is over.
func (h *health) usable(now time.Time) bool {
	return !h.ejected || !h.probing && !now.Before(h.until)
}

// placed notes that a task goes to the worker.
func (h *health) placed() {
	if h.ejected {
		h.probing = true
	}
}

// succeeded readmits the worker.
func (h *health) succeeded() { *h = health{} }

// idle ends a probe that proved nothing.
func (h *health) idle() { h.probing = false }

// failed counts a failure. mayEject is false while too many workers are
// ejected. It reports whether this failure ejected the worker.
func (h *health) failed(now time.Time, mayEject bool) bool {
	h.failures++
	h.probing = false
	if h.ejected {
		h.period = min(2*h.period, ejectForLimit)
		h.until = now.Add(h.period)
		return false
	}
	if h.failures < ejectAfter || !mayEject {
		return false
	}
	h.ejected = true
	h.period = ejectFor
	h.until = now.Add(h.period)
	return true
}

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

// probeDue reports whether an ejected worker may be given one task. Work that
// may not be repeated is risked only if nothing else has come for as long again.
func (h *health) probeDue(now time.Time, repeatable bool) bool {
	if !h.ejected || h.probing {
		return false
	}
	if repeatable {
		return !now.Before(h.until)
	}
	return !now.Before(h.until.Add(h.period))
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
	if h.ejected {
		h.probeFailed(now)
		return false
	}
	h.failures++
	if h.failures < ejectAfter || !mayEject {
		return false
	}
	h.ejected = true
	h.period = ejectFor
	h.until = now.Add(h.period)
	return true
}

// probeFailed doubles the period. Failures of tasks that were placed before
// the ejection say nothing new.
func (h *health) probeFailed(now time.Time) {
	if !h.probing {
		return
	}
	h.probing = false
	h.period = min(2*h.period, ejectForLimit)
	h.until = now.Add(h.period)
}

package schedule

import "time"

// Limits of the ejection of workers whose tasks keep failing.
const (
	ejectAfterFailures = 5               // consecutive failures
	initialProbeDelay  = 5 * time.Second // before the first probe
	maxProbeDelay      = 5 * time.Minute
)

// health holds the failures and the ejection state of one worker.
type health struct {
	failures   int // consecutive
	ejected    bool
	nextProbe  time.Time // earliest time of the next probe
	probeDelay time.Duration
	probing    bool // a probe task is placed
}

// probeDue reports whether an ejected worker may be given a probe task. A task that
// cannot be repeated is used only after another probeDelay without a probe.
func (h *health) probeDue(now time.Time, repeatable bool) bool {
	if !h.ejected || h.probing {
		return false
	}
	if repeatable {
		return !now.Before(h.nextProbe)
	}
	return !now.Before(h.nextProbe.Add(h.probeDelay))
}

// placed records that a task was placed on the worker.
func (h *health) placed() {
	if h.ejected {
		h.probing = true
	}
}

// succeeded resets the failures and ends the ejection.
func (h *health) succeeded() { *h = health{} }

// cancelProbe ends a probe that had no result.
func (h *health) cancelProbe() { h.probing = false }

// failed counts a failure and reports whether it ejected the worker. mayEject is
// false while too many workers are ejected.
func (h *health) failed(now time.Time, mayEject bool) bool {
	if h.ejected {
		h.probeFailed(now)
		return false
	}
	h.failures++
	if h.failures < ejectAfterFailures || !mayEject {
		return false
	}
	h.ejected = true
	h.probeDelay = initialProbeDelay
	h.nextProbe = now.Add(h.probeDelay)
	return true
}

// probeFailed doubles the probe delay, up to maxProbeDelay. Failures of tasks that
// were placed before the ejection are ignored.
func (h *health) probeFailed(now time.Time) {
	if !h.probing {
		return
	}
	h.probing = false
	h.probeDelay = min(2*h.probeDelay, maxProbeDelay)
	h.nextProbe = now.Add(h.probeDelay)
}

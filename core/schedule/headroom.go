package schedule

import (
	"math"
	"time"
)

// Parameters of the headroom kept free for bursts of short jobs.
const (
	burstWindow   = 500 * time.Millisecond // about the time it takes to preempt long-running jobs
	burstHalfLife = 2 * time.Minute        // of the observed peak
	headroomShare = 0.16                   // maximum share of all slots
)

// burstTracker tracks the largest demand for one service that arrived within one
// window. The peak decays, so that the headroom follows the current demand.
type burstTracker struct {
	windowStart time.Time // start of the current window
	windowSlots int       // slots requested in the current window
	peak        float64   // in slots, at peakAt
	peakAt      time.Time // when peak was observed
}

// add counts the slots of an arriving job.
func (b *burstTracker) add(slots int, now time.Time) {
	if now.Sub(b.windowStart) >= burstWindow {
		b.windowStart, b.windowSlots = now, 0
	}
	b.windowSlots += slots
	if c := float64(b.windowSlots); c > b.decayedPeak(now) {
		b.peak, b.peakAt = c, now
	}
}

func (b *burstTracker) decayedPeak(now time.Time) float64 {
	return b.peak * math.Exp2(-now.Sub(b.peakAt).Seconds()/burstHalfLife.Seconds())
}

// headroom returns the number of slots that a job must leave free for bursts of
// much shorter jobs. It is 0 for jobs of several workers, which have already
// waited for their resources.
func (s *Scheduler) headroom(j *Job, now time.Time) int {
	if !s.policy.Headroom || j.Shape.Workers > 1 {
		return 0
	}
	expected := max(s.ExpectedRunTime(j.Service), j.attained)
	sum := 0.0
	for _, name := range s.burstServices {
		if preemptRatio*s.ExpectedRunTime(name) <= expected {
			sum += s.bursts[name].decayedPeak(now)
		}
	}
	return int(min(sum, headroomShare*float64(s.totalCapacity.Slots)))
}

// leavesHeadroom reports whether a job can borrow without taking slots reserved
// for bursts.
func (s *Scheduler) leavesHeadroom(j *Job, now time.Time) bool {
	room := s.headroom(j, now)
	if room == 0 {
		return true
	}
	return s.freeSlots-s.totalDemand(j).Slots >= room
}

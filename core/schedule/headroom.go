package schedule

import (
	"math"
	"time"
)

// Constants of the headroom for bursts of short work.
const (
	burstWindow   = 500 * time.Millisecond // about what it takes until long work has yielded
	burstHalfLife = 2 * time.Minute        // of the largest burst that was seen
	headroomShare = 0.16                   // of all slots, at the most
)

// burst remembers the largest demand of one service that arrived within one
// window. It fades, so that the headroom follows the demand.
type burst struct {
	window time.Time // start of the present window
	count  int       // slots asked for in it
	peak   float64   // slots
	at     time.Time // at which peak was right
}

// arrived counts a job that asks for some slots.
func (b *burst) arrived(slots int, now time.Time) {
	if now.Sub(b.window) >= burstWindow {
		b.window, b.count = now, 0
	}
	b.count += slots
	if c := float64(b.count); c > b.faded(now) {
		b.peak, b.at = c, now
	}
}

func (b *burst) faded(now time.Time) float64 {
	return b.peak * math.Exp2(-now.Sub(b.at).Seconds()/burstHalfLife.Seconds())
}

// headroom returns the slots that a job must leave free for bursts of work that
// is much shorter. A large job has waited for its room already.
func (s *Scheduler) headroom(j *Job, now time.Time) int {
	if !s.policy.Headroom || j.JobShape.Workers > 1 {
		return 0
	}
	expected := max(s.ExpectedRunTime(j.Service), j.attained)
	sum := 0.0
	for _, name := range s.services {
		if yieldRatio*s.ExpectedRunTime(name) <= expected {
			sum += s.bursts[name].faded(now)
		}
	}
	return int(min(sum, headroomShare*float64(s.total.Slots)))
}

// leavesHeadroom reports whether a job can borrow without taking the slots that
// are kept for bursts.
func (s *Scheduler) leavesHeadroom(j *Job, now time.Time) bool {
	room := s.headroom(j, now)
	if room == 0 {
		return true
	}
	return s.freeSlots-s.demand(j).Slots >= room
}

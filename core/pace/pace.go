// Package pace decides what share of the otherwise idle time on a worker background
// work may use, so that the serving tasks beside it meet their latency targets.
// Background work consists of the tasks submitted with "fills": they run on CPU time
// that other tasks leave idle.
//
// It reacts to load within seconds, since how much the tasks on one worker disturb
// each other is not known in advance.
package pace

import "time"

// Parameters of the controller. Latency is sampled twice a second and users notice
// a slowdown after several seconds, so four halvings take effect in time. The
// ratios are of the latency to its target.
const (
	fullSpeedPercent    = 100  // speed without a limit
	recoveryStepPercent = 10   // regained after a sample with low latency
	minPercent          = 10   // below this the work is paused while latency is high
	highRatio           = 0.85 // above this the speed is halved
	severeRatio         = 1.2  // above this the speed is quartered
	lowRatio            = 0.65 // below this the speed recovers
)

// LatencySample is the measured and the target latency of one serving task.
type LatencySample struct {
	Latency time.Duration // tail latency over the last half second
	Target  time.Duration
}

// Controller sets one speed for all background work on a worker. The zero value
// allows full speed.
type Controller struct {
	withheldPercent int // subtracted from full speed
}

// Percent returns the current speed in percent of full speed.
func (c *Controller) Percent() int { return fullSpeedPercent - c.withheldPercent }

// Update takes the latest samples of a worker and returns the new speed of background
// work in percent. The speed drops quickly and recovers slowly.
func (c *Controller) Update(samples []LatencySample) int {
	worst := 0.0
	for _, s := range samples {
		if s.Target > 0 {
			worst = max(worst, float64(s.Latency)/float64(s.Target))
		}
	}
	percent := c.Percent()
	switch {
	case worst > severeRatio:
		percent /= 4
	case worst > highRatio:
		percent /= 2
	case worst < lowRatio:
		percent += recoveryStepPercent
	}
	if percent < minPercent && worst > highRatio {
		percent = 0
	}
	c.withheldPercent = fullSpeedPercent - min(percent, fullSpeedPercent)
	return c.Percent()
}

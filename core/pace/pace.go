// Package pace decides how much of the time that others leave may be used by work
// that fills, so that the work that serves users beside it keeps its latency.
//
// It answers a load that changes within seconds: the tasks on one worker disturb
// each other by amounts that nobody knows beforehand.
package pace

import "time"

// Bounds of the controller. The latency of a task is looked at twice a second,
// and users notice after several seconds: four halvings are in time.
const (
	full       = 100 // percent
	step       = 10  // percent that one look without pressure gives back
	least      = 10  // percent; below it the work stands still
	highRatio  = 0.85
	worseRatio = 1.2
	lowRatio   = 0.65
)

// LatencySample is what one task that serves users shows.
type LatencySample struct {
	Latency time.Duration // at the tail, over the last half second
	Target  time.Duration
}

// Controller paces all work that fills on one worker alike. The zero value lets
// it work at full speed.
type Controller struct {
	lost int // percent that is taken away
}

// Percent returns the present share of full speed.
func (c *Controller) Percent() int { return full - c.lost }

// Update takes in a look at the worker and returns the share that work which fills
// may use from now on. It gives way fast and comes back slowly.
func (c *Controller) Update(serving []LatencySample) int {
	worst := 0.0
	for _, s := range serving {
		if s.Target > 0 {
			worst = max(worst, float64(s.Latency)/float64(s.Target))
		}
	}
	percent := c.Percent()
	switch {
	case worst > worseRatio:
		percent /= 4
	case worst > highRatio:
		percent /= 2
	case worst < lowRatio:
		percent += step
	}
	if percent < least && worst > highRatio {
		percent = 0
	}
	c.lost = full - min(percent, full)
	return c.Percent()
}

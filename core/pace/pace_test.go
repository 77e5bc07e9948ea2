package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// load is a worker with one serving task that background work slows down.
type load struct {
	alone     time.Duration // latency without background work
	disturbed time.Duration // added latency at full speed of the background work
}

func (l load) latency(percent int) time.Duration {
	return l.alone + l.disturbed*time.Duration(percent)/fullSpeedPercent
}

func TestControllerMeetsLatencyTarget(t *testing.T) {
	const target = 100 * time.Millisecond
	tests := map[string]struct {
		load     load
		samples  int // samples until the target is always met; two per second
		minSpeed int // minimum final speed of the background work
	}{
		"no disturbance":                           {load: load{alone: 40 * time.Millisecond}, minSpeed: fullSpeedPercent},
		"little disturbance":                       {load: load{alone: 50 * time.Millisecond, disturbed: 20 * time.Millisecond}, minSpeed: 90},
		"half speed exceeds the target":            {load: load{alone: 50 * time.Millisecond, disturbed: 100 * time.Millisecond}, samples: 2, minSpeed: 20},
		"any speed exceeds the target":             {load: load{alone: 90 * time.Millisecond, disturbed: 900 * time.Millisecond}, samples: 4},
		"above the target without background work": {load: load{alone: 200 * time.Millisecond, disturbed: 10 * time.Millisecond}, samples: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Controller
			for sample := range 60 {
				l := tt.load.latency(c.Percent())
				percent := c.Update([]LatencySample{{Latency: l, Target: target}})
				if sample >= tt.samples && tt.load.alone < target {
					is.True(tt.load.latency(percent) <= target || percent == 0)
				}
			}
			is.True(c.Percent() >= tt.minSpeed)
			if tt.load.alone >= target {
				is.Equal(c.Percent(), 0)
			}
		})
	}
}

func TestControllerRecoversWithoutServingTasks(t *testing.T) {
	is := is.New(t)
	c := Controller{withheldPercent: fullSpeedPercent}
	for range fullSpeedPercent / recoveryStepPercent {
		c.Update(nil)
	}
	is.Equal(c.Percent(), fullSpeedPercent)
}

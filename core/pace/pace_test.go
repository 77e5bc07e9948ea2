package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// load is a worker whose serving task is disturbed by work that fills.
type load struct {
	alone     time.Duration // its latency without disturbance
	disturbed time.Duration // what full speed of the other work adds
}

func (l load) latency(percent int) time.Duration {
	return l.alone + l.disturbed*time.Duration(percent)/full
}

func TestController(t *testing.T) {
	const target = 100 * time.Millisecond
	tests := map[string]struct {
		load  load
		looks int // until the target is kept for good; twice a second
		least int // percent that is left for work that fills in the end
	}{
		"no disturbance":                 {load: load{alone: 40 * time.Millisecond}, least: full},
		"a little":                       {load: load{alone: 50 * time.Millisecond, disturbed: 20 * time.Millisecond}, least: 90},
		"half of the speed is too much":  {load: load{alone: 50 * time.Millisecond, disturbed: 100 * time.Millisecond}, looks: 2, least: 20},
		"any speed is too much":          {load: load{alone: 90 * time.Millisecond, disturbed: 900 * time.Millisecond}, looks: 4},
		"over its target without others": {load: load{alone: 200 * time.Millisecond, disturbed: 10 * time.Millisecond}, looks: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Controller
			for look := range 60 {
				l := tt.load.latency(c.Percent())
				percent := c.Update([]LatencySample{{Latency: l, Target: target}})
				if look >= tt.looks && tt.load.alone < target {
					is.True(tt.load.latency(percent) <= target || percent == 0)
				}
			}
			is.True(c.Percent() >= tt.least)
			if tt.load.alone >= target {
				is.Equal(c.Percent(), 0)
			}
		})
	}
}

func TestControllerWithoutServingWork(t *testing.T) {
	is := is.New(t)
	c := Controller{lost: full}
	for range full / step {
		c.Update(nil)
	}
	is.Equal(c.Percent(), full)
}

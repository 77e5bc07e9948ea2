package operator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopTimesLeaveTimeToExit guards against a stop that lasts longer than the
// platform allows and is ended by a kill.
func TestStopTimesLeaveTimeToExit(t *testing.T) {
	tests := map[string]time.Duration{
		"short":     500 * time.Millisecond,
		"two":       2 * time.Second,
		"six":       6 * time.Second,
		"a minute":  time.Minute,
		"one nano":  1,
		"very long": 24 * time.Hour,
	}
	for name, grace := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			notice, drain := stopTimes(grace)
			is.True(notice >= 0 && drain > 0)
			is.True(notice+drain <= grace)
			is.True(grace < time.Second || notice+drain < grace)
		})
	}
	notice, drain := stopTimes(0)
	is.New(t).True(notice > 0 && drain > 0)
}

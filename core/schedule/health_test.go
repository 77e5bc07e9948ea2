package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func TestFailuresOfTasksPlacedBeforeEjectionDoNotDelayProbe(t *testing.T) {
	is := is.New(t)
	var h health
	for range ejectAfterFailures - 1 {
		is.True(!h.failed(start, true))
	}
	is.True(h.failed(start, true))
	for range 10 {
		is.True(!h.failed(start, true))
	}
	is.True(!h.probeDue(start.Add(initialProbeDelay-1), true))
	is.True(h.probeDue(start.Add(initialProbeDelay), true))
	is.True(!h.probeDue(start.Add(initialProbeDelay), false))
	is.True(h.probeDue(start.Add(2*initialProbeDelay), false))
	h.placed()
	is.True(!h.probeDue(start.Add(2*initialProbeDelay), true)) // only one probe at a time
	h.failed(start, true)
	is.True(!h.probeDue(start.Add(2*initialProbeDelay-1), true)) // the delay has doubled
	h.succeeded()
	is.True(!h.ejected)
}

func TestWorkerIsNotEjectedBeyondEjectionLimit(t *testing.T) {
	is := is.New(t)
	var h health
	for range 3 * ejectAfterFailures {
		is.True(!h.failed(start, false))
	}
	is.True(!h.ejected)
}

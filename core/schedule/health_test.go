package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func TestFailuresPlacedBeforeTheEjectionDoNotDelayTheProbe(t *testing.T) {
	is := is.New(t)
	var h health
	for range ejectAfter - 1 {
		is.True(!h.failed(start, true))
	}
	is.True(h.failed(start, true))
	for range 10 {
		is.True(!h.failed(start, true))
	}
	is.True(!h.probeDue(start.Add(ejectFor-1), true))
	is.True(h.probeDue(start.Add(ejectFor), true))
	is.True(!h.probeDue(start.Add(ejectFor), false))
	is.True(h.probeDue(start.Add(2*ejectFor), false))
	h.placed()
	is.True(!h.probeDue(start.Add(2*ejectFor), true)) // one at a time
	h.failed(start, true)
	is.True(!h.probeDue(start.Add(2*ejectFor-1), true)) // the period has doubled
	h.succeeded()
	is.True(!h.ejected)
}

func TestNoMoreThanTheShareIsEjected(t *testing.T) {
	is := is.New(t)
	var h health
	for range 3 * ejectAfter {
		is.True(!h.failed(start, false))
	}
	is.True(!h.ejected)
}

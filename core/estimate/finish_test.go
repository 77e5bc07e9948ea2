package estimate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongGangOutlastsManyRuns plays a gang that ends after many short runs on one of
// its workers have ended. It guards against a division by zero: the gang is then the
// oldest run of that worker, and the only one of the other.
func TestLongGangOutlastsManyRuns(t *testing.T) {
	is := is.New(t)
	e := New(Config{})
	gang := Observation{Work: Work{Step: "gang", Tasks: 2, Gang: true}, Workers: []string{"a", "b"}, Run: "gang", Elapsed: time.Second, Share: 0.05}
	e.Observe(gang)
	for i := range keptRuns + 1 {
		id := fmt.Sprint("short", i)
		e.Observe(Observation{Work: Work{Step: id, Tasks: 1}, Workers: []string{"a"}, Run: id, Elapsed: time.Second, Share: 1, Finished: true})
	}
	gang.Elapsed, gang.Share, gang.Finished = 20*time.Second, 1, true
	e.Observe(gang)
	is.True(e.workers["b"].observed())
}

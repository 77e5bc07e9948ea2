package worker_test

import (
	"testing"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
	"bramleythread/io/worker"

	"github.com/matryer/is"
)

// TestEndsBeyondListAreNotLost guards against work that is done again because its end is
// not among those that the worker lists at a time.
func TestEndsBeyondListAreNotLost(t *testing.T) {
	const count = 80
	tests := map[string]struct {
		spec     string
		takeOver bool // the runs end while nobody acknowledges ends
	}{
		"short runs":            {spec: "1ms"},
		"ends over a take-over": {spec: "400ms", takeOver: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSystemWith(t, 2, 1, func(cfg *worker.StandinConfig) { cfg.MaxListedEnds = 1 })
			slow := func(platform.Txn) { time.Sleep(30 * time.Millisecond) }
			for _, l := range s.links {
				l.before.Store(&slow) // ends are acknowledged late
			}
			s.submit("j", tt.spec, wire.JobStep{Count: count, Demand: wire.Resources{CPU: 100, Memory: 100}})
			if tt.takeOver {
				s.waitStarts(count)
				old := s.holder()
				s.links[old].commitsRefused.Store(true)
				time.Sleep(500 * time.Millisecond) // until the runs have ended
				s.entries[old].Close()
			}
			s.waitState("j", wire.JobCompleted)
			for r := range s.starts() {
				is.Equal(r.Run, 1) // run of a task
			}
			is.Equal(len(s.starts()), count)
		})
	}
}

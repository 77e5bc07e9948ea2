package job

import (
	"testing"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestRunMayHaveEnded guards against a run that is started again, or that counts as ended
// without a result, because a report does not list it: its end may be one that the worker
// lists later.
func TestRunMayHaveEnded(t *testing.T) {
	id := wire.TaskID{Job: "j"}
	done := func(r *wire.WorkerReport) {
		r.Running, r.Ended = nil, []wire.EndedRun{{Number: 501, Task: id, Run: 1, End: wire.EndDone}}
	}
	absent := func(r *wire.WorkerReport) { r.Running = nil }
	tests := map[string]struct {
		born      int64 // of the worker's lifetime after the scheduler has changed
		cancelled bool  // meanwhile
		last      func(r *wire.WorkerReport)
		starts    int // after the report that lists all ends
		state     wire.JobState
	}{
		"it has":                    {born: 1, last: done, state: wire.JobCompleted},
		"it has, in a new lifetime": {born: 2, last: done, state: wire.JobCompleted},
		"it has not":                {born: 1, last: absent, starts: 1, state: wire.JobRunning},
		"cancelled, it has":         {born: 1, cancelled: true, last: done, state: wire.JobCancelled},
		"cancelled, it has not":     {born: 1, cancelled: true, last: absent, state: wire.JobCancelled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
			f.tick()
			f.restart()
			if tt.cancelled {
				f.e.Cancel("j", f.now)
				f.tick()
			}
			report := func(change func(r *wire.WorkerReport)) {
				f.report(node(0), func(r *wire.WorkerReport) {
					r.Worker.Born = tt.born
					change(r)
				}, nil)
			}
			for range 3 {
				report(func(r *wire.WorkerReport) { r.Running, r.MoreEnds = nil, true })
				f.tick()
				is.Equal(len(f.runs("j")), 1)
				is.Equal(f.runs("j")[0].number, 1)
				o, ok := f.e.Orders(node(0))
				is.True(ok)
				is.Equal(len(o.Starts), 0)
				is.Equal(len(o.Stops)+len(o.OtherStarts), 1) // the agent must not give up a start in progress
			}
			report(tt.last)
			f.tick()
			o, _ := f.e.Orders(node(0))
			is.Equal(len(o.Starts), tt.starts)
			is.Equal(f.state("j"), tt.state)
			is.Equal(len(f.runs("j")), tt.starts)
		})
	}
}

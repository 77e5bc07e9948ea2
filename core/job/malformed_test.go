package job

import (
	"testing"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestReportOfUnknownTasks reports runs and ends of tasks that the job does not
// have. They occupy nothing that the engine knows of, and are ordered to stop.
func TestReportOfUnknownTasks(t *testing.T) {
	tests := map[string]wire.TaskID{
		"no such job":         {Job: "other"},
		"negative step":       {Job: "j", Step: -1},
		"step after the last": {Job: "j", Step: 1},
		"negative index":      {Job: "j", Index: -1},
		"negative occurrence": {Job: "j", Occurrence: -1},
	}
	for name, task := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.e.Submit(f.job("j", 1, step(1, 1)), f.now)
			f.report(node(0), func(r *wire.WorkerReport) {
				r.Running = []wire.RunningTask{{Task: task, Run: 1}}
				r.Ended = []wire.EndedRun{{Number: 1, Task: task, Run: 2, End: wire.EndDone}}
				r.Refused = []wire.RefusedRun{{Task: task, Run: 3}}
			}, nil)
			f.tick()
			is.Equal(len(f.runs("j")), 1)
			o, ok := f.e.Orders(node(0))
			is.True(ok)
			is.Equal(o.Stops, []wire.TaskRun{{Task: task, Run: 1}})
		})
	}
}

// TestRestoreOfMalformedProgress restores progress that does not match its job.
// The tasks concerned start over.
func TestRestoreOfMalformedProgress(t *testing.T) {
	running := []wire.TaskProgress{{Run: 1, Worker: 1}}
	tests := map[string]wire.JobProgress{
		"step after the last":      {Stages: []wire.StageProgress{{Step: 1, Tasks: running}}},
		"negative step":            {Stages: []wire.StageProgress{{Step: -1, Tasks: running}}},
		"more tasks than the step": {Stages: []wire.StageProgress{{Tasks: []wire.TaskProgress{{Run: 1}, {Run: 1}}}}},
		"unknown worker":           {Stages: []wire.StageProgress{{Tasks: []wire.TaskProgress{{Run: 1, Worker: 7}}}}},
		"negative worker":          {Stages: []wire.StageProgress{{Tasks: []wire.TaskProgress{{Run: 1, Worker: -1}}}}},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			f.e.Restore(f.job("j", 1, step(1, 1)), &p, f.now)
			f.tick()
			is.Equal(len(f.runs("j")), 1)
		})
	}
}

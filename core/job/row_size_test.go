package job

import (
	"strings"
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestProgressRowsFitIntoStore plays jobs whose progress is large. A row that the
// store refuses would keep the scheduler from writing anything.
func TestProgressRowsFitIntoStore(t *testing.T) {
	tests := map[string]struct {
		change     func(j *wire.Job)
		checkpoint string
		failing    int // rounds in which half of the runs fail
	}{
		"many overlapping occurrences": {change: func(j *wire.Job) {
			j.RepeatCount, j.Interval, j.FirstRun = MaxOccurrences, time.Millisecond, testStart
			j.Steps = []wire.JobStep{{Count: 26, Checkpoints: true}}
		}, checkpoint: "00000bb87a21d94b"},
		"many steps of many occurrences": {change: func(j *wire.Job) {
			j.RepeatCount, j.Interval, j.FirstRun = MaxOccurrences, time.Millisecond, testStart
			j.Steps = nil
			for range MaxSteps {
				j.Steps = append(j.Steps, wire.JobStep{Count: 1})
			}
		}},
		"many failures": {change: func(j *wire.Job) {
			j.RepeatCount, j.Interval, j.FirstRun, j.Attempts = MaxTasks/2, time.Millisecond, testStart, MaxTasks
			j.Steps = []wire.JobStep{{Count: 2}}
		}, failing: 5},
		"long checkpoints": {change: func(j *wire.Job) {
			j.Steps = []wire.JobStep{{Count: MaxTasks, Checkpoints: true}}
		}, checkpoint: strings.Repeat("x", 300)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			j := f.job("j", 1)
			tt.change(&j)
			is.NoErr(Validate(&j))
			f.e.Submit(j, f.now)
			occurrences := max(j.RepeatCount, 1)
			for round := 0; f.state("j") != wire.JobCompleted; round++ {
				is.True(round < 10*occurrences)
				f.now = f.now.Add(time.Second)
				f.workers(1)
				f.e.Tick(f.now)
				for b := f.e.Flush(); b != nil; b = f.e.Flush() {
					for _, c := range b.Progress {
						value, err := c.Progress.MarshalMsg(nil)
						is.NoErr(err)
						if len(value) > storeRowLimit {
							t.Fatalf("round %d: row of %d bytes", round, len(value))
						}
						f.rows[c.ID] = c.Progress
					}
					f.e.MarkCommitted(b)
				}
				if round == 3 {
					f.restart()
					f.workers(1)
				}
				f.report(node(0), func(r *wire.WorkerReport) {
					for i := range r.Running {
						r.Running[i].Checkpoint = tt.checkpoint
					}
				}, nil)
				ends := make(map[wire.TaskID]wire.RunEnd)
				for id := range f.e.workers[node(0)].runs {
					if id.Index%2 == round%2 || j.Steps[0].Count == 1 {
						ends[id] = wire.EndDone
						if round < tt.failing {
							ends[id] = wire.EndFailed
						}
					}
				}
				f.report(node(0), nil, ends)
			}
			f.restart()
			is.Equal(f.state("j"), wire.JobCompleted)
		})
	}
}

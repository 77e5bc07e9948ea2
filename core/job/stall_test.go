package job

import (
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

func TestStalledRuns(t *testing.T) {
	tests := map[string]struct {
		step    wire.JobStep
		percent func(elapsed time.Duration) int
		stopped bool
	}{
		"at full speed": {
			step:    step(1, 1),
			percent: func(d time.Duration) int { return int(d / (70 * time.Millisecond)) },
		},
		"ten times slower, away from its data": {
			step:    step(1, 1),
			percent: func(d time.Duration) int { return int(d / (3 * time.Second)) },
		},
		"no progress from the start": {
			step:    step(1, 1),
			percent: func(time.Duration) int { return 0 },
			stopped: true,
		},
		"no progress after a second": {
			step:    step(1, 1),
			percent: func(d time.Duration) int { return int(min(d, time.Second) / (70 * time.Millisecond)) },
			stopped: true,
		},
		"continues at 100 percent": {
			step:    step(1, 1),
			percent: func(d time.Duration) int { return min(100, int(d/(20*time.Millisecond))) },
		},
		"long-running work shows no progress": {
			step:    wire.JobStep{Count: 1, LongRunning: true, Demand: wire.Resources{CPU: 1}},
			percent: func(time.Duration) int { return 100 },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			f.e.Submit(f.job("j", 1, tt.step), f.now)
			f.tick()
			start := f.now
			for range 16 {
				f.now = f.now.Add(500 * time.Millisecond)
				f.report(node(0), func(r *wire.WorkerReport) {
					for i := range r.Running {
						r.Running[i].Percent = tt.percent(f.now.Sub(start))
					}
				}, nil)
			}
			is.Equal(f.runs("j")[0].phase == stopping, tt.stopped)
		})
	}
}

func TestStaleObservationIsNotStall(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.Submit(f.job("j", 1, step(1, 1)), f.now)
	f.tick()
	f.report(node(0), nil, nil)
	lastRead := f.now.Sub(testStart) + time.Second
	for range 20 { // the agent gets no answer from the worker
		f.now = f.now.Add(500 * time.Millisecond)
		f.report(node(0), func(r *wire.WorkerReport) { r.RunningAt = lastRead }, nil)
	}
	is.Equal(f.runs("j")[0].phase, started)
}

package job

import (
	"fmt"
	"math"
	"testing"
	"time"

	"bramleythread/core/estimate"
	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// setSlowness makes the engine know the slowness of the workers node-0, node-1 and so on.
func (f *testCluster) setSlowness(factors ...float64) {
	for i, factor := range factors {
		f.e.speeds.SetPrior(f.e.workers[node(i)].speedKey(), estimate.Slowness{Log: math.Log(factor), Sigma: 0.05})
	}
}

// learn makes the engine know the run time of a queue's tasks.
func (f *testCluster) learn(queue string, runTime time.Duration) {
	for i := range 20 {
		id := fmt.Sprint(queue, i)
		f.e.speeds.Observe(estimate.Observation{
			Work:    estimate.Work{Step: id, Queue: queue, Tasks: 1, Estimate: runTime},
			Workers: []string{"other"}, Elapsed: runTime, Share: 1, Finished: true, Run: id,
		})
	}
}

// TestPlacementBySpeed plays single jobs on idle workers of unequal speed. It guards
// against urgent work on workers that finish it too late, against work with slack on the
// fast workers that urgent work needs, and against gangs paced by one slow member.
func TestPlacementBySpeed(t *testing.T) {
	tests := map[string]struct {
		slowness []float64
		stretch  float64
		tasks    int
		gang     bool
		expected []string // workers that may get the tasks
	}{
		"urgent gang on fast workers":            {slowness: []float64{2.4, 1, 1}, stretch: 1.5, tasks: 2, gang: true, expected: []string{"node-1", "node-2"}},
		"urgent task on a fast worker":           {slowness: []float64{2.4, 2.4, 1}, stretch: 1.5, tasks: 1, expected: []string{"node-2"}},
		"gang with slack on slow workers":        {slowness: []float64{1, 2.4, 2.4}, stretch: 4, tasks: 2, gang: true, expected: []string{"node-1", "node-2"}},
		"urgent task on the fastest worker":      {slowness: []float64{1.15, 0.5, 1.15}, stretch: 1.5, tasks: 1, expected: []string{"node-1"}},
		"less than twice as slow":                {slowness: []float64{1.2, 0.8, 1}, stretch: 4, tasks: 1, expected: []string{"node-0", "node-1", "node-2"}},
		"task with slack on a slow worker":       {slowness: []float64{1, 2.4, 1}, stretch: 4, tasks: 1, expected: []string{"node-1"}},
		"gang of like speed rather than best":    {slowness: []float64{2.4, 1, 1}, stretch: 4, tasks: 2, gang: true, expected: []string{"node-1", "node-2"}},
		"urgent gang too large for fast workers": {slowness: []float64{2.4, 1, 1}, stretch: 1.5, tasks: 3, gang: true, expected: []string{"node-0", "node-1", "node-2"}},
		"equal workers":                          {slowness: []float64{1, 1, 1}, stretch: 1.5, tasks: 3, gang: true, expected: []string{"node-0", "node-1", "node-2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(3)
			f.setSlowness(tt.slowness...)
			f.learn("q", 4*time.Second)
			s := step(tt.tasks, 8)
			s.Gang = tt.gang
			j := f.job("j", 0, s)
			j.Stretch, j.Objective = tt.stretch, 500*time.Millisecond
			f.e.Submit(j, f.now)
			f.tick()
			runs := f.runs("j")
			is.Equal(len(runs), tt.tasks)
			allowed := make(map[string]bool)
			for _, name := range tt.expected {
				allowed[name] = true
			}
			for _, r := range runs {
				is.True(allowed[r.worker.Node]) // on an expected worker
			}
		})
	}
}

// TestUrgentWorkWaitsForFastWorkers plays urgent work that arrives while the fast worker
// is busy and a slow one is idle. It guards against a start on the slow worker that ends
// too late, and against work that waits although the fast worker is not free in time.
func TestUrgentWorkWaitsForFastWorkers(t *testing.T) {
	tests := map[string]struct {
		busyPriority int
		busyFor      time.Duration
		started      string // worker of the urgent work after the first tick
		preempted    bool
	}{
		"fast worker free soon":         {busyPriority: 0, busyFor: 2 * time.Second},
		"fast worker busy for long":     {busyPriority: 0, busyFor: time.Minute, started: "node-2"},
		"other work on the fast worker": {busyPriority: 1, busyFor: time.Minute, preempted: true},
		"other work that will end soon": {busyPriority: 1, busyFor: 500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.e.SetGuarantees(map[string]int{"c": 8})
			f.workers(2)
			f.learn("batch", tt.busyFor)
			f.learn("q", 6*time.Second)
			other := f.job("busy", tt.busyPriority, step(2, 8))
			other.Customer, other.Queue = "other", "batch"
			f.e.Submit(other, f.now)
			f.tick()
			f.report(node(0), nil, nil)
			f.workers(3)
			f.setSlowness(1, 1, 2.4)
			urgent := f.job("urgent", 0, step(1, 8))
			urgent.Stretch, urgent.Objective = 1.5, 250*time.Millisecond
			f.e.Submit(urgent, f.now)
			f.tick()
			started := ""
			for _, r := range f.runs("urgent") {
				started = r.worker.Node
			}
			is.Equal(started, tt.started)
			preempted := false
			for _, r := range f.runs("busy") {
				preempted = preempted || r.phase == stopping
			}
			is.Equal(preempted, tt.preempted)
		})
	}
}

// TestSlowWorkersUsedAtLast plays urgent work whose fast workers stay busy. It guards
// against work that waits for good: after maxSpeedWait any worker is taken.
func TestSlowWorkersUsedAtLast(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(2)
	f.learn("batch", 1500*time.Millisecond)
	f.learn("q", 6*time.Second)
	busy := f.job("busy", 0, step(2, 8))
	busy.Queue = "batch"
	f.e.Submit(busy, f.now)
	f.tick()
	f.workers(3)
	f.setSlowness(1, 1, 2.4)
	urgent := f.job("urgent", 0, step(1, 8))
	urgent.Stretch = 1.5
	f.e.Submit(urgent, f.now)
	f.tick()
	is.Equal(len(f.runs("urgent")), 0)
	f.now = f.now.Add(maxSpeedWait + time.Millisecond)
	f.workers(3)
	f.tick()
	is.Equal(len(f.runs("urgent")), 1)
}

// TestGangPrefersWarmWorkersToSpeed plays a gang with slack while the slow workers, which
// it would get, are cold. It guards against speeds that fill a zone that has just
// returned before the warm workers.
func TestGangPrefersWarmWorkersToSpeed(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	for i := range 4 {
		f.report(node(i), func(r *wire.WorkerReport) {
			if i < 2 {
				r.Worker.ColdRemaining = time.Minute
			}
		}, nil)
	}
	f.setSlowness(2.4, 2.4, 1, 1)
	f.learn("q", 4*time.Second)
	j := f.job("j", 0, gang(2, 8))
	j.Stretch = 4
	f.e.Submit(j, f.now)
	f.tick()
	is.Equal(len(f.runs("j")), 2)
	for _, r := range f.runs("j") {
		is.True(!r.worker.cold())
	}
}

// TestSpeedWaitCountsFromAcceptance plays a takeover while urgent work waits for a faster
// worker. It guards against a wait that begins anew at each takeover and so exceeds the
// time in which work within a guarantee must start.
func TestSpeedWaitCountsFromAcceptance(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.e.SetGuarantees(map[string]int{"c": 8})
	f.workers(2)
	f.learn("q", 6*time.Second)
	f.learn("batch", 1500*time.Millisecond)
	busy := f.job("busy", 0, step(2, 8))
	busy.Customer, busy.Queue = "other", "batch"
	f.e.Submit(busy, f.now)
	f.tick()
	f.workers(3)
	f.setSlowness(1, 1, 2.4)
	urgent := f.job("urgent", 0, step(1, 8))
	urgent.Stretch, urgent.Accepted = 1.5, f.now.Add(-maxSpeedWait-time.Millisecond)
	f.e.Submit(urgent, f.now)
	f.tick()
	is.Equal(len(f.runs("urgent")), 1)
}

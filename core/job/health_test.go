package job

import (
	"fmt"
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestRetriesWhenAllWorkersFail guards against ejecting all workers of a service: if
// every run fails, workers must still be retried often enough that work resumes
// soon after they recover.
func TestRetriesWhenAllWorkersFail(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(3)
	waited := time.Duration(0) // time without a run while work waits
	for n := range 400 {
		f.now = f.now.Add(250 * time.Millisecond)
		j := f.job(fmt.Sprintf("j%d", n), 1, step(1, 8))
		j.Attempts = 1 // each failure is of another job
		f.e.Submit(j, f.now)
		running := 0
		for i := range 3 {
			ends := make(map[wire.TaskID]wire.RunEnd)
			for id := range f.e.workers[node(i)].runs {
				ends[id] = wire.EndFailed
				running++
			}
			f.report(node(i), nil, ends)
		}
		if waited += 250 * time.Millisecond; running > 0 {
			waited = 0
		}
		is.True(waited <= 2*time.Second)
		f.tick()
	}
}

// TestAvailableLongRunningFailureDoesNotEjectWorker guards against ejecting a worker
// because long-running tasks of several jobs fail after they became available. Such
// failures say nothing about the worker.
func TestAvailableLongRunningFailureDoesNotEjectWorker(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	for i := range 4 {
		f.e.Submit(f.job(node(i), 1, longRunningStep(1, 2, 1)), f.now)
	}
	for round := range 20 {
		f.now = f.now.Add(time.Second)
		f.report(node(0), nil, nil)
		f.tick()
		is.Equal(len(f.e.workers[node(0)].runs), 4) // all have been restarted
		f.report(node(0), reportAvailable, nil)
		f.report(node(0), reportAvailable, map[wire.TaskID]wire.RunEnd{{Job: node(round % 4)}: wire.EndFailed, {Job: node((round + 1) % 4)}: wire.EndFailed})
	}
}

// TestWaitForDataRackBoundedInIdlePool guards against a long wait for a busy data
// rack while the other racks are idle.
func TestWaitForDataRackBoundedInIdlePool(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(9)
	busy := step(3, 8)
	busy.DataRack = "rack-0"
	f.e.Submit(f.job("busy", 1, busy), f.now)
	f.tick()
	waits := step(1, 1)
	waits.DataRack, waits.Estimate = "rack-0", time.Minute
	f.e.Submit(f.job("waits", 1, waits), f.now)
	for range 9 {
		f.tick()
		is.Equal(len(f.runs("waits")), 0)
		f.now = f.now.Add(250 * time.Millisecond)
		f.workers(9)
	}
	f.tick()
	is.Equal(len(f.runs("waits")), 1)
}

package job

import (
	"fmt"
	"slices"
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

// ejectWorker lets runs of two jobs fail on a worker and waits until its ejection is
// over.
func ejectWorker(f *testCluster, name string) {
	f.t.Helper()
	for _, id := range []string{"first", "second"} {
		f.e.Submit(f.job(id, 1, step(1, 1)), f.now)
		f.tick()
		f.now = f.now.Add(20 * time.Millisecond)
		f.report(name, nil, map[wire.TaskID]wire.RunEnd{{Job: id}: wire.EndFailed})
		f.e.Cancel(id, f.now)
		f.tick()
	}
	if f.e.workers[name].health.usable(f.now) {
		f.t.Fatal("the worker is not ejected")
	}
	f.now = f.now.Add(firstEjection)
	f.report(name, nil, nil)
}

// TestProbeReleasesWorker ends the probe of a worker after an ejection in several
// ways. The worker must become usable again, or be probed again.
func TestProbeReleasesWorker(t *testing.T) {
	probe := wire.TaskID{Job: "probe"}
	tests := map[string]struct {
		end    func(f *testCluster)
		placed int // tasks of the next job that run at once
	}{
		"it makes progress": {placed: 2, end: func(f *testCluster) {
			f.now = f.now.Add(time.Second)
			f.report(node(0), func(r *wire.WorkerReport) { r.Running[0].Percent = 10 }, nil)
		}},
		"it is done": {placed: 2, end: func(f *testCluster) {
			f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{probe: wire.EndDone})
		}},
		"it is cancelled": {placed: 1, end: func(f *testCluster) {
			f.e.Cancel("probe", f.now)
			f.tick()
			f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{probe: wire.EndStopped})
		}},
		"it goes on": {placed: 0, end: func(*testCluster) {}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			ejectWorker(f, node(0))
			f.e.Submit(f.job("probe", 1, step(1, 1)), f.now)
			f.tick()
			is.Equal(len(f.runs("probe")), 1)
			f.report(node(0), nil, nil)
			tt.end(f)
			f.now = f.now.Add(lastResortPause) // the only worker is probed once a second
			f.report(node(0), nil, nil)
			f.e.Submit(f.job("next", 1, step(2, 1)), f.now)
			f.tick()
			is.Equal(len(f.runs("next")), tt.placed)
		})
	}
}

// TestEarlyFailures lets runs fail after different times. Only those that fail at
// once make their worker suspect.
func TestEarlyFailures(t *testing.T) {
	tests := map[string]struct {
		before  func(f *testCluster) // called before the run fails
		suspect bool
	}{
		"at once":                        {before: func(*testCluster) {}, suspect: true},
		"before it was listed":           {before: func(f *testCluster) { f.now = f.now.Add(40 * time.Millisecond) }, suspect: true},
		"soon after it was listed":       {before: func(f *testCluster) { f.report(node(0), nil, nil); f.now = f.now.Add(40 * time.Millisecond) }, suspect: true},
		"after some work":                {before: func(f *testCluster) { f.report(node(0), nil, nil); f.now = f.now.Add(time.Second) }},
		"soon after a scheduler restart": {before: func(f *testCluster) { f.report(node(0), nil, nil); f.now = f.now.Add(time.Second); f.restart() }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			f.e.Submit(f.job("j", 1, step(1, 1)), f.now)
			f.tick()
			tt.before(f)
			f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: wire.EndFailed})
			is.Equal(f.e.workers[node(0)].health.suspect, tt.suspect)
		})
	}
}

// TestServiceProbedWhileAllWorkersFail lets runs fail at once on every worker. The
// service must be probed by one job at a time, and be used again once a run survives.
func TestServiceProbedWhileAllWorkersFail(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(6)
	sick := true
	round := func() {
		f.now = f.now.Add(100 * time.Millisecond)
		for i := range 6 {
			ends := make(map[wire.TaskID]wire.RunEnd)
			for id, r := range f.e.workers[node(i)].runs {
				if sick && r.placedAt.Before(f.now) {
					ends[id] = wire.EndFailed
				}
			}
			f.report(node(i), func(r *wire.WorkerReport) {
				for k, t := range r.Running {
					if placed := f.e.workers[node(i)].runs[t.Task].placedAt; f.now.Sub(placed) > time.Second {
						r.Running[k].Percent = 10
					}
				}
			}, ends)
		}
		f.tick()
	}
	for i := range 40 {
		f.e.Submit(f.job(fmt.Sprintf("j%d", i), 1, step(1, 1)), f.now)
	}
	kinds := func(kind string) int {
		return len(slices.DeleteFunc(slices.Clone(f.decisions), func(d Decision) bool { return d.Kind != kind }))
	}
	round()
	is.Equal(kinds("place"), 40) // nothing is known of the workers yet
	round()
	is.Equal(kinds("service_unhealthy"), 1)
	before := kinds("place")
	for range 50 { // 5 s
		round()
	}
	is.True(kinds("place")-before <= 6) // one a second
	sick = false
	for range 50 {
		round()
	}
	is.Equal(kinds("service_recovered"), 1)
	is.True(kinds("place")-before >= 30) // the jobs that are left run
}

// TestServiceWithShortRunsRecovers guards against a service that is probed for good
// after its workers were sick for a moment, because none of its runs takes as long as
// a run that counts as a survivor.
func TestServiceWithShortRunsRecovers(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(3)
	sick := true
	round := func() {
		f.now = f.now.Add(100 * time.Millisecond)
		for i := range 3 {
			ends := make(map[wire.TaskID]wire.RunEnd)
			for id, r := range f.e.workers[node(i)].runs {
				switch age := f.now.Sub(r.placedAt); {
				case sick && age > 0:
					ends[id] = wire.EndFailed
				case age >= 300*time.Millisecond:
					ends[id] = wire.EndDone
				}
			}
			f.report(node(i), nil, ends)
		}
		f.tick()
	}
	short := step(1, 8)
	short.Estimate = 300 * time.Millisecond
	for i := range 30 {
		f.e.Submit(f.job(fmt.Sprintf("j%d", i), 1, short), f.now)
	}
	kinds := func(kind string) int {
		return len(slices.DeleteFunc(slices.Clone(f.decisions), func(d Decision) bool { return d.Kind != kind }))
	}
	for kinds("service_unhealthy") == 0 && len(f.decisions) < 1000 {
		round()
	}
	is.Equal(kinds("service_unhealthy"), 1)
	sick = false
	for range 100 { // 10 s, in which three workers have room for 75 runs
		round()
	}
	is.Equal(kinds("service_recovered"), 1)
	done := 0
	for i := range 30 {
		if f.state(fmt.Sprintf("j%d", i)) == wire.JobCompleted {
			done++
		}
	}
	is.True(done >= 25)
}

package job

import (
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// longRunningStep returns a step of long-running work of which the scheduler may make
// maxUnavailable tasks unavailable at once.
func longRunningStep(count, accelerators, maxUnavailable int) wire.JobStep {
	s := step(count, accelerators)
	s.LongRunning, s.MaxUnavailable = true, maxUnavailable
	return s
}

// reportAvailable reports all runs of a worker as available.
func reportAvailable(r *wire.WorkerReport) {
	for i := range r.Running {
		r.Running[i].Percent = completePercent
	}
}

func TestPreemptionRespectsMaxUnavailable(t *testing.T) {
	tests := map[string]struct {
		maxUnavailable int
		missing        int // tasks that are not available
		urgent         int // tasks that take a whole worker each
		stopped        int
	}{
		"as many as MaxUnavailable":          {maxUnavailable: 2, urgent: 2, stopped: 2},
		"more than MaxUnavailable":           {maxUnavailable: 1, urgent: 2, stopped: 0},
		"one is already unavailable":         {maxUnavailable: 1, missing: 1, urgent: 2, stopped: 0},
		"an unavailable task may be stopped": {maxUnavailable: 1, missing: 1, urgent: 1, stopped: 1},
		"no MaxUnavailable":                  {maxUnavailable: 0, urgent: 3, stopped: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(3)
			f.e.SetGuarantees(map[string]int{"c": 24})
			f.e.Submit(f.job("lasting", 1, longRunningStep(3, 8, tt.maxUnavailable)), f.now)
			f.tick()
			for i := range 3 {
				if i < tt.missing {
					f.report(node(i), nil, nil)
				} else {
					f.report(node(i), reportAvailable, nil)
				}
			}
			f.e.Submit(f.job("urgent", 0, gang(tt.urgent, 8)), f.now)
			f.tick()
			stopped := 0
			for _, r := range f.runs("lasting") {
				if r.phase == stopping {
					stopped++
					if tt.missing > 0 {
						is.True(r.percent < completePercent)
					}
				}
			}
			is.Equal(stopped, tt.stopped)
		})
	}
}

func TestLongRunningTaskAlwaysRestarted(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(3)
	f.e.Submit(f.job("j", 1, longRunningStep(1, 8, 1)), f.now)
	for i, how := range []wire.RunEnd{wire.EndFailed, wire.EndDone, wire.EndFailed, wire.EndLeaseExpired, wire.EndFailed} {
		f.now = f.now.Add(40 * time.Second) // longer than maxEjection: ejected workers are usable again
		f.workers(3)
		f.tick()
		is.Equal(len(f.runs("j")), 1)
		is.Equal(f.runs("j")[0].number, i+1)
		for n := range 3 {
			f.report(node(n), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: how})
		}
	}
	f.tick()
	is.Equal(f.state("j"), wire.JobRunning)
}

// TestOccurrencesRankedByDueTime guards against ranking an occurrence as too late
// because it becomes due long after its job was accepted.
func TestOccurrencesRankedByDueTime(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	timed := f.job("timed", 1, step(1, 8))
	timed.RepeatCount, timed.FirstRun, timed.Interval = 2, f.now.Add(5*time.Minute), time.Minute
	f.e.Submit(timed, f.now)
	f.now = f.now.Add(5*time.Minute - time.Second)
	f.workers(1)
	f.e.Submit(f.job("busy", 1, step(1, 8)), f.now)
	f.tick()
	is.Equal(len(f.runs("timed")), 0) // not due yet
	is.Equal(len(f.runs("busy")), 1)
	f.now = f.now.Add(time.Second)
	f.tick() // the occurrence is due before the next job is accepted
	f.e.Submit(f.job("later", 1, step(1, 8)), f.now.Add(time.Millisecond))
	f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "busy"}: wire.EndDone})
	f.tick()
	is.Equal(len(f.runs("timed")), 1)
	is.Equal(len(f.runs("later")), 0)
}

func TestNoReservationOnLongRunningWork(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(2)
	f.e.Submit(f.job("lasting", 1, longRunningStep(1, 8, 1)), f.now)
	f.tick()
	f.report(node(0), reportAvailable, nil)
	f.now = f.now.Add(3 * time.Second)
	f.workers(2)
	f.e.Submit(f.job("short", 1, step(1, 8)), f.now)
	f.tick()
	f.workers(2)
	f.e.Submit(f.job("gang", 1, gang(1, 8)), f.now)
	f.tick()
	is.Equal(len(f.e.reserved), 1)
	for _, r := range f.e.reserved { // on the worker of the short job
		is.Equal(r.tasksPerWorker[f.runs("short")[0].worker], 1)
	}
}

// TestDrainingWorker checks that a draining worker gets no new work and keeps only
// the runs that end before it leaves.
func TestDrainingWorker(t *testing.T) {
	saves := step(1, 4)
	saves.Checkpoints = true
	tests := map[string]struct {
		step      wire.JobStep
		began     bool
		remaining time.Duration // minimum time until the worker leaves
		stopped   bool
	}{
		"work that ends in time":                 {step: step(1, 4), began: true, remaining: time.Minute},
		"work that would be lost":                {step: step(1, 4), began: true, stopped: true},
		"work that saves checkpoints":            {step: saves, began: true, remaining: time.Minute, stopped: true},
		"work that has not started":              {step: step(1, 4), remaining: time.Minute, stopped: true},
		"the whole gang of a member":             {step: gang(4, 4), began: true, stopped: true},
		"long-running work that has started":     {step: longRunningStep(1, 4, 1), began: true, remaining: time.Minute, stopped: true},
		"long-running work that has not started": {step: longRunningStep(1, 4, 1), remaining: time.Minute, stopped: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(2)
			f.e.Submit(f.job("j", 1, tt.step), f.now)
			f.tick()
			if tt.began {
				f.workers(2)
			}
			leaving := f.runs("j")[0].worker.Node
			f.report(leaving, func(r *wire.WorkerReport) {
				r.Worker.State, r.Worker.Remaining = wire.WorkerDraining, tt.remaining
				if !tt.began {
					r.Running = nil
				}
			}, nil)
			for _, r := range f.runs("j") {
				is.Equal(r.phase == stopping, tt.stopped)
			}
			f.e.Submit(f.job("new", 1, step(8, 1)), f.now)
			f.tick()
			for _, r := range f.runs("new") {
				is.True(r.worker.Node != leaving)
			}
			o, _ := f.e.Orders(leaving)
			is.Equal(len(o.Starts), 0)
		})
	}
}

package job

import (
	"math"
	"testing"
	"time"

	"bramleythread/core/estimate"
	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// progress reports the progress of all runs of n workers each half second. A run takes
// the given time on its worker.
func (f *testCluster) progress(d time.Duration, start time.Time, times []time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(500 * time.Millisecond)
		for i, total := range times {
			f.report(node(i), func(r *wire.WorkerReport) {
				for k := range r.Running {
					r.Running[k].Percent = int(100 * f.now.Sub(start) / total)
				}
			}, nil)
		}
	}
}

// TestWorkersAreObserved guards against runs that tell of their workers and are
// ignored, and against others that make their workers look slow.
func TestWorkersAreObserved(t *testing.T) {
	far, background, serving := step(1, 8), step(1, 0), step(1, 8)
	far.DataRack = "rack-9" // no worker is there
	background.UsesSpareCPU, serving.LongRunning = true, true
	slow := []time.Duration{10 * time.Second, 10 * time.Second, 10 * time.Second, 10 * time.Second}
	tests := map[string]struct {
		step    wire.JobStep
		change  func(f *testCluster)
		ignored bool
	}{
		"one task":                      {step: step(1, 8)},
		"a gang":                        {step: gang(2, 8)},
		"far from its data":             {step: far, ignored: true},
		"a same-rack gang on two racks": {step: wire.JobStep{Count: 4, Demand: wire.Resources{CPU: 1000, Memory: 1024, Accelerators: 8}, Gang: true, SameRack: true}, ignored: true},
		"background work":               {step: background, ignored: true},
		"long-running work":             {step: serving, ignored: true},
		"a worker that fails runs":      {step: step(1, 8), change: func(f *testCluster) { f.e.workers[node(0)].health = health{failures: 2, lateFailures: 2} }, ignored: true},
		"a run that was disturbed":      {step: step(1, 8), change: func(f *testCluster) { f.runs("j")[0].stalledFor = time.Minute }, ignored: true},
		"a run that is being stopped":   {step: step(1, 8), change: func(f *testCluster) { f.e.stopRun(f.runs("j")[0], "preempted") }, ignored: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(4)
			f.e.Submit(f.job("j", 1, tt.step), f.now)
			for len(f.runs("j")) == 0 {
				f.tick()
				f.now = f.now.Add(500 * time.Millisecond)
				f.workers(4)
			}
			if tt.change != nil {
				tt.change(f)
			}
			w := f.runs("j")[0].worker
			unknown := estimate.New(estimate.Config{}).Slowness("")
			f.progress(time.Second, f.now, slow)
			is.Equal(f.e.speeds.Slowness(w.speedKey()) == unknown, tt.ignored)
		})
	}
}

// TestFailedRunsTellNothingOfSpeed guards against the progress of a run that fails
// later counting against its worker.
func TestFailedRunsTellNothingOfSpeed(t *testing.T) {
	for how, tells := range map[wire.RunEnd]bool{wire.EndFailed: false, wire.EndDone: true, wire.EndStopped: true} {
		t.Run(string(how), func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
			f.tick()
			f.report(node(0), nil, nil)
			f.progress(2*time.Second, f.now, []time.Duration{20 * time.Second})
			f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: how})
			sigma := f.e.speeds.Slowness(f.e.workers[node(0)].speedKey()).Sigma
			is.Equal(sigma < 0.499, tells)
		})
	}
}

// TestResumedRunCountsItsOwnShare guards against a run that resumes from a checkpoint, or
// that a new scheduler takes over, looking several times as fast as it is.
func TestResumedRunCountsItsOwnShare(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
	f.tick()
	start := f.now.Add(-8 * time.Second) // it stands at 80 percent
	f.progress(1500*time.Millisecond, start, []time.Duration{10 * time.Second})
	f.e.Submit(f.job("next", 1, step(1, 8)), f.now)
	next := f.e.jobs["next"].stageList[0]
	isAboutTen := func(d time.Duration) bool { return d > 7*time.Second && d < 12*time.Second }
	is.True(isAboutTen(f.e.expectedRunTime(next)))                             // by its progress
	f.progress(500*time.Millisecond, start, []time.Duration{10 * time.Second}) // to its end
	f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: wire.EndDone})
	is.True(isAboutTen(f.e.expectedRunTime(next))) // by its end
}

// TestExpectedRemainingDependsOnWorker guards against forecasts for running and waiting
// tasks that ignore where they run.
func TestExpectedRemainingDependsOnWorker(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(4)
	times := []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second, 12 * time.Second}
	wide := step(4, 4)
	wide.MaxPerWorker = 1
	f.e.Submit(f.job("wide", 1, wide), f.now)
	f.tick()
	f.workers(4)
	f.progress(2*time.Second, f.now, times)
	f.e.Submit(f.job("next", 1, wide), f.now)
	f.tick()
	slow, fast := time.Duration(0), time.Duration(math.MaxInt64)
	for _, r := range f.runs("next") {
		left := f.e.expectedRemaining(r, f.now)
		slow, fast = max(slow, left), min(fast, left)
	}
	is.True(slow > 3*fast/2)
	is.Equal(f.e.expectedRemaining(f.e.workers[node(3)].sortedRuns()[0], f.now), slow) // the job "next" sorts first
	median := f.e.expectedRunTime(f.e.jobs["next"].stageList[0])
	is.True(median >= fast && median < slow)
}

// TestNewLifetimeKeepsFactorAsWeakPrior guards against a worker that starts again being
// unknown, or being taken as known as before.
func TestNewLifetimeKeepsFactorAsWeakPrior(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.speeds.SetPrior(f.e.workers[node(0)].speedKey(), estimate.Slowness{Log: 0.8, Sigma: 0.1})
	f.report(node(0), func(r *wire.WorkerReport) { r.Worker.Born = 2 }, nil)
	s := f.e.speeds.Slowness(f.e.workers[node(0)].speedKey())
	is.True(math.Abs(s.Log-0.8) < 0.01)
	is.True(s.Sigma > 0.3 && s.Sigma < 0.5)
}

// TestColdWorkersTellNothingOfSpeed guards against workers of a zone that returns to
// service being taken as slow for good.
func TestColdWorkersTellNothingOfSpeed(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
	f.tick()
	for i := range 5 {
		f.report(node(0), func(r *wire.WorkerReport) {
			r.Worker.ColdRemaining, r.Running[0].Percent = time.Minute, 10*i
		}, nil)
		f.now = f.now.Add(time.Second)
	}
	f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: wire.EndDone})
	is.Equal(f.e.speeds.Slowness(f.e.workers[node(0)].speedKey()), estimate.New(estimate.Config{}).Slowness(""))
}

// TestNewestLifetimeCounts guards against a prior that depends on the order of a map if
// several earlier lifetimes are known equally well.
func TestNewestLifetimeCounts(t *testing.T) {
	is := is.New(t)
	for range 20 {
		f := newTestCluster(t)
		for born := range int64(2) {
			w := f.e.workerFor(wire.WorkerRef{Node: node(0), Instance: "i-" + node(0), Born: born + 1})
			f.e.speeds.SetPrior(w.speedKey(), estimate.Slowness{Log: 0.4 * float64(born+1), Sigma: 0.1})
		}
		f.report(node(0), func(r *wire.WorkerReport) { r.Worker.Born = 3 }, nil)
		s := f.e.speeds.Slowness(f.e.workers[node(0)].speedKey())
		is.True(math.Abs(s.Log-0.8) < 1e-6)
	}
}

// TestFactorSurvivesTakeover guards against a new scheduler that takes all workers as
// equal, and against one that believes a broken report or one of another model.
func TestFactorSurvivesTakeover(t *testing.T) {
	unknown := estimate.New(estimate.Config{}).Slowness("")
	tests := map[string]struct {
		change func(s *wire.WorkerSlowness)
		log    float64
		sigma  float64
	}{
		"as it was sent":         {change: func(*wire.WorkerSlowness) {}, log: 0.8, sigma: 0.1},
		"of an earlier lifetime": {change: func(s *wire.WorkerSlowness) { s.Born = 7 }, log: 0.8, sigma: math.Hypot(0.1, 0.3)},
		"of another model":       {change: func(s *wire.WorkerSlowness) { s.Model++ }, log: unknown.Log, sigma: unknown.Sigma},
		"not a number":           {change: func(s *wire.WorkerSlowness) { s.Log = math.NaN() }, log: unknown.Log, sigma: unknown.Sigma},
		"out of range":           {change: func(s *wire.WorkerSlowness) { s.Sigma = 1e9 }, log: unknown.Log, sigma: unknown.Sigma},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			f.e.speeds.SetPrior(f.e.workers[node(0)].speedKey(), estimate.Slowness{Log: 0.8, Sigma: 0.1})
			o, _ := f.e.Orders(node(0))
			f.restart()
			f.report(node(0), func(r *wire.WorkerReport) {
				r.Slowness = o.Slowness
				tt.change(r.Slowness)
			}, nil)
			s := f.e.speeds.Slowness(f.e.workers[node(0)].speedKey())
			is.True(math.Abs(s.Log-tt.log) < 1e-6)
			is.True(math.Abs(s.Sigma-tt.sigma) < 1e-6)
		})
	}
}

// TestProgressOfResumedRun guards against counting what a checkpoint holds as progress of
// the run that resumes from it: agents list a run that they have just started at 0
// percent.
func TestProgressOfResumedRun(t *testing.T) {
	tests := map[string]struct {
		checkpoint string
		percents   []int // listed at intervals of one second
		share      float64
		measured   time.Duration
	}{
		"from the beginning":  {percents: []int{0, 10, 20}, share: 0.205, measured: 2 * time.Second},
		"from a checkpoint":   {checkpoint: "c", percents: []int{0, 45, 55}, share: 0.1, measured: time.Second},
		"listed with percent": {checkpoint: "c", percents: []int{45, 55, 65}, share: 0.2, measured: 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
			f.e.jobs["j"].stageList[0].tasks[0].checkpoint = tt.checkpoint
			f.tick()
			for i, percent := range tt.percents {
				if i > 0 {
					f.now = f.now.Add(time.Second)
				}
				f.report(node(0), func(r *wire.WorkerReport) { r.Running[0].Percent = percent }, nil)
			}
			r := f.runs("j")[0]
			is.True(math.Abs(r.shareDone()-tt.share) < 1e-9)
			is.Equal(r.progressAt.Sub(r.measuredFrom), tt.measured)
		})
	}
}

// TestForecastAndOutcomeAreShown guards against operators who cannot tell whether a run
// takes longer than it was placed for.
func TestForecastAndOutcomeAreShown(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(2)
	j := f.job("j", 1, gang(2, 8))
	j.Steps[0].Estimate = 3 * time.Second
	f.e.Submit(j, f.now)
	f.tick()
	f.workers(2)
	f.progress(2*time.Second, f.now, []time.Duration{4 * time.Second, 4 * time.Second})
	runs := f.e.Explain("j", f.now).Runs
	is.Equal(len(runs), 2)
	is.True(runs[0].Expected > time.Second && runs[0].Sigma > 0)
	is.Equal(runs[0].Remaining, 2*time.Second)
	f.progress(2*time.Second, f.now.Add(-2*time.Second), []time.Duration{4 * time.Second, 4 * time.Second})
	for i := range 2 {
		f.report(node(i), nil, map[wire.TaskID]wire.RunEnd{{Job: "j", Index: 0}: wire.EndDone, {Job: "j", Index: 1}: wire.EndDone})
	}
	var took []time.Duration
	for _, d := range f.decisions {
		if d.Took > 0 {
			took = append(took, d.Took)
			is.Equal(d.Expected.Median, runs[0].Expected)
		}
	}
	is.Equal(took, []time.Duration{4 * time.Second}) // the gang counts once
	status := f.e.Status(f.now).Workers[0]
	is.True(status.SlownessSigma > 0 && status.SlownessSigma < 1)
}
